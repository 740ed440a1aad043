//! Tests of heartbeats, relays and followers in fleets of all sizes on a simulated network.

use std::net::SocketAddr;

use marigoldlock_wire::prelude::*;

use super::at;
use crate::gateway::era::{StoreEra, StorePosition};
use crate::gateway::exchange::{FleetView, heartbeat_interval};
use crate::gateway::members::{MemberCard, MemberReport, MemberStage, MemberTable, ReportPath, StoreContact};
use crate::gateway::news::NewsDate;
use crate::time::MonoTime;

fn card(number: usize, data_centres: usize, weight: u32) -> MemberCard {
    let address = |port| SocketAddr::from(([10, 0, (number / 250) as u8, (number % 250) as u8], port));
    MemberCard {
        id: InstanceId::from(format!("i{number}")),
        incarnation: Incarnation(number as u64),
        front: address(80),
        peer: address(7780),
        data_centre: DataCentre::from(format!("dc{}", number % data_centres)),
        weight,
    }
}

struct Node {
    card: MemberCard,
    members: MemberTable,
    sequence: u64,
    is_live: bool,
    response_age_ms: Option<u32>,
    duty_fence: Option<u64>,
    sent: usize,
}

/// A fleet whose heartbeats either arrive at once or are lost.
struct Fleet {
    nodes: Vec<Node>,
    now: MonoTime,
    round: u64,
    /// Every n-th datagram is lost.
    drop_every: u64,
    /// Whether the link between two nodes, given by index, is cut.
    is_cut: fn(usize, usize) -> bool,
    datagrams: u64,
}

impl Fleet {
    fn new(count: usize, data_centres: usize) -> Self {
        let nodes = (0..count).map(|number| Node {
            card: card(number, data_centres, if number < data_centres { 50 } else { 12 }),
            members: MemberTable::default(),
            sequence: 0,
            is_live: true,
            response_age_ms: Some(0),
            duty_fence: None,
            sent: 0,
        });
        let mut fleet = Self {
            nodes: nodes.collect(),
            now: at(10_000),
            round: 0,
            drop_every: u64::MAX,
            is_cut: |_, _| false,
            datagrams: 0,
        };
        // As at startup: each instance has read the cards that were written before its own.
        for number in 0..count {
            for other in 0..number {
                let card = fleet.nodes[other].card.clone();
                fleet.nodes[number].members.add_card(card, fleet.now);
            }
        }
        fleet
    }

    fn report(&self, number: usize) -> MemberReport {
        let node = &self.nodes[number];
        MemberReport {
            sequence: node.sequence,
            stage: MemberStage::Ready,
            store: StoreContact {
                response_age_ms: node.response_age_ms,
                recovery_age_ms: None,
            },
            duty_fence: node.duty_fence,
            ..MemberReport::new(node.card.clone())
        }
    }

    /// Sends one heartbeat round of every live instance.
    fn step(&mut self) {
        self.round += 1;
        self.now = self.now + heartbeat_interval(self.nodes.len());
        for number in 0..self.nodes.len() {
            if !self.nodes[number].is_live {
                continue;
            }
            self.nodes[number].sequence += 1;
            let own = self.report(number);
            let node = &self.nodes[number];
            let view = FleetView {
                own: &node.card,
                members: &node.members,
                now: self.now,
            };
            let targets = view.targets(self.round);
            let (for_local, for_remote) = if targets.is_relay {
                (view.forwarded(false), view.forwarded(true))
            } else {
                (Vec::new(), Vec::new())
            };
            let local: FastSet<SocketAddr> = targets.local.into_iter().collect();
            let remote: FastSet<SocketAddr> = targets.remote.into_iter().collect();
            let answers: FastSet<SocketAddr> = targets.answers.into_iter().collect();
            self.nodes[number].sent = local.len() + remote.len() + answers.len();
            let groups = [
                (local, for_local, ReportPath::Direct),
                (remote, for_remote, ReportPath::Direct),
                (answers, Vec::new(), ReportPath::Answer),
            ];
            for (addresses, forwarded, path) in groups {
                for address in addresses {
                    self.deliver(number, address, (&own, path), &forwarded);
                }
            }
        }
    }

    fn deliver(
        &mut self,
        from: usize,
        to: SocketAddr,
        (own, path): (&MemberReport, ReportPath),
        forwarded: &[MemberReport],
    ) {
        self.datagrams += 1;
        let now = self.now;
        let Some(receiver) = self.nodes.iter().position(|node| node.card.peer == to) else {
            return;
        };
        if !self.nodes[receiver].is_live
            || (self.is_cut)(from, receiver)
            || self.datagrams.is_multiple_of(self.drop_every)
        {
            return;
        }
        let node = &mut self.nodes[receiver];
        node.members.record_report(own.clone(), path, now);
        for report in forwarded {
            if report.card.id != node.card.id {
                node.members
                    .record_report(report.clone(), ReportPath::Forwarded, now);
            }
        }
    }

    fn steps(&mut self, count: usize) {
        for _ in 0..count {
            self.step();
        }
    }

    fn live(&self) -> usize {
        self.nodes.iter().filter(|node| node.is_live).count()
    }

    /// Live instances whose view of the live instances is wrong.
    fn with_wrong_view(&self) -> Vec<&InstanceId> {
        let live = self.live();
        let nodes = self.nodes.iter().filter(|node| node.is_live);
        nodes
            .filter(|node| {
                let known = node.members.live(self.now);
                let known_live = known.filter(|member| {
                    let card = member.card();
                    self.nodes
                        .iter()
                        .any(|other| other.is_live && other.card.id == card.id)
                });
                known_live.count() + 1 != live || node.members.live(self.now).count() + 1 != live
            })
            .map(|node| &node.card.id)
            .collect()
    }

    fn view(&self, number: usize) -> FleetView<'_> {
        let node = &self.nodes[number];
        FleetView {
            own: &node.card,
            members: &node.members,
            now: self.now,
        }
    }

    fn followers(&self) -> Vec<usize> {
        let live = (0..self.nodes.len()).filter(|number| self.nodes[*number].is_live);
        live.filter(|number| self.view(*number).is_follower()).collect()
    }
}

/// Heartbeat rounds after which all instances must know each other: one for each of the three hops of a
/// report, and as many again until the relays are known.
const DISCOVERY_ROUNDS: usize = 8;

#[test]
fn a_small_fleet_is_fully_meshed_and_all_of_it_follows_the_store() {
    for (count, data_centres) in [(1, 1), (2, 1), (6, 4), (8, 3)] {
        let mut fleet = Fleet::new(count, data_centres);
        fleet.steps(DISCOVERY_ROUNDS);
        assert!(fleet.with_wrong_view().is_empty());
        for node in &fleet.nodes {
            assert_eq!(
                node.sent,
                count - 1,
                "{count} instances in {data_centres} data centres"
            );
        }
        assert_eq!(fleet.followers().len(), count.min(6));
    }
}

#[test]
fn heartbeats_per_instance_depend_on_the_data_centre_size_not_the_fleet_size() {
    for (count, data_centres) in [(63, 3), (72, 5), (120, 5), (400, 9)] {
        let mut fleet = Fleet::new(count, data_centres);
        fleet.steps(DISCOVERY_ROUNDS);
        assert!(
            fleet.with_wrong_view().is_empty(),
            "{count} instances in {data_centres} data centres"
        );
        fleet.steps(3);
        let local = count.div_ceil(data_centres);
        let max_sent = fleet.nodes.iter().map(|node| node.sent).max().unwrap();
        assert!(
            max_sent < local + 3 * data_centres,
            "{max_sent} heartbeats per round from one of {count} instances"
        );
        let relays = (0..count).filter(|number| fleet.view(*number).targets(1).is_relay);
        assert!(relays.count() <= 10.max(2 * data_centres));
        // The number of reports that each instance receives is bounded, however large the fleet is.
        assert!(count as f64 / heartbeat_interval(count).as_secs_f64() <= 800.0);
    }
}

#[test]
fn lost_datagrams_make_no_instance_look_dead() {
    let mut fleet = Fleet::new(72, 5);
    fleet.drop_every = 12;
    fleet.steps(DISCOVERY_ROUNDS * 2);
    for _ in 0..100 {
        fleet.step();
        assert!(fleet.with_wrong_view().is_empty());
    }
}

#[test]
fn the_next_in_rank_relay_when_all_relays_of_a_data_centre_die_at_once() {
    let mut fleet = Fleet::new(72, 5);
    fleet.steps(DISCOVERY_ROUNDS);
    for number in 0..72 {
        let targets = fleet.view(number).targets(1);
        if targets.is_relay && fleet.nodes[number].card.data_centre.as_str() == "dc2" {
            fleet.nodes[number].is_live = false;
        }
    }
    assert!(fleet.live() < 72);
    // They count as dead after the liveness timeout; then their successors must find the other data centres.
    fleet.steps(6 + DISCOVERY_ROUNDS * 2);
    assert!(
        fleet.with_wrong_view().is_empty(),
        "{:?}",
        fleet.with_wrong_view()
    );
}

#[test]
fn data_centres_whose_relays_cannot_reach_each_other_connect_through_other_instances() {
    let mut fleet = Fleet::new(72, 5);
    fleet.steps(DISCOVERY_ROUNDS);
    // The largest instance of each data centre can't reach the largest ones of the others; they are the first
    // relays.
    fleet.is_cut = |from, to| from < 5 && to < 5;
    fleet.steps(DISCOVERY_ROUNDS * 3);
    assert!(
        fleet.with_wrong_view().is_empty(),
        "{:?}",
        fleet.with_wrong_view()
    );
}

#[test]
fn a_partitioned_data_centre_is_found_again_after_the_partition() {
    let mut fleet = Fleet::new(72, 5);
    fleet.steps(DISCOVERY_ROUNDS);
    fleet.is_cut = |from, to| (from % 5 == 1) != (to % 5 == 1);
    fleet.steps(DISCOVERY_ROUNDS * 3);
    assert!(!fleet.with_wrong_view().is_empty());
    fleet.is_cut = |_, _| false;
    fleet.steps(4 + DISCOVERY_ROUNDS * 2);
    assert!(
        fleet.with_wrong_view().is_empty(),
        "{:?}",
        fleet.with_wrong_view()
    );
}

#[test]
fn the_next_in_rank_follow_when_followers_lose_the_store() {
    let mut fleet = Fleet::new(72, 5);
    fleet.steps(DISCOVERY_ROUNDS);
    let followers = fleet.followers();
    assert_eq!(followers.len(), 6);
    assert!(
        followers.iter().filter(|number| **number < 5).count() == 5,
        "large instances come first"
    );
    // For some, calls fail at once; for others they hang, so that the last response gets old.
    for number in &followers[..3] {
        fleet.nodes[*number].response_age_ms = None;
    }
    fleet.nodes[followers[3]].response_age_ms = Some(1_700);
    fleet.steps(3);
    let new_followers = fleet.followers();
    let reachable = new_followers.iter().filter(|number| {
        fleet.nodes[**number]
            .response_age_ms
            .is_some_and(|age| age < 1_000)
    });
    assert_eq!(reachable.count(), 6);
}

#[test]
fn an_instance_without_live_peers_follows_the_store_itself() {
    let mut fleet = Fleet::new(72, 5);
    fleet.steps(DISCOVERY_ROUNDS);
    let last = (0..72)
        .rev()
        .find(|number| !fleet.followers().contains(number))
        .unwrap();
    assert!(!fleet.view(last).is_follower());
    fleet.now = at(60_000);
    assert!(fleet.view(last).is_follower());
}

#[test]
fn an_unresponsive_store_is_tried_by_few_instances_first_and_by_all_in_the_end() {
    let mut fleet = Fleet::new(72, 5);
    fleet.steps(DISCOVERY_ROUNDS);
    let mut follower_counts = Vec::new();
    for age in [1_700, 3_200, 10_000] {
        for node in &mut fleet.nodes {
            node.response_age_ms = Some(age);
        }
        fleet.steps(3);
        follower_counts.push(fleet.followers().len());
    }
    assert!(follower_counts[0] <= 24, "{follower_counts:?}");
    assert!(follower_counts.is_sorted());
    assert_eq!(follower_counts[2], 72);
}

/// All instances of a fleet start at the same time, and each one takes itself for the only follower until it hears others:
/// at 295 instances that was more than half of a day's calls to the store.
#[test]
fn a_fleet_that_starts_leaves_the_store_to_its_followers() {
    let mut fleet = Fleet::new(295, 5);
    let started_at = fleet.now;
    let readers = |fleet: &Fleet| {
        let reads = |number: &usize| {
            let view = fleet.view(*number);
            view.may_follow(started_at) && view.is_follower()
        };
        (0..295).filter(reads).count()
    };
    assert!((0..295).all(|number| fleet.view(number).is_follower()));
    assert_eq!(readers(&fleet), 0);
    // Heartbeats may take longer than that on slow machines. The cards of others are known by then.
    fleet.now = started_at + std::time::Duration::from_millis(1_100);
    let early = readers(&fleet);
    // Instance n knows the n cards written before its own, so it is among the first six of them with a chance of 6 / n. Twice
    // the sum of these chances leaves room for luck.
    let expected = 6.0 * (1.0 + (295.0_f64 / 6.0).ln());
    assert!(early >= 1 && (early as f64) < 2.0 * expected, "{early}");
    fleet.steps(DISCOVERY_ROUNDS);
    let settled = readers(&fleet);
    assert!((6..=24).contains(&settled), "{settled}");
}

/// Heartbeats are up to an interval old, those of other data centres up to three, 2.2 s at 295 instances. Several instances
/// took themselves for the successor of a lost holder of the duties, some of which others had told no usage counts.
#[test]
fn a_large_fleet_agrees_on_the_successor_of_a_lost_holder() {
    let mut fleet = Fleet::new(295, 5);
    for node in &mut fleet.nodes {
        // A long poll that has almost ended.
        node.response_age_ms = Some(1_100);
    }
    fleet.steps(DISCOVERY_ROUNDS);
    // Just before the next round.
    fleet.now = fleet.now + std::time::Duration::from_millis(700);
    let successors: Vec<usize> = (0..295)
        .filter(|number| fleet.view(*number).is_first_successor())
        .collect();
    assert_eq!(successors.len(), 1, "{successors:?}");
    let told = (0..295).filter(|number| *number != successors[0]).all(|number| {
        let replicas = fleet.view(number).targets(1).usage_replicas;
        replicas.contains(&fleet.nodes[successors[0]].card.peer)
    });
    assert!(told, "all tell the successor their counts");
}

/// A leaving upstream must get no work a few seconds after the store has recorded it, but the news of it does not get to an
/// instance whose heartbeats from ahead are lost: it has to ask the store itself. Instances behind others kept to what they knew.
#[test]
fn an_instance_with_old_news_reads_the_store_itself_while_that_responds_to_others() {
    for (count, allowed_ms) in [(6, 2_000), (72, 3_000), (295, 4_000)] {
        let mut fleet = Fleet::new(count, 5);
        fleet.steps(DISCOVERY_ROUNDS);
        let mut listing = NewsDate::default();
        let complete_at = fleet.now;
        listing.confirm(complete_at);
        assert!(!fleet.view(count - 1).is_left_behind(&listing), "{count}");
        // Others go on to be heard, but what they have read is ahead of this instance.
        while fleet.now.since(complete_at) < std::time::Duration::from_millis(allowed_ms) {
            fleet.step();
        }
        assert!(fleet.view(count - 1).is_left_behind(&listing), "{count}");
        listing.confirm(fleet.now);
        assert!(!fleet.view(count - 1).is_left_behind(&listing), "{count}");
    }
}

/// While the store responds to nobody, calls to it are left to those whose turn it is.
#[test]
fn an_instance_with_old_news_leaves_a_store_that_responds_to_nobody_alone() {
    let mut fleet = Fleet::new(72, 5);
    for node in &mut fleet.nodes {
        node.response_age_ms = None;
    }
    fleet.steps(DISCOVERY_ROUNDS * 4);
    assert!(!fleet.view(71).is_left_behind(&NewsDate::default()));
}

/// An instance without others still reads the store, and writes what one instance writes.
#[test]
fn an_instance_that_hears_nobody_reads_the_store_after_a_second() {
    let mut fleet = Fleet::new(1, 1);
    let started_at = fleet.now;
    fleet.now = started_at + std::time::Duration::from_millis(999);
    assert!(!fleet.view(0).may_follow(started_at) && !fleet.view(0).knows_rank(started_at));
    fleet.now = started_at + std::time::Duration::from_millis(1_000);
    assert!(fleet.view(0).may_follow(started_at) && fleet.view(0).is_follower());
    fleet.now = started_at + std::time::Duration::from_millis(3_000);
    assert!(fleet.view(0).knows_rank(started_at));
}

#[test]
fn usage_counts_are_kept_by_the_duty_holder_and_its_successors() {
    let mut fleet = Fleet::new(72, 5);
    fleet.nodes[70].duty_fence = Some(3);
    fleet.steps(DISCOVERY_ROUNDS);
    let usage_replicas = fleet.view(30).targets(1).usage_replicas;
    assert_eq!(usage_replicas.len(), 5);
    assert!(usage_replicas.contains(&fleet.nodes[70].card.peer));
    // Every instance reaches every usage replica within a few rounds, whatever its data centre.
    for number in 0..72 {
        let mut reached: FastSet<SocketAddr> = FastSet::default();
        for round in 1..=3 {
            let targets = fleet.view(number).targets(round);
            reached.extend(
                targets
                    .local
                    .iter()
                    .chain(&targets.remote)
                    .chain(&targets.answers),
            );
        }
        let own = fleet.nodes[number].card.peer;
        let missing = usage_replicas
            .iter()
            .filter(|replica| **replica != own && !reached.contains(*replica));
        assert_eq!(missing.count(), 0, "instance {number}");
    }
    let ranked = fleet.view(30).ranked();
    for card in ranked.iter().take(4) {
        assert!(usage_replicas.contains(&card.peer));
    }
    assert_eq!(
        ranked.iter().map(|card| &card.id).collect::<Vec<_>>(),
        fleet
            .view(31)
            .ranked()
            .iter()
            .map(|card| &card.id)
            .collect::<Vec<_>>(),
        "all instances have the same order"
    );
}

/// Instances that are added have had responses of the store before they have read the upstreams, which made the listing of an
/// instance that was behind look new.
#[test]
fn a_starting_instance_does_not_date_the_listing_of_others() {
    let fleet = Fleet::new(2, 1);
    let mut report = fleet.report(1);
    report.store.response_age_ms = Some(20);
    report.sync_state.upstreams_offset = 40;
    assert_eq!(
        report.news_age(position(40)),
        Some(std::time::Duration::from_millis(20))
    );
    assert_eq!(report.news_age(position(39)), None, "the sender knows more");
    report.stage = MemberStage::Starting;
    report.sync_state.upstreams_offset = 0;
    assert_eq!(report.news_age(position(40)), None);
}

/// A listing is as new as the era it was read in: a sender that is still in the era before knows nothing of this one, and one that
/// has entered it but not listed the upstreams knows no more.
#[test]
fn an_instance_of_another_era_does_not_date_the_listing() {
    let fleet = Fleet::new(2, 1);
    let mut report = fleet.report(1);
    report.store.response_age_ms = Some(20);
    report.sync_state.upstreams_offset = 40;
    let later = StorePosition::new(StoreEra(1), 40);
    assert_eq!(report.news_age(later), None);
    report.sync_state.era = Some(StoreEra(1));
    assert_eq!(report.news_age(position(40)), None);
    assert!(report.news_age(later).is_some());
    report.sync_state.upstreams_offset = 0;
    assert_eq!(report.news_age(later), None, "it has not read them yet");
}

fn position(offset: u64) -> StorePosition {
    StorePosition::new(StoreEra::default(), offset)
}

#[test]
fn a_forwarded_report_never_replaces_a_newer_one() {
    let mut fleet = Fleet::new(2, 1);
    let mut table = MemberTable::default();
    let mut report = |sequence, incarnation| {
        fleet.nodes[1].sequence = sequence;
        fleet.nodes[1].card.incarnation = Incarnation(incarnation);
        fleet.report(1)
    };
    assert!(table.record_report(report(5, 1), ReportPath::Direct, at(0)));
    table.record_report(report(4, 1), ReportPath::Forwarded, at(900));
    table.record_report(report(9, 0), ReportPath::Forwarded, at(900));
    let known = table.all().next().unwrap();
    assert_eq!((known.report.sequence, known.report.card.incarnation.0), (5, 1));
    assert_eq!(
        table.live(at(1_001)).count(),
        0,
        "an old report does not keep an instance alive"
    );
    table.record_report(report(1, 2), ReportPath::Direct, at(1_100));
    assert_eq!(table.all().next().unwrap().report.card.incarnation.0, 2);
}

#[test]
fn ages_in_forwarded_reports_include_the_time_since_receipt() {
    let fleet = Fleet::new(2, 1);
    let mut table = MemberTable::default();
    let mut report = fleet.report(1);
    report.store = StoreContact {
        response_age_ms: Some(300),
        recovery_age_ms: Some(2_000),
    };
    table.record_report(report, ReportPath::Direct, at(5_000));
    let known = table.all().next().unwrap();
    assert_eq!(known.store_response_at(), Some(at(4_700)));
    let forwarded = known.forwarded(at(5_250)).store;
    assert_eq!(
        (forwarded.response_age_ms, forwarded.recovery_age_ms),
        (Some(550), Some(2_250))
    );
}
