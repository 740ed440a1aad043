//! The other instances and the upstreams, as the platform lists them and as they say themselves.

mod actor;
mod exchange;
mod handle;
mod poll;

pub use actor::{KnownAddress, MemberActor, MemberSources, MemberStatus, NoteList};
pub use exchange::{HeartbeatExchange, OwnAddresses};
pub use handle::MemberHandle;
pub use poll::{ListFeed, ReportPace, poll_list, poll_upstreams};
