//! Reads and writes the duties' stream of the store.

use std::sync::Arc;

use marigoldlock_core::gateway::adapter::{AppendOutcome, StoreError, StoreStream};
use marigoldlock_core::gateway::duty::DutyRecord;

use super::Gateway;

/// Failed calls to the store in a row after which a holder lets go.
const FAILURES_TO_RELEASE: u32 = 3;

/// Access to the duties' stream; what it holds stands in the gateway's ledger.
pub struct DutyLog {
    gateway: Arc<Gateway>,
    failures: u32,
}

impl DutyLog {
    /// Access for one task.
    pub fn new(gateway: Arc<Gateway>) -> Self {
        Self { gateway, failures: 0 }
    }

    /// Appends a record at the end that is known; returns true if it is there.
    pub async fn append(&mut self, record: DutyRecord, end: u64) -> bool {
        let bytes = match bincode::serde::encode_to_vec(&record, bincode::config::standard()) {
            Ok(bytes) => bytes,
            Err(err) => {
                log::error!(error:% = err; "a duty record can't be written");
                return false;
            }
        };
        match self
            .gateway
            .parts
            .store
            .append_at(StoreStream::Duties, &bytes, end)
            .await
        {
            Ok(AppendOutcome::Appended(offset)) => {
                self.failures = 0;
                let now = self.gateway.now();
                self.gateway.state().ledger.apply(offset, record, now);
                true
            }
            Ok(AppendOutcome::EndMismatch(actual)) => {
                log::info!(expected = end, actual; "the duties' stream has moved on; read again");
                self.read().await;
                self.check_authority();
                false
            }
            Err(err) => {
                // The record may be there or may come yet: its condition settles which.
                self.note_failure(&err);
                self.read().await;
                self.check_authority();
                false
            }
        }
    }

    /// Lets go of the duties if the latest claim is another's.
    fn check_authority(&mut self) {
        let card = &self.gateway.parts.card;
        let (held, latest) = {
            let state = self.gateway.state();
            (
                state.duty_fence,
                state.ledger.fence_of(&card.id, card.incarnation),
            )
        };
        if held.is_some() && held != latest {
            self.gateway
                .release_duties("another instance has claimed the duties");
        }
    }

    fn note_failure(&mut self, err: &StoreError) {
        self.failures += 1;
        log::info!(error:% = err, failures = self.failures; "the duties' stream was not reached");
        let is_holder = self.gateway.state().duty_fence.is_some();
        if is_holder && self.failures >= FAILURES_TO_RELEASE {
            self.gateway.release_duties("the store is not reached");
        }
    }

    /// Reads the duties' stream to its end.
    pub async fn read(&mut self) -> bool {
        loop {
            let offset = self.gateway.state().ledger.next_offset();
            let batch = match self.gateway.parts.store.read(StoreStream::Duties, offset).await {
                Ok(batch) => batch,
                Err(StoreError::Gone(first)) => {
                    self.gateway.state().ledger.skip_to(first);
                    continue;
                }
                Err(err) => {
                    self.note_failure(&err);
                    return false;
                }
            };
            let now = self.gateway.now();
            let mut state = self.gateway.state();
            for (offset, bytes) in &batch.records {
                match bincode::serde::decode_from_slice(bytes, bincode::config::standard()) {
                    Ok((record, _)) => state.ledger.apply(*offset, record, now),
                    Err(err) => {
                        log::warn!(offset, error:% = err; "a duty record can't be read; skipped");
                        state.ledger.skip_to(offset + 1);
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
