//! Backend that uses the administration API of an instance.

use std::time::Duration;

use async_trait::async_trait;
use eyre::{Result, WrapErr};
use marigoldlock_wire::prelude::*;
use reqwest::{Client, RequestBuilder, Response};
use serde::Deserialize;
use serde::de::DeserializeOwned;

use super::{HistoryEntry, OperatorError, PublishedChange, RequestedChange, SettingsBackend, ShownSettings};

/// Timeout of a request; longer than the time after which the instance itself gives up a publication.
const REQUEST_TIMEOUT: Duration = Duration::from_secs(15);

/// Backend that sends requests to an instance with an operator's token.
pub struct InstanceBackend {
    http: Client,
    url: String,
    token: String,
}

#[derive(Deserialize)]
struct ErrorBody {
    error: ErrorDetail,
}

#[derive(Deserialize)]
struct ErrorDetail {
    code: u16,
    message: String,
}

impl InstanceBackend {
    /// Creates a backend for the instance at `url`.
    pub fn new(url: &str, token: String) -> Self {
        let http = Client::builder().no_proxy().timeout(REQUEST_TIMEOUT).build();
        Self {
            http: http.expect("a client without TLS always builds"),
            url: url.trim_end_matches('/').to_owned(),
            token,
        }
    }

    fn settings_url(&self, path: &str) -> String {
        format!("{}/admin/v1/settings/{path}", self.url)
    }

    async fn send<T: DeserializeOwned>(&self, request: RequestBuilder) -> Result<T> {
        let sent = request.bearer_auth(&self.token).send().await;
        let response = sent.wrap_err_with(|| format!("request to instance {} failed", self.url))?;
        if response.status().is_success() {
            return Ok(response.json().await?);
        }
        Err(read_error(response).await)
    }

    async fn put(&self, requested: &RequestedChange, dry_run: bool) -> Result<PublishedChange> {
        let expect = requested.expect.map(|version| format!("&expect={version}"));
        let query = format!("?dry_run={dry_run}{}", expect.unwrap_or_default());
        let url = self.settings_url(&requested.path) + &query;
        let request = match &requested.body {
            Some(body) => self.http.put(url).body(body.clone()),
            None => self.http.delete(url),
        };
        self.send(request).await
    }
}

async fn read_error(response: Response) -> eyre::Report {
    let status = response.status();
    match response.json::<ErrorBody>().await {
        Ok(ErrorBody { error }) => {
            let code = ResultCode::from_number(error.code).unwrap_or(ResultCode::Internal);
            OperatorError {
                code,
                message: error.message,
            }
            .into()
        }
        Err(_) => eyre::eyre!("the instance answered with status {status} and no result code"),
    }
}

#[async_trait]
impl SettingsBackend for InstanceBackend {
    async fn show(&self, path: &str) -> Result<ShownSettings> {
        self.send(self.http.get(self.settings_url(path))).await
    }

    async fn check(&self, changes: &[RequestedChange]) -> Result<()> {
        for requested in changes {
            self.put(requested, true).await?;
        }
        Ok(())
    }

    async fn publish(&self, changes: Vec<RequestedChange>) -> Result<Vec<PublishedChange>> {
        let mut published = Vec::with_capacity(changes.len());
        for requested in &changes {
            published.push(self.put(requested, false).await?);
        }
        Ok(published)
    }

    async fn history(&self, path: &str) -> Result<Vec<HistoryEntry>> {
        self.send(self.http.get(format!("{}/admin/v1/history/{path}", self.url)))
            .await
    }
}
