//! Reading the calls stream.

use std::collections::VecDeque;

use async_trait::async_trait;
use bytes::Bytes;
use log::warn;
use marigoldlock_core::time::MonoTime;
use marigoldlock_wire::codec;
use marigoldlock_wire::prelude::*;
use marigoldlock_wire::record::Envelope;
use marigoldlock_wire::record::calls::CallRecord;

use super::plain::{PlainHandle, ReadCalls, ReadState};
use crate::log_stream::RecordSink;
use crate::platform::LogError;

/// Envelopes whose repeats are skipped.
const REMEMBERED: usize = 4_096;

/// Hands the calls stream to the actor of plain keys.
pub struct CallsSink {
    plain: PlainHandle,
    seen: FastSet<RecordId>,
    order: VecDeque<RecordId>,
    first: u64,
}

impl CallsSink {
    /// A sink that has read nothing yet.
    pub fn new(plain: PlainHandle) -> Self {
        Self {
            plain,
            seen: FastSet::default(),
            order: VecDeque::new(),
            first: 0,
        }
    }

    fn is_repeat(&mut self, id: RecordId) -> bool {
        if !self.seen.insert(id) {
            return true;
        }
        self.order.push_back(id);
        if self.order.len() > REMEMBERED
            && let Some(oldest) = self.order.pop_front()
        {
            self.seen.remove(&oldest);
        }
        false
    }
}

#[async_trait]
impl RecordSink for CallsSink {
    async fn on_record(&mut self, offset: u64, data: Bytes) {
        match codec::decode::<Envelope<CallRecord>>(&data) {
            Ok(envelope) if self.is_repeat(envelope.id) => {}
            Ok(envelope) => self.plain.read(ReadCalls { offset, envelope }),
            Err(error) => warn!(offset, error:%; "a record of the calls stream can't be read"),
        }
    }

    async fn on_fresh(&mut self, asked: MonoTime, _: u64) {
        self.plain.read_state(ReadState::Fresh(asked));
    }

    async fn on_gap(&mut self, first: u64) {
        warn!(first; "records of the calls stream expired unread");
        self.plain.read_state(ReadState::Expired(first));
    }

    async fn on_kept(&mut self, first: u64) {
        if first > self.first {
            self.first = first;
            self.plain.read_state(ReadState::Expired(first));
        }
    }

    async fn on_failure(&mut self, _: &LogError) {
        self.plain.read_state(ReadState::Failed);
    }
}
