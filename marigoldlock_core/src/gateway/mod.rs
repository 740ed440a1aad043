//! Decisions of the gateway: which upstream serves an opaque HTTP call, and what becomes of it.
//!
//! The gateway relays calls whose bodies it never reads. It knows a call by its typed head
//! ([`CallHead`](call::CallHead)) and its rule ([`RouteRule`](route::RouteRule)); a wire adapter decodes
//! both through the traits in [`border`]. Everything here is pure: time is passed in, and the program
//! carries out what these modules decide.

pub mod admission;
pub mod border;
pub mod budget;
pub mod call;
pub mod capacity;
pub mod catalog;
pub mod choice;
pub mod clock;
pub mod duty;
pub mod events;
pub mod exchange;
pub mod members;
pub mod outcome;
pub mod prefix;
pub mod queue;
pub mod roles;
pub mod route;
pub mod state;
pub mod windows;

#[cfg(test)]
mod tests;

pub mod prelude {
    //! The types that most gateway modules use.

    pub use super::border::{
        AnswerHead, AttemptHead, CallerProtocol, DutyApi, DutyOutcome, KvSource, RecordFormat, SharedStore,
        StoreError, StoreStream, UpstreamProtocol,
    };
    pub use super::call::{CallHead, PromptPart, PromptShape, Refusal, RefusalCause};
    pub use super::catalog::{UpstreamCatalog, UpstreamEntry, UpstreamRole};
    pub use super::route::{CallKind, GatewaySettings, RouteRule, ServiceRule};
}
