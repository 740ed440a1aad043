//! Limits per customer and service, and immediate refusals.

mod support;

use marigoldlock_fleet::{Fleet, FleetOptions};
use marigoldlock_standin::prelude::expected_text;
use reqwest::StatusCode;
use serde_json::json;
use support::{TestCaller, call_result, chat_messages, eventually, read_stream};

const PROMPT: &str = "Draft installation notes for the number nine bus";

/// Publishes changes of the team's settings and waits until every instance has applied the last one.
async fn publish(fleet: &Fleet, changes: &[(&str, &str)]) {
    let team = fleet.options().deployment.team;
    let mut offset = 0;
    for (path, body) in changes {
        offset = fleet.publish(&format!("teams/{team}/{path}"), body);
    }
    for instance in &fleet.instances {
        let settings = instance
            .instance()
            .expect("a running instance")
            .context()
            .settings
            .clone();
        let in_force = settings
            .wait_for(|state| state.active.version().offset() > offset)
            .await;
        assert!(in_force, "the change is in force");
    }
}

fn requests_at_engines(fleet: &Fleet) -> u64 {
    let engines = fleet.upstreams(fleet.options().deployment.chat.as_str());
    engines
        .iter()
        .filter_map(|id| fleet.host.engine_seen(id))
        .map(|seen| seen.requests)
        .sum()
}

#[tokio::test(flavor = "multi_thread")]
async fn an_open_route_needs_no_key_and_forwards_none() {
    let fleet = Fleet::start(FleetOptions::small(1))
        .await
        .expect("the fleet starts");
    let plain = fleet.options().deployment.plain.clone();
    publish(&fleet, &[(&format!("services/{plain}/open"), "value = true")]).await;
    let caller = TestCaller::new(&fleet, "dairy-north");
    let url = caller.url(0, &format!("/services/{plain}/faces?free=true"));

    let without = call_result(caller.http().get(&url).send().await.expect("an answer")).await;
    let with = caller
        .http()
        .get(&url)
        .bearer_auth(caller.key())
        .send()
        .await
        .expect("an answer");
    let with = call_result(with).await;

    assert_eq!(without.expect("a body").status, StatusCode::OK);
    let with = with.expect("a body");
    assert_eq!(with.status, StatusCode::OK);
    assert!(
        !with.body.contains(caller.key()),
        "the key was forwarded: {}",
        with.body
    );
    assert!(
        with.body.contains("/faces?free=true"),
        "the query is missing: {}",
        with.body
    );
    fleet.close().await;
}

#[tokio::test(flavor = "multi_thread")]
async fn a_chat_above_the_stream_limit_waits_and_completes() {
    let mut options = FleetOptions::small(1);
    options.engine.decode_tokens_per_s = 40.0;
    let fleet = Fleet::start(options).await.expect("the fleet starts");
    publish(&fleet, &[("customers/chess-club/streams", "value = 2")]).await;
    let caller = TestCaller::new(&fleet, "chess-club");

    let first = futures::join!(caller.chat(0, PROMPT, 40, true), caller.chat(0, PROMPT, 40, true));
    let third = caller.stream_chat(0, PROMPT, 5);
    let (third, _, _) = futures::join!(third, read_stream(first.0), read_stream(first.1));

    assert_eq!(
        third.text,
        expected_text(&chat_messages(PROMPT), 5),
        "{}",
        third.body
    );
    fleet.close().await;
}

#[tokio::test(flavor = "multi_thread")]
async fn a_full_queue_refuses_at_once_with_retry_after() {
    let mut options = FleetOptions::small(1);
    options.engine.decode_tokens_per_s = 10.0;
    let fleet = Fleet::start(options).await.expect("the fleet starts");
    let chat = fleet.options().deployment.chat.clone();
    let queue = format!("services/{chat}/queue_limit");
    publish(
        &fleet,
        &[
            ("customers/chess-club/streams", "value = 1"),
            (&queue, "value = 1"),
        ],
    )
    .await;
    let caller = TestCaller::new(&fleet, "chess-club");
    let running = caller.chat(0, PROMPT, 1_000, true).await;
    let waiting = caller.chat(0, PROMPT, 1_000, true);
    let context = fleet.instances[0]
        .instance()
        .expect("a running instance")
        .context()
        .clone();
    let refused = async {
        eventually("a waiting request", async || {
            let queues = context.dispatch.queues().await;
            queues.iter().any(|queue| queue.queued.iter().sum::<u32>() == 1)
        })
        .await;
        call_result(caller.chat(0, PROMPT, 1_000, true).await)
            .await
            .expect("a body")
    };

    let refused = tokio::select! {
        refused = refused => refused,
        _ = waiting => panic!("the second chat must not start"),
    };

    assert_eq!(refused.code, Some(3001), "{refused:?}");
    assert_eq!(refused.execution.as_deref(), Some("not_run"));
    assert!(refused.retry_after.is_some(), "{refused:?}");
    assert_eq!(requests_at_engines(&fleet), 1);
    drop(running);
    fleet.close().await;
}

#[tokio::test(flavor = "multi_thread")]
async fn a_deadline_that_cannot_be_met_is_refused_at_once_and_not_run() {
    let fleet = Fleet::start(FleetOptions::small(1))
        .await
        .expect("the fleet starts");
    let caller = TestCaller::new(&fleet, "dairy-north");
    let body = json!({
        "model": fleet.options().deployment.model,
        "messages": chat_messages(PROMPT),
        "max_tokens": 4_000,
    });
    let request = caller
        .http()
        .post(caller.url(0, "/v1/chat/completions"))
        .bearer_auth(caller.key());

    let answer = request
        .header("x-deadline-ms", "50")
        .json(&body)
        .send()
        .await
        .expect("an answer");
    let refused = call_result(answer).await.expect("a body");

    assert_eq!(refused.code, Some(3003), "{refused:?}");
    assert!(refused.retry_after.is_some(), "{refused:?}");
    assert_eq!(requests_at_engines(&fleet), 0);
    fleet.close().await;
}

#[tokio::test(flavor = "multi_thread")]
async fn stalled_reviews_of_one_customer_block_no_bookings_and_chats() {
    let mut options = FleetOptions::small(1);
    options.engine.slots = 4;
    let fleet = Fleet::start(options).await.expect("the fleet starts");
    let deployment = fleet.options().deployment.clone();
    let reviewer = TestCaller::new(&fleet, "dairy-south");
    let caller = TestCaller::new(&fleet, "dairy-north");
    let stalled = fleet
        .upstreams(deployment.chat.as_str())
        .into_iter()
        .next()
        .expect("an engine");
    let faults = fleet.host.faults(&stalled).expect("a running engine");
    faults.update(|plan| plan.stall_stream_after = Some(1));
    let review = (0..500)
        .map(|word| format!("clause{word}"))
        .collect::<Vec<_>>()
        .join(" ");
    let url = reviewer.url(0, "/v1/chat/completions");
    let reviews = (0..24).map(|_| {
        let body = json!({"model": deployment.model, "messages": chat_messages(&review), "max_tokens": 2_000, "stream": true});
        let request = reviewer.http().post(&url).bearer_auth(reviewer.key()).header("x-class", "long");
        tokio::spawn(request.json(&body).send())
    });
    let reviews: Vec<_> = reviews.collect();
    eventually("the reviews", async || requests_at_engines(&fleet) >= 4).await;

    for index in 0..5 {
        let key = caller.home_key(0, &format!("face-{index}")).await;
        assert_eq!(
            caller.book(0, &key, &json!({"face": index})).await.status,
            StatusCode::OK
        );
        let chat = caller.stream_chat(0, "Is a face free in May", 5).await;
        assert_eq!(
            chat.text,
            expected_text(&chat_messages("Is a face free in May"), 5),
            "{}",
            chat.body
        );
    }

    for review in reviews {
        review.abort();
    }
    fleet.close().await;
}
