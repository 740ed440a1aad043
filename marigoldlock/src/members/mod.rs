//! The other instances and the upstreams: the platform's list, heartbeats and load reports.

mod actor;
mod exchange;
mod handle;
mod poll;

pub use actor::{ApplyList, KnownAddress, MemberActor, MemberSources, MemberStatus};
pub use exchange::{HeartbeatExchange, InstanceInfo};
pub use handle::MemberHandle;
pub use poll::{ListReceiver, PollLimits, poll_list, poll_upstreams};
