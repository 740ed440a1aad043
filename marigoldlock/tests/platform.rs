//! The whole path on the users' platform, against stand-ins of its store, upstreams and duty calls.

mod platform_support;

use std::collections::BTreeMap;
use std::time::Duration;

use marigoldlock::platform_run::SettingsWatch;
use marigoldlock_core::gateway::members::{
    Heartbeat, MemberCard, MemberReport, MemberStage, StoreContact, SyncState,
};
use marigoldlock_core::prelude::*;
use marigoldlock_platform::ProcessSettings;
use marigoldlock_standin::site::{SITE_HOST, SITE_KEY, instance_file, site_settings};
use platform_support::{Site, event_ids, until};
use tokio::io::{AsyncReadExt, AsyncWriteExt};

const ALL_EVENTS: [u64; 6] = [0, 1, 2, 3, 4, 5];

#[tokio::test]
async fn a_calm_site_serves_all_kinds() {
    let site = Site::start(1).await;
    let answer = site.send(0, "/draft/x", "s1").await;
    assert_eq!(answer.status(), 200);
    assert!(answer.headers().contains_key("response-seal"));
    assert_eq!(event_ids(&answer.text().await.unwrap()), ALL_EVENTS);
    let reads = site.runner("p1").runs();
    assert!(
        reads.iter().all(|run| run.is_prefill) && reads.len() == 1,
        "the prompt is read apart, once"
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
            "load is for the system"
        );
        assert_eq!(answer.text().await.unwrap(), "whole answer");
        assert_eq!(site.runs_of(attempt), 1);
    }
    let runs = ["a1", "a2"].iter().flat_map(|id| site.runner(id).runs());
    for run in runs {
        assert_eq!(run.tenant.as_deref(), Some("acme"));
        assert!(!run.has_key, "no upstream sees a key");
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
async fn a_booking_whose_answer_is_lost_runs_once_and_is_not_called_not_run() {
    let site = Site::start(1).await;
    for id in ["a1", "a2"] {
        site.runner(id).set_faults(|faults| faults.loses_answers = true);
    }
    let answer = site.send(0, "/book/x", "b1").await;
    assert_eq!(answer.status(), 502);
    assert_eq!(site.runs_of("b1"), 1);
}

#[tokio::test]
async fn a_refusal_without_the_mark_promises_nothing() {
    let site = Site::start(1).await;
    for id in ["a1", "a2"] {
        site.runner(id).set_faults(|faults| faults.lies_refusing = true);
    }
    assert_eq!(site.send(0, "/book/x", "b1").await.status(), 502);
    assert_eq!(site.runs_of("b1"), 1);
}

#[tokio::test]
async fn an_answer_to_another_request_is_not_passed_on() {
    let site = Site::start(1).await;
    for id in ["a1", "a2"] {
        site.runner(id).set_faults(|faults| faults.is_crossed = true);
    }
    assert_eq!(site.send(0, "/book/x", "b1").await.status(), 502);
    assert_eq!(site.runs_of("b1"), 1);
}

#[tokio::test]
async fn a_look_that_failed_is_answered_by_another_upstream() {
    for lost in [true, false] {
        let site = Site::start(1).await;
        site.runner("a1").set_faults(|faults| {
            faults.loses_answers = lost;
            faults.fails = !lost;
        });
        for number in 0..8 {
            let answer = site.send(0, "/look/x", &format!("l{number}")).await;
            assert_eq!(answer.status(), 200, "lost: {lost}");
        }
    }
}

#[tokio::test]
async fn an_upstreams_own_failure_is_passed_on_when_nobody_does_better() {
    let site = Site::start(1).await;
    for id in ["a1", "a2"] {
        site.runner(id).set_faults(|faults| faults.fails = true);
    }
    let answer = site.send(0, "/look/x", "l1").await;
    assert_eq!(answer.status(), 500);
    assert!(answer.headers().contains_key("response-seal"));
    assert_eq!(site.runs_of("l1"), 2);
}

#[tokio::test]
async fn full_upstreams_are_told_as_not_run_with_a_time_to_come_back() {
    let site = Site::start(1).await;
    for id in ["a1", "a2"] {
        site.runner(id).set_faults(|faults| faults.is_full = true);
    }
    let answer = site.send(0, "/book/x", "b1").await;
    assert_eq!(answer.status(), 503);
    assert!(answer.headers().contains_key("retry-after"));
    assert_eq!(site.runs_of("b1"), 0);
}

#[tokio::test]
async fn a_stream_that_breaks_goes_on_elsewhere_without_gap_or_repeat() {
    let site = Site::start(1).await;
    for id in ["d1", "d2"] {
        site.runner(id).set_faults(|faults| faults.breaks_after = Some(2));
    }
    let answer = site.send(0, "/draft/x", "s1").await;
    assert_eq!(event_ids(&answer.text().await.unwrap()), ALL_EVENTS);
    let runs: Vec<_> = ["d1", "d2"]
        .iter()
        .flat_map(|id| site.runner(id).runs())
        .collect();
    let mut from: Vec<Option<u64>> = runs.iter().map(|run| run.last_event).collect();
    from.sort();
    assert_eq!(
        from,
        [None, Some(1)],
        "the half event is not passed on, the whole ones not asked again"
    );
}

#[tokio::test]
async fn a_stream_that_nobody_can_finish_does_not_look_whole() {
    let site = Site::start(1).await;
    for id in ["d1", "d2"] {
        site.runner(id).set_faults(|faults| {
            faults.breaks_after = Some(1);
            faults.breaks_resumed = true;
        });
    }
    let answer = site.send(0, "/draft/x", "s1").await;
    assert_eq!(answer.status(), 200);
    assert!(answer.text().await.is_err(), "the end must be missing");
}

#[tokio::test]
async fn a_reader_that_is_full_leaves_the_prompt_to_a_generator() {
    let site = Site::start(1).await;
    site.runner("p1").set_faults(|faults| faults.is_full = true);
    let answer = site.send(0, "/draft/x", "s1").await;
    assert_eq!(event_ids(&answer.text().await.unwrap()), ALL_EVENTS);
    assert_eq!(site.runs_of("s1"), 1);
}

#[tokio::test]
async fn a_prompt_whose_reader_is_gone_is_read_by_another_reader() {
    let site = Site::start(1).await;
    // Two more readers are listed; nobody listens at their address.
    for id in ["x1", "x2"] {
        let closed = std::net::TcpListener::bind("127.0.0.1:0").unwrap();
        let mut entry = site.runner("p1").entry("ready");
        entry["Address"] = closed.local_addr().unwrap().to_string().into();
        site.store.put_upstream(id, Some(&entry));
    }
    until("they are listed", || site.instances[0].usable_upstreams() == 7).await;
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
        assert!(run.kv_source.is_some(), "{} was read by a generator", run.attempt);
    }
}

#[tokio::test]
async fn a_reader_whose_answers_are_lost_costs_no_request() {
    let site = Site::start(1).await;
    site.runner("p1").set_faults(|faults| faults.loses_answers = true);
    for number in 0..4 {
        let attempt = format!("s{number}");
        let answer = site.send(0, "/draft/x", &attempt).await;
        assert_eq!(event_ids(&answer.text().await.unwrap()), ALL_EVENTS);
        assert_eq!(site.runs_of(&attempt), 1);
    }
}

#[tokio::test]
async fn leaving_gone_and_unreadable_upstreams_get_no_work() {
    let site = Site::start(1).await;
    let count = || site.instances[0].usable_upstreams();
    site.store
        .put_upstream("a1", Some(&site.runner("a1").entry("draining")));
    until("a1 leaves", || count() == 4).await;
    site.store.put_upstream("d1", None);
    until("d1 is gone", || count() == 3).await;
    site.store.put("keyed.servers", "d2", Some(b"\xff{not json"));
    site.store.put("keyed.servers", "", Some(b"{}"));
    until("d2 can't be read", || count() == 2).await;
    for number in 0..6 {
        assert_eq!(site.send(0, "/book/x", &format!("b{number}")).await.status(), 200);
    }
    assert!(site.runner("a1").runs().is_empty());
    assert_eq!(
        site.send(0, "/draft/x", "s1").await.status(),
        503,
        "nobody is left to generate"
    );
    assert_eq!(site.runs_of("s1"), 0);
}

#[tokio::test]
async fn settings_move_forward_only_and_bad_ones_change_nothing() {
    let site = Site::start(1).await;
    let version = || site.instances[0].settings_version();
    let mut changed = site_settings(9);
    changed["Tenants"][0]["ApiKeys"] = serde_json::json!(["key-new"]);
    site.store.put_settings(&changed);
    until("version 9 is in force", || version() == 9).await;
    assert_eq!(
        site.send(0, "/look/x", "l1").await.status(),
        401,
        "the key was taken away"
    );
    assert_eq!(site.send_as(0, "/look/x", "l2", "key-new").await.status(), 200);
    site.store.put_settings(&site_settings(8));
    site.store.put("keyed.op", "config", Some(b"{\"Version\": 11"));
    site.store.put_settings(&{
        let mut next = site_settings(12);
        next["Tenants"][0]["ApiKeys"] = serde_json::json!([SITE_KEY]);
        next
    });
    until("version 12 is in force", || version() == 12).await;
    assert_eq!(site.send(0, "/look/x", "l3").await.status(), 200);
}

#[tokio::test]
async fn requests_are_served_while_the_store_is_away() {
    let site = Site::start(1).await;
    site.store.set_faults(|faults| faults.refuse = Some(503));
    assert_eq!(site.send(0, "/look/x", "l1").await.status(), 200);
    assert_eq!(
        event_ids(&site.send(0, "/draft/x", "s1").await.text().await.unwrap()),
        ALL_EVENTS
    );
    site.store.set_faults(|faults| faults.refuse = None);
    site.store.put_settings(&site_settings(20));
    until("the store is followed again", || {
        site.instances[0].settings_version() == 20
    })
    .await;
}

#[tokio::test]
async fn a_change_that_a_stale_listing_hides_is_found() {
    let site = Site::start(1).await;
    let end = site.store.end("keyed.servers");
    // The change comes while nobody can hear it, then its record is dropped and listings lag behind.
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
    until("the store is followed again", || site.store.calls() > calls + 3).await;
    site.store.set_faults(|faults| faults.stale_from = None);
    until("a1 leaves", || site.instances[0].usable_upstreams() == 4).await;
}

#[tokio::test]
async fn a_change_that_no_long_poll_hears_is_found() {
    let site = Site::start(2).await;
    site.store.set_faults(|faults| faults.deaf_waits = true);
    site.store
        .put_upstream("a1", Some(&site.runner("a1").entry("draining")));
    until("a1 leaves everywhere", || {
        site.instances
            .iter()
            .all(|instance| instance.usable_upstreams() == 4)
    })
    .await;
}

#[tokio::test]
async fn an_instance_that_the_store_turns_away_learns_from_the_others() {
    let site = Site::start(2).await;
    // What one instance knows newer reaches the other without the store.
    let mut changed = site_settings(30);
    changed["Tenants"][0]["ApiKeys"] = serde_json::json!(["key-new"]);
    site.store.set_faults(|faults| faults.refuse = Some(503));
    site.instances[0].put_settings_from_store(changed.to_string().as_bytes());
    until("the other instance has caught up", || {
        site.instances[1].settings_version() == 30
    })
    .await;
    assert_eq!(site.send(1, "/look/x", "l1").await.status(), 401);
}

#[tokio::test]
async fn callers_are_told_live_instances_only() {
    let mut site = Site::start(2).await;
    let fronts = |site: &Site| -> Vec<String> {
        site.instances
            .iter()
            .map(|instance| instance.addresses().front.to_string())
            .collect()
    };
    let mut told = site.resolve(0).await;
    told.sort();
    let mut expected = fronts(&site);
    expected.sort();
    assert_eq!(told, expected);
    site.instances.remove(1).abort();
    until("the dead instance is missed", || {
        site.instances[0].live_members() == 0
    })
    .await;
    assert_eq!(site.resolve(0).await, fronts(&site));
}

#[tokio::test]
async fn an_instance_that_ends_finishes_its_requests() {
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
    until("the booking runs", || site.runs_of("b1") == 1).await;
    server.close().await;
    assert_eq!(request.await.unwrap(), 200);
}

#[tokio::test]
async fn usage_is_reported_once_with_true_figures_through_a_change_of_holder() {
    let mut site = Site::start(2).await;
    for number in 0..10 {
        site.send(number % 2, "/look/x", &format!("l{number}")).await;
    }
    until("ten requests are reported", || site.reported_requests() == 10).await;
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
    until("the dead instance is missed", || {
        site.instances[0].live_members() == 0
    })
    .await;
    for number in 10..15 {
        site.send(0, "/look/x", &format!("l{number}")).await;
    }
    until("fifteen requests are reported", || site.reported_requests() == 15).await;
    assert_eq!(holders(&site), ["n0", "n1"]);
    assert_eq!(site.duties.conflicts(), 0);
}

#[tokio::test]
async fn usage_survives_appends_whose_answers_are_lost() {
    let site = Site::start(1).await;
    site.store.set_faults(|faults| faults.lost_answers = 2);
    for number in 0..5 {
        site.send(0, "/look/x", &format!("l{number}")).await;
    }
    until("five requests are reported", || site.reported_requests() == 5).await;
    assert_eq!(site.duties.conflicts(), 0);
}

#[tokio::test]
async fn a_request_hidden_in_another_is_never_run_as_its_own() {
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
async fn an_upstream_that_a_listing_no_longer_names_gets_no_work() {
    let site = Site::start(1).await;
    // The removal's record is dropped before anybody can read it.
    site.store.set_faults(|faults| faults.refuse = Some(503));
    site.store.put_upstream("a1", None);
    site.store.compact("keyed.servers");
    site.store.set_faults(|faults| faults.refuse = None);
    until("a1 is gone", || site.instances[0].usable_upstreams() == 4).await;
    assert_eq!(site.send(0, "/book/x", "b1").await.status(), 200);
    assert!(site.runner("a1").runs().is_empty());
}

#[tokio::test]
async fn bytes_that_are_no_heartbeat_harm_nobody() {
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
    until("the instances still hear each other", || {
        site.instances.iter().all(|instance| instance.live_members() == 1)
    })
    .await;
}

#[tokio::test]
async fn an_instance_that_the_store_turns_away_hears_of_changes_from_another() {
    let site = Site::start(3).await;
    for turned_away in 0..3 {
        site.store.set_door(turned_away, Some(429));
        let (id, left) = [("a1", 4), ("d1", 3), ("d2", 2)][turned_away];
        site.store
            .put_upstream(id, Some(&site.runner(id).entry("draining")));
        until("all know who leaves", || {
            site.instances
                .iter()
                .all(|instance| instance.usable_upstreams() == left)
        })
        .await;
        site.store.set_door(turned_away, None);
    }
}

#[tokio::test]
async fn a_holder_that_the_store_turns_away_hands_its_duties_on() {
    let site = Site::start(2).await;
    for number in 0..6 {
        site.send(number % 2, "/look/x", &format!("l{number}")).await;
    }
    until("six requests are reported", || site.reported_requests() == 6).await;
    let holder = site.duties.usage().into_values().next().unwrap().holder;
    site.store.set_door(usize::from(holder == "n1"), Some(503));
    for number in 6..10 {
        site.send(number % 2, "/look/x", &format!("l{number}")).await;
    }
    until("ten requests are reported", || site.reported_requests() == 10).await;
    assert!(
        site.duties
            .usage()
            .into_values()
            .any(|usage| usage.holder != holder)
    );
    assert_eq!(site.duties.conflicts(), 0);
}

#[tokio::test]
async fn appends_that_take_effect_late_change_no_figure() {
    let site = Site::start(2).await;
    site.store.set_faults(|faults| {
        faults.late_appends = 3;
        faults.late_by = Duration::from_millis(1_500);
    });
    for number in 0..8 {
        site.send(number % 2, "/look/x", &format!("l{number}")).await;
    }
    until("eight requests are reported", || site.reported_requests() == 8).await;
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
    until("both know both", || {
        site.instances
            .iter()
            .all(|instance| instance.settings_version() == 40 && instance.usable_upstreams() == 4)
    })
    .await;
    assert_eq!(site.send(0, "/look/x", "l1").await.status(), 200);
}

#[tokio::test]
async fn a_changed_settings_file_puts_its_bounds_in_force_and_a_bad_one_changes_nothing() {
    let site = Site::start(1).await;
    let server = &site.instances[0];
    let mut file = instance_file("n0", site.store.address(), site.duties.address());
    let settings = ProcessSettings::parse(file.to_string().as_bytes()).unwrap();
    let path = std::env::temp_dir().join(format!("marigoldlock-{}.json", std::process::id()));
    let mut watch = SettingsWatch::new(path.clone(), settings);
    let before = server.bounds();
    watch.reload(server, "file");
    assert_eq!(server.bounds(), before, "there is no file");
    file["Bounds"]["RetrySlack"] = 7.into();
    file["Bounds"]["GraceS"] = 3.into();
    file["Bounds"]["ReportWindowS"] = 60.into();
    std::fs::write(&path, file.to_string()).unwrap();
    watch.reload(server, "signal");
    let after = server.bounds();
    assert_eq!(
        (after.budget.slack, after.shutdown_grace),
        (7.0, Duration::from_secs(3))
    );
    assert_eq!(
        after.usage_window, before.usage_window,
        "windows keep their numbers"
    );
    for bad in [
        "{",
        "{}",
        &file.to_string().replace("\"GraceS\":3", "\"GraceS\":-1"),
    ] {
        std::fs::write(&path, bad).unwrap();
        watch.reload(server, "file");
        assert_eq!(server.bounds(), after, "{bad}");
    }
    std::fs::remove_file(&path).unwrap();
    assert_eq!(site.send(0, "/look/x", "l1").await.status(), 200);
}

/// Six instances that say they follow the store and know more, and answer no question.
async fn pretend_followers(target: std::net::SocketAddr) {
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
            };
            let beat = Heartbeat {
                unix_ms: 0,
                is_answer: false,
                own: report,
                forwarded: Vec::new(),
                usage: Vec::new(),
            };
            let mut bytes = vec![2];
            bincode::serde::encode_into_std_write(&beat, &mut bytes, bincode::config::standard()).unwrap();
            socket.send_to(&bytes, target).await.unwrap();
        }
        tokio::time::sleep(Duration::from_millis(100)).await;
    }
}

#[tokio::test]
async fn an_instance_whose_questions_nobody_answers_reads_the_store_itself() {
    let site = Site::start(1).await;
    let pretending = tokio::spawn(pretend_followers(site.instances[0].addresses().peer));
    until("they are heard", || site.instances[0].live_members() == 6).await;
    // Its last long polls hear nothing, so that only a new call finds the change.
    site.store.set_faults(|faults| faults.deaf_waits = true);
    site.store.put_settings(&site_settings(50));
    until("the change is in force", || {
        site.instances[0].settings_version() == 50
    })
    .await;
    pretending.abort();
}
