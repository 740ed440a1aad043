//! Helpers for tests with a whole fleet.

#![allow(dead_code, reason = "each test binary uses only a part")]

use std::collections::BTreeMap;
use std::time::Duration;

use futures::StreamExt;
use marigoldlock_fleet::Fleet;
use marigoldlock_wire::engine::ChatMessage;
use reqwest::{Response, StatusCode};
use serde_json::{Value, json};

/// Client of the instances, with a customer's key.
pub struct TestCaller {
    http: reqwest::Client,
    addresses: Vec<String>,
    key: String,
    model: String,
    plain: String,
    deadline_ms: Option<u64>,
}

/// A streamed chat, as received by the caller.
#[derive(Debug)]
pub struct StreamedChat {
    pub status: StatusCode,
    pub text: String,
    pub events: usize,
    pub is_done: bool,
    pub body: String,
}

/// Response to a call, as received by the caller.
#[derive(Debug)]
pub struct CallResult {
    pub status: StatusCode,
    pub code: Option<u16>,
    pub execution: Option<String>,
    pub retry_after: Option<u64>,
    pub body: String,
}

impl TestCaller {
    /// Creates a caller of the fleet's instances.
    pub fn new(fleet: &Fleet, customer: &str) -> Self {
        marigoldlock::logging::init("off");
        let deployment = &fleet.options().deployment;
        Self {
            http: reqwest::Client::builder()
                .no_proxy()
                .build()
                .expect("a client without TLS"),
            addresses: fleet
                .instances
                .iter()
                .map(|instance| instance.address().to_string())
                .collect(),
            key: deployment.key(customer),
            model: deployment.model.to_string(),
            plain: deployment.plain.to_string(),
            deadline_ms: None,
        }
    }

    pub fn with_key(mut self, key: &str) -> Self {
        self.key = key.to_owned();
        self
    }

    /// Sets the deadline of bookings.
    pub fn with_deadline(mut self, deadline_ms: u64) -> Self {
        self.deadline_ms = Some(deadline_ms);
        self
    }

    /// Adds an instance that the fleet doesn't manage.
    pub fn with_address(mut self, address: &str) -> Self {
        self.addresses.push(address.to_owned());
        self
    }

    pub fn key(&self) -> &str {
        &self.key
    }

    pub fn model(&self) -> &str {
        &self.model
    }

    pub fn url(&self, instance: usize, path: &str) -> String {
        format!("http://{}{path}", self.addresses[instance])
    }

    pub fn http(&self) -> &reqwest::Client {
        &self.http
    }

    pub async fn chat(&self, instance: usize, prompt: &str, tokens: u64, stream: bool) -> Response {
        let body = json!({
            "model": self.model,
            "messages": chat_messages(prompt),
            "max_tokens": tokens,
            "stream": stream,
        });
        let request = self
            .http
            .post(self.url(instance, "/v1/chat/completions"))
            .bearer_auth(&self.key);
        request.json(&body).send().await.expect("an answer")
    }

    pub async fn stream_chat(&self, instance: usize, prompt: &str, tokens: u64) -> StreamedChat {
        let response = self.chat(instance, prompt, tokens, true).await;
        read_stream(response).await
    }

    pub async fn addresses(&self, instance: usize) -> Value {
        let response = self
            .http
            .get(self.url(instance, "/v1/addresses"))
            .send()
            .await
            .expect("an answer");
        response.json().await.expect("addresses in JSON")
    }

    /// Returns an idempotency key whose home is the instance.
    pub async fn home_key(&self, instance: usize, part: &str) -> String {
        let answer = self.addresses(instance).await;
        let entries = answer["addresses"].as_array().expect("a list of addresses");
        let own = entries
            .iter()
            .find(|entry| entry["address"] == self.addresses[instance].as_str());
        let home = own
            .and_then(|entry| entry["home"].as_str())
            .expect("the instance's home token");
        format!("{home}.{part}")
    }

    pub async fn book(&self, instance: usize, key: &str, body: &Value) -> CallResult {
        self.try_book(instance, key, body).await.expect("an answer")
    }

    pub async fn try_book(&self, instance: usize, key: &str, body: &Value) -> reqwest::Result<CallResult> {
        let url = self.url(instance, &format!("/services/{}/bookings", self.plain));
        let request = self
            .http
            .post(url)
            .bearer_auth(&self.key)
            .header("idempotency-key", key);
        let request = match self.deadline_ms {
            Some(deadline) => request.header("x-deadline-ms", deadline),
            None => request,
        };
        let response = request.json(body).send().await?;
        call_result(response).await
    }
}

pub async fn call_result(response: Response) -> reqwest::Result<CallResult> {
    let header = |name: &str| {
        response
            .headers()
            .get(name)
            .and_then(|value| value.to_str().ok())
            .map(str::to_owned)
    };
    let result = CallResult {
        status: response.status(),
        code: header("x-result-code").and_then(|code| code.parse().ok()),
        execution: header("x-execution"),
        retry_after: header("retry-after").and_then(|wait| wait.parse().ok()),
        body: response.text().await?,
    };
    if let Some(execution) = &result.execution {
        let body: Value = serde_json::from_str(&result.body).expect("a rejection in JSON");
        assert_eq!(
            body["error"]["execution"],
            execution.as_str(),
            "header and body must agree"
        );
    }
    Ok(result)
}

pub async fn read_stream(response: Response) -> StreamedChat {
    let status = response.status();
    let mut body = String::new();
    let mut chunks = response.bytes_stream();
    while let Some(Ok(chunk)) = chunks.next().await {
        body.push_str(std::str::from_utf8(&chunk).expect("events in UTF-8"));
    }
    let events: Vec<&str> = body
        .split("\n\n")
        .filter_map(|event| event.strip_prefix("data: "))
        .collect();
    let text = events.iter().filter_map(|event| event_text(event)).collect();
    let is_done = events.last() == Some(&"[DONE]");
    StreamedChat {
        status,
        text,
        events: events.len(),
        is_done,
        body,
    }
}

fn event_text(event: &str) -> Option<String> {
    let event: Value = serde_json::from_str(event).ok()?;
    event["choices"][0]["delta"]["content"]
        .as_str()
        .map(str::to_owned)
}

pub fn chat_messages(prompt: &str) -> Vec<ChatMessage> {
    vec![ChatMessage {
        role: "user".into(),
        content: prompt.into(),
    }]
}

/// Counts the runs of each idempotency key over all upstreams of the plain service.
pub fn runs_by_key(fleet: &Fleet) -> BTreeMap<String, u64> {
    fleet.runs_by_key()
}

/// Polls a condition until it holds, and panics after 20 seconds.
pub async fn eventually(what: &str, condition: impl AsyncFnMut() -> bool) {
    let held = marigoldlock_fleet::wait_until(Duration::from_secs(20), condition).await;
    assert!(held, "timed out waiting for {what}");
}

/// Changes the injected faults of every upstream of the plain service.
pub fn set_service_faults(fleet: &Fleet, change: impl Fn(&mut marigoldlock_standin::prelude::FaultPlan)) {
    for upstream in fleet.upstreams(fleet.options().deployment.plain.as_str()) {
        if let Some(faults) = fleet.host.faults(&upstream) {
            faults.update(&change);
        }
    }
}
