//! Passes the jobs stream on to the job actor.

use async_trait::async_trait;
use bytes::Bytes;
use log::warn;
use marigoldlock_core::time::MonoTime;
use marigoldlock_wire::codec;
use marigoldlock_wire::record::Envelope;
use marigoldlock_wire::record::jobs::JobRecord;

use super::actor::{JobsEnvelope, StreamEvent};
use super::handle::JobHandle;
use crate::log_stream::RecordSink;
use crate::platform::LogError;

/// Sends the records and events of the jobs stream to the actor, where duplicate envelopes have no effect.
pub struct JobsSink {
    jobs: JobHandle,
    /// Offset of the oldest record that the log still keeps.
    first_offset: u64,
}

impl JobsSink {
    /// Creates a sink that has not read any records yet.
    pub fn new(jobs: JobHandle) -> Self {
        Self {
            jobs,
            first_offset: 0,
        }
    }
}

#[async_trait]
impl RecordSink for JobsSink {
    async fn on_record(&mut self, offset: u64, data: Bytes) {
        match codec::decode::<Envelope<JobRecord>>(&data) {
            Ok(envelope) => self.jobs.tell(JobsEnvelope { offset, envelope }),
            Err(error) => {
                warn!(offset, error:%; "failed to decode an envelope of the jobs stream; ignoring it")
            }
        }
    }

    async fn on_caught_up(&mut self, _: MonoTime, _: u64) {
        self.jobs.tell(StreamEvent::CaughtUp);
    }

    async fn on_gap(&mut self, first: u64) {
        warn!(first; "records of the jobs stream expired before they were read");
        self.jobs.tell(StreamEvent::Expired(first));
    }

    async fn on_first_offset(&mut self, first: u64) {
        if first > self.first_offset {
            self.first_offset = first;
            self.jobs.tell(StreamEvent::Expired(first));
        }
    }

    async fn on_failure(&mut self, _: &LogError) {
        self.jobs.tell(StreamEvent::Failed);
    }
}
