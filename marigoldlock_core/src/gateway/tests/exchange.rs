//! Heartbeats, relays and followers of fleets of all sizes, on a virtual network.

use std::net::SocketAddr;

use marigoldlock_wire::prelude::*;

use super::at;
use crate::gateway::exchange::{FleetView, interval};
use crate::gateway::members::{MemberCard, MemberReport, MemberStage, MemberTable, ReportPath, StoreContact};
use crate::time::MonoTime;

fn card(number: usize, sites: usize, weight: u32) -> MemberCard {
    let address = |port| SocketAddr::from(([10, 0, (number / 250) as u8, (number % 250) as u8], port));
    MemberCard {
        id: InstanceId::from(format!("i{number}")),
        incarnation: Incarnation(number as u64),
        front: address(80),
        peer: address(7780),
        data_centre: DataCentre::from(format!("dc{}", number % sites)),
        weight,
    }
}

struct Node {
    card: MemberCard,
    members: MemberTable,
    sequence: u64,
    is_live: bool,
    answer_age_ms: Option<u32>,
    duty_fence: Option<u64>,
    sent: usize,
}

/// A fleet whose heartbeats arrive at once, or not at all.
struct Fleet {
    nodes: Vec<Node>,
    now: MonoTime,
    round: u64,
    /// One datagram in so many is lost.
    loses_one_in: u64,
    /// Links that are cut, by the index of both ends.
    is_cut: fn(usize, usize) -> bool,
    datagrams: u64,
}

impl Fleet {
    fn new(count: usize, sites: usize) -> Self {
        let nodes = (0..count).map(|number| Node {
            card: card(number, sites, if number < sites { 50 } else { 12 }),
            members: MemberTable::default(),
            sequence: 0,
            is_live: true,
            answer_age_ms: Some(0),
            duty_fence: None,
            sent: 0,
        });
        let mut fleet = Self {
            nodes: nodes.collect(),
            now: at(10_000),
            round: 0,
            loses_one_in: u64::MAX,
            is_cut: |_, _| false,
            datagrams: 0,
        };
        // As at a start: each has read the cards of those that wrote theirs before it.
        for number in 0..count {
            for other in 0..number {
                let card = fleet.nodes[other].card.clone();
                fleet.nodes[number].members.learn(card, fleet.now);
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
                answer_age_ms: node.answer_age_ms,
                back_age_ms: None,
            },
            duty_fence: node.duty_fence,
            ..MemberReport::new(node.card.clone())
        }
    }

    /// One heartbeat of every live instance.
    fn step(&mut self) {
        self.round += 1;
        self.now = self.now + interval(self.nodes.len());
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
            let (for_near, for_far) = if targets.is_relay {
                (view.forwarded(false), view.forwarded(true))
            } else {
                (Vec::new(), Vec::new())
            };
            let near: FastSet<SocketAddr> = targets.near.into_iter().collect();
            let far: FastSet<SocketAddr> = targets.far.into_iter().collect();
            let answers: FastSet<SocketAddr> = targets.answers.into_iter().collect();
            self.nodes[number].sent = near.len() + far.len() + answers.len();
            let groups = [
                (near, for_near, ReportPath::Direct),
                (far, for_far, ReportPath::Direct),
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
        let Some(at) = self.nodes.iter().position(|node| node.card.peer == to) else {
            return;
        };
        if !self.nodes[at].is_live
            || (self.is_cut)(from, at)
            || self.datagrams.is_multiple_of(self.loses_one_in)
        {
            return;
        }
        let node = &mut self.nodes[at];
        node.members.hear(own.clone(), path, now);
        for report in forwarded {
            if report.card.id != node.card.id {
                node.members.hear(report.clone(), ReportPath::Forwarded, now);
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

    /// Live instances that don't know exactly the live ones.
    fn uninformed(&self) -> Vec<&InstanceId> {
        let live = self.live();
        let nodes = self.nodes.iter().filter(|node| node.is_live);
        nodes
            .filter(|node| {
                let known = node.members.live(self.now);
                let right = known.filter(|member| {
                    let card = member.card();
                    self.nodes
                        .iter()
                        .any(|other| other.is_live && other.card.id == card.id)
                });
                right.count() + 1 != live || node.members.live(self.now).count() + 1 != live
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

/// Heartbeats after which everybody must know everybody: one for each of the three ways of a report, and as many
/// again until relays are found.
const ROUNDS_TO_MEET: usize = 8;

#[test]
fn a_small_fleet_is_fully_meshed_and_all_of_it_follows_the_store() {
    for (count, sites) in [(1, 1), (2, 1), (6, 4), (8, 3)] {
        let mut fleet = Fleet::new(count, sites);
        fleet.steps(ROUNDS_TO_MEET);
        assert!(fleet.uninformed().is_empty());
        for node in &fleet.nodes {
            assert_eq!(node.sent, count - 1, "{count} instances at {sites} sites");
        }
        assert_eq!(fleet.followers().len(), count.min(6));
    }
}

#[test]
fn heartbeats_of_a_large_fleet_grow_with_a_site_and_not_with_the_fleet() {
    for (count, sites) in [(63, 3), (72, 5), (120, 5), (400, 9)] {
        let mut fleet = Fleet::new(count, sites);
        fleet.steps(ROUNDS_TO_MEET);
        assert!(
            fleet.uninformed().is_empty(),
            "{count} instances at {sites} sites"
        );
        fleet.steps(3);
        let near = count.div_ceil(sites);
        let most = fleet.nodes.iter().map(|node| node.sent).max().unwrap();
        assert!(
            most < near + 3 * sites,
            "{most} heartbeats a round at one of {count}"
        );
        let relays = (0..count).filter(|number| fleet.view(*number).targets(1).is_relay);
        assert!(relays.count() <= 10.max(2 * sites));
        // Each instance reads a bounded number of reports, however large the fleet is.
        assert!(count as f64 / interval(count).as_secs_f64() <= 800.0);
    }
}

#[test]
fn lost_datagrams_make_nobody_look_dead() {
    let mut fleet = Fleet::new(72, 5);
    fleet.loses_one_in = 12;
    fleet.steps(ROUNDS_TO_MEET * 2);
    for _ in 0..100 {
        fleet.step();
        assert!(fleet.uninformed().is_empty());
    }
}

#[test]
fn the_next_in_rank_relays_when_all_relays_of_a_site_die_at_once() {
    let mut fleet = Fleet::new(72, 5);
    fleet.steps(ROUNDS_TO_MEET);
    for number in 0..72 {
        let targets = fleet.view(number).targets(1);
        if targets.is_relay && fleet.nodes[number].card.data_centre.as_str() == "dc2" {
            fleet.nodes[number].is_live = false;
        }
    }
    assert!(fleet.live() < 72);
    // They are missed after the silence, then the next ones must meet the other sites.
    fleet.steps(6 + ROUNDS_TO_MEET * 2);
    assert!(fleet.uninformed().is_empty(), "{:?}", fleet.uninformed());
}

#[test]
fn sites_whose_relays_are_cut_from_each_other_meet_through_other_instances() {
    let mut fleet = Fleet::new(72, 5);
    fleet.steps(ROUNDS_TO_MEET);
    // The largest instance of each site is cut from the largest of the others; they are the first relays.
    fleet.is_cut = |from, to| from < 5 && to < 5;
    fleet.steps(ROUNDS_TO_MEET * 3);
    assert!(fleet.uninformed().is_empty(), "{:?}", fleet.uninformed());
}

#[test]
fn a_cut_site_is_found_again_when_the_cut_heals() {
    let mut fleet = Fleet::new(72, 5);
    fleet.steps(ROUNDS_TO_MEET);
    fleet.is_cut = |from, to| (from % 5 == 1) != (to % 5 == 1);
    fleet.steps(ROUNDS_TO_MEET * 3);
    assert!(!fleet.uninformed().is_empty());
    fleet.is_cut = |_, _| false;
    fleet.steps(4 + ROUNDS_TO_MEET * 2);
    assert!(fleet.uninformed().is_empty(), "{:?}", fleet.uninformed());
}

#[test]
fn the_next_in_rank_follow_when_followers_lose_the_store() {
    let mut fleet = Fleet::new(72, 5);
    fleet.steps(ROUNDS_TO_MEET);
    let first = fleet.followers();
    assert_eq!(first.len(), 6);
    assert!(
        first.iter().filter(|number| **number < 5).count() == 5,
        "large ones first"
    );
    // Some are refused at once, some hang: their last answer grows old.
    for number in &first[..3] {
        fleet.nodes[*number].answer_age_ms = None;
    }
    fleet.nodes[first[3]].answer_age_ms = Some(1_700);
    fleet.steps(3);
    let second = fleet.followers();
    let answered = second
        .iter()
        .filter(|number| fleet.nodes[**number].answer_age_ms.is_some_and(|age| age < 1_000));
    assert_eq!(answered.count(), 6);
}

#[test]
fn an_instance_that_hears_nobody_follows_the_store_itself() {
    let mut fleet = Fleet::new(72, 5);
    fleet.steps(ROUNDS_TO_MEET);
    let last = (0..72)
        .rev()
        .find(|number| !fleet.followers().contains(number))
        .unwrap();
    assert!(!fleet.view(last).is_follower());
    fleet.now = at(60_000);
    assert!(fleet.view(last).is_follower());
}

#[test]
fn a_store_that_answers_nobody_is_tried_by_few_first_and_by_all_in_the_end() {
    let mut fleet = Fleet::new(72, 5);
    fleet.steps(ROUNDS_TO_MEET);
    let mut tried = Vec::new();
    for age in [1_700, 3_200, 10_000] {
        for node in &mut fleet.nodes {
            node.answer_age_ms = Some(age);
        }
        fleet.steps(3);
        tried.push(fleet.followers().len());
    }
    assert!(tried[0] <= 24, "{tried:?}");
    assert!(tried.is_sorted());
    assert_eq!(tried[2], 72);
}

#[test]
fn usage_is_kept_by_the_holder_and_by_those_who_would_succeed_it() {
    let mut fleet = Fleet::new(72, 5);
    fleet.nodes[70].duty_fence = Some(3);
    fleet.steps(ROUNDS_TO_MEET);
    let keepers = fleet.view(30).targets(1).keepers;
    assert_eq!(keepers.len(), 5);
    assert!(keepers.contains(&fleet.nodes[70].card.peer));
    // Whatever its data centre, every instance reaches every keeper within a few rounds.
    for number in 0..72 {
        let mut reached: FastSet<SocketAddr> = FastSet::default();
        for round in 1..=3 {
            let targets = fleet.view(number).targets(round);
            reached.extend(targets.near.iter().chain(&targets.far).chain(&targets.answers));
        }
        let own = fleet.nodes[number].card.peer;
        let missing = keepers
            .iter()
            .filter(|keeper| **keeper != own && !reached.contains(*keeper));
        assert_eq!(missing.count(), 0, "instance {number}");
    }
    let ranked = fleet.view(30).ranked();
    for card in ranked.iter().take(4) {
        assert!(keepers.contains(&card.peer));
    }
    assert_eq!(
        ranked.iter().map(|card| &card.id).collect::<Vec<_>>(),
        fleet
            .view(31)
            .ranked()
            .iter()
            .map(|card| &card.id)
            .collect::<Vec<_>>(),
        "all agree on the order"
    );
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
    assert!(table.hear(report(5, 1), ReportPath::Direct, at(0)));
    table.hear(report(4, 1), ReportPath::Forwarded, at(900));
    table.hear(report(9, 0), ReportPath::Forwarded, at(900));
    let known = table.all().next().unwrap();
    assert_eq!((known.report.sequence, known.report.card.incarnation.0), (5, 1));
    assert_eq!(table.live(at(1_001)).count(), 0, "old news keep nobody alive");
    table.hear(report(1, 2), ReportPath::Direct, at(1_100));
    assert_eq!(table.all().next().unwrap().report.card.incarnation.0, 2);
}

#[test]
fn the_age_of_what_is_told_grows_on_the_way() {
    let fleet = Fleet::new(2, 1);
    let mut table = MemberTable::default();
    let mut told = fleet.report(1);
    told.store = StoreContact {
        answer_age_ms: Some(300),
        back_age_ms: Some(2_000),
    };
    table.hear(told, ReportPath::Direct, at(5_000));
    let known = table.all().next().unwrap();
    assert_eq!(known.store_answer_at(), Some(at(4_700)));
    let passed_on = known.forwarded(at(5_250)).store;
    assert_eq!(
        (passed_on.answer_age_ms, passed_on.back_age_ms),
        (Some(550), Some(2_250))
    );
}
