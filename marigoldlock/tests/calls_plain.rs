//! Calls under plain keys, which are claimed in the log: retries at other instances, dead claimants, log failures.

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
    json!({"face": 21, "week": 31})
}

fn runs(fleet: &Fleet, key: &str) -> u64 {
    runs_by_key(fleet).get(key).copied().unwrap_or_default()
}

fn assert_unknown(answer: &CallResult) {
    assert_eq!(answer.execution.as_deref(), Some("outcome_unknown"), "{answer:?}");
}

fn set_log_down(fleet: &Fleet, gone: bool) {
    fleet.log.faults().update(|plan| plan.gone = gone);
}

#[tokio::test(flavor = "multi_thread")]
async fn a_retry_at_another_instance_repeats_the_answer() {
    let (fleet, caller) = start(3).await;
    let body = booking();

    let first = caller.book(0, "answered", &body).await;
    let retry = caller.book(1, "answered", &body).await;
    let other = caller.book(2, "answered", &json!({"face": 22})).await;

    assert_eq!(first.status, StatusCode::OK, "{first:?}");
    assert_eq!(retry.body, first.body);
    assert_eq!(other.code, Some(1015), "{other:?}");
    assert_eq!(runs(&fleet, "answered"), 1);
    fleet.close().await;
}

#[tokio::test(flavor = "multi_thread")]
async fn a_retry_at_another_instance_gets_the_answer_of_the_running_attempt() {
    let (fleet, caller) = start(2).await;
    set_service_faults(&fleet, |plan| plan.answer_delay_ms = 700);
    let body = booking();

    let first = caller.book(0, "busy", &body);
    let retry = async {
        eventually("the first attempt", async || runs(&fleet, "busy") == 1).await;
        caller.book(1, "busy", &body).await
    };
    let (first, retry) = tokio::join!(first, retry);

    assert_eq!(first.status, StatusCode::OK, "{first:?}");
    assert_eq!(retry.body, first.body);
    assert_eq!(runs(&fleet, "busy"), 1);
    fleet.close().await;
}

#[tokio::test(flavor = "multi_thread")]
async fn concurrent_first_attempts_at_all_instances_run_once() {
    let (fleet, caller) = start(3).await;
    let body = booking();
    for round in 0..10 {
        let key = format!("race-{round}");
        let (a, b, c) = tokio::join!(
            caller.book(0, &key, &body),
            caller.book(1, &key, &body),
            caller.book(2, &key, &body)
        );
        assert_eq!(a.status, StatusCode::OK, "{a:?}");
        assert!(a.body == b.body && b.body == c.body, "{a:?} {b:?} {c:?}");
        assert_eq!(runs(&fleet, &key), 1);
    }
    fleet.close().await;
}

#[tokio::test(flavor = "multi_thread")]
async fn the_outcome_is_unknown_after_the_claimant_died_and_the_call_is_not_run_again() {
    let (mut fleet, caller) = start(3).await;
    set_service_faults(&fleet, |plan| plan.stall_answer = CallBudget::Every);
    let body = booking();

    let first = caller.try_book(0, "dead", &body);
    let retry = async {
        eventually("the first attempt", async || runs(&fleet, "dead") == 1).await;
        fleet.kill_instance(0);
        set_service_faults(&fleet, |plan| plan.stall_answer = CallBudget::None);
        let soon = caller.book(1, "dead", &body).await;
        fleet.delist(0);
        let later = caller.book(2, "dead", &body).await;
        (soon, later)
    };
    let (first, (soon, later)) = tokio::join!(first, retry);

    assert!(first.is_err(), "the first instance died");
    assert_unknown(&soon);
    assert_unknown(&later);
    assert_eq!(runs(&fleet, "dead"), 1);
    fleet.close().await;
}

#[tokio::test(flavor = "multi_thread")]
async fn a_lost_response_leaves_the_outcome_unknown_at_every_instance() {
    let (fleet, caller) = start(2).await;
    set_service_faults(&fleet, |plan| plan.drop_answer = CallBudget::Every);
    let body = booking();

    let first = caller.book(0, "lost", &body).await;
    set_service_faults(&fleet, |plan| plan.drop_answer = CallBudget::None);
    let retry = caller.book(1, "lost", &body).await;

    assert_unknown(&first);
    assert_unknown(&retry);
    assert_eq!(runs(&fleet, "lost"), 1);
    fleet.close().await;
}

#[tokio::test(flavor = "multi_thread")]
async fn a_claim_with_a_lost_append_response_counts_once() {
    let (fleet, caller) = start(2).await;
    fleet.log.faults().set(FaultPlan {
        method: Some("POST".into()),
        path: Some("/v1/streams/calls/".into()),
        drop_answer: CallBudget::Next(2),
        ..FaultPlan::default()
    });
    let body = booking();

    let first = caller.book(0, "append", &body).await;
    let retry = caller.book(1, "append", &body).await;

    assert_eq!(first.status, StatusCode::OK, "{first:?}");
    assert_eq!(retry.body, first.body);
    assert_eq!(runs(&fleet, "append"), 1);
    fleet.close().await;
}

#[tokio::test(flavor = "multi_thread")]
async fn without_the_log_no_new_call_runs_and_earlier_answers_are_repeated() {
    let (fleet, caller) = start(2).await;
    let body = booking();
    let answered = caller.book(0, "before", &body).await;
    eventually("the answer at the other instance", async || {
        caller.book(1, "before", &body).await.body == answered.body
    })
    .await;
    set_log_down(&fleet, true);

    let retry = caller.book(1, "before", &body).await;
    assert_eq!(retry.body, answered.body);
    let early = caller.book(0, "during", &body).await;
    assert!(!early.status.is_success(), "{early:?}");
    eventually("a refusal as not run", async || {
        let refused = caller.book(0, "during", &body).await;
        assert!(!refused.status.is_success(), "{refused:?}");
        refused.code == Some(3009) && refused.execution.as_deref() == Some("not_run")
    })
    .await;
    assert_eq!((runs(&fleet, "before"), runs(&fleet, "during")), (1, 0));

    set_log_down(&fleet, false);
    eventually("the booking", async || {
        caller.book(1, "during", &body).await.status == StatusCode::OK
    })
    .await;
    assert_eq!(runs(&fleet, "during"), 1);
    fleet.close().await;
}

#[tokio::test(flavor = "multi_thread")]
async fn a_retry_without_the_log_after_the_claimant_died_is_never_reported_as_not_run() {
    let (mut fleet, caller) = start(2).await;
    set_service_faults(&fleet, |plan| plan.stall_answer = CallBudget::Every);
    let body = booking();

    let first = caller.try_book(0, "both", &body);
    let retry = async {
        eventually("the first attempt", async || runs(&fleet, "both") == 1).await;
        set_log_down(&fleet, true);
        fleet.kill_instance(0);
        caller.book(1, "both", &body).await
    };
    let (_, retry) = tokio::join!(first, retry);

    assert_unknown(&retry);
    let fresh = caller.book(1, "fresh", &body).await;
    assert_unknown(&fresh);
    assert_eq!((runs(&fleet, "both"), runs(&fleet, "fresh")), (1, 0));
    fleet.close().await;
}

#[tokio::test(flavor = "multi_thread")]
async fn a_graceful_shutdown_writes_the_outcome_to_the_log() {
    let (mut fleet, caller) = start(2).await;
    // The delay ensures that the service answers only after the log has begun to refuse appends.
    set_service_faults(&fleet, |plan| plan.answer_delay_ms = 500);
    let body = booking();
    let first = caller.book(0, "leaving", &body);
    let refusing_log = async {
        eventually("the call", async || runs(&fleet, "leaving") == 1).await;
        fleet.log.faults().set(FaultPlan {
            method: Some("POST".into()),
            path: Some("/v1/streams/calls/".into()),
            refuse: CallBudget::Next(20),
            ..FaultPlan::default()
        });
    };
    let (first, ()) = tokio::join!(first, refusing_log);

    assert!(fleet.close_instance(0).await);
    let retry = caller.book(1, "leaving", &body).await;

    assert_eq!(first.status, StatusCode::OK, "{first:?}");
    assert_eq!(retry.body, first.body);
    assert_eq!(runs(&fleet, "leaving"), 1);
    fleet.close().await;
}
