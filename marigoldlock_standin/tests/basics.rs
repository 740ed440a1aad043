//! Each stand-in serves its published interface and applies its faults.

use marigoldlock_standin::prelude::*;
use marigoldlock_standin::service::EchoAnswer;
use marigoldlock_wire::engine::ChatMessage;
use marigoldlock_wire::platform::{AppendAnswer, InstanceList, ReadAnswer};
use serde_json::json;

fn chat(content: &str) -> Vec<ChatMessage> {
    vec![ChatMessage {
        role: "user".into(),
        content: content.into(),
    }]
}

#[tokio::test]
async fn log_returns_appended_records() {
    let log = LogStandin::start(LogOptions::default()).await.unwrap();
    let url = format!("http://{}/v1/streams/settings/records", log.address());
    let client = reqwest::Client::new();
    for expected in 0..3 {
        let answer: AppendAnswer = client
            .post(&url)
            .body("record")
            .send()
            .await
            .unwrap()
            .json()
            .await
            .unwrap();
        assert_eq!(answer.offset, expected);
    }
    let answer: ReadAnswer = client
        .get(format!("{url}?from=1&max=10"))
        .send()
        .await
        .unwrap()
        .json()
        .await
        .unwrap();
    assert_eq!((answer.first, answer.head, answer.records.len()), (0, 3, 2));
    log.close().await;
}

#[tokio::test]
async fn waiting_read_ends_with_the_next_append() {
    let log = LogStandin::start(LogOptions::default()).await.unwrap();
    let url = format!("http://{}/v1/streams/settings/records", log.address());
    let client = reqwest::Client::new();
    let read = tokio::spawn(client.get(format!("{url}?from=0&max=10&wait_ms=60000")).send());
    tokio::task::yield_now().await;
    log.append("settings", b"record");
    let answer: ReadAnswer = read.await.unwrap().unwrap().json().await.unwrap();
    assert_eq!(answer.records.len(), 1);
    log.close().await;
}

#[tokio::test]
async fn dropped_answer_keeps_its_effect() {
    let log = LogStandin::start(LogOptions::default()).await.unwrap();
    let url = format!("http://{}/v1/streams/settings/records", log.address());
    let client = reqwest::Client::new();
    assert!(client.post(&url).body("kept").send().await.is_ok());
    log.faults().update(|plan| {
        plan.method = Some("POST".into());
        plan.drop_answer = CallBudget::Next(1);
    });
    assert!(client.post(&url).body("lost").send().await.is_err());
    assert_eq!(log.records("settings", 0).records.len(), 2);
    assert!(client.post(&url).body("kept").send().await.is_ok());
    assert_eq!(log.records("settings", 0).records.len(), 3);
    log.close().await;
}

#[tokio::test]
async fn vanished_standin_comes_back_at_its_address() {
    let list = ListStandin::start(ListOptions::default()).await.unwrap();
    let url = format!("http://{}/v1/instances", list.address());
    let client = reqwest::Client::new();
    list.faults().update(|plan| plan.gone = true);
    assert!(client.get(&url).send().await.is_err());
    list.faults().clear();
    let answer = loop {
        match client.get(&url).send().await {
            Ok(answer) => break answer,
            Err(_) => tokio::task::yield_now().await,
        }
    };
    let answer: InstanceList = answer.json().await.unwrap();
    assert_eq!(answer.version, 1);
    list.close().await;
}

#[tokio::test]
async fn service_echoes_and_counts_duplicates() {
    let service = ServiceStandin::start(ServiceOptions::default()).await.unwrap();
    let url = format!("http://{}/faces/7?day=2", service.address());
    let client = reqwest::Client::new();
    for index in 0..2 {
        let call = client.post(&url).header("Idempotency-Key", "k1").body("dairy");
        let answer: EchoAnswer = call.send().await.unwrap().json().await.unwrap();
        assert_eq!((answer.index, answer.body.as_str()), (index, "dairy"));
        assert_eq!(answer.call.path, "/faces/7?day=2");
    }
    assert_eq!(service.seen().duplicates.get("k1"), Some(&2));
    service.close().await;
}

#[tokio::test]
async fn engine_streams_the_expected_text() {
    let options = EngineOptions {
        decode_tokens_per_s: 10_000.0,
        ..EngineOptions::default()
    };
    let engine = EngineStandin::start(options).await.unwrap();
    let url = format!("http://{}/v1/chat/completions", engine.address());
    let messages = chat("two words");
    let body = json!({"model": "m", "messages": messages, "stream": true, "max_tokens": 5});
    let response = reqwest::Client::new().post(url).json(&body).send().await.unwrap();
    let body = response.text().await.unwrap();
    let mut text = String::new();
    let events: Vec<&str> = body
        .split("\n\n")
        .filter_map(|event| event.strip_prefix("data: "))
        .collect();
    assert_eq!(events.last(), Some(&"[DONE]"));
    for event in &events[..events.len() - 1] {
        let chunk: serde_json::Value = serde_json::from_str(event).unwrap();
        text += chunk["choices"][0]["delta"]["content"]
            .as_str()
            .unwrap_or_default();
    }
    assert_eq!(text, expected_text(&messages, 5));
    engine.close().await;
}
