//! Authority over duties, checked over random schedules of instances and a store with lost and late answers.

use std::time::Duration;

use marigoldlock_wire::prelude::*;
use proptest::prelude::{Strategy, any, proptest};
use proptest::test_runner::Config;
use proptest::{collection, prop_assert, prop_assert_eq};

use super::at;
use crate::gateway::duty::{DutyLedger, DutyRecord};
use crate::time::MonoTime;

const LEASE: Duration = Duration::from_millis(3_000);

fn claim(holder: &str) -> DutyRecord {
    DutyRecord::Claim {
        holder: InstanceId::from(holder),
        incarnation: Incarnation(1),
    }
}

#[test]
fn fencing_numbers_grow_and_only_the_latest_claim_counts() {
    let mut ledger = DutyLedger::default();
    ledger.apply(0, claim("a"), at(0));
    assert_eq!(ledger.fence_of(&InstanceId::from("a"), Incarnation(1)), Some(1));
    ledger.apply(1, claim("b"), at(10));
    assert_eq!(ledger.fence_of(&InstanceId::from("a"), Incarnation(1)), None);
    assert_eq!(ledger.fence_of(&InstanceId::from("b"), Incarnation(1)), Some(2));
    assert_eq!(
        ledger.fence_of(&InstanceId::from("b"), Incarnation(2)),
        None,
        "a restart is another holder"
    );
    ledger.apply(0, claim("a"), at(20));
    assert_eq!(
        ledger.claim().unwrap().fence,
        2,
        "a record that was read before changes nothing"
    );
}

#[test]
fn a_claim_waits_for_the_lease_of_the_last_one() {
    let mut ledger = DutyLedger::default();
    assert!(ledger.may_claim(at(0), LEASE));
    ledger.apply(0, claim("a"), at(0));
    assert!(!ledger.may_claim(at(3_000), LEASE));
    assert!(ledger.may_claim(at(3_001), LEASE));
}

#[test]
fn a_window_that_is_fixed_stays_as_it_is() {
    let mut ledger = DutyLedger::default();
    let counts = |count| vec![(CustomerId::from("acme"), count)];
    for (offset, count) in [(0, 5), (1, 6)] {
        let record = DutyRecord::Usage {
            window: 3,
            counts: counts(count),
        };
        ledger.apply(offset, record, at(0));
    }
    assert_eq!(ledger.usage(3), Some(counts(5).as_slice()));
}

/// What one instance does at one step of a schedule.
#[derive(Clone, Copy, Debug)]
enum Step {
    Read(usize),
    Claim(usize),
    Fix(usize, u64),
    Report(usize, u64),
    LateAppends,
    Wait(u64),
}

fn steps() -> impl Strategy<Value = Vec<(Step, u8)>> {
    let step = (0_u8..7, 0_usize..3, 0_u64..3, any::<u8>()).prop_map(|(kind, who, window, fate)| {
        let step = match kind {
            0 => Step::Read(who),
            1 => Step::Claim(who),
            2 => Step::Fix(who, window),
            3 | 4 => Step::Report(who, window),
            5 => Step::LateAppends,
            _ => Step::Wait(window * 1_700),
        };
        (step, fate)
    });
    collection::vec(step, 1..80)
}

/// A store with conditional appends, and a platform that checks fencing numbers.
#[derive(Default)]
struct World {
    log: Vec<DutyRecord>,
    late: Vec<(u64, DutyRecord)>,
    highest_fence: u64,
    accepted: FastMap<u64, (Vec<(CustomerId, u64)>, u64)>,
    ledgers: [DutyLedger; 3],
    held: [Option<u64>; 3],
    now: u64,
}

/// A mistake that the check must catch.
#[derive(Clone, Copy, Debug, PartialEq)]
enum Seeded {
    None,
    /// Takes a record as appended although no answer came.
    Assumed,
    /// Reports figures that are not fixed.
    Unfixed,
}

impl World {
    fn id(who: usize) -> InstanceId {
        InstanceId::from(["a", "b", "c"][who])
    }

    fn time(&self) -> MonoTime {
        at(self.now)
    }

    /// Appends if the log ends at `end`; `fate` may lose the answer or make the append late.
    fn append(&mut self, who: usize, record: DutyRecord, fate: u8, seeded: Seeded) -> bool {
        let end = self.ledgers[who].next_offset();
        let fits = end == self.log.len() as u64;
        if seeded == Seeded::Assumed && fate % 4 < 2 {
            let now = self.time();
            self.ledgers[who].apply(end, record.clone(), now);
        }
        match fate % 4 {
            0 => {
                self.late.push((end, record));
                false
            }
            _ if !fits => false,
            answer => {
                self.log.push(record);
                answer != 1
            }
        }
    }

    fn read(&mut self, who: usize) {
        let now = self.time();
        let from = self.ledgers[who].next_offset() as usize;
        for offset in from..self.log.len() {
            self.ledgers[who].apply(offset as u64, self.log[offset].clone(), now);
        }
        self.held[who] = self.ledgers[who].fence_of(&Self::id(who), Incarnation(1));
    }

    /// Runs a step; returns false if a window was accepted with two figures.
    fn run(&mut self, step: Step, fate: u8, seeded: Seeded) -> bool {
        match step {
            Step::Wait(millis) => self.now += millis,
            Step::Read(who) => self.read(who),
            Step::Claim(who) => {
                if self.ledgers[who].may_claim(self.time(), LEASE) && self.held[who].is_none() {
                    let record = claim(Self::id(who).as_str());
                    if self.append(who, record, fate, seeded) {
                        self.read(who);
                    }
                }
            }
            Step::Fix(who, window) => {
                if self.held[who].is_some() && self.ledgers[who].usage(window).is_none() {
                    // Each instance knows other figures.
                    let counts = vec![(CustomerId::from("acme"), who as u64 + self.now)];
                    if self.append(who, DutyRecord::Usage { window, counts }, fate, seeded) {
                        self.read(who);
                    }
                }
            }
            Step::LateAppends => {
                for (end, record) in std::mem::take(&mut self.late) {
                    if end == self.log.len() as u64 {
                        self.log.push(record);
                    }
                }
            }
            Step::Report(who, window) => return self.report(who, window, seeded),
        }
        true
    }

    fn report(&mut self, who: usize, window: u64, seeded: Seeded) -> bool {
        let Some(fence) = self.held[who] else { return true };
        let fixed = self.ledgers[who].usage(window).map(<[_]>::to_vec);
        let unfixed = || vec![(CustomerId::from("acme"), who as u64 + self.now)];
        let counts = match (fixed, seeded) {
            (Some(counts), _) => counts,
            (None, Seeded::Unfixed) => unfixed(),
            (None, _) => return true,
        };
        if fence < self.highest_fence {
            self.held[who] = None;
            return true;
        }
        self.highest_fence = fence;
        let (known, _) = self
            .accepted
            .entry(window)
            .or_insert_with(|| (counts.clone(), fence));
        *known == counts
    }
}

fn holds(schedule: &[(Step, u8)], seeded: Seeded) -> bool {
    let mut world = World::default();
    schedule
        .iter()
        .all(|(step, fate)| world.run(*step, *fate, seeded))
}

fn config() -> Config {
    Config {
        cases: 4_000,
        failure_persistence: None,
        rng_seed: proptest::test_runner::RngSeed::Fixed(41),
        ..Config::default()
    }
}

proptest! {
    #![proptest_config(config())]

    #[test]
    fn no_window_is_accepted_with_two_figures(schedule in steps()) {
        prop_assert!(holds(&schedule, Seeded::None));
    }

    #[test]
    fn all_instances_read_the_same_claims(schedule in steps()) {
        let mut world = World::default();
        for (step, fate) in schedule {
            world.run(step, fate, Seeded::None);
        }
        for who in 0..3 {
            world.read(who);
        }
        let fences: Vec<Option<u64>> =
            world.ledgers.iter().map(|ledger| ledger.claim().map(|claim| claim.fence)).collect();
        prop_assert_eq!(fences[0], fences[1]);
        prop_assert_eq!(fences[1], fences[2]);
        prop_assert!(world.held.iter().flatten().count() <= 1);
    }
}

#[test]
fn seeded_mistakes_are_caught() {
    use proptest::strategy::ValueTree;
    use proptest::test_runner::TestRunner;

    for seeded in [Seeded::Assumed, Seeded::Unfixed] {
        let mut runner = TestRunner::new(config());
        let found = (0..4_000).any(|_| {
            let schedule = steps().new_tree(&mut runner).unwrap().current();
            !holds(&schedule, seeded)
        });
        assert!(found, "{seeded:?} was not caught");
    }
}
