//! Model check of leases without orders or usage: claims, renewals, resignations and clock drift.

mod model_support;

use marigoldlock_core::authority::Fault;
use model_support::world::{Budget, WorldSpace, orders_duty, usage_duty};
use model_support::{assert_caught, assert_safe};

const DRIFT: Budget = Budget {
    kills: 0,
    restarts: 0,
    leaves: 0,
    refusals: 0,
    copies: 0,
    lost_answers: 0,
    drifts: 1,
    requests: 0,
    appends: 4,
    proposals: 0,
};

fn space(last_time: u8, budget: Budget) -> WorldSpace {
    WorldSpace::new(2, vec![orders_duty()], None, last_time).with_budget(budget)
}

#[test]
fn one_process_acts_at_a_time() {
    assert_safe("authority, drift", &space(5, Budget { appends: 5, ..DRIFT }));
}

#[test]
fn restarted_process_waits_for_the_old_lease() {
    let budget = Budget {
        kills: 1,
        restarts: 1,
        ..DRIFT
    };
    assert_safe("authority, kill and restart", &space(4, budget));
}

#[test]
fn repeated_and_refused_appends_change_nothing() {
    let budget = Budget {
        copies: 1,
        refusals: 1,
        appends: 3,
        ..DRIFT
    };
    assert_safe("authority, copies and refusals", &space(4, budget));
}

#[test]
fn leaving_holder_hands_over() {
    assert_safe("authority, leaving", &space(4, Budget { leaves: 1, ..DRIFT }));
}

#[test]
fn one_of_three_processes_acts_under_each_of_two_duties() {
    let duties = vec![orders_duty(), usage_duty()];
    let space = WorldSpace::new(3, duties, None, 3).with_budget(Budget { appends: 3, ..DRIFT });
    assert_safe("authority, 3 processes, 2 duties", &space);
}

#[test]
fn skipped_supersedes_check_is_caught() {
    let space = space(4, DRIFT).with_fault(Fault::SkipSupersedes);
    assert_caught("skipped supersedes check", "two processes act", &space);
}

#[test]
fn dropped_margin_is_caught() {
    let space = space(4, DRIFT).with_fault(Fault::DropMargin);
    assert_caught("dropped margin", "two processes act", &space);
}
