//! Who lives, leaves or is gone.
//!
//! The platform's list lags; heartbeats between instances do not, but stop at a partition or a pause.
//! [`MemberTable`] joins both. An instance is known by its name and its incarnation: a restart is a new
//! member, and no message of an old incarnation brings it back. A member is gone only when it is silent and no
//! longer listed, or when its successor is heard; a member that is merely silent may still act.

mod address;
mod exchange;
mod member;
mod rendezvous;
mod table;

#[cfg(test)]
mod tests;

pub use address::{AddressEntry, AddressView};
pub use exchange::{ExchangeLimits, heartbeat_interval};
pub use member::{MAX_HOME_GENERATIONS, MemberEntry, MemberLimits, MemberState, home_generation, home_token};
pub use rendezvous::weight;
pub use table::{HeartbeatStep, MemberTable, OwnIdentity};
