//! Usage by customer and window: counted once, frozen once, reported as frozen.
//!
//! Each incarnation counts finished requests by customer and window and shares the counts with its peers.
//! The holder of the customer's shard freezes a window in the log: the figure is what the counts hold beyond
//! those of earlier records, so a count that comes late goes into the next window that is still open. Only
//! then is the figure reported, and every repeat reports the same.

mod count;
mod ledger;
mod reporter;

#[cfg(test)]
mod tests;

pub use count::{USAGE_SHARDS, UsageCounts, add_figures, max_figures, shard_of, subtract_figures};
pub use ledger::{FrozenWindow, LATE_WINDOWS, UsageLedger};
pub use reporter::{SendReport, UsageReporter, UsageTiming};
