//! The software version of each service that has served alone, as it is kept in the store.
//!
//! An instance that starts can't know which versions served before. If it is not alone, others know the streams that go
//! on; if all instances start at the same time, only the store remembers. It is written by one instance of the fleet, and
//! only when a version begins or ceases to serve alone.

use std::sync::Arc;
use std::time::Duration;

use marigoldlock_core::gateway::adapter::AppendOutcome;
use marigoldlock_core::gateway::exchange::FleetView;
use marigoldlock_core::gateway::prelude::*;
use marigoldlock_core::prelude::*;

use super::Gateway;
use super::follow::RetryBackoff;

/// Time between two checks for changes to write.
const CHECK_INTERVAL: Duration = Duration::from_millis(200);

/// Age of its news of upstreams up to which an instance writes which version serves alone; longer than a follower's long
/// poll.
const MAX_NEWS_AGE: Duration = Duration::from_millis(1_600);

/// Reads the versions from the store, then keeps them there up to date; never returns.
pub async fn keep_versions(gateway: Arc<Gateway>) {
    let mut log = VersionLog {
        stored: FastMap::default(),
        end: StorePosition::default(),
        gateway,
    };
    let mut backoff = RetryBackoff::default();
    let mut is_current = false;
    let mut is_first_read = true;
    loop {
        is_current &= log.end.era == log.gateway.store_era();
        let result = if is_first_read || log.is_writer() && !is_current {
            log.read(is_first_read).await
        } else if is_current {
            log.write_changes().await
        } else {
            Ok(true)
        };
        match result {
            Ok(is_known) => {
                backoff.reset();
                is_first_read = false;
                // What another instance writes from now on isn't known here.
                is_current = is_known && log.is_writer();
                tokio::time::sleep(CHECK_INTERVAL).await;
            }
            Err(err) => {
                log::debug!(error:% = err; "reading or writing versions in the store failed; retrying");
                backoff.wait().await;
            }
        }
    }
}

struct VersionLog {
    gateway: Arc<Gateway>,
    /// Versions in the store, as far as this instance knows.
    stored: FastMap<ServiceId, SoftwareVersion>,
    /// Position at which the stream ends, as far as this instance knows. A write that is carried out late, or that rests on
    /// what another instance has changed since, fails by it.
    end: StorePosition,
}

impl VersionLog {
    /// Reads the versions; `adopts` them if this instance has just started. Returns true.
    async fn read(&mut self, adopts: bool) -> Result<bool, StoreError> {
        let listed = self.gateway.parts.store.list(StoreStream::Versions).await;
        let listing = self.gateway.check_era(listed)?;
        self.end = StorePosition::new(listing.era, listing.next_offset);
        self.stored.clear();
        for record in listing.records {
            let Some(value) = record.value.filter(|value| !value.is_empty()) else {
                continue;
            };
            match std::str::from_utf8(&value) {
                Ok(version) => {
                    let service = ServiceId::from(record.key);
                    self.stored.insert(service, SoftwareVersion::from(version));
                }
                Err(err) => {
                    log::warn!(service = record.key, error:% = err; "a version in the store isn't text; ignored");
                }
            }
        }
        if adopts {
            let mut state = self.gateway.state();
            for (service, version) in &self.stored {
                let history = state.version_histories.entry(service.clone()).or_default();
                history.adopt(version.clone());
            }
        }
        Ok(true)
    }

    /// Writes the versions that differ from those in the store; returns false if those aren't known any more.
    async fn write_changes(&mut self) -> Result<bool, StoreError> {
        let histories = self.gateway.state().version_histories.clone();
        for (service, history) in histories {
            if history.settled() == self.stored.get(&service) {
                continue;
            }
            let version = history.settled().cloned();
            let value = version.as_ref().map_or("", SoftwareVersion::as_str);
            let store = &self.gateway.parts.store;
            let put = store.put_at(
                StoreStream::Versions,
                service.as_str(),
                value.as_bytes(),
                self.end,
            );
            match self.gateway.check_era(put.await)? {
                AppendOutcome::Appended(position) => self.end = position.next(),
                AppendOutcome::EndMismatch(end) => {
                    log::info!(end:%; "another instance has written versions to the store; reading them again");
                    return Ok(false);
                }
            }
            log::info!(service:%, version = value; "version that serves alone written to the store");
            match version {
                Some(version) => self.stored.insert(service, version),
                None => self.stored.remove(&service),
            };
        }
        Ok(true)
    }

    fn is_writer(&self) -> bool {
        let state = self.gateway.state();
        let view = FleetView {
            own: &self.gateway.parts.card,
            members: &state.members,
            now: self.gateway.now(),
        };
        let is_informed = state.upstreams_date.is_within(MAX_NEWS_AGE, view.now);
        is_informed && state.knows_rank(&view) && state.store.is_reachable() && view.is_first_successor()
    }
}
