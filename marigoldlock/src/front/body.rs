//! Reading a caller's body within bounds.

use std::time::Duration;

use axum::body::Body;
use axum::http::{HeaderMap, header};
use bytes::{Bytes, BytesMut};
use futures::StreamExt;
use marigoldlock_wire::prelude::*;

use super::reject::Rejection;

/// A body may take this many times the longest silence in all.
const TOTAL_FACTOR: u32 = 6;

/// Bounds on a body.
#[derive(Clone, Copy, Debug)]
pub struct BodyLimits {
    /// Most bytes.
    pub bytes: usize,
    /// Longest silence within the body.
    pub silence: Duration,
}

/// Reads a body whole.
///
/// # Errors
///
/// Rejects a body that is too large, too slow or cut short.
pub async fn read_body(body: Body, headers: &HeaderMap, limits: BodyLimits) -> Result<Bytes, Rejection> {
    let declared = declared_length(headers);
    if declared.is_some_and(|length| length > limits.bytes as u64) {
        return Err(too_large(limits.bytes));
    }
    let total = limits.silence * TOTAL_FACTOR;
    let read = read_chunks(body, limits, declared.unwrap_or_default() as usize);
    tokio::time::timeout(total, read)
        .await
        .unwrap_or_else(|_| Err(too_slow(total)))
}

async fn read_chunks(body: Body, limits: BodyLimits, expected: usize) -> Result<Bytes, Rejection> {
    let mut stream = body.into_data_stream();
    let mut collected = BytesMut::with_capacity(expected);
    loop {
        let next = tokio::time::timeout(limits.silence, stream.next()).await;
        match next.map_err(|_| too_slow(limits.silence))? {
            None => return Ok(collected.freeze()),
            Some(Err(err)) => return Err(cut_short(&err)),
            Some(Ok(chunk)) if collected.len() + chunk.len() > limits.bytes => {
                return Err(too_large(limits.bytes));
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

fn cut_short(err: &axum::Error) -> Rejection {
    Rejection::with_message(
        ResultCode::AmbiguousFraming,
        format!("The body could not be read: {err}."),
    )
}
