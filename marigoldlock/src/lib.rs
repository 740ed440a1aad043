//! The marigoldlock entry instance.
//!
//! An instance accepts callers' requests and routes them to upstreams, using the state machines of
//! `marigoldlock_core` for its decisions. Instances exchange state over [`peer`] connections and reach agreement
//! through the platform's log ([`log_stream`]). The library contains everything but the binary's entry point, so
//! that the operators' tool can run several instances in one process.

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
