//! Small stand-ins for the systems outside marigoldlock.
//!
//! Each one speaks the published interface over HTTP on a port of its own, keeps what it saw for checks,
//! and has fault knobs that are shared by all of them ([`faults`]). All time is read from tokio's clock, so
//! a test that pauses the clock governs a stand-in too. `close` ends a stand-in; dropping one without it
//! leaves its listener to the end of the runtime.

pub mod clock;
pub mod engine;
pub mod faults;
pub mod fence;
mod headers;
pub mod list;
mod load;
pub mod log;
pub mod ordering;
pub mod server;
pub mod service;
pub mod site;
pub mod usage;

pub mod prelude {
    //! The types that nearly every user of a stand-in needs.

    pub use crate::engine::{EngineOptions, EngineStandin, expected_text};
    pub use crate::faults::{CallBudget, FaultKnobs, FaultPlan};
    pub use crate::list::{ListHandle, ListOptions, ListStandin};
    pub use crate::log::{LogOptions, LogStandin};
    pub use crate::ordering::{LocalHost, OrderingOptions, OrderingStandin, UpstreamTemplate};
    pub use crate::service::{ServiceOptions, ServiceStandin};
    pub use crate::usage::{UsageOptions, UsageStandin};
}
