//! Tests of which software version began a stream, in fleets of the target size on a simulated network.

use std::net::SocketAddr;
use std::time::Duration;

use marigoldlock_wire::prelude::*;
use rand::rngs::StdRng;
use rand::seq::SliceRandom as _;
use rand::{Rng as _, SeedableRng as _};

use super::at;
use crate::gateway::exchange::FleetView;
use crate::gateway::members::{MemberCard, MemberReport, MemberTable, ReportPath};
use crate::gateway::origins::{
    OriginTable, StreamKey, StreamOrigin, UnsentOrigin, VersionHistory, VersionKey, asked_keepers, keepers,
};

const LIFETIME: Duration = Duration::from_secs(60);

fn version(name: &str) -> SoftwareVersion {
    SoftwareVersion::from(name)
}

fn origin(stream: &str, version_name: &str) -> StreamOrigin {
    StreamOrigin {
        stream: StreamKey::from(stream),
        version: VersionKey::new(&ServiceId::from("llm"), &version(version_name)),
    }
}

#[test]
fn a_version_is_settled_once_it_has_served_alone_for_the_lifetime_of_streams() {
    let (v1, v2) = (version("v1"), version("v2"));
    let mut history = VersionHistory::default();
    history.update(&[&v1, &v1], LIFETIME, at(0));
    assert_eq!(history.settled(), None);
    history.update(&[&v1], LIFETIME, at(59_999));
    assert_eq!(history.settled(), None);
    history.update(&[&v1], LIFETIME, at(60_000));
    assert_eq!(history.settled(), Some(&v1));
    history.update(&[&v2, &v1], LIFETIME, at(60_001));
    assert_eq!(history.settled(), None);
    history.update(&[&v2], LIFETIME, at(61_000));
    history.update(&[&v2], LIFETIME, at(120_999));
    assert_eq!(history.settled(), None, "streams of v1 may still go on");
    history.update(&[&v2], LIFETIME, at(121_000));
    assert_eq!(history.settled(), Some(&v2));
}

/// Entries lapse when the store has been away; that says nothing of the versions.
#[test]
fn an_empty_listing_changes_nothing() {
    let (v1, v2) = (version("v1"), version("v2"));
    let mut history = VersionHistory::default();
    history.adopt(v1.clone());
    history.update(&[&v1], LIFETIME, at(0));
    history.update(&[], LIFETIME, at(1));
    assert_eq!(history.settled(), Some(&v1));
    history.update(&[&v2], LIFETIME, at(2));
    assert_eq!(history.settled(), None);
}

#[test]
fn a_version_is_adopted_unless_the_listing_contradicts_it() {
    let (v1, v2) = (version("v1"), version("v2"));
    let mut matching = VersionHistory::default();
    matching.update(&[&v1], LIFETIME, at(0));
    matching.adopt(v1.clone());
    assert_eq!(matching.settled(), Some(&v1));

    let mut replaced = VersionHistory::default();
    replaced.update(&[&v2], LIFETIME, at(0));
    replaced.adopt(v1.clone());
    assert_eq!(replaced.settled(), None);

    let mut mixed = VersionHistory::default();
    mixed.update(&[&v1, &v2], LIFETIME, at(0));
    mixed.adopt(v1.clone());
    assert_eq!(mixed.settled(), None);
}

#[test]
fn versions_of_different_services_differ() {
    let key = |service: &str, name: &str| VersionKey::new(&ServiceId::from(service), &version(name));
    assert_ne!(key("llm", "v1"), key("app", "v1"));
    assert_ne!(key("llm", "v1"), key("llmv", "1"));
}

#[test]
fn the_first_origin_of_a_stream_holds() {
    let mut table = OriginTable::default();
    table.record(origin("s1", "v1"), false, at(0));
    table.record(origin("s1", "v2"), false, at(1));
    table.merge(&[origin("s1", "v2")], at(2));
    let begun = origin("s1", "v1");
    assert_eq!(table.version(begun.stream), Some(begun.version));
    let unsent = UnsentOrigin {
        origin: begun,
        is_contested: false,
    };
    assert_eq!(table.take_unsent(), [unsent]);
    assert_eq!(table.take_unsent(), []);
}

#[test]
fn origins_expire_after_the_lifetime_of_streams() {
    let mut table = OriginTable::default();
    let (first, second) = (origin("s1", "v1"), origin("s2", "v1"));
    table.record(first, false, at(0));
    table.merge(&[second], at(10_000));
    table.expire(LIFETIME, at(59_999));
    assert_eq!(table.find(&[first.stream, second.stream]), [first, second]);
    table.expire(LIFETIME, at(60_000));
    assert_eq!(table.find(&[first.stream, second.stream]), [second]);
}

#[test]
fn a_full_table_drops_the_oldest_streams() {
    let capacity = 1 << 16;
    let mut table = OriginTable::default();
    for number in 0..=capacity {
        table.merge(&[origin(&format!("s{number}"), "v1")], at(0));
    }
    assert_eq!(table.version(StreamKey::from("s0")), None);
    for number in [1, capacity] {
        assert!(
            table
                .version(StreamKey::from(format!("s{number}").as_str()))
                .is_some()
        );
    }
}

fn card(number: usize) -> MemberCard {
    let address = |port| SocketAddr::from(([10, 0, (number / 250) as u8, (number % 250) as u8], port));
    MemberCard {
        id: InstanceId::from(format!("i{number}")),
        incarnation: Incarnation(number as u64),
        front: address(80),
        peer: address(7780),
        data_centre: DataCentre::from(format!("dc{}", number % 4)),
        weight: 12,
    }
}

/// The other instances, as one of them sees them.
fn members_of(own: usize, live: &[usize]) -> MemberTable {
    let mut members = MemberTable::default();
    for &number in live.iter().filter(|&&number| number != own) {
        let report = MemberReport {
            sequence: 1,
            ..MemberReport::new(card(number))
        };
        members.record_report(report, ReportPath::Direct, at(0));
    }
    members
}

/// Share of a killed instance's streams whose version an instance that is left finds out, if a share of the fleet is killed
/// with it. Either that isn't noticed yet, or as many others have joined.
fn found_share(fleet: usize, killed_share: f64, is_noticed: bool, seed: u64) -> f64 {
    const LOSS: f64 = 0.01;
    const STREAMS: usize = 200;
    let mut random = StdRng::seed_from_u64(seed);
    let all: Vec<usize> = (0..fleet).collect();
    let mut tables = vec![OriginTable::default(); fleet * 2];
    let numbers: FastMap<SocketAddr, usize> =
        (0..fleet * 2).map(|number| (card(number).peer, number)).collect();

    let server_members = members_of(0, &all);
    let server_card = card(0);
    let view = FleetView {
        own: &server_card,
        members: &server_members,
        now: at(0),
    };
    for number in 0..STREAMS {
        let begun = origin(&format!("s{number}"), "v1");
        for address in keepers(&view, begun.stream) {
            if !random.random_bool(LOSS) {
                tables[numbers[&address]].merge(&[begun], at(0));
            }
        }
    }

    let mut others: Vec<usize> = all[1..].to_vec();
    others.shuffle(&mut random);
    let killed = (fleet as f64 * killed_share) as usize;
    let survivors = others.split_off(killed.saturating_sub(1));
    let own = survivors[0];
    let joined = fleet..fleet + killed;
    let known: Vec<usize> = if is_noticed {
        survivors.iter().copied().chain(joined).collect()
    } else {
        all
    };
    let own_members = members_of(own, &known);
    let own_card = card(own);
    let view = FleetView {
        own: &own_card,
        members: &own_members,
        now: at(0),
    };
    let is_found = |number: &usize| {
        let stream = StreamKey::from(format!("s{number}").as_str());
        let asked = asked_keepers(&view, stream);
        let asked = asked.into_iter().map(|address| numbers[&address]);
        let mut replying = asked.filter(|number| survivors.contains(number));
        tables[own].version(stream).is_some()
            || replying.any(|number| tables[number].version(stream).is_some())
    };
    (0..STREAMS).filter(is_found).count() as f64 / STREAMS as f64
}

/// Guards against refusals of sound streams: the version that began a stream was forgotten with the instances that knew it.
#[test]
fn the_version_of_most_streams_outlives_a_loss_of_half_of_the_fleet() {
    for seed in 0..20 {
        for fleet in [6, 24, 400] {
            for is_noticed in [false, true] {
                let share = found_share(fleet, 0.5, is_noticed, seed);
                assert!(
                    share >= 0.5,
                    "{fleet} instances, {is_noticed}, seed {seed}: {share}"
                );
            }
        }
    }
}
