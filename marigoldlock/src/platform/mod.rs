//! Clients of the platform's interfaces.
//!
//! Each interface is a trait, so that tests can substitute a fake. The HTTP clients use short timeouts and
//! `TCP_USER_TIMEOUT`, because a connection can go silent for good while new connections still work.

use std::time::Duration;

mod list;
mod log;

pub use list::{HttpListClient, ListClient};
pub use log::{HttpLogClient, LogClient, LogError, ReadBatch};

/// Timeout for connecting to the platform.
const CONNECT_TIMEOUT: Duration = Duration::from_secs(2);

/// Time after which the kernel drops a connection with unacknowledged bytes (`TCP_USER_TIMEOUT`).
const USER_TIMEOUT: Duration = Duration::from_secs(3);

/// Timeout for a response; a long poll adds its waiting time.
const RESPONSE_TIMEOUT: Duration = Duration::from_secs(3);

/// Creates an HTTP client for the platform.
///
/// # Panics
///
/// Panics if the HTTP client can't be built, which doesn't depend on the environment.
pub fn platform_client() -> reqwest::Client {
    client_with_user_timeout(USER_TIMEOUT)
}

/// Creates an HTTP client whose connections the kernel drops after `user_timeout` without an acknowledgement.
///
/// # Panics
///
/// As [`platform_client`].
pub fn client_with_user_timeout(user_timeout: Duration) -> reqwest::Client {
    reqwest::Client::builder()
        .no_proxy()
        .connect_timeout(CONNECT_TIMEOUT)
        .tcp_user_timeout(user_timeout)
        .tcp_nodelay(true)
        .redirect(reqwest::redirect::Policy::none())
        .build()
        .expect("a client without TLS always builds")
}

/// Reads a JSON response and counts its bytes in the metric of `interface`.
pub(crate) async fn read_json<T: serde::de::DeserializeOwned>(
    response: reqwest::Response,
    interface: &'static str,
) -> eyre::Result<T> {
    let body = response.bytes().await?;
    metrics::counter!("marigoldlock_read_bytes_total", "interface" => interface).increment(body.len() as u64);
    Ok(serde_json::from_slice(&body)?)
}
