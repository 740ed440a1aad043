//! Calls whose first instance is paused while they run and resumed later.

mod support;

#[path = "support/process.rs"]
mod process;

use marigoldlock_fleet::{Fleet, FleetOptions};
use process::ProcessInstance;
use reqwest::StatusCode;
use serde_json::{Value, json};
use support::{CallResult, TestCaller, eventually, runs_by_key, set_service_faults};

/// Response time of the service, long enough to pause the calling instance meanwhile.
const ANSWER_DELAY_MS: u64 = 4_000;

/// Deadline of the first attempt, much longer than the pause.
const FIRST_DEADLINE_MS: u64 = 120_000;

fn booking() -> Value {
    json!({"face": 33, "week": 32})
}

fn runs(fleet: &Fleet, key: &str) -> u64 {
    runs_by_key(fleet).get(key).copied().unwrap_or_default()
}

/// Starts a fleet with instance 0 in this process and instance 1 in a child process.
async fn start() -> (Fleet, TestCaller, ProcessInstance) {
    let fleet = Fleet::start(FleetOptions::small(1))
        .await
        .expect("the fleet starts");
    let process = ProcessInstance::start(&fleet, "paused-1");
    let caller = TestCaller::new(&fleet, "dairy-north").with_address(&process.address);
    eventually("the process' first call", async || {
        let warm_up = caller.try_book(1, "warm-up", &booking()).await;
        warm_up.is_ok_and(|answer| answer.status == StatusCode::OK)
    })
    .await;
    eventually("the address of the process", async || {
        let answer = caller.addresses(0).await;
        let entries = answer["addresses"].as_array().cloned().unwrap_or_default();
        entries
            .iter()
            .any(|entry| entry["address"] == process.address.as_str() && entry["home"].is_string())
    })
    .await;
    (fleet, caller, process)
}

/// Sends a call to the child process, pauses it once the service has the call, retries at the other instance and
/// resumes the child process.
async fn pause_during_call(
    key: &str,
    fleet: &Fleet,
    caller: &TestCaller,
    process: &ProcessInstance,
) -> [CallResult; 2] {
    set_service_faults(fleet, |plan| plan.answer_delay_ms = ANSWER_DELAY_MS);
    let body = booking();
    let first_caller = TestCaller::new(fleet, "dairy-north")
        .with_address(&process.address)
        .with_deadline(FIRST_DEADLINE_MS);
    let first = first_caller.book(1, key, &body);
    let retries = async {
        eventually("the first attempt", async || runs(fleet, key) == 1).await;
        process.pause();
        let meanwhile = caller.book(0, key, &body).await;
        process.resume();
        meanwhile
    };
    let (first, meanwhile) = tokio::join!(first, retries);
    [first, meanwhile]
}

#[tokio::test(flavor = "multi_thread")]
async fn a_paused_home_answers_after_resuming_and_no_other_instance_runs_its_call() {
    let (fleet, caller, process) = start().await;
    let answer = caller.addresses(0).await;
    let entries = answer["addresses"].as_array().expect("a list of addresses");
    let own = entries
        .iter()
        .find(|entry| entry["address"] == process.address.as_str())
        .expect("the process is listed");
    let key = format!("{}.paused", own["home"].as_str().expect("a home token"));

    let [first, meanwhile] = pause_during_call(&key, &fleet, &caller, &process).await;

    assert_eq!(
        meanwhile.execution.as_deref(),
        Some("outcome_unknown"),
        "{meanwhile:?}"
    );
    assert_eq!(first.status, StatusCode::OK, "{first:?}");
    eventually("the answer from the home", async || {
        caller.book(0, &key, &booking()).await.body == first.body
    })
    .await;
    assert_eq!(runs(&fleet, &key), 1);
    fleet.close().await;
}

#[tokio::test(flavor = "multi_thread")]
async fn a_paused_claimant_answers_after_resuming_and_no_other_instance_runs_its_call() {
    let (fleet, caller, process) = start().await;

    let [first, meanwhile] = pause_during_call("paused", &fleet, &caller, &process).await;

    assert_eq!(
        meanwhile.execution.as_deref(),
        Some("outcome_unknown"),
        "{meanwhile:?}"
    );
    assert_eq!(first.status, StatusCode::OK, "{first:?}");
    eventually("the answer in the log", async || {
        caller.book(0, "paused", &booking()).await.body == first.body
    })
    .await;
    assert_eq!(runs(&fleet, "paused"), 1);
    fleet.close().await;
}
