//! Bodies of upstreams that are read to their end before anything is passed on.
//!
//! Load pattern: a faulty upstream sends a body without end, in large pieces or byte by byte, to many requests at once, on a
//! machine with little memory. Pieces are copied together, since each would otherwise keep a buffer of its own. What is more
//! than an ordinary response is charged to the pool of what clients hold before it is read; if there is no room, that response
//! is given up, and nobody else is dropped for it.

use std::sync::Arc;

use bytes::{Bytes, BytesMut};
use derive_more::{Display, Error, From};
use http::request;
use http_body_util::BodyExt;
use hyper::body::{Body, Incoming};
use marigoldlock_core::gateway::intake::SMALL_BODY_BYTES;

use super::intake::ClientConnection;

/// Size of the first buffer, in bytes.
const FIRST_BUFFER_BYTES: usize = 4 << 10;

/// Why a body was not read to its end.
#[derive(Debug, Display, Error, From)]
pub enum BodyReadError {
    /// The connection broke off, or its bytes are no body.
    #[display("{_0}")]
    Broken(hyper::Error),
    /// The body is longer than any response may be.
    #[display("the body is longer than {max_bytes} bytes")]
    #[from(ignore)]
    TooLarge {
        /// Limit, in bytes.
        max_bytes: usize,
    },
    /// The process has no room for it.
    #[display("no room for more than {held_bytes} bytes of the body")]
    #[from(ignore)]
    NoRoom {
        /// Bytes that were read.
        held_bytes: usize,
    },
}

/// Reads the body of a response to a client's request.
///
/// # Errors
///
/// Fails if the body breaks off, is longer than `max_bytes`, or there is no room for it.
pub async fn read_upstream_body(
    request: &request::Parts,
    mut body: Incoming,
    max_bytes: usize,
) -> Result<Bytes, BodyReadError> {
    let connection = request.extensions.get::<Arc<ClientConnection>>();
    let full_bytes = body.size_hint().exact();
    if full_bytes.is_some_and(|length| length > max_bytes as u64) {
        return Err(BodyReadError::TooLarge { max_bytes });
    }
    let mut content = BytesMut::new();
    // Held until the complete response is charged in their place.
    let mut charges = Vec::new();
    while let Some(frame) = body.frame().await {
        let data = frame?.into_data().unwrap_or_default();
        let length = content.len() + data.len();
        if length > max_bytes {
            return Err(BodyReadError::TooLarge { max_bytes });
        }
        if length > content.capacity() {
            let capacity = (content.capacity() * 2)
                .max(FIRST_BUFFER_BYTES)
                .min(max_bytes)
                .max(length);
            let more = capacity - content.capacity();
            if capacity as u64 > SMALL_BODY_BYTES
                && let Some(connection) = connection
            {
                let charge = connection.charge_free(more as u64);
                let held_bytes = content.len();
                charges.push(charge.ok_or(BodyReadError::NoRoom { held_bytes })?);
            }
            content.reserve(capacity - content.len());
        }
        content.extend_from_slice(&data);
    }
    Ok(content.freeze())
}
