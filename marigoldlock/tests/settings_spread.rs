//! Propagation of settings to every instance despite failures of relays, log, network and instances.

mod settings_support;

use marigoldlock_core::keys::FreshnessVerdict;
use marigoldlock_core::settings::SettingsPath;
use marigoldlock_wire::prelude::*;
use marigoldlock_wire::record::SETTINGS_STREAM;
use settings_support::{TestFleet, TestNode, sleep};

const WITHDRAWN: &str = "teams/a/keys/k1/withdrawn";
const WEIGHT: &str = "teams/a/customers/acme/weight";

fn refuses(node: &TestNode, code: ResultCode) -> bool {
    node.verdict() == FreshnessVerdict::Refuse(code)
}

#[tokio::test(start_paused = true)]
async fn change_is_in_force_on_a_hundred_and_twenty_instances_within_a_second() {
    let fleet = TestFleet::start(120).await;
    assert_eq!(fleet.relays().len(), 6);
    let version = fleet.log.publish(WEIGHT, "value = 2");
    sleep(1.0).await;
    assert!(fleet.all_serve(version));
}

#[tokio::test(start_paused = true)]
async fn withdrawn_key_stops_within_a_second_with_the_log_and_within_five_without() {
    let fleet = TestFleet::start(8).await;
    fleet.cut_log(7, true);
    fleet.set_side(7, 1);
    fleet.log.publish(WITHDRAWN, "value = true");
    sleep(1.0).await;
    assert!(
        fleet.nodes[..7]
            .iter()
            .all(|node| node.serves() && !node.admits("secret"))
    );
    // The limit counts from the last confirmation that the settings were current, up to a second before the cut.
    assert!(
        fleet.nodes[7].admits("secret"),
        "the disconnected instance can't know of the change yet"
    );
    sleep(4.1).await;
    assert!(refuses(&fleet.nodes[7], ResultCode::SettingsStale));
    fleet.cut_log(7, false);
    fleet.set_side(7, 0);
    sleep(6.0).await;
    assert!(fleet.nodes[7].serves() && !fleet.nodes[7].admits("secret"));
}

#[tokio::test(start_paused = true)]
async fn followers_of_dead_relays_keep_serving_and_learn_of_changes() {
    let mut fleet = TestFleet::start(24).await;
    // All relays go silent, each in a partition of its own, and still count as members.
    let relays = fleet.relays();
    for (index, relay) in relays.iter().enumerate() {
        fleet.cut_log(*relay, true);
        fleet.set_side(*relay, 1 + index as u8);
    }
    let version = fleet.log.publish(WITHDRAWN, "value = true");
    for _ in 0..100 {
        sleep(0.1).await;
        let others = fleet
            .nodes
            .iter()
            .enumerate()
            .filter(|(index, _)| !relays.contains(index));
        let stopped: Vec<_> = others
            .filter(|(_, node)| !node.serves())
            .map(|(index, _)| index)
            .collect();
        assert!(stopped.is_empty(), "{stopped:?} stopped serving");
    }
    for relay in relays.into_iter().rev() {
        assert!(refuses(&fleet.nodes[relay], ResultCode::SettingsStale));
        fleet.kill(relay);
    }
    assert!(fleet.all_serve(version));
    assert!(!fleet.nodes.iter().any(|node| node.admits("secret")));
}

#[tokio::test(start_paused = true)]
async fn relays_without_the_log_do_not_delay_their_followers() {
    let fleet = TestFleet::start(24).await;
    for relay in fleet.relays() {
        fleet.cut_log(relay, true);
    }
    let version = fleet.log.publish(WEIGHT, "value = 2");
    for _ in 0..100 {
        sleep(0.1).await;
        assert!(fleet.nodes.iter().all(TestNode::serves));
    }
    assert!(
        fleet.all_serve(version),
        "the relays without the log get the settings from their peers"
    );
}

#[tokio::test(start_paused = true)]
async fn instances_serve_through_a_log_outage_up_to_its_limit() {
    let fleet = TestFleet::start(8).await;
    fleet.log.publish("fleet/freshness/outage_ms", "value = 600000");
    sleep(1.0).await;
    fleet.log.set_down(true);
    sleep(20.0).await;
    assert!(fleet.nodes.iter().all(TestNode::serves));
    sleep(570.0).await;
    assert!(fleet.nodes.iter().all(TestNode::serves));
    sleep(20.0).await;
    assert!(
        fleet
            .nodes
            .iter()
            .all(|node| refuses(node, ResultCode::SettingsStale))
    );
    fleet.log.set_down(false);
    let version = fleet.log.publish(WEIGHT, "value = 2");
    sleep(10.0).await;
    assert!(fleet.all_serve(version));
}

#[tokio::test(start_paused = true)]
async fn partition_that_cuts_off_the_log_is_not_treated_as_an_outage() {
    let fleet = TestFleet::start(8).await;
    for index in 4..8 {
        fleet.cut_log(index, true);
        fleet.set_side(index, 1);
    }
    fleet.log.publish(WITHDRAWN, "value = true");
    sleep(6.0).await;
    assert!(
        fleet.nodes[..4]
            .iter()
            .all(|node| node.serves() && !node.admits("secret"))
    );
    assert!(
        fleet.nodes[4..]
            .iter()
            .all(|node| refuses(node, ResultCode::SettingsStale))
    );
}

#[tokio::test(start_paused = true)]
async fn instance_started_in_an_outage_serves_the_settings_of_its_peers() {
    let mut fleet = TestFleet::start(5).await;
    let version = fleet.log.publish(WITHDRAWN, "value = true");
    sleep(2.0).await;
    fleet.log.set_down(true);
    sleep(60.0).await;
    let started = fleet.add();
    let mut served_at = None;
    for tick in 0..100 {
        sleep(0.1).await;
        let node = &fleet.nodes[started];
        if node.serves() {
            assert!(
                node.version() >= version,
                "it served with older settings than its peers"
            );
            served_at.get_or_insert(tick);
        }
    }
    assert!(served_at.is_some(), "{:?}", fleet.nodes[started].verdict());
    assert!(!fleet.nodes[started].admits("secret"));
}

#[tokio::test(start_paused = true)]
async fn instance_started_in_an_outage_without_peers_does_not_serve() {
    let mut fleet = TestFleet::start(5).await;
    fleet.log.set_down(true);
    let started = fleet.add();
    fleet.set_side(started, 1);
    for _ in 0..300 {
        sleep(1.0).await;
        assert!(refuses(&fleet.nodes[started], ResultCode::NotReady));
    }
}

#[tokio::test(start_paused = true)]
async fn whole_fleet_can_be_replaced_in_an_outage() {
    let mut fleet = TestFleet::start(6).await;
    let version = fleet.log.publish(WITHDRAWN, "value = true");
    sleep(2.0).await;
    fleet.log.set_down(true);
    sleep(30.0).await;
    for _ in 0..6 {
        fleet.add();
        sleep(15.0).await;
        fleet.kill(0);
    }
    sleep(5.0).await;
    assert!(fleet.all_serve(version));
    assert!(!fleet.nodes.iter().any(|node| node.admits("secret")));
}

#[tokio::test(start_paused = true)]
async fn change_read_by_one_instance_before_an_outage_reaches_all() {
    let fleet = TestFleet::start(6).await;
    for index in 0..5 {
        fleet.cut_log(index, true);
        fleet.set_side(index, 1);
    }
    let version = fleet.log.publish(WITHDRAWN, "value = true");
    sleep(0.1).await;
    fleet.log.set_down(true);
    for index in 0..5 {
        fleet.cut_log(index, false);
        fleet.set_side(index, 0);
    }
    sleep(10.0).await;
    assert!(fleet.all_serve(version));
}

#[tokio::test(start_paused = true)]
async fn instances_refuse_in_an_outage_while_a_member_has_newer_settings() {
    let fleet = TestFleet::start(6).await;
    for index in 0..5 {
        fleet.cut_log(index, true);
        fleet.set_side(index, 1);
    }
    fleet.log.publish(WITHDRAWN, "value = true");
    sleep(0.1).await;
    fleet.log.set_down(true);
    fleet.mute(5);
    for index in 0..5 {
        fleet.set_side(index, 0);
    }
    sleep(10.0).await;
    assert!(
        fleet.nodes[..5]
            .iter()
            .all(|node| refuses(node, ResultCode::SettingsStale))
    );
    assert!(fleet.nodes[5].serves());
}

#[tokio::test(start_paused = true)]
async fn peers_with_newer_settings_do_not_confirm_older_ones() {
    let fleet = TestFleet::start(6).await;
    fleet.cut_log(0, true);
    for index in 1..6 {
        fleet.mute(index);
    }
    sleep(10.0).await;
    assert!(
        fleet.nodes[0].serves(),
        "its peers confirm its settings as long as nothing has changed"
    );
    fleet.log.publish(WITHDRAWN, "value = true");
    sleep(6.0).await;
    assert!(refuses(&fleet.nodes[0], ResultCode::SettingsStale));
}

#[tokio::test(start_paused = true)]
async fn new_instance_starts_from_a_snapshot_when_the_records_have_expired() {
    let mut fleet = TestFleet::start(3).await;
    fleet
        .log
        .publish("fleet/spread/snapshot_interval_s", "value = 60");
    let version = fleet.log.publish(WITHDRAWN, "value = true");
    sleep(700.0).await;
    fleet.log.expire(SETTINGS_STREAM, 2);
    let started = fleet.add();
    sleep(2.0).await;
    let node = &fleet.nodes[started];
    assert!(
        node.serves() && node.version() == version && !node.admits("secret"),
        "{:?}",
        node.verdict()
    );
    let path: SettingsPath = WITHDRAWN.parse().unwrap();
    assert!(node.handle.active().value(&path).is_some());
}

#[tokio::test(start_paused = true)]
async fn expired_records_without_a_snapshot_come_from_a_peer() {
    let mut fleet = TestFleet::start(3).await;
    let version = fleet.log.publish(WITHDRAWN, "value = true");
    sleep(2.0).await;
    fleet.log.expire(SETTINGS_STREAM, 1);
    let started = fleet.add();
    sleep(8.0).await;
    let node = &fleet.nodes[started];
    assert!(
        node.serves() && node.version() == version && !node.admits("secret"),
        "{:?}",
        node.verdict()
    );
}

#[tokio::test(start_paused = true)]
async fn invalid_records_stop_no_instance() {
    let fleet = TestFleet::start(8).await;
    fleet.log.append(SETTINGS_STREAM, b"not a record".to_vec());
    fleet.log.publish(WEIGHT, "value = 0");
    let version = fleet.log.publish(WITHDRAWN, "value = true");
    sleep(1.0).await;
    assert!(fleet.all_serve(version));
    assert!(
        fleet
            .nodes
            .iter()
            .all(|node| node.handle.active().customer("acme").unwrap().weight == 1.0)
    );
}
