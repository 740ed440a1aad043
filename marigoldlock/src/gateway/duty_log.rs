//! Reads and writes the duties stream of the store.

use std::sync::Arc;

use marigoldlock_core::gateway::adapter::{AppendOutcome, StoreError, StoreStream};
use marigoldlock_core::gateway::duty::DutyRecord;
use marigoldlock_core::gateway::era::StorePosition;

use super::Gateway;

/// Consecutive failed calls to the store after which the holder releases the duties.
const FAILURES_TO_RELEASE: u32 = 3;

/// Access to the duties stream; its content is kept in the gateway's
/// [`DutyState`](marigoldlock_core::gateway::duty::DutyState).
pub struct DutyLog {
    gateway: Arc<Gateway>,
    failures: u32,
}

impl DutyLog {
    /// Creates the access for one task.
    pub fn new(gateway: Arc<Gateway>) -> Self {
        Self { gateway, failures: 0 }
    }

    /// Appends a record if the stream still ends at `end`; returns true if the append is confirmed in the present era.
    pub async fn append(&mut self, record: DutyRecord, end: StorePosition) -> bool {
        let bytes = match bincode::serde::encode_to_vec(&record, bincode::config::standard()) {
            Ok(bytes) => bytes,
            Err(err) => {
                log::error!(error:% = err; "a duty record can't be encoded");
                return false;
            }
        };
        let sent_at = self.gateway.now();
        let store = &self.gateway.parts.store;
        let appended = store.append_at(StoreStream::Duties, &bytes, end).await;
        match self.gateway.check_era(appended) {
            Ok(AppendOutcome::Appended(position)) => {
                self.failures = 0;
                let now = self.gateway.now();
                let card = &self.gateway.parts.card;
                let mut state = self.gateway.state();
                if state.store_era() != position.era {
                    return false;
                }
                state.duty_state.apply(position.offset, record, now);
                state.duty_state.confirm(&card.id, card.incarnation, sent_at);
                true
            }
            Ok(AppendOutcome::EndMismatch(actual)) => {
                log::info!(expected:% = end, actual:%; "the duties stream has new records; reading it again");
                self.read().await;
                self.check_authority();
                false
            }
            Err(err) => {
                // The append may have taken effect or may still do so. Its condition ensures that it can't
                // follow records that were not read.
                self.record_failure(&err);
                self.read().await;
                self.check_authority();
                false
            }
        }
    }

    /// Releases the duties if the latest claim belongs to another instance.
    fn check_authority(&mut self) {
        let card = &self.gateway.parts.card;
        let (held, latest) = {
            let state = self.gateway.state();
            (
                state.duty_fence,
                state.duty_state.fence_of(&card.id, card.incarnation),
            )
        };
        if held.is_some() && held != latest {
            self.gateway
                .release_duties("another instance has claimed the duties");
        }
    }

    fn record_failure(&mut self, err: &StoreError) {
        self.failures += 1;
        log::info!(error:% = err, failures = self.failures; "a store call for the duties stream failed");
        let is_holder = self.gateway.state().duty_fence.is_some();
        if is_holder && self.failures >= FAILURES_TO_RELEASE {
            self.gateway.release_duties("the store is unreachable");
        }
    }

    /// Reads the duties stream to its end; returns false if a call fails.
    pub async fn read(&mut self) -> bool {
        loop {
            let from = self.gateway.state().duty_state.position();
            let read = self.gateway.parts.store.read(StoreStream::Duties, from).await;
            let batch = match self.gateway.check_era(read) {
                Ok(batch) => batch,
                Err(StoreError::Gone(first)) if first > from.offset => {
                    let mut state = self.gateway.state();
                    if state.store_era() == from.era {
                        state.duty_state.skip_to(first);
                    }
                    continue;
                }
                Err(err) => {
                    self.record_failure(&err);
                    return false;
                }
            };
            let now = self.gateway.now();
            let mut state = self.gateway.state();
            if state.store_era() != batch.era {
                return false;
            }
            for (offset, bytes) in &batch.records {
                match bincode::serde::decode_from_slice(bytes, bincode::config::standard()) {
                    Ok((record, _)) => state.duty_state.apply(*offset, record, now),
                    Err(err) => {
                        log::warn!(offset, error:% = err; "a duty record can't be decoded; skipped");
                        state.duty_state.skip_to(offset + 1);
                    }
                }
            }
            if batch.next_offset >= batch.end_offset {
                self.failures = 0;
                return true;
            }
        }
    }
}
