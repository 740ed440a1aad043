//! Prefill of a prompt on another engine than the one that decodes it.
//!
//! A request waits until the chosen prefill engine can accept its prompt. A request that can't start in time
//! is refused.

use std::sync::Arc;
use std::time::Duration;

use marigoldlock_core::gateway::admission::{MIN_SAMPLE_TOKENS, PrefillRate, retry_after};
use marigoldlock_core::gateway::choice::pick_prefill;
use marigoldlock_core::gateway::outcome::{AttemptFailure, SendPhase};
use marigoldlock_core::gateway::prelude::*;
use marigoldlock_core::gateway::state::UpstreamState;

use crate::logging::DECISION_TARGET;

use super::Gateway;
use super::attempt::AttemptPlan;
use super::call::Call;
use super::connections::connect;
use super::work::{WaitGuard, WorkGuard};

/// Longest time between two checks of the queue, in case no notification arrives.
const QUEUE_CHECK_INTERVAL: Duration = Duration::from_millis(100);

/// Prefill engines that are tried for one prompt; all engines of a data centre may disappear at once.
const MAX_PREFILL_ATTEMPTS: usize = 3;

/// Fixed part of the prefill timeout; it covers prompts that other instances may have sent to the engine in the
/// meantime.
const BASE_PREFILL_TIMEOUT: Duration = Duration::from_millis(800);

/// Timeout of the release of a KV cache, which expires at the upstream in any case.
const RELEASE_TIMEOUT: Duration = Duration::from_secs(1);

/// Variable part of the prefill timeout, as a multiple of the estimated time.
const PREFILL_TIMEOUT_FACTOR: u32 = 4;

/// Choice of a prefill engine.
pub enum PrefillChoice {
    /// An engine that can accept the prompt, and the number of uncached tokens.
    Engine(UpstreamEntry, u64),
    /// No separate prefill is needed, no engine is available, or the deadline has passed.
    NotNeeded,
    /// All engines are busy for too long; the caller may retry after this time.
    Busy(Duration),
}

/// Outcome of a prefill.
pub enum PrefillOutcome {
    /// The prefill is done.
    Done(KvHandleGuard),
    /// The upstream never got the request, so another may prefill the prompt.
    NotSent,
    /// The prefill failed, although the upstream may have run it.
    Failed,
}

/// Prefills the prompt on a prefill engine. If an engine never got the request, another one is tried.
pub async fn prefill_prompt(call: &mut Call, entry: UpstreamEntry, uncached: u64) -> Option<KvHandleGuard> {
    let mut engine = (entry, uncached);
    for attempt in 1.. {
        match prefill_at(call, &engine.0, engine.1).await {
            PrefillOutcome::Done(handle) => return Some(handle),
            PrefillOutcome::NotSent if attempt < MAX_PREFILL_ATTEMPTS => {}
            PrefillOutcome::NotSent | PrefillOutcome::Failed => return None,
        }
        match wait_for_engine(call, false).await {
            PrefillChoice::Engine(entry, uncached) => engine = (entry, uncached),
            PrefillChoice::NotNeeded | PrefillChoice::Busy(_) => return None,
        }
    }
    None
}

async fn prefill_at(call: &mut Call, entry: &UpstreamEntry, uncached: u64) -> PrefillOutcome {
    let started = call.gateway.now();
    let requests = call.requests_at(entry) + 1;
    let plan = AttemptPlan {
        timeout: prefill_timeout(call, entry, uncached),
        ..AttemptPlan::default()
    };
    let Some(permit) = call.permit(SendPhase::Prefill) else {
        return PrefillOutcome::Failed;
    };
    let mut guard = WorkGuard::new(&call.gateway, &entry.id, uncached);
    let result = match call.send(entry, permit, &plan).await {
        Ok(response) if response.parts.status.is_success() => {
            call.read_prefill_response(entry, response).await
        }
        Ok(_) => Err(AttemptFailure::Errored),
        Err(failure) => Err(failure),
    };
    let body = match result {
        Ok(response) => response.into_body(),
        Err(failure) => {
            call.record_upstream_failure(entry, failure);
            return if failure.is_unsent() {
                PrefillOutcome::NotSent
            } else {
                PrefillOutcome::Failed
            };
        }
    };
    call.attempts.record_prefill();
    call.prefilled_at = Some(entry.id.clone());
    match call.gateway.parts.upstream_protocol.read_prefill(&body) {
        Ok(response) => {
            if let Some(prompt) = &call.head.prompt {
                guard.finish_prefill(prompt, call.kv_tokens);
                let elapsed = call.gateway.now().since(started);
                let mut state = call.gateway.state();
                state
                    .prefill_rates
                    .entry(call.service.clone())
                    .or_default()
                    .record(uncached, elapsed, requests);
                // Shorter prompts measure the fixed cost of a request.
                if uncached >= MIN_SAMPLE_TOKENS {
                    let work = uncached * u64::from(requests);
                    state.record_time(entry, work, elapsed, call.gateway.now());
                }
            }
            PrefillOutcome::Done(KvHandleGuard {
                gateway: Arc::clone(&call.gateway),
                source: KvSource {
                    address: entry.address,
                    handle: response.handle,
                },
                is_fetched: false,
            })
        }
        Err(err) => {
            log::warn!(request = call.head.attempt_id, upstream:% = entry.id, error:% = err; "the response to a prefill can't be parsed; the upstream that decodes prefills the prompt again");
            PrefillOutcome::Failed
        }
    }
}

/// Timeout of a prefill, from the time that the engine's backlog and this prompt should take. Without it, an engine
/// that went silent would hold the request until the connection fails.
fn prefill_timeout(call: &Call, entry: &UpstreamEntry, uncached: u64) -> Duration {
    let (queued, rate) = prefill_backlog(call, entry);
    let time_left = call.time_left();
    match rate.known_time_for(queued + uncached) {
        Some(expected) => time_left.min(BASE_PREFILL_TIMEOUT + expected * PREFILL_TIMEOUT_FACTOR),
        None => time_left,
    }
}

/// Backlog of an engine in prompt tokens, and the prefill rate of the service's engines.
fn prefill_backlog(call: &Call, entry: &UpstreamEntry) -> (u64, PrefillRate) {
    let state = call.gateway.state();
    let queued = state
        .upstreams
        .get(&entry.id)
        .map_or(0, UpstreamState::prefill_backlog_tokens);
    let rate = state
        .prefill_rates
        .get(&call.service)
        .copied()
        .unwrap_or_default();
    (queued, rate)
}

/// Waits until the chosen engine can accept the prompt. Returns [`PrefillChoice::Busy`] only if `may_refuse` is
/// true.
pub async fn wait_for_engine(call: &Call, may_refuse: bool) -> PrefillChoice {
    let ticket = call.gateway.state().prefill_queue.issue_ticket(call.priority());
    let mut is_new = true;
    loop {
        let Some((entry, uncached)) = choose_engine(call) else {
            return PrefillChoice::NotNeeded;
        };
        if may_refuse && let Some(after) = check_wait(call, &entry, uncached, is_new) {
            return PrefillChoice::Busy(after);
        }
        is_new = false;
        let guard = WaitGuard::new(&call.gateway, &entry.id, ticket, uncached);
        if guard.may_start() {
            log_choice(call, &entry, uncached);
            drop(guard);
            // The engine may be able to accept the next request in the queue as well.
            call.gateway.work_changed.notify_waiters();
            return PrefillChoice::Engine(entry, uncached);
        }
        let changed = call.gateway.work_changed.notified();
        tokio::select! {
            () = changed => {}
            () = tokio::time::sleep(call.time_left().min(QUEUE_CHECK_INTERVAL)) => {}
        }
        if call.time_left().is_zero() {
            return PrefillChoice::NotNeeded;
        }
    }
}

/// Returns the time after which the caller should retry if the engine's backlog is too long for the latency
/// objective. For a request that is already queued, the backlog is not counted: part of it is behind the
/// request.
fn check_wait(call: &Call, entry: &UpstreamEntry, uncached: u64, is_new: bool) -> Option<Duration> {
    let waited = call.gateway.now().since(call.arrived);
    let (queued, rate) = prefill_backlog(call, entry);
    let ahead = if is_new { queued + uncached } else { uncached };
    let expected = rate.time_for(ahead);
    let after = retry_after(waited, expected, call.route.target_latency)?;
    log::info!(
        target: DECISION_TARGET,
        request = call.head.attempt_id, upstream:% = entry.id, queued, unread = uncached,
        waited_ms = waited.as_millis() as u64, expected_ms = expected.as_millis() as u64;
        "prefill engines are busy"
    );
    Some(after)
}

/// Chooses the engine to prefill the prompt; `None` if the upstream that decodes the request should also
/// prefill it.
fn choose_engine(call: &Call) -> Option<(UpstreamEntry, u64)> {
    let prompt = call.head.prompt.as_ref()?;
    let context = call.choice_context();
    let state = call.gateway.state();
    let turn = call.gateway.pace_turn(&state);
    let may_serve =
        |entry: &UpstreamEntry| entry.role == UpstreamRole::Prefill || call.may_continue_at(entry);
    let candidates = state.candidates(&call.service, may_serve, &call.tried, context.now, turn.as_ref());
    let has_decode_engine = candidates
        .iter()
        .any(|candidate| candidate.entry.role == UpstreamRole::Decode);
    let (entry, uncached) = pick_prefill(&candidates, prompt, context)?;
    if entry.role != UpstreamRole::Prefill || !has_decode_engine {
        return None;
    }
    Some((entry.clone(), uncached))
}

fn log_choice(call: &Call, entry: &UpstreamEntry, uncached: u64) {
    let now = call.gateway.now();
    let state = call.gateway.state();
    let engine = state.upstreams.get(&entry.id);
    log::info!(
        target: DECISION_TARGET,
        request = call.head.attempt_id, upstream:% = entry.id, unread = uncached,
        subject = call.head.prompt.as_ref().and_then(PromptShape::shared_prefix_id).unwrap_or_default(),
        prompt_tokens = call.head.prompt.as_ref().map_or(0, |prompt| prompt.prompt_tokens),
        queued_tokens = engine.map_or(0, UpstreamState::prefill_backlog_tokens),
        requests = engine.map_or(0, |engine| engine.own.requests + engine.peers.requests),
        slowness_per_mille = state.slowness(&entry.id, now).per_mille(),
        waited_ms = now.since(call.arrived).as_millis() as u64;
        "prefill engine chosen"
    );
}

/// KV cache that an upstream holds for a request; released unless another upstream has fetched it.
pub struct KvHandleGuard {
    gateway: Arc<Gateway>,
    /// Location of the KV cache.
    pub source: KvSource,
    /// True once another upstream has fetched it.
    pub is_fetched: bool,
}

impl Drop for KvHandleGuard {
    fn drop(&mut self) {
        if self.is_fetched {
            return;
        }
        let request = self
            .gateway
            .parts
            .upstream_protocol
            .release_handle(&self.source.handle);
        let address = self.source.address;
        tokio::spawn(async move {
            let sent = async {
                let mut connection = connect(address).await?;
                connection
                    .send_request(request.map(http_body_util::Full::new))
                    .await
                    .map_err(std::io::Error::other)
            };
            let released = tokio::time::timeout(RELEASE_TIMEOUT, sent).await;
            if let Err(err) = released.unwrap_or_else(|err| Err(err.into())) {
                log::info!(upstream:% = address, error:% = err; "releasing a KV cache failed; it expires at the upstream");
            }
        });
    }
}
