//! Tests of membership.

use std::time::Duration;

use marigoldlock_wire::peer::{HeardPeer, Heartbeat};
use marigoldlock_wire::platform::{CapacityKind, InstanceList, ListEntry, ListKind, ListState};

use super::*;
use crate::prelude::*;

const OWN: Incarnation = Incarnation(1_000_000);

fn at(seconds: u64) -> MonoTime {
    MonoTime::from_duration(Duration::from_secs(1_000 + seconds))
}

fn table(instance: &str, data_centre: &str) -> MemberTable {
    let own = OwnIdentity {
        instance: instance.into(),
        incarnation: OWN,
        data_centre: data_centre.into(),
    };
    MemberTable::new(own, MemberLimits::default())
}

fn heartbeat(instance: &str, incarnation: u64, sequence: u64) -> Heartbeat {
    Heartbeat {
        instance: instance.into(),
        incarnation: Incarnation(incarnation << 32),
        sequence,
        data_centre: "a".into(),
        address: format!("{instance}:80"),
        peer_address: format!("{instance}:81"),
        ready: true,
        started_ms: incarnation,
        heard_peers: vec![heard("own", OWN)],
        ..Heartbeat::default()
    }
}

fn heard(instance: &str, incarnation: Incarnation) -> HeardPeer {
    HeardPeer {
        instance: instance.into(),
        incarnation,
        usable: true,
    }
}

fn list(version: u64, names: &[(&str, &str)]) -> InstanceList {
    let entries = names.iter().map(|(name, data_centre)| ListEntry {
        id: (*name).into(),
        kind: ListKind::Entry,
        service: None,
        data_centre: (*data_centre).into(),
        address: format!("{name}:80"),
        peer_address: Some(format!("{name}:81")),
        capacity: CapacityKind::Steady,
        state: ListState::Live,
    });
    InstanceList {
        version,
        entries: entries.collect(),
    }
}

fn named(table: &MemberTable, caller: &str, now: MonoTime) -> Vec<String> {
    let query = AddressQuery {
        caller,
        own_address: Some("own:80"),
        max_addresses: 16,
    };
    let mut names: Vec<_> = table
        .addresses(&query, now)
        .into_iter()
        .map(|entry| entry.instance.to_string())
        .collect();
    names.sort();
    names
}

#[test]
fn silence_makes_a_member_suspect_then_silent_and_only_the_list_makes_it_gone() {
    let mut table = table("own", "a");
    table.on_list(&list(1, &[("own", "a"), ("b", "a")]), at(0));
    assert_eq!(table.get("b").unwrap().state, MemberState::Listed);
    assert_eq!(
        table.on_heartbeat(&heartbeat("b", 1, 1), at(1)),
        HeartbeatOutcome::Joined
    );
    let states = |table: &mut MemberTable, from: u64, to: u64| {
        (from..=to).for_each(|second| assert_eq!(table.tick(at(second)), None));
        table.get("b").map(|member| member.state)
    };
    assert_eq!(states(&mut table, 1, 3), Some(MemberState::Live));
    assert_eq!(states(&mut table, 4, 4), Some(MemberState::Suspect));
    assert_eq!(states(&mut table, 5, 500), Some(MemberState::Silent));
    assert!(!named(&table, "x", at(500)).contains(&"b".into()));
    table.on_list(&list(2, &[("own", "a")]), at(500));
    assert_eq!(table.state_of(Incarnation(1 << 32)), Some(MemberState::Gone));
    table.on_list(&list(1, &[("own", "a"), ("b", "a")]), at(501));
    assert!(table.get("b").is_none(), "an older list is dropped");
    assert_eq!(
        table.on_heartbeat(&heartbeat("b", 1, 2), at(502)),
        HeartbeatOutcome::Ended
    );
    assert!(
        table.get("b").is_none(),
        "a late heartbeat does not bring it back"
    );
}

#[test]
fn an_ended_incarnation_never_comes_back() {
    let mut table = table("own", "a");
    table.on_heartbeat(&heartbeat("b", 1, 7), at(0));
    assert_eq!(
        table.on_heartbeat(&heartbeat("b", 2, 1), at(1)),
        HeartbeatOutcome::Joined
    );
    assert_eq!(
        table.on_heartbeat(&heartbeat("b", 1, 8), at(1)),
        HeartbeatOutcome::Ended
    );
    assert_eq!(table.get("b").unwrap().incarnation, Some(Incarnation(2 << 32)));
    assert_eq!(table.state_of(Incarnation(1 << 32)), Some(MemberState::Gone));
    assert!(table.find_home(Incarnation(1 << 32)).is_none());
    assert!(table.find_home(home_token(Incarnation(2 << 32), 3)).is_some());

    let mut late = self::table("own", "a");
    late.on_heartbeat(&heartbeat("b", 2, 1), at(0));
    let paused = heartbeat("b", 1, 9);
    assert_eq!(
        late.on_heartbeat(&paused, at(1)),
        HeartbeatOutcome::Ended,
        "never heard before, but older"
    );
    assert_eq!(late.get("b").unwrap().incarnation, Some(Incarnation(2 << 32)));
}

#[test]
fn a_repeated_heartbeat_does_not_renew() {
    let mut table = table("own", "a");
    table.on_heartbeat(&heartbeat("b", 1, 5), at(0));
    assert_eq!(
        table.on_heartbeat(&heartbeat("b", 1, 5), at(3)),
        HeartbeatOutcome::Ignored
    );
    assert_eq!(
        table.on_heartbeat(&heartbeat("b", 1, 4), at(3)),
        HeartbeatOutcome::Ignored
    );
    table.tick(at(3));
    assert_eq!(table.get("b").unwrap().state, MemberState::Suspect);
}

#[test]
fn a_member_that_does_not_hear_this_instance_is_suspect() {
    let mut table = table("own", "a");
    let mut deaf = heartbeat("b", 1, 1);
    deaf.heard_peers = Vec::new();
    table.on_heartbeat(&deaf, at(0));
    assert_eq!(
        table.get("b").unwrap().state,
        MemberState::Live,
        "it had no time to hear yet"
    );
    deaf.sequence = 2;
    table.on_heartbeat(&deaf, at(4));
    assert_eq!(table.get("b").unwrap().state, MemberState::Suspect);
    assert!(!table.is_heard(at(4)));
    assert_eq!(
        named(&table, "x", at(4)),
        ["b"],
        "nobody hears this instance, so it is not handed out"
    );
    table.on_heartbeat(&heartbeat("b", 1, 3), at(5));
    assert_eq!(table.get("b").unwrap().state, MemberState::Live);
    assert_eq!(named(&table, "x", at(5)), ["b", "own"]);
}

#[test]
fn a_pause_of_this_instance_makes_nobody_gone() {
    let mut table = table("own", "a");
    table.on_heartbeat(&heartbeat("b", 1, 1), at(0));
    table.tick(at(1));
    assert_eq!(table.tick(at(300)), Some(Duration::from_secs(299)));
    assert_eq!(table.get("b").unwrap().state, MemberState::Suspect);
    assert_eq!(
        table.on_heartbeat(&heartbeat("b", 1, 2), at(300)),
        HeartbeatOutcome::Renewed
    );
    assert_eq!(table.get("b").unwrap().state, MemberState::Live);
}

#[test]
fn leaving_and_unready_members_are_not_handed_out() {
    let mut table = table("own", "a");
    for name in ["b", "c", "d"] {
        table.on_heartbeat(&heartbeat(name, 1, 1), at(0));
    }
    let leaving = Heartbeat {
        leaving: true,
        ..heartbeat("b", 1, 2)
    };
    table.on_heartbeat(&leaving, at(1));
    let unready = Heartbeat {
        ready: false,
        ..heartbeat("c", 1, 2)
    };
    table.on_heartbeat(&unready, at(1));
    assert_eq!(named(&table, "x", at(1)), ["d", "own"]);
    table.on_heartbeat(&heartbeat("b", 1, 3), at(1));
    assert_eq!(
        table.get("b").unwrap().state,
        MemberState::Leaving,
        "leaving is for good"
    );
}

#[test]
fn a_member_that_only_others_hear_is_handed_out() {
    let mut table = table("own", "a");
    table.on_list(&list(1, &[("b", "a"), ("c", "a"), ("d", "a")]), at(0));
    let mut reporter = heartbeat("b", 1, 1);
    reporter.heard_peers.push(heard("c", Incarnation(3 << 32)));
    table.on_heartbeat(&reporter, at(1));
    assert_eq!(named(&table, "x", at(1)), ["b", "c", "own"]);
    assert_eq!(
        table.find_home(Incarnation(3 << 32)).unwrap().instance.as_str(),
        "c"
    );
}

#[test]
fn callers_are_spread_and_stay_where_they_are() {
    let mut table = table("own", "a");
    for name in ["b", "c", "d", "e", "f", "g", "h"] {
        table.on_heartbeat(&heartbeat(name, 1, 1), at(0));
    }
    let first = |table: &MemberTable, caller: usize| {
        let caller = format!("caller-{caller}");
        let query = AddressQuery {
            caller: &caller,
            own_address: Some("own:80"),
            max_addresses: 3,
        };
        table.addresses(&query, at(0))[0].instance.to_string()
    };
    let before: Vec<_> = (0..800).map(|caller| first(&table, caller)).collect();
    for name in ["own", "b", "c", "d", "e", "f", "g", "h"] {
        let share = before.iter().filter(|first| *first == name).count();
        assert!((60..140).contains(&share), "{name} is first for {share} of 800");
    }
    let leaving = Heartbeat {
        leaving: true,
        ..heartbeat("c", 1, 2)
    };
    table.on_heartbeat(&leaving, at(1));
    for (caller, old) in before.iter().enumerate().filter(|(_, old)| *old != "c") {
        assert_eq!(&first(&table, caller), old);
    }
}

#[test]
fn the_exchange_is_bounded_and_connected_at_400_instances() {
    let names: Vec<_> = (0..400)
        .map(|n| (format!("i{n}"), format!("dc{}", n % 9)))
        .collect();
    let names: Vec<_> = names
        .iter()
        .map(|(name, dc)| (name.as_str(), dc.as_str()))
        .collect();
    let list = list(1, &names);
    let limits = ExchangeLimits::default();
    let links: FastMap<&str, Vec<String>> = names
        .iter()
        .map(|(name, data_centre)| {
            let mut table = table(name, data_centre);
            table.on_list(&list, at(0));
            let peers = table.exchange_peers(&limits);
            (
                *name,
                peers.iter().map(|peer| peer.instance.to_string()).collect(),
            )
        })
        .collect();
    let max_peers = links.values().map(Vec::len).max().unwrap();
    // 30 heartbeats of 400 bytes every 3 s, in both directions, take 8 of the 11 KB/s that a node has for
    // control.
    assert!(max_peers <= 30, "{max_peers} peers");
    for (name, peers) in &links {
        let is_mutual = peers
            .iter()
            .all(|peer| links[peer.as_str()].iter().any(|own| own == name));
        assert!(is_mutual, "{name} has a link that the other end does not use");
    }
    let mut reached: FastSet<&str> = FastSet::from_iter(["i0"]);
    let mut frontier = vec!["i0"];
    let mut steps = 0;
    while !frontier.is_empty() {
        frontier = frontier
            .iter()
            .flat_map(|name| &links[name])
            .map(String::as_str)
            .filter(|peer| reached.insert(peer))
            .collect();
        steps += 1;
    }
    assert_eq!(reached.len(), 400);
    assert!(steps <= 6, "{steps} steps");
}

#[test]
fn few_instances_form_a_full_mesh_and_the_interval_keeps_the_budget() {
    let mut table = table("own", "a");
    let names = ["b", "c", "d", "e", "f", "g", "h"].map(|name| (name, "a"));
    table.on_list(&list(1, &names), at(0));
    assert_eq!(table.exchange_peers(&ExchangeLimits::default()).len(), 7);
    let second = Duration::from_secs(1);
    assert_eq!(heartbeat_interval(second, 7, 400, 8_000), second);
    assert_eq!(heartbeat_interval(second, 40, 400, 8_000), Duration::from_secs(4));
}
