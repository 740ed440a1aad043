//! Control duties, each held by at most one process: orders, usage reports and snapshots of the control stream.
//!
//! [`ControlActor`] drives the core's `ControlProcess`. It passes on the appends that [`ControlSink`] reads,
//! appends the records that are due, one append at a time, and sends the orders and reports. A send checks its
//! deadline right before it starts and is aborted at the request timeout. The protocol stays safe even if the
//! process is paused for any length of time between the check and the send.

mod actor;
mod append;
mod clients;
mod handle;
mod handlers;
mod members_view;
mod messages;
mod sends;
mod sink;
mod start;

pub use actor::{ControlActor, ControlSources};
pub use append::{AppendResult, append_until_known};
pub use clients::{HttpOrderClient, HttpReportClient, OrderClient, ReportClient, SendOutcome};
pub use handle::ControlHandle;
pub use messages::{ControlStatus, HeldDuty};
pub use sink::ControlSink;
pub use start::{ControlParts, start_control};
