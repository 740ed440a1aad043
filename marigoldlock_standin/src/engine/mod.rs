//! Stand-in for a model engine.

mod text;

use std::convert::Infallible;
use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::{AtomicU32, AtomicU64, Ordering};
use std::time::Duration;

use axum::body::{Body, Bytes};
use axum::extract::{DefaultBodyLimit, State};
use axum::http::{HeaderMap, header};
use axum::response::{IntoResponse, Response};
use axum::routing::{get, post};
use axum::{Json, Router};
use futures::StreamExt;
use marigoldlock_wire::engine::{
    ATTEMPT_HEADER, ChatRequest, ChatUsage, LoadReport, REQUEST_ID_HEADER, prompt_tokens,
};
use marigoldlock_wire::ids::{Incarnation, ModelId};
use serde_json::json;

pub use self::text::{OutputText, expected_text};
use crate::faults::{FaultKnobs, FaultPlan};
use crate::server::{CallerLoss, StandinServer};

/// How an engine stand-in behaves.
#[derive(Clone, Debug)]
pub struct EngineOptions {
    /// Address to listen on; port 0 for any.
    pub listen: SocketAddr,
    /// Prompt tokens per second, shared by all requests.
    pub prefill_tokens_per_s: f64,
    /// Output tokens per second of a stream that runs alone.
    pub decode_tokens_per_s: f64,
    /// Requests side by side.
    pub slots: u32,
    /// Models loaded from the start.
    pub models: Vec<ModelId>,
    /// Output tokens of a request that doesn't say how many.
    pub default_tokens: u64,
    /// What goes wrong from the start.
    pub faults: FaultPlan,
}

impl Default for EngineOptions {
    fn default() -> Self {
        Self {
            listen: SocketAddr::from(([127, 0, 0, 1], 0)),
            prefill_tokens_per_s: 8000.0,
            decode_tokens_per_s: 60.0,
            slots: 16,
            models: Vec::new(),
            default_tokens: 64,
            faults: FaultPlan::default(),
        }
    }
}

/// Running engine stand-in.
#[derive(Debug)]
pub struct EngineStandin {
    server: StandinServer,
    faults: FaultKnobs,
}

#[derive(Debug)]
struct SharedEngine {
    options: EngineOptions,
    running: AtomicU32,
    reports: AtomicU64,
    incarnation: u64,
}

impl EngineStandin {
    /// Starts the engine.
    ///
    /// # Errors
    ///
    /// If the address can't be bound.
    pub async fn start(options: EngineOptions) -> eyre::Result<Self> {
        let faults = FaultKnobs::new(options.faults.clone());
        let listen = options.listen;
        let shared = Arc::new(SharedEngine {
            options,
            running: AtomicU32::new(0),
            reports: AtomicU64::new(0),
            incarnation: rand::random(),
        });
        let routes = Router::new()
            .route("/v1/chat/completions", post(complete))
            .route("/v1/load", get(show_load))
            .layer(DefaultBodyLimit::disable())
            .with_state(shared);
        let server = StandinServer::start(listen, routes, &faults, CallerLoss::Cancel).await?;
        Ok(Self { server, faults })
    }

    /// Address that the engine listens on.
    pub fn address(&self) -> SocketAddr {
        self.server.address()
    }

    /// The faults, to be changed at any time.
    pub fn faults(&self) -> &FaultKnobs {
        &self.faults
    }

    /// Closes the listener and all connections.
    pub async fn close(self) {
        self.server.close().await;
    }
}

async fn show_load(State(engine): State<Arc<SharedEngine>>) -> Json<LoadReport> {
    Json(LoadReport {
        incarnation: Incarnation(engine.incarnation),
        sequence: engine.reports.fetch_add(1, Ordering::Relaxed),
        running: engine.running.load(Ordering::Relaxed),
        slots: engine.options.slots,
        prefill_tokens_per_s: engine.options.prefill_tokens_per_s,
        decode_tokens_per_s: engine.options.decode_tokens_per_s,
        models: engine.options.models.clone(),
        ..LoadReport::default()
    })
}

struct RunningGuard(Arc<SharedEngine>);

impl Drop for RunningGuard {
    fn drop(&mut self) {
        self.0.running.fetch_sub(1, Ordering::Relaxed);
    }
}

async fn complete(
    State(engine): State<Arc<SharedEngine>>,
    headers: HeaderMap,
    Json(request): Json<ChatRequest>,
) -> Response {
    engine.running.fetch_add(1, Ordering::Relaxed);
    let guard = RunningGuard(Arc::clone(&engine));
    let output = OutputText::new(&request.messages);
    let total = request.max_tokens.unwrap_or(engine.options.default_tokens);
    let done = request.resume.as_ref().map_or(0, |resume| resume.tokens);
    let prompt = prompt_tokens(&request.messages);
    let usage = ChatUsage {
        prompt_tokens: prompt,
        completion_tokens: total,
        cached_tokens: 0,
    };
    let reason = if request.max_tokens.is_some() {
        "length"
    } else {
        "stop"
    };
    let id = headers
        .get(REQUEST_ID_HEADER)
        .and_then(|value| value.to_str().ok())
        .unwrap_or("none")
        .to_owned();
    let step = Duration::from_secs_f64(1.0 / engine.options.decode_tokens_per_s);
    tokio::time::sleep(Duration::from_secs_f64(
        prompt as f64 / engine.options.prefill_tokens_per_s,
    ))
    .await;
    let mut response = if request.stream {
        let model = request.model.clone();
        let chunks = futures::stream::iter(done..=total).then(move |index| {
            let held = &guard;
            let _ = held;
            let mut text = String::new();
            output.push_token(index, &mut text);
            let (id, model) = (id.clone(), model.clone());
            async move {
                tokio::time::sleep(step).await;
                let (delta, finish) = match index == total {
                    true => (json!({}), Some(reason)),
                    false => (json!({ "content": text }), None),
                };
                let mut chunk = json!({
                    "id": format!("chatcmpl-{id}"),
                    "object": "chat.completion.chunk",
                    "model": model,
                    "choices": [{ "index": 0, "delta": delta, "finish_reason": finish }],
                });
                let mut end = "";
                if finish.is_some() {
                    chunk["usage"] = json!(usage);
                    end = "data: [DONE]\n\n";
                }
                Ok::<_, Infallible>(Bytes::from(format!("data: {chunk}\n\n{end}")))
            }
        });
        (
            [(header::CONTENT_TYPE, "text/event-stream")],
            Body::from_stream(chunks),
        )
            .into_response()
    } else {
        tokio::time::sleep(step * (total.saturating_sub(done)) as u32).await;
        let mut text = String::new();
        for index in done..total {
            output.push_token(index, &mut text);
        }
        Json(json!({
            "id": format!("chatcmpl-{id}"),
            "object": "chat.completion",
            "model": request.model,
            "choices": [{
                "index": 0,
                "message": { "role": "assistant", "content": text },
                "finish_reason": reason,
            }],
            "usage": usage,
        }))
        .into_response()
    };
    for name in [REQUEST_ID_HEADER, ATTEMPT_HEADER] {
        if let Some(value) = headers.get(name) {
            response.headers_mut().insert(name, value.clone());
        }
    }
    response
}
