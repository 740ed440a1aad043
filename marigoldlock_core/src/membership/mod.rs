//! Membership: which instances are live, leaving or gone.
//!
//! The platform's instance list lags behind. Heartbeats between instances are current, but stop during a
//! partition or a pause. [`MemberTable`] combines both. An instance is identified by its name and its
//! incarnation: a restart creates a new member, and a late message of an old incarnation does not revive it.
//! A member is gone only when it is silent and no longer listed, or when a newer incarnation is heard. A
//! member that is merely silent may still be acting.

mod address;
mod exchange;
mod member;
mod rendezvous;
mod table;

#[cfg(test)]
mod tests;

pub use address::{AddressEntry, AddressQuery};
pub use exchange::{ExchangeLimits, heartbeat_interval};
pub use member::{MAX_HOME_GENERATIONS, MemberEntry, MemberLimits, MemberState, home_generation, home_token};
pub use rendezvous::rendezvous_weight;
pub use table::{HeartbeatOutcome, MemberTable, OwnIdentity};
