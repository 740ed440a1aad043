//! The marigoldlock entry instance.
//!
//! An instance takes callers' requests, decides with the state machines of `marigoldlock_core` and sends
//! the work to upstreams. Instances share what they know over [`peer`] connections and agree through the
//! platform's log ([`log_stream`]). This library holds everything but the argument parsing of the binary,
//! so that the operators' tool can run several instances in one process.

pub mod admin;
pub mod calls;
pub mod cli;
pub mod clock;
pub mod control;
pub mod dispatch;
pub mod front;
pub mod gateway;
pub mod instance;
pub mod jobs;
pub mod log_stream;
pub mod logging;
pub mod members;
pub mod metrics;
pub mod peer;
pub mod placement;
pub mod platform;
pub mod platform_run;
pub mod settings;
pub mod upstream;
pub mod usage;
