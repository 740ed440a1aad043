//! Reading the jobs stream.

use async_trait::async_trait;
use bytes::Bytes;
use log::warn;
use marigoldlock_core::time::MonoTime;
use marigoldlock_wire::codec;
use marigoldlock_wire::record::Envelope;
use marigoldlock_wire::record::jobs::JobRecord;

use super::actor::{ReadJobs, ReadState};
use super::handle::JobHandle;
use crate::log_stream::RecordSink;
use crate::platform::LogError;

/// Hands the jobs stream to the actor; repeated envelopes change nothing there.
pub struct JobsSink {
    jobs: JobHandle,
    first: u64,
}

impl JobsSink {
    /// A sink that has read nothing yet.
    pub fn new(jobs: JobHandle) -> Self {
        Self { jobs, first: 0 }
    }
}

#[async_trait]
impl RecordSink for JobsSink {
    async fn on_record(&mut self, offset: u64, data: Bytes) {
        match codec::decode::<Envelope<JobRecord>>(&data) {
            Ok(envelope) => self.jobs.tell(ReadJobs { offset, envelope }),
            Err(error) => warn!(offset, error:%; "a record of the jobs stream can't be read"),
        }
    }

    async fn on_caught_up(&mut self, _: MonoTime, _: u64) {
        self.jobs.tell(ReadState::Fresh);
    }

    async fn on_gap(&mut self, first: u64) {
        warn!(first; "records of the jobs stream expired unread");
        self.jobs.tell(ReadState::Expired(first));
    }

    async fn on_first_offset(&mut self, first: u64) {
        if first > self.first {
            self.first = first;
            self.jobs.tell(ReadState::Expired(first));
        }
    }

    async fn on_failure(&mut self, _: &LogError) {
        self.jobs.tell(ReadState::Failed);
    }
}
