//! The duties that at most one process holds: orders, usage reports, snapshots of the control stream.
//!
//! [`ControlActor`] runs the core's `ControlProcess`: it hands it the appends that the [`ControlSink`] reads,
//! appends the records that are due, one append at a time, and carries out orders and reports. A send checks
//! its last moment right before it starts and gives up at the request timeout; the protocol itself holds for
//! a pause of any length between the two.

mod actor;
mod append;
mod clients;
mod handle;
mod members_view;
mod messages;
mod receive;
mod sends;
mod sink;
mod start;

pub use actor::{ControlActor, ControlSources};
pub use append::{AppendFate, append_until_known};
pub use clients::{HttpOrderClient, HttpReportClient, OrderClient, ReportClient, SendFate};
pub use handle::ControlHandle;
pub use messages::{ControlStatus, HeldDuty};
pub use sink::ControlSink;
pub use start::{ControlParts, start_control};
