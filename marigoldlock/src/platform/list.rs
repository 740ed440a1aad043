//! Client of the platform's instance list.

use async_trait::async_trait;
use eyre::Result;
use marigoldlock_wire::platform::InstanceList;

use super::{RESPONSE_TIMEOUT, platform_client, read_json};

/// The platform's list of live and leaving instances and upstreams, which lags behind their real state.
#[async_trait]
pub trait ListClient: Send + Sync {
    /// Reads the list.
    ///
    /// # Errors
    ///
    /// Fails if the platform doesn't return a valid list in time.
    async fn read(&self) -> Result<InstanceList>;
}

/// List client over HTTP.
#[derive(Clone, Debug)]
pub struct HttpListClient {
    http: reqwest::Client,
    url: String,
}

impl HttpListClient {
    /// Creates a client for the list at `base_url`.
    pub fn new(base_url: &str) -> Self {
        let url = format!("{}/v1/instances", base_url.trim_end_matches('/'));
        Self {
            http: platform_client(),
            url,
        }
    }
}

#[async_trait]
impl ListClient for HttpListClient {
    async fn read(&self) -> Result<InstanceList> {
        let request = self.http.get(&self.url).timeout(RESPONSE_TIMEOUT);
        let response = request.send().await?.error_for_status()?;
        read_json(response, "list").await
    }
}
