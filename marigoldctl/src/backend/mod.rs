//! Where the operators' commands read and publish settings.
//!
//! [`SettingsBackend`] hides whether the tool talks to the platform's log itself or to the administration
//! API of an instance.

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

/// Where settings are read and published; the log or one instance.
#[derive(Args, Clone, Debug)]
pub struct BackendArgs {
    /// URL of the platform's log, to read and publish there directly.
    #[arg(long, env = "MARIGOLDLOCK_LOG_URL", required_unless_present = "instance")]
    log_url: Option<String>,
    /// URL of an instance, to go through its administration API; goes before --log-url.
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
    /// Name that the change is published under at the log; an instance takes the token's operator.
    #[arg(long, env = "MARIGOLDCTL_AUTHOR", default_value = "marigoldctl")]
    author: String,
}

impl BackendArgs {
    /// The backend that the flags name.
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

/// Numbered error that an operator sees.
#[derive(Clone, Debug, Display, Error, Eq, PartialEq)]
#[display("{code}: {message}")]
pub struct OperatorError {
    /// The code.
    pub code: ResultCode,
    /// What is wrong and where.
    pub message: String,
}

/// Change that an operator wants.
#[derive(Clone, Debug)]
pub struct WantedChange {
    /// Path of the change.
    pub path: String,
    /// New value as TOML, `None` to remove.
    pub body: Option<String>,
    /// Version that the operator saw.
    pub expect: Option<LogPosition>,
}

impl WantedChange {
    /// A new value at a path.
    pub fn set(path: impl Into<String>, body: impl Into<String>) -> Self {
        Self {
            path: path.into(),
            body: Some(body.into()),
            expect: None,
        }
    }

    /// Removal of what is at a path.
    pub fn remove(path: impl Into<String>) -> Self {
        Self {
            path: path.into(),
            body: None,
            expect: None,
        }
    }

    /// Adds the version that the operator saw.
    pub fn expecting(mut self, expect: Option<LogPosition>) -> Self {
        self.expect = expect;
        self
    }
}

/// Value at a path.
#[derive(Clone, Debug, Deserialize, Serialize)]
pub struct ShownSettings {
    /// Version that the value belongs to.
    pub version: LogPosition,
    /// The path.
    pub path: String,
    /// The value as TOML, a scalar behind the key `value`; `None` if there is none.
    pub body: Option<String>,
}

/// Published change.
#[derive(Clone, Debug, Deserialize, Serialize)]
pub struct PublishedChange {
    /// Path of the change.
    pub path: String,
    /// Version from which on it is in force.
    pub version: LogPosition,
}

/// Earlier change.
#[derive(Clone, Debug, Deserialize, Serialize)]
pub struct PastChange {
    /// Version from which on it was in force.
    pub version: LogPosition,
    /// Path of the change.
    pub path: String,
    /// Who published it.
    pub author: String,
    /// The value as TOML; `None` for a removal.
    pub body: Option<String>,
    /// `accepted`, `repeated`, or why it was refused.
    pub verdict: String,
}

/// Settings as operators read and publish them.
#[async_trait]
pub trait SettingsBackend: Send + Sync {
    /// The value at a path.
    ///
    /// # Errors
    ///
    /// [`OperatorError`] with a numbered code.
    async fn show(&self, path: &str) -> Result<ShownSettings>;

    /// Tells whether the changes would be accepted.
    ///
    /// # Errors
    ///
    /// [`OperatorError`] with a numbered code.
    async fn check(&self, changes: &[WantedChange]) -> Result<()>;

    /// Publishes the changes in order and waits until each is accepted.
    ///
    /// # Errors
    ///
    /// [`OperatorError`] with a numbered code; the changes before the failed one stay in force.
    async fn publish(&self, changes: Vec<WantedChange>) -> Result<Vec<PublishedChange>>;

    /// Changes at, above or under a path that are still kept, oldest first.
    ///
    /// # Errors
    ///
    /// [`OperatorError`] with a numbered code.
    async fn history(&self, path: &str) -> Result<Vec<PastChange>>;
}
