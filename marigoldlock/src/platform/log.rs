//! Client of the platform's log.

use std::time::Duration;

use async_trait::async_trait;
use base64::Engine as _;
use base64::engine::general_purpose::STANDARD;
use bytes::Bytes;
use derive_more::{Display, Error};
use marigoldlock_wire::platform::{AppendAnswer, MAX_RECORD_BYTES, ReadAnswer, ReadQuery};
use reqwest::StatusCode;

use super::{RESPONSE_TIMEOUT, platform_client, read_json};

/// Why a call to the log failed.
#[derive(Clone, Debug, Display, Error, Eq, PartialEq)]
pub enum LogError {
    /// The log rejected the call; nothing was appended.
    #[display("the log refused the call with status {status}")]
    Refused {
        /// HTTP status.
        status: u16,
    },
    /// No connection could be established; nothing was appended.
    #[display("the log can't be reached: {reason}")]
    Unreachable {
        /// What failed.
        reason: String,
    },
    /// No usable response arrived; the record may have been appended or may still be.
    #[display("the log did not answer: {reason}")]
    Unknown {
        /// What failed.
        reason: String,
    },
    /// The record exceeds the log's size limit; nothing was appended.
    #[display("the record has {size} bytes and the log takes {MAX_RECORD_BYTES}")]
    TooLarge {
        /// Size of the record, in bytes.
        size: usize,
    },
}

/// Records read from a stream.
#[derive(Clone, Debug, Default)]
pub struct ReadBatch {
    /// Oldest offset that the log still has.
    pub first: u64,
    /// Offset that the next append will get.
    pub head: u64,
    /// Offset and bytes of each record, in offset order.
    pub records: Vec<(u64, Bytes)>,
}

impl ReadBatch {
    /// Offset of the next read, after a read that started at `from`.
    pub fn next_offset(&self, from: u64) -> u64 {
        let start = from.max(self.first);
        self.records.last().map_or(start, |(offset, _)| offset + 1)
    }
}

/// The platform's log.
#[async_trait]
pub trait LogClient: Send + Sync {
    /// Appends a record and returns its offset.
    ///
    /// # Errors
    ///
    /// After [`LogError::Unknown`] the record may or may not be appended; after the others it is not.
    async fn append(&self, stream: &str, data: Bytes) -> Result<u64, LogError>;

    /// Reads up to `max` records starting at `from`; at the head, waits up to `wait` for a new one.
    ///
    /// # Errors
    ///
    /// Fails if the log rejects the read or doesn't respond in time.
    async fn read(&self, stream: &str, from: u64, max: usize, wait: Duration) -> Result<ReadBatch, LogError>;
}

/// Log client over HTTP.
#[derive(Clone, Debug)]
pub struct HttpLogClient {
    http: reqwest::Client,
    base_url: String,
}

impl HttpLogClient {
    /// Creates a client for the log at `base_url`.
    pub fn new(base_url: &str) -> Self {
        Self {
            http: platform_client(),
            base_url: base_url.trim_end_matches('/').to_owned(),
        }
    }

    fn url(&self, stream: &str) -> String {
        format!("{}/v1/streams/{stream}/records", self.base_url)
    }
}

#[async_trait]
impl LogClient for HttpLogClient {
    async fn append(&self, stream: &str, data: Bytes) -> Result<u64, LogError> {
        if data.len() > MAX_RECORD_BYTES {
            return Err(LogError::TooLarge { size: data.len() });
        }
        let request = self
            .http
            .post(self.url(stream))
            .body(data)
            .timeout(RESPONSE_TIMEOUT);
        let response = request.send().await.map_err(|err| send_error(&err))?;
        check_status(response.status())?;
        let answer: AppendAnswer = response.json().await.map_err(|err| unknown(&err))?;
        Ok(answer.offset)
    }

    async fn read(&self, stream: &str, from: u64, max: usize, wait: Duration) -> Result<ReadBatch, LogError> {
        let wait_ms = u64::try_from(wait.as_millis()).unwrap_or(u64::MAX);
        let query = ReadQuery { from, max, wait_ms };
        let url = format!(
            "{}?from={}&max={}&wait_ms={}",
            self.url(stream),
            query.from,
            query.max,
            query.wait_ms
        );
        let request = self.http.get(url).timeout(wait.saturating_add(RESPONSE_TIMEOUT));
        let response = request.send().await.map_err(|err| send_error(&err))?;
        check_status(response.status())?;
        let answer: ReadAnswer = read_json(response, "log")
            .await
            .map_err(|err| unknown(err.as_ref()))?;
        read_batch(answer)
    }
}

fn read_batch(answer: ReadAnswer) -> Result<ReadBatch, LogError> {
    let mut records = Vec::with_capacity(answer.records.len());
    for record in answer.records {
        let data = STANDARD.decode(&record.data).map_err(|err| unknown(&err))?;
        records.push((record.offset, Bytes::from(data)));
    }
    Ok(ReadBatch {
        first: answer.first,
        head: answer.head,
        records,
    })
}

/// Maps an error status. A 5xx doesn't tell whether the append took effect, since the server may have given up
/// midway. 429 and 503 are refusals.
fn check_status(status: StatusCode) -> Result<(), LogError> {
    match status {
        _ if status.is_success() => Ok(()),
        StatusCode::SERVICE_UNAVAILABLE => Err(LogError::Refused {
            status: status.as_u16(),
        }),
        _ if status.is_server_error() => Err(LogError::Unknown {
            reason: format!("status {status}"),
        }),
        _ => Err(LogError::Refused {
            status: status.as_u16(),
        }),
    }
}

fn send_error(err: &reqwest::Error) -> LogError {
    if err.is_connect() {
        return LogError::Unreachable {
            reason: err.to_string(),
        };
    }
    unknown(err)
}

fn unknown(err: &dyn std::error::Error) -> LogError {
    LogError::Unknown {
        reason: err.to_string(),
    }
}
