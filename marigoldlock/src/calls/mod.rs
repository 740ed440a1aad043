//! At-most-once execution of non-idempotent calls.
//!
//! A call with a home key runs only at the instance that the key names, which remembers its outcome. Any
//! other key is claimed in the log before its call is sent. A call that has started runs to completion in its
//! own task even if the caller disconnects, so that a retry with the same key gets the outcome.

mod claims;
mod follow;
mod gate;
mod home;
mod runner;
mod service;

pub use claims::{BeginClaimedCall, CallsStreamStatus, ClaimActor, ClaimHandle, ClaimReply};
pub use follow::CallsSink;
pub use gate::SendGate;
pub use home::{BeginHomeCall, HomeActor, HomeHandle, HomeReply};
pub use runner::{CallRequest, CallRunner};
pub(crate) use runner::{failed_answer, http_headers};
pub use service::CallService;
