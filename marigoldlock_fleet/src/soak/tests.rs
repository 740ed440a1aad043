//! Tests of the soak test itself: each violation is reported, and a seed always gives the same faults.

use std::time::Duration;

use marigoldlock_core::gateway::blame::SuspectKey;
use marigoldlock_core::gateway::crashes::CrashBlock;
use marigoldlock_standin::site::{ArrivalRecord, StoreStandin};
use rand::SeedableRng;
use rand::rngs::StdRng;
use tokio::time::Instant;

use super::blocks::BlockWatch;
use super::budget::RepeatRecord;
use super::caller::{CallOutcome, CallRecord};
use super::crashing::CrashCounts;
use super::fault::{FaultMix, FaultPlan};
use super::record::{SiteRecord, SoakReport};

fn call(attempt: &str, outcome: CallOutcome) -> CallRecord {
    CallRecord {
        attempt: attempt.into(),
        service: "app",
        sent_at: Instant::now(),
        is_booking: true,
        has_unknown_key: false,
        crashes_upstreams: false,
        is_after_recovery: true,
        stream_versions: vec!["v1".into()],
        outcome,
    }
}

fn site(runs: &[(&str, u32)]) -> SiteRecord {
    let runs = runs
        .iter()
        .map(|(attempt, count)| ((*attempt).to_owned(), *count));
    SiteRecord {
        runs: runs.collect(),
        ..SiteRecord::default()
    }
}

fn violated_invariants(calls: &[CallRecord], site: SiteRecord) -> Vec<&'static str> {
    let report = SoakReport::new(1, Vec::new(), calls, site, String::new());
    report
        .violations
        .iter()
        .map(|violation| violation.invariant)
        .collect()
}

#[test]
fn correct_outcomes_are_no_violations() {
    let calls = [
        call("b1", CallOutcome::Answered),
        call("b2", CallOutcome::NotRun(503)),
        call("b3", CallOutcome::Unknown),
        CallRecord {
            has_unknown_key: true,
            ..call("b4", CallOutcome::Forbidden(401))
        },
    ];
    assert!(violated_invariants(&calls, site(&[("b1", 1), ("b3", 1)])).is_empty());
}

#[test]
fn each_violation_is_reported() {
    let answered = [
        call("b0", CallOutcome::Answered),
        call("b1", CallOutcome::Answered),
    ];
    let violation_count = |calls: &[CallRecord], site| violated_invariants(calls, site).len();
    assert_eq!(
        violation_count(&answered, site(&[("b0", 1), ("b1", 2)])),
        1,
        "a booking ran twice"
    );
    assert_eq!(
        violation_count(&answered, site(&[("b0", 1)])),
        1,
        "an answer without a run"
    );
    for (outcome, runs) in [
        (CallOutcome::NotRun(503), 1),
        (CallOutcome::Wrong("half".into()), 1),
        (CallOutcome::Forbidden(404), 0),
    ] {
        let calls = [call("b0", CallOutcome::Answered), call("b1", outcome)];
        assert_eq!(
            violation_count(&calls, site(&[("b0", 1), ("b1", runs)])),
            1,
            "{calls:?}"
        );
    }
    let unknown_key_call = CallRecord {
        has_unknown_key: true,
        ..call("b1", CallOutcome::Unknown)
    };
    let calls = [call("b0", CallOutcome::Answered), unknown_key_call];
    assert_eq!(
        violation_count(&calls, site(&[("b0", 1), ("b1", 1)])),
        1,
        "a run with an unknown key"
    );
    let correct = || site(&[("b0", 1), ("b1", 1)]);
    let mixed = CallRecord {
        stream_versions: vec!["v1".into(), "v2".into()],
        ..call("b0", CallOutcome::Answered)
    };
    assert_eq!(violation_count(&[mixed], site(&[("b0", 1)])), 1);
    let conflict = SiteRecord {
        usage_conflicts: 1,
        ..correct()
    };
    assert_eq!(violation_count(&answered, conflict), 1);
    let rivals = SiteRecord {
        fence_rivals: 1,
        ..correct()
    };
    assert_eq!(violation_count(&answered, rivals), 1);
    let silent = SiteRecord {
        is_usage_silent: true,
        ..correct()
    };
    assert_eq!(violation_count(&answered, silent), 1);
    let ended = SiteRecord {
        unexpected_exits: vec!["n0 ended".into()],
        ..correct()
    };
    assert_eq!(violation_count(&answered, ended), 1);
    let counts = CrashCounts {
        crashes: 5,
        arrivals: 4,
    };
    let crashing = SiteRecord {
        crashing: [("app".to_owned(), counts)].into_iter().collect(),
        ..correct()
    };
    assert_eq!(violation_count(&answered, crashing), 1);
    let wrong_block = SiteRecord {
        wrong_blocks: vec![block(&[SuspectKey::PromptPart(1)])],
        ..correct()
    };
    assert_eq!(violation_count(&answered, wrong_block), 1);
    let blocked = |count: usize| -> Vec<CallRecord> {
        let calls = (0..count).map(|_| CallRecord {
            is_after_recovery: false,
            ..call("b9", CallOutcome::Blocked)
        });
        calls.chain(answered.clone()).collect()
    };
    assert_eq!(violation_count(&blocked(20), correct()), 0);
    assert_eq!(
        violation_count(&blocked(21), correct()),
        1,
        "sound requests are refused"
    );
    let after_recovery = |failed: usize| -> Vec<CallRecord> {
        let failed = (0..failed).map(|_| call("b9", CallOutcome::Unknown));
        let served = (0..90).map(|_| CallRecord {
            is_booking: false,
            ..call("b0", CallOutcome::Answered)
        });
        failed.chain(served).collect()
    };
    assert_eq!(
        violation_count(&after_recovery(12), correct()),
        0,
        "10 + 102 / 50 allowed"
    );
    assert_eq!(violation_count(&after_recovery(13), correct()), 1);
    let unserved: Vec<CallRecord> = (0..8).map(|_| call("b9", CallOutcome::Unknown)).collect();
    assert_eq!(
        violation_count(&unserved, site(&[])),
        1,
        "no request is answered after the recovery"
    );
}

fn block(suspects: &[SuspectKey]) -> CrashBlock {
    CrashBlock {
        suspects: suspects.to_vec(),
        blocked_ms: 1,
        is_confirmed: false,
    }
}

#[tokio::test]
async fn wrong_blocks_that_stay_in_the_store_are_reported() {
    let store = StoreStandin::start().await.unwrap();
    let put = |key: &str, suspects: &[SuspectKey]| {
        let value = serde_json::to_vec(&block(suspects)).unwrap();
        store.put("keyed.crashes", key, Some(&value));
    };
    put(
        "right",
        &[SuspectKey::PromptPart(0xbad), SuspectKey::PromptPart(1)],
    );
    put("wrong", &[SuspectKey::PromptPart(1)]);
    put("lifted", &[SuspectKey::Request(2)]);
    let start = Instant::now();
    let mut watch = BlockWatch::default();
    watch.observe(&store, start);
    store.put("keyed.crashes", "lifted", None);
    watch.observe(&store, start + Duration::from_secs(6));
    watch.observe(&store, start + Duration::from_millis(6_001));
    assert_eq!(watch.into_excess(), [block(&[SuspectKey::PromptPart(1)])]);
}

#[test]
fn repeats_beyond_the_retry_budget_are_reported() {
    let start = std::time::Instant::now();
    let arrival = |number: u64, is_prefill| ArrivalRecord {
        attempt: format!("s{}", number / 3),
        is_prefill,
        is_accepted: true,
        prompt_parts: String::new(),
        path: String::new(),
        at: start + Duration::from_millis(number),
    };
    let excess = |requests: u64| {
        let mut record = RepeatRecord::default();
        // Each attempt sends a free prefill, a run and a repeat.
        record.record_arrivals((0..36).map(|number| arrival(number, number % 3 == 0)).collect());
        record.requests = (0..requests)
            .map(|number| start + Duration::from_millis(number))
            .collect();
        record.fullest_window().unwrap()
    };
    assert_eq!(excess(10).used(), 1.0, "12 repeats, 10 + 10 / 5 allowed");
    assert!(excess(9).used() > 1.0);
    assert_eq!(excess(9).to_string(), "12 repeats of 9 requests, 12 allowed");
    let mut site = site(&[("b0", 1)]);
    site.arrivals.insert(
        "app".into(),
        (0..60).map(|number| arrival(number, false)).collect(),
    );
    assert_eq!(
        violated_invariants(&[call("b0", CallOutcome::Answered)], site).len(),
        1
    );
}

#[test]
fn a_seed_always_gives_the_same_faults() {
    let plan = |seed| {
        let mut random = StdRng::seed_from_u64(seed);
        format!(
            "{:?}",
            FaultPlan::draw(&mut random, FaultMix::Any, 4, 7, Duration::from_secs(20)).steps()
        )
    };
    assert_eq!(plan(7), plan(7));
    assert_ne!(plan(7), plan(8));
    assert!(plan(7).contains("StoreCopied"));
}
