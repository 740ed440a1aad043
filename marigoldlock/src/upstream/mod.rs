//! Sending requests to upstreams.
//!
//! Work that may be repeated uses kept connections. A call that may not be repeated gets a connection of
//! its own: a kept one that the upstream closes at the same moment would leave the call's outcome unknown
//! although it never ran.

use std::error::Error;
use std::time::Duration;

use axum::http::{HeaderMap, HeaderName, HeaderValue, Method};
use bytes::Bytes;
use marigoldlock_core::relay::{AttemptId, EchoedIds, FailureKind};
use marigoldlock_wire::engine::{ATTEMPT_HEADER, REQUEST_ID_HEADER};
use marigoldlock_wire::prelude::*;

/// Longest wait for a connection.
const CONNECT_TIMEOUT: Duration = Duration::from_secs(1);

/// Longest time the kernel keeps sent and unacknowledged bytes.
const USER_TIMEOUT: Duration = Duration::from_secs(3);

/// Idle time before the kernel probes a connection, so that one which went silent for good is told from a slow one.
const KEEPALIVE_IDLE: Duration = Duration::from_secs(3);

/// Time between two probes.
const KEEPALIVE_INTERVAL: Duration = Duration::from_secs(1);

/// Idle time after which a kept connection is closed.
const IDLE_TIMEOUT: Duration = Duration::from_secs(20);

/// Connections kept to one upstream.
const IDLE_CONNECTIONS: usize = 64;

/// Request to an upstream.
#[derive(Clone, Debug)]
pub struct UpstreamCall<'a> {
    /// Address of the upstream, as `ip:port`.
    pub address: &'a str,
    /// HTTP method.
    pub method: &'a Method,
    /// Path and query.
    pub path: &'a str,
    /// End-to-end headers.
    pub headers: &'a HeaderMap,
    /// Body.
    pub body: Bytes,
    /// Request id.
    pub request: RequestId,
    /// Number of the attempt.
    pub attempt: AttemptId,
}

/// HTTP clients towards upstreams.
#[derive(Clone, Debug)]
pub struct UpstreamClient {
    kept: reqwest::Client,
    single: reqwest::Client,
}

impl Default for UpstreamClient {
    fn default() -> Self {
        Self {
            kept: client(IDLE_CONNECTIONS),
            single: client(0),
        }
    }
}

impl UpstreamClient {
    /// Sends work that may be repeated.
    ///
    /// # Errors
    ///
    /// Tells how the attempt failed; the answer's head is waited for without a bound of its own.
    pub async fn send_repeatable(&self, call: UpstreamCall<'_>) -> Result<reqwest::Response, FailureKind> {
        send(&self.kept, call).await
    }

    /// Sends a call that may not be repeated.
    ///
    /// # Errors
    ///
    /// As [`UpstreamClient::send_repeatable`].
    pub async fn send_once(&self, call: UpstreamCall<'_>) -> Result<reqwest::Response, FailureKind> {
        send(&self.single, call).await
    }
}

fn client(idle_connections: usize) -> reqwest::Client {
    reqwest::Client::builder()
        .no_proxy()
        .connect_timeout(CONNECT_TIMEOUT)
        .tcp_user_timeout(USER_TIMEOUT)
        .tcp_keepalive(KEEPALIVE_IDLE)
        .tcp_keepalive_interval(KEEPALIVE_INTERVAL)
        .tcp_nodelay(true)
        .pool_idle_timeout(IDLE_TIMEOUT)
        .pool_max_idle_per_host(idle_connections)
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
    request.send().await.map_err(|err| classify(&err))
}

/// Tells a request that never left from one that the upstream may hold.
pub fn classify(err: &reqwest::Error) -> FailureKind {
    if err.is_connect() || err.is_builder() {
        return FailureKind::NotConnected;
    }
    if err.is_timeout() || kernel_timeout(err) {
        return FailureKind::TimedOut;
    }
    FailureKind::ResetAfterSend
}

/// True if the kernel gave up on unacknowledged bytes.
fn kernel_timeout(err: &reqwest::Error) -> bool {
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

/// Request id and attempt that an answer repeats.
pub fn head_echo(headers: &HeaderMap) -> EchoedIds {
    let text = |name: &str| headers.get(name).and_then(|value| value.to_str().ok());
    EchoedIds {
        request: text(REQUEST_ID_HEADER).and_then(|text| text.parse().ok()),
        attempt: text(ATTEMPT_HEADER)
            .and_then(|text| text.parse().ok())
            .map(AttemptId),
    }
}
