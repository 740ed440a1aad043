//! Reading the control stream.

use async_trait::async_trait;
use bytes::Bytes;
use log::warn;
use marigoldlock_core::time::MonoTime;

use super::handle::ControlHandle;
use super::messages::{ReadControl, ReadProgress};
use crate::log_stream::RecordSink;
use crate::platform::LogError;

/// Hands the control stream to the actor.
pub struct ControlSink {
    control: ControlHandle,
}

impl ControlSink {
    /// A sink of the actor.
    pub fn new(control: ControlHandle) -> Self {
        Self { control }
    }
}

#[async_trait]
impl RecordSink for ControlSink {
    async fn on_record(&mut self, offset: u64, data: Bytes) {
        self.control.tell(ReadControl { offset, data });
    }

    async fn on_fresh(&mut self, _: MonoTime, _: u64) {
        self.control.tell(ReadProgress::CaughtUp);
    }

    async fn on_gap(&mut self, first: u64) {
        warn!(first; "records of the control stream expired unread; this process takes no duty any more");
        self.control.tell(ReadProgress::Gap);
    }

    async fn on_kept(&mut self, first: u64) {
        self.control.tell(ReadProgress::Kept(first));
    }

    async fn on_failure(&mut self, error: &LogError) {
        warn!(error:%; "the control stream can't be read");
    }
}
