//! Settings through an instance's administration API.

use std::time::Duration;

use async_trait::async_trait;
use eyre::{Result, WrapErr};
use marigoldlock_wire::prelude::*;
use reqwest::{Client, RequestBuilder, Response};
use serde::Deserialize;
use serde::de::DeserializeOwned;

use super::{OperatorError, PastChange, PublishedChange, SettingsBackend, ShownSettings, WantedChange};

/// Longest wait for an answer; a publication is given up by the instance before.
const ANSWER_TIMEOUT: Duration = Duration::from_secs(15);

/// An instance and the operator's token.
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
    /// A backend for the instance at `url`.
    pub fn new(url: &str, token: String) -> Self {
        let http = Client::builder().no_proxy().timeout(ANSWER_TIMEOUT).build();
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
        let response = sent.wrap_err_with(|| format!("instance {}", self.url))?;
        if response.status().is_success() {
            return Ok(response.json().await?);
        }
        Err(error_of(response).await)
    }

    async fn put(&self, wanted: &WantedChange, dry_run: bool) -> Result<PublishedChange> {
        let expect = wanted.expect.map(|version| format!("&expect={version}"));
        let query = format!("?dry_run={dry_run}{}", expect.unwrap_or_default());
        let url = self.settings_url(&wanted.path) + &query;
        let request = match &wanted.body {
            Some(body) => self.http.put(url).body(body.clone()),
            None => self.http.delete(url),
        };
        self.send(request).await
    }
}

async fn error_of(response: Response) -> eyre::Report {
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
        Err(_) => eyre::eyre!("the instance answered with status {status}"),
    }
}

#[async_trait]
impl SettingsBackend for InstanceBackend {
    async fn show(&self, path: &str) -> Result<ShownSettings> {
        self.send(self.http.get(self.settings_url(path))).await
    }

    async fn check(&self, changes: &[WantedChange]) -> Result<()> {
        for wanted in changes {
            self.put(wanted, true).await?;
        }
        Ok(())
    }

    async fn publish(&self, changes: Vec<WantedChange>) -> Result<Vec<PublishedChange>> {
        let mut published = Vec::with_capacity(changes.len());
        for wanted in &changes {
            published.push(self.put(wanted, false).await?);
        }
        Ok(published)
    }

    async fn history(&self, path: &str) -> Result<Vec<PastChange>> {
        self.send(self.http.get(format!("{}/admin/v1/history/{path}", self.url)))
            .await
    }
}
