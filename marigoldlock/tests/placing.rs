//! Orders of the placement planner for new upstreams.

mod support;

use marigoldlock_fleet::{Fleet, FleetOptions};
use marigoldlock_wire::platform::OrderAction;
use support::eventually;

#[tokio::test(flavor = "multi_thread")]
async fn missing_steady_upstreams_are_ordered_exactly_once() {
    let mut options = FleetOptions::small(2);
    options.ordering.start_ms = 300;
    let fleet = Fleet::start(options).await.expect("the fleet starts");
    let deployment = fleet.options().deployment.clone();
    let path = format!(
        "teams/{}/services/{}/steady_floor",
        deployment.team, deployment.chat
    );

    fleet.publish(&path, "value = 5");

    eventually("two more engines", async || {
        fleet.upstreams(deployment.chat.as_str()).len() >= 5
    })
    .await;
    // Later planning rounds must not order more.
    tokio::time::sleep(std::time::Duration::from_secs(3)).await;
    let orders = fleet.ordering.seen();
    let starts = orders
        .iter()
        .filter(|seen| matches!(seen.order.action, OrderAction::Start { .. }));
    assert_eq!(starts.count(), 2, "{orders:#?}");
    assert!(orders.iter().all(|seen| !seen.repeated), "{orders:#?}");
    fleet.close().await;
}
