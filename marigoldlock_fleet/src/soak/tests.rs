//! The soak's own checks: each broken promise is noticed, and a seed always gives the same faults.

use std::time::Duration;

use rand::SeedableRng;
use rand::rngs::StdRng;

use super::caller::{CallOutcome, CallRecord};
use super::fault::FaultPlan;
use super::record::{SiteRecord, SoakReport};

fn call(attempt: &str, outcome: CallOutcome) -> CallRecord {
    CallRecord {
        attempt: attempt.into(),
        is_booking: true,
        is_forged: false,
        is_calm: true,
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

fn promises(calls: &[CallRecord], site: SiteRecord) -> Vec<&'static str> {
    let report = SoakReport::new(1, Vec::new(), calls, site, String::new());
    report.broken.iter().map(|broken| broken.promise).collect()
}

#[test]
fn a_soak_in_which_all_is_well_breaks_nothing() {
    let calls = [
        call("b1", CallOutcome::Answered),
        call("b2", CallOutcome::NotRun(503)),
        call("b3", CallOutcome::Unknown),
        CallRecord {
            is_forged: true,
            ..call("b4", CallOutcome::Forbidden(401))
        },
    ];
    assert!(promises(&calls, site(&[("b1", 1), ("b3", 1)])).is_empty());
}

#[test]
fn each_broken_promise_is_noticed() {
    let answered = [
        call("b0", CallOutcome::Answered),
        call("b1", CallOutcome::Answered),
    ];
    let noticed = |calls: &[CallRecord], site| promises(calls, site).len();
    assert_eq!(noticed(&answered, site(&[("b0", 1), ("b1", 2)])), 1, "ran twice");
    assert_eq!(
        noticed(&answered, site(&[("b0", 1)])),
        1,
        "an answer from nowhere"
    );
    for (outcome, runs) in [
        (CallOutcome::NotRun(503), 1),
        (CallOutcome::Wrong("half".into()), 1),
        (CallOutcome::Forbidden(404), 0),
    ] {
        let calls = [call("b0", CallOutcome::Answered), call("b1", outcome)];
        assert_eq!(noticed(&calls, site(&[("b0", 1), ("b1", runs)])), 1, "{calls:?}");
    }
    let forged = CallRecord {
        is_forged: true,
        ..call("b1", CallOutcome::Unknown)
    };
    let calls = [call("b0", CallOutcome::Answered), forged];
    assert_eq!(
        noticed(&calls, site(&[("b0", 1), ("b1", 1)])),
        1,
        "ran for a false key"
    );
    let whole = || site(&[("b0", 1), ("b1", 1)]);
    let conflict = SiteRecord {
        usage_conflicts: 1,
        ..whole()
    };
    assert_eq!(noticed(&answered, conflict), 1);
    let ended = SiteRecord {
        own_ends: vec!["n0 ended".into()],
        ..whole()
    };
    assert_eq!(noticed(&answered, ended), 1);
    let unserved: Vec<CallRecord> = (0..8).map(|_| call("b9", CallOutcome::Unknown)).collect();
    assert_eq!(
        noticed(&unserved, site(&[])),
        1,
        "nobody is served after the faults"
    );
}

#[test]
fn a_seed_gives_the_same_faults_each_time() {
    let plan = |seed| {
        let mut random = StdRng::seed_from_u64(seed);
        format!(
            "{:?}",
            FaultPlan::draw(&mut random, 4, 7, Duration::from_secs(20)).steps()
        )
    };
    assert_eq!(plan(7), plan(7));
    assert_ne!(plan(7), plan(8));
}
