//! Decision logic of the gateway: which upstream serves an opaque HTTP request, and how its failures are
//! handled.
//!
//! The gateway forwards requests without interpreting their bodies. It works on the decoded request head
//! ([`CallHead`](call::CallHead)) and the matching route ([`RouteRule`](route::RouteRule)); an adapter for
//! the wire protocol produces both through the traits in [`adapter`]. Nothing here does I/O or reads a clock:
//! time is passed in, and the program carries out the decisions.

pub mod adapter;
pub mod admission;
pub mod allowance;
pub mod blame;
pub mod budget;
pub mod call;
pub mod capacity;
pub mod catalog;
pub mod choice;
pub mod clock;
pub mod crashes;
pub mod demand;
pub mod duty;
pub mod era;
pub mod events;
pub mod exchange;
pub mod hedge;
pub mod intake;
pub mod leaving;
pub mod members;
pub mod news;
pub mod origins;
pub mod outcome;
pub mod pace;
pub mod prefix;
pub mod queue;
pub mod reach;
pub mod roles;
pub mod route;
pub mod speed;
pub mod state;
pub mod store_health;
mod trials;
pub mod usage;

#[cfg(test)]
mod tests;

pub mod prelude {
    //! The types that most gateway modules use.

    pub use super::adapter::{
        AttemptHead, CallerProtocol, DutyApi, DutyOutcome, KvSource, RecordFormat, ResponseHead, SharedStore,
        StoreError, StoreStream, UpstreamProtocol,
    };
    pub use super::call::{CallHead, PromptPart, PromptShape, Refusal, RefusalCause, RequestIdentity};
    pub use super::catalog::{UpstreamCatalog, UpstreamEntry, UpstreamRole};
    pub use super::era::{StoreEra, StorePosition};
    pub use super::route::{CallKind, GatewaySettings, RouteRule, ServiceRule};
}
