//! Usage by customer and window: each request is counted once, each window frozen once and reported as
//! frozen.
//!
//! Each incarnation counts finished requests by customer and window and sends the counts to its peers. The
//! holder of the customer's shard freezes a window in the log. The frozen figure is the part of the counts
//! that earlier records don't include, so a late count goes into the next window that is still open. The
//! figure is reported only after it is frozen, and every repeat reports the same figure.

mod count;
mod ledger;
mod reporter;

#[cfg(test)]
mod tests;

pub use count::{USAGE_SHARDS, UsageCounts, add_figures, max_figures, shard_of, subtract_figures};
pub use ledger::{FrozenWindow, MAX_LATE_WINDOWS, UsageLedger};
pub use reporter::{SendReport, UsageReporter, UsageTiming};
