//! Backend that uses the platform's log directly.

use std::sync::Arc;

use async_trait::async_trait;
use eyre::Result;
use marigoldlock::platform::LogClient;
use marigoldlock::settings::{PublishError, SettingsReplica, read_history, settings_text, version_after};
use marigoldlock_core::settings::{SettingsChange, SettingsPath, SettingsRejection};
use marigoldlock_wire::prelude::*;

use super::{HistoryEntry, OperatorError, PublishedChange, RequestedChange, SettingsBackend, ShownSettings};

/// Backend that reads and writes the platform's log.
pub struct LogBackend {
    log: Arc<dyn LogClient>,
    author: String,
    incarnation: Incarnation,
}

impl LogBackend {
    /// Creates a backend that publishes changes under the author's name.
    pub fn new(log: Arc<dyn LogClient>, author: &str) -> Self {
        Self {
            log,
            author: author.to_owned(),
            incarnation: Incarnation(rand::random()),
        }
    }

    async fn replica(&self) -> Result<SettingsReplica> {
        Ok(SettingsReplica::open(Arc::clone(&self.log))
            .await
            .map_err(publish_error)?)
    }

    fn change(&self, requested: RequestedChange) -> SettingsChange {
        SettingsChange {
            path: requested.path,
            body: requested.body,
            expect: requested.expect,
            author: self.author.clone(),
        }
    }
}

#[async_trait]
impl SettingsBackend for LogBackend {
    async fn show(&self, path: &str) -> Result<ShownSettings> {
        let replica = self.replica().await?;
        let parsed: SettingsPath = path.parse().map_err(rejection_error)?;
        let body = replica.fold().value(&parsed).map(settings_text);
        Ok(ShownSettings {
            version: replica.fold().version(),
            path: path.to_owned(),
            body,
        })
    }

    async fn check(&self, changes: &[RequestedChange]) -> Result<()> {
        let changes: Vec<_> = changes
            .iter()
            .cloned()
            .map(|requested| self.change(requested))
            .collect();
        Ok(self.replica().await?.check(&changes).map_err(rejection_error)?)
    }

    async fn publish(&self, changes: Vec<RequestedChange>) -> Result<Vec<PublishedChange>> {
        let paths: Vec<_> = changes.iter().map(|requested| requested.path.clone()).collect();
        let changes = changes
            .into_iter()
            .map(|requested| self.change(requested))
            .collect();
        let writer = InstanceId::from(self.author.as_str());
        let mut replica = self.replica().await?;
        let verdicts = replica
            .publish(changes, &writer, self.incarnation)
            .await
            .map_err(publish_error)?;
        let mut published = Vec::with_capacity(paths.len());
        for (path, verdict) in paths.into_iter().zip(verdicts) {
            let version = version_after(verdict.map_err(rejection_error)?);
            published.push(PublishedChange { path, version });
        }
        Ok(published)
    }

    async fn history(&self, path: &str) -> Result<Vec<HistoryEntry>> {
        let parsed: SettingsPath = path.parse().map_err(rejection_error)?;
        let entries = read_history(Arc::clone(&self.log), &parsed)
            .await
            .map_err(publish_error)?;
        let past = entries.into_iter().map(|entry| HistoryEntry {
            version: version_after(entry.position),
            verdict: entry.verdict_text(),
            path: entry.change.path,
            author: entry.change.author,
            body: entry.change.body,
        });
        Ok(past.collect())
    }
}

fn publish_error(error: PublishError) -> OperatorError {
    OperatorError {
        code: error.code(),
        message: error.to_string(),
    }
}

fn rejection_error(rejection: SettingsRejection) -> OperatorError {
    OperatorError {
        code: rejection.code(),
        message: rejection.to_string(),
    }
}
