//! Command-line flags and environment variables of an entry instance.

use std::net::SocketAddr;
use std::time::Duration;

use clap::Args;
use derive_more::{Display, Error};
use marigoldlock_wire::prelude::*;

/// Options of an entry instance.
#[derive(Args, Clone, Debug)]
pub struct InstanceOptions {
    /// Name of the instance, unique in the fleet and kept across restarts.
    #[arg(long, env = "MARIGOLDLOCK_NAME")]
    pub name: String,
    /// Data centre that the instance runs in.
    #[arg(long, env = "MARIGOLDLOCK_DATA_CENTRE")]
    pub data_centre: String,
    /// Address to listen on for callers and operators; port 0 picks a free port.
    #[arg(long, env = "MARIGOLDLOCK_LISTEN", default_value = "127.0.0.1:0")]
    pub listen: SocketAddr,
    /// Address to listen on for other instances; port 0 picks a free port.
    #[arg(long, env = "MARIGOLDLOCK_PEER_LISTEN", default_value = "127.0.0.1:0")]
    pub peer_listen: SocketAddr,
    /// Address advertised to callers; defaults to the listening address.
    #[arg(long, env = "MARIGOLDLOCK_ADVERTISE")]
    pub advertise: Option<SocketAddr>,
    /// Address advertised to other instances; defaults to the peer listening address.
    #[arg(long, env = "MARIGOLDLOCK_PEER_ADVERTISE")]
    pub peer_advertise: Option<SocketAddr>,
    /// URL of the platform's log service.
    #[arg(long, env = "MARIGOLDLOCK_LOG_URL")]
    pub log_url: String,
    /// URL of the platform's instance list.
    #[arg(long, env = "MARIGOLDLOCK_LIST_URL")]
    pub list_url: String,
    /// URL of the platform's ordering interface; without it no upstream is ordered.
    #[arg(long, env = "MARIGOLDLOCK_ORDERING_URL")]
    pub ordering_url: Option<String>,
    /// URL of the platform's usage interface; without it no usage is reported.
    #[arg(long, env = "MARIGOLDLOCK_USAGE_URL")]
    pub usage_url: Option<String>,
    /// BLAKE3 hash, in hex, of the token that may administer every team.
    #[arg(long, env = "MARIGOLDLOCK_ADMIN_HASH")]
    pub admin_hash: Option<String>,
    /// Time between heartbeats, in milliseconds.
    #[arg(long, env = "MARIGOLDLOCK_HEARTBEAT_MS", default_value_t = 500)]
    pub heartbeat_ms: u64,
    /// Time between reads of the instance list and of upstreams' load, in milliseconds.
    #[arg(long, env = "MARIGOLDLOCK_POLL_MS", default_value_t = 500)]
    pub poll_ms: u64,
    /// Traffic allowed for reading upstreams' load, in bytes per second; with many upstreams each is read less often.
    #[arg(long, env = "MARIGOLDLOCK_REPORT_BYTES_PER_S", default_value_t = 40_000)]
    pub report_bytes_per_s: u64,
    /// Maximum number of open connections.
    #[arg(long, env = "MARIGOLDLOCK_MAX_CONNECTIONS", default_value_t = 10_000)]
    pub max_connections: usize,
    /// Maximum size of a request's header section, in bytes.
    #[arg(long, env = "MARIGOLDLOCK_MAX_HEADER_BYTES", default_value_t = 32 << 10)]
    pub max_header_bytes: usize,
    /// Timeout for receiving a header section, and for a pause while receiving a body, in milliseconds.
    #[arg(long, env = "MARIGOLDLOCK_SEND_TIMEOUT_MS", default_value_t = 10_000)]
    pub send_timeout_ms: u64,
    /// Time after which a connection whose caller reads nothing is closed, in milliseconds.
    #[arg(long, env = "MARIGOLDLOCK_READ_TIMEOUT_MS", default_value_t = 30_000)]
    pub read_timeout_ms: u64,
    /// How long a graceful shutdown waits for running requests, in seconds.
    #[arg(long, env = "MARIGOLDLOCK_DRAIN_TIMEOUT_S", default_value_t = 600)]
    pub drain_timeout_s: u64,
    /// Time between withdrawing the address from callers and closing the listener, in milliseconds.
    #[arg(long, env = "MARIGOLDLOCK_LEAVE_NOTICE_MS", default_value_t = 5_000)]
    pub leave_notice_ms: u64,
}

/// Invalid value of a flag.
#[derive(Debug, Display, Error)]
#[display("--{flag}: {reason}")]
pub struct OptionError {
    /// Name of the flag, without dashes.
    pub flag: &'static str,
    /// Why the value is invalid.
    pub reason: String,
}

impl OptionError {
    fn new(flag: &'static str, reason: impl Into<String>) -> Self {
        Self {
            flag,
            reason: reason.into(),
        }
    }
}

impl InstanceOptions {
    /// Checks the values beyond what clap does.
    ///
    /// # Errors
    ///
    /// Returns the first flag with an invalid value.
    pub fn check(&self) -> Result<(), OptionError> {
        check_name("name", &self.name)?;
        check_name("data-centre", &self.data_centre)?;
        check_url("log-url", &self.log_url)?;
        check_url("list-url", &self.list_url)?;
        if let Some(url) = &self.ordering_url {
            check_url("ordering-url", url)?;
        }
        if let Some(url) = &self.usage_url {
            check_url("usage-url", url)?;
        }
        if let Some(hash) = &self.admin_hash {
            check_hash("admin-hash", hash)?;
        }
        check_range("heartbeat-ms", self.heartbeat_ms, 10, 10_000)?;
        check_range("poll-ms", self.poll_ms, 10, 10_000)?;
        check_range("report-bytes-per-s", self.report_bytes_per_s, 1_000, 10_000_000)?;
        check_range("max-header-bytes", self.max_header_bytes as u64, 8 << 10, 1 << 20)?;
        check_range("max-connections", self.max_connections as u64, 1, 1_000_000)?;
        check_range("send-timeout-ms", self.send_timeout_ms, 10, 600_000)?;
        check_range("read-timeout-ms", self.read_timeout_ms, 10, 600_000)
    }

    /// Time between heartbeats.
    pub fn heartbeat(&self) -> Duration {
        Duration::from_millis(self.heartbeat_ms)
    }

    /// Time between reads of the instance list and of upstreams' load.
    pub fn poll(&self) -> Duration {
        Duration::from_millis(self.poll_ms)
    }

    /// Timeout for a caller that has stopped sending a request.
    pub fn send_timeout(&self) -> Duration {
        Duration::from_millis(self.send_timeout_ms)
    }

    /// Timeout for a caller that has stopped reading a response.
    pub fn read_timeout(&self) -> Duration {
        Duration::from_millis(self.read_timeout_ms)
    }

    /// Data centre, as an id.
    pub fn data_centre_id(&self) -> DataCentre {
        DataCentre::from(self.data_centre.as_str())
    }
}

fn check_name(flag: &'static str, name: &str) -> Result<(), OptionError> {
    let allowed = |c: char| c.is_ascii_alphanumeric() || c == '-' || c == '_' || c == '.';
    if name.is_empty() || name.len() > 64 || !name.chars().all(allowed) {
        return Err(OptionError::new(
            flag,
            "must be 1 to 64 of the characters a-z A-Z 0-9 - _ .",
        ));
    }
    Ok(())
}

fn check_url(flag: &'static str, text: &str) -> Result<(), OptionError> {
    let url = reqwest::Url::parse(text).map_err(|err| OptionError::new(flag, err.to_string()))?;
    if url.scheme() != "http" || url.host().is_none() {
        return Err(OptionError::new(
            flag,
            "must be a URL such as http://10.0.0.7:8080",
        ));
    }
    Ok(())
}

fn check_hash(flag: &'static str, text: &str) -> Result<(), OptionError> {
    if text.len() != 64 || !text.bytes().all(|byte| byte.is_ascii_hexdigit()) {
        return Err(OptionError::new(flag, "must be 64 hex digits"));
    }
    Ok(())
}

fn check_range(flag: &'static str, value: u64, min: u64, max: u64) -> Result<(), OptionError> {
    if !(min..=max).contains(&value) {
        return Err(OptionError::new(
            flag,
            format!("must be a number from {min} to {max}"),
        ));
    }
    Ok(())
}
