//! At-most-once execution of non-idempotent calls.
//!
//! Every call carries an idempotency key. A key of the form `<home>.<caller part>` runs only at its home, the
//! instance that issued the home token: that instance's [`HomeTable`] remembers the key, and every other
//! instance forwards the call to it ([`HomeRoute`]). Any other key is a plain key and is claimed in the log
//! before the call is sent: [`ClaimTable`] tracks the claims of one instance, and [`ClaimFold`] holds the
//! state of all plain keys, which is the same on all instances.
//!
//! A call that was sent but not answered is never sent again. A call is reported as not run only if no upstream
//! has received it and none will.

mod claim_fold;
mod claim_table;
mod home;
mod key;
mod log_outage;
mod route;

#[cfg(test)]
mod tests;

pub use claim_fold::{ClaimChange, ClaimFold, ClaimFoldLimits, ClaimState};
pub use claim_table::{ClaimAction, ClaimDecision, ClaimTable, ClaimTableLimits, outcome_records};
pub use home::{CallOutcome, CallTicket, HomeDecision, HomeLimits, HomeTable};
pub use key::{CallIdentity, CallKey, KeyError, MAX_KEY_BYTES, request_fingerprint};
pub use log_outage::{PeerLog, log_down_code, peer_logs};
pub use route::HomeRoute;
