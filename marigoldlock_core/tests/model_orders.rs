//! Model check of orders: intent, send and settlement at each kind of receiver.
//!
//! Two processes each propose their own orders. A process may pause for any time between the check of its
//! authority and the write. Answers are lost, senders time out while their message is still in flight, and
//! processes are killed or leave.

mod model_support;

use marigoldlock_core::authority::Fault;
use model_support::receiver::ReceiverKind;
use model_support::world::{Budget, WorldSpace, orders_duty};
use model_support::{assert_caught, assert_safe};

const NO_FAILURES: Budget = Budget {
    kills: 0,
    restarts: 0,
    leaves: 0,
    refusals: 0,
    copies: 0,
    lost_answers: 0,
    drifts: 0,
    requests: 0,
    appends: 6,
    proposals: 1,
};

fn space(kind: ReceiverKind, last_time: u8, budget: Budget) -> WorldSpace {
    WorldSpace::new(2, vec![orders_duty()], Some(kind), last_time).with_budget(budget)
}

fn assert_fault_caught(kind: ReceiverKind, fault: Fault, property: &str) {
    let budget = Budget {
        proposals: 2,
        lost_answers: 1,
        ..NO_FAILURES
    };
    let space = space(kind, 3, budget).with_fault(fault);
    assert_caught(&format!("{fault:?} at {kind:?}"), property, &space);
}

#[test]
fn fenced_engine_gets_no_conflicting_orders() {
    let budget = Budget {
        lost_answers: 1,
        kills: 1,
        ..NO_FAILURES
    };
    assert_safe("fenced engine", &space(ReceiverKind::FencedEngine, 2, budget));
}

#[test]
fn unfenced_engine_gets_no_conflicting_orders() {
    let budget = Budget {
        lost_answers: 1,
        kills: 1,
        ..NO_FAILURES
    };
    assert_safe("unfenced engine", &space(ReceiverKind::UnfencedEngine, 2, budget));
}

#[test]
fn unfenced_engine_gets_orders_of_one_holder_in_sequence() {
    let budget = Budget {
        lost_answers: 2,
        proposals: 2,
        appends: 5,
        ..NO_FAILURES
    };
    assert_safe(
        "unfenced engine, two orders",
        &space(ReceiverKind::UnfencedEngine, 1, budget),
    );
}

#[test]
fn platform_is_ordered_once_by_one_holder() {
    let budget = Budget {
        lost_answers: 1,
        ..NO_FAILURES
    };
    assert_safe("platform", &space(ReceiverKind::Platform, 3, budget));
}

#[test]
fn platform_is_ordered_once_when_a_holder_dies() {
    let budget = Budget {
        kills: 1,
        lost_answers: 1,
        appends: 5,
        ..NO_FAILURES
    };
    assert_safe(
        "platform, holder killed",
        &space(ReceiverKind::Platform, 3, budget),
    );
}

#[test]
fn platform_is_ordered_once_when_a_holder_leaves() {
    let budget = Budget {
        leaves: 1,
        lost_answers: 1,
        appends: 5,
        ..NO_FAILURES
    };
    assert_safe(
        "platform, holder leaves",
        &space(ReceiverKind::Platform, 2, budget),
    );
}

#[test]
fn reused_epoch_is_caught() {
    assert_fault_caught(ReceiverKind::FencedEngine, Fault::ReuseEpoch, "former holder");
}

#[test]
fn missing_look_up_is_caught() {
    assert_fault_caught(ReceiverKind::Platform, Fault::SkipLookUp, "ordered twice");
}

#[test]
fn early_look_up_is_caught() {
    assert_fault_caught(ReceiverKind::Platform, Fault::EarlyLookUp, "ordered twice");
}

#[test]
fn ignored_sender_is_caught_at_the_platform() {
    assert_fault_caught(ReceiverKind::Platform, Fault::IgnoreSender, "ordered twice");
}

#[test]
fn ignored_sender_is_caught_at_an_unfenced_engine() {
    assert_fault_caught(ReceiverKind::UnfencedEngine, Fault::IgnoreSender, "former holder");
}

#[test]
fn early_settlement_is_caught() {
    assert_fault_caught(ReceiverKind::UnfencedEngine, Fault::SettleEarly, "older order");
}

#[test]
fn early_adoption_is_caught() {
    let budget = Budget {
        kills: 1,
        ..NO_FAILURES
    };
    let space = space(ReceiverKind::UnfencedEngine, 2, budget).with_fault(Fault::AdoptEarly);
    assert_caught("early adoption of an order", "former holder", &space);
}
