//! Headers between callers and upstreams.

use axum::http::{HeaderMap, HeaderName, header};
use marigoldlock_wire::engine::{ATTEMPT_HEADER, PRIORITY_HEADER, REQUEST_ID_HEADER};

use super::auth::KEY_HEADERS;

/// Header of a call's idempotency key.
pub const IDEMPOTENCY_HEADER: &str = "idempotency-key";

/// Header with the class wanted: `interactive`, `standard` or `long`.
pub const CLASS_HEADER: &str = "x-class";

/// Header with the time in which the caller needs the answer, in milliseconds.
pub const DEADLINE_HEADER: &str = "x-deadline-ms";

/// Headers of one connection only, which are never passed on.
const HOP_HEADERS: [HeaderName; 8] = [
    header::CONNECTION,
    header::PROXY_AUTHENTICATE,
    header::TE,
    header::TRAILER,
    header::TRANSFER_ENCODING,
    header::UPGRADE,
    header::HOST,
    header::CONTENT_LENGTH,
];

/// Headers that only this system sets towards upstreams.
const OWN_HEADERS: [&str; 4] = [REQUEST_ID_HEADER, ATTEMPT_HEADER, PRIORITY_HEADER, "keep-alive"];

/// The caller's headers that an upstream may see.
pub fn end_to_end(headers: &HeaderMap) -> HeaderMap {
    let mut passed = headers.clone();
    for name in connection_names(headers) {
        passed.remove(&name);
    }
    for name in HOP_HEADERS.iter().chain(&KEY_HEADERS) {
        passed.remove(name);
    }
    for name in OWN_HEADERS {
        passed.remove(name);
    }
    passed
}

/// Headers that the caller's `Connection` header names as hop-by-hop.
fn connection_names(headers: &HeaderMap) -> Vec<HeaderName> {
    headers
        .get_all(header::CONNECTION)
        .iter()
        .filter_map(|value| value.to_str().ok())
        .flat_map(|value| value.split(','))
        .filter_map(|name| name.trim().parse().ok())
        .collect()
}
