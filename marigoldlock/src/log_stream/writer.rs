//! Grouping records into appends.

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

/// Bytes of an envelope around its records, at most.
const ENVELOPE_BYTES: usize = 256;

/// How records are grouped and repeated.
#[derive(Clone, Copy, Debug)]
pub struct WriterLimits {
    /// Records that wait for their turn.
    pub queue: usize,
    /// Time that the first record of a group waits for others.
    pub gather: Duration,
    /// Pause before an append is repeated.
    pub pause: Duration,
    /// Time after which an append is given up.
    pub give_up: Duration,
}

impl Default for WriterLimits {
    fn default() -> Self {
        Self {
            queue: 4096,
            gather: Duration::from_millis(2),
            pause: Duration::from_millis(100),
            give_up: Duration::from_secs(4),
        }
    }
}

/// What became of a record.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum AppendOutcome {
    /// The log answered; the record still counts only once read back.
    Appended(LogPosition),
    /// The record is not in the log and won't be.
    NotAppended,
    /// The record may be in the log, now or later.
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
    /// A writer and the task that serves it.
    pub fn new(
        log: Arc<dyn LogClient>,
        stream: &'static str,
        writer: InstanceId,
        incarnation: Incarnation,
        limits: WriterLimits,
    ) -> (Self, impl Future<Output = ()> + Send + 'static) {
        let (queue, receiver) = mpsc::channel(limits.queue);
        let task = WriterTask {
            log,
            stream,
            writer,
            incarnation,
            limits,
            receiver,
            carried: None,
        };
        (Self { queue }, task.run())
    }

    /// Appends a record in the next group.
    pub async fn append(&self, record: R) -> AppendOutcome {
        let bytes = codec::encode(&record).len();
        if bytes + ENVELOPE_BYTES > MAX_RECORD_BYTES {
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
    carried: Option<(R, usize, oneshot::Sender<AppendOutcome>)>,
}

impl<R: Serialize> WriterTask<R> {
    async fn run(mut self) {
        while let Some((records, pending)) = self.gather().await {
            let data = self.envelope(records);
            let outcome = self.append(data).await;
            for (index, record) in pending.into_iter().enumerate() {
                let outcome = match outcome {
                    AppendOutcome::Appended(position) => {
                        AppendOutcome::Appended(LogPosition::new(position.offset(), index))
                    }
                    other => other,
                };
                // A caller that no longer waits learns the outcome from the stream.
                let _ = record.reply.send(outcome);
            }
        }
    }

    async fn gather(&mut self) -> Option<(Vec<R>, Vec<PendingRecord>)> {
        let first = match self.carried.take() {
            Some(first) => first,
            None => self.receiver.recv().await?,
        };
        let mut records = Vec::new();
        let mut pending = Vec::new();
        let mut size = ENVELOPE_BYTES;
        let closing = Instant::now() + self.limits.gather;
        let mut next = Some(first);
        while let Some((record, bytes, reply)) = next {
            if size + bytes > MAX_RECORD_BYTES || records.len() == MAX_RECORDS_PER_APPEND {
                self.carried = Some((record, bytes, reply));
                break;
            }
            size += bytes;
            records.push(record);
            pending.push(PendingRecord { bytes, reply });
            next = tokio::time::timeout_at(closing, self.receiver.recv())
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
        let give_up = Instant::now() + self.limits.give_up;
        let mut left = false;
        loop {
            match self.log.append(self.stream, data.clone()).await {
                Ok(offset) => return AppendOutcome::Appended(LogPosition::new(offset, 0)),
                Err(LogError::TooLarge { .. }) => return AppendOutcome::NotAppended,
                Err(LogError::Unknown { .. }) => left = true,
                Err(LogError::Refused { .. } | LogError::Unreachable { .. }) => (),
            }
            if Instant::now() + self.limits.pause >= give_up {
                return if left {
                    AppendOutcome::Unknown
                } else {
                    AppendOutcome::NotAppended
                };
            }
            tokio::time::sleep(self.limits.pause).await;
        }
    }
}
