//! HTTP front end: the routes for callers, and the listener that also serves the administration API.

mod addresses;
mod auth;
mod body;
mod chat;
mod context;
mod forwarded;
mod guarded_stream;
mod headers;
mod jobs;
mod kv;
mod plain;
mod probes;
mod refusals;
mod reject;
mod router;
mod server;
mod session;
mod target;

pub use addresses::{AddressAnswer, AddressEntry};
pub use context::{FrontContext, FrontLimits, FrontParts};
pub use forwarded::serve_forwarded;
pub(crate) use headers::end_to_end;
pub use headers::{CLASS_HEADER, DEADLINE_HEADER, IDEMPOTENCY_HEADER};
pub use jobs::ChatJobRunner;
pub use refusals::{RefusalCount, RefusalCounters};
pub use reject::{CODE_HEADER, EXECUTION_HEADER, Rejection};
pub use router::front_router;
pub use server::{ConnectionLimits, FrontServer};
