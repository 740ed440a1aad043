//! A store that comes back from a copy some seconds old: what was written since is gone, offsets are given out again, and the
//! era in its answers has risen.

mod platform_support;

use std::collections::BTreeSet;
use std::time::{Duration, Instant};

use marigoldlock_core::gateway::era::StoreEra;
use marigoldlock_fleet::link::LinkMode;
use marigoldlock_standin::site::{StoreCopy, site_settings};
use platform_support::{Site, wait_until};

/// Time after its notice from which a leaving upstream gets no requests, by the platform's page.
const DRAIN_BOUND: Duration = Duration::from_millis(2_000);

/// Time between two listings of the members by one instance that is alone.
const MEMBER_LIST_INTERVAL: Duration = Duration::from_millis(2_500);

/// Windows of usage that were accepted.
fn windows(site: &Site) -> BTreeSet<u64> {
    site.duties.usage().into_keys().collect()
}

/// Sends requests until a window of usage that was not reported before is accepted. Returns the holder that reported it.
async fn report_new_window(site: &Site, instance: usize, name: &str) -> String {
    let before = windows(site);
    for number in 0..300 {
        let answer = site.send(instance, "/look/x", &format!("{name}{number}")).await;
        assert_eq!(answer.status(), 200);
        let usage = site.duties.usage();
        // The first new window may have begun before the call.
        if let Some((_, reported)) = usage.iter().filter(|(window, _)| !before.contains(window)).nth(1) {
            return reported.holder.clone();
        }
        tokio::time::sleep(Duration::from_millis(50)).await;
    }
    panic!("{name}: no window was reported after {before:?}");
}

/// Copies the store, then writes an entry and a removal which the copy lacks, and reports usage.
async fn outgrow_copy(site: &Site) -> StoreCopy {
    let copy = site.store.copy();
    for round in 0..3 {
        let mut entry = site.runner("d2").entry("ready");
        entry["Sequence"] = (10 + round).into();
        entry["Version"] = format!("lost{round}").into();
        site.store.put_upstream("d2", Some(&entry));
    }
    report_new_window(site, 0, "outgrow").await;
    copy
}

/// Guards against usage that is never reported again: the holder read the duties in a loop from an offset that the store no
/// longer had.
#[tokio::test]
async fn usage_is_reported_after_the_store_came_back_from_a_copy() {
    let site = Site::start(2).await;
    report_new_window(&site, 0, "before").await;
    let copy = outgrow_copy(&site).await;
    site.store.restore(&copy);
    report_new_window(&site, 0, "after").await;
    let calls = site.store.calls();
    tokio::time::sleep(Duration::from_secs(1)).await;
    let calls = site.store.calls() - calls;
    assert!(calls < 100, "{calls} calls to the store in a second");
    assert_eq!((site.duties.conflicts(), site.duties.rivals()), (0, 0));
}

/// Guards against instances that are stuck once a second copy follows the first.
#[tokio::test]
async fn usage_is_reported_after_the_store_came_back_twice() {
    let site = Site::start(2).await;
    report_new_window(&site, 0, "before").await;
    let first = outgrow_copy(&site).await;
    let second = outgrow_copy(&site).await;
    site.store.restore(&second);
    site.store.restore(&first);
    report_new_window(&site, 0, "after").await;
    assert_eq!((site.duties.conflicts(), site.duties.rivals()), (0, 0));
}

/// Guards against requests to an upstream that leaves after the store came back: its record had a lower offset than the one
/// that the store had lost, and was dropped as older.
#[tokio::test]
async fn an_upstream_that_leaves_after_the_store_came_back_gets_no_requests() {
    let site = Site::start(2).await;
    let copy = site.store.copy();
    for round in 0..4 {
        let mut entry = site.runner("a1").entry("ready");
        entry["Version"] = format!("lost{round}").into();
        site.store.put_upstream("a1", Some(&entry));
    }
    site.store
        .put_upstream("a2", Some(&site.runner("a2").entry("ready")));
    wait_for_entries(&site, 5).await;
    // The second instance learns of everything from the first.
    site.store.set_endpoint_refusal(1, Some(503));
    site.store.restore(&copy);
    for id in ["a1", "a2"] {
        site.store.put_upstream(id, Some(&site.runner(id).entry("ready")));
    }
    wait_for_entries(&site, 5).await;
    site.store
        .put_upstream("a1", Some(&site.runner("a1").entry("draining")));
    tokio::time::sleep(DRAIN_BOUND).await;
    let before = site.runner("a1").arrivals().len();
    for number in 0..20 {
        for instance in 0..2 {
            let attempt = format!("late{instance}{number}");
            assert_eq!(site.send(instance, "/look/x", &attempt).await.status(), 200);
        }
    }
    assert_eq!(
        site.runner("a1").arrivals().len(),
        before,
        "requests to the leaving upstream"
    );
}

/// Waits until all instances list so many upstreams, and for what is on its way to them.
async fn wait_for_entries(site: &Site, count: usize) {
    for instance in &site.instances {
        wait_until("the upstreams are listed", || {
            instance.usable_upstreams() == count
        })
        .await;
    }
    tokio::time::sleep(Duration::from_millis(700)).await;
}

/// Guards against requests to an upstream whose removal the store has lost, and to one whose notice it has lost.
#[tokio::test]
async fn upstreams_that_have_left_do_not_return_from_a_copy() {
    let site = Site::start(2).await;
    let copy = site.store.copy();
    site.store.put_upstream("a1", None);
    site.store
        .put_upstream("d1", Some(&site.runner("d1").entry("draining")));
    wait_for_entries(&site, 3).await;
    site.store.restore(&copy);
    // Written after the copy, so that its arrival shows that the listing has been read again.
    site.store.put_settings(&site_settings(40));
    for instance in &site.instances {
        wait_until("the settings are read again", || {
            instance.settings_version() == 40
        })
        .await;
    }
    wait_for_entries(&site, 3).await;
    // A new start under the same id is another matter.
    let mut entry = site.runner("a1").entry("ready");
    entry["born"] = 77.into();
    site.store.put_upstream("a1", Some(&entry));
    wait_for_entries(&site, 4).await;
}

/// Guards against an upstream that is dropped for good because the store has lost its entry.
#[tokio::test]
async fn an_upstream_whose_entry_was_lost_is_used_again() {
    let site = Site::start(2).await;
    let copy = site.store.copy();
    let mut entry = site.runner("a2").entry("ready");
    entry["born"] = 5.into();
    site.store.put_upstream("x9", Some(&entry));
    wait_for_entries(&site, 6).await;
    site.store.restore(&copy);
    wait_for_entries(&site, 5).await;
    site.store.put_upstream("x9", Some(&entry));
    wait_for_entries(&site, 6).await;
}

/// Guards against older settings, with a key that has been withdrawn since, when the store comes back with them.
#[tokio::test]
async fn settings_never_go_back_to_those_of_a_copy() {
    let site = Site::start(2).await;
    let mut settings = site_settings(20);
    settings["Tenants"][0]["ApiKeys"] =
        serde_json::json!(["withdrawn", marigoldlock_standin::site::SITE_KEY]);
    site.store.put_settings(&settings);
    for instance in &site.instances {
        wait_until("the key is added", || instance.settings_version() == 20).await;
    }
    assert_eq!(site.send_as(0, "/look/x", "w0", "withdrawn").await.status(), 200);
    let copy = site.store.copy();
    site.store.put_settings(&site_settings(30));
    for instance in &site.instances {
        wait_until("the key is withdrawn", || instance.settings_version() == 30).await;
    }
    site.store.restore(&copy);
    wait_for_entries(&site, 5).await;
    for (number, instance) in site.instances.iter().enumerate() {
        assert_eq!(instance.settings_version(), 30);
        assert_eq!(
            site.send_as(number, "/look/x", "w1", "withdrawn").await.status(),
            401
        );
    }
    // The operator writes the settings again, and later ones at an offset that the store had given out before.
    site.store.put_settings(&site_settings(30));
    site.store.put_settings(&site_settings(31));
    for instance in &site.instances {
        wait_until("later settings are in force", || {
            instance.settings_version() == 31
        })
        .await;
    }
}

/// Guards against one fencing number of two holders: the claim of the second was lost, and the next claim got its offset.
#[tokio::test]
async fn holders_before_and_after_a_copy_never_share_a_fencing_number() {
    let mut site = Site::start(2).await;
    let first = report_new_window(&site, 0, "first").await;
    let (holder, other) = if first == "n0" { (0, "n1") } else { (1, "n0") };
    let copy = site.store.copy();
    site.instances.remove(holder).abort();
    assert_eq!(report_new_window(&site, 0, "second").await, other);
    site.store.restore(&copy);
    site.instances.remove(0).abort();
    // Both have lost what they knew; the store has lost the second claim.
    for number in [7, 8] {
        site.start_instance(number).await.unwrap();
    }
    report_new_window(&site, 0, "third").await;
    assert_eq!((site.duties.conflicts(), site.duties.rivals()), (0, 0));
}

/// Guards against counts that are made up again for a window whose fixed counts the store has lost.
#[tokio::test]
async fn a_window_reported_before_a_copy_is_not_reported_with_other_counts() {
    let mut site = Site::start(3).await;
    report_new_window(&site, 0, "before").await;
    for round in 0..3 {
        let copy = site.store.copy();
        let holder = report_new_window(&site, 0, &format!("round{round}-")).await;
        site.store.restore(&copy);
        // The successor knows the claim, but not which counts have been fixed since.
        let index = site
            .instances
            .iter()
            .position(|instance| instance.name() == holder);
        site.instances.remove(index.unwrap()).abort();
        site.start_instance(10 + round).await.unwrap();
        report_new_window(&site, 0, &format!("after{round}-")).await;
    }
    assert_eq!((site.duties.conflicts(), site.duties.rivals()), (0, 0));
}

/// Guards against an upstream that is kept out for good: it had been removed and had returned before the store came back.
#[tokio::test]
async fn an_upstream_that_had_returned_stays_in_use() {
    let site = Site::start(2).await;
    let entry = site.runner("a1").entry("ready");
    site.store.put_upstream("a1", None);
    wait_for_entries(&site, 4).await;
    site.store.put_upstream("a1", Some(&entry));
    wait_for_entries(&site, 5).await;
    let copy = site.store.copy();
    site.store.restore(&copy);
    site.store.put_settings(&site_settings(40));
    for instance in &site.instances {
        wait_until("the settings are read again", || {
            instance.settings_version() == 40
        })
        .await;
    }
    wait_for_entries(&site, 5).await;
}

/// Guards against the loss of the first record of a stream that came back empty.
#[tokio::test]
async fn all_upstreams_are_used_again_after_the_store_came_back_empty() {
    let site = Site::start(2).await;
    site.store.restore(&StoreCopy::default());
    for instance in &site.instances {
        wait_until("the listing is empty", || instance.usable_upstreams() == 0).await;
    }
    for runner in &site.upstreams {
        site.store.put_upstream(runner.id(), Some(&runner.entry("ready")));
    }
    site.store.put_settings(&site_settings(40));
    wait_for_entries(&site, 5).await;
}

/// Guards against an instance that learns of an era late and makes the others keep upstreams that are removed, as after an outage.
#[tokio::test]
async fn an_instance_that_learns_of_an_era_late_does_not_delay_removals() {
    let mut site = Site::start(1).await;
    let link = site.start_separable_instance(1).await.unwrap();
    link.set_mode(LinkMode::Silent);
    site.store.set_endpoint_refusal(1, Some(502));
    let copy = site.store.copy();
    site.store.restore(&copy);
    // The window in which entries may have lapsed is over at the first instance.
    tokio::time::sleep(Duration::from_secs(3)).await;
    assert_eq!(site.instances[0].store_era(), StoreEra(2));
    link.set_mode(LinkMode::Open);
    wait_until("the other one has learned of the era", || {
        site.instances[1].store_era() == StoreEra(2)
    })
    .await;
    wait_for_entries(&site, 5).await;
    site.store.put_upstream("a1", None);
    for id in ["x1", "x2"] {
        site.store
            .put_upstream(id, Some(&site.runner("a2").entry("ready")));
    }
    let first = &site.instances[0];
    wait_until("the new upstreams are listed", || first.usable_upstreams() >= 6).await;
    site.store.put_settings(&site_settings(40));
    wait_until("later settings are in force", || first.settings_version() == 40).await;
    assert_eq!(
        first.usable_upstreams(),
        6,
        "a1 is gone, and the store came back long ago"
    );
}

/// Guards against streams that are listed again, or duties that change hands, though the store has lost nothing.
#[tokio::test]
async fn a_calm_start_and_a_plain_outage_list_nothing_again() {
    let started = Instant::now();
    let mut site = Site::start(1).await;
    tokio::time::sleep(Duration::from_millis(500)).await;
    let due = 1 + (started.elapsed().as_secs_f64() / MEMBER_LIST_INTERVAL.as_secs_f64()) as u64;
    assert!(site.store.listings("keyed.members") <= due, "{due} were due");
    site.start_instance(1).await.unwrap();
    let holder = report_new_window(&site, 0, "before").await;
    // Five upstreams are two pages.
    let listings = || ["keyed.servers", "keyed.op"].map(|topic| site.store.listings(topic));
    assert_eq!(listings(), [4, 2]);
    site.store.set_faults(|faults| faults.refuse = Some(503));
    tokio::time::sleep(Duration::from_millis(700)).await;
    site.store.set_faults(|faults| faults.refuse = None);
    site.store.put_settings(&site_settings(40));
    for instance in &site.instances {
        wait_until("the settings are read", || instance.settings_version() == 40).await;
    }
    assert_eq!(listings(), [4, 2], "the followers read on");
    assert_eq!(report_new_window(&site, 0, "after").await, holder);
    assert_eq!((site.duties.conflicts(), site.duties.rivals()), (0, 0));
}

/// Guards against members that don't find each other: a card that the store has lost was never written again.
#[tokio::test]
async fn a_member_card_that_was_lost_is_written_again() {
    let mut site = Site::start(1).await;
    let copy = site.store.copy();
    site.start_instance(1).await.unwrap();
    site.store.restore(&copy);
    wait_until("the card is back", || {
        site.store.values("keyed.members").contains_key("n1")
    })
    .await;
}
