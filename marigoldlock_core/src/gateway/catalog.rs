//! Upstreams as the store lists them.
//!
//! An entry that disappears right after the store was away may only have lapsed with it, so it stays usable
//! for [`RETURN_GRACE`]. An upstream that said it is leaving never comes back under the same start.

use std::net::SocketAddr;
use std::time::Duration;

use marigoldlock_wire::prelude::*;

use crate::time::MonoTime;

/// Time for which an entry that lapsed in a store outage stays usable: the platform promises lapsed entries back
/// within two seconds, and a leaving upstream may get no work two seconds after its notice.
pub const RETURN_GRACE: Duration = Duration::from_millis(1_600);

/// Time after the store's return in which a removal may be a lapse.
pub const RETURN_WINDOW: Duration = Duration::from_secs(2);

/// What an upstream does.
#[derive(Clone, Copy, Debug, Default, Eq, Hash, PartialEq)]
pub enum UpstreamRole {
    /// Serves whole requests.
    #[default]
    Whole,
    /// Reads prompts.
    Prefill,
    /// Generates tokens; reads prompts slowly.
    Decode,
}

/// What an upstream says of itself.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct UpstreamEntry {
    /// Id; may be the same after a restart.
    pub id: UpstreamId,
    /// Service that it belongs to.
    pub service: ServiceId,
    /// Where it listens.
    pub address: SocketAddr,
    /// Where it stands.
    pub data_centre: DataCentre,
    /// Requests that it runs at once.
    pub slots: u32,
    /// True if it takes no more work.
    pub is_leaving: bool,
    /// What it does.
    pub role: UpstreamRole,
    /// Start of its process, in Unix milliseconds.
    pub started_ms: Option<u64>,
    /// True if the platform may reclaim it.
    pub is_spot: bool,
}

#[derive(Clone, Debug)]
struct Listed {
    entry: UpstreamEntry,
    lapses_at: Option<MonoTime>,
}

/// Effect of a record on the catalogue.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum CatalogChange {
    /// Nothing that matters changed.
    None,
    /// A new upstream, or a new start of a known one.
    Started,
    /// Properties of a known upstream changed.
    Updated,
    /// The upstream takes no more work.
    Leaving,
    /// The upstream is gone.
    Gone,
    /// The entry vanished with the store and is kept for a while.
    Suspect,
}

/// All upstreams.
#[derive(Clone, Debug, Default)]
pub struct UpstreamCatalog {
    listed: FastMap<UpstreamId, Listed>,
    left: FastMap<UpstreamId, Option<u64>>,
}

impl UpstreamCatalog {
    /// Takes an entry.
    pub fn put(&mut self, mut entry: UpstreamEntry) -> CatalogChange {
        if self
            .left
            .get(&entry.id)
            .is_some_and(|started| *started == entry.started_ms)
        {
            entry.is_leaving = true;
        }
        if entry.is_leaving {
            self.left.insert(entry.id.clone(), entry.started_ms);
        } else {
            self.left.remove(&entry.id);
        }
        let id = entry.id.clone();
        let is_leaving = entry.is_leaving;
        let listed = Listed {
            entry,
            lapses_at: None,
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

    /// Takes a removal; `store_back` is the time of the store's last return.
    pub fn remove(&mut self, id: &str, now: MonoTime, store_back: Option<MonoTime>) -> CatalogChange {
        let Some(listed) = self.listed.get_mut(id) else {
            return CatalogChange::None;
        };
        let just_back = store_back.is_some_and(|back| now.since(back) < RETURN_WINDOW);
        if just_back && !listed.entry.is_leaving {
            listed.lapses_at.get_or_insert(now + RETURN_GRACE);
            return CatalogChange::Suspect;
        }
        self.listed.remove(id);
        CatalogChange::Gone
    }

    /// Drops entries whose grace is over and returns them.
    pub fn expire(&mut self, now: MonoTime) -> Vec<UpstreamId> {
        let due: Vec<UpstreamId> = self
            .listed
            .iter()
            .filter(|(_, listed)| listed.lapses_at.is_some_and(|at| at <= now))
            .map(|(id, _)| id.clone())
            .collect();
        for id in &due {
            self.listed.remove(id);
        }
        due
    }

    /// One entry.
    pub fn get(&self, id: &str) -> Option<&UpstreamEntry> {
        self.listed.get(id).map(|listed| &listed.entry)
    }

    /// All entries.
    pub fn entries(&self) -> impl Iterator<Item = &UpstreamEntry> {
        self.listed.values().map(|listed| &listed.entry)
    }

    /// Upstreams of a service that take work.
    pub fn usable<'a>(&'a self, service: &'a ServiceId) -> impl Iterator<Item = &'a UpstreamEntry> {
        self.entries()
            .filter(move |entry| entry.service == *service && !entry.is_leaving)
    }
}
