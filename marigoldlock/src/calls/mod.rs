//! Calls that may not be repeated.
//!
//! A home key names the one instance that may run it and that remembers it. Any other key is claimed in the
//! log before its call is sent. Whether the caller still
//! waits makes no difference to a call that has begun: it runs to its end in a task of its own, so that its
//! outcome is known to whoever asks again.

mod follow;
mod gate;
mod home;
mod plain;
mod runner;
mod service;

pub use follow::CallsSink;
pub use gate::SendGate;
pub use home::{BeginCall, BeginReply, HomeActor, HomeHandle};
pub use plain::{BeginPlain, PlainActor, PlainHandle, PlainReply, PlainStatus};
pub use runner::{CallRequest, CallRunner};
pub(crate) use runner::{failed, http_headers};
pub use service::CallService;
