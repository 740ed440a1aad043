//! The demo's requests and what its callers saw.

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

/// Attempts that a caller makes to get an answer.
const CALLER_ATTEMPTS: usize = 8;

/// Pause of a caller between two attempts.
const CALLER_PAUSE: Duration = Duration::from_millis(100);

/// One request of the workload.
#[derive(Clone, Debug)]
pub enum DemoRequest {
    /// A streamed chat.
    Chat {
        /// Whose it is.
        customer: String,
        /// The prompt.
        prompt: String,
        /// Output tokens.
        tokens: u64,
        /// Class header, if any.
        class: Option<&'static str>,
    },
    /// A booking.
    Booking {
        /// Whose it is.
        customer: String,
        /// Caller's part of the idempotency key.
        part: String,
    },
}

/// What a caller got in the end.
#[derive(Clone, Debug)]
pub enum DemoOutcome {
    /// The whole answer.
    Whole {
        /// Time to the first token, for chats.
        first_token: Option<Duration>,
        /// Idempotency key that was used, for bookings.
        key: Option<String>,
    },
    /// A refusal, or an unknown outcome, with its code.
    Refused {
        /// Number of the result code.
        code: u16,
        /// What it says about execution.
        execution: String,
        /// Idempotency key that was used, for bookings.
        key: Option<String>,
    },
    /// An answer that is not what it should be.
    Wrong(String),
}

/// The seeded mix: streamed chats of several customers, long reviews and bookings.
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

/// A caller that asks for addresses, keeps the answer and goes on to the next address when one fails.
pub struct DemoCaller {
    http: reqwest::Client,
    entries: Vec<String>,
    next: AtomicUsize,
    model: String,
    plain: String,
}

impl DemoCaller {
    /// A caller that knows some instances to ask.
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

    /// Makes the request and checks the answer.
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

    /// The first address that an instance tells, with its home token.
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
        let mut last = DemoOutcome::Wrong("no instance could be reached".into());
        for _ in 0..CALLER_ATTEMPTS {
            let Some((address, _)) = self.address().await else {
                tokio::time::sleep(CALLER_PAUSE).await;
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
                // The instance ended; a chat may be asked for again.
                None => last = DemoOutcome::Wrong("the stream was cut with its instance".into()),
            }
            tokio::time::sleep(CALLER_PAUSE).await;
        }
        last
    }

    async fn book(&self, key: &str, part: &str) -> DemoOutcome {
        let mut idempotency_key = None;
        let mut last = DemoOutcome::Wrong("no instance could be reached".into());
        for _ in 0..CALLER_ATTEMPTS {
            let Some((address, home)) = self.address().await else {
                tokio::time::sleep(CALLER_PAUSE).await;
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
                // The answer is lost; the same key tells what became of the call.
                None => {
                    let (code, execution) = (0, "outcome_unknown".into());
                    last = DemoOutcome::Refused {
                        code,
                        execution,
                        key: Some(idempotency_key),
                    };
                }
            }
            tokio::time::sleep(CALLER_PAUSE).await;
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
        return Some(DemoOutcome::Wrong(format!(
            "a chat of {} bytes differs from what was asked",
            text.len()
        )));
    }
    Some(DemoOutcome::Whole {
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
        return Some(DemoOutcome::Wrong(format!(
            "the answer for {key} belongs to another booking"
        )));
    }
    Some(DemoOutcome::Whole {
        first_token: None,
        key: Some(key.to_owned()),
    })
}

fn refusal(response: &Response, key: Option<&str>) -> Option<DemoOutcome> {
    let header = |name: &str| Some(response.headers().get(name)?.to_str().ok()?.to_owned());
    let Some(code) = header("x-result-code").and_then(|code| code.parse().ok()) else {
        return Some(DemoOutcome::Wrong(format!(
            "status {} without a result code",
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
