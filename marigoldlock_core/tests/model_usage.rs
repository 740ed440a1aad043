//! Model check of usage: counts, freezes and reports.

mod model_support;

use marigoldlock_core::authority::Fault;
use model_support::world::{Budget, WorldSpace, usage_duty};
use model_support::{assert_caught, assert_safe};

const ONE_REQUEST: Budget = Budget {
    kills: 0,
    restarts: 0,
    leaves: 0,
    refusals: 0,
    copies: 0,
    lost_answers: 0,
    drifts: 0,
    requests: 1,
    appends: 5,
    proposals: 0,
};

fn space(last_time: u8, budget: Budget) -> WorldSpace {
    WorldSpace::new(2, vec![usage_duty()], None, last_time).with_budget(budget)
}

#[test]
fn late_counts_are_reported_once() {
    let budget = Budget {
        requests: 2,
        appends: 4,
        ..ONE_REQUEST
    };
    assert_safe("usage, two requests", &space(2, budget));
}

#[test]
fn report_is_repeated_unchanged_after_a_lost_answer() {
    let budget = Budget {
        lost_answers: 1,
        ..ONE_REQUEST
    };
    assert_safe("usage, lost answer", &space(2, budget));
}

#[test]
fn successor_of_a_killed_reporter_repeats_its_report() {
    let budget = Budget {
        kills: 1,
        appends: 4,
        ..ONE_REQUEST
    };
    assert_safe("usage, reporter killed", &space(3, budget));
}

#[test]
fn report_before_freeze_is_caught() {
    let budget = Budget {
        requests: 2,
        ..ONE_REQUEST
    };
    let space = space(2, budget).with_fault(Fault::ReportBeforeFreeze);
    assert_caught("report before freeze", "different figures", &space);
}

#[test]
fn ignored_sender_is_caught() {
    let space = space(3, ONE_REQUEST).with_fault(Fault::IgnoreSender);
    assert_caught("ignored sender of a report", "former holder", &space);
}

#[test]
fn recounted_late_usage_is_caught() {
    let budget = Budget {
        requests: 2,
        ..ONE_REQUEST
    };
    let space = space(2, budget).with_fault(Fault::RecountLate);
    assert_caught("recounted late usage", "more usage", &space);
}

#[test]
fn early_adoption_is_caught() {
    let budget = Budget {
        kills: 1,
        appends: 4,
        ..ONE_REQUEST
    };
    let space = space(3, budget).with_fault(Fault::AdoptEarly);
    assert_caught("early adoption of a report", "former holder", &space);
}
