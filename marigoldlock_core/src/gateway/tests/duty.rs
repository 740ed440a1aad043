//! Tests of the duties stream with random schedules of several instances and a store whose appends may arrive
//! late or lose their response.

use std::time::Duration;

use marigoldlock_wire::prelude::*;
use proptest::prelude::{Strategy, any, proptest};
use proptest::test_runner::Config;
use proptest::{collection, prop_assert, prop_assert_eq};

use super::at;
use crate::gateway::duty::{DutyRecord, DutyState};
use crate::gateway::era::StoreEra;
use crate::time::MonoTime;

const LEASE: Duration = Duration::from_millis(3_000);

fn claim(holder: &str) -> DutyRecord {
    DutyRecord::Claim {
        holder: InstanceId::from(holder),
        incarnation: Incarnation(1),
        era: StoreEra::default(),
        first_window: 0,
    }
}

#[test]
fn fencing_numbers_grow_and_only_the_latest_claim_counts() {
    let mut state = DutyState::default();
    state.apply(0, claim("a"), at(0));
    assert_eq!(state.fence_of(&InstanceId::from("a"), Incarnation(1)), Some(1));
    state.apply(1, claim("b"), at(10));
    assert_eq!(state.fence_of(&InstanceId::from("a"), Incarnation(1)), None);
    assert_eq!(state.fence_of(&InstanceId::from("b"), Incarnation(1)), Some(2));
    assert_eq!(
        state.fence_of(&InstanceId::from("b"), Incarnation(2)),
        None,
        "a restart is another holder"
    );
    state.apply(0, claim("a"), at(20));
    assert_eq!(
        state.claim().unwrap().fence,
        2,
        "a record that was read before changes nothing"
    );
}

#[test]
fn a_claim_waits_for_the_lease_of_the_last_one() {
    let mut state = DutyState::default();
    assert!(state.may_claim(at(0), LEASE));
    state.apply(0, claim("a"), at(0));
    assert!(!state.may_claim(at(3_000), LEASE));
    assert!(state.may_claim(at(3_001), LEASE));
}

#[test]
fn fixed_counts_of_a_window_do_not_change() {
    let mut state = DutyState::default();
    let counts = |count| vec![(CustomerId::from("acme"), count)];
    for (offset, count) in [(0, 5), (1, 6)] {
        let record = state.new_counts(3, counts(count));
        state.apply(offset, record, at(0));
    }
    assert_eq!(state.usage(3), Some(counts(5).as_slice()));
}

/// One step of a schedule.
#[derive(Clone, Copy, Debug)]
enum Step {
    Read(usize),
    Claim(usize),
    FixCounts(usize, u64),
    Report(usize, u64),
    LateAppends,
    Wait(u64),
}

fn steps() -> impl Strategy<Value = Vec<(Step, u8)>> {
    let step = (0_u8..7, 0_usize..3, 0_u64..3, any::<u8>()).prop_map(|(kind, who, window, outcome)| {
        let step = match kind {
            0 => Step::Read(who),
            1 => Step::Claim(who),
            2 => Step::FixCounts(who, window),
            3 | 4 => Step::Report(who, window),
            5 => Step::LateAppends,
            _ => Step::Wait(window * 1_700),
        };
        (step, outcome)
    });
    collection::vec(step, 1..80)
}

/// A store with conditional appends, and a platform that checks fencing numbers.
#[derive(Default)]
struct Simulation {
    log: Vec<DutyRecord>,
    late: Vec<(u64, DutyRecord)>,
    highest_fence: u64,
    accepted: FastMap<u64, (Vec<(CustomerId, u64)>, u64)>,
    states: [DutyState; 3],
    held: [Option<u64>; 3],
    now: u64,
}

/// A deliberate error that the test must detect.
#[derive(Clone, Copy, Debug, PartialEq)]
enum SeededError {
    None,
    /// Treats a record as appended although no response arrived.
    AssumedAppend,
    /// Reports counts that were not fixed first.
    UnfixedReport,
}

impl Simulation {
    fn id(who: usize) -> InstanceId {
        InstanceId::from(["a", "b", "c"][who])
    }

    fn time(&self) -> MonoTime {
        at(self.now)
    }

    /// Appends if the log ends at `end`; `outcome` may lose the response or delay the append.
    fn append(&mut self, who: usize, record: DutyRecord, outcome: u8, error: SeededError) -> bool {
        let end = self.states[who].next_offset();
        let is_at_end = end == self.log.len() as u64;
        if error == SeededError::AssumedAppend && outcome % 4 < 2 {
            let now = self.time();
            self.states[who].apply(end, record.clone(), now);
        }
        match outcome % 4 {
            0 => {
                self.late.push((end, record));
                false
            }
            _ if !is_at_end => false,
            answer => {
                self.log.push(record);
                answer != 1
            }
        }
    }

    fn read(&mut self, who: usize) {
        let now = self.time();
        let from = self.states[who].next_offset() as usize;
        for offset in from..self.log.len() {
            self.states[who].apply(offset as u64, self.log[offset].clone(), now);
        }
        self.held[who] = self.states[who].fence_of(&Self::id(who), Incarnation(1));
    }

    /// Runs a step; returns false if a window was accepted with two different counts.
    fn run(&mut self, step: Step, outcome: u8, error: SeededError) -> bool {
        match step {
            Step::Wait(millis) => self.now += millis,
            Step::Read(who) => self.read(who),
            Step::Claim(who) => {
                if self.states[who].may_claim(self.time(), LEASE) && self.held[who].is_none() {
                    let record = claim(Self::id(who).as_str());
                    if self.append(who, record, outcome, error) {
                        self.read(who);
                    }
                }
            }
            Step::FixCounts(who, window) => {
                if self.held[who].is_some() && self.states[who].usage(window).is_none() {
                    // Each instance has different counts.
                    let counts = vec![(CustomerId::from("acme"), who as u64 + self.now)];
                    let record = self.states[who].new_counts(window, counts);
                    if self.append(who, record, outcome, error) {
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
            Step::Report(who, window) => return self.report(who, window, error),
        }
        true
    }

    fn report(&mut self, who: usize, window: u64, error: SeededError) -> bool {
        let Some(fence) = self.held[who] else { return true };
        let fixed = self.states[who].usage(window).map(<[_]>::to_vec);
        let unfixed_counts = || vec![(CustomerId::from("acme"), who as u64 + self.now)];
        let counts = match (fixed, error) {
            (Some(counts), _) => counts,
            (None, SeededError::UnfixedReport) => unfixed_counts(),
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

fn holds(schedule: &[(Step, u8)], error: SeededError) -> bool {
    let mut simulation = Simulation::default();
    schedule
        .iter()
        .all(|(step, outcome)| simulation.run(*step, *outcome, error))
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
    fn no_window_is_accepted_with_two_different_counts(schedule in steps()) {
        prop_assert!(holds(&schedule, SeededError::None));
    }

    #[test]
    fn all_instances_see_the_same_claim(schedule in steps()) {
        let mut simulation = Simulation::default();
        for (step, outcome) in schedule {
            simulation.run(step, outcome, SeededError::None);
        }
        for who in 0..3 {
            simulation.read(who);
        }
        let fences: Vec<Option<u64>> =
            simulation.states.iter().map(|state| state.claim().map(|claim| claim.fence)).collect();
        prop_assert_eq!(fences[0], fences[1]);
        prop_assert_eq!(fences[1], fences[2]);
        prop_assert!(simulation.held.iter().flatten().count() <= 1);
    }
}

#[test]
fn seeded_errors_are_detected() {
    use proptest::strategy::ValueTree;
    use proptest::test_runner::TestRunner;

    for error in [SeededError::AssumedAppend, SeededError::UnfixedReport] {
        let mut runner = TestRunner::new(config());
        let found = (0..4_000).any(|_| {
            let schedule = steps().new_tree(&mut runner).unwrap().current();
            !holds(&schedule, error)
        });
        assert!(found, "{error:?} was not detected");
    }
}
