//! Reading a stream in order.

use std::sync::Arc;
use std::time::Duration;

use async_trait::async_trait;
use bytes::Bytes;
use marigoldlock_core::time::MonoTime;

use crate::clock::TimeSource;
use crate::platform::{LogClient, LogError, ReadBatch};

/// How a stream is read.
#[derive(Clone, Copy, Debug)]
pub struct FollowLimits {
    /// Most records of one read.
    pub batch: usize,
    /// How long a read waits at the head.
    pub wait: Duration,
    /// Pause after a failed read.
    pub pause: Duration,
}

impl Default for FollowLimits {
    fn default() -> Self {
        Self {
            batch: 512,
            wait: Duration::from_secs(1),
            pause: Duration::from_millis(200),
        }
    }
}

/// Receiver of a stream's records.
#[async_trait]
pub trait RecordSink: Send + 'static {
    /// Takes a record; records come in offset order, each once.
    async fn on_record(&mut self, offset: u64, data: Bytes);

    /// Every record appended before `asked` has been handed over.
    async fn on_fresh(&mut self, asked: MonoTime, head: u64);

    /// Records before `first` have expired unread; state must be rebuilt from what is kept.
    async fn on_gap(&mut self, first: u64);

    /// The log keeps records from `first` on.
    async fn on_kept(&mut self, _first: u64) {}

    /// A read failed.
    async fn on_failure(&mut self, error: &LogError);
}

/// Reader of one stream.
pub struct StreamFollower {
    log: Arc<dyn LogClient>,
    clock: Arc<dyn TimeSource>,
    stream: &'static str,
    limits: FollowLimits,
    next: u64,
    /// Until the head was reached once, reads don't wait there.
    caught_up: bool,
}

impl StreamFollower {
    /// A follower that starts at the oldest record kept.
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
            next: 0,
            caught_up: false,
        }
    }

    /// Starts behind records that came another way.
    pub fn start_at(mut self, next: u64) -> Self {
        self.next = next;
        self
    }

    /// Reads until the task is dropped.
    pub async fn run(mut self, mut sink: impl RecordSink) {
        loop {
            if let Err(error) = self.step(&mut sink).await {
                sink.on_failure(&error).await;
                tokio::time::sleep(self.limits.pause).await;
            }
        }
    }

    /// Reads once and hands over what came.
    ///
    /// # Errors
    ///
    /// Fails if the log does not answer.
    pub async fn step(&mut self, sink: &mut impl RecordSink) -> Result<(), LogError> {
        let asked = self.clock.now();
        let wait = if self.caught_up {
            self.limits.wait
        } else {
            Duration::ZERO
        };
        let batch = self
            .log
            .read(self.stream, self.next, self.limits.batch, wait)
            .await?;
        self.take_batch(batch, asked, sink).await;
        Ok(())
    }

    async fn take_batch(&mut self, batch: ReadBatch, asked: MonoTime, sink: &mut impl RecordSink) {
        sink.on_kept(batch.first).await;
        if batch.first > self.next {
            if self.next > 0 {
                sink.on_gap(batch.first).await;
            }
            self.next = batch.first;
        }
        for (offset, data) in batch.records {
            // A log that repeats records or answers an older read must not be folded twice.
            if offset >= self.next {
                self.next = offset + 1;
                sink.on_record(offset, data).await;
            }
        }
        if self.next >= batch.head {
            self.caught_up = true;
            sink.on_fresh(asked, batch.head).await;
        }
    }
}
