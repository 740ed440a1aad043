//! Reader of one stream in offset order.

use std::sync::Arc;
use std::time::Duration;

use async_trait::async_trait;
use bytes::Bytes;
use marigoldlock_core::time::MonoTime;

use crate::clock::TimeSource;
use crate::platform::{LogClient, LogError, ReadBatch};

/// Limits for reading a stream.
#[derive(Clone, Copy, Debug)]
pub struct FollowLimits {
    /// Maximum number of records per read.
    pub max_records: usize,
    /// Time for which a read at the head waits for new records.
    pub head_wait: Duration,
    /// Delay after a failed read.
    pub retry_delay: Duration,
}

impl Default for FollowLimits {
    fn default() -> Self {
        Self {
            max_records: 512,
            head_wait: Duration::from_secs(1),
            retry_delay: Duration::from_millis(200),
        }
    }
}

/// Receiver of the records of a stream.
#[async_trait]
pub trait RecordSink: Send + 'static {
    /// Handles a record; records arrive in offset order, each one once.
    async fn on_record(&mut self, offset: u64, data: Bytes);

    /// Handles reaching the head: every record appended before `requested_at` has been passed on.
    async fn on_caught_up(&mut self, requested_at: MonoTime, head: u64);

    /// Handles a gap: records before `first` expired before they were read, so the state must be rebuilt from the
    /// retained records.
    async fn on_gap(&mut self, first: u64);

    /// Handles the offset of the oldest retained record, reported by every read.
    async fn on_first_offset(&mut self, _first: u64) {}

    /// Handles a failed read.
    async fn on_failure(&mut self, error: &LogError);
}

/// Reader of one stream.
pub struct StreamFollower {
    log: Arc<dyn LogClient>,
    clock: Arc<dyn TimeSource>,
    stream: &'static str,
    limits: FollowLimits,
    next_offset: u64,
    /// Whether the head was reached; until then, reads at the head don't wait.
    caught_up: bool,
}

impl StreamFollower {
    /// Creates a follower that starts at the oldest retained record.
    pub fn new(
        log: Arc<dyn LogClient>,
        clock: Arc<dyn TimeSource>,
        stream: &'static str,
        limits: FollowLimits,
    ) -> Self {
        Self {
            log,
            clock,
            stream,
            limits,
            next_offset: 0,
            caught_up: false,
        }
    }

    /// Starts at an offset instead, if the records before it are already known.
    pub fn start_at(mut self, offset: u64) -> Self {
        self.next_offset = offset;
        self
    }

    /// Reads until the task is dropped.
    pub async fn run(mut self, mut sink: impl RecordSink) {
        loop {
            if let Err(error) = self.step(&mut sink).await {
                sink.on_failure(&error).await;
                tokio::time::sleep(self.limits.retry_delay).await;
            }
        }
    }

    /// Reads once and passes the records to the sink.
    ///
    /// # Errors
    ///
    /// Fails if the log does not answer.
    pub async fn step(&mut self, sink: &mut impl RecordSink) -> Result<(), LogError> {
        let requested_at = self.clock.now();
        let wait = if self.caught_up {
            self.limits.head_wait
        } else {
            Duration::ZERO
        };
        let batch = self
            .log
            .read(self.stream, self.next_offset, self.limits.max_records, wait)
            .await?;
        self.handle_batch(batch, requested_at, sink).await;
        Ok(())
    }

    async fn handle_batch(&mut self, batch: ReadBatch, requested_at: MonoTime, sink: &mut impl RecordSink) {
        sink.on_first_offset(batch.first).await;
        if batch.first > self.next_offset {
            if self.next_offset > 0 {
                sink.on_gap(batch.first).await;
            }
            self.next_offset = batch.first;
        }
        for (offset, data) in batch.records {
            // If the log repeats records or answers an older read, they must not be applied twice.
            if offset >= self.next_offset {
                self.next_offset = offset + 1;
                sink.on_record(offset, data).await;
            }
        }
        if self.next_offset >= batch.head {
            self.caught_up = true;
            sink.on_caught_up(requested_at, batch.head).await;
        }
    }
}
