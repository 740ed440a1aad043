//! Has a prompt read apart from the generation of its tokens.
//!
//! A prompt waits here until the upstream that should read it has room; what can't be begun in time is refused.

use std::sync::Arc;
use std::time::Duration;

use marigoldlock_core::gateway::admission::{PrefillRate, retry_after};
use marigoldlock_core::gateway::choice::pick_prefill;
use marigoldlock_core::gateway::outcome::AttemptFailure;
use marigoldlock_core::gateway::prelude::*;
use marigoldlock_core::gateway::state::UpstreamState;

use crate::logging::DECISION_TARGET;

use super::Gateway;
use super::attempt::AttemptPlan;
use super::links::connect;
use super::session::Call;
use super::work::{WaitGuard, WorkGuard};

/// Longest time between two looks at the queue, in case nothing told of a change.
const QUEUE_CHECK: Duration = Duration::from_millis(100);

/// Readers that are tried for one prompt; a whole data centre of them may vanish at once.
const READERS_TRIED: usize = 3;

/// Shortest wait for a reading: longer than what other instances may have sent there meanwhile takes.
const READ_PATIENCE_LEAST: Duration = Duration::from_millis(800);

/// Wait for a reading, in times that it should take.
const READ_PATIENCE_FACTOR: u32 = 4;

/// What was found for the reading of a prompt.
pub enum ReaderChoice {
    /// An upstream with room, and the tokens that it has to read.
    Reader(UpstreamEntry, u64),
    /// None is needed, or none is there.
    Unneeded,
    /// All are busy for too long; the caller may come back after this time.
    Busy(Duration),
}

/// What came of a reading.
pub enum ReadOutcome {
    /// The prompt is read.
    Read(HandleGuard),
    /// The upstream never got the request, so that another may read the prompt.
    NotSent,
    /// The upstream failed, or may have read the prompt.
    Failed,
}

/// Has the prompt read by an upstream that reads faster; those that never get the request are passed over.
pub async fn read_prompt(call: &mut Call, entry: UpstreamEntry, unread: u64) -> Option<HandleGuard> {
    let mut reader = (entry, unread);
    for tried in 1.. {
        match read_at(call, &reader.0, reader.1).await {
            ReadOutcome::Read(handle) => return Some(handle),
            ReadOutcome::NotSent if tried < READERS_TRIED => {}
            ReadOutcome::NotSent | ReadOutcome::Failed => return None,
        }
        match wait_for_reader(call, false).await {
            ReaderChoice::Reader(entry, unread) => reader = (entry, unread),
            ReaderChoice::Unneeded | ReaderChoice::Busy(_) => return None,
        }
    }
    None
}

async fn read_at(call: &mut Call, entry: &UpstreamEntry, unread: u64) -> ReadOutcome {
    let started = call.gateway.now();
    let requests = call.requests_at(entry) + 1;
    let plan = AttemptPlan {
        is_prefill: true,
        patience: read_patience(call, entry, unread),
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
            call.note_health(entry, failure);
            if failure == AttemptFailure::NotSent {
                return ReadOutcome::NotSent;
            }
            // Reading a prompt runs nothing; a refused reading counts as an attempt all the same.
            call.ledger.count_sent();
            return ReadOutcome::Failed;
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
            ReadOutcome::Read(HandleGuard {
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
            ReadOutcome::Failed
        }
    }
}

/// Longest wait for a reading: several times what the reader's queue should take. A reader that fell silent would
/// hold the request until its connection is given up.
fn read_patience(call: &Call, entry: &UpstreamEntry, unread: u64) -> Duration {
    let (queued, rate) = queue_at(call, entry);
    let time_left = call.time_left();
    match rate.known_time_for(queued + unread) {
        Some(expected) => time_left.min(READ_PATIENCE_LEAST + expected * READ_PATIENCE_FACTOR),
        None => time_left,
    }
}

/// Prompt tokens that wait at a reader, and the rate at which the service's readers read.
fn queue_at(call: &Call, entry: &UpstreamEntry) -> (u64, PrefillRate) {
    let state = call.gateway.state();
    let queued = state
        .upstreams
        .get(&entry.id)
        .map_or(0, UpstreamState::prefill_backlog_tokens);
    let rate = state.rates.get(&call.service).copied().unwrap_or_default();
    (queued, rate)
}

/// Waits until the upstream that should read the prompt has room; gives up early only if `may_refuse`.
pub async fn wait_for_reader(call: &Call, may_refuse: bool) -> ReaderChoice {
    let ticket = call.gateway.state().queue.issue_ticket(call.rank());
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
    let (queued, rate) = queue_at(call, entry);
    let ahead = if is_new { queued + unread } else { unread };
    let expected = rate.time_for(ahead);
    let after = retry_after(waited, expected, call.route.target_latency)?;
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
    let (entry, unread) = pick_prefill(&candidates, prompt, point)?;
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
        subject = call.head.prompt.as_ref().and_then(PromptShape::shared_prefix_id).unwrap_or_default(),
        prompt_tokens = call.head.prompt.as_ref().map_or(0, |prompt| prompt.prompt_tokens),
        queued_tokens = reader.map_or(0, UpstreamState::prefill_backlog_tokens),
        requests = reader.map_or(0, |reader| reader.own.requests + reader.peers.requests),
        waited_ms = now.since(call.arrived).as_millis() as u64;
        "reader chosen"
    );
}

/// Memory that an upstream holds for a request; freed unless another upstream took it.
pub struct HandleGuard {
    gateway: Arc<Gateway>,
    /// Where the memory is.
    pub source: KvSource,
    /// True once another upstream took it.
    pub is_taken: bool,
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
