//! Writer that groups records into appends.

use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use marigoldlock_wire::codec;
use marigoldlock_wire::ids::MAX_RECORDS_PER_APPEND;
use marigoldlock_wire::platform::MAX_RECORD_BYTES;
use marigoldlock_wire::prelude::*;
use marigoldlock_wire::record::Envelope;
use serde::Serialize;
use tokio::sync::{mpsc, oneshot};
use tokio::time::Instant;

use crate::platform::{LogClient, LogError};

/// Maximum size of an envelope without its records, in bytes.
const ENVELOPE_OVERHEAD_BYTES: usize = 256;

/// Limits for grouping records and repeating appends.
#[derive(Clone, Copy, Debug)]
pub struct WriterLimits {
    /// Maximum number of queued records.
    pub max_queued: usize,
    /// Maximum time for which the first record of a group waits for others.
    pub max_delay: Duration,
    /// Delay before an append is repeated.
    pub retry_delay: Duration,
    /// Time after which an append is no longer repeated.
    pub append_timeout: Duration,
}

impl Default for WriterLimits {
    fn default() -> Self {
        Self {
            max_queued: 4096,
            max_delay: Duration::from_millis(2),
            retry_delay: Duration::from_millis(100),
            append_timeout: Duration::from_secs(4),
        }
    }
}

/// Outcome of appending a record.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum AppendOutcome {
    /// The log stored the record; it takes effect only once it is read back.
    Appended(LogPosition),
    /// The record is not in the log and will never be.
    NotAppended,
    /// The record may be in the log already or may still be stored.
    Unknown,
}

struct PendingRecord {
    bytes: usize,
    reply: oneshot::Sender<AppendOutcome>,
}

/// Writer of one stream, shared by cloning.
pub struct RecordWriter<R> {
    queue: mpsc::Sender<(R, usize, oneshot::Sender<AppendOutcome>)>,
}

impl<R> Clone for RecordWriter<R> {
    fn clone(&self) -> Self {
        Self {
            queue: self.queue.clone(),
        }
    }
}

impl<R: Serialize + Send + Sync + 'static> RecordWriter<R> {
    /// Creates a writer and the task that performs its appends.
    pub fn new(
        log: Arc<dyn LogClient>,
        stream: &'static str,
        writer: InstanceId,
        incarnation: Incarnation,
        limits: WriterLimits,
    ) -> (Self, impl Future<Output = ()> + Send + 'static) {
        let (queue, receiver) = mpsc::channel(limits.max_queued);
        let task = WriterTask {
            log,
            stream,
            writer,
            incarnation,
            limits,
            receiver,
            carried_over: None,
        };
        (Self { queue }, task.run())
    }

    /// Appends a record with the next group.
    pub async fn append(&self, record: R) -> AppendOutcome {
        let bytes = codec::encode(&record).len();
        if bytes + ENVELOPE_OVERHEAD_BYTES > MAX_RECORD_BYTES {
            return AppendOutcome::NotAppended;
        }
        let (reply, outcome) = oneshot::channel();
        if self.queue.send((record, bytes, reply)).await.is_err() {
            return AppendOutcome::NotAppended;
        }
        outcome.await.unwrap_or(AppendOutcome::Unknown)
    }
}

struct WriterTask<R> {
    log: Arc<dyn LogClient>,
    stream: &'static str,
    writer: InstanceId,
    incarnation: Incarnation,
    limits: WriterLimits,
    receiver: mpsc::Receiver<(R, usize, oneshot::Sender<AppendOutcome>)>,
    carried_over: Option<(R, usize, oneshot::Sender<AppendOutcome>)>,
}

impl<R: Serialize> WriterTask<R> {
    async fn run(mut self) {
        while let Some((records, pending)) = self.next_group().await {
            let data = self.envelope(records);
            let outcome = self.append(data).await;
            for (index, record) in pending.into_iter().enumerate() {
                let outcome = match outcome {
                    AppendOutcome::Appended(position) => {
                        AppendOutcome::Appended(LogPosition::new(position.offset(), index))
                    }
                    other => other,
                };
                // A caller that stopped waiting learns the outcome from the stream.
                let _ = record.reply.send(outcome);
            }
        }
    }

    /// Collects the records of the next append; returns `None` once all writers are dropped.
    async fn next_group(&mut self) -> Option<(Vec<R>, Vec<PendingRecord>)> {
        let first = match self.carried_over.take() {
            Some(first) => first,
            None => self.receiver.recv().await?,
        };
        let mut records = Vec::new();
        let mut pending = Vec::new();
        let mut size = ENVELOPE_OVERHEAD_BYTES;
        let group_deadline = Instant::now() + self.limits.max_delay;
        let mut next = Some(first);
        while let Some((record, bytes, reply)) = next {
            if size + bytes > MAX_RECORD_BYTES || records.len() == MAX_RECORDS_PER_APPEND {
                self.carried_over = Some((record, bytes, reply));
                break;
            }
            size += bytes;
            records.push(record);
            pending.push(PendingRecord { bytes, reply });
            next = tokio::time::timeout_at(group_deadline, self.receiver.recv())
                .await
                .ok()
                .flatten();
        }
        log::trace!(
            stream = self.stream,
            records = records.len(),
            bytes = pending.iter().map(|record| record.bytes).sum::<usize>();
            "append"
        );
        Some((records, pending))
    }

    fn envelope(&self, records: Vec<R>) -> Bytes {
        let envelope = Envelope {
            id: RecordId(rand::random()),
            writer: self.writer.clone(),
            incarnation: self.incarnation,
            records,
        };
        codec::encode(&envelope).into()
    }

    /// Repeats the append with the same bytes, and so the same record id, until it is answered.
    async fn append(&self, data: Bytes) -> AppendOutcome {
        let deadline = Instant::now() + self.limits.append_timeout;
        let mut may_be_stored = false;
        loop {
            match self.log.append(self.stream, data.clone()).await {
                Ok(offset) => return AppendOutcome::Appended(LogPosition::new(offset, 0)),
                Err(LogError::TooLarge { .. }) => return AppendOutcome::NotAppended,
                Err(LogError::Unknown { .. }) => may_be_stored = true,
                Err(LogError::Refused { .. } | LogError::Unreachable { .. }) => (),
            }
            if Instant::now() + self.limits.retry_delay >= deadline {
                return if may_be_stored {
                    AppendOutcome::Unknown
                } else {
                    AppendOutcome::NotAppended
                };
            }
            tokio::time::sleep(self.limits.retry_delay).await;
        }
    }
}
