//! Subset of the upstreams that an instance uses in a large fleet.
//!
//! Tracking the load of every upstream of a large fleet would take too much control traffic. An instance uses
//! a subset of each service instead. The subset is stable while the upstreams stay the same, differs between
//! instances so that each upstream is used by about the same number of them, and prefers the instance's own
//! data centre.

use std::cmp::Reverse;

use marigoldlock_wire::platform::{ListEntry, ListKind};

use crate::membership::rendezvous_weight;
use crate::prelude::*;

/// Number of upstreams of one service that an instance uses.
pub const UPSTREAMS_PER_SERVICE: usize = 24;

/// Upstreams of the subset in other data centres, so that an instance keeps some if its own data centre
/// fails.
const REMOTE_UPSTREAMS: usize = 8;

/// Returns the names of the upstreams that `instance` uses, at most `size` per service.
pub fn upstream_subset<'a>(
    instance: &str,
    local: &DataCentre,
    entries: &'a [ListEntry],
    size: usize,
) -> FastSet<&'a str> {
    let mut services: FastMap<&str, Vec<&ListEntry>> = FastMap::default();
    for entry in entries.iter().filter(|entry| entry.kind != ListKind::Entry) {
        if let Some(service) = &entry.service {
            services.entry(service.as_str()).or_default().push(entry);
        }
    }
    services
        .into_values()
        .flat_map(|entries| service_subset(instance, local, entries, size))
        .collect()
}

fn service_subset<'a>(
    instance: &str,
    local: &DataCentre,
    mut entries: Vec<&'a ListEntry>,
    size: usize,
) -> impl Iterator<Item = &'a str> {
    if entries.len() > size {
        entries.sort_by_cached_key(|entry| (Reverse(rendezvous_weight(instance, &entry.id)), &entry.id));
        let (local_entries, remote_entries): (Vec<_>, Vec<_>) =
            entries.iter().partition(|entry| entry.data_centre == *local);
        let remote = REMOTE_UPSTREAMS.min(size / 2).min(remote_entries.len());
        let local_count = local_entries.len().min(size - remote);
        let remote_count = size - local_count;
        entries = local_entries
            .into_iter()
            .take(local_count)
            .chain(remote_entries.into_iter().take(remote_count))
            .collect();
    }
    entries.into_iter().map(|entry| entry.id.as_str())
}
