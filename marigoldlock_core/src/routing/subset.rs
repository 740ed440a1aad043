//! Which upstreams an instance uses when there are many.
//!
//! An instance that knew the load of every upstream of a large fleet would spend its control traffic on reading
//! it. It uses a subset of each service instead: the same for as long as the upstreams stay, different between
//! instances, so that every upstream is used by about as many, and with its own data centre first.

use std::cmp::Reverse;

use marigoldlock_wire::platform::{ListEntry, ListKind};

use crate::membership::weight;
use crate::prelude::*;

/// Upstreams of one service that an instance uses.
pub const UPSTREAMS_PER_SERVICE: usize = 24;

/// Upstreams of the subset that stand in other data centres, so that the loss of its own leaves an instance some.
const REMOTE_UPSTREAMS: usize = 8;

/// Names of the upstreams that `instance` uses, at most `size` of each service.
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
        entries.sort_by_cached_key(|entry| (Reverse(weight(instance, &entry.id)), &entry.id));
        let (near, far): (Vec<_>, Vec<_>) = entries.iter().partition(|entry| entry.data_centre == *local);
        let remote = REMOTE_UPSTREAMS.min(size / 2).min(far.len());
        let near_count = near.len().min(size - remote);
        let far_count = size - near_count;
        entries = near
            .into_iter()
            .take(near_count)
            .chain(far.into_iter().take(far_count))
            .collect();
    }
    entries.into_iter().map(|entry| entry.id.as_str())
}
