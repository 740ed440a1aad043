//! Passes the calls stream on to the claim actor.

use std::collections::VecDeque;

use async_trait::async_trait;
use bytes::Bytes;
use log::warn;
use marigoldlock_core::time::MonoTime;
use marigoldlock_wire::codec;
use marigoldlock_wire::prelude::*;
use marigoldlock_wire::record::Envelope;
use marigoldlock_wire::record::calls::CallRecord;

use super::claims::{CallsEnvelope, ClaimHandle, StreamEvent};
use crate::log_stream::RecordSink;
use crate::platform::LogError;

/// Number of recent envelopes whose duplicates are skipped.
const MAX_RECENT_ENVELOPES: usize = 4_096;

/// Sends the records and events of the calls stream to the claim actor.
pub struct CallsSink {
    claims: ClaimHandle,
    recent: FastSet<RecordId>,
    /// The ids in `recent`, oldest first.
    recent_order: VecDeque<RecordId>,
    /// Offset of the oldest record that the log still keeps.
    first_offset: u64,
}

impl CallsSink {
    /// Creates a sink that has not read any records yet.
    pub fn new(claims: ClaimHandle) -> Self {
        Self {
            claims,
            recent: FastSet::default(),
            recent_order: VecDeque::new(),
            first_offset: 0,
        }
    }

    fn is_duplicate(&mut self, id: RecordId) -> bool {
        if !self.recent.insert(id) {
            return true;
        }
        self.recent_order.push_back(id);
        if self.recent_order.len() > MAX_RECENT_ENVELOPES
            && let Some(oldest) = self.recent_order.pop_front()
        {
            self.recent.remove(&oldest);
        }
        false
    }
}

#[async_trait]
impl RecordSink for CallsSink {
    async fn on_record(&mut self, offset: u64, data: Bytes) {
        match codec::decode::<Envelope<CallRecord>>(&data) {
            Ok(envelope) if self.is_duplicate(envelope.id) => {}
            Ok(envelope) => self.claims.on_envelope(CallsEnvelope { offset, envelope }),
            Err(error) => {
                warn!(offset, error:%; "failed to decode an envelope of the calls stream; ignoring it")
            }
        }
    }

    async fn on_caught_up(&mut self, requested_at: MonoTime, _: u64) {
        self.claims.on_stream_event(StreamEvent::CaughtUp(requested_at));
    }

    async fn on_gap(&mut self, first: u64) {
        warn!(first; "records of the calls stream expired before they were read");
        self.claims.on_stream_event(StreamEvent::Expired(first));
    }

    async fn on_first_offset(&mut self, first: u64) {
        if first > self.first_offset {
            self.first_offset = first;
            self.claims.on_stream_event(StreamEvent::Expired(first));
        }
    }

    async fn on_failure(&mut self, _: &LogError) {
        self.claims.on_stream_event(StreamEvent::Failed);
    }
}
