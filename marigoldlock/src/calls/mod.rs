//! Calls that may not be repeated.
//!
//! A key names its home: the one instance that may run it and that remembers it. Whether the caller still
//! waits makes no difference to a call that has begun: it runs to its end in a task of its own, so that its
//! outcome is known to whoever asks again.

mod home;
mod runner;
mod service;

pub use home::{BeginCall, BeginReply, HomeActor, HomeHandle};
pub use runner::{CallRequest, CallRunner};
pub(crate) use runner::{failed, http_headers};
pub use service::CallService;
