//! Small stand-ins for the external systems that marigoldlock uses.
//!
//! Each stand-in serves the published interface over HTTP on its own port, records what it received for
//! checks, and supports the same fault injection ([`faults`]). All time is read from tokio's clock, so a test
//! that pauses the clock also controls the stand-in. `close` shuts a stand-in down; if it is dropped without
//! `close`, its listener stays open until the runtime ends.

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
    //! The most commonly used types.

    pub use crate::engine::{EngineOptions, EngineStandin, expected_text};
    pub use crate::faults::{CallBudget, FaultInjector, FaultPlan};
    pub use crate::list::{ListHandle, ListOptions, ListStandin};
    pub use crate::log::{LogOptions, LogStandin};
    pub use crate::ordering::{LocalHost, OrderingOptions, OrderingStandin, UpstreamTemplate};
    pub use crate::service::{ServiceOptions, ServiceStandin};
    pub use crate::usage::{UsageOptions, UsageStandin};
}
