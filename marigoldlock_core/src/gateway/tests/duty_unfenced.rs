//! Tests of the holder's right to send calls to receivers that check no fencing number: random schedules of processes that stop at
//! any point, clocks that run apart, a store whose calls take effect or are answered late and which may come back from a copy, and
//! calls that are executed late.

use std::time::Duration;

use marigoldlock_wire::prelude::*;
use proptest::collection;
use proptest::prelude::{Strategy, any, prop_assert_eq, proptest};
use proptest::strategy::ValueTree;
use proptest::test_runner::{Config, RngSeed, TestRunner};

use super::at;
use crate::gateway::duty::{DutyRecord, DutyState, SEND_SHARE};
use crate::gateway::era::{StoreEra, StorePosition};
use crate::time::MonoTime;

const LEASE: Duration = Duration::from_millis(3_000);
const LEASE_MS: u64 = 3_000;

const PROCESSES: usize = 3;

/// Clock rates of the processes, in thousandths.
const CLOCK_RATES: [u64; PROCESSES] = [1_000, 1_005, 995];

/// A step of one process. A process that is not scheduled for some time is frozen, or its call to the store is slow.
#[derive(Clone, Copy, Debug)]
enum Step {
    /// The store executes a read; its response is on the way.
    Read,
    /// The response of the read arrives.
    ReadResponse,
    /// Sends a claim, or a renewal if the process holds the duties.
    Append,
    /// The store executes the append.
    StoreAppend,
    /// The response of the append arrives.
    AppendResponse,
    /// The response of the append is lost.
    LoseAppend,
    /// Decides that a call is due, and starts to connect.
    Decide,
    /// Checks the right to send and writes the call.
    Write,
    /// The receiver executes the oldest call on the way.
    Execute,
    /// The store comes back from a copy with this many records.
    Return(usize),
}

const STEPS: [Step; 9] = [
    Step::Read,
    Step::ReadResponse,
    Step::Append,
    Step::StoreAppend,
    Step::AppendResponse,
    Step::LoseAppend,
    Step::Decide,
    Step::Write,
    Step::Execute,
];

/// Steps of a process that often come in this order; any of them may be interrupted by the other processes.
const SEQUENCES: [&[Step]; 9] = [
    &[Step::Append, Step::StoreAppend],
    &[Step::AppendResponse, Step::Decide, Step::Write, Step::Execute],
    &[Step::Read, Step::ReadResponse],
    &[Step::Append, Step::StoreAppend, Step::AppendResponse],
    &[Step::Decide],
    &[Step::Write, Step::Execute],
    &[Step::Decide, Step::Write, Step::Execute],
    &[
        Step::Read,
        Step::ReadResponse,
        Step::Append,
        Step::StoreAppend,
        Step::AppendResponse,
    ],
    &[
        Step::Append,
        Step::StoreAppend,
        Step::AppendResponse,
        Step::Decide,
        Step::Write,
        Step::Execute,
    ],
];

/// Steps of a process, each after a time in milliseconds.
type Schedule = Vec<(usize, u64, Step)>;

fn schedules() -> impl Strategy<Value = Schedule> {
    let part =
        (0..PROCESSES, 0_u8..11, 0..STEPS.len(), any::<[u8; 6]>()).prop_map(|(who, kind, single, waits)| {
            let steps = match SEQUENCES.get(usize::from(kind)) {
                Some(sequence) => sequence,
                None => &STEPS[single..=single],
            };
            let wait = |byte: u8| match byte {
                0..170 => 0,
                170..205 => 300,
                205..225 => 1_400,
                _ => 3_200,
            };
            let steps = steps.iter().zip(waits);
            steps
                .map(|(step, byte)| (who, wait(byte), *step))
                .collect::<Schedule>()
        });
    collection::vec(part, 1..40).prop_map(|parts| parts.concat())
}

/// The same, with up to three returns of the store in between. What follows a return at once is often a claim.
fn schedules_with_returns() -> impl Strategy<Value = Schedule> {
    let part = (schedules(), 0_usize..4, 0..PROCESSES, any::<bool>());
    collection::vec(part, 1..4).prop_map(|parts| {
        let parts = parts.into_iter().map(|(mut schedule, length, who, claims)| {
            schedule.push((who, 0, Step::Return(length)));
            if claims {
                let steps = [Step::Read, Step::ReadResponse]
                    .into_iter()
                    .chain(SEQUENCES[8].iter().copied());
                schedule.extend(steps.map(|step| (who, 0, step)));
            }
            schedule
        });
        parts.collect::<Vec<_>>().concat()
    })
}

/// A deliberate error that the test must detect.
#[derive(Clone, Copy, Debug, PartialEq)]
enum SeededError {
    None,
    /// The check right before the bytes are written is left out.
    UncheckedWrite,
    /// The right counts from the response of an append instead of from when it was sent.
    LateGrant,
    /// A successor sends as soon as its claim is confirmed.
    EagerSuccessor,
    /// The first claim after a return is taken for the first of all, which no former holder precedes.
    EagerEra,
}

/// An append of one process.
#[derive(Clone, Debug)]
struct PendingAppend {
    record: DutyRecord,
    end: StorePosition,
    sent_at: MonoTime,
    /// Result of the store and its era, once it has executed the append.
    stored: Option<(bool, StoreEra)>,
}

/// The response to a read.
#[derive(Clone, Debug)]
struct PendingRead {
    from: StorePosition,
    era: StoreEra,
    records: Vec<DutyRecord>,
}

#[derive(Clone, Debug, Default)]
struct Process {
    state: DutyState,
    /// What a read has returned.
    read: Option<PendingRead>,
    append: Option<PendingAppend>,
    /// Fencing number of the call that is due.
    decided: Option<u64>,
}

/// A call on the way to the receiver.
#[derive(Clone, Copy, Debug)]
struct SentCall {
    who: usize,
    fence: u64,
    sent_ms: u64,
}

#[derive(Default)]
struct Simulation {
    now_ms: u64,
    era: StoreEra,
    log: Vec<DutyRecord>,
    processes: [Process; PROCESSES],
    calls: Vec<SentCall>,
    executed: Vec<(usize, u64, u64)>,
}

impl Simulation {
    fn id(who: usize) -> InstanceId {
        InstanceId::from(["a", "b", "c"][who])
    }

    /// Time by the clock of one process.
    fn time(&self, who: usize) -> MonoTime {
        at(100_000 * (who as u64 + 1) + self.now_ms * CLOCK_RATES[who] / 1_000)
    }

    fn run(&mut self, who: usize, step: Step, error: SeededError) {
        let now = self.time(who);
        let id = Self::id(who);
        let store_era = self.era;
        let log = &mut self.log;
        let process = &mut self.processes[who];
        let state = &mut process.state;
        let fence = state.fence_of(&id, Incarnation(1));
        match step {
            Step::Read => {
                let from = state.position();
                process.read = Some(PendingRead {
                    from,
                    era: store_era,
                    records: log.iter().skip(from.offset as usize).cloned().collect(),
                });
            }
            Step::ReadResponse => {
                if let Some(read) = process.read.take()
                    && Self::enter(state, read.era, now, error)
                    && read.from.era == read.era
                {
                    for (offset, record) in (read.from.offset..).zip(read.records) {
                        state.apply(offset, record, now);
                    }
                }
            }
            Step::Append if process.append.is_none() => {
                let record = match fence {
                    Some(fence) => DutyRecord::Renewal { fence },
                    None if state.may_claim(now, LEASE) => state.new_claim(id, Incarnation(1)),
                    None => return,
                };
                process.append = Some(PendingAppend {
                    record,
                    end: state.position(),
                    sent_at: now,
                    stored: None,
                });
            }
            Step::StoreAppend => {
                if let Some(append) = process.append.as_mut().filter(|append| append.stored.is_none()) {
                    let is_stored = append.end.offset == log.len() as u64;
                    append.stored = Some((is_stored, store_era));
                    if is_stored {
                        log.push(append.record.clone());
                    }
                }
            }
            Step::AppendResponse => {
                if let Some(append) = process.append.take_if(|append| append.stored.is_some())
                    && let Some((is_stored, era)) = append.stored
                    && Self::enter(state, era, now, error)
                    && is_stored
                    && append.end.era == era
                {
                    state.apply(append.end.offset, append.record, now);
                    let sent_at = if error == SeededError::LateGrant {
                        now
                    } else {
                        append.sent_at
                    };
                    state.confirm(&id, Incarnation(1), sent_at);
                }
            }
            Step::LoseAppend => {
                process.append.take_if(|append| append.stored.is_some());
            }
            Step::Decide => process.decided = fence.filter(|fence| Self::may_send(state, *fence, now, error)),
            Step::Write => {
                if let Some(fence) = process.decided.take()
                    && (error == SeededError::UncheckedWrite || Self::may_send(state, fence, now, error))
                {
                    self.calls.push(SentCall {
                        who,
                        fence,
                        sent_ms: self.now_ms,
                    });
                }
            }
            Step::Execute => {
                if let Some(place) = self.calls.iter().position(|call| call.who == who) {
                    let call = self.calls.remove(place);
                    self.executed.push((call.who, call.fence, self.now_ms));
                }
            }
            Step::Return(length) => {
                log.truncate(length);
                self.era = StoreEra(store_era.0 + 1);
            }
            Step::Append => {}
        }
    }

    /// A process learns the era of a response; returns false if the response is out of date.
    fn enter(state: &mut DutyState, era: StoreEra, now: MonoTime, error: SeededError) -> bool {
        let known = state.position().era;
        if known < era {
            state.enter_era(era, u64::from(error != SeededError::EagerEra), now);
        }
        known <= era
    }

    fn may_send(state: &DutyState, fence: u64, now: MonoTime, error: SeededError) -> bool {
        let is_allowed = state.may_send(fence, now, LEASE);
        is_allowed || error == SeededError::EagerSuccessor && !state.needs_renewal(now, LEASE)
    }

    fn wait(&mut self, wait_ms: u64) {
        self.now_ms += wait_ms;
        let flight_ms = (LEASE_MS as f64 * (1.0 - SEND_SHARE)) as u64;
        let now_ms = self.now_ms;
        self.calls.retain(|call| now_ms - call.sent_ms <= flight_ms);
    }

    /// What the receiver has seen that must not happen.
    fn violation(&self) -> Option<&'static str> {
        for (place, (who, fence, at_ms)) in self.executed.iter().enumerate() {
            let before = &self.executed[..place];
            if before.iter().any(|(_, other, _)| other > fence) {
                return Some("a lower number after a higher one");
            }
            let Some(between) = before.iter().rposition(|(other, ..)| other != who) else {
                continue;
            };
            let mut earlier = before[..between].iter();
            if earlier.any(|(first, _, first_ms)| first == who && at_ms - first_ms < LEASE_MS) {
                return Some("A, B, A within the lease");
            }
        }
        None
    }
}

fn run(schedule: &[(usize, u64, Step)], error: SeededError) -> Simulation {
    let mut simulation = Simulation::default();
    for (who, wait_ms, step) in schedule {
        simulation.wait(*wait_ms);
        simulation.run(*who, *step, error);
    }
    simulation
}

fn config() -> Config {
    Config {
        cases: 40_000,
        failure_persistence: None,
        rng_seed: RngSeed::Fixed(43),
        ..Config::default()
    }
}

proptest! {
    #![proptest_config(config())]

    /// Guards against calls of a former holder that a platform without a check of fencing numbers executes.
    #[test]
    fn no_call_of_a_former_holder_is_executed(schedule in schedules()) {
        prop_assert_eq!(run(&schedule, SeededError::None).violation(), None);
    }
}

proptest! {
    #![proptest_config(config())]

    /// Guards against calls of a holder, frozen or not, whose claim the store has lost.
    #[test]
    fn no_call_of_a_holder_from_before_a_return_is_executed(schedule in schedules_with_returns()) {
        prop_assert_eq!(run(&schedule, SeededError::None).violation(), None);
    }
}

#[test]
fn an_early_call_after_a_return_is_detected() {
    let mut runner = TestRunner::new(config());
    let found = (0..config().cases).find_map(|case| {
        let schedule = schedules_with_returns().new_tree(&mut runner).unwrap().current();
        let violation = run(&schedule, SeededError::EagerEra).violation()?;
        Some((case, violation))
    });
    println!("{found:?}");
    assert!(found.is_some());
}

/// Schedules must reach what they guard against: successors that send calls after another holder did.
#[test]
fn several_holders_send_calls_in_turn() {
    let mut runner = TestRunner::new(config());
    let successions = (0..config().cases).filter(|_| {
        let schedule = schedules().new_tree(&mut runner).unwrap().current();
        let executed = run(&schedule, SeededError::None).executed;
        executed.windows(2).any(|pair| pair[0].0 != pair[1].0)
    });
    let count = successions.count();
    println!("{count} schedules with calls of two holders");
    assert!(count >= 100, "{count}");
}

#[test]
fn seeded_errors_are_detected() {
    for error in [
        SeededError::UncheckedWrite,
        SeededError::LateGrant,
        SeededError::EagerSuccessor,
    ] {
        let mut runner = TestRunner::new(config());
        let found = (0..config().cases).find_map(|case| {
            let schedule = schedules().new_tree(&mut runner).unwrap().current();
            let violation = run(&schedule, error).violation()?;
            Some((case, violation))
        });
        println!("{error:?}: {found:?}");
        assert!(found.is_some(), "{error:?} was not detected");
    }
}

/// A holder whose append took long must renew its right before it may send.
#[test]
fn the_right_counts_from_when_the_append_was_sent() {
    let mut state = DutyState::default();
    let id = InstanceId::from("a");
    let claim = state.new_claim(id.clone(), Incarnation(1));
    state.apply(0, claim, at(3_000));
    assert!(!state.may_send(1, at(3_000), LEASE), "not confirmed");
    state.confirm(&id, Incarnation(1), at(1_500));
    assert!(!state.may_send(1, at(3_000), LEASE));
    state.confirm(&id, Incarnation(1), at(3_000));
    assert!(state.may_send(1, at(4_499), LEASE));
    assert!(!state.may_send(1, at(4_500), LEASE));
    assert!(!state.may_send(2, at(3_100), LEASE), "another fencing number");
}

/// Records that were dropped before they were read may be renewals of the former holder.
#[test]
fn a_successor_waits_from_its_claim_if_it_has_not_read_the_records_before() {
    let mut state = DutyState::default();
    let id = InstanceId::from("b");
    state.skip_to(7);
    let claim = state.new_claim(id.clone(), Incarnation(1));
    state.apply(7, claim, at(1_000));
    for sent_at in [at(1_000), at(4_000)] {
        state.confirm(&id, Incarnation(1), sent_at);
    }
    assert!(!state.may_send(8, at(4_100), LEASE));
    assert!(state.may_send(8, at(4_150), LEASE));
}
