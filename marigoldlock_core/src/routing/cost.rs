//! Expected time to the first token at one upstream.

use marigoldlock_wire::engine::EngineRole;
use marigoldlock_wire::platform::CapacityKind;

use crate::prelude::*;

use super::policy::RoutePool;
use super::types::{RouteAsk, WorkClass};
use super::upstream::UpstreamState;

/// Share of the expected decode time that counts towards the cost.
const DECODE_WEIGHT: f64 = 0.05;

/// Seconds that a full batch adds, so that equal upstreams fill evenly.
const FILL_PENALTY_S: f64 = 0.05;

/// Seconds added for interactive work on cheaper capacity, which may vanish.
const CHEAP_PENALTY_S: f64 = 0.05;

/// Seconds that one failure since the last success adds.
const FAILURE_PENALTY_S: f64 = 1.0;

/// Seconds added while an upstream is ejected and nothing better is left.
const EJECTED_PENALTY_S: f64 = 3600.0;

/// How much slower a decode engine prefills than its reported speed says.
const DECODE_ROLE_SLOWDOWN: f64 = 4.0;

/// What a request is expected to cost at one upstream.
#[derive(Clone, Copy, Debug, PartialEq)]
pub(super) struct CostEstimate {
    pub(super) slot: u32,
    pub(super) cost_s: f64,
    pub(super) cached_tokens: u64,
    pub(super) prefill_at: Option<u32>,
    pub(super) kv_from: Option<(u32, u64)>,
}

/// Engine whose cached prefix may be copied.
#[derive(Clone, Copy, Debug)]
pub(super) struct KvHolder {
    pub(super) slot: u32,
    pub(super) tokens: u64,
}

/// Prefill engine that would read the prompt, and the time until it has.
#[derive(Clone, Copy, Debug)]
pub(super) struct PrefillOffer {
    pub(super) slot: u32,
    pub(super) ready_s: f64,
}

/// Seconds until the engine's prefill has worked off what stands before the request, and the request.
pub(super) fn prefill_s(
    pool: &RoutePool<'_>,
    state: &UpstreamState,
    ask: &RouteAsk<'_>,
    left: u64,
    now: MonoTime,
) -> f64 {
    let slowdown = match state.role() {
        EngineRole::Decode => DECODE_ROLE_SLOWDOWN,
        _ => 1.0,
    };
    let backlog = state.backlog(ask.class, pool.params, now);
    (backlog + left as f64) * slowdown / state.prefill_rate(pool.params)
}

/// Expected cost at `state`, with the cheapest way to get the prompt's KV cache there.
pub(super) fn estimate(
    pool: &RoutePool<'_>,
    slot: u32,
    state: &UpstreamState,
    ask: &RouteAsk<'_>,
    helpers: (Option<KvHolder>, Option<PrefillOffer>),
    now: MonoTime,
) -> CostEstimate {
    let cached = state.cache.cached_tokens(ask.prefixes).min(ask.prompt_tokens);
    let mut estimate = CostEstimate {
        slot,
        cost_s: 0.0,
        cached_tokens: cached,
        prefill_at: None,
        kv_from: None,
    };
    let mut first_s = 0.0;
    if state.is_engine() {
        first_s = prefill_s(pool, state, ask, ask.prompt_tokens - cached, now);
        consider_transfer(pool, state, ask, helpers.0, &mut estimate, &mut first_s, now);
        consider_split(pool, state, ask, helpers.1, &mut estimate, &mut first_s);
    }
    let queue_s = state.slot_wait_s(ask.class, pool.params) + first_s;
    estimate.cost_s = queue_s * state.bias(now) + surcharge_s(pool, state, ask, now);
    estimate
}

/// Takes the copy of a cached prefix if it saves enough.
fn consider_transfer(
    pool: &RoutePool<'_>,
    state: &UpstreamState,
    ask: &RouteAsk<'_>,
    holder: Option<KvHolder>,
    estimate: &mut CostEstimate,
    first_s: &mut f64,
    now: MonoTime,
) {
    let Some(holder) = holder.filter(|holder| holder.slot != estimate.slot) else {
        return;
    };
    if holder.tokens <= estimate.cached_tokens {
        return;
    }
    let params = pool.params;
    let left = ask.prompt_tokens.saturating_sub(holder.tokens);
    let copy_s = params.kv_setup.as_secs_f64() + holder.tokens as f64 / params.kv_tokens_per_s;
    let with_copy_s = copy_s + prefill_s(pool, state, ask, left, now);
    if with_copy_s + params.kv_least_gain.as_secs_f64() < *first_s {
        *first_s = with_copy_s;
        estimate.kv_from = Some((holder.slot, holder.tokens));
        estimate.cached_tokens = holder.tokens;
    }
}

/// Takes the prefill on another engine if that is sooner.
fn consider_split(
    pool: &RoutePool<'_>,
    state: &UpstreamState,
    ask: &RouteAsk<'_>,
    offer: Option<PrefillOffer>,
    estimate: &mut CostEstimate,
    first_s: &mut f64,
) {
    let Some(offer) = offer else { return };
    if state.role() != EngineRole::Decode {
        return;
    }
    let params = pool.params;
    let copy_s = params.kv_setup.as_secs_f64() + ask.prompt_tokens as f64 / params.kv_tokens_per_s;
    let split_s = offer.ready_s + copy_s;
    if split_s < *first_s {
        *first_s = split_s;
        estimate.prefill_at = Some(offer.slot);
        estimate.kv_from = None;
    }
}

/// Seconds for distance, fill, risk and doubt.
fn surcharge_s(pool: &RoutePool<'_>, state: &UpstreamState, ask: &RouteAsk<'_>, now: MonoTime) -> f64 {
    let params = pool.params;
    let mut extra_s = FAILURE_PENALTY_S * f64::from(state.health.failures());
    if state.facts.data_centre != *ask.local {
        extra_s += params.remote_round_trip.as_secs_f64();
    }
    if state.facts.capacity == CapacityKind::Cheap && ask.class == WorkClass::Interactive {
        extra_s += CHEAP_PENALTY_S;
    }
    if !state.health.takes_work(now) {
        extra_s += EJECTED_PENALTY_S;
    }
    let silence = state.silence(now);
    if silence > params.silence {
        extra_s += silence.as_secs_f64();
    }
    extra_s += FILL_PENALTY_S * f64::from(state.in_flight()) / f64::from(state.slots(params).max(1));
    if let Some(rate) = state.decode_rate() {
        extra_s += DECODE_WEIGHT * ask.output_tokens as f64 / rate;
    }
    extra_s
}
