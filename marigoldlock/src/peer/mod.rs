//! Connections between entry instances.
//!
//! Each instance keeps one h2 connection to each peer that it talks to. A request is one stream; both
//! bodies are encoded by [`marigoldlock_wire::codec`]. Connections that went silent are found by h2 pings
//! and replaced.

mod client;
mod frame;
mod server;

pub use client::{PeerError, PeerPool};
pub use server::{PeerHandler, PeerServer};
