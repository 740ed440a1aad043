//! Orders by control processes whose answers are lost, sends held back, or who pause between check and send.

mod control_support;

use std::time::Duration;

use control_support::orders::{OrderFault, OrderStore};
use control_support::{ControlNode, LogStore, NodeParts, pass};
use marigoldlock_core::authority::Fault;
use marigoldlock_wire::engine::EngineAction;
use marigoldlock_wire::platform::{CapacityKind, OrderAction};
use marigoldlock_wire::record::orders::OrderBody;

fn start_upstream() -> OrderBody {
    OrderBody::Platform {
        service: "copydesk-llm".into(),
        action: OrderAction::Start {
            capacity: CapacityKind::Steady,
        },
    }
}

fn set_version(version: &str) -> OrderBody {
    OrderBody::Engine {
        upstream: "e1".into(),
        checks_fence: false,
        action: EngineAction::SetVersion(version.into()),
    }
}

/// Orders of a single process whose first order goes wrong.
async fn order_once(order_fault: OrderFault, fault: Option<Fault>) -> OrderStore {
    let (log, orders) = (LogStore::new(), OrderStore::default());
    let a = ControlNode::start_with(NodeParts {
        orders: orders.clone(),
        fault,
        ..NodeParts::new("a", &log)
    });
    pass(2).await;
    orders.fail_next(order_fault);
    a.control.propose_order("pest-a".into(), start_upstream());
    pass(30).await;
    assert_eq!(
        a.control.status().await.outstanding_orders,
        0,
        "the order is settled"
    );
    orders
}

#[tokio::test(start_paused = true)]
async fn lost_answer_orders_no_second_upstream() {
    let orders = order_once(OrderFault::AnswerLost, None).await;
    assert_eq!(orders.applied().len(), 1);
}

#[tokio::test(start_paused = true)]
async fn without_the_look_up_a_lost_answer_orders_twice() {
    let orders = order_once(OrderFault::AnswerLost, Some(Fault::SkipLookUp)).await;
    assert_eq!(orders.applied().len(), 2);
}

#[tokio::test(start_paused = true)]
async fn order_held_back_is_waited_for() {
    let late = OrderFault::Late(Duration::from_millis(1_800));
    let orders = order_once(late, None).await;
    assert_eq!(orders.applied().len(), 1);
}

#[tokio::test(start_paused = true)]
async fn with_an_early_look_up_an_order_held_back_comes_twice() {
    let late = OrderFault::Late(Duration::from_millis(1_800));
    let orders = order_once(late, Some(Fault::EarlyLookUp)).await;
    assert_eq!(orders.applied().len(), 2);
}

#[tokio::test(start_paused = true)]
async fn order_that_never_arrived_is_sent_again() {
    let orders = order_once(OrderFault::Dropped, None).await;
    assert_eq!(orders.applied().len(), 1);
}

/// Pauses the first holder between check and send; the second takes over and has an order of its own.
async fn pause_orderer(body: fn(&str) -> OrderBody, fault: Option<Fault>) -> OrderStore {
    let (log, orders) = (LogStore::new(), OrderStore::default());
    let parts = |name| NodeParts {
        orders: orders.clone(),
        fault,
        ..NodeParts::new(name, &log)
    };
    let a = ControlNode::start_with(parts("a"));
    pass(2).await;
    let b = ControlNode::start_with(parts("b"));
    a.order_gate.send_replace(false);
    a.control.propose_order("pest-a".into(), body("1"));
    pass(2).await;
    a.pause();
    pass(60).await;
    b.control.propose_order("pest-a".into(), body("2"));
    pass(30).await;
    a.resume();
    pass(60).await;
    assert_eq!(
        b.control.status().await.outstanding_orders,
        0,
        "both orders are settled"
    );
    orders
}

#[tokio::test(start_paused = true)]
async fn platform_gets_each_order_once_after_a_pause() {
    let orders = pause_orderer(|_| start_upstream(), None).await;
    assert_eq!(orders.applied().len(), 2);
    assert_eq!(orders.references().len(), 2);
    assert_eq!(orders.late_order(), None);
}

#[tokio::test(start_paused = true)]
async fn without_the_named_sender_the_platform_gets_an_order_twice() {
    let orders = pause_orderer(|_| start_upstream(), Some(Fault::IgnoreSender)).await;
    assert!(orders.applied().len() > orders.references().len());
}

#[tokio::test(start_paused = true)]
async fn unfenced_engine_gets_no_old_order_after_a_newer_one() {
    let orders = pause_orderer(set_version, None).await;
    assert_eq!(orders.references().len(), 2);
    assert_eq!(orders.late_order(), None);
}

#[tokio::test(start_paused = true)]
async fn without_the_named_sender_an_unfenced_engine_goes_back() {
    let orders = pause_orderer(set_version, Some(Fault::IgnoreSender)).await;
    assert!(orders.late_order().is_some());
}

#[tokio::test(start_paused = true)]
async fn no_order_is_sent_while_the_log_is_down() {
    let (log, orders) = (LogStore::new(), OrderStore::default());
    let a = ControlNode::start_with(NodeParts {
        orders: orders.clone(),
        ..NodeParts::new("a", &log)
    });
    pass(2).await;
    a.log_gate.send_replace(false);
    a.control.propose_order("pest-a".into(), start_upstream());
    pass(3_600).await;
    assert!(orders.applied().is_empty());
}
