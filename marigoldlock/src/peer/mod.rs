//! Connections between instances.
//!
//! Each instance keeps one HTTP/2 connection to each peer that it exchanges messages with. A request is one
//! stream; both bodies are encoded by [`marigoldlock_wire::codec`]. HTTP/2 pings detect dead connections, which
//! are replaced at the next request.

mod body;
mod client;
mod server;

pub use client::{PeerError, PeerPool};
pub use server::{PeerHandler, PeerServer};
