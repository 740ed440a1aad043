//! End-to-end requests: address lookup, authentication, admission, routing, upstream call, response.

mod support;

use marigoldlock_fleet::{Fleet, FleetOptions};
use marigoldlock_standin::prelude::expected_text;
use reqwest::StatusCode;
use serde_json::{Value, json};
use support::{TestCaller, chat_messages};

#[tokio::test(flavor = "multi_thread")]
async fn a_streamed_chat_completes() {
    let fleet = Fleet::start(FleetOptions::small(2))
        .await
        .expect("the fleet starts");
    let caller = TestCaller::new(&fleet, "dairy-north");

    let chat = caller.stream_chat(0, "Write a slogan for cold milk", 40).await;

    assert_eq!(chat.status, StatusCode::OK);
    assert!(chat.is_done, "the end marker is missing");
    assert_eq!(
        chat.text,
        expected_text(&chat_messages("Write a slogan for cold milk"), 40)
    );
    fleet.close().await;
}

#[tokio::test(flavor = "multi_thread")]
async fn a_chat_without_streaming_completes() {
    let fleet = Fleet::start(FleetOptions::small(1))
        .await
        .expect("the fleet starts");
    let caller = TestCaller::new(&fleet, "chess-club");

    let response = caller.chat(0, "Name a face near the park", 12, false).await;

    assert_eq!(response.status(), StatusCode::OK);
    let body: Value = response.json().await.expect("an answer in JSON");
    let text = body["choices"][0]["message"]["content"].as_str().expect("a text");
    assert_eq!(
        text,
        expected_text(&chat_messages("Name a face near the park"), 12)
    );
    fleet.close().await;
}

#[tokio::test(flavor = "multi_thread")]
async fn a_booking_runs_once_and_every_instance_repeats_its_answer() {
    let fleet = Fleet::start(FleetOptions::small(2))
        .await
        .expect("the fleet starts");
    let caller = TestCaller::new(&fleet, "dairy-north");
    let key = caller.home_key(0, "face-17").await;
    let body = json!({"face": 17, "week": 30});

    let first = caller.book(0, &key, &body).await;
    let again = caller.book(1, &key, &body).await;

    assert_eq!(first.status, StatusCode::OK, "{first:?}");
    assert_eq!(again.body, first.body);
    assert_eq!(support::runs_by_key(&fleet).get(&key), Some(&1));
    fleet.close().await;
}

#[tokio::test(flavor = "multi_thread")]
async fn the_key_is_not_forwarded_to_upstreams() {
    let fleet = Fleet::start(FleetOptions::small(1))
        .await
        .expect("the fleet starts");
    let caller = TestCaller::new(&fleet, "dairy-north");
    let key = caller.home_key(0, "face-18").await;

    let booking = caller.book(0, &key, &json!({"face": 18})).await;
    caller.stream_chat(0, "Write a slogan", 4).await;

    let secret = caller.key();
    assert!(
        !booking.body.contains(secret),
        "the key was forwarded to the booking application"
    );
    let engines = fleet.upstreams(fleet.options().deployment.chat.as_str());
    let seen: Vec<_> = engines
        .iter()
        .filter_map(|id| fleet.host.engine_seen(id))
        .collect();
    assert!(
        !format!("{seen:?}").contains(secret),
        "the key was forwarded to an engine"
    );
    fleet.close().await;
}

#[tokio::test(flavor = "multi_thread")]
async fn the_address_list_has_every_instance_with_its_home_token() {
    let fleet = Fleet::start(FleetOptions::small(3))
        .await
        .expect("the fleet starts");
    let caller = TestCaller::new(&fleet, "dairy-north");

    let answer = caller.addresses(0).await;

    let addresses = answer["addresses"].as_array().expect("a list of addresses");
    assert_eq!(addresses.len(), 3);
    assert!(
        addresses
            .iter()
            .all(|entry| entry["home"].as_str().is_some_and(|home| home.len() == 16))
    );
    fleet.close().await;
}
