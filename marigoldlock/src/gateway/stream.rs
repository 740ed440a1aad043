//! Requests whose response is a stream of events.
//!
//! The prompt is prefilled where that costs least. Tokens are then decoded there or on another upstream that
//! fetches the KV cache. Only complete events are forwarded, so that another upstream can continue after the
//! last one.

use std::net::SocketAddr;

use bytes::Bytes;
use http::{Response, StatusCode};
use http_body_util::{BodyExt, StreamBody};
use hyper::body::{Frame, Incoming};
use marigoldlock_core::gateway::choice::{pick_decode, pick_prefill};
use marigoldlock_core::gateway::events::event_id;
use marigoldlock_core::gateway::outcome::{AttemptFailure, SendPhase};
use marigoldlock_core::gateway::prelude::*;
use marigoldlock_core::relay::SseSplitter;
use rand::Rng;
use tokio::sync::mpsc;
use tokio_stream::wrappers::ReceiverStream;

use crate::logging::DECISION_TARGET;

use super::attempt::{AttemptPlan, UpstreamResponse};
use super::call::Call;
use super::prefill::{PrefillChoice, prefill_prompt, wait_for_engine};
use super::response::{BodyError, ResponseBody, close_if_leaving, full_body};
use super::work::WorkGuard;

/// Events buffered for a caller that reads slowly.
const EVENT_BUFFER: usize = 16;

/// A stream that an upstream has started to send.
struct OpenStream {
    entry: UpstreamEntry,
    response: UpstreamResponse,
    guard: WorkGuard,
}

/// Why the response of one upstream ended.
enum StreamEnd {
    /// The response is complete.
    Complete,
    /// The response broke off.
    Broken,
    /// The caller disconnected.
    CallerLeft,
    /// The deadline passed.
    TimedOut,
}

type EventSender = mpsc::Sender<Result<Frame<Bytes>, BodyError>>;

/// Serves a request whose response is a stream.
pub async fn serve(mut call: Call) -> Response<ResponseBody> {
    let stream = match open_stream(&mut call).await {
        Ok(stream) => stream,
        Err(refusal) => return call.refuse_or_forward(refusal).await,
    };
    if !stream.response.parts.status.is_success() {
        return forward_error(call, stream).await;
    }
    let headers = call
        .gateway
        .parts
        .upstream_protocol
        .response_headers(&stream.response.parts.headers);
    let (sender, receiver) = mpsc::channel(EVENT_BUFFER);
    let mut response = Response::new(BodyExt::boxed(StreamBody::new(ReceiverStream::new(receiver))));
    *response.status_mut() = stream.response.parts.status;
    *response.headers_mut() = headers;
    let response = close_if_leaving(&call.gateway, response);
    let tracker = call.gateway.tracker.clone();
    tracker.spawn(relay(call, stream, sender));
    response
}

/// Forwards an upstream's error response.
async fn forward_error(mut call: Call, stream: OpenStream) -> Response<ResponseBody> {
    let OpenStream {
        entry,
        response,
        guard,
    } = stream;
    let result = call.read_full_response(&entry, response).await;
    drop(guard);
    match result {
        Ok(response) => {
            call.count_started();
            call.log_done("upstream_failed", response.status());
            close_if_leaving(&call.gateway, response.map(full_body))
        }
        Err(failure) => {
            call.record_failure(&entry, failure);
            call.refuse(call.refusal())
        }
    }
}

/// Opens a stream on an upstream.
async fn open_stream(call: &mut Call) -> Result<OpenStream, Refusal> {
    let last_event = call.head.last_event;
    if last_event.is_some() {
        log::info!(
            target: DECISION_TARGET,
            request = call.head.attempt_id, resumes = call.head.resumes.as_deref(), last_event;
            "the caller resumes a stream"
        );
        call.resume_version().await?;
    }
    match wait_for_engine(call, true).await {
        PrefillChoice::Busy(after) => Err(Refusal::new(RefusalCause::Busy).retry_after(after)),
        // A trial reaches one upstream only.
        _ if call.is_trial => try_open(call, PrefillChoice::NotNeeded, last_event)
            .await
            .ok_or_else(|| call.refusal()),
        choice => try_open(call, choice, last_event)
            .await
            .ok_or_else(|| call.refusal()),
    }
}

/// Opens a stream that continues after `last_event` on another upstream. That upstream prefills the prompt too, since
/// a second prefill elsewhere would be one more retry.
async fn resume_stream(call: &mut Call, last_event: Option<u64>) -> Option<OpenStream> {
    try_open(call, PrefillChoice::NotNeeded, last_event).await
}

async fn try_open(call: &mut Call, choice: PrefillChoice, last_event: Option<u64>) -> Option<OpenStream> {
    let mut kv_handle = match choice {
        PrefillChoice::Engine(entry, uncached) => prefill_prompt(call, entry, uncached).await,
        PrefillChoice::NotNeeded | PrefillChoice::Busy(_) => None,
    };
    let mut next_permit = call.permit(SendPhase::Run);
    while let Some(permit) = next_permit {
        let cache_peer = cache_peer(call).filter(|_| kv_handle.is_none());
        let Some((entry, uncached)) = choose_upstream(call, kv_handle.is_some() || cache_peer.is_some())
        else {
            call.attempts.release(permit);
            break;
        };
        let plan = AttemptPlan {
            kv_source: kv_handle.as_ref().map(|handle| handle.source.clone()),
            cache_peer,
            last_event,
            timeout: call.time_left(),
        };
        let guard = WorkGuard::new(&call.gateway, &entry.id, uncached);
        match call.send(&entry, permit, &plan).await {
            Ok(response) => {
                if let Some(handle) = &mut kv_handle {
                    handle.is_fetched = true;
                }
                if response.parts.status.is_server_error() && call.route.kind.is_retryable() {
                    let status = response.parts.status;
                    call.record_failure(&entry, AttemptFailure::Errored);
                    next_permit = call.permit(SendPhase::Run);
                    if next_permit.is_some() {
                        log::info!(request = call.head.attempt_id, status = status.as_u16(); "upstream returned an error; retrying on another upstream");
                        call.count_started();
                        kv_handle = None;
                        continue;
                    }
                }
                return Some(OpenStream {
                    entry,
                    response,
                    guard,
                });
            }
            Err(failure) => {
                // The KV cache may be gone; the next upstream prefills the prompt itself.
                if !failure.is_unsent() {
                    kv_handle = None;
                }
                call.record_failure(&entry, failure);
                next_permit = call.permit(SendPhase::Run);
            }
        }
    }
    None
}

/// Engine that has prefilled the prompt and probably still has it in its cache, if it is still listed.
fn cache_peer(call: &Call) -> Option<SocketAddr> {
    let id = call.prefilled_at.as_ref()?;
    let state = call.gateway.state();
    let entry = state.catalog.get(id.as_str()).filter(|entry| !entry.is_leaving)?;
    let engine = state.upstreams.get(id)?;
    engine.is_usable(call.gateway.now()).then_some(entry.address)
}

/// Chooses the upstream that decodes the request, and returns the number of prompt tokens that it must
/// prefill.
fn choose_upstream(call: &Call, has_kv_cache: bool) -> Option<(UpstreamEntry, u64)> {
    let context = call.choice_context();
    let state = call.gateway.state();
    let turn = call.gateway.pace_turn(&state);
    let can_decode =
        |entry: &UpstreamEntry| entry.role != UpstreamRole::Prefill && call.may_continue_at(entry);
    let candidates = state.candidates(&call.service, can_decode, &call.tried, context.now, turn.as_ref());
    let chosen = match &call.head.prompt {
        Some(prompt) if !has_kv_cache => pick_prefill(&candidates, prompt, context),
        _ => pick_decode(&candidates, context, rand::rng().random()).map(|entry| (entry, 0)),
    };
    let (entry, uncached) = chosen?;
    log::info!(
        target: DECISION_TARGET,
        request = call.head.attempt_id, upstream:% = entry.id, version:% = entry.version, candidates = candidates.len(),
        unread = uncached, has_memory = has_kv_cache,
        load = state.upstreams.get(&entry.id).map_or(0, |upstream| upstream.requests(context.now)),
        slowness_per_mille = state.slowness(&entry.id, context.now).per_mille(),
        news_age_ms = state.upstreams_date.age(context.now).map(|age| age.as_millis() as u64);
        "upstream chosen"
    );
    Some((entry.clone(), uncached))
}

/// Relays events until the stream ends; continues on another upstream where that is allowed.
async fn relay(mut call: Call, mut stream: OpenStream, sender: EventSender) {
    let mut last_event = call.head.last_event;
    loop {
        let OpenStream {
            entry,
            response,
            mut guard,
        } = stream;
        let UpstreamResponse {
            sender: connection,
            head,
            body,
            ..
        } = response;
        let end = relay_events(&mut call, &entry, body, &mut guard, &sender, &mut last_event).await;
        drop(guard);
        match end {
            StreamEnd::Complete => {
                call.record_completion();
                call.release_connection(&entry, connection, &head);
                call.log_done("answered", StatusCode::OK);
                return;
            }
            StreamEnd::CallerLeft => {
                call.log_done("caller_left", StatusCode::OK);
                return;
            }
            StreamEnd::TimedOut => {
                call.record_failure(&entry, AttemptFailure::TimedOut);
                break;
            }
            StreamEnd::Broken => call.record_failure(&entry, AttemptFailure::Broken),
        }
        drop(connection);
        let opened = tokio::select! {
            opened = resume_stream(&mut call, last_event) => opened,
            () = sender.closed() => None,
        };
        match opened {
            Some(next) if next.response.parts.status.is_success() => {
                log::info!(
                    target: DECISION_TARGET,
                    request = call.head.attempt_id, upstream:% = next.entry.id, version:% = next.entry.version, last_event;
                    "stream resumed"
                );
                stream = next;
            }
            _ => break,
        }
    }
    call.log_done("cut", StatusCode::OK);
    let cut: BodyError = "the stream broke off".into();
    if sender.send(Err(cut)).await.is_err() {
        log::debug!(request = call.head.attempt_id; "the caller disconnected before its stream was cut off");
    }
}

/// Relays the events of one upstream.
async fn relay_events(
    call: &mut Call,
    entry: &UpstreamEntry,
    mut body: Incoming,
    guard: &mut WorkGuard,
    sender: &EventSender,
    last_event: &mut Option<u64>,
) -> StreamEnd {
    let mut splitter = SseSplitter::default();
    let mut has_started = false;
    loop {
        let frame = tokio::select! {
            frame = body.frame() => frame,
            () = sender.closed() => return StreamEnd::CallerLeft,
            () = tokio::time::sleep(call.stream_time_left()) => return StreamEnd::TimedOut,
        };
        let data = match frame {
            None if splitter.buffered_bytes() == 0 => return StreamEnd::Complete,
            None | Some(Err(_)) => return StreamEnd::Broken,
            Some(Ok(frame)) => frame.into_data().unwrap_or_default(),
        };
        if splitter.push(data).is_err() {
            log::warn!(request = call.head.attempt_id; "an event of the upstream is too large; its stream is dropped");
            return StreamEnd::Broken;
        }
        while let Some(event) = splitter.next_event() {
            call.events += 1;
            if !std::mem::replace(&mut has_started, true) {
                let now = call.gateway.now();
                call.first_event_at.get_or_insert(now);
                call.count_started();
                call.record_origin(entry);
                if let Some(prompt) = &call.head.prompt {
                    guard.finish_prefill(prompt, call.kv_tokens);
                }
            }
            let id = event_id(&event);
            if id.is_some() && id <= *last_event {
                continue;
            }
            *last_event = id.or(*last_event);
            if sender.send(Ok(Frame::data(event))).await.is_err() {
                return StreamEnd::CallerLeft;
            }
        }
    }
}
