//! Calls that may not be repeated.
//!
//! A call carries an idempotency key. A key of the form `<home>.<caller part>` runs only at the instance
//! that gave out the home token: its [`HomeTable`] remembers the key, and every other instance forwards to it
//! ([`HomeRoute`]). Any other key is plain and claimed in the log before the call is sent: [`PlainTable`] holds
//! an instance's part in this, [`ClaimFold`] the state that all instances share.
//!
//! A call that was sent and not answered is never sent again. A call is called not run only if no upstream
//! saw it and none will.

mod claim;
mod home;
mod key;
mod log_down;
mod plain;
mod route;

#[cfg(test)]
mod tests;

pub use claim::{ClaimFold, ClaimLimits, ClaimState, FoldStep};
pub use home::{CallOutcome, CallTicket, HomeDecision, HomeLimits, HomeTable};
pub use key::{CallKey, CallName, KeyError, MAX_KEY_BYTES, request_print};
pub use log_down::{PeerLog, log_down_code, peer_logs};
pub use plain::{PlainDecision, PlainEffect, PlainLimits, PlainTable, outcome_records};
pub use route::HomeRoute;
