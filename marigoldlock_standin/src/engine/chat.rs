//! Handler for chat completions.

use std::convert::Infallible;
use std::io;
use std::sync::Arc;

use axum::Json;
use axum::body::{Body, Bytes};
use axum::extract::{Extension, State};
use axum::http::{HeaderMap, HeaderValue, header};
use axum::response::{IntoResponse, Response};
use futures::stream;
use marigoldlock_wire::engine::{ChatRequest, PRIORITY_HEADER};
use tokio::sync::mpsc::UnboundedReceiver;
use tokio::time::Instant;

use super::SharedEngine;
use super::answer::AnswerPlan;
use super::batch::OutputEvent;
use super::seen::{RequestOutcome, SeenRequest};
use crate::faults::{CallAction, CallFault, FaultInjector, StreamFault};
use crate::headers::{header_text, header_texts};
use crate::server::ConnectionHandle;

/// Priority of a request without a valid priority header.
const DEFAULT_PRIORITY: u8 = 4;

/// Handles `POST /v1/chat/completions`.
pub(super) async fn complete(
    State(engine): State<Arc<SharedEngine>>,
    Extension(connection): Extension<ConnectionHandle>,
    Extension(fault): Extension<CallFault>,
    headers: HeaderMap,
    Json(request): Json<ChatRequest>,
) -> Response {
    let record = SeenRequest {
        headers: header_texts(&headers),
        priority: header_text(&headers, PRIORITY_HEADER)
            .and_then(|text| text.parse().ok())
            .unwrap_or(DEFAULT_PRIORITY),
        ..SeenRequest::default()
    };
    let created = engine.clock.now_ms() / 1000;
    let plan = AnswerPlan::new(&headers, &request, engine.options.default_tokens, created);
    let previous = engine.replace_last_answer(&plan);
    let plan = match fault.action {
        CallAction::CrossAnswer => previous.unwrap_or(plan),
        _ => plan,
    };
    let mut response = match engine.options.burst {
        true => answer_burst(&engine, plan.clone(), &request, record),
        false => answer_batched(&engine, connection, plan.clone(), &request, record).await,
    };
    plan.copy_ids(response.headers_mut());
    response
}

async fn answer_batched(
    engine: &Arc<SharedEngine>,
    connection: ConnectionHandle,
    plan: AnswerPlan,
    request: &ChatRequest,
    record: SeenRequest,
) -> Response {
    let submitted = engine.state().submit(request, record, Instant::now());
    let events = match submitted {
        Ok(events) => events,
        Err(refusal) => return refusal.into_response(),
    };
    engine.work.notify_one();
    let events = EventSource {
        events,
        engine: Arc::clone(engine),
    };
    if request.stream {
        return stream_answer(engine, connection, plan, events);
    }
    match full_answer(&plan, events).await {
        Some(response) => response,
        None => {
            connection.cut();
            std::future::pending().await
        }
    }
}

/// Output of a batched request; dropping it wakes the batch, which then removes the cancelled request.
struct EventSource {
    events: UnboundedReceiver<OutputEvent>,
    engine: Arc<SharedEngine>,
}

impl Drop for EventSource {
    fn drop(&mut self) {
        self.events.close();
        self.engine.work.notify_one();
    }
}

async fn full_answer(plan: &AnswerPlan, mut source: EventSource) -> Option<Response> {
    loop {
        match source.events.recv().await? {
            OutputEvent::Token(_) => {}
            OutputEvent::Done { cached_tokens } => return Some(plan.full_response(cached_tokens)),
        }
    }
}

struct StreamState {
    plan: AnswerPlan,
    source: EventSource,
    faults: FaultInjector,
    connection: ConnectionHandle,
    sent_tokens: u64,
    done: bool,
}

impl StreamState {
    async fn next_chunk(&mut self) -> io::Result<Option<Bytes>> {
        if self.done {
            return Ok(None);
        }
        let event = self.source.events.recv().await;
        match self.faults.stream_fault(self.sent_tokens) {
            StreamFault::None => {}
            StreamFault::Stall => return std::future::pending().await,
            StreamFault::Cut => {
                self.connection.cut();
                return std::future::pending().await;
            }
        }
        match event {
            Some(OutputEvent::Token(index)) => {
                self.sent_tokens += 1;
                let mut chunk = String::with_capacity(self.plan.template.chunk_bytes());
                self.plan.template.push_token(self.plan.output, index, &mut chunk);
                Ok(Some(chunk.into()))
            }
            Some(OutputEvent::Done { cached_tokens }) => {
                self.done = true;
                Ok(Some(self.plan.final_chunks(cached_tokens).into()))
            }
            None => Err(io::Error::from(io::ErrorKind::ConnectionAborted)),
        }
    }
}

fn stream_answer(
    engine: &SharedEngine,
    connection: ConnectionHandle,
    plan: AnswerPlan,
    source: EventSource,
) -> Response {
    let faults = engine.faults.clone();
    let state = StreamState {
        plan,
        source,
        faults,
        connection,
        sent_tokens: 0,
        done: false,
    };
    let chunks = stream::try_unfold(state, |mut state| async move {
        let chunk = state.next_chunk().await?;
        Ok::<_, io::Error>(chunk.map(|chunk| (chunk, state)))
    });
    event_stream(Body::from_stream(chunks))
}

fn answer_burst(
    engine: &SharedEngine,
    plan: AnswerPlan,
    request: &ChatRequest,
    record: SeenRequest,
) -> Response {
    engine.state().record_request(SeenRequest {
        model: Some(request.model.clone()),
        prompt_tokens: plan.usage.prompt_tokens,
        output_tokens: plan.usage.completion_tokens,
        resumed_tokens: plan.resumed_tokens,
        outcome: RequestOutcome::Finished,
        ..record
    });
    if !request.stream {
        return plan.full_response(0);
    }
    let frame = engine.options.burst_frame_tokens.max(1);
    let total = plan.usage.completion_tokens;
    let start = plan.resumed_tokens;
    let frames = stream::unfold((plan, Some(start)), move |(plan, next)| async move {
        let next = next?;
        if next >= total {
            return Some((
                Ok::<_, Infallible>(Bytes::from(plan.final_chunks(0))),
                (plan, None),
            ));
        }
        let end = total.min(next + frame);
        let mut chunks = String::with_capacity(plan.template.chunk_bytes() * (end - next) as usize);
        for index in next..end {
            plan.template.push_token(plan.output, index, &mut chunks);
        }
        Some((Ok(Bytes::from(chunks)), (plan, Some(end))))
    });
    event_stream(Body::from_stream(frames))
}

fn event_stream(body: Body) -> Response {
    let kind = HeaderValue::from_static("text/event-stream");
    ([(header::CONTENT_TYPE, kind)], body).into_response()
}
