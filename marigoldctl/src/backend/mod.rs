//! Access to the settings for the operators' commands.
//!
//! A [`SettingsBackend`] reads and publishes settings either directly at the platform's log or through the
//! administration API of an instance.

mod instance;
mod log;

use std::sync::Arc;

use async_trait::async_trait;
use clap::Args;
use derive_more::{Display, Error};
use eyre::Result;
use marigoldlock::platform::HttpLogClient;
use marigoldlock_wire::prelude::*;
use serde::{Deserialize, Serialize};

use self::instance::InstanceBackend;
use self::log::LogBackend;

/// Arguments that select the backend: the log or one instance.
#[derive(Args, Clone, Debug)]
pub struct BackendArgs {
    /// URL of the platform's log, to read and publish there directly.
    #[arg(long, env = "MARIGOLDLOCK_LOG_URL", required_unless_present = "instance")]
    log_url: Option<String>,
    /// URL of an instance, to use its administration API; takes precedence over --log-url.
    #[arg(long, env = "MARIGOLDCTL_INSTANCE")]
    instance: Option<String>,
    /// Administration token for --instance.
    #[arg(
        long,
        env = "MARIGOLDCTL_TOKEN",
        hide_env_values = true,
        requires = "instance"
    )]
    token: Option<String>,
    /// Author of changes published at the log; an instance uses the operator of the token instead.
    #[arg(long, env = "MARIGOLDCTL_AUTHOR", default_value = "marigoldctl")]
    author: String,
}

impl BackendArgs {
    /// Opens the selected backend.
    pub fn open(&self) -> Box<dyn SettingsBackend> {
        match (&self.instance, &self.log_url) {
            (Some(url), _) => Box::new(InstanceBackend::new(url, self.token.clone().unwrap_or_default())),
            (None, log_url) => {
                let log = HttpLogClient::new(log_url.as_deref().unwrap_or_default());
                Box::new(LogBackend::new(Arc::new(log), &self.author))
            }
        }
    }
}

/// Error with a result code, as shown to an operator.
#[derive(Clone, Debug, Display, Error, Eq, PartialEq)]
#[display("{code}: {message}")]
pub struct OperatorError {
    /// The result code.
    pub code: ResultCode,
    /// Description of the error, with the place in the settings if it has one.
    pub message: String,
}

/// Change that an operator requests.
#[derive(Clone, Debug)]
pub struct RequestedChange {
    /// Path of the change.
    pub path: String,
    /// New value as TOML; `None` removes the value.
    pub body: Option<String>,
    /// Version that the change is based on.
    pub expect: Option<LogPosition>,
}

impl RequestedChange {
    /// Creates a change that sets the value at a path.
    pub fn set(path: impl Into<String>, body: impl Into<String>) -> Self {
        Self {
            path: path.into(),
            body: Some(body.into()),
            expect: None,
        }
    }

    /// Creates a change that removes the value at a path.
    pub fn remove(path: impl Into<String>) -> Self {
        Self {
            path: path.into(),
            body: None,
            expect: None,
        }
    }

    /// Sets the version that the change is based on; it is refused if the path has changed since then.
    pub fn with_expected_version(mut self, expect: Option<LogPosition>) -> Self {
        self.expect = expect;
        self
    }
}

/// Value at a path.
#[derive(Clone, Debug, Deserialize, Serialize)]
pub struct ShownSettings {
    /// Version of the settings that the value was read at.
    pub version: LogPosition,
    /// The path.
    pub path: String,
    /// The value as TOML, with a scalar as the key `value`; `None` if nothing is set.
    pub body: Option<String>,
}

/// Change that was published and accepted.
#[derive(Clone, Debug, Deserialize, Serialize)]
pub struct PublishedChange {
    /// Path of the change.
    pub path: String,
    /// First version in which the change is in force.
    pub version: LogPosition,
}

/// Entry in the history of changes.
#[derive(Clone, Debug, Deserialize, Serialize)]
pub struct HistoryEntry {
    /// First version after the change.
    pub version: LogPosition,
    /// Path of the change.
    pub path: String,
    /// Author of the change.
    pub author: String,
    /// The value as TOML; `None` for a removal.
    pub body: Option<String>,
    /// `accepted`, `repeated`, or the reason for the refusal.
    pub verdict: String,
}

/// Reads and publishes settings for an operator.
#[async_trait]
pub trait SettingsBackend: Send + Sync {
    /// Reads the value at a path.
    ///
    /// # Errors
    ///
    /// Returns an [`OperatorError`] with a result code.
    async fn show(&self, path: &str) -> Result<ShownSettings>;

    /// Checks whether the changes would be accepted, without publishing them.
    ///
    /// # Errors
    ///
    /// Returns an [`OperatorError`] with a result code.
    async fn check(&self, changes: &[RequestedChange]) -> Result<()>;

    /// Publishes the changes in order and waits until each is accepted.
    ///
    /// # Errors
    ///
    /// Returns an [`OperatorError`] with a result code; the changes before the failed one stay in force.
    async fn publish(&self, changes: Vec<RequestedChange>) -> Result<Vec<PublishedChange>>;

    /// Reads the changes at, above or under a path that the log still keeps, oldest first.
    ///
    /// # Errors
    ///
    /// Returns an [`OperatorError`] with a result code.
    async fn history(&self, path: &str) -> Result<Vec<HistoryEntry>>;
}
