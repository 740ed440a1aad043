//! Admission control: whether a request starts, waits or is refused.
//!
//! [`AdmissionControl`] has a queue per service and class, so that stalled work in one queue never blocks
//! another. Within a queue, the customer that has received the fewest weighted tokens on all instances goes
//! first; long requests of customers with nearly the same total start by earliest deadline. Slots are
//! reserved for the urgent classes according to their recent peak demand. A request whose deadline can't be
//! met is refused at once, without having run, together with the time after which a retry is worthwhile.
//!
//! The [`AdmissionPolicy`] decides how many slots a class may use and in which order requests start.
//! [`FairShare`] is the policy in use, [`FirstCome`] the baseline.

mod control;
mod customer;
mod estimate;
mod peers;
mod policy;
mod queue;
mod service;
mod types;

#[cfg(test)]
mod tests;

pub use control::AdmissionControl;
pub use policy::{AdmissionPolicy, FairShare, FirstCome, QueuePick, QueueView, ServiceLoad};
pub use queue::ClassQueue;
pub use types::{
    AdmissionDecision, AdmissionEvent, AdmissionParams, AdmissionRequest, CustomerLimits, FinishedWork,
    ServiceCounts,
};

pub use crate::routing::WorkClass;
