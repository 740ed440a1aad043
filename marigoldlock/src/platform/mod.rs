//! Clients of the platform's interfaces.
//!
//! Each interface is a trait object, so that tests put a fake in its place. The HTTP clients use short
//! timeouts and `TCP_USER_TIMEOUT`, since a connection may go silent for good while new ones work.

use std::time::Duration;

mod list;
mod log;

pub use list::{HttpListClient, ListClient};
pub use log::{HttpLogClient, LogClient, LogError, ReadBatch};

/// Longest wait for a connection to the platform.
const CONNECT_TIMEOUT: Duration = Duration::from_secs(2);

/// Longest time the kernel keeps sent and unacknowledged bytes.
const USER_TIMEOUT: Duration = Duration::from_secs(3);

/// Longest silence of an answer, long polls excepted.
const ANSWER_TIMEOUT: Duration = Duration::from_secs(3);

/// HTTP client towards the platform.
///
/// # Panics
///
/// Panics if the HTTP library can't start, which needs no outside condition.
pub fn platform_client() -> reqwest::Client {
    client_with_user_timeout(USER_TIMEOUT)
}

/// HTTP client whose connections the kernel ends after `user_timeout` without an acknowledgement.
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

/// Reads a JSON answer and counts its bytes for an interface.
pub(crate) async fn read_json<T: serde::de::DeserializeOwned>(
    response: reqwest::Response,
    interface: &'static str,
) -> eyre::Result<T> {
    let body = response.bytes().await?;
    metrics::counter!("marigoldlock_read_bytes_total", "interface" => interface).increment(body.len() as u64);
    Ok(serde_json::from_slice(&body)?)
}
