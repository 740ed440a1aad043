//! Leases on duties, decided by the order of records in the log.
//!
//! The log orders records but has no conditional append, so compare-and-swap happens while folding: a claim
//! names the record that it supersedes and is void if that isn't the duty's newest record. The position of
//! the winning claim is the epoch, which serves as the fencing number. [`ControlFold`] folds the whole
//! control stream; every reader reaches the same state. [`DutyHolder`] decides for one process when it may
//! act and which records to append.

mod control;
mod fault;
mod fold;
mod holder;
mod process;
mod snapshot;

#[cfg(test)]
mod tests;

pub use control::{ControlChange, ControlFold};
pub use fault::Fault;
pub use fold::{AuthorityChange, AuthorityFold, DutyHead};
pub use holder::{DutyAuthority, DutyHolder, LeaseTiming, rank_of};
pub use process::{ControlProcess, ControlTiming, ControlView};
pub use snapshot::{SnapshotError, SnapshotReader, restore_fold, split_snapshot};
