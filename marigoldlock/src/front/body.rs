//! Reading request bodies with limits on size and time.

use std::time::Duration;

use axum::body::Body;
use axum::http::{HeaderMap, header};
use bytes::{Bytes, BytesMut};
use futures::StreamExt;
use marigoldlock_wire::prelude::*;

use super::reject::Rejection;

/// The whole body must arrive within the idle timeout times this factor.
const TOTAL_TIMEOUT_FACTOR: u32 = 6;

/// Limits on a request body.
#[derive(Clone, Copy, Debug)]
pub struct BodyLimits {
    /// Maximum size, in bytes.
    pub max_bytes: usize,
    /// Maximum time without receiving any bytes.
    pub idle_timeout: Duration,
}

/// Reads a whole body.
///
/// # Errors
///
/// Rejects a body that is too large, too slow or cut short.
pub async fn read_body(body: Body, headers: &HeaderMap, limits: BodyLimits) -> Result<Bytes, Rejection> {
    let declared = declared_length(headers);
    if declared.is_some_and(|length| length > limits.max_bytes as u64) {
        return Err(too_large(limits.max_bytes));
    }
    let total = limits.idle_timeout * TOTAL_TIMEOUT_FACTOR;
    let read = read_chunks(body, limits, declared.unwrap_or_default() as usize);
    tokio::time::timeout(total, read)
        .await
        .unwrap_or_else(|_| Err(too_slow(total)))
}

async fn read_chunks(body: Body, limits: BodyLimits, expected: usize) -> Result<Bytes, Rejection> {
    let mut stream = body.into_data_stream();
    let mut collected = BytesMut::with_capacity(expected);
    loop {
        let next = tokio::time::timeout(limits.idle_timeout, stream.next()).await;
        match next.map_err(|_| too_slow(limits.idle_timeout))? {
            None => return Ok(collected.freeze()),
            Some(Err(err)) => return Err(read_failed(&err)),
            Some(Ok(chunk)) if collected.len() + chunk.len() > limits.max_bytes => {
                return Err(too_large(limits.max_bytes));
            }
            Some(Ok(chunk)) => collected.extend_from_slice(&chunk),
        }
    }
}

fn declared_length(headers: &HeaderMap) -> Option<u64> {
    headers.get(header::CONTENT_LENGTH)?.to_str().ok()?.parse().ok()
}

fn too_large(limit: usize) -> Rejection {
    Rejection::with_message(
        ResultCode::BodyTooLarge,
        format!("The body may have {limit} bytes."),
    )
}

fn too_slow(wait: Duration) -> Rejection {
    let message = format!("The body did not arrive within {} ms.", wait.as_millis());
    Rejection::with_message(ResultCode::SlowSender, message)
}

fn read_failed(err: &axum::Error) -> Rejection {
    Rejection::with_message(
        ResultCode::AmbiguousFraming,
        format!("The body could not be read: {err}."),
    )
}
