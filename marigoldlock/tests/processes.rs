//! Instances in real processes that are killed, paused, drained and restarted, and platform outages.

mod process_support;
mod support;

#[path = "support/process.rs"]
mod process;

use futures::future::join_all;
use marigoldlock_standin::prelude::*;
use process_support::{ProcessFleet, booking};
use reqwest::StatusCode;
use support::{CallResult, chat_messages, eventually, read_stream, set_service_faults};

/// Output length of streams that must still run when their instance is killed or drained.
const LONG_STREAM_TOKENS: u64 = 1_500;

/// Rounds of work in an outage, after every instance has noticed it.
const OUTAGE_ROUNDS: usize = 20;

fn assert_unknown(answer: &CallResult) {
    assert_eq!(answer.execution.as_deref(), Some("outcome_unknown"), "{answer:?}");
}

/// Runs a chat at every instance and a booking under every instance's home key.
async fn serve_round(processes: &ProcessFleet, homes: &[String], round: usize) {
    for (index, home) in homes.iter().enumerate() {
        let chat = processes.caller.stream_chat(index, "Write a slogan", 5).await;
        assert!(chat.is_done, "round {round} at {index}: {chat:?}");
        // The booking is sent to another instance than the home, so that it is always forwarded.
        let key = format!("{home}.round-{round}");
        let at = (index + 1) % homes.len();
        let answer = processes.caller.book(at, &key, &booking()).await;
        assert_eq!(answer.status, StatusCode::OK, "round {round}: {answer:?}");
        assert_eq!(processes.runs(&key), 1);
    }
}

/// Returns the instances' home tokens.
async fn homes(processes: &ProcessFleet) -> Vec<String> {
    let mut homes = Vec::new();
    for index in 0..processes.instances.len() {
        let key = processes.caller.home_key(index, "part").await;
        homes.push(key.trim_end_matches(".part").to_owned());
    }
    homes
}

/// Runs rounds of work until every instance refuses plain keys because the log is unavailable, then some more.
async fn serve_through_outage(processes: &ProcessFleet, homes: &[String]) {
    let rounds = std::cell::Cell::new(0);
    for index in 0..homes.len() {
        eventually("the refusal of a plain key", async || {
            rounds.set(rounds.get() + 1);
            serve_round(processes, homes, rounds.get()).await;
            let key = format!("outage-{index}-{}", rounds.get());
            let answer = processes.caller.book(index, &key, &booking()).await;
            answer.execution.as_deref() == Some("not_run") && processes.runs(&key) == 0
        })
        .await;
    }
    for _ in 0..OUTAGE_ROUNDS {
        rounds.set(rounds.get() + 1);
        serve_round(processes, homes, rounds.get()).await;
    }
}

#[tokio::test(flavor = "multi_thread")]
async fn a_kill_during_streams_and_bookings_runs_nothing_twice() {
    let processes = ProcessFleet::start(3, &[]).await;
    set_service_faults(&processes.fleet, |plan| plan.stall_answer = CallBudget::Every);
    let home_key = processes.caller.home_key(0, "killed").await;
    let keys = [home_key.as_str(), "plain-killed"];
    let body = booking();

    let mut opened = Vec::new();
    for _ in 0..4 {
        let chat = processes
            .caller
            .chat(0, "Write a slogan", LONG_STREAM_TOKENS, true);
        opened.push(chat.await);
    }
    let streams = join_all(opened.into_iter().map(read_stream));
    let bookings = join_all(keys.map(|key| processes.caller.try_book(0, key, &body)));
    let forwarded = processes.caller.book(1, &home_key, &body);
    let kill = async {
        eventually("both bookings at the service", async || {
            keys.iter().all(|key| processes.runs(key) == 1)
        })
        .await;
        processes.instances[0].kill();
        set_service_faults(&processes.fleet, |plan| plan.stall_answer = CallBudget::None);
    };
    let (streams, bookings, forwarded, ()) = tokio::join!(streams, bookings, forwarded, kill);

    assert!(
        streams.iter().all(|stream| !stream.is_done),
        "a broken stream has an end marker"
    );
    assert!(bookings.iter().all(Result::is_err), "{bookings:?}");
    assert_unknown(&forwarded);
    for index in [1, 2] {
        let chat = processes.caller.stream_chat(index, "Write a slogan", 40).await;
        assert_eq!(chat.text, expected_text(&chat_messages("Write a slogan"), 40));
        for key in keys {
            assert_unknown(&processes.caller.book(index, key, &body).await);
        }
    }
    assert_eq!(keys.map(|key| processes.runs(key)), [1, 1]);
    processes.fleet.close().await;
}

#[tokio::test(flavor = "multi_thread")]
async fn callers_that_fail_over_after_a_kill_run_each_key_at_most_once() {
    let processes = ProcessFleet::start(3, &[]).await;
    set_service_faults(&processes.fleet, |plan| plan.answer_delay_ms = 30);
    let homes = homes(&processes).await;
    let plain = (0..30).map(|number| format!("plain-{number}"));
    let home = (0..30).map(|number| format!("{}.{number}", homes[number % 3]));
    let keys: Vec<String> = plain.chain(home).collect();

    let bookings = join_all(
        keys.iter()
            .enumerate()
            .map(|(number, key)| processes.book_anywhere(number % 3, key)),
    );
    let kill = async {
        eventually("some bookings", async || {
            keys.iter().any(|key| processes.runs(key) > 0)
        })
        .await;
        processes.instances[0].kill();
    };
    let (answers, ()) = tokio::join!(bookings, kill);

    for (key, answer) in keys.iter().zip(&answers) {
        let runs = processes.runs(key);
        assert!(runs <= 1, "{key} ran {runs} times");
        let is_answered = answer
            .as_ref()
            .is_some_and(|answer| answer.status == StatusCode::OK);
        assert!(!is_answered || runs == 1, "{key} was answered without a run");
    }
    let answered = answers.iter().flatten().count();
    assert_eq!(
        answered,
        keys.len(),
        "a key got no answer from the remaining instances"
    );
    processes.fleet.close().await;
}

#[tokio::test(flavor = "multi_thread")]
async fn a_drained_instance_finishes_its_requests_and_exits_successfully() {
    let mut processes = ProcessFleet::start(2, &["--leave-notice-ms", "500"]).await;
    set_service_faults(&processes.fleet, |plan| plan.answer_delay_ms = 1_500);
    let prompts: Vec<String> = (0..4).map(|number| format!("Write slogan {number}")).collect();
    let mut opened = Vec::new();
    for prompt in &prompts {
        opened.push(processes.caller.chat(0, prompt, LONG_STREAM_TOKENS, true).await);
    }
    let key = processes.caller.home_key(0, "drained").await;

    let body = booking();
    let booking = processes.caller.book(0, &key, &body);
    let drain = async {
        eventually("the booking at the service", async || processes.runs(&key) == 1).await;
        processes.instances[0].terminate();
        processes.wait_advertised(1, 0, false).await;
    };
    let streams = join_all(opened.into_iter().map(read_stream));
    let (streams, booking, ()) = tokio::join!(streams, booking, drain);

    for (prompt, stream) in prompts.iter().zip(&streams) {
        assert!(stream.is_done, "{stream:?}");
        let expected = expected_text(&chat_messages(prompt), LONG_STREAM_TOKENS);
        assert_eq!(stream.text, expected);
    }
    assert_eq!(booking.status, StatusCode::OK, "{booking:?}");
    let mut drained = processes.instances.remove(0);
    eventually("the end of the process", async || drained.exit_status().is_some()).await;
    let status = drained.exit_status().expect("the process has exited");
    assert!(status.success(), "{status}");
    assert_eq!(processes.runs(&key), 1);
    processes.fleet.close().await;
}

#[tokio::test(flavor = "multi_thread")]
async fn a_restarted_instance_does_not_accept_its_old_home_keys() {
    let mut processes = ProcessFleet::start(2, &[]).await;
    let key = processes.caller.home_key(0, "before").await;
    let body = booking();
    let first = processes.caller.book(0, &key, &body).await;
    assert_eq!(first.status, StatusCode::OK, "{first:?}");

    processes.instances[0].kill();
    processes.restart(0).await;

    let unused = key.replace("before", "unused");
    for index in [0, 1] {
        assert_unknown(&processes.caller.book(index, &key, &body).await);
        assert_unknown(&processes.caller.book(index, &unused, &body).await);
    }
    let other = processes.caller.home_key(0, "before").await;
    assert_ne!(other, key);
    let answer = processes.caller.book(1, &other, &body).await;
    assert_eq!(answer.status, StatusCode::OK, "{answer:?}");
    let runs = [&key, &unused, &other].map(|key| processes.runs(key));
    assert_eq!(runs, [1, 0, 1]);
    processes.fleet.close().await;
}

#[tokio::test(flavor = "multi_thread")]
async fn a_log_outage_affects_only_calls_that_need_the_log() {
    let processes = ProcessFleet::start(3, &[]).await;
    let homes = homes(&processes).await;
    processes.fleet.log.faults().update(|plan| plan.gone = true);

    serve_through_outage(&processes, &homes).await;

    processes.fleet.log.faults().update(|plan| plan.gone = false);
    eventually("a plain key after the outage", async || {
        let answer = processes.caller.book(1, "after-outage", &booking()).await;
        answer.status == StatusCode::OK
    })
    .await;
    assert_eq!(processes.runs("after-outage"), 1);
    processes.fleet.close().await;
}

#[tokio::test(flavor = "multi_thread")]
async fn a_silent_platform_affects_only_calls_that_need_the_log() {
    let processes = ProcessFleet::start(3, &[]).await;
    let homes = homes(&processes).await;
    let stall = |plan: &mut FaultPlan| {
        plan.silence_open = true;
        plan.stall = CallBudget::Every;
    };
    processes.fleet.log.faults().update(stall);
    processes.fleet.list.faults().update(stall);

    serve_through_outage(&processes, &homes).await;

    processes.fleet.log.faults().set(FaultPlan::default());
    processes.fleet.list.faults().set(FaultPlan::default());
    eventually("a plain key after the silence", async || {
        let answer = processes.caller.book(1, "after-silence", &booking()).await;
        answer.status == StatusCode::OK
    })
    .await;
    assert_eq!(processes.runs("after-silence"), 1);
    processes.fleet.close().await;
}

#[tokio::test(flavor = "multi_thread")]
async fn a_silent_peer_is_not_advertised_until_it_responds_again() {
    let processes = ProcessFleet::start(3, &[]).await;
    let key = processes.caller.home_key(1, "silent").await;
    let body = booking();

    processes.instances[1].pause();
    let meanwhile = processes.caller.book(0, &key, &body).await;
    for at in [0, 2] {
        processes.wait_advertised(at, 1, false).await;
        let chat = processes.caller.stream_chat(at, "Write a slogan", 5).await;
        assert!(chat.is_done, "{chat:?}");
    }
    let later = processes.caller.book(2, &key, &body).await;
    processes.instances[1].resume();
    for at in [0, 2] {
        processes.wait_advertised(at, 1, true).await;
    }

    assert_unknown(&meanwhile);
    assert_unknown(&later);
    eventually("an answer from the home", async || {
        let answer = processes.caller.book(0, &key, &body).await;
        answer.status == StatusCode::OK
    })
    .await;
    assert_eq!(processes.runs(&key), 1);
    processes.fleet.close().await;
}
