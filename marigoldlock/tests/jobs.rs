//! Jobs: appended to the log when accepted, run by any live instance, finished after failures of instances and log.

mod support;

use base64::Engine as _;
use base64::engine::general_purpose::STANDARD;
use marigoldlock_fleet::{Fleet, FleetOptions};
use marigoldlock_standin::prelude::*;
use marigoldlock_wire::codec;
use marigoldlock_wire::record::jobs::JobRecord;
use marigoldlock_wire::record::{Envelope, JOBS_STREAM};
use reqwest::StatusCode;
use serde_json::{Value, json};
use support::{CallResult, TestCaller, call_result, chat_messages, eventually};

async fn start(instances: usize) -> (Fleet, TestCaller) {
    let fleet = Fleet::start(FleetOptions::small(instances))
        .await
        .expect("the fleet starts");
    let caller = TestCaller::new(&fleet, "dairy-north");
    (fleet, caller)
}

async fn submit(caller: &TestCaller, instance: usize, prompt: &str, key: Option<&str>) -> CallResult {
    let body = json!({
        "model": caller.model(),
        "messages": chat_messages(prompt),
        "max_tokens": 30,
    });
    let request = caller
        .http()
        .post(caller.url(instance, "/v1/jobs"))
        .bearer_auth(caller.key())
        .json(&body);
    let request = match key {
        Some(key) => request.header("idempotency-key", key),
        None => request,
    };
    call_result(request.send().await.expect("an answer"))
        .await
        .expect("a whole answer")
}

fn job_id(accepted: &CallResult) -> String {
    assert_eq!(accepted.status, StatusCode::ACCEPTED, "{accepted:?}");
    let body: Value = serde_json::from_str(&accepted.body).expect("JSON");
    body["id"].as_str().expect("an id").to_owned()
}

async fn get_job(caller: &TestCaller, instance: usize, job: &str) -> Option<Value> {
    let request = caller
        .http()
        .get(caller.url(instance, &format!("/v1/jobs/{job}")))
        .bearer_auth(caller.key());
    request.send().await.ok()?.json().await.ok()
}

async fn finished_text(caller: &TestCaller, instance: usize, job: &str) -> String {
    let mut text = String::new();
    eventually("the job's result", async || {
        let job = get_job(caller, instance, job).await.unwrap_or_default();
        text = job["result"]["choices"][0]["message"]["content"]
            .as_str()
            .unwrap_or_default()
            .to_owned();
        job["state"] == "finished"
    })
    .await;
    text
}

fn expected(prompt: &str) -> String {
    expected_text(&chat_messages(prompt), 30)
}

fn set_engine_faults(fleet: &Fleet, change: impl Fn(&mut FaultPlan)) {
    for upstream in fleet.upstreams(fleet.options().deployment.chat.as_str()) {
        if let Some(faults) = fleet.host.faults(&upstream) {
            faults.update(&change);
        }
    }
}

#[tokio::test(flavor = "multi_thread")]
async fn a_result_is_available_at_every_instance() {
    let (fleet, caller) = start(3).await;
    let prompt = "Review the contract of face 17";

    let job = job_id(&submit(&caller, 0, prompt, None).await);

    for instance in 0..3 {
        assert_eq!(finished_text(&caller, instance, &job).await, expected(prompt));
    }
    let stranger = TestCaller::new(&fleet, "chess-club");
    let answer = get_job(&stranger, 0, &job).await.expect("an answer");
    assert_eq!(answer["error"]["code"], 7001, "{answer}");
    fleet.log.faults().update(|plan| plan.gone = true);
    let unread = get_job(&caller, 0, &job).await.expect("an answer");
    assert_eq!(unread["error"]["code"], 7003, "{unread}");
    fleet.close().await;
}

#[tokio::test(flavor = "multi_thread")]
async fn a_large_input_is_split_over_records() {
    let (fleet, caller) = start(2).await;
    let prompt = "tender clause ".repeat(50_000);

    let job = job_id(&submit(&caller, 0, &prompt, None).await);

    assert_eq!(finished_text(&caller, 1, &job).await, expected(&prompt));
    fleet.close().await;
}

#[tokio::test(flavor = "multi_thread")]
async fn a_job_outlives_the_replacement_of_every_instance() {
    let (mut fleet, caller) = start(2).await;
    let prompt = "Summarise the tender of the north line";
    set_engine_faults(&fleet, |plan| plan.refuse = CallBudget::Every);
    let job = job_id(&submit(&caller, 0, prompt, None).await);

    fleet.kill_instance(0);
    fleet.kill_instance(1);
    fleet.delist(0);
    fleet.delist(1);
    let replacement = fleet.add_instance().await.expect("a replacement instance");
    set_engine_faults(&fleet, |plan| plan.refuse = CallBudget::None);

    let caller = TestCaller::new(&fleet, "dairy-north");
    assert_eq!(finished_text(&caller, replacement, &job).await, expected(prompt));
    fleet.close().await;
}

#[tokio::test(flavor = "multi_thread")]
async fn a_job_accepted_before_a_log_outage_finishes_after_it() {
    let (fleet, caller) = start(2).await;
    let prompt = "Review the clauses on damages";
    set_engine_faults(&fleet, |plan| plan.refuse = CallBudget::Every);
    let job = job_id(&submit(&caller, 0, prompt, None).await);

    fleet.log.faults().update(|plan| plan.gone = true);
    let refused = submit_until_refused(&caller).await;
    assert_eq!(refused.execution.as_deref(), Some("not_run"), "{refused:?}");
    set_engine_faults(&fleet, |plan| plan.refuse = CallBudget::None);
    fleet.log.faults().update(|plan| plan.gone = false);

    assert_eq!(finished_text(&caller, 1, &job).await, expected(prompt));
    fleet.close().await;
}

async fn submit_until_refused(caller: &TestCaller) -> CallResult {
    let mut last = None;
    eventually("a refusal without the log", async || {
        let answer = submit(caller, 0, "Never accepted", None).await;
        let refused = answer.code == Some(3009);
        last = Some(answer);
        refused
    })
    .await;
    last.expect("at least one answer")
}

#[tokio::test(flavor = "multi_thread")]
async fn a_retry_after_a_lost_append_response_finds_the_first_job() {
    let (fleet, caller) = start(2).await;
    let prompt = "Write the minutes";
    fleet.log.faults().set(FaultPlan {
        method: Some("POST".into()),
        path: Some("/v1/streams/jobs/".into()),
        drop_answer: CallBudget::Next(1),
        ..FaultPlan::default()
    });

    let first = job_id(&submit(&caller, 0, prompt, Some("minutes")).await);
    let again = job_id(&submit(&caller, 1, prompt, Some("minutes")).await);
    let other = submit(&caller, 1, "Write other minutes", Some("minutes")).await;

    assert_eq!(first, again);
    assert_eq!(other.code, Some(1015), "{other:?}");
    assert_eq!(finished_text(&caller, 1, &first).await, expected(prompt));
    fleet.close().await;
}

/// Returns the index of the instance whose claim is the first in the log.
fn holder(fleet: &Fleet) -> Option<usize> {
    let records = fleet.log.records(JOBS_STREAM, 0).records;
    let envelopes = records.iter().map(|record| {
        let data = STANDARD.decode(&record.data).expect("the log gives base64");
        codec::decode::<Envelope<JobRecord>>(&data).expect("an envelope of jobs")
    });
    let is_claim = |record: &JobRecord| matches!(record, JobRecord::Claim(_));
    let claim = envelopes
        .into_iter()
        .find(|envelope| envelope.records.iter().any(is_claim))?;
    fleet
        .instances
        .iter()
        .position(|instance| instance.name() == claim.writer.as_str())
}

#[tokio::test(flavor = "multi_thread")]
async fn another_instance_takes_over_when_the_holder_is_killed() {
    let (mut fleet, caller) = start(2).await;
    let prompt = "Review the long contract";
    set_engine_faults(&fleet, |plan| plan.stall = CallBudget::Every);
    let job = job_id(&submit(&caller, 0, prompt, None).await);
    eventually("a holder", async || holder(&fleet).is_some()).await;
    let killed = holder(&fleet).expect("there is a holder");

    fleet.kill_instance(killed);
    fleet.delist(killed);
    set_engine_faults(&fleet, |plan| plan.stall = CallBudget::None);

    let survivor = 1 - killed;
    assert_eq!(finished_text(&caller, survivor, &job).await, expected(prompt));
    fleet.close().await;
}
