//! Long work that outlives instances.
//!
//! A job is accepted when its input is in the log, claimed by one instance, run, and its result appended. Any
//! instance reads it. [`JobFold`] is the state that all instances share; it holds where inputs and results
//! stand in the log and not the bytes. [`JobScheduler`] decides for one instance what to claim, to run and to
//! append again before the log lets it expire. A job is work that may be repeated: when its holder ends,
//! another runs it, and the first whole result in log order is the answer.

mod estimate;
mod fold;
mod scheduler;

#[cfg(test)]
mod tests;

pub use estimate::{DeadlineOutlook, WorkRate, deadline_outlook};
pub use fold::{JobEntry, JobFold, JobLimits, JobState, PartPlaces};
pub use scheduler::{JobScheduler, JobStep, SchedulerLimits, input_records, result_records};
