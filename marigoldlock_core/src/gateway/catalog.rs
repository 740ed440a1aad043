//! Catalogue of the upstreams listed in the store.
//!
//! The store may lose entries in an outage and restore them later. An entry that disappears right after the
//! store has recovered therefore stays usable for [`LAPSED_ENTRY_TTL`]. An upstream that has announced that
//! it is leaving gets no more requests until its process has restarted.

use std::net::SocketAddr;
use std::time::Duration;

use marigoldlock_wire::prelude::*;

use crate::time::MonoTime;

/// Time for which an entry that lapsed in a store outage stays usable. The platform guarantees that lapsed
/// entries return within two seconds, and a leaving upstream must get no requests two seconds after its
/// notice.
pub const LAPSED_ENTRY_TTL: Duration = Duration::from_millis(1_600);

/// Time after the store's recovery in which a removed entry may only have lapsed.
pub const RECOVERY_WINDOW: Duration = Duration::from_secs(2);

/// Which phases of a request an upstream serves.
#[derive(Clone, Copy, Debug, Default, Eq, Hash, PartialEq)]
pub enum UpstreamRole {
    /// Serves whole requests.
    #[default]
    Whole,
    /// Prefills prompts.
    Prefill,
    /// Decodes, that is, generates tokens; prefills slowly.
    Decode,
}

/// An upstream's entry in the store, which it writes itself.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct UpstreamEntry {
    /// Id; may be the same after a restart.
    pub id: UpstreamId,
    /// Service that it belongs to.
    pub service: ServiceId,
    /// Version of its software. Several versions may serve side by side.
    pub version: SoftwareVersion,
    /// Address that it listens on.
    pub address: SocketAddr,
    /// Data centre that it runs in.
    pub data_centre: DataCentre,
    /// Number of requests that it runs concurrently.
    pub slots: u32,
    /// True if it accepts no more requests.
    pub is_leaving: bool,
    /// Role.
    pub role: UpstreamRole,
    /// Start time of its process, in Unix milliseconds.
    pub started_ms: Option<u64>,
    /// True if it runs on spot capacity, which the platform may reclaim.
    pub is_spot: bool,
}

#[derive(Clone, Debug)]
struct ListedUpstream {
    entry: UpstreamEntry,
    /// When a lapsed entry is dropped; `None` if the entry has not lapsed.
    expires_at: Option<MonoTime>,
}

/// Effect of a record on the catalogue.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum CatalogChange {
    /// Nothing changed.
    None,
    /// A new upstream, or a restart of a known one.
    Started,
    /// Properties of a known upstream changed.
    Updated,
    /// The upstream accepts no more requests.
    Leaving,
    /// The upstream was removed.
    Gone,
    /// The entry may have lapsed in a store outage and is kept for [`LAPSED_ENTRY_TTL`].
    Suspect,
}

/// All known upstreams.
#[derive(Clone, Debug, Default)]
pub struct UpstreamCatalog {
    listed: FastMap<UpstreamId, ListedUpstream>,
    /// Start time of the process of each upstream that has announced that it is leaving.
    departed: FastMap<UpstreamId, Option<u64>>,
}

impl UpstreamCatalog {
    /// Inserts or replaces an entry.
    pub fn put(&mut self, mut entry: UpstreamEntry) -> CatalogChange {
        if self
            .departed
            .get(&entry.id)
            .is_some_and(|started| *started == entry.started_ms)
        {
            entry.is_leaving = true;
        }
        if entry.is_leaving {
            self.departed.insert(entry.id.clone(), entry.started_ms);
        } else {
            self.departed.remove(&entry.id);
        }
        let id = entry.id.clone();
        let is_leaving = entry.is_leaving;
        let listed = ListedUpstream {
            entry,
            expires_at: None,
        };
        let Some(before) = self.listed.insert(id.clone(), listed) else {
            return CatalogChange::Started;
        };
        let after = &self.listed[&id].entry;
        if before.entry.started_ms != after.started_ms || before.entry.address != after.address {
            CatalogChange::Started
        } else if is_leaving && !before.entry.is_leaving {
            CatalogChange::Leaving
        } else if before.entry != *after {
            CatalogChange::Updated
        } else {
            CatalogChange::None
        }
    }

    /// Records that an upstream itself says that it is leaving; `entry` is the one to which the request was sent.
    /// Returns true if that is new. An upstream that has started again in the meantime isn't meant.
    pub fn record_leaving(&mut self, entry: &UpstreamEntry) -> bool {
        let Some(listed) = self.listed.get_mut(&entry.id) else {
            return false;
        };
        if listed.entry.is_leaving || listed.entry.started_ms != entry.started_ms {
            return false;
        }
        listed.entry.is_leaving = true;
        self.departed.insert(entry.id.clone(), entry.started_ms);
        true
    }

    /// Removes an entry; `store_recovered_at` is the time of the store's last recovery.
    pub fn remove(&mut self, id: &str, now: MonoTime, store_recovered_at: Option<MonoTime>) -> CatalogChange {
        let Some(listed) = self.listed.get_mut(id) else {
            return CatalogChange::None;
        };
        let is_after_recovery =
            store_recovered_at.is_some_and(|recovered_at| now.since(recovered_at) < RECOVERY_WINDOW);
        if is_after_recovery && !listed.entry.is_leaving {
            listed.expires_at.get_or_insert(now + LAPSED_ENTRY_TTL);
            return CatalogChange::Suspect;
        }
        self.listed.remove(id);
        CatalogChange::Gone
    }

    /// Drops lapsed entries that have not returned in time, and returns their ids.
    pub fn expire(&mut self, now: MonoTime) -> Vec<UpstreamId> {
        let expired: Vec<UpstreamId> = self
            .listed
            .iter()
            .filter(|(_, listed)| listed.expires_at.is_some_and(|at| at <= now))
            .map(|(id, _)| id.clone())
            .collect();
        for id in &expired {
            self.listed.remove(id);
        }
        expired
    }

    /// Finds an entry by id.
    pub fn get(&self, id: &str) -> Option<&UpstreamEntry> {
        self.listed.get(id).map(|listed| &listed.entry)
    }

    /// All entries.
    pub fn entries(&self) -> impl Iterator<Item = &UpstreamEntry> {
        self.listed.values().map(|listed| &listed.entry)
    }

    /// Upstreams of a service that accept requests.
    pub fn usable<'a>(&'a self, service: &'a ServiceId) -> impl Iterator<Item = &'a UpstreamEntry> {
        self.entries()
            .filter(move |entry| entry.service == *service && !entry.is_leaving)
    }
}
