//! Answers that are streams of events.
//!
//! A prompt is read where that takes least, and the tokens are generated there or at another upstream that
//! fetches the prompt's memory. Only whole events are passed on, so that another upstream can go on after
//! the last one.

use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use http::{Response, StatusCode};
use http_body_util::{BodyExt, StreamBody};
use hyper::body::{Frame, Incoming};
use marigoldlock_core::gateway::admission::come_back;
use marigoldlock_core::gateway::choice::{pick_generator, pick_reader};
use marigoldlock_core::gateway::events::event_id;
use marigoldlock_core::gateway::outcome::AttemptFailure;
use marigoldlock_core::gateway::prelude::*;
use marigoldlock_core::gateway::state::UpstreamState;
use marigoldlock_core::relay::SseSplitter;
use rand::Rng;
use tokio::sync::mpsc;
use tokio_stream::wrappers::ReceiverStream;

use crate::logging::DECISION_TARGET;

use super::Gateway;
use super::links::connect;
use super::respond::{AnswerBody, CutError, finish, whole};
use super::session::{AttemptPlan, Call, OpenAnswer};
use super::work::{WaitGuard, WorkGuard};

/// Longest time between two looks at the queue, in case nothing told of a change.
const QUEUE_CHECK: Duration = Duration::from_millis(100);

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
        .answer_headers(&stream.answer.parts.headers);
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

/// What was found for the reading of a prompt.
enum ReaderChoice {
    /// An upstream with room, and the tokens that it has to read.
    Reader(UpstreamEntry, u64),
    /// None is needed, or none is there.
    Unneeded,
    /// All are busy for too long; the caller may come back after this time.
    Busy(Duration),
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
        ReaderChoice::Reader(entry, unread) => read_prompt(call, &entry, unread).await,
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
                if answer.parts.status.is_server_error() && call.route.kind.is_repeatable() {
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

/// Has the prompt read by an upstream that reads faster, if that is worth it.
async fn read_prompt(call: &mut Call, entry: &UpstreamEntry, unread: u64) -> Option<HandleGuard> {
    let started = call.gateway.now();
    let requests = call.requests_at(entry) + 1;
    let plan = AttemptPlan {
        is_prefill: true,
        patience: call.time_left(),
        ..AttemptPlan::default()
    };
    let mut guard = WorkGuard::open(&call.gateway, &entry.id, unread);
    let result = match call.send(entry, &plan).await {
        Ok(answer) if answer.parts.status.is_success() => call.read_whole(entry, answer).await,
        Ok(_) => Err(AttemptFailure::Errored),
        Err(failure) => Err(failure),
    };
    let body = match result {
        Ok(answer) => answer.into_body(),
        Err(failure) => {
            // Reading a prompt runs nothing; a refused reading counts as an attempt all the same.
            if failure != AttemptFailure::NotSent {
                call.ledger.count_sent();
            }
            call.note_failure(
                entry,
                if failure.may_have_run() {
                    AttemptFailure::NotRun
                } else {
                    failure
                },
            );
            return None;
        }
    };
    match call.gateway.parts.upstream.read_prefill(&body) {
        Ok(answer) => {
            if let Some(prompt) = &call.head.prompt {
                guard.finish_reading(prompt, call.kv_tokens);
                let elapsed = call.gateway.now().since(started);
                let mut state = call.gateway.state();
                state
                    .rates
                    .entry(call.service.clone())
                    .or_default()
                    .record(unread, elapsed, requests);
            }
            Some(HandleGuard {
                gateway: Arc::clone(&call.gateway),
                source: KvSource {
                    address: entry.address,
                    handle: answer.handle,
                },
                is_taken: false,
            })
        }
        Err(err) => {
            log::warn!(request = call.head.attempt_id, upstream:% = entry.id, error:% = err; "a prompt's handle can't be read");
            None
        }
    }
}

/// Waits until the upstream that should read the prompt has room; gives up early only if `may_refuse`.
async fn wait_for_reader(call: &Call, may_refuse: bool) -> ReaderChoice {
    let ticket = call.gateway.state().queue.ticket(call.rank());
    let mut is_new = true;
    loop {
        let Some((entry, unread)) = choose_reader(call) else {
            return ReaderChoice::Unneeded;
        };
        if may_refuse && let Some(after) = come_back_after(call, &entry, unread, is_new) {
            return ReaderChoice::Busy(after);
        }
        is_new = false;
        let guard = WaitGuard::open(&call.gateway, &entry.id, ticket, unread);
        if guard.may_go() {
            log_reader(call, &entry, unread);
            drop(guard);
            // The next in the queue may find room as well.
            call.gateway.work_changed.notify_waiters();
            return ReaderChoice::Reader(entry, unread);
        }
        let changed = call.gateway.work_changed.notified();
        tokio::select! {
            () = changed => {}
            () = tokio::time::sleep(call.time_left().min(QUEUE_CHECK)) => {}
        }
        if call.time_left().is_zero() {
            return ReaderChoice::Unneeded;
        }
    }
}

/// When the caller should come back, if the reader's queue is too long for its objective. Once a request waits,
/// only the time that it has waited counts: part of the queue stands behind it.
fn come_back_after(call: &Call, entry: &UpstreamEntry, unread: u64, is_new: bool) -> Option<Duration> {
    let waited = call.gateway.now().since(call.arrived);
    let state = call.gateway.state();
    let queued = state
        .upstreams
        .get(&entry.id)
        .map_or(0, UpstreamState::reading_tokens);
    let rate = state.rates.get(&call.service).copied().unwrap_or_default();
    let ahead = if is_new { queued + unread } else { unread };
    let expected = rate.time_for(ahead);
    let after = come_back(waited, expected, call.route.target_latency)?;
    log::info!(
        target: DECISION_TARGET,
        request = call.head.attempt_id, upstream:% = entry.id, queued, unread,
        waited_ms = waited.as_millis() as u64, expected_ms = expected.as_millis() as u64;
        "readers are busy"
    );
    Some(after)
}

/// Upstream that reads the prompt for another; `None` if the one that generates reads it as well.
fn choose_reader(call: &Call) -> Option<(UpstreamEntry, u64)> {
    let prompt = call.head.prompt.as_ref()?;
    let point = call.point();
    let state = call.gateway.state();
    let candidates = state.candidates(&call.service, |_| true, &call.tried, point.now);
    let has_generator = candidates
        .iter()
        .any(|candidate| candidate.entry.role == UpstreamRole::Decode);
    let (entry, unread) = pick_reader(&candidates, prompt, point)?;
    if entry.role != UpstreamRole::Prefill || !has_generator {
        return None;
    }
    Some((entry.clone(), unread))
}

fn log_reader(call: &Call, entry: &UpstreamEntry, unread: u64) {
    let now = call.gateway.now();
    let state = call.gateway.state();
    let reader = state.upstreams.get(&entry.id);
    log::info!(
        target: DECISION_TARGET,
        request = call.head.attempt_id, upstream:% = entry.id, unread,
        subject = call.head.prompt.as_ref().and_then(PromptShape::subject).unwrap_or_default(),
        prompt_tokens = call.head.prompt.as_ref().map_or(0, |prompt| prompt.prompt_tokens),
        queued_tokens = reader.map_or(0, UpstreamState::reading_tokens),
        requests = reader.map_or(0, |reader| reader.own.requests + reader.peers.requests),
        waited_ms = now.since(call.arrived).as_millis() as u64;
        "reader chosen"
    );
}

/// Upstream that generates, and the prompt tokens that it still has to read.
fn choose_runner(call: &Call, has_memory: bool) -> Option<(UpstreamEntry, u64)> {
    let point = call.point();
    let state = call.gateway.state();
    let generates = |role| role != UpstreamRole::Prefill;
    let candidates = state.candidates(&call.service, generates, &call.tried, point.now);
    let chosen = match &call.head.prompt {
        Some(prompt) if !has_memory => pick_reader(&candidates, prompt, point),
        _ => pick_generator(&candidates, point, rand::rng().random()).map(|entry| (entry, 0)),
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

/// Memory that an upstream holds for a request; freed unless another upstream took it.
struct HandleGuard {
    gateway: Arc<Gateway>,
    source: KvSource,
    is_taken: bool,
}

impl Drop for HandleGuard {
    fn drop(&mut self) {
        if self.is_taken {
            return;
        }
        let request = self.gateway.parts.upstream.release_handle(&self.source.handle);
        let address = self.source.address;
        tokio::spawn(async move {
            let sent = async {
                let mut link = connect(address).await?;
                link.send_request(request.map(http_body_util::Full::new))
                    .await
                    .map_err(std::io::Error::other)
            };
            if let Err(err) = sent.await {
                log::info!(upstream:% = address, error:% = err; "a handle could not be freed; it expires by itself");
            }
        });
    }
}
