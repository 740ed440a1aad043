//! Streams whose engine fails, goes silent or leaves, and callers that disconnect or stop reading.

mod support;

use futures::StreamExt;
use marigoldlock_fleet::{Fleet, FleetOptions};
use marigoldlock_standin::prelude::*;
use marigoldlock_wire::prelude::*;
use reqwest::StatusCode;
use support::{TestCaller, chat_messages, eventually, read_stream};
use tokio::io::AsyncWriteExt;

const PROMPT: &str = "Summarise the tender file in plain words";

fn engines(fleet: &Fleet) -> Vec<UpstreamId> {
    fleet.upstreams(fleet.options().deployment.chat.as_str())
}

fn update_engines(fleet: &Fleet, change: impl Fn(&mut FaultPlan)) {
    for faults in engines(fleet).iter().filter_map(|id| fleet.host.faults(id)) {
        faults.update(&change);
    }
}

/// Sets the chat service's progress timeout and waits until every instance has applied it.
async fn set_progress_timeout(fleet: &Fleet, millis: u64) {
    let deployment = &fleet.options().deployment;
    let path = format!(
        "teams/{}/services/{}/progress_timeout_ms",
        deployment.team, deployment.chat
    );
    fleet.publish(&path, &format!("value = {millis}"));
    for instance in &fleet.instances {
        let settings = instance
            .instance()
            .expect("a running instance")
            .context()
            .settings
            .clone();
        let chat = deployment.chat.clone();
        let in_force = settings.wait_for(|state| {
            let service = state.active.service(chat.as_str());
            service.is_some_and(|service| service.progress_timeout_ms == millis)
        });
        assert!(in_force.await, "the change is in force");
    }
}

#[tokio::test(flavor = "multi_thread")]
async fn a_stream_cut_by_its_engine_resumes_at_another_without_lost_or_duplicate_tokens() {
    let fleet = Fleet::start(FleetOptions::small(1))
        .await
        .expect("the fleet starts");
    let caller = TestCaller::new(&fleet, "dairy-north");
    update_engines(&fleet, |plan| plan.cut_stream_after = Some(25));

    let chat = caller.stream_chat(0, PROMPT, 60).await;

    assert!(chat.is_done, "the end marker is missing: {}", chat.body);
    assert_eq!(chat.text, expected_text(&chat_messages(PROMPT), 60));
    assert_eq!(chat.body.matches("[DONE]").count(), 1);
    let seen: Vec<_> = engines(&fleet)
        .iter()
        .filter_map(|id| fleet.host.engine_seen(id))
        .collect();
    let resumed = seen
        .iter()
        .flat_map(|seen| &seen.recent)
        .filter(|request| request.resumed_tokens > 0);
    assert!(resumed.count() >= 1, "no engine was asked to resume");
    assert!(
        seen.iter()
            .flat_map(|seen| &seen.recent)
            .all(|request| !request.resume_differs)
    );
    fleet.close().await;
}

#[tokio::test(flavor = "multi_thread")]
async fn a_stream_resumes_at_another_engine_when_its_engine_goes_silent() {
    let fleet = Fleet::start(FleetOptions::small(1))
        .await
        .expect("the fleet starts");
    set_progress_timeout(&fleet, 300).await;
    let caller = TestCaller::new(&fleet, "dairy-north");
    let first = engines(&fleet).remove(0);
    // All engines but one stop sending in the middle of a stream without closing it.
    for id in engines(&fleet).into_iter().filter(|id| *id != first) {
        let faults = fleet.host.faults(&id).expect("a running engine");
        faults.update(|plan| plan.stall_stream_after = Some(10));
    }

    for _ in 0..3 {
        let chat = caller.stream_chat(0, PROMPT, 40).await;
        assert_eq!(chat.status, StatusCode::OK, "{}", chat.body);
        assert_eq!(chat.text, expected_text(&chat_messages(PROMPT), 40));
        assert!(chat.is_done);
    }
    fleet.close().await;
}

#[tokio::test(flavor = "multi_thread")]
async fn a_chat_is_retried_at_another_engine_when_its_engine_never_responds() {
    let fleet = Fleet::start(FleetOptions::small(1))
        .await
        .expect("the fleet starts");
    set_progress_timeout(&fleet, 300).await;
    let caller = TestCaller::new(&fleet, "dairy-north");
    let stalled = engines(&fleet).remove(0);
    let faults = fleet.host.faults(&stalled).expect("a running engine");
    faults.update(|plan| {
        plan.path = Some("/v1/chat".into());
        plan.stall = CallBudget::Every;
    });

    for _ in 0..4 {
        let chat = caller.stream_chat(0, PROMPT, 10).await;
        assert_eq!(
            chat.text,
            expected_text(&chat_messages(PROMPT), 10),
            "{}",
            chat.body
        );
    }
    fleet.close().await;
}

#[tokio::test(flavor = "multi_thread")]
async fn a_stream_that_no_engine_can_finish_ends_with_an_error_code_and_no_end_marker() {
    let fleet = Fleet::start(FleetOptions::small(1))
        .await
        .expect("the fleet starts");
    let caller = TestCaller::new(&fleet, "dairy-north");
    update_engines(&fleet, |plan| plan.cut_stream_after = Some(1));

    let chat = caller.stream_chat(0, PROMPT, 50).await;

    assert!(!chat.is_done);
    assert!(chat.body.contains("\"code\":4003"), "{}", chat.body);
    let expected = expected_text(&chat_messages(PROMPT), 50);
    assert!(
        expected.starts_with(&chat.text),
        "the partial output is not a prefix of the expected text: {}",
        chat.text
    );
    fleet.close().await;
}

#[tokio::test(flavor = "multi_thread")]
async fn a_caller_that_disconnects_cancels_its_request_at_the_engine() {
    let mut options = FleetOptions::small(1);
    options.engine.decode_tokens_per_s = 20.0;
    let fleet = Fleet::start(options).await.expect("the fleet starts");
    let caller = TestCaller::new(&fleet, "dairy-north");

    let response = caller.chat(0, PROMPT, 2_000, true).await;
    let mut body = response.bytes_stream();
    body.next().await.expect("a first token").expect("a first token");
    drop(body);

    eventually("the cancellation", async || {
        engines(&fleet)
            .iter()
            .filter_map(|id| fleet.host.engine_seen(id))
            .any(|seen| seen.cancelled == 1)
    })
    .await;
    fleet.close().await;
}

#[tokio::test(flavor = "multi_thread")]
async fn concurrent_responses_are_not_mixed_up() {
    let fleet = Fleet::start(FleetOptions::small(2))
        .await
        .expect("the fleet starts");
    let caller = TestCaller::new(&fleet, "dairy-north");
    update_engines(&fleet, |plan| plan.cut_stream_after = Some(15));

    let chats = futures::future::join_all((0..24).map(|index| {
        let caller = &caller;
        async move {
            let prompt = format!("Review contract number {index}");
            (caller.stream_chat(index % 2, &prompt, 20).await, prompt)
        }
    }));

    for (chat, prompt) in chats.await {
        assert_eq!(
            chat.text,
            expected_text(&chat_messages(&prompt), 20),
            "{}",
            chat.body
        );
    }
    fleet.close().await;
}

#[tokio::test(flavor = "multi_thread")]
async fn an_engine_listed_as_leaving_gets_no_new_work_and_finishes_what_it_has() {
    let mut options = FleetOptions::small(1);
    options.engine.decode_tokens_per_s = 50.0;
    let fleet = Fleet::start(options).await.expect("the fleet starts");
    let caller = TestCaller::new(&fleet, "dairy-north");
    let running = caller.chat(0, PROMPT, 60, true).await;
    let busy = engines(&fleet)
        .into_iter()
        .find(|id| fleet.host.engine_seen(id).is_some_and(|seen| seen.requests > 0));
    let busy = busy.expect("an engine with the request");

    fleet
        .list
        .handle()
        .set_state(busy.as_str(), marigoldlock_wire::platform::ListState::Leaving);
    let dispatch = fleet.instances[0]
        .instance()
        .expect("a running instance")
        .context()
        .dispatch
        .clone();
    eventually("the upstream to be leaving", async || {
        dispatch
            .upstreams()
            .await
            .iter()
            .any(|upstream| upstream.upstream == busy && upstream.leaving)
    })
    .await;
    for _ in 0..6 {
        assert!(caller.stream_chat(0, "Another slogan", 5).await.is_done);
    }

    let chat = read_stream(running).await;
    assert_eq!(chat.text, expected_text(&chat_messages(PROMPT), 60));
    assert_eq!(fleet.host.engine_seen(&busy).map(|seen| seen.requests), Some(1));
    fleet.close().await;
}

#[tokio::test(flavor = "multi_thread")]
async fn a_graceful_shutdown_finishes_running_streams() {
    let mut options = FleetOptions::small(2);
    options.engine.decode_tokens_per_s = 50.0;
    let mut fleet = Fleet::start(options).await.expect("the fleet starts");
    let caller = TestCaller::new(&fleet, "dairy-north");
    let running = caller.chat(0, PROMPT, 80, true).await;

    let (finished, chat) = futures::join!(fleet.close_instance(0), read_stream(running));

    assert!(finished, "requests were cut");
    assert!(chat.is_done, "{}", chat.body);
    assert_eq!(chat.text, expected_text(&chat_messages(PROMPT), 80));
    let answer = caller.addresses(1).await;
    assert_eq!(answer["addresses"].as_array().map(Vec::len), Some(1));
    fleet.close().await;
}

#[tokio::test(flavor = "multi_thread")]
async fn prompts_queued_at_a_busy_engine_are_not_sent_again() {
    let mut options = FleetOptions::small(1);
    options.engines = 1;
    options.engine.prefill_tokens_per_s = 1_000.0;
    let fleet = Fleet::start(options).await.expect("the fleet starts");
    set_progress_timeout(&fleet, 1_000).await;
    let caller = TestCaller::new(&fleet, "dairy-north");
    let prompt = |index: usize| {
        (0..400)
            .map(|word| format!("clause{index}x{word} "))
            .collect::<String>()
    };

    let chats = futures::future::join_all((0..7).map(|index| {
        let (caller, prompt) = (&caller, prompt(index));
        async move { (caller.stream_chat(0, &prompt, 5).await, prompt) }
    }));

    for (chat, prompt) in chats.await {
        assert_eq!(
            chat.text,
            expected_text(&chat_messages(&prompt), 5),
            "{}",
            chat.body
        );
    }
    let engine = engines(&fleet).remove(0);
    assert_eq!(fleet.host.engine_seen(&engine).map(|seen| seen.requests), Some(7));
    fleet.close().await;
}

#[tokio::test(flavor = "multi_thread")]
async fn a_request_that_the_engine_rejects_as_too_large_is_not_retried() {
    let mut options = FleetOptions::small(1);
    options.engine.context_tokens = 100;
    let fleet = Fleet::start(options).await.expect("the fleet starts");
    let caller = TestCaller::new(&fleet, "dairy-north");

    let chat = caller.stream_chat(0, PROMPT, 2_000).await;

    assert_eq!(chat.status, StatusCode::BAD_GATEWAY, "{}", chat.body);
    assert!(chat.body.contains("\"code\":4004"), "{}", chat.body);
    let seen = engines(&fleet)
        .iter()
        .filter_map(|id| fleet.host.engine_seen(id))
        .map(|seen| seen.requests)
        .sum::<u64>();
    assert_eq!(seen, 1);
    fleet.close().await;
}

/// Requests a long stream over a connection with a small receive window, and doesn't read the response.
async fn start_unread_stream(fleet: &Fleet, caller: &TestCaller, tokens: u64) -> tokio::net::TcpStream {
    let socket = tokio::net::TcpSocket::new_v4().expect("a socket");
    socket
        .set_recv_buffer_size(4 << 10)
        .expect("a small receive buffer");
    let mut stream = socket
        .connect(fleet.instances[0].address())
        .await
        .expect("a connection");
    let body = serde_json::json!({
        "model": fleet.options().deployment.model,
        "messages": chat_messages(PROMPT),
        "max_tokens": tokens,
        "stream": true,
    });
    let body = body.to_string();
    let head = format!(
        "POST /v1/chat/completions HTTP/1.1\r\nhost: test\r\nauthorization: Bearer {}\r\n\
         content-type: application/json\r\nx-deadline-ms: 86400000\r\ncontent-length: {}\r\n\r\n",
        caller.key(),
        body.len(),
    );
    stream
        .write_all(head.as_bytes())
        .await
        .expect("the request is sent");
    stream
        .write_all(body.as_bytes())
        .await
        .expect("the request is sent");
    stream
}

#[tokio::test(flavor = "multi_thread")]
async fn a_caller_that_stops_reading_is_disconnected() {
    let mut options = FleetOptions::small(1);
    options.engine.burst = true;
    options.engine.burst_frame_tokens = 64;
    options.read_timeout_ms = 500;
    let fleet = Fleet::start(options).await.expect("the fleet starts");
    let deployment = &fleet.options().deployment;
    let path = format!(
        "teams/{}/services/{}/max_output_tokens",
        deployment.team, deployment.chat
    );
    fleet.publish(&path, "value = 100000");
    let caller = TestCaller::new(&fleet, "dairy-north");
    let context = fleet.instances[0]
        .instance()
        .expect("a running instance")
        .context()
        .clone();
    let chat = deployment.chat.clone();
    let in_force = context.settings.wait_for(|state| {
        state
            .active
            .service(chat.as_str())
            .is_some_and(|service| service.max_output_tokens == 100_000)
    });
    assert!(in_force.await);

    let connection = start_unread_stream(&fleet, &caller, 100_000).await;
    let in_flight = async || {
        context
            .dispatch
            .upstreams()
            .await
            .iter()
            .map(|one| one.in_flight)
            .sum::<u32>()
    };

    eventually("the stream", async || in_flight().await == 1).await;
    eventually("the end of the unread stream", async || in_flight().await == 0).await;
    drop(connection);
    fleet.close().await;
}
