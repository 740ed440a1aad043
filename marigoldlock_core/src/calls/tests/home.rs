//! Tests of the home table.

use std::time::Duration;

use proptest::prelude::*;

use super::*;
use crate::membership::{MemberLimits, MemberTable, OwnIdentity};

const HOME: Incarnation = Incarnation(7 << 32);
const NOW: MonoTime = MonoTime::from_millis(0);

fn table(limits: HomeLimits) -> HomeTable {
    HomeTable::new(HOME, limits, NOW)
}

fn run(table: &mut HomeTable, key: &str) -> CallTicket {
    match table.begin(table.token(), &identity(key), FINGERPRINT) {
        HomeDecision::Run(ticket) => ticket,
        decision => panic!("{decision:?}"),
    }
}

#[test]
fn a_call_runs_once_and_its_answer_is_replayed() {
    let mut table = table(HomeLimits::default());
    let ticket = run(&mut table, "k");
    assert_eq!(
        table.begin(HOME, &identity("k"), FINGERPRINT),
        HomeDecision::Join(ticket)
    );
    assert_eq!(
        table.begin(HOME, &identity("k"), RequestFingerprint(2)),
        HomeDecision::Refuse(ResultCode::IdempotencyKeyReused)
    );
    assert!(table.settle(ticket, CallOutcome::Answered(answer(3))));
    assert!(
        !table.settle(ticket, CallOutcome::NotRun),
        "a settled call stays settled"
    );
    assert_eq!(
        table.begin(HOME, &identity("k"), FINGERPRINT),
        HomeDecision::Replay(answer(3))
    );
}

#[test]
fn only_a_call_that_was_not_run_runs_again() {
    let mut table = table(HomeLimits::default());
    let ticket = run(&mut table, "k");
    table.settle(ticket, CallOutcome::NotRun);
    let second = run(&mut table, "k");
    assert!(
        !table.settle(ticket, CallOutcome::Unknown),
        "the first run has ended"
    );
    table.settle(second, CallOutcome::Unknown);
    let refused = HomeDecision::Refuse(ResultCode::OutcomeUnknown);
    assert_eq!(table.begin(HOME, &identity("k"), FINGERPRINT), refused);
}

#[test]
fn a_full_table_refuses_new_calls_and_removes_none() {
    let limits = HomeLimits {
        max_keys: 3,
        max_keys_per_customer: 2,
        ..HomeLimits::default()
    };
    let mut table = table(limits);
    run(&mut table, "a");
    run(&mut table, "b");
    let refused = table.begin(HOME, &identity("c"), FINGERPRINT);
    assert_eq!(refused, HomeDecision::Refuse(ResultCode::CustomerLimit));
    let other = |key| CallIdentity {
        customer: Some("vinyl"),
        ..identity(key)
    };
    assert!(matches!(
        table.begin(HOME, &other("a"), FINGERPRINT),
        HomeDecision::Run(_)
    ));
    let refused = table.begin(HOME, &other("b"), FINGERPRINT);
    assert_eq!(refused, HomeDecision::Refuse(ResultCode::InstanceOverloaded));
    assert!(matches!(
        table.begin(HOME, &identity("a"), FINGERPRINT),
        HomeDecision::Join(_)
    ));
}

#[test]
fn stored_answers_stay_within_the_limits() {
    let limits = HomeLimits {
        max_stored_bytes: 10,
        max_answer_bytes: 6,
        ..HomeLimits::default()
    };
    let mut table = table(limits);
    for (key, bytes) in [("a", 6), ("b", 6), ("c", 7)] {
        let ticket = run(&mut table, key);
        table.settle(ticket, CallOutcome::Answered(answer(bytes)));
    }
    let dropped = HomeDecision::Refuse(ResultCode::AnswerNotKept);
    assert_eq!(table.begin(HOME, &identity("a"), FINGERPRINT), dropped);
    assert_eq!(
        table.begin(HOME, &identity("b"), FINGERPRINT),
        HomeDecision::Replay(answer(6))
    );
    assert_eq!(table.begin(HOME, &identity("c"), FINGERPRINT), dropped);
    assert_eq!(table.stored_bytes(), 6);
}

#[test]
fn a_removed_generation_has_no_home() {
    let limits = HomeLimits::default();
    let mut table = table(limits);
    let ticket = run(&mut table, "a");
    let later = NOW + limits.generation_duration;
    table.tick(later);
    let newer = table.token();
    assert_ne!(newer, HOME);
    assert!(matches!(
        table.begin(HOME, &identity("a"), FINGERPRINT),
        HomeDecision::Join(_)
    ));
    table.tick(later + limits.retention);
    assert!(table.is_home(HOME), "a call of this generation is still running");
    table.settle(ticket, CallOutcome::Answered(answer(1)));
    table.tick(later + limits.retention);
    assert!(!table.is_home(HOME));
    let gone = HomeDecision::Refuse(ResultCode::HomeGone);
    assert_eq!(table.begin(HOME, &identity("a"), FINGERPRINT), gone);
    assert_eq!((table.len(), table.stored_bytes()), (0, 0));
}

#[test]
fn a_leaving_home_refuses_new_calls_but_answers_known_ones() {
    let mut table = table(HomeLimits::default());
    let ticket = run(&mut table, "a");
    table.leave();
    let refused = HomeDecision::Refuse(ResultCode::InstanceLeaving);
    assert_eq!(table.begin(HOME, &identity("b"), FINGERPRINT), refused);
    table.settle(ticket, CallOutcome::Answered(answer(1)));
    assert_eq!(
        table.begin(HOME, &identity("a"), FINGERPRINT),
        HomeDecision::Replay(answer(1))
    );
}

#[test]
fn a_key_is_routed_only_to_its_home() {
    let table = table(HomeLimits::default());
    let own = OwnIdentity {
        instance: "own".into(),
        incarnation: HOME,
        data_centre: "a".into(),
    };
    let mut members = MemberTable::new(own, MemberLimits::default());
    let heartbeat = |incarnation: u64, started_ms| marigoldlock_wire::peer::Heartbeat {
        instance: "b".into(),
        incarnation: Incarnation(incarnation << 32),
        sequence: 1,
        peer_address: "b:81".into(),
        started_ms,
        ..Default::default()
    };
    members.on_heartbeat(&heartbeat(8, 1), NOW);
    let route = |members: &MemberTable, home| HomeRoute::find(Incarnation(home), &table, members);
    assert_eq!(route(&members, 7 << 32), HomeRoute::Local);
    let forward = HomeRoute::Forward {
        instance: "b".into(),
        peer_address: "b:81".into(),
    };
    assert_eq!(route(&members, 8 << 32), forward);
    assert_eq!(
        route(&members, (8 << 32) + 5),
        forward,
        "a later generation's token"
    );
    assert_eq!(route(&members, 9 << 32), HomeRoute::Gone);
    members.on_heartbeat(&heartbeat(9, 2), NOW);
    assert_eq!(
        route(&members, 8 << 32),
        HomeRoute::Gone,
        "a restarted instance has a new home token"
    );
    assert_eq!(
        route(&members, (7 << 32) + 1),
        HomeRoute::Gone,
        "a token that has not been issued yet"
    );
}

#[derive(Clone, Debug)]
enum Step {
    Begin { key: u8, fingerprint: u8 },
    Settle { ticket: usize, outcome: u8 },
    Wait(u64),
}

fn steps() -> impl Strategy<Value = Vec<Step>> {
    let step = prop_oneof![
        5 => (0..4_u8, 0..8_u8).prop_map(|(key, fingerprint)| Step::Begin { key, fingerprint: fingerprint / 7 }),
        4 => (any::<usize>(), 0..3_u8).prop_map(|(ticket, outcome)| Step::Settle { ticket, outcome }),
        1 => (0..20_000_u64).prop_map(Step::Wait),
    ];
    prop::collection::vec(step, 1..60)
}

/// Guards against running a call twice. Requests, settlements and clock steps come in any order; a key may
/// run again only after its previous run was settled as not run.
#[test]
fn no_key_runs_twice_in_any_interleaving() {
    runner(1_000).run(&steps(), |steps| check_steps(&steps)).unwrap();
}

fn check_steps(steps: &[Step]) -> Result<(), TestCaseError> {
    let limits = HomeLimits {
        max_joiners: 2,
        max_keys: 6,
        max_stored_bytes: 4,
        ..HomeLimits::default()
    };
    let mut table = table(limits);
    let mut now = NOW;
    let mut tickets: Vec<CallTicket> = Vec::new();
    let mut may_have_run: FastMap<(Incarnation, u8), CallTicket> = FastMap::default();
    let mut homes = vec![HOME];
    for step in steps {
        match step {
            Step::Begin { key, fingerprint } => {
                for home in &homes {
                    let text = key.to_string();
                    let decision = table.begin(
                        *home,
                        &identity(&text),
                        RequestFingerprint(u128::from(*fingerprint)),
                    );
                    let HomeDecision::Run(ticket) = decision else {
                        continue;
                    };
                    prop_assert_eq!(may_have_run.insert((*home, *key), ticket), None);
                    tickets.push(ticket);
                }
            }
            Step::Settle { ticket, outcome } if !tickets.is_empty() => {
                let ticket = tickets[ticket % tickets.len()];
                let outcome = match outcome {
                    0 => CallOutcome::Answered(answer(3)),
                    1 => CallOutcome::NotRun,
                    _ => CallOutcome::Unknown,
                };
                let is_not_run = outcome == CallOutcome::NotRun;
                if table.settle(ticket, outcome) && is_not_run {
                    may_have_run.retain(|_, running| *running != ticket);
                }
            }
            Step::Settle { .. } => {}
            Step::Wait(seconds) => {
                now = now + Duration::from_secs(*seconds);
                table.tick(now);
                if !homes.contains(&table.token()) {
                    homes.push(table.token());
                }
            }
        }
        prop_assert!(table.len() <= limits.max_keys && table.stored_bytes() <= limits.max_stored_bytes);
    }
    Ok(())
}
