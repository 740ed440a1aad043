//! Tests of when the counts of a usage window are fixed: fleets whose heartbeats come rarely, and instances that are cut off
//! while windows end.

use std::net::SocketAddr;
use std::time::Duration;

use marigoldlock_wire::prelude::*;

use super::at;
use crate::gateway::exchange::FleetView;
use crate::gateway::members::{MemberCard, MemberReport, MemberStage, MemberTable, ReportPath};
use crate::gateway::usage::{EndedWindow, UsageCounts, WindowCounts};
use crate::time::MonoTime;

const DUE: Duration = Duration::from_secs(10);

fn card(number: usize) -> MemberCard {
    let address = |port| SocketAddr::from(([10, 0, (number / 250) as u8, (number % 250) as u8], port));
    MemberCard {
        id: InstanceId::from(format!("i{number}")),
        incarnation: Incarnation(number as u64),
        front: address(80),
        peer: address(7780),
        data_centre: DataCentre::from("dc"),
        weight: 12,
    }
}

/// The holder of the duties in a fleet, and what it was told.
struct Holder {
    card: MemberCard,
    members: MemberTable,
    usage: UsageCounts,
    held_since: MonoTime,
}

impl Holder {
    fn new(fleet: usize) -> Self {
        let mut holder = Self {
            card: card(0),
            members: MemberTable::default(),
            usage: UsageCounts::default(),
            held_since: at(0),
        };
        for number in 1..fleet {
            holder.hear(number, MemberStage::Ready, at(60_000));
        }
        holder
    }

    fn hear(&mut self, number: usize, stage: MemberStage, now: MonoTime) {
        let report = MemberReport {
            stage,
            ..MemberReport::new(card(number))
        };
        self.members.record_report(report, ReportPath::Direct, now);
    }

    /// An instance tells its counts; its clock is in window `current`.
    fn tell(&mut self, number: usize, current: u64) {
        let source = (card(number).id, Incarnation(number as u64));
        for (window, count) in [(current - 1, 5), (current, 1)] {
            let counts = vec![(CustomerId::from("acme"), count)];
            self.usage.merge(&source, &WindowCounts { window, counts });
        }
    }

    fn may_fix(&self, window: u64, ended_ms: u64, now: MonoTime) -> bool {
        let view = FleetView {
            own: &self.card,
            members: &self.members,
            now,
        };
        let ended = EndedWindow {
            window,
            ended_for: Duration::from_millis(ended_ms),
            due: DUE,
            held_since: self.held_since,
        };
        self.usage.may_fix(ended, &view)
    }
}

/// At 295 instances, those of other data centres tell their counts every 2.2 s: after 1.5 s, a third of them lacked some.
#[test]
fn a_window_waits_for_heartbeats_that_come_rarely() {
    let mut holder = Holder::new(295);
    for number in 1..294 {
        holder.tell(number, 8);
    }
    holder.tell(294, 7);
    assert!(
        !holder.may_fix(7, 1_600, at(61_600)),
        "one has not told of a later window"
    );
    holder.tell(294, 8);
    assert!(!holder.may_fix(7, 1_400, at(61_400)), "clocks differ");
    assert!(holder.may_fix(7, 1_600, at(61_600)));
}

/// A third of the instances is cut off while a window ends, and tells its counts before the report is due.
#[test]
fn a_window_waits_for_instances_that_are_cut_off_as_long_as_its_report_can() {
    let mut holder = Holder::new(60);
    for number in 1..40 {
        holder.tell(number, 8);
    }
    assert!(!holder.may_fix(7, 5_000, at(65_000)));
    let mut healed = Holder::new(60);
    for number in 1..60 {
        healed.tell(number, 9);
    }
    assert!(healed.may_fix(7, 5_000, at(65_000)));
    assert!(!holder.may_fix(7, 6_900, at(66_900)));
    assert!(
        holder.may_fix(7, 7_000, at(67_000)),
        "the rest of the time is for the call"
    );
}

/// An instance that was lost for good has told nothing and never will.
#[test]
fn a_window_does_not_wait_for_instances_that_were_lost_before() {
    let mut holder = Holder::new(3);
    for number in [1, 2] {
        holder.hear(number, MemberStage::Ready, at(70_000));
    }
    holder.tell(1, 8);
    assert!(!holder.may_fix(7, 2_000, at(79_999)));
    assert!(holder.may_fix(7, 2_000, at(80_000)));
    holder.hear(2, MemberStage::Starting, at(80_000));
    assert!(holder.may_fix(7, 2_000, at(80_000)), "it has served nothing yet");
}

/// All instances have to learn who holds the duties now before they tell it their counts; a window whose report was late
/// anyway was fixed with those of the own data centre.
#[test]
fn a_new_holder_waits_until_all_instances_know_it() {
    let mut holder = Holder::new(295);
    holder.held_since = at(60_000);
    holder.tell(1, 8);
    assert!(!holder.may_fix(6, 9_000, at(64_000)));
    assert!(holder.may_fix(6, 11_000, at(66_000)));
    let mut small = Holder::new(6);
    small.held_since = at(60_000);
    small.tell(1, 8);
    assert!(small.may_fix(6, 9_000, at(60_800)), "news spreads within 0.7 s");
}

/// The holder is lost together with others late in the time for a report: those that are left have told its successor already,
/// and the others are not waited for, else the report comes too late.
#[test]
fn a_successor_that_all_have_told_reports_without_those_that_are_lost() {
    let mut holder = Holder::new(295);
    holder.held_since = at(68_500);
    for number in 1..250 {
        holder.hear(number, MemberStage::Ready, at(69_000));
        holder.tell(number, 8);
    }
    assert!(!holder.may_fix(7, 6_900, at(69_900)), "there is time");
    assert!(holder.may_fix(7, 7_000, at(70_000)));
    holder.hear(294, MemberStage::Ready, at(70_000));
    assert!(
        !holder.may_fix(7, 7_000, at(70_000)),
        "it may not know the new holder yet"
    );
}

/// One instance of hundreds is lost, as the holder may be next: the window is reported as soon as the others have told.
#[test]
fn a_window_does_not_wait_for_a_few_of_hundreds() {
    let mut holder = Holder::new(295);
    for number in 1..290 {
        holder.tell(number, 8);
        holder.hear(number, MemberStage::Ready, at(66_000));
    }
    assert!(!holder.may_fix(7, 2_000, at(64_000)), "they may be heard yet");
    assert!(holder.may_fix(7, 2_000, at(66_000)));
    for number in 280..290 {
        holder.hear(number, MemberStage::Ready, at(60_000));
        holder.tell(number, 8);
    }
    assert!(
        holder.may_fix(7, 2_000, at(66_000)),
        "these have told before they fell silent"
    );
}

/// Without a request in the current window, an instance tells that the one before is complete all the same.
#[test]
fn an_empty_window_completes_the_one_before() {
    let mut holder = Holder::new(2);
    let source = (card(1).id, Incarnation(1));
    let counts = Vec::new();
    holder.usage.merge(&source, &WindowCounts { window: 8, counts });
    assert!(holder.may_fix(7, 1_600, at(61_600)));
    assert!(holder.usage.total(8).is_empty());
}
