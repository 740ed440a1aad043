//! Requests of the demo, its caller, and their outcomes.

use std::sync::atomic::{AtomicUsize, Ordering};
use std::time::{Duration, Instant};

use futures::StreamExt;
use marigoldlock_fleet::Deployment;
use marigoldlock_standin::prelude::expected_text;
use marigoldlock_wire::engine::ChatMessage;
use rand::rngs::StdRng;
use rand::{Rng, SeedableRng};
use reqwest::{RequestBuilder, Response};
use serde_json::{Value, json};

/// Maximum number of attempts that a caller makes for a request.
const MAX_CALLER_ATTEMPTS: usize = 8;

/// Delay between two attempts of a caller.
const CALLER_RETRY_DELAY: Duration = Duration::from_millis(100);

/// One request of the workload.
#[derive(Clone, Debug)]
pub enum DemoRequest {
    /// A streamed chat.
    Chat {
        /// Customer that sends it.
        customer: String,
        /// The prompt.
        prompt: String,
        /// Requested output tokens.
        tokens: u64,
        /// Value of the class header; `None` to omit it.
        class: Option<&'static str>,
    },
    /// A booking.
    Booking {
        /// Customer that sends it.
        customer: String,
        /// Caller's part of the idempotency key.
        part: String,
    },
}

/// Final outcome of a request for its caller.
#[derive(Clone, Debug)]
pub enum DemoOutcome {
    /// Complete and correct answer.
    Answered {
        /// Time to the first token, for chats.
        first_token: Option<Duration>,
        /// Idempotency key that was used, for bookings.
        key: Option<String>,
    },
    /// Refusal or unknown outcome.
    Refused {
        /// Result code; 0 if no answer arrived.
        code: u16,
        /// Whether the request was executed, as in the `x-execution` header.
        execution: String,
        /// Idempotency key that was used, for bookings.
        key: Option<String>,
    },
    /// Incorrect answer, or none after all attempts, with the reason.
    Invalid(String),
}

/// Generates a mix of streamed chats, long reviews and bookings of several customers from a seed.
pub fn seeded_requests(deployment: &Deployment, seed: u64, count: usize) -> Vec<DemoRequest> {
    let mut rng = StdRng::seed_from_u64(seed);
    (0..count)
        .map(|index| seeded_request(deployment, &mut rng, index))
        .collect()
}

fn seeded_request(deployment: &Deployment, rng: &mut StdRng, index: usize) -> DemoRequest {
    let (customer, _) = deployment.customers[rng.random_range(0..deployment.customers.len())];
    let customer = customer.to_owned();
    match rng.random_range(0..10) {
        0..3 => DemoRequest::Booking {
            customer,
            part: format!("order-{index}"),
        },
        3 => DemoRequest::Chat {
            customer,
            prompt: long_prompt(index, rng.random_range(1_000..4_000)),
            tokens: rng.random_range(100..200),
            class: Some("long"),
        },
        _ => DemoRequest::Chat {
            customer,
            prompt: long_prompt(index, rng.random_range(5..60)),
            tokens: rng.random_range(10..60),
            class: None,
        },
    }
}

fn long_prompt(index: usize, words: usize) -> String {
    let mut prompt = format!("request {index}");
    for word in 0..words {
        prompt.push_str(&format!(" clause{}", word % 97));
    }
    prompt
}

/// Caller that looks up an address before each attempt and retries at another instance.
pub struct DemoCaller {
    http: reqwest::Client,
    entries: Vec<String>,
    next: AtomicUsize,
    model: String,
    plain: String,
}

impl DemoCaller {
    /// Creates a caller that looks up addresses at the `entries` in turn.
    pub fn new(deployment: &Deployment, entries: Vec<String>) -> Self {
        Self {
            http: reqwest::Client::builder()
                .no_proxy()
                .build()
                .expect("a client without TLS always builds"),
            entries,
            next: AtomicUsize::new(0),
            model: deployment.model.to_string(),
            plain: deployment.plain.to_string(),
        }
    }

    /// Sends the request, with retries, and checks the answer.
    pub async fn run(&self, request: &DemoRequest, key: &str) -> DemoOutcome {
        match request {
            DemoRequest::Chat {
                prompt,
                tokens,
                class,
                ..
            } => self.chat(key, prompt, *tokens, *class).await,
            DemoRequest::Booking { part, .. } => self.book(key, part).await,
        }
    }

    fn entry(&self) -> &str {
        let index = self.next.fetch_add(1, Ordering::Relaxed);
        &self.entries[index % self.entries.len()]
    }

    /// Looks up the first address that an instance returns, with its home token.
    async fn address(&self) -> Option<(String, String)> {
        let url = format!("http://{}/v1/addresses", self.entry());
        let answer: Value = self.http.get(url).send().await.ok()?.json().await.ok()?;
        let first = answer["addresses"].as_array()?.first()?;
        Some((
            first["address"].as_str()?.to_owned(),
            first["home"].as_str()?.to_owned(),
        ))
    }

    async fn chat(&self, key: &str, prompt: &str, tokens: u64, class: Option<&str>) -> DemoOutcome {
        let messages = vec![ChatMessage {
            role: "user".into(),
            content: prompt.into(),
        }];
        let body = json!({"model": self.model, "messages": messages, "max_tokens": tokens, "stream": true});
        let mut last = DemoOutcome::Invalid("no instance could be reached".into());
        for _ in 0..MAX_CALLER_ATTEMPTS {
            let Some((address, _)) = self.address().await else {
                tokio::time::sleep(CALLER_RETRY_DELAY).await;
                continue;
            };
            let url = format!("http://{address}/v1/chat/completions");
            let request = self.http.post(url).bearer_auth(key).json(&body);
            let request = match class {
                Some(class) => request.header("x-class", class),
                None => request,
            };
            let expected = expected_text(&messages, tokens);
            match attempt_chat(request, &expected).await {
                Some(DemoOutcome::Refused { code, execution, key }) if (3000..4000).contains(&code) => {
                    last = DemoOutcome::Refused { code, execution, key };
                }
                Some(outcome) => return outcome,
                // The instance ended; a chat may be sent again.
                None => last = DemoOutcome::Invalid("the stream was cut off when its instance ended".into()),
            }
            tokio::time::sleep(CALLER_RETRY_DELAY).await;
        }
        last
    }

    async fn book(&self, key: &str, part: &str) -> DemoOutcome {
        let mut idempotency_key = None;
        let mut last = DemoOutcome::Invalid("no instance could be reached".into());
        for _ in 0..MAX_CALLER_ATTEMPTS {
            let Some((address, home)) = self.address().await else {
                tokio::time::sleep(CALLER_RETRY_DELAY).await;
                continue;
            };
            let idempotency_key = idempotency_key
                .get_or_insert_with(|| format!("{home}.{part}"))
                .clone();
            let url = format!("http://{address}/services/{}/bookings", self.plain);
            let request = self
                .http
                .post(url)
                .bearer_auth(key)
                .header("idempotency-key", &idempotency_key);
            match attempt_booking(request.json(&json!({"order": part})), &idempotency_key).await {
                Some(DemoOutcome::Refused { code, execution, key })
                    if is_worth_retrying(&execution, code) =>
                {
                    last = DemoOutcome::Refused { code, execution, key };
                }
                Some(outcome) => return outcome,
                // The answer was lost; a retry with the same key returns the outcome of the call.
                None => {
                    let (code, execution) = (0, "outcome_unknown".into());
                    last = DemoOutcome::Refused {
                        code,
                        execution,
                        key: Some(idempotency_key),
                    };
                }
            }
            tokio::time::sleep(CALLER_RETRY_DELAY).await;
        }
        last
    }
}

fn is_worth_retrying(execution: &str, code: u16) -> bool {
    execution == "not_run" && (3000..4000).contains(&code)
}

async fn attempt_chat(request: RequestBuilder, expected: &str) -> Option<DemoOutcome> {
    let started = Instant::now();
    let response = request.send().await.ok()?;
    if !response.status().is_success() {
        return refusal(&response, None);
    }
    let mut first_token = None;
    let mut body = String::new();
    let mut chunks = response.bytes_stream();
    while let Some(chunk) = chunks.next().await {
        first_token.get_or_insert_with(|| started.elapsed());
        body.push_str(std::str::from_utf8(&chunk.ok()?).ok()?);
    }
    let events: Vec<&str> = body
        .split("\n\n")
        .filter_map(|event| event.strip_prefix("data: "))
        .collect();
    let text: String = events.iter().filter_map(|event| event_text(event)).collect();
    if events.last() != Some(&"[DONE]") {
        return Some(DemoOutcome::Refused {
            code: 4003,
            execution: "ran".into(),
            key: None,
        });
    }
    if text != expected {
        return Some(DemoOutcome::Invalid(format!(
            "a chat answer of {} bytes differs from the expected text",
            text.len()
        )));
    }
    Some(DemoOutcome::Answered {
        first_token,
        key: None,
    })
}

fn event_text(event: &str) -> Option<String> {
    let event: Value = serde_json::from_str(event).ok()?;
    event["choices"][0]["delta"]["content"]
        .as_str()
        .map(str::to_owned)
}

async fn attempt_booking(request: RequestBuilder, key: &str) -> Option<DemoOutcome> {
    let response = request.send().await.ok()?;
    if !response.status().is_success() {
        return refusal(&response, Some(key));
    }
    let answer: Value = response.json().await.ok()?;
    if answer["call"]["key"] != key {
        return Some(DemoOutcome::Invalid(format!(
            "the answer to {key} belongs to another booking"
        )));
    }
    Some(DemoOutcome::Answered {
        first_token: None,
        key: Some(key.to_owned()),
    })
}

fn refusal(response: &Response, key: Option<&str>) -> Option<DemoOutcome> {
    let header = |name: &str| Some(response.headers().get(name)?.to_str().ok()?.to_owned());
    let Some(code) = header("x-result-code").and_then(|code| code.parse().ok()) else {
        return Some(DemoOutcome::Invalid(format!(
            "answer with status {} has no result code",
            response.status()
        )));
    };
    let execution = header("x-execution").unwrap_or_default();
    Some(DemoOutcome::Refused {
        code,
        execution,
        key: key.map(str::to_owned),
    })
}
