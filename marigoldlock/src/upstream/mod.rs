//! Sending requests to upstreams.
//!
//! Repeatable requests use pooled connections. A call that must not be repeated gets a new connection: if the
//! upstream closed a pooled one at the same moment, the outcome of the call would be unknown although it
//! never ran.

use std::error::Error;
use std::time::Duration;

use axum::http::{HeaderMap, HeaderName, HeaderValue, Method};
use bytes::Bytes;
use marigoldlock_core::relay::{AttemptId, EchoedIds, FailureKind};
use marigoldlock_wire::engine::{ATTEMPT_HEADER, REQUEST_ID_HEADER};
use marigoldlock_wire::prelude::*;

/// Maximum time to establish a connection.
const CONNECT_TIMEOUT: Duration = Duration::from_secs(1);

/// Maximum time for which sent bytes may stay unacknowledged before the kernel closes the connection.
const TCP_USER_TIMEOUT: Duration = Duration::from_secs(3);

/// Idle time before the first keepalive probe, which distinguishes a dead connection from a slow upstream.
const KEEPALIVE_IDLE: Duration = Duration::from_secs(3);

/// Interval between keepalive probes.
const KEEPALIVE_INTERVAL: Duration = Duration::from_secs(1);

/// Idle time after which a pooled connection is closed.
const POOL_IDLE_TIMEOUT: Duration = Duration::from_secs(20);

/// Maximum number of idle connections in the pool per upstream.
const MAX_IDLE_CONNECTIONS: usize = 64;

/// A request to an upstream.
#[derive(Clone, Debug)]
pub struct UpstreamCall<'a> {
    /// Address of the upstream, as `ip:port`.
    pub address: &'a str,
    /// HTTP method.
    pub method: &'a Method,
    /// Path and query of the URL.
    pub path: &'a str,
    /// End-to-end headers.
    pub headers: &'a HeaderMap,
    /// Request body.
    pub body: Bytes,
    /// Request id.
    pub request: RequestId,
    /// Number of the attempt.
    pub attempt: AttemptId,
}

/// HTTP clients for upstreams, with and without a connection pool.
#[derive(Clone, Debug)]
pub struct UpstreamClient {
    pooled: reqwest::Client,
    unpooled: reqwest::Client,
}

impl Default for UpstreamClient {
    fn default() -> Self {
        Self {
            pooled: client(MAX_IDLE_CONNECTIONS),
            unpooled: client(0),
        }
    }
}

impl UpstreamClient {
    /// Sends a repeatable request on a pooled connection.
    ///
    /// There is no timeout for the head of the answer.
    ///
    /// # Errors
    ///
    /// Fails with the kind of failure if no head was received.
    pub async fn send_repeatable(&self, call: UpstreamCall<'_>) -> Result<reqwest::Response, FailureKind> {
        send(&self.pooled, call).await
    }

    /// Sends a call that must not be repeated on a new connection.
    ///
    /// # Errors
    ///
    /// Fails like [`UpstreamClient::send_repeatable`].
    pub async fn send_once(&self, call: UpstreamCall<'_>) -> Result<reqwest::Response, FailureKind> {
        send(&self.unpooled, call).await
    }
}

fn client(max_idle_connections: usize) -> reqwest::Client {
    reqwest::Client::builder()
        .no_proxy()
        .connect_timeout(CONNECT_TIMEOUT)
        .tcp_user_timeout(TCP_USER_TIMEOUT)
        .tcp_keepalive(KEEPALIVE_IDLE)
        .tcp_keepalive_interval(KEEPALIVE_INTERVAL)
        .tcp_nodelay(true)
        .pool_idle_timeout(POOL_IDLE_TIMEOUT)
        .pool_max_idle_per_host(max_idle_connections)
        .redirect(reqwest::redirect::Policy::none())
        .retry(reqwest::retry::never())
        .http1_only()
        .build()
        .expect("a client without TLS always builds")
}

async fn send(client: &reqwest::Client, call: UpstreamCall<'_>) -> Result<reqwest::Response, FailureKind> {
    let url = format!("http://{}{}", call.address, call.path);
    let mut headers = call.headers.clone();
    let request = HeaderValue::from_str(&call.request.to_string()).expect("hex digits are valid");
    headers.insert(HeaderName::from_static(REQUEST_ID_HEADER), request);
    headers.insert(
        HeaderName::from_static(ATTEMPT_HEADER),
        HeaderValue::from(call.attempt.0),
    );
    let request = client
        .request(call.method.clone(), url)
        .headers(headers)
        .body(call.body);
    request.send().await.map_err(|err| classify_error(&err))
}

/// Classifies an error; above all, tells a request that was never sent from one that the upstream may have
/// received.
pub fn classify_error(err: &reqwest::Error) -> FailureKind {
    if err.is_connect() || err.is_builder() {
        return FailureKind::NotConnected;
    }
    if err.is_timeout() || is_kernel_timeout(err) {
        return FailureKind::TimedOut;
    }
    FailureKind::ResetAfterSend
}

/// True if the kernel closed the connection because sent bytes were not acknowledged in time.
fn is_kernel_timeout(err: &reqwest::Error) -> bool {
    let mut source = err.source();
    while let Some(inner) = source {
        let io = inner.downcast_ref::<std::io::Error>();
        if io.is_some_and(|io| io.kind() == std::io::ErrorKind::TimedOut) {
            return true;
        }
        source = inner.source();
    }
    false
}

/// Request id and attempt number that the headers of an answer echo.
pub fn echoed_ids(headers: &HeaderMap) -> EchoedIds {
    let text = |name: &str| headers.get(name).and_then(|value| value.to_str().ok());
    EchoedIds {
        request: text(REQUEST_ID_HEADER).and_then(|text| text.parse().ok()),
        attempt: text(ATTEMPT_HEADER)
            .and_then(|text| text.parse().ok())
            .map(AttemptId),
    }
}
