//! Contested origins of streams in the store, and questions to it that only a read made now can answer.
//!
//! While several versions of a service serve, the archivists append what they learn of streams to a log. It is read when
//! nobody else knows a stream, which is the case after all instances were lost together. The same read brings the news of
//! upstreams up to date, so that it is known whether a version serves alone.

use std::sync::Arc;
use std::time::Duration;

use marigoldlock_core::gateway::adapter::FormatError;
use marigoldlock_core::gateway::origins::StreamOrigin;
use marigoldlock_core::gateway::prelude::*;
use marigoldlock_core::prelude::*;

use super::Gateway;
use super::follow::{RetryBackoff, apply_records};

/// Time between two writes: what is lost with all archivists is at most that old.
const WRITE_INTERVAL: Duration = Duration::from_millis(200);

/// Maximum number of origins in one record, well below the store's limit of its size.
const MAX_RECORD_ORIGINS: usize = 1_000;

/// Time for both reads. A caller that is told to come back finds another instance in less time than it takes to wait longer.
const LOOKUP_TIMEOUT: Duration = Duration::from_millis(600);

/// Writes contested origins to the store while this instance is an archivist; never returns.
pub async fn keep_origins(gateway: Arc<Gateway>) {
    let mut backoff = RetryBackoff::default();
    loop {
        tokio::time::sleep(WRITE_INTERVAL).await;
        match write_origins(&gateway).await {
            Ok(()) => backoff.reset(),
            Err(err) => {
                log::warn!(error:% = err; "writing origins of streams to the store failed; retrying");
                backoff.wait().await;
            }
        }
    }
}

async fn write_origins(gateway: &Gateway) -> Result<(), StoreError> {
    let is_archiving = gateway.is_archivist();
    gateway.state().origins.set_archiving(is_archiving);
    loop {
        let origins = gateway.state().origins.take_unstored(MAX_RECORD_ORIGINS);
        if origins.is_empty() {
            return Ok(());
        }
        let record = match serde_json::to_vec(&origins) {
            Ok(record) => record,
            Err(err) => {
                log::error!(error:% = err, count = origins.len(); "origins of streams can't be encoded; dropped");
                return Ok(());
            }
        };
        let appended = gateway.parts.store.append(StoreStream::Origins, &record).await;
        if let Err(err) = gateway.check_era(appended) {
            gateway.state().origins.return_unstored(origins);
            return Err(err);
        }
        metrics::counter!("gateway_origins_archived_total").increment(origins.len() as u64);
    }
}

/// Outcome of the latest reads of the store.
#[derive(Debug, Default)]
pub struct LookupState {
    /// Position up to which the origins have been read.
    next: StorePosition,
    /// When the latest reads began, and whether they succeeded.
    latest: Option<(MonoTime, bool)>,
}

impl Gateway {
    /// True if this instance writes contested origins to the store.
    fn is_archivist(&self) -> bool {
        let state = self.state();
        let is_contested = state
            .version_histories
            .values()
            .any(|history| history.settled().is_none());
        let own = &self.parts.card.id;
        is_contested
            && self
                .fleet_view(&state)
                .archivists(state.store.is_reachable())
                .iter()
                .any(|card| card.id == *own)
    }

    /// Brings origins and upstreams up to date with the store as it is at `asked_at` or later; returns false if that isn't
    /// possible. Requests that ask at the same time share one read.
    pub async fn look_up(&self, asked_at: MonoTime) -> bool {
        let mut lookup = self.lookup.lock().await;
        if let Some((began_at, is_complete)) = lookup.latest
            && began_at >= asked_at
        {
            return is_complete;
        }
        let began_at = self.now();
        let read = tokio::time::timeout(LOOKUP_TIMEOUT, self.read_store(&mut lookup.next)).await;
        let is_complete = match read {
            Ok(Ok(())) => true,
            Ok(Err(err)) => {
                log::info!(error:% = err; "the store could not be asked about a stream");
                false
            }
            Err(_) => {
                log::info!(timeout_ms = LOOKUP_TIMEOUT.as_millis() as u64; "the store did not answer about a stream in time");
                false
            }
        };
        if is_complete {
            self.state().upstreams_date.confirm(began_at);
        }
        let outcome = if is_complete { "answered" } else { "failed" };
        metrics::counter!("gateway_origin_lookups_total", "outcome" => outcome).increment(1);
        lookup.latest = Some((began_at, is_complete));
        is_complete
    }

    async fn read_store(&self, next: &mut StorePosition) -> Result<(), StoreError> {
        self.read_origins(next).await?;
        self.read_upstreams().await
    }

    /// Reads the upstreams up to the end that their stream had when the first response was sent.
    async fn read_upstreams(&self) -> Result<(), StoreError> {
        let store = &self.parts.store;
        let from = self.state().upstreams_position();
        let mut offset = from.offset;
        let mut end = None;
        loop {
            let is_listing = offset == 0;
            let answer = if is_listing {
                // Nothing has been read in this era.
                store.list(StoreStream::Upstreams).await
            } else {
                let from = StorePosition::new(from.era, offset);
                store.follow(StoreStream::Upstreams, from, Duration::ZERO).await
            };
            let listing = self.check_era(answer)?;
            if listing.era != from.era {
                return Err(StoreError::OtherEra(listing.era));
            }
            let next_offset = listing.next_offset;
            // Each record in between is applied in turn, so a version that came and went is seen as well.
            apply_records(self, StoreStream::Upstreams, &listing, is_listing);
            if next_offset >= *end.get_or_insert(listing.end_offset) {
                return Ok(());
            }
            if next_offset <= offset {
                let reason = "no records before the end of the stream";
                return Err(StoreError::Format(FormatError::new("store response", reason)));
            }
            offset = next_offset;
        }
    }

    async fn read_origins(&self, next: &mut StorePosition) -> Result<(), StoreError> {
        let store = &self.parts.store;
        loop {
            let era = self.store_era();
            if next.era != era {
                *next = StorePosition::new(era, 0);
            }
            let read = store.read(StoreStream::Origins, *next).await;
            let batch = match self.check_era(read) {
                // Older streams have ended.
                Err(StoreError::Gone(first)) if first > next.offset => {
                    next.offset = first;
                    continue;
                }
                read => read?,
            };
            let now = self.now();
            for (offset, record) in batch.records {
                match serde_json::from_slice::<Vec<StreamOrigin>>(&record) {
                    Ok(origins) => self.state().origins.restore(&origins, now),
                    Err(err) => {
                        log::warn!(offset, error:% = err; "a record of origins in the store is damaged; ignored");
                    }
                }
            }
            next.offset = batch.next_offset;
            if batch.next_offset >= batch.end_offset {
                return Ok(());
            }
        }
    }
}
