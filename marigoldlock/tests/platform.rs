//! Requests and failures on the users' platform, with stand-ins for its store, upstreams and duty API.

mod platform_support;

use std::collections::BTreeMap;
use std::time::{Duration, Instant};

use marigoldlock::gateway::GatewayBounds;
use marigoldlock::platform_run::SettingsFileWatcher;
use marigoldlock_core::gateway::crashes::CrashReport;
use marigoldlock_core::gateway::members::{
    Heartbeat, MemberCard, MemberReport, MemberStage, StoreContact, SyncState,
};
use marigoldlock_core::prelude::*;
use marigoldlock_platform::ProcessSettings;
use marigoldlock_standin::site::{SITE_HOST, SITE_KEY, instance_file, site_settings};
use platform_support::{Site, event_ids, wait_until};
use tokio::io::{AsyncReadExt, AsyncWriteExt};

const ALL_EVENTS: [u64; 6] = [0, 1, 2, 3, 4, 5];

#[tokio::test]
async fn a_healthy_site_serves_every_kind_of_request() {
    let site = Site::start(1).await;
    let answer = site.send(0, "/draft/x", "s1").await;
    assert_eq!(answer.status(), 200);
    assert!(answer.headers().contains_key("response-seal"));
    assert_eq!(event_ids(&answer.text().await.unwrap()), ALL_EVENTS);
    let reads = site.runner("p1").runs();
    assert!(
        reads.iter().all(|run| run.is_prefill) && reads.len() == 1,
        "the prompt is processed once, at a prefill upstream"
    );
    let generated: Vec<_> = ["d1", "d2"]
        .iter()
        .flat_map(|id| site.runner(id).runs())
        .collect();
    assert_eq!(generated.len(), 1);
    assert!(generated[0].kv_source.as_ref().unwrap().ends_with("/h1"));

    for (path, attempt) in [("/look/x?q=1", "l1"), ("/book/x", "b1")] {
        let answer = site.send(0, path, attempt).await;
        assert_eq!(answer.status(), 200);
        assert!(
            answer.headers().get("instance-load").is_none(),
            "load is internal to the system"
        );
        assert_eq!(answer.text().await.unwrap(), "whole answer");
        assert_eq!(site.runs_of(attempt), 1);
    }
    let runs = ["a1", "a2"].iter().flat_map(|id| site.runner(id).runs());
    for run in runs {
        assert_eq!(run.tenant.as_deref(), Some("acme"));
        assert!(!run.has_key, "the key was forwarded to an upstream");
        assert_eq!(
            run.body,
            if run.path.starts_with("/book") {
                "the body"
            } else {
                ""
            }
        );
    }
}

#[tokio::test]
async fn unknown_keys_and_routes_are_refused() {
    let site = Site::start(1).await;
    assert_eq!(site.send_as(0, "/look/x", "l1", "stolen").await.status(), 401);
    assert_eq!(site.send(0, "/nothing/x", "l2").await.status(), 404);
    assert_eq!(site.runs_of("l1") + site.runs_of("l2"), 0);
}

#[tokio::test]
async fn a_booking_with_a_lost_response_runs_once_and_is_not_reported_as_not_run() {
    let site = Site::start(1).await;
    for id in ["a1", "a2"] {
        site.runner(id).set_faults(|faults| faults.drops_answers = true);
    }
    let answer = site.send(0, "/book/x", "b1").await;
    assert_eq!(answer.status(), 502);
    assert_eq!(site.runs_of("b1"), 1);
}

#[tokio::test]
async fn a_refusal_without_the_not_executed_header_is_not_retried() {
    let site = Site::start(1).await;
    for id in ["a1", "a2"] {
        site.runner(id)
            .set_faults(|faults| faults.refuses_after_run = true);
    }
    assert_eq!(site.send(0, "/book/x", "b1").await.status(), 502);
    assert_eq!(site.runs_of("b1"), 1);
}

#[tokio::test]
async fn a_response_to_another_request_is_not_forwarded() {
    let site = Site::start(1).await;
    for id in ["a1", "a2"] {
        site.runner(id).set_faults(|faults| faults.crosses_answers = true);
    }
    assert_eq!(site.send(0, "/book/x", "b1").await.status(), 502);
    assert_eq!(site.runs_of("b1"), 1);
}

#[tokio::test]
async fn a_failed_read_is_retried_at_another_upstream() {
    for lost in [true, false] {
        let site = Site::start(1).await;
        site.runner("a1").set_faults(|faults| {
            faults.drops_answers = lost;
            faults.returns_errors = !lost;
        });
        for number in 0..8 {
            let answer = site.send(0, "/look/x", &format!("l{number}")).await;
            assert_eq!(answer.status(), 200, "lost: {lost}");
        }
    }
}

#[tokio::test]
async fn an_upstream_error_is_forwarded_if_every_upstream_fails() {
    let site = Site::start(1).await;
    for id in ["a1", "a2"] {
        site.runner(id).set_faults(|faults| faults.returns_errors = true);
    }
    let answer = site.send(0, "/look/x", "l1").await;
    assert_eq!(answer.status(), 500);
    assert!(answer.headers().contains_key("response-seal"));
    assert_eq!(site.runs_of("l1"), 2);
}

#[tokio::test]
async fn full_upstreams_are_reported_as_not_run_with_retry_after() {
    let site = Site::start(1).await;
    for id in ["a1", "a2"] {
        site.runner(id)
            .set_faults(|faults| faults.rejects_requests = true);
    }
    let answer = site.send(0, "/book/x", "b1").await;
    assert_eq!(answer.status(), 503);
    assert!(answer.headers().contains_key("retry-after"));
    assert_eq!(site.runs_of("b1"), 0);
}

#[tokio::test]
async fn a_broken_stream_resumes_at_another_upstream_without_gaps_or_duplicates() {
    let site = Site::start(1).await;
    for id in ["d1", "d2"] {
        site.runner(id)
            .set_faults(|faults| faults.cut_stream_after = Some(2));
    }
    let answer = site.send(0, "/draft/x", "s1").await;
    assert_eq!(event_ids(&answer.text().await.unwrap()), ALL_EVENTS);
    let runs: Vec<_> = ["d1", "d2"]
        .iter()
        .flat_map(|id| site.runner(id).runs())
        .collect();
    let mut resumed_from: Vec<Option<u64>> = runs.iter().map(|run| run.last_event).collect();
    resumed_from.sort();
    assert_eq!(
        resumed_from,
        [None, Some(1)],
        "the partial event is not forwarded, and the complete ones are not requested again"
    );
}

#[tokio::test]
async fn a_stream_that_no_upstream_can_finish_ends_with_an_error() {
    let site = Site::start(1).await;
    for id in ["d1", "d2"] {
        site.runner(id).set_faults(|faults| {
            faults.cut_stream_after = Some(1);
            faults.cuts_resumed_streams = true;
        });
    }
    let answer = site.send(0, "/draft/x", "s1").await;
    assert_eq!(answer.status(), 200);
    assert!(
        answer.text().await.is_err(),
        "the end of the stream must be missing"
    );
}

#[tokio::test]
async fn a_full_prefill_upstream_leaves_the_prompt_to_a_decode_upstream() {
    let site = Site::start(1).await;
    site.runner("p1")
        .set_faults(|faults| faults.rejects_requests = true);
    let answer = site.send(0, "/draft/x", "s1").await;
    assert_eq!(event_ids(&answer.text().await.unwrap()), ALL_EVENTS);
    assert_eq!(site.runs_of("s1"), 1);
}

#[tokio::test]
async fn a_prompt_moves_from_an_unreachable_prefill_upstream_to_another() {
    let site = Site::start(1).await;
    // Two more prefill upstreams are listed, but nothing listens at their addresses. Their ports stay bound, so that no
    // other test's server gets them.
    let mut bound = Vec::new();
    for id in ["x1", "x2"] {
        let closed = tokio::net::TcpSocket::new_v4().unwrap();
        closed.bind("127.0.0.1:0".parse().unwrap()).unwrap();
        let mut entry = site.runner("p1").entry("ready");
        entry["Address"] = closed.local_addr().unwrap().to_string().into();
        site.store.put_upstream(id, Some(&entry));
        bound.push(closed);
    }
    wait_until("the upstreams are listed", || {
        site.instances[0].usable_upstreams() == 7
    })
    .await;
    let front = site.instances[0].addresses().front;
    for number in 0..16 {
        let (attempt, parts) = (
            format!("s{number}"),
            format!("{:x}:4000,{:x}:1000", 100 + number, 900 + number),
        );
        let answer = site
            .caller
            .send_prompt(front, "/draft/x", &attempt, SITE_KEY, &parts)
            .await;
        assert_eq!(event_ids(&answer.unwrap().text().await.unwrap()), ALL_EVENTS);
    }
    let runs = ["d1", "d2"].iter().flat_map(|id| site.runner(id).runs());
    for run in runs {
        assert!(
            run.kv_source.is_some(),
            "{} was prefilled by a decode upstream",
            run.attempt
        );
    }
}

#[tokio::test]
async fn lost_prefill_responses_fail_no_request() {
    let site = Site::start(1).await;
    site.runner("p1").set_faults(|faults| faults.drops_answers = true);
    for number in 0..4 {
        let attempt = format!("s{number}");
        let answer = site.send(0, "/draft/x", &attempt).await;
        assert_eq!(event_ids(&answer.text().await.unwrap()), ALL_EVENTS);
        assert_eq!(site.runs_of(&attempt), 1);
    }
}

#[tokio::test]
async fn draining_removed_and_malformed_upstreams_get_no_work() {
    let site = Site::start(1).await;
    let count = || site.instances[0].usable_upstreams();
    site.store
        .put_upstream("a1", Some(&site.runner("a1").entry("draining")));
    wait_until("a1 leaves", || count() == 4).await;
    site.store.put_upstream("d1", None);
    wait_until("d1 is gone", || count() == 3).await;
    site.store.put("keyed.servers", "d2", Some(b"\xff{not json"));
    site.store.put("keyed.servers", "", Some(b"{}"));
    wait_until("the entry of d2 is malformed", || count() == 2).await;
    for number in 0..6 {
        assert_eq!(site.send(0, "/book/x", &format!("b{number}")).await.status(), 200);
    }
    assert!(site.runner("a1").runs().is_empty());
    assert_eq!(
        site.send(0, "/draft/x", "s1").await.status(),
        503,
        "no decode upstream is left"
    );
    assert_eq!(site.runs_of("s1"), 0);
}

#[tokio::test]
async fn older_and_malformed_settings_are_ignored() {
    let site = Site::start(1).await;
    let version = || site.instances[0].settings_version();
    let mut changed = site_settings(9);
    changed["Tenants"][0]["ApiKeys"] = serde_json::json!(["key-new"]);
    site.store.put_settings(&changed);
    wait_until("version 9 is in force", || version() == 9).await;
    assert_eq!(
        site.send(0, "/look/x", "l1").await.status(),
        401,
        "the key was withdrawn"
    );
    assert_eq!(site.send_as(0, "/look/x", "l2", "key-new").await.status(), 200);
    site.store.put_settings(&site_settings(8));
    site.store.put("keyed.op", "config", Some(b"{\"Version\": 11"));
    site.store.put_settings(&{
        let mut next = site_settings(12);
        next["Tenants"][0]["ApiKeys"] = serde_json::json!([SITE_KEY]);
        next
    });
    wait_until("version 12 is in force", || version() == 12).await;
    assert_eq!(site.send(0, "/look/x", "l3").await.status(), 200);
}

#[tokio::test]
async fn requests_are_served_while_the_store_is_unavailable() {
    let site = Site::start(1).await;
    site.store.set_faults(|faults| faults.refuse = Some(503));
    assert_eq!(site.send(0, "/look/x", "l1").await.status(), 200);
    assert_eq!(
        event_ids(&site.send(0, "/draft/x", "s1").await.text().await.unwrap()),
        ALL_EVENTS
    );
    site.store.set_faults(|faults| faults.refuse = None);
    site.store.put_settings(&site_settings(20));
    wait_until("the store is followed again", || {
        site.instances[0].settings_version() == 20
    })
    .await;
}

#[tokio::test]
async fn a_change_hidden_by_a_stale_listing_is_found() {
    let site = Site::start(1).await;
    let end = site.store.end("keyed.servers");
    // The change comes while the store refuses calls; its record is compacted and listings are stale.
    site.store.set_faults(|faults| {
        faults.refuse = Some(503);
        faults.stale_from = Some(end);
    });
    site.store
        .put_upstream("a1", Some(&site.runner("a1").entry("draining")));
    site.store.compact("keyed.servers");
    site.store
        .put_upstream("a2", Some(&site.runner("a2").entry("ready")));
    let calls = site.store.calls();
    site.store.set_faults(|faults| faults.refuse = None);
    wait_until("the store is followed again", || site.store.calls() > calls + 3).await;
    site.store.set_faults(|faults| faults.stale_from = None);
    wait_until("a1 leaves", || site.instances[0].usable_upstreams() == 4).await;
}

#[tokio::test]
async fn a_change_missed_by_every_long_poll_is_found() {
    let site = Site::start(2).await;
    site.store.set_faults(|faults| faults.skip_wakeups = true);
    site.store
        .put_upstream("a1", Some(&site.runner("a1").entry("draining")));
    wait_until("a1 leaves everywhere", || {
        site.instances
            .iter()
            .all(|instance| instance.usable_upstreams() == 4)
    })
    .await;
}

#[tokio::test]
async fn an_instance_without_the_store_gets_settings_from_its_peers() {
    let site = Site::start(2).await;
    // Newer settings of one instance reach the other without the store.
    let mut changed = site_settings(30);
    changed["Tenants"][0]["ApiKeys"] = serde_json::json!(["key-new"]);
    site.store.set_faults(|faults| faults.refuse = Some(503));
    site.instances[0].put_settings_from_store(changed.to_string().as_bytes());
    wait_until("the other instance has caught up", || {
        site.instances[1].settings_version() == 30
    })
    .await;
    assert_eq!(site.send(1, "/look/x", "l1").await.status(), 401);
}

#[tokio::test]
async fn only_live_instances_are_advertised_to_callers() {
    let mut site = Site::start(2).await;
    let fronts = |site: &Site| -> Vec<String> {
        site.instances
            .iter()
            .map(|instance| instance.addresses().front.to_string())
            .collect()
    };
    let mut advertised = site.resolve(0).await;
    advertised.sort();
    let mut expected = fronts(&site);
    expected.sort();
    assert_eq!(advertised, expected);
    site.instances.remove(1).abort();
    wait_until("the dead instance is detected", || {
        site.instances[0].live_members() == 0
    })
    .await;
    assert_eq!(site.resolve(0).await, fronts(&site));
}

#[tokio::test]
async fn a_graceful_shutdown_finishes_running_requests() {
    let mut site = Site::start(1).await;
    for id in ["a1", "a2"] {
        site.runner(id)
            .set_faults(|faults| faults.delay = Duration::from_millis(500));
    }
    let server = site.instances.remove(0);
    let front = server.addresses().front;
    let request = tokio::spawn(async move {
        let http = reqwest::Client::builder().no_proxy().build().unwrap();
        let request = http
            .post(format!("http://{front}/book/x"))
            .header("Host", SITE_HOST)
            .header("Attempt-Id", "b1")
            .header("Authorization", format!("Bearer {SITE_KEY}"))
            .body("the body");
        request.send().await.unwrap().status()
    });
    wait_until("the booking runs", || site.runs_of("b1") == 1).await;
    server.close().await;
    assert_eq!(request.await.unwrap(), 200);
}

#[tokio::test]
async fn usage_is_reported_exactly_once_across_a_change_of_duty_holder() {
    let mut site = Site::start(2).await;
    for number in 0..10 {
        site.send(number % 2, "/look/x", &format!("l{number}")).await;
    }
    wait_until("ten requests are reported", || site.reported_requests() == 10).await;
    let holders = |site: &Site| -> Vec<String> {
        let holders: BTreeMap<String, ()> = site
            .duties
            .usage()
            .into_values()
            .map(|usage| (usage.holder, ()))
            .collect();
        holders.into_keys().collect()
    };
    let first = holders(&site);
    assert_eq!(first.len(), 1, "one instance holds the duties: {first:?}");
    let holder = usize::from(first[0] == "n1");
    site.instances.remove(holder).abort();
    wait_until("the dead instance is detected", || {
        site.instances[0].live_members() == 0
    })
    .await;
    for number in 10..15 {
        site.send(0, "/look/x", &format!("l{number}")).await;
    }
    wait_until("fifteen requests are reported", || site.reported_requests() == 15).await;
    assert_eq!(holders(&site), ["n0", "n1"]);
    assert_eq!(site.duties.conflicts(), 0);
}

/// Guards against calls of two holders in turn where the platform checks no fencing number: a successor sends nothing for a
/// lease after it has read the last record of the former holder.
#[tokio::test]
async fn without_a_fence_a_successor_waits_for_the_lease_of_the_former_holder() {
    let lease = Duration::from_secs(5);
    let mut site = Site::start(2).await;
    for instance in &site.instances {
        let bounds = GatewayBounds {
            requires_fence: false,
            lease,
            // A report does not wait long for the counts of the lost holder.
            usage_due: Duration::from_secs(2),
            ..instance.bounds()
        };
        instance.set_bounds(bounds);
    }
    for number in 0..6 {
        site.send(number % 2, "/look/x", &format!("l{number}")).await;
    }
    wait_until("six requests are reported", || site.reported_requests() == 6).await;
    let first = site.duties.usage().into_values().next().unwrap().holder;
    // The successor may claim at once, as the claim that it has read is older than the lease.
    tokio::time::sleep(lease).await;
    site.instances.remove(usize::from(first == "n1")).abort();
    let killed_at = Instant::now();
    // Requests of the following windows, so that a report is due as soon as the successor may send.
    let mut number = 6;
    while !site
        .duties
        .usage()
        .into_values()
        .any(|usage| usage.holder != first)
    {
        assert!(
            killed_at.elapsed() < Duration::from_secs(20),
            "no successor reports"
        );
        site.send(0, "/look/x", &format!("l{number}")).await;
        number += 1;
        tokio::time::sleep(Duration::from_millis(100)).await;
    }
    println!("first report of the successor after {:?}", killed_at.elapsed());
    assert!(
        killed_at.elapsed() >= lease + Duration::from_secs(1),
        "the successor reported {:?} after the kill",
        killed_at.elapsed()
    );
    assert_eq!(site.duties.conflicts(), 0);
}

#[tokio::test]
async fn usage_survives_lost_append_responses() {
    let site = Site::start(1).await;
    site.store.set_faults(|faults| faults.lost_answers = 2);
    for number in 0..5 {
        site.send(0, "/look/x", &format!("l{number}")).await;
    }
    wait_until("five requests are reported", || site.reported_requests() == 5).await;
    assert_eq!(site.duties.conflicts(), 0);
}

#[tokio::test]
async fn a_smuggled_request_is_never_run() {
    let site = Site::start(1).await;
    let front = site.instances[0].addresses().front;
    let mut stream = tokio::net::TcpStream::connect(front).await.unwrap();
    let hidden = format!("POST /book/hidden HTTP/1.1\r\nHost: {SITE_HOST}\r\nAttempt-Id: evil\r\n\r\n");
    let text = format!(
        "POST /book/x HTTP/1.1\r\nHost: {SITE_HOST}\r\nAttempt-Id: b1\r\nAuthorization: Bearer {SITE_KEY}\r\n\
         Content-Length: 5\r\nTransfer-Encoding: chunked\r\nConnection: close\r\n\r\n{:x}\r\n{hidden}\r\n0\r\n\r\n",
        hidden.len()
    );
    stream.write_all(text.as_bytes()).await.unwrap();
    let mut answer = String::new();
    stream.read_to_string(&mut answer).await.unwrap();
    assert_eq!(site.runs_of("evil"), 0);
    for id in ["a1", "a2"] {
        for run in site.runner(id).runs() {
            assert_eq!(run.path, "/book/x");
            assert_eq!(run.body, hidden);
        }
    }
}

#[tokio::test]
async fn an_upstream_missing_from_a_listing_gets_no_work() {
    let site = Site::start(1).await;
    // The record of the removal is compacted before an instance can read it.
    site.store.set_faults(|faults| faults.refuse = Some(503));
    site.store.put_upstream("a1", None);
    site.store.compact("keyed.servers");
    site.store.set_faults(|faults| faults.refuse = None);
    wait_until("a1 is gone", || site.instances[0].usable_upstreams() == 4).await;
    assert_eq!(site.send(0, "/book/x", "b1").await.status(), 200);
    assert!(site.runner("a1").runs().is_empty());
}

#[tokio::test]
async fn malformed_datagrams_are_ignored() {
    let site = Site::start(2).await;
    let socket = tokio::net::UdpSocket::bind("127.0.0.1:0").await.unwrap();
    let mut junk: Vec<Vec<u8>> = (0..=u8::MAX)
        .map(|first| [vec![first], vec![0xfd; 40]].concat())
        .collect();
    junk.extend([Vec::new(), vec![2; 60_000]]);
    for instance in &site.instances {
        for bytes in &junk {
            socket.send_to(bytes, instance.addresses().peer).await.unwrap();
        }
    }
    for number in 0..4 {
        assert_eq!(
            site.send(number % 2, "/look/x", &format!("l{number}"))
                .await
                .status(),
            200
        );
    }
    wait_until("the instances still receive each other's heartbeats", || {
        site.instances.iter().all(|instance| instance.live_members() == 1)
    })
    .await;
}

#[tokio::test]
async fn an_instance_rejected_by_the_store_gets_upstream_changes_from_a_peer() {
    let site = Site::start(3).await;
    for rejected in 0..3 {
        site.store.set_endpoint_refusal(rejected, Some(429));
        let (id, remaining) = [("a1", 4), ("d1", 3), ("d2", 2)][rejected];
        site.store
            .put_upstream(id, Some(&site.runner(id).entry("draining")));
        wait_until("all instances know the draining upstream", || {
            site.instances
                .iter()
                .all(|instance| instance.usable_upstreams() == remaining)
        })
        .await;
        site.store.set_endpoint_refusal(rejected, None);
    }
}

#[tokio::test]
async fn a_duty_holder_rejected_by_the_store_hands_over_its_duties() {
    let site = Site::start(2).await;
    for number in 0..6 {
        site.send(number % 2, "/look/x", &format!("l{number}")).await;
    }
    wait_until("six requests are reported", || site.reported_requests() == 6).await;
    let holder = site.duties.usage().into_values().next().unwrap().holder;
    site.store
        .set_endpoint_refusal(usize::from(holder == "n1"), Some(503));
    for number in 6..10 {
        site.send(number % 2, "/look/x", &format!("l{number}")).await;
    }
    wait_until("ten requests are reported", || site.reported_requests() == 10).await;
    assert!(
        site.duties
            .usage()
            .into_values()
            .any(|usage| usage.holder != holder)
    );
    assert_eq!(site.duties.conflicts(), 0);
}

#[tokio::test]
async fn late_appends_change_no_reported_figure() {
    let site = Site::start(2).await;
    site.store.set_faults(|faults| {
        faults.delayed_appends = 3;
        faults.append_delay = Duration::from_millis(1_500);
    });
    for number in 0..8 {
        site.send(number % 2, "/look/x", &format!("l{number}")).await;
    }
    wait_until("eight requests are reported", || site.reported_requests() == 8).await;
    assert_eq!(site.duties.conflicts(), 0);
}

#[tokio::test]
async fn a_slow_store_delays_changes_and_loses_none() {
    let site = Site::start(2).await;
    site.store
        .set_faults(|faults| faults.delay = Duration::from_millis(300));
    site.store.put_settings(&site_settings(40));
    site.store
        .put_upstream("a1", Some(&site.runner("a1").entry("draining")));
    wait_until("both instances know both changes", || {
        site.instances
            .iter()
            .all(|instance| instance.settings_version() == 40 && instance.usable_upstreams() == 4)
    })
    .await;
    assert_eq!(site.send(0, "/look/x", "l1").await.status(), 200);
}

#[tokio::test]
async fn a_changed_settings_file_applies_its_bounds_and_an_invalid_one_is_ignored() {
    let site = Site::start(1).await;
    let server = &site.instances[0];
    let mut file = instance_file("n0", site.store.address(), site.duties.address());
    let settings = ProcessSettings::parse(file.to_string().as_bytes()).unwrap();
    let path = std::env::temp_dir().join(format!("marigoldlock-{}.json", std::process::id()));
    let mut watcher = SettingsFileWatcher::new(path.clone(), settings);
    let before = server.bounds();
    watcher.reload(server, "file");
    assert_eq!(server.bounds(), before, "the file does not exist yet");
    file["Bounds"]["RetrySlack"] = 7.into();
    file["Bounds"]["GraceS"] = 3.into();
    file["Bounds"]["ReportWindowS"] = 60.into();
    std::fs::write(&path, file.to_string()).unwrap();
    watcher.reload(server, "signal");
    let after = server.bounds();
    assert_eq!(
        (after.budget.slack, after.shutdown_grace),
        (7.0, Duration::from_secs(3))
    );
    assert_eq!(
        after.usage_window, before.usage_window,
        "the window length stays, so that windows keep their numbers"
    );
    for bad in [
        "{",
        "{}",
        &file.to_string().replace("\"GraceS\":3", "\"GraceS\":-1"),
    ] {
        std::fs::write(&path, bad).unwrap();
        watcher.reload(server, "file");
        assert_eq!(server.bounds(), after, "{bad}");
    }
    std::fs::remove_file(&path).unwrap();
    assert_eq!(site.send(0, "/look/x", "l1").await.status(), 200);
}

/// Sends heartbeats of six fake instances that claim newer settings and a working store, but accept no
/// connections.
async fn send_fake_heartbeats(target: std::net::SocketAddr) {
    let socket = tokio::net::UdpSocket::bind("127.0.0.1:0").await.unwrap();
    let closed = std::net::TcpListener::bind("127.0.0.1:0").unwrap();
    let peer = closed.local_addr().unwrap();
    drop(closed);
    for sequence in 1.. {
        for number in 0..6 {
            let report = MemberReport {
                card: MemberCard {
                    id: InstanceId::from(format!("pretended{number}")),
                    incarnation: Incarnation(number),
                    front: peer,
                    peer,
                    data_centre: DataCentre::from("a"),
                    weight: 900,
                },
                sequence,
                stage: MemberStage::Ready,
                sync_state: SyncState {
                    settings_version: 1_000,
                    ..SyncState::default()
                },
                store: StoreContact {
                    response_age_ms: Some(10),
                    recovery_age_ms: None,
                },
                duty_fence: None,
                changing: Vec::new(),
                work: Vec::new(),
                unreachable: Vec::new(),
                is_cut_off: false,
            };
            let heartbeat = Heartbeat {
                unix_ms: 0,
                is_answer: false,
                own: report,
                forwarded: Vec::new(),
                usage: Vec::new(),
                crashes: CrashReport::default(),
            };
            // The version of the messages, and the first kind of datagram.
            let mut bytes = vec![8, 0];
            bincode::serde::encode_into_std_write(&heartbeat, &mut bytes, bincode::config::standard())
                .unwrap();
            socket.send_to(&bytes, target).await.unwrap();
        }
        tokio::time::sleep(Duration::from_millis(100)).await;
    }
}

#[tokio::test]
async fn an_instance_whose_peers_do_not_respond_reads_the_store_itself() {
    let site = Site::start(1).await;
    let fakes = tokio::spawn(send_fake_heartbeats(site.instances[0].addresses().peer));
    wait_until("the heartbeats have arrived", || {
        site.instances[0].live_members() == 6
    })
    .await;
    // The running long polls miss the change, so that only a new call finds it.
    site.store.set_faults(|faults| faults.skip_wakeups = true);
    site.store.put_settings(&site_settings(50));
    wait_until("the change is in force", || {
        site.instances[0].settings_version() == 50
    })
    .await;
    fakes.abort();
}

/// Guards against requests to upstreams that are gone: the start of any instance counted as a recovery of the store, after
/// which removed entries are kept for a while.
#[tokio::test]
async fn an_upstream_removed_while_an_instance_starts_is_dropped_at_once() {
    let mut site = Site::start(1).await;
    site.start_instance(1).await.unwrap();
    wait_until("the instances discover each other", || {
        site.instances[0].live_members() == 1
    })
    .await;
    site.store.put_upstream("a1", None);
    for id in ["x1", "x2"] {
        site.store
            .put_upstream(id, Some(&site.runner("a2").entry("ready")));
    }
    for instance in &site.instances {
        wait_until("the new upstreams are listed", || {
            instance.usable_upstreams() >= 6
        })
        .await;
    }
    site.store.put_settings(&site_settings(20));
    for instance in &site.instances {
        wait_until("later settings are in force", || {
            instance.settings_version() == 20
        })
        .await;
        assert_eq!(
            instance.usable_upstreams(),
            6,
            "a1 is gone, and the store has had no outage"
        );
    }
}
