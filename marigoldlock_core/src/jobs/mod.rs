//! Batch jobs that survive the end of an instance.
//!
//! A job is accepted once its whole input is in the log. One instance claims it, runs it and appends the
//! result, which any instance can read. [`JobFold`] is the state of all jobs, the same on all instances; it
//! holds the log positions of inputs and results, not their bytes. [`JobScheduler`] decides for one instance
//! which jobs to claim, which to run and which records to append again before they expire from the log. Jobs
//! are idempotent: if the holder ends, another instance runs the job, and the first complete result in log
//! order is the answer.

mod estimate;
mod fold;
mod scheduler;

#[cfg(test)]
mod tests;

pub use estimate::{DeadlineOutlook, WorkRate, deadline_outlook};
pub use fold::{JobEntry, JobFold, JobLimits, JobState, PartPositions};
pub use scheduler::{JobAction, JobScheduler, SchedulerLimits, input_records, result_records};
