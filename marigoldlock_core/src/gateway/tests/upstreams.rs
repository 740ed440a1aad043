//! Tests of the catalogue, health and cached prompt parts of upstreams.

use marigoldlock_wire::prelude::*;

use super::{at, entry, millis, prompt};
use crate::gateway::adapter::LoadReport;
use crate::gateway::catalog::{CatalogChange, LAPSED_ENTRY_TTL, UpstreamCatalog, UpstreamRole};
use crate::gateway::prefix::PrefixSet;
use crate::gateway::state::UpstreamState;
use crate::gateway::store_health::StoreHealth;

fn usable(catalog: &UpstreamCatalog) -> usize {
    catalog.usable(&ServiceId::from("llm")).count()
}

#[test]
fn an_upstream_that_wants_no_requests_for_a_time_takes_none_until_its_end() {
    let mut state = UpstreamState::default();
    state.record_retry_after(millis(2_000), at(0));
    // A shorter time, named for a request that was under way, does not end the longer one.
    state.record_retry_after(millis(500), at(100));
    state.record_success(at(200));
    assert_eq!(state.send_wait(at(1_000), None), millis(1_000));
    assert_eq!(state.send_wait(at(2_000), None), millis(0));
}

#[test]
fn a_leaving_upstream_gets_no_requests_and_returns_only_after_a_restart() {
    let mut catalog = UpstreamCatalog::default();
    assert_eq!(
        catalog.put(entry("u1", "a", UpstreamRole::Whole)),
        CatalogChange::Started
    );
    let mut leaving = entry("u1", "a", UpstreamRole::Whole);
    leaving.is_leaving = true;
    assert_eq!(catalog.put(leaving), CatalogChange::Leaving);
    assert_eq!(usable(&catalog), 0);
    // A stale entry of the same process start arrives late.
    catalog.put(entry("u1", "a", UpstreamRole::Whole));
    assert_eq!(usable(&catalog), 0);
    let mut again = entry("u1", "a", UpstreamRole::Whole);
    again.started_ms = Some(2);
    assert_eq!(catalog.put(again), CatalogChange::Started);
    assert_eq!(usable(&catalog), 1);
}

#[test]
fn an_upstream_that_says_it_leaves_gets_no_requests_until_it_has_started_again() {
    let mut catalog = UpstreamCatalog::default();
    let before = entry("u1", "a", UpstreamRole::Whole);
    catalog.put(before.clone());
    assert!(catalog.record_leaving(&before));
    assert!(!catalog.record_leaving(&before), "known already");
    // The store still lists the same process as ready.
    catalog.put(before.clone());
    assert_eq!(usable(&catalog), 0);
    let mut again = before.clone();
    again.started_ms = Some(2);
    catalog.put(again);
    assert!(
        !catalog.record_leaving(&before),
        "a late answer of the old process"
    );
    assert_eq!(usable(&catalog), 1);
}

#[test]
fn an_entry_that_lapsed_in_a_store_outage_expires_after_its_ttl() {
    let mut catalog = UpstreamCatalog::default();
    catalog.put(entry("u1", "a", UpstreamRole::Whole));
    catalog.put(entry("u2", "a", UpstreamRole::Whole));
    let recovered_at = at(0);
    assert_eq!(
        catalog.remove("u1", at(100), Some(recovered_at)),
        CatalogChange::Suspect
    );
    assert_eq!(
        catalog.remove("u2", at(100), Some(recovered_at)),
        CatalogChange::Suspect
    );
    assert_eq!(usable(&catalog), 2);
    catalog.put(entry("u2", "a", UpstreamRole::Whole));
    let gone = catalog.expire(at(100) + LAPSED_ENTRY_TTL);
    assert_eq!(gone, [UpstreamId::from("u1")]);
    assert_eq!(usable(&catalog), 1);
}

#[test]
fn the_first_response_of_the_store_is_a_recovery_only_after_failed_calls() {
    let mut health = StoreHealth::default();
    assert!(health.record_response(at(0)));
    assert_eq!((health.is_reachable(), health.recovered_at()), (true, None));
    assert!(health.record_failure());
    assert!(!health.record_failure(), "known already");
    assert!(health.record_response(at(900)));
    assert_eq!(health.recovered_at(), Some(at(900)));
    let mut started_in_outage = StoreHealth::default();
    started_in_outage.record_failure();
    started_in_outage.record_response(at(500));
    assert_eq!(started_in_outage.recovered_at(), Some(at(500)));
}

#[test]
fn a_removal_without_a_store_outage_takes_effect_at_once() {
    let mut catalog = UpstreamCatalog::default();
    catalog.put(entry("u1", "a", UpstreamRole::Whole));
    assert_eq!(catalog.remove("u1", at(10_000), Some(at(0))), CatalogChange::Gone);
    assert_eq!(catalog.remove("u1", at(10_001), None), CatalogChange::None);
    assert_eq!(usable(&catalog), 0);
}

#[test]
fn a_leaving_upstream_is_removed_at_once() {
    let mut catalog = UpstreamCatalog::default();
    let mut leaving = entry("u1", "a", UpstreamRole::Whole);
    leaving.is_leaving = true;
    catalog.put(leaving);
    assert_eq!(catalog.remove("u1", at(1), Some(at(0))), CatalogChange::Gone);
}

#[test]
fn consecutive_failures_eject_an_upstream_for_longer_each_time() {
    let mut state = UpstreamState::default();
    assert!(!state.record_failure(at(0)));
    assert!(state.is_usable(at(0)) && state.is_suspect());
    assert!(state.record_failure(at(0)));
    assert!(!state.is_usable(at(499)) && state.is_usable(at(500)));
    assert!(state.record_failure(at(500)));
    assert!(!state.is_usable(at(1_499)) && state.is_usable(at(1_500)));
    state.record_success(at(501));
    assert!(state.is_usable(at(501)) && !state.is_suspect());
}

#[test]
fn an_unreachable_upstream_is_ejected_at_once() {
    let mut state = UpstreamState::default();
    assert!(state.record_unreachable(at(0)));
    assert!(!state.is_usable(at(499)) && state.is_usable(at(500)));
    assert!(state.record_unreachable(at(500)));
    assert!(!state.is_usable(at(1_499)));
}

#[test]
fn load_is_the_larger_of_requests_in_flight_and_a_recent_report() {
    let mut state = UpstreamState::default();
    state.own.requests = 2;
    state.peers.requests = 1;
    let report = LoadReport {
        running: 6,
        waiting: 3,
        slots: 8,
        slowdown: None,
    };
    state.record_report(report, at(0));
    assert_eq!(state.requests(at(100)), 9);
    assert_eq!(state.requests(at(100) + millis(1_000)), 3);
}

#[test]
fn parts_count_only_after_cached_ones_and_the_oldest_are_evicted_first() {
    let mut cache = PrefixSet::default();
    let first = prompt(1, 1_000, 100);
    cache.record(&first.parts, 10_000);
    assert_eq!(cache.cached_tokens(&first.parts), 1_100);
    let mut other = first.clone();
    other.parts[0].id = 99;
    assert_eq!(cache.cached_tokens(&other.parts), 0);
    for prefix_id in 2..12 {
        cache.record(&prompt(prefix_id, 1_000, 100).parts, 10_000);
    }
    assert_eq!(cache.cached_tokens(&first.parts), 0);
    assert_eq!(cache.cached_tokens(&prompt(11, 1_000, 100).parts), 1_100);
}

#[test]
fn a_full_upstream_is_avoided_for_longer_each_time() {
    let mut state = UpstreamState::default();
    let mut tries = 0;
    // An engine that changes its role rejects all requests for three seconds.
    for millis in (0..3_000).step_by(10) {
        if state.is_usable(at(millis)) {
            // Several requests are in flight at once.
            for _ in 0..4 {
                state.record_full(at(millis));
            }
            tries += 1;
        }
    }
    assert!(tries <= 6, "tried {tries} times");
    state.record_success(at(3_200));
    state.record_full(at(5_000));
    assert!(
        !state.is_usable(at(5_099)) && state.is_usable(at(5_100)),
        "a short burst causes one short backoff"
    );
}

#[test]
fn an_upstream_that_others_cannot_reach_is_avoided_unless_it_responds_here() {
    let mut state = UpstreamState::default();
    state.unreachable_reports = 1;
    assert!(
        state.is_usable(at(0)),
        "a single instance may have lost its own network links"
    );
    state.unreachable_reports = 2;
    assert!(!state.is_usable(at(0)));
    state.record_success(at(0));
    assert!(state.is_usable(at(900)));
    assert!(!state.is_usable(at(1_100)));
    assert!(state.record_unreachable(at(1_100)));
    assert!(state.is_unreachable(at(1_200)) && !state.is_unreachable(at(9_000)));
}
