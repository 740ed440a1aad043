//! Instances, the address answer, true time and usage windows.

use marigoldlock_wire::prelude::*;

use super::at;
use crate::gateway::clock::TrueClock;
use crate::gateway::members::{MemberCard, MemberReport, MemberStage, MemberTable, ReportPath};
use crate::gateway::windows::{UsageBook, WindowCounts};

fn card(name: &str, data_centre: &str, port: u16) -> MemberCard {
    MemberCard {
        id: InstanceId::from(name),
        incarnation: Incarnation(1),
        front: format!("10.0.0.1:{port}").parse().unwrap(),
        peer: format!("10.0.0.1:{}", port + 1).parse().unwrap(),
        data_centre: DataCentre::from(data_centre),
        weight: 25,
    }
}

fn report(card: MemberCard, stage: MemberStage) -> MemberReport {
    MemberReport {
        sequence: 1,
        stage,
        ..MemberReport::new(card)
    }
}

fn hear(members: &mut MemberTable, card: MemberCard, stage: MemberStage, millis: u64) -> bool {
    members.hear(report(card, stage), ReportPath::Direct, at(millis))
}

#[test]
fn callers_are_told_ready_instances_of_their_data_centre_first() {
    let own = card("i0", "a", 100);
    let mut members = MemberTable::default();
    hear(&mut members, card("i1", "a", 110), MemberStage::Ready, 0);
    hear(&mut members, card("i2", "b", 120), MemberStage::Ready, 0);
    hear(&mut members, card("i3", "a", 130), MemberStage::Leaving, 0);
    hear(&mut members, card("i4", "a", 140), MemberStage::Starting, 0);
    let ports = |own: Option<&MemberCard>, place: Option<&str>, now| {
        let addresses = members.addresses(own, place, now);
        addresses
            .iter()
            .map(std::net::SocketAddr::port)
            .collect::<Vec<_>>()
    };
    assert_eq!(ports(Some(&own), Some("a"), at(100)), [100, 110]);
    assert_eq!(ports(Some(&own), Some("b"), at(100)), [100, 110, 120]);
    assert_eq!(
        ports(None, Some("a"), at(100)),
        [110, 120],
        "one near instance alone is not enough"
    );
    assert_eq!(ports(Some(&own), None, at(100)), [100, 110, 120]);
    assert_eq!(
        ports(Some(&own), Some("a"), at(2_000)),
        [100],
        "silent instances are not told"
    );
}

#[test]
fn an_instance_known_from_the_store_is_not_told_before_it_is_heard() {
    let mut members = MemberTable::default();
    members.learn(card("i1", "a", 110), at(0));
    assert!(members.addresses(None, Some("a"), at(0)).is_empty());
    assert_eq!(members.all().count(), 1);
    assert!(hear(&mut members, card("i1", "a", 110), MemberStage::Ready, 10));
    assert!(!hear(&mut members, card("i1", "a", 110), MemberStage::Ready, 20));
    members.expire(at(70_000));
    assert_eq!(members.all().count(), 0);
}

#[test]
fn true_time_survives_jumps_of_a_minority() {
    let mut clock = TrueClock::default();
    let truth = 1_000_000;
    for (name, unix_ms) in [
        ("i1", truth + 3),
        ("i2", truth - 2),
        ("i3", truth + 2_400),
        ("i4", truth),
    ] {
        clock.record(&InstanceId::from(name), unix_ms, at(0));
    }
    let own_jumped = truth - 2_000;
    assert!(clock.unix_ms(own_jumped + 500, at(500)).abs_diff(truth + 500) <= 3);
    // Clocks that were heard long ago no longer count.
    assert_eq!(clock.unix_ms(5_000, at(10_000)), 5_000);
}

#[test]
fn usage_told_twice_or_out_of_order_counts_once() {
    let acme = CustomerId::from("acme");
    let own = (InstanceId::from("i0"), Incarnation(1));
    let peer = (InstanceId::from("i1"), Incarnation(1));
    let reborn = (InstanceId::from("i1"), Incarnation(2));
    let mut book = UsageBook::default();
    book.count(&own, 9, &acme);
    let told = |count| WindowCounts {
        window: 9,
        counts: vec![(acme.clone(), count)],
    };
    for count in [1, 4, 4, 2] {
        book.merge(&peer, &told(count));
    }
    book.merge(&reborn, &told(3));
    assert_eq!(book.total(9)[&acme], 1 + 4 + 3);
    assert_eq!(book.told_by(&own, 9), [told(1)]);
    assert!(book.told_by(&own, 10).is_empty());
    assert!(book.total(8).is_empty());
}
