//! When a request starts, waits or is refused.
//!
//! [`AdmissionControl`] holds one queue per service and class, so that stalled work of one never stands before
//! another's. Within a queue the customer that has received the least weighted tokens, on all instances
//! together, goes first; long work goes by deadline among customers that are about level. Room is kept for the
//! urgent classes after their recent peaks. A request whose deadline can't be met is refused at once, with the
//! time after which it is worth coming back; it has not been run.
//!
//! The [`AdmissionPolicy`] decides room and order: [`FairShare`] is the one in use, [`FirstCome`] the baseline.

mod control;
mod customer;
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
    AdmissionAsk, AdmissionEvent, AdmissionParams, AdmissionVerdict, CustomerLimits, FinishedWork,
    ServiceCounts,
};

pub use crate::routing::WorkClass;
