//! Orders whose response is lost, which are delayed or dropped, or whose sender is paused between its check and
//! the send.

mod control_support;

use std::time::Duration;

use control_support::orders::{OrderFault, OrderStore};
use control_support::{ControlNode, LogStore, NodeParts, sleep_secs};
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

/// Runs a single process that sends one order with `order_fault`, and returns the orders that were applied.
async fn send_order_with_fault(order_fault: OrderFault, fault: Option<Fault>) -> OrderStore {
    let (log, orders) = (LogStore::new(), OrderStore::default());
    let a = ControlNode::start_with(NodeParts {
        orders: orders.clone(),
        fault,
        ..NodeParts::new("a", &log)
    });
    sleep_secs(2).await;
    orders.fail_next(order_fault);
    a.control.propose_order("pest-a".into(), start_upstream());
    sleep_secs(30).await;
    assert_eq!(
        a.control.status().await.outstanding_orders,
        0,
        "the order is settled"
    );
    orders
}

#[tokio::test(start_paused = true)]
async fn lost_response_orders_no_second_upstream() {
    let orders = send_order_with_fault(OrderFault::ResponseLost, None).await;
    assert_eq!(orders.applied().len(), 1);
}

#[tokio::test(start_paused = true)]
async fn without_the_look_up_a_lost_response_orders_twice() {
    let orders = send_order_with_fault(OrderFault::ResponseLost, Some(Fault::SkipLookUp)).await;
    assert_eq!(orders.applied().len(), 2);
}

#[tokio::test(start_paused = true)]
async fn delayed_order_is_waited_for() {
    let late = OrderFault::Delayed(Duration::from_millis(1_800));
    let orders = send_order_with_fault(late, None).await;
    assert_eq!(orders.applied().len(), 1);
}

#[tokio::test(start_paused = true)]
async fn with_an_early_look_up_a_delayed_order_is_applied_twice() {
    let late = OrderFault::Delayed(Duration::from_millis(1_800));
    let orders = send_order_with_fault(late, Some(Fault::EarlyLookUp)).await;
    assert_eq!(orders.applied().len(), 2);
}

#[tokio::test(start_paused = true)]
async fn order_that_never_arrived_is_sent_again() {
    let orders = send_order_with_fault(OrderFault::Dropped, None).await;
    assert_eq!(orders.applied().len(), 1);
}

/// Pauses the first duty holder between its check and the send, until a second one has taken over and sent an order.
async fn pause_between_check_and_send(body: fn(&str) -> OrderBody, fault: Option<Fault>) -> OrderStore {
    let (log, orders) = (LogStore::new(), OrderStore::default());
    let parts = |name| NodeParts {
        orders: orders.clone(),
        fault,
        ..NodeParts::new(name, &log)
    };
    let a = ControlNode::start_with(parts("a"));
    sleep_secs(2).await;
    let b = ControlNode::start_with(parts("b"));
    a.order_gate.send_replace(false);
    a.control.propose_order("pest-a".into(), body("1"));
    sleep_secs(2).await;
    a.pause();
    sleep_secs(60).await;
    b.control.propose_order("pest-a".into(), body("2"));
    sleep_secs(30).await;
    a.resume();
    sleep_secs(60).await;
    assert_eq!(
        b.control.status().await.outstanding_orders,
        0,
        "both orders are settled"
    );
    orders
}

#[tokio::test(start_paused = true)]
async fn platform_gets_each_order_once_after_a_pause() {
    let orders = pause_between_check_and_send(|_| start_upstream(), None).await;
    assert_eq!(orders.applied().len(), 2);
    assert_eq!(orders.references().len(), 2);
    assert_eq!(orders.late_order(), None);
}

#[tokio::test(start_paused = true)]
async fn without_the_sender_check_the_platform_gets_an_order_twice() {
    let orders = pause_between_check_and_send(|_| start_upstream(), Some(Fault::IgnoreSender)).await;
    assert!(orders.applied().len() > orders.references().len());
}

#[tokio::test(start_paused = true)]
async fn unfenced_engine_gets_no_old_order_after_a_newer_one() {
    let orders = pause_between_check_and_send(set_version, None).await;
    assert_eq!(orders.references().len(), 2);
    assert_eq!(orders.late_order(), None);
}

#[tokio::test(start_paused = true)]
async fn without_the_sender_check_an_unfenced_engine_gets_an_old_order_after_a_newer_one() {
    let orders = pause_between_check_and_send(set_version, Some(Fault::IgnoreSender)).await;
    assert!(orders.late_order().is_some());
}

#[tokio::test(start_paused = true)]
async fn no_order_is_sent_while_the_log_is_down() {
    let (log, orders) = (LogStore::new(), OrderStore::default());
    let a = ControlNode::start_with(NodeParts {
        orders: orders.clone(),
        ..NodeParts::new("a", &log)
    });
    sleep_secs(2).await;
    a.log_gate.send_replace(false);
    a.control.propose_order("pest-a".into(), start_upstream());
    sleep_secs(3_600).await;
    assert!(orders.applied().is_empty());
}
