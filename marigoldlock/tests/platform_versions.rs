//! Upstreams of several software versions side by side: a stream goes on only at the version that began it.

mod platform_support;

use std::collections::HashSet;

use futures::StreamExt as _;
use marigoldlock_core::gateway::origins::StreamOrigin;
use marigoldlock_fleet::link::LinkMode;
use marigoldlock_standin::site::{EVENTS_PER_STREAM, UpstreamOptions, UpstreamStandin};
use platform_support::{Site, event_ids};

/// Streams of each test: enough that a choice that ignores versions crosses them in at least one.
const STREAMS: usize = 12;

fn engine(id: &str, version: &str) -> UpstreamOptions {
    UpstreamOptions {
        id: id.into(),
        service: "llm".into(),
        zone: "a".into(),
        stage: Some("decode"),
        version: version.into(),
    }
}

async fn add_engine(site: &mut Site, id: &str, version: &str) {
    site.add_upstream(engine(id, version)).await.unwrap();
}

/// A site with two decode engines of each of two versions.
async fn start_mixed_site(instances: usize) -> Site {
    let mut site = Site::start(instances).await;
    add_engine(&mut site, "d3", "v2").await;
    add_engine(&mut site, "d4", "v2").await;
    site
}

fn engines(site: &Site) -> impl Iterator<Item = &UpstreamStandin> {
    site.upstreams
        .iter()
        .filter(|upstream| upstream.id().starts_with('d'))
}

fn cut_streams(site: &Site, cut_stream_after: Option<usize>, cuts_resumed_streams: bool) {
    for engine in engines(site) {
        engine.set_faults(|faults| {
            faults.cut_stream_after = cut_stream_after;
            faults.cuts_resumed_streams = cuts_resumed_streams;
        });
    }
}

/// Versions of the engines that ran any of the attempts.
fn versions(site: &Site, attempts: &[&str]) -> HashSet<String> {
    let ran = |engine: &&UpstreamStandin| {
        let runs = engine.runs();
        runs.iter()
            .any(|run| !run.is_prefill && attempts.contains(&run.attempt.as_str()))
    };
    engines(site)
        .filter(ran)
        .map(|engine| engine.version().to_owned())
        .collect()
}

/// Begins a stream that breaks off, and returns the last event that arrived.
async fn begin_stream(site: &Site, instance: usize, attempt: &str) -> u64 {
    cut_streams(site, Some(2), true);
    let response = site.send(instance, "/draft/x", attempt).await;
    assert_eq!(response.status(), 200, "{attempt}");
    let mut body = response.bytes_stream();
    let mut text = String::new();
    while let Some(Ok(bytes)) = body.next().await {
        text.push_str(std::str::from_utf8(&bytes).unwrap());
    }
    cut_streams(site, None, false);
    *event_ids(&text).last().unwrap()
}

/// Resumes a stream at another instance; returns the status and the last event.
async fn resume_stream(site: &Site, instance: usize, begun: &str, last_event: u64) -> (u16, Option<u64>) {
    let front = site.instances[instance].addresses().front;
    let attempt = format!("{begun}-again");
    let response = site.caller.resume(front, "/draft/x", &attempt, begun, last_event);
    let response = response.await.unwrap();
    let status = response.status().as_u16();
    let text = response.text().await.unwrap();
    let last = if status == 200 {
        event_ids(&text).last().copied()
    } else {
        None
    };
    (status, last)
}

/// Guards against streams that hold events of two software versions: an instance went on at any engine.
#[tokio::test]
async fn a_broken_stream_goes_on_at_the_version_that_began_it() {
    let site = start_mixed_site(1).await;
    cut_streams(&site, Some(2), false);
    for number in 0..STREAMS {
        let attempt = format!("s{number}");
        let text = site.send(0, "/draft/x", &attempt).await.text().await.unwrap();
        assert_eq!(event_ids(&text).len() as u64, EVENTS_PER_STREAM);
        assert_eq!(versions(&site, &[&attempt]).len(), 1, "{attempt}");
    }
}

/// Guards against streams that hold events of two software versions: an instance that takes up another's stream did not
/// know which version had begun it.
#[tokio::test]
async fn a_caller_resumes_its_stream_at_the_version_that_began_it() {
    let site = start_mixed_site(3).await;
    for number in 0..STREAMS {
        let attempt = format!("s{number}");
        let last_event = begin_stream(&site, number % 3, &attempt).await;
        let resumed = resume_stream(&site, (number + 1) % 3, &attempt, last_event).await;
        assert_eq!(resumed, (200, Some(EVENTS_PER_STREAM - 1)), "{attempt}");
        let again = format!("{attempt}-again");
        assert_eq!(versions(&site, &[&attempt, &again]).len(), 1, "{attempt}");
    }
}

/// Guards against streams that hold events of two software versions: what an instance knew of its streams went with it.
#[tokio::test]
async fn a_stream_of_a_killed_instance_goes_on_at_the_version_that_began_it() {
    let mut site = start_mixed_site(3).await;
    let mut begun = Vec::new();
    for number in 0..STREAMS {
        let attempt = format!("s{number}");
        let last_event = begin_stream(&site, 0, &attempt).await;
        begun.push((attempt, last_event));
    }
    site.instances.remove(0).abort();
    for (number, (attempt, last_event)) in begun.iter().enumerate() {
        let resumed = resume_stream(&site, number % 2, attempt, *last_event).await;
        assert_eq!(resumed, (200, Some(EVENTS_PER_STREAM - 1)), "{attempt}");
        let again = format!("{attempt}-again");
        assert_eq!(versions(&site, &[attempt, &again]).len(), 1, "{attempt}");
    }
}

/// Guards against streams that hold events of two software versions: without the first one's engines, others went on.
#[tokio::test]
async fn a_stream_whose_version_is_gone_is_refused_as_not_run() {
    let site = start_mixed_site(2).await;
    let last_event = begin_stream(&site, 0, "s1").await;
    let begun_at = versions(&site, &["s1"]);
    for engine in engines(&site).filter(|engine| begun_at.contains(engine.version())) {
        site.store.put_upstream(engine.id(), None);
    }
    platform_support::wait_until("the version is gone", || {
        site.instances
            .iter()
            .all(|instance| instance.usable_upstreams() == site.upstreams.len() - 2)
    })
    .await;
    let resumed = resume_stream(&site, 1, "s1", last_event).await;
    assert_eq!(resumed, (503, None));
    assert_eq!(site.runs_of("s1-again"), 0);
}

/// Guards against streams that hold events of two software versions: a stream of an unknown version went on anywhere.
#[tokio::test]
async fn a_stream_of_an_unknown_version_is_refused_while_several_serve() {
    let site = start_mixed_site(2).await;
    assert_eq!(resume_stream(&site, 1, "never-seen", 2).await, (503, None));
    assert_eq!(site.runs_of("never-seen-again"), 0);
}

/// While one version serves alone, nothing has to be known of a stream.
#[tokio::test]
async fn a_stream_of_an_unknown_version_goes_on_while_one_serves_alone() {
    let site = Site::start(2).await;
    let resumed = resume_stream(&site, 1, "never-seen", 2).await;
    assert_eq!(resumed, (200, Some(EVENTS_PER_STREAM - 1)));
}

/// Stream of the store in which instances keep the versions that serve alone.
const VERSIONS_TOPIC: &str = "keyed.versions";

/// Stream of the store in which instances keep which version began each stream.
const ORIGINS_TOPIC: &str = "origins";

/// Waits until the store holds the origins of this many streams.
async fn wait_for_archive(site: &Site, streams: usize) {
    platform_support::wait_until("the versions of the streams are in the store", || {
        let records = site.store.records(ORIGINS_TOPIC);
        let archived = records.iter().flat_map(|record| {
            let origins: Vec<StreamOrigin> = serde_json::from_slice(record).unwrap();
            origins.into_iter().map(|origin| origin.stream)
        });
        archived.collect::<HashSet<_>>().len() >= streams
    })
    .await;
}

/// Waits until the store names the version of each service that serves alone.
async fn wait_for_versions(site: &Site) {
    let services = 2;
    platform_support::wait_until("the versions are in the store", || {
        site.store.end(VERSIONS_TOPIC) >= services
    })
    .await;
}

/// Restarts all instances at the same time.
async fn restart_site(site: &mut Site, change: impl AsyncFnOnce(&mut Site)) {
    let instances = site.instances.len();
    for instance in site.instances.drain(..) {
        instance.abort();
    }
    change(site).await;
    for number in 0..instances {
        site.start_instance(instances + number).await.unwrap();
    }
}

/// Guards against refusals of sound streams: after a restart of all instances nobody knew that one version had served alone.
#[tokio::test]
async fn a_stream_of_the_only_version_goes_on_after_all_instances_restart() {
    let mut site = Site::start(2).await;
    wait_for_versions(&site).await;
    restart_site(&mut site, async |_| {}).await;
    let resumed = resume_stream(&site, 0, "never-seen", 2).await;
    assert_eq!(resumed, (200, Some(EVENTS_PER_STREAM - 1)));
}

/// Guards against streams that hold events of two software versions: all instances restarted while the version was replaced.
#[tokio::test]
async fn a_stream_is_refused_if_its_version_was_replaced_while_all_instances_restarted() {
    let mut site = Site::start(2).await;
    wait_for_versions(&site).await;
    restart_site(&mut site, async |site| {
        for id in ["p1", "d1", "d2"] {
            site.store.put_upstream(id, None);
        }
        site.upstreams.retain(|upstream| upstream.id().starts_with('a'));
        add_engine(site, "d3", "v2").await;
        add_engine(site, "d4", "v2").await;
    })
    .await;
    assert_eq!(resume_stream(&site, 0, "never-seen", 2).await, (503, None));
    assert_eq!(site.runs_of("never-seen-again"), 0);
}

/// Index and endpoint of the store of the instance that is out of step.
const SEPARATE: usize = 2;

/// Guards against streams that hold events of two software versions: while engines of a new version joined, one instance was
/// out of step, and took the version that had served alone for that of all streams.
#[tokio::test]
async fn an_instance_out_of_step_takes_up_no_stream_at_another_version() {
    let mut site = Site::start(2).await;
    wait_for_versions(&site).await;
    let link = site.start_separable_instance(SEPARATE).await.unwrap();
    platform_support::wait_until("the instances discover each other", || {
        site.instances.iter().all(|instance| instance.live_members() == 2)
    })
    .await;
    let resumed = resume_stream(&site, SEPARATE, "never-seen", 2).await;
    assert_eq!(
        resumed,
        (200, Some(EVENTS_PER_STREAM - 1)),
        "one version has served alone"
    );

    link.set_mode(LinkMode::Silent);
    site.store.set_endpoint_refusal(SEPARATE, Some(503));
    platform_support::wait_until("the instance hears nobody", || {
        site.instances[SEPARATE].live_members() == 0
    })
    .await;
    for id in ["d3", "d4"] {
        site.start_upstream(engine(id, "v2")).await.unwrap();
    }
    platform_support::wait_until("the others list the new engines", || {
        let mut others = site.instances.iter().take(SEPARATE);
        others.all(|instance| instance.usable_upstreams() == site.upstreams.len())
    })
    .await;
    let mut begun = Vec::new();
    for number in 0..STREAMS {
        let attempt = format!("s{number}");
        let last_event = begin_stream(&site, number % SEPARATE, &attempt).await;
        begun.push((attempt, last_event));
    }
    for (attempt, last_event) in &begun {
        let (status, _) = resume_stream(&site, SEPARATE, attempt, *last_event).await;
        assert!([200, 503].contains(&status), "{attempt}: {status}");
        let again = format!("{attempt}-again");
        assert_eq!(versions(&site, &[attempt, &again]).len(), 1, "{attempt}");
    }

    link.set_mode(LinkMode::Open);
    site.store.set_endpoint_refusal(SEPARATE, None);
    platform_support::wait_until("the instance has caught up", || {
        site.instances[SEPARATE].usable_upstreams() == site.upstreams.len()
    })
    .await;
    for number in 0..STREAMS {
        let attempt = format!("late-{number}");
        let last_event = begin_stream(&site, number % SEPARATE, &attempt).await;
        let resumed = resume_stream(&site, SEPARATE, &attempt, last_event).await;
        assert_eq!(resumed, (200, Some(EVENTS_PER_STREAM - 1)), "{attempt}");
    }
}

/// Guards against refusals of sound streams: while two versions served, all instances were killed, and nobody knew any more
/// which one had begun a stream.
#[tokio::test]
async fn a_stream_goes_on_at_its_version_after_all_instances_were_killed() {
    let mut site = start_mixed_site(3).await;
    let mut begun = Vec::new();
    for number in 0..STREAMS {
        let attempt = format!("s{number}");
        let last_event = begin_stream(&site, number % 3, &attempt).await;
        begun.push((attempt, last_event));
    }
    wait_for_archive(&site, STREAMS).await;
    restart_site(&mut site, async |_| {}).await;
    for (number, (attempt, last_event)) in begun.iter().enumerate() {
        let resumed = resume_stream(&site, number % 3, attempt, *last_event).await;
        assert_eq!(resumed, (200, Some(EVENTS_PER_STREAM - 1)), "{attempt}");
        let again = format!("{attempt}-again");
        assert_eq!(versions(&site, &[attempt, &again]).len(), 1, "{attempt}");
    }
}

/// Guards against streams that hold events of two software versions: all instances were killed, and the store named as alone
/// a version beside which another one had served until then.
#[tokio::test]
async fn a_stream_of_a_version_that_left_during_a_restart_goes_on_nowhere() {
    let mut site = Site::start(2).await;
    wait_for_versions(&site).await;
    let alone = site.store.values(VERSIONS_TOPIC)["llm"].clone();
    for id in ["d3", "d4"] {
        add_engine(&mut site, id, "v2").await;
    }
    let mut begun = Vec::new();
    for number in 0..STREAMS {
        let attempt = format!("s{number}");
        let last_event = begin_stream(&site, number % 2, &attempt).await;
        begun.push((attempt, last_event));
    }
    platform_support::wait_until("the store names no version as alone", || {
        !site.store.values(VERSIONS_TOPIC).contains_key("llm")
    })
    .await;
    wait_for_archive(&site, STREAMS / 2).await;
    restart_site(&mut site, async |site| {
        // An append without an answer may be carried out seconds later.
        site.store.put(VERSIONS_TOPIC, "llm", Some(&alone));
        for id in ["d3", "d4"] {
            site.store.put_upstream(id, None);
        }
        let began_at = |upstream: &UpstreamStandin| upstream.version() == "v2";
        let left: Vec<UpstreamStandin> = site
            .upstreams
            .extract_if(.., |upstream| began_at(upstream))
            .collect();
        begun.retain(|(attempt, _)| {
            let mut runs = left.iter().flat_map(UpstreamStandin::runs);
            runs.any(|run| run.attempt == *attempt && !run.is_prefill)
        });
    })
    .await;
    assert!(!begun.is_empty(), "no stream began at v2");
    for (attempt, last_event) in &begun {
        let resumed = resume_stream(&site, 0, attempt, *last_event).await;
        assert_eq!(resumed, (503, None), "{attempt}");
        assert_eq!(site.runs_of(&format!("{attempt}-again")), 0, "{attempt}");
    }
}

/// Number and size, in bytes, of large records in the stream of upstreams. Each takes a read of its own, so that a follower
/// needs more than a second for all of them.
const LARGE_RECORDS: usize = 10;
const LARGE_RECORD_BYTES: usize = 600_000;

/// Guards against streams that hold events of two software versions: an instance lacked more records than one read of the store
/// returns, and after the first part took the version that had served alone for that of all streams.
#[tokio::test]
async fn an_instance_that_lacks_much_takes_no_version_for_alone_before_it_has_read_all() {
    let mut site = Site::start(2).await;
    wait_for_versions(&site).await;
    let link = site.start_separable_instance(SEPARATE).await.unwrap();
    platform_support::wait_until("the instances discover each other", || {
        site.instances.iter().all(|instance| instance.live_members() == 2)
    })
    .await;
    let resumed = resume_stream(&site, SEPARATE, "never-seen", 2).await;
    assert_eq!(
        resumed,
        (200, Some(EVENTS_PER_STREAM - 1)),
        "one version has served alone"
    );

    link.set_mode(LinkMode::Silent);
    site.store.set_endpoint_refusal(SEPARATE, Some(503));
    platform_support::wait_until("the instance hears nobody", || {
        site.instances[SEPARATE].live_members() == 0
    })
    .await;
    let value = vec![b'x'; LARGE_RECORD_BYTES];
    for _ in 0..LARGE_RECORDS {
        site.store.put("keyed.servers", "large", Some(&value));
    }
    site.store.put_upstream("large", None);
    for id in ["d3", "d4"] {
        site.start_upstream(engine(id, "v2")).await.unwrap();
    }
    site.store.set_endpoint_refusal(SEPARATE, None);
    assert_eq!(resume_stream(&site, SEPARATE, "late", 2).await, (503, None));
    assert_eq!(site.runs_of("late-again"), 0);
}
