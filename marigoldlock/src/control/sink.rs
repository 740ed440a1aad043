//! Sink that passes the control stream to the control actor.

use async_trait::async_trait;
use bytes::Bytes;
use log::warn;
use marigoldlock_core::time::MonoTime;

use super::handle::ControlHandle;
use super::messages::{ApplyRecord, ReadProgress};
use crate::log_stream::RecordSink;
use crate::platform::LogError;

/// Passes the records of the control stream to the control actor.
pub struct ControlSink {
    control: ControlHandle,
}

impl ControlSink {
    /// Creates a sink for an actor.
    pub fn new(control: ControlHandle) -> Self {
        Self { control }
    }
}

#[async_trait]
impl RecordSink for ControlSink {
    async fn on_record(&mut self, offset: u64, data: Bytes) {
        self.control.tell(ApplyRecord { offset, data });
    }

    async fn on_caught_up(&mut self, _: MonoTime, _: u64) {
        self.control.tell(ReadProgress::CaughtUp);
    }

    async fn on_gap(&mut self, first: u64) {
        warn!(first; "records of the control stream expired before they were read; this process takes no duty any more");
        self.control.tell(ReadProgress::Gap);
    }

    async fn on_first_offset(&mut self, first: u64) {
        self.control.tell(ReadProgress::Kept(first));
    }

    async fn on_failure(&mut self, error: &LogError) {
        warn!(error:%; "reading the control stream failed; retrying");
    }
}
