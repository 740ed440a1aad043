//! Cost of a request at one upstream: the expected time to the first token, plus penalties.

use marigoldlock_wire::engine::EngineRole;
use marigoldlock_wire::platform::CapacityKind;

use crate::prelude::*;

use super::policy::RoutePool;
use super::types::{RouteRequest, WorkClass};
use super::upstream::UpstreamState;

/// Share of the expected decode time that counts towards the cost.
const DECODE_WEIGHT: f64 = 0.05;

/// Penalty of a full batch, in seconds, so that equal upstreams fill evenly.
const FILL_PENALTY_S: f64 = 0.05;

/// Penalty of cheap capacity for interactive requests, in seconds, since it may be reclaimed.
const CHEAP_PENALTY_S: f64 = 0.05;

/// Penalty of each failure since the last success, in seconds.
const FAILURE_PENALTY_S: f64 = 1.0;

/// Penalty of an upstream that accepts no requests, in seconds; large enough to make it the last resort.
const EJECTED_PENALTY_S: f64 = 3600.0;

/// Factor by which a decode engine prefills slower than its reported speed.
const DECODE_ROLE_SLOWDOWN: f64 = 4.0;

/// Estimated cost of a request at one upstream.
#[derive(Clone, Copy, Debug, PartialEq)]
pub(super) struct CostEstimate {
    pub(super) slot: u32,
    pub(super) cost_s: f64,
    pub(super) cached_tokens: u64,
    pub(super) prefill_at: Option<u32>,
    pub(super) kv_from: Option<(u32, u64)>,
}

/// Engine from which a cached prefix may be copied.
#[derive(Clone, Copy, Debug)]
pub(super) struct KvHolder {
    pub(super) slot: u32,
    pub(super) tokens: u64,
}

/// Prefill engine for the prompt, and the time until its prefill would be done.
#[derive(Clone, Copy, Debug)]
pub(super) struct PrefillCandidate {
    pub(super) slot: u32,
    pub(super) ready_s: f64,
}

/// Seconds until the engine has prefilled its backlog and the uncached part of the request.
pub(super) fn prefill_time_s(
    pool: &RoutePool<'_>,
    state: &UpstreamState,
    request: &RouteRequest<'_>,
    uncached: u64,
    now: MonoTime,
) -> f64 {
    let slowdown = match state.role() {
        EngineRole::Decode => DECODE_ROLE_SLOWDOWN,
        _ => 1.0,
    };
    let backlog = state.backlog(request.class, pool.params, now);
    (backlog + uncached as f64) * slowdown / state.prefill_rate(pool.params)
}

/// Estimates the cost at `state`, with the fastest way to get the prompt's KV cache there.
pub(super) fn estimate(
    pool: &RoutePool<'_>,
    slot: u32,
    state: &UpstreamState,
    request: &RouteRequest<'_>,
    sources: (Option<KvHolder>, Option<PrefillCandidate>),
    now: MonoTime,
) -> CostEstimate {
    let cached = state
        .cache
        .cached_tokens(request.prefixes)
        .min(request.prompt_tokens);
    let mut estimate = CostEstimate {
        slot,
        cost_s: 0.0,
        cached_tokens: cached,
        prefill_at: None,
        kv_from: None,
    };
    let mut prompt_s = 0.0;
    if state.is_engine() {
        prompt_s = prefill_time_s(pool, state, request, request.prompt_tokens - cached, now);
        consider_transfer(pool, state, request, sources.0, &mut estimate, &mut prompt_s, now);
        consider_split(pool, state, request, sources.1, &mut estimate, &mut prompt_s);
    }
    let first_token_s = state.slot_wait_s(request.class, pool.params) + prompt_s;
    estimate.cost_s = first_token_s * state.latency_ratio(now) + penalty_s(pool, state, request, now);
    estimate
}

/// Plans a copy of the holder's cached prefix if it saves enough time.
fn consider_transfer(
    pool: &RoutePool<'_>,
    state: &UpstreamState,
    request: &RouteRequest<'_>,
    holder: Option<KvHolder>,
    estimate: &mut CostEstimate,
    prompt_s: &mut f64,
    now: MonoTime,
) {
    let Some(holder) = holder.filter(|holder| holder.slot != estimate.slot) else {
        return;
    };
    if holder.tokens <= estimate.cached_tokens {
        return;
    }
    let params = pool.params;
    let uncached = request.prompt_tokens.saturating_sub(holder.tokens);
    let copy_s = params.kv_setup.as_secs_f64() + holder.tokens as f64 / params.kv_tokens_per_s;
    let with_copy_s = copy_s + prefill_time_s(pool, state, request, uncached, now);
    if with_copy_s + params.min_kv_gain.as_secs_f64() < *prompt_s {
        *prompt_s = with_copy_s;
        estimate.kv_from = Some((holder.slot, holder.tokens));
        estimate.cached_tokens = holder.tokens;
    }
}

/// Plans the prefill on another engine if that is faster.
fn consider_split(
    pool: &RoutePool<'_>,
    state: &UpstreamState,
    request: &RouteRequest<'_>,
    candidate: Option<PrefillCandidate>,
    estimate: &mut CostEstimate,
    prompt_s: &mut f64,
) {
    let Some(candidate) = candidate else { return };
    if state.role() != EngineRole::Decode {
        return;
    }
    let params = pool.params;
    let copy_s = params.kv_setup.as_secs_f64() + request.prompt_tokens as f64 / params.kv_tokens_per_s;
    let split_s = candidate.ready_s + copy_s;
    if split_s < *prompt_s {
        *prompt_s = split_s;
        estimate.prefill_at = Some(candidate.slot);
        estimate.kv_from = None;
    }
}

/// Sum of the penalties in seconds: failures, distance, cheap capacity, ejection, silence, load and decode
/// time.
fn penalty_s(pool: &RoutePool<'_>, state: &UpstreamState, request: &RouteRequest<'_>, now: MonoTime) -> f64 {
    let params = pool.params;
    let mut penalty_s = FAILURE_PENALTY_S * f64::from(state.health.failures());
    if state.info.data_centre != *request.local {
        penalty_s += params.remote_round_trip.as_secs_f64();
    }
    if state.info.capacity == CapacityKind::Cheap && request.class == WorkClass::Interactive {
        penalty_s += CHEAP_PENALTY_S;
    }
    if !state.health.accepts_requests(now) {
        penalty_s += EJECTED_PENALTY_S;
    }
    let silence = state.silence(now);
    if silence > params.silence_timeout {
        penalty_s += silence.as_secs_f64();
    }
    penalty_s += FILL_PENALTY_S * f64::from(state.in_flight()) / f64::from(state.slots(params).max(1));
    if let Some(rate) = state.decode_rate() {
        penalty_s += DECODE_WEIGHT * request.output_tokens as f64 / rate;
    }
    penalty_s
}
