//! Tests of the rate limits that upstreams state: how many requests a hungry fleet sends, without a network.

use marigoldlock_wire::prelude::*;

use super::{at, millis};
use crate::gateway::exchange::FleetView;
use crate::gateway::members::{MemberCard, MemberReport, MemberStage, MemberTable, ReportPath};
use crate::gateway::pace::{LimitStatement, PaceTurn, StatedLimit};
use crate::gateway::state::UpstreamKey;

/// The fleet's time when the test starts, in Unix milliseconds.
const START_MS: u64 = 1_800_000_000_123;

/// Time between two requests that each instance wants to send.
const STEP_MS: u64 = 10;

/// Length of the platform's sliding window.
const WINDOW_MS: u64 = 4_000;

fn statement(rate: Option<f64>, sent: u64, received: u64) -> LimitStatement {
    LimitStatement {
        upstream: UpstreamKey::from(&UpstreamId::from("i-1")),
        rate,
        sent_at: at(sent),
        received_at: at(received),
        fleet_ms: START_MS + received,
    }
}

fn limit(rate: f64, received: u64) -> StatedLimit {
    StatedLimit::update(None, &statement(Some(rate), received, received)).unwrap()
}

/// Sends as much as the limit allows from each instance that is up, and returns the times. `instances_at` tells how
/// many instances an instance knows at a time, and by how much its clock is ahead.
fn press(
    rate: f64,
    instances: usize,
    length_ms: u64,
    view: impl Fn(usize, u64) -> Option<(usize, i64)>,
) -> Vec<u64> {
    let mut limits = vec![limit(rate, 0); instances];
    let mut sent = Vec::new();
    for time in (0..length_ms).step_by(STEP_MS as usize) {
        for (position, limit) in limits.iter_mut().enumerate() {
            let Some((known, ahead_ms)) = view(position, time) else {
                continue;
            };
            let turn = PaceTurn {
                fleet_ms: (START_MS + time).saturating_add_signed(ahead_ms),
                position,
                instances: known,
            };
            if limit.use_grant(&turn) {
                sent.push(time);
            }
        }
    }
    sent
}

fn check_windows(sent: &[u64], rate: f64, what: &str) {
    let allowed = 1.5 * rate * WINDOW_MS as f64 / 1e3 + 5.0;
    for start in sent {
        let window = *start..start + WINDOW_MS;
        let count = sent.iter().filter(|time| window.contains(time)).count();
        assert!(
            count as f64 <= allowed,
            "{what}, from {start} ms: {count} requests, {allowed} allowed"
        );
    }
}

#[test]
fn a_hungry_fleet_of_any_size_uses_a_stated_rate_and_no_more() {
    for instances in [1, 2, 6, 60, 400] {
        for rate in [0.3, 1.0, 1.8, 7.0, 60.0] {
            let sent = press(rate, instances, 30_000, |_, _| Some((instances, 0)));
            let what = format!("{instances} instances, {rate} a second");
            check_windows(&sent, rate, &what);
            let expected = rate * 30.0;
            assert!(
                (sent.len() as f64 - expected).abs() <= expected * 0.05 + 1.0,
                "{what}: {} in 30 s",
                sent.len()
            );
        }
    }
}

#[test]
fn idle_instances_save_up_nothing() {
    for (instances, rate) in [(6, 1.8), (60, 1.0), (6, 60.0)] {
        // All instances begin to send at the same moment, long after the limit was stated.
        let sent = press(rate, instances, 40_000, |_, time| {
            (time >= 20_000).then_some((instances, 0))
        });
        let first_second = sent.iter().filter(|time| **time < 21_000).count();
        assert!(
            first_second as f64 <= 2.0 * rate + 1.0,
            "{first_second} at {rate} a second"
        );
        check_windows(&sent, rate, "after a pause");
    }
}

#[test]
fn clocks_that_differ_and_members_that_change_stay_within_the_limit() {
    for rate in [1.0, 1.8, 10.0] {
        let sent = press(rate, 8, 30_000, |position, time| {
            // Two of eight instances stop at 10 s; the others learn of it at different times.
            let is_stopped = position >= 6 && time >= 10_000;
            let known = if time >= 11_000 + position as u64 * 100 {
                6
            } else {
                8
            };
            let ahead_ms = [0, 40, -60, 150, 0, -200, 90, 0][position];
            (!is_stopped).then_some((known, ahead_ms))
        });
        check_windows(&sent, rate, &format!("{rate} a second"));
    }
}

#[test]
fn a_limit_ends_with_the_first_later_response_that_does_not_state_it() {
    let stated = Some(limit(2.0, 500));
    let earlier = StatedLimit::update(stated, &statement(None, 400, 600));
    assert_eq!(
        earlier, stated,
        "the request was sent before the limit was stated"
    );
    assert_eq!(StatedLimit::update(stated, &statement(None, 501, 600)), None);
    let changed = StatedLimit::update(stated, &statement(Some(3.0), 400, 600)).unwrap();
    assert_eq!(changed.rate(), 3.0);
}

#[test]
fn an_upstream_that_takes_nothing_is_asked_now_and_then() {
    let sent = press(0.0, 6, 300_000, |_, _| Some((6, 0)));
    assert_eq!(sent.len(), 15, "one request in 20 s from the whole fleet");
}

#[test]
fn a_clock_that_is_set_back_blocks_no_instance() {
    let mut limit = limit(10.0, 0);
    let turn = |fleet_ms| PaceTurn {
        fleet_ms,
        position: 0,
        instances: 1,
    };
    assert!(limit.use_grant(&turn(START_MS + 5_000)));
    let set_back = START_MS - 60_000;
    assert!(limit.wait(&turn(set_back)) <= millis(100));
    assert!(limit.use_grant(&turn(set_back + 100)));
}

#[test]
fn a_clock_estimate_that_wavers_grants_nothing_twice() {
    let rate = 5.0;
    let sent = press(rate, 6, 20_000, |position, time| {
        let waver_ms = (time / STEP_MS * 7 + position as u64 * 13) % 120;
        Some((6, waver_ms as i64 - 60))
    });
    assert!(sent.len() as f64 <= rate * 20.0 + 1.0, "{} in 20 s", sent.len());
}

#[test]
fn only_serving_instances_have_a_turn() {
    let card = |id: &str| MemberCard {
        id: InstanceId::from(id),
        incarnation: Incarnation(1),
        front: "10.0.0.1:1".parse().unwrap(),
        peer: "10.0.0.1:2".parse().unwrap(),
        data_centre: DataCentre::from("a"),
        weight: 1,
    };
    let mut members = MemberTable::default();
    for (id, stage) in [
        ("n1", MemberStage::Ready),
        ("n2", MemberStage::Leaving),
        ("n4", MemberStage::Ready),
    ] {
        let mut report = MemberReport::new(card(id));
        report.stage = stage;
        members.record_report(report, ReportPath::Direct, at(0));
    }
    let own = card("n3");
    let view = FleetView {
        own: &own,
        members: &members,
        now: at(10),
    };
    let turn = PaceTurn::new(&view, START_MS);
    assert_eq!((turn.position, turn.instances), (1, 3));
}
