//! Headers that are read from requests or forwarded between callers and upstreams.

use axum::http::{HeaderMap, HeaderName, header};
use marigoldlock_wire::engine::{ATTEMPT_HEADER, PRIORITY_HEADER, REQUEST_ID_HEADER};

use super::auth::KEY_HEADERS;

/// Header with the idempotency key of a call.
pub const IDEMPOTENCY_HEADER: &str = "idempotency-key";

/// Header with the requested class: `interactive`, `standard` or `long`.
pub const CLASS_HEADER: &str = "x-class";

/// Header with the time in which the caller needs the answer, in milliseconds.
pub const DEADLINE_HEADER: &str = "x-deadline-ms";

/// Hop-by-hop headers, which are never forwarded.
const HOP_BY_HOP_HEADERS: [HeaderName; 8] = [
    header::CONNECTION,
    header::PROXY_AUTHENTICATE,
    header::TE,
    header::TRAILER,
    header::TRANSFER_ENCODING,
    header::UPGRADE,
    header::HOST,
    header::CONTENT_LENGTH,
];

/// Headers that callers can't set: they are set by this system, or apply to one connection only.
const RESERVED_HEADERS: [&str; 4] = [REQUEST_ID_HEADER, ATTEMPT_HEADER, PRIORITY_HEADER, "keep-alive"];

/// Returns the headers of a message that may be forwarded.
pub fn end_to_end(headers: &HeaderMap) -> HeaderMap {
    let mut forwarded = headers.clone();
    for name in connection_names(headers) {
        forwarded.remove(&name);
    }
    for name in HOP_BY_HOP_HEADERS.iter().chain(&KEY_HEADERS) {
        forwarded.remove(name);
    }
    for name in RESERVED_HEADERS {
        forwarded.remove(name);
    }
    forwarded
}

/// Names of the headers that the `Connection` header declares as hop-by-hop.
fn connection_names(headers: &HeaderMap) -> Vec<HeaderName> {
    headers
        .get_all(header::CONNECTION)
        .iter()
        .filter_map(|value| value.to_str().ok())
        .flat_map(|value| value.split(','))
        .filter_map(|name| name.trim().parse().ok())
        .collect()
}
