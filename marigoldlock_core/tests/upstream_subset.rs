//! Tests of upstream subsets at the current and the target fleet size.

use std::collections::BTreeMap;

use marigoldlock_core::routing::{UPSTREAMS_PER_SERVICE, upstream_subset};
use marigoldlock_wire::platform::{CapacityKind, ListEntry, ListKind, ListState};
use marigoldlock_wire::prelude::*;

fn entries(count: usize, data_centres: usize) -> Vec<ListEntry> {
    let entry = |index: usize| ListEntry {
        id: format!("engine-{index}"),
        kind: ListKind::Engine,
        service: Some(ServiceId::from("llm")),
        data_centre: DataCentre::from(format!("dc-{}", index % data_centres)),
        address: format!("127.0.0.1:{}", 1_000 + index),
        peer_address: None,
        capacity: CapacityKind::Steady,
        state: ListState::Live,
    };
    (0..count).map(entry).collect()
}

#[test]
fn all_upstreams_of_a_small_service_are_used() {
    let entries = entries(12, 3);

    let subset = upstream_subset(
        "pest-1",
        &DataCentre::from("dc-0"),
        &entries,
        UPSTREAMS_PER_SERVICE,
    );

    assert_eq!(subset.len(), 12);
}

#[test]
fn subset_of_a_large_service_includes_remote_upstreams() {
    let entries = entries(600, 9);
    let local = DataCentre::from("dc-4");

    let subset = upstream_subset("node-17", &local, &entries, UPSTREAMS_PER_SERVICE);

    assert_eq!(subset.len(), UPSTREAMS_PER_SERVICE);
    let local_upstreams = entries
        .iter()
        .filter(|entry| subset.contains(entry.id.as_str()) && entry.data_centre == local);
    assert_eq!(local_upstreams.count(), 16);
}

#[test]
fn every_upstream_is_used_by_some_instance_of_a_large_fleet() {
    let entries = entries(600, 9);
    let mut users: BTreeMap<&str, usize> = BTreeMap::new();

    for node in 0..400 {
        let local = DataCentre::from(format!("dc-{}", node % 9));
        for id in upstream_subset(&format!("node-{node}"), &local, &entries, UPSTREAMS_PER_SERVICE) {
            *users.entry(id).or_default() += 1;
        }
    }

    // 400 instances that use 24 upstreams each give an average of 16 users for each of 600 upstreams.
    assert_eq!(users.len(), 600);
    let (min_users, max_users) = (users.values().min().copied(), users.values().max().copied());
    assert!(
        min_users >= Some(4) && max_users <= Some(36),
        "between {min_users:?} and {max_users:?} users"
    );
}

#[test]
fn a_subset_changes_little_when_an_upstream_leaves() {
    let entries = entries(600, 9);
    let local = DataCentre::from("dc-2");
    let before = upstream_subset("node-5", &local, &entries, UPSTREAMS_PER_SERVICE);
    let gone = *before.iter().min().expect("a subset");

    let remaining: Vec<_> = entries.iter().filter(|entry| entry.id != gone).cloned().collect();
    let after = upstream_subset("node-5", &local, &remaining, UPSTREAMS_PER_SERVICE);

    assert_eq!(
        before.iter().filter(|id| after.contains(**id)).count(),
        UPSTREAMS_PER_SERVICE - 1
    );
}
