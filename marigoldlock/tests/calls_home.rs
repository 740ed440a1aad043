//! Calls under home keys: retries at other instances, with a busy or dead home instance, lost responses or no log.

mod support;

use marigoldlock_fleet::{Fleet, FleetOptions};
use marigoldlock_standin::prelude::*;
use reqwest::StatusCode;
use serde_json::{Value, json};
use support::{CallResult, TestCaller, eventually, runs_by_key, set_service_faults};

async fn start(instances: usize) -> (Fleet, TestCaller) {
    let fleet = Fleet::start(FleetOptions::small(instances))
        .await
        .expect("the fleet starts");
    let caller = TestCaller::new(&fleet, "dairy-north");
    (fleet, caller)
}

fn booking() -> Value {
    json!({"face": 17, "week": 30})
}

fn runs(fleet: &Fleet, key: &str) -> u64 {
    runs_by_key(fleet).get(key).copied().unwrap_or_default()
}

fn assert_unknown(answer: &CallResult) {
    assert_eq!(answer.execution.as_deref(), Some("outcome_unknown"), "{answer:?}");
}

#[tokio::test(flavor = "multi_thread")]
async fn a_retry_at_another_instance_gets_the_answer_of_the_running_attempt() {
    let (fleet, caller) = start(3).await;
    let key = caller.home_key(0, "busy").await;
    set_service_faults(&fleet, |plan| plan.answer_delay_ms = 700);

    let body = booking();
    let first = caller.book(0, &key, &body);
    let retry = async {
        eventually("the first attempt", async || runs(&fleet, &key) == 1).await;
        caller.book(1, &key, &body).await
    };
    let (first, retry) = tokio::join!(first, retry);

    assert_eq!(first.status, StatusCode::OK, "{first:?}");
    assert_eq!(retry.body, first.body);
    assert_eq!(runs(&fleet, &key), 1);
    fleet.close().await;
}

#[tokio::test(flavor = "multi_thread")]
async fn two_first_attempts_at_two_instances_run_once() {
    let (fleet, caller) = start(3).await;
    let body = booking();
    for round in 0..10 {
        let key = caller.home_key(0, &format!("race-{round}")).await;
        let (one, other) = tokio::join!(caller.book(1, &key, &body), caller.book(2, &key, &body));
        assert_eq!(one.status, StatusCode::OK, "{one:?}");
        assert_eq!(one.body, other.body);
        assert_eq!(runs(&fleet, &key), 1);
    }
    fleet.close().await;
}

#[tokio::test(flavor = "multi_thread")]
async fn the_outcome_is_unknown_after_the_home_died_and_the_call_is_not_run_again() {
    let (mut fleet, caller) = start(3).await;
    let key = caller.home_key(0, "dead").await;
    set_service_faults(&fleet, |plan| plan.stall_answer = CallBudget::Every);

    let body = booking();
    let first = caller.try_book(0, &key, &body);
    let retry = async {
        eventually("the first attempt", async || runs(&fleet, &key) == 1).await;
        fleet.kill_instance(0);
        set_service_faults(&fleet, |plan| plan.stall_answer = CallBudget::None);
        let soon = caller.book(1, &key, &body).await;
        fleet.delist(0);
        let later = caller.book(2, &key, &body).await;
        (soon, later)
    };
    let (first, (soon, later)) = tokio::join!(first, retry);

    assert!(first.is_err(), "the first instance died");
    assert_unknown(&soon);
    assert_unknown(&later);
    let other = caller.home_key(1, "dead").await;
    assert_eq!(caller.book(2, &other, &body).await.status, StatusCode::OK);
    assert_eq!((runs(&fleet, &key), runs(&fleet, &other)), (1, 1));
    fleet.close().await;
}

#[tokio::test(flavor = "multi_thread")]
async fn a_lost_response_leaves_the_outcome_unknown_at_every_instance() {
    let (fleet, caller) = start(2).await;
    let key = caller.home_key(0, "lost").await;
    set_service_faults(&fleet, |plan| plan.drop_answer = CallBudget::Every);

    let body = booking();
    let first = caller.book(0, &key, &body).await;
    set_service_faults(&fleet, |plan| plan.drop_answer = CallBudget::None);
    let retry = caller.book(1, &key, &body).await;

    assert_unknown(&first);
    assert_unknown(&retry);
    assert_eq!(runs(&fleet, &key), 1);
    fleet.close().await;
}

#[tokio::test(flavor = "multi_thread")]
async fn home_keys_work_while_the_log_is_down() {
    let (fleet, caller) = start(2).await;
    let key = caller.home_key(0, "outage").await;
    fleet.log.faults().set(FaultPlan {
        gone: true,
        ..FaultPlan::default()
    });

    let body = booking();
    let first = caller.book(1, &key, &body).await;
    let retry = caller.book(0, &key, &body).await;

    assert_eq!(first.status, StatusCode::OK, "{first:?}");
    assert_eq!(retry.body, first.body);
    assert_eq!(runs(&fleet, &key), 1);
    fleet.close().await;
}

#[tokio::test(flavor = "multi_thread")]
async fn a_call_that_reached_no_service_is_not_run_and_may_run_later() {
    let (fleet, caller) = start(2).await;
    let key = caller.home_key(0, "away").await;
    set_service_faults(&fleet, |plan| plan.gone = true);

    let body = booking();
    let refused = caller.book(1, &key, &body).await;
    assert_eq!(refused.execution.as_deref(), Some("not_run"), "{refused:?}");
    assert!(refused.retry_after.is_some());
    assert_eq!(runs(&fleet, &key), 0);

    set_service_faults(&fleet, |plan| plan.gone = false);
    eventually("the booking", async || {
        caller.book(0, &key, &body).await.status == StatusCode::OK
    })
    .await;
    assert_eq!(runs(&fleet, &key), 1);
    fleet.close().await;
}

#[tokio::test(flavor = "multi_thread")]
async fn another_request_under_a_used_key_is_refused() {
    let (fleet, caller) = start(2).await;
    let key = caller.home_key(0, "reused").await;

    caller.book(0, &key, &booking()).await;
    let other = caller.book(1, &key, &json!({"face": 18})).await;

    assert_eq!(other.code, Some(1015), "{other:?}");
    assert_eq!(runs(&fleet, &key), 1);
    fleet.close().await;
}
