//! Answers that are streams of events.
//!
//! A prompt is read where that takes least, and the tokens are generated there or at another upstream that
//! fetches the prompt's memory. Only whole events are passed on, so that another upstream can go on after
//! the last one.

use bytes::Bytes;
use http::{Response, StatusCode};
use http_body_util::{BodyExt, StreamBody};
use hyper::body::{Frame, Incoming};
use marigoldlock_core::gateway::choice::{pick_decode, pick_prefill};
use marigoldlock_core::gateway::events::event_id;
use marigoldlock_core::gateway::outcome::AttemptFailure;
use marigoldlock_core::gateway::prelude::*;
use marigoldlock_core::relay::SseSplitter;
use rand::Rng;
use tokio::sync::mpsc;
use tokio_stream::wrappers::ReceiverStream;

use crate::logging::DECISION_TARGET;

use super::attempt::{AttemptPlan, OpenAnswer};
use super::reading::{ReaderChoice, read_prompt, wait_for_reader};
use super::respond::{AnswerBody, CutError, finish, whole};
use super::session::Call;
use super::work::WorkGuard;

/// Events held for a caller that reads slowly.
const EVENTS_HELD: usize = 16;

/// A stream that an upstream has begun to answer.
struct OpenStream {
    entry: UpstreamEntry,
    answer: OpenAnswer,
    guard: WorkGuard,
}

/// Why an upstream's part of a stream ended.
enum StreamEnd {
    /// The answer is whole.
    Whole,
    /// It broke off.
    Broken,
    /// The caller left.
    CallerLeft,
    /// The time ran out.
    TimedOut,
}

type EventSender = mpsc::Sender<Result<Frame<Bytes>, CutError>>;

/// Serves a request whose answer is a stream.
pub async fn serve(mut call: Call) -> Response<AnswerBody> {
    let stream = match open(&mut call).await {
        Ok(stream) => stream,
        Err(refusal) => return call.refuse(refusal),
    };
    if !stream.answer.parts.status.is_success() {
        return deliver_failure(call, stream).await;
    }
    let headers = call
        .gateway
        .parts
        .upstream
        .response_headers(&stream.answer.parts.headers);
    let (sender, receiver) = mpsc::channel(EVENTS_HELD);
    let mut response = Response::new(BodyExt::boxed(StreamBody::new(ReceiverStream::new(receiver))));
    *response.status_mut() = stream.answer.parts.status;
    *response.headers_mut() = headers;
    let response = finish(&call.gateway, response);
    let tracker = call.gateway.tracker.clone();
    tracker.spawn(relay(call, stream, sender));
    response
}

/// Passes on an upstream's own failure.
async fn deliver_failure(mut call: Call, stream: OpenStream) -> Response<AnswerBody> {
    let OpenStream { entry, answer, guard } = stream;
    let result = call.read_whole(&entry, answer).await;
    drop(guard);
    match result {
        Ok(answer) => {
            call.count_begun();
            call.log_done("upstream_failed", answer.status());
            finish(&call.gateway, answer.map(whole))
        }
        Err(failure) => {
            call.note_failure(&entry, failure);
            call.refuse(call.refusal())
        }
    }
}

/// Finds an upstream that begins to answer.
async fn open(call: &mut Call) -> Result<OpenStream, Refusal> {
    let last_event = call.head.last_event;
    match wait_for_reader(call, true).await {
        ReaderChoice::Busy(after) => Err(Refusal::new(RefusalCause::Busy).retry_after(after)),
        reader => open_with(call, reader, last_event)
            .await
            .ok_or_else(|| call.refusal()),
    }
}

/// Finds an upstream that goes on after an event.
async fn reopen(call: &mut Call, last_event: Option<u64>) -> Option<OpenStream> {
    let reader = wait_for_reader(call, false).await;
    open_with(call, reader, last_event).await
}

async fn open_with(call: &mut Call, reader: ReaderChoice, last_event: Option<u64>) -> Option<OpenStream> {
    let mut source = match reader {
        ReaderChoice::Reader(entry, unread) => read_prompt(call, entry, unread).await,
        ReaderChoice::Unneeded | ReaderChoice::Busy(_) => None,
    };
    while call.may_send() {
        let Some((entry, unread)) = choose_runner(call, source.is_some()) else {
            break;
        };
        let plan = AttemptPlan {
            kv_source: source.as_ref().map(|handle| handle.source.clone()),
            last_event,
            patience: call.time_left(),
            is_prefill: false,
        };
        call.ledger.count_sent();
        let guard = WorkGuard::open(&call.gateway, &entry.id, unread);
        match call.send(&entry, &plan).await {
            Ok(answer) => {
                if let Some(handle) = &mut source {
                    handle.is_taken = true;
                }
                if answer.parts.status.is_server_error() && call.route.kind.is_retryable() {
                    let status = answer.parts.status;
                    call.note_failure(&entry, AttemptFailure::Errored);
                    if call.may_send() {
                        log::info!(request = call.head.attempt_id, status = status.as_u16(); "sent to another upstream");
                        call.count_begun();
                        source = None;
                        continue;
                    }
                }
                return Some(OpenStream { entry, answer, guard });
            }
            Err(failure) => {
                if failure == AttemptFailure::NotSent {
                    call.ledger.count_not_sent();
                }
                // The memory may be gone; the next upstream reads the prompt itself.
                if failure != AttemptFailure::NotSent {
                    source = None;
                }
                call.note_failure(&entry, failure);
            }
        }
    }
    None
}

/// Upstream that generates, and the prompt tokens that it still has to read.
fn choose_runner(call: &Call, has_memory: bool) -> Option<(UpstreamEntry, u64)> {
    let point = call.point();
    let state = call.gateway.state();
    let generates = |role| role != UpstreamRole::Prefill;
    let candidates = state.candidates(&call.service, generates, &call.tried, point.now);
    let chosen = match &call.head.prompt {
        Some(prompt) if !has_memory => pick_prefill(&candidates, prompt, point),
        _ => pick_decode(&candidates, point, rand::rng().random()).map(|entry| (entry, 0)),
    };
    let (entry, unread) = chosen?;
    log::info!(
        target: DECISION_TARGET,
        request = call.head.attempt_id, upstream:% = entry.id, candidates = candidates.len(), unread, has_memory,
        load = state.upstreams.get(&entry.id).map_or(0, |upstream| upstream.requests(point.now));
        "upstream chosen"
    );
    Some((entry.clone(), unread))
}

/// Relays events until the stream ends; goes on at another upstream where that is allowed.
async fn relay(mut call: Call, mut stream: OpenStream, sender: EventSender) {
    let mut last_event = call.head.last_event;
    loop {
        let OpenStream {
            entry,
            answer,
            mut guard,
        } = stream;
        let OpenAnswer {
            sender: link,
            head,
            body,
            ..
        } = answer;
        let end = relay_part(&mut call, body, &mut guard, &sender, &mut last_event).await;
        drop(guard);
        match end {
            StreamEnd::Whole => {
                call.keep_link(&entry, link, &head);
                call.log_done("answered", StatusCode::OK);
                return;
            }
            StreamEnd::CallerLeft => {
                call.log_done("caller_left", StatusCode::OK);
                return;
            }
            StreamEnd::TimedOut => {
                call.note_failure(&entry, AttemptFailure::TimedOut);
                break;
            }
            StreamEnd::Broken => call.note_failure(&entry, AttemptFailure::Broken),
        }
        drop(link);
        let opened = tokio::select! {
            opened = reopen(&mut call, last_event) => opened,
            () = sender.closed() => None,
        };
        match opened {
            Some(next) if next.answer.parts.status.is_success() => {
                log::info!(
                    target: DECISION_TARGET,
                    request = call.head.attempt_id, upstream:% = next.entry.id, last_event;
                    "stream resumed"
                );
                stream = next;
            }
            _ => break,
        }
    }
    call.log_done("cut", StatusCode::OK);
    let cut: CutError = "the stream broke off".into();
    if sender.send(Err(cut)).await.is_err() {
        log::debug!(request = call.head.attempt_id; "the caller left before its stream was cut");
    }
}

/// Relays one upstream's events.
async fn relay_part(
    call: &mut Call,
    mut body: Incoming,
    guard: &mut WorkGuard,
    sender: &EventSender,
    last_event: &mut Option<u64>,
) -> StreamEnd {
    let mut splitter = SseSplitter::default();
    let mut has_begun = false;
    loop {
        let frame = tokio::select! {
            frame = body.frame() => frame,
            () = sender.closed() => return StreamEnd::CallerLeft,
            () = tokio::time::sleep(call.time_left()) => return StreamEnd::TimedOut,
        };
        let data = match frame {
            None if splitter.held_bytes() == 0 => return StreamEnd::Whole,
            None | Some(Err(_)) => return StreamEnd::Broken,
            Some(Ok(frame)) => frame.into_data().unwrap_or_default(),
        };
        if splitter.push(data).is_err() {
            log::warn!(request = call.head.attempt_id; "an event is too large");
            return StreamEnd::Broken;
        }
        while let Some(event) = splitter.next_event() {
            call.events += 1;
            if !std::mem::replace(&mut has_begun, true) {
                let now = call.gateway.now();
                call.first_event_at.get_or_insert(now);
                call.count_begun();
                if let Some(prompt) = &call.head.prompt {
                    guard.finish_reading(prompt, call.kv_tokens);
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
