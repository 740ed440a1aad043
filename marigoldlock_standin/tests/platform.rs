//! Ordering, usage and the list's lag, over their published interfaces.

mod common;

use std::sync::Arc;

use common::{get_json, post_json};
use marigoldlock_standin::ordering::ReclaimRequest;
use marigoldlock_standin::prelude::*;
use marigoldlock_wire::platform::{CapacityKind, InstanceList, ListState, OrderAnswer};
use serde_json::{Value, json};

struct TestPlatform {
    list: ListStandin,
    host: Arc<LocalHost>,
    ordering: OrderingStandin,
}

impl TestPlatform {
    async fn start(options: OrderingOptions) -> Self {
        let list = ListStandin::start(ListOptions::default()).await.unwrap();
        let engine = UpstreamTemplate::Engine(Box::default());
        let host = Arc::new(LocalHost::new([("lm".into(), engine)]));
        let target = Arc::new(list.handle().clone());
        let ordering = OrderingStandin::start(options, host.clone(), target)
            .await
            .unwrap();
        Self { list, host, ordering }
    }

    async fn order(&self, reference: &str, epoch: u64, orderer: &str, action: Value) -> OrderAnswer {
        let order = json!({
            "reference": reference,
            "epoch": epoch,
            "orderer": orderer,
            "data_centre": "pest-a",
            "service": "lm",
            "action": action,
        });
        let answer = post_json(self.ordering.address(), "/v1/orders", &order).await;
        answer.json().await.unwrap()
    }

    async fn wait_for_list(&self, fits: impl Fn(&InstanceList) -> bool) -> InstanceList {
        loop {
            let list = self.list.handle().current();
            if fits(&list) {
                return list;
            }
            tokio::task::yield_now().await;
        }
    }

    async fn close(self) {
        self.ordering.close().await;
        self.list.close().await;
    }
}

fn start_cheap() -> Value {
    json!({ "start": { "capacity": "cheap" } })
}

#[tokio::test]
async fn repeated_start_starts_two_and_is_found_by_reference() {
    let platform = TestPlatform::start(OrderingOptions {
        start_ms: 1,
        ..Default::default()
    })
    .await;
    for _ in 0..2 {
        platform.order("r1", 5, "a", start_cheap()).await;
    }
    let list = platform.wait_for_list(|list| list.entries.len() == 2).await;
    let ids: Vec<&str> = list.entries.iter().map(|entry| entry.id.as_str()).collect();
    assert_eq!(ids.len(), platform.host.names().len());
    let address = platform.ordering.address();
    let found: Vec<OrderAnswer> = get_json(address, "/v1/orders?reference=r1").await;
    let unknown: Vec<OrderAnswer> = get_json(address, "/v1/orders?reference=r2").await;
    assert_eq!((found.len(), unknown.len()), (2, 0));
    assert!(platform.ordering.seen()[1].repeated);
    platform.close().await;
}

#[tokio::test]
async fn old_epoch_is_accepted_and_flagged() {
    let platform = TestPlatform::start(OrderingOptions::default()).await;
    for (epoch, orderer) in [(5, "a"), (4, "b"), (5, "c")] {
        let answer = platform.order("r", epoch, orderer, start_cheap()).await;
        assert!(answer.upstream.is_some());
    }
    let seen = platform.ordering.seen();
    let flags: Vec<_> = seen
        .iter()
        .map(|seen| (seen.finding.stale, seen.finding.rival))
        .collect();
    assert_eq!(flags, [(false, false), (true, false), (false, true)]);
    platform.close().await;
}

#[tokio::test]
async fn withdrawn_upstream_is_listed_as_leaving_then_removed() {
    let options = OrderingOptions {
        start_ms: 0,
        leave_ms: 20,
        ..Default::default()
    };
    let platform = TestPlatform::start(options).await;
    let started = platform
        .order("r1", 1, "a", start_cheap())
        .await
        .upstream
        .unwrap();
    platform.wait_for_list(|list| list.entries.len() == 1).await;
    let withdraw = json!({ "withdraw": { "upstream": started } });
    platform.order("r2", 1, "a", withdraw.clone()).await;
    let list = platform
        .wait_for_list(|list| list.entries[0].state == ListState::Leaving)
        .await;
    let url = format!("http://{}/v1/load", list.entries[0].address);
    platform.wait_for_list(|list| list.entries.is_empty()).await;
    assert!(reqwest::get(url).await.is_err());
    let again = platform.order("r3", 1, "a", withdraw).await;
    assert_eq!(again.upstream, None);
    platform.close().await;
}

#[tokio::test]
async fn reclaim_stops_the_cheap_upstreams_of_a_data_centre() {
    let platform = TestPlatform::start(OrderingOptions::default()).await;
    let mut started = Vec::new();
    for (place, capacity) in [
        ("pest-a", CapacityKind::Cheap),
        ("pest-a", CapacityKind::Steady),
        ("pest-b", CapacityKind::Cheap),
        ("pest-a", CapacityKind::Cheap),
    ] {
        let (service, place) = ("lm".into(), place.into());
        let upstream = platform.ordering.start_now(&service, &place, capacity);
        started.push(upstream.await.unwrap());
    }
    let request = ReclaimRequest {
        data_centre: Some("pest-a".into()),
        ..Default::default()
    };
    let taken = platform.ordering.reclaim(&request);
    assert_eq!(taken, [started[0].clone(), started[3].clone()]);
    platform.wait_for_list(|list| list.entries.len() == 2).await;
    platform.close().await;
}

#[tokio::test]
async fn missing_capacity_starts_nothing() {
    let platform = TestPlatform::start(OrderingOptions::default()).await;
    platform
        .ordering
        .set_capacity(&"pest-a".into(), CapacityKind::Cheap, Some(1));
    let first = platform.order("r1", 1, "a", start_cheap()).await;
    let second = platform.order("r2", 1, "a", start_cheap()).await;
    assert!(first.upstream.is_some() && second.upstream.is_none());
    platform.close().await;
}

#[tokio::test]
async fn lost_start_never_comes_up() {
    let platform = TestPlatform::start(OrderingOptions {
        start_ms: 0,
        ..Default::default()
    })
    .await;
    platform.ordering.lose_starts(1);
    let lost = platform
        .order("r1", 1, "a", start_cheap())
        .await
        .upstream
        .unwrap();
    let found = platform
        .order("r2", 1, "a", start_cheap())
        .await
        .upstream
        .unwrap();
    let list = platform.wait_for_list(|list| !list.entries.is_empty()).await;
    assert_eq!(list.entries[0].id, found.as_str());
    assert!(!platform.host.names().contains(&lost));
    platform.close().await;
}

#[tokio::test]
async fn second_figure_and_old_epoch_of_a_usage_report_are_flagged() {
    let usage = UsageStandin::start(UsageOptions::default()).await.unwrap();
    for (epoch, requests) in [(2, 10), (2, 10), (3, 11), (2, 10)] {
        let report = json!({
            "customer": "c1",
            "window": 7,
            "figure": { "requests": requests, "prompt_tokens": 0, "output_tokens": 0 },
            "reporter": "a",
            "epoch": epoch,
        });
        let answer = post_json(usage.address(), "/v1/usage", &report).await;
        assert!(answer.status().is_success());
    }
    let flags: Vec<_> = usage
        .seen()
        .iter()
        .map(|seen| (seen.repeated, seen.differs, seen.finding.stale))
        .collect();
    let expected = [
        (false, false, false),
        (true, false, false),
        (false, true, false),
        (true, false, true),
    ];
    assert_eq!(flags, expected);
    usage.close().await;
}

#[tokio::test]
async fn list_is_edited_over_http() {
    let list = ListStandin::start(ListOptions::default()).await.unwrap();
    let url = format!("http://{}/v1/instances/e1", list.address());
    let entry = json!({
        "id": "e1",
        "kind": "engine",
        "service": "lm",
        "data_centre": "pest-a",
        "address": "127.0.0.1:1",
        "state": "live",
    });
    let client = reqwest::Client::new();
    client.put(&url).json(&entry).send().await.unwrap();
    let shown: InstanceList = get_json(list.address(), "/v1/instances").await;
    assert_eq!((shown.version, shown.entries.len()), (2, 1));
    client.delete(&url).send().await.unwrap();
    let shown: InstanceList = get_json(list.address(), "/v1/instances").await;
    assert_eq!((shown.version, shown.entries.len()), (3, 0));
    list.close().await;
}

#[tokio::test(start_paused = true)]
async fn list_is_delayed_by_its_lag() {
    let options = ListOptions {
        lag_ms: 1000,
        ..ListOptions::default()
    };
    let list = ListStandin::start(options).await.unwrap();
    let handle = list.handle();
    let entry = |id: &str| marigoldlock_wire::platform::ListEntry {
        id: id.to_owned(),
        kind: marigoldlock_wire::platform::ListKind::Engine,
        service: None,
        data_centre: "pest-a".into(),
        address: String::new(),
        peer_address: None,
        capacity: CapacityKind::Steady,
        state: ListState::Live,
    };
    let mut versions = Vec::new();
    for id in ["e1", "e2"] {
        handle.set(entry(id));
        tokio::time::advance(std::time::Duration::from_millis(600)).await;
        versions.push(handle.lagged().version);
    }
    tokio::time::advance(std::time::Duration::from_millis(400)).await;
    versions.push(handle.lagged().version);
    assert_eq!(versions, [1, 2, 3]);
    list.close().await;
}
