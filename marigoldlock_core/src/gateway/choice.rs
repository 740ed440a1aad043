//! Choice of the upstream for a request.
//!
//! Costs are expressed in prompt tokens, since prefill is the bottleneck. The cost of a candidate is its
//! prefill backlog plus what this request adds, plus an extra cost if it is in another data centre. Work at
//! an upstream of known speed counts with the time that it takes there; without known speeds, costs are those
//! of equally fast upstreams.

use std::borrow::Cow;
use std::hash::Hasher;

use marigoldlock_wire::prelude::*;
use rustc_hash::FxHasher;

use crate::time::MonoTime;

use super::call::PromptShape;
use super::catalog::{UpstreamEntry, UpstreamRole};
use super::state::UpstreamState;

/// Cost of using another data centre, in prompt tokens: traffic between data centres is billed, and a KV
/// cache transfer takes twice as long.
const REMOTE_COST_TOKENS: u64 = 1_500;

/// Cost of each running request, in prompt tokens: every request slows each step of the batch.
const RUNNING_COST_TOKENS: u64 = 120;

/// Factor for prefill on a decode engine: it reads prompts at half the speed, and each chunk of prefill
/// delays the next token of all requests that it decodes.
const DECODE_PREFILL_FACTOR: u64 = 60;

/// Factor for uncached tokens of this request compared to the backlog: their prefill also delays all later
/// requests.
const UNCACHED_FACTOR: u64 = 2;

/// Cost of an upstream that is full or whose last attempt failed, in prompt tokens; higher than any usual
/// backlog.
const UNHEALTHY_COST_TOKENS: u64 = 30_000;

/// Work of decoding one request, in prompt tokens, by which a slow engine costs more than a fast one even while
/// both are idle: that of eight running requests, so that slow engines get work well before fast ones are full.
const DECODE_WORK_TOKENS: u64 = 960;

/// Upstreams of known speed that are compared in each of the nearest and the other data centres. All instances
/// would take the best of all at once while their reports are old.
const SAMPLE_SIZE: usize = 2;

/// An upstream with its known state.
#[derive(Clone, Copy, Debug)]
pub struct Candidate<'a> {
    /// Entry in the catalogue.
    pub entry: &'a UpstreamEntry,
    /// Load and health.
    pub state: &'a UpstreamState,
}

/// Context of a choice.
#[derive(Clone, Copy, Debug)]
pub struct ChoiceContext<'a> {
    /// Data centre of the instance.
    pub data_centre: &'a DataCentre,
    /// Current time.
    pub now: MonoTime,
}

/// Picks the upstream for a request to a plain service: the least loaded one. An upstream in another data
/// centre, or with at least half of its slots taken, counts as if 40 % more of its slots were taken. Where speeds
/// are known, the load including this request counts with the time that it takes, and only a sample is compared.
pub fn pick_plain<'a>(
    candidates: &[Candidate<'a>],
    context: ChoiceContext<'_>,
    random: u64,
) -> Option<&'a UpstreamEntry> {
    compared(candidates, context, random)
        .iter()
        .min_by_key(|candidate| {
            let requests = candidate.state.requests(context.now);
            let is_local = candidate.entry.data_centre == *context.data_centre;
            let slots = candidate.entry.slots.max(1);
            // From half of its slots on, an upstream may have to queue requests that other instances send at
            // the same moment.
            let is_half_full = requests * 2 >= slots;
            let remote = u64::from(!is_local) * 400;
            let load = u64::from(requests) * 1_000 / u64::from(slots);
            let half_full = u64::from(is_half_full) * 400;
            let suspect = u64::from(candidate.state.is_suspect()) * 2_000;
            let work = u64::from(requests + 1) * 1_000 / u64::from(slots);
            let cost = (load + remote + half_full + suspect).cast_signed()
                + candidate.state.slowness(context.now).excess(work);
            (cost, seeded_hash(random, candidate.entry.id.as_str()))
        })
        .map(|candidate| candidate.entry)
}

/// Candidates among which a request goes to the cheapest: all of them, or a sample if speeds are known. A full or
/// failing one is then compared only if there is no other, so slow upstreams are used up to their capacity.
fn compared<'a, 'b>(
    candidates: &'b [Candidate<'a>],
    context: ChoiceContext<'_>,
    random: u64,
) -> Cow<'b, [Candidate<'a>]> {
    let slowness = |candidate: &Candidate<'_>| candidate.state.slowness(context.now);
    if !candidates
        .iter()
        .any(|candidate| slowness(candidate).is_notable())
    {
        return Cow::Borrowed(candidates);
    }
    let is_healthy = |candidate: &&Candidate<'_>| {
        candidate.state.requests(context.now) < candidate.entry.slots && !candidate.state.is_suspect()
    };
    let mut healthy: Vec<Candidate<'a>> = candidates.iter().filter(is_healthy).copied().collect();
    if healthy.is_empty() {
        healthy.extend_from_slice(candidates);
    }
    // Fast upstreams are drawn more often: of exponential variables with rates as the speeds, the smallest ones.
    healthy.sort_by_cached_key(|candidate| {
        let hash = seeded_hash(random, candidate.entry.id.as_str());
        let uniform = (hash >> 11) as f64 / (1_u64 << 53) as f64;
        let scale = f64::from(slowness(candidate).per_mille());
        (-(1.0 - uniform).ln() * scale * 1e6) as u64
    });
    let is_local = |candidate: &Candidate<'_>| candidate.entry.data_centre == *context.data_centre;
    let (local, remote): (Vec<_>, Vec<_>) = healthy.into_iter().partition(is_local);
    let sample = local
        .into_iter()
        .take(SAMPLE_SIZE)
        .chain(remote.into_iter().take(SAMPLE_SIZE));
    Cow::Owned(sample.collect())
}

/// Picks the upstream that should prefill a prompt, or serve the whole request: the one that finishes the
/// prefill at the lowest cost. Also returns the number of uncached tokens.
///
/// Each shared prefix has one owner that all instances agree on, so that it is computed and cached in one
/// place. Another upstream is chosen only if the owner's backlog costs more than computing the prefix again.
pub fn pick_prefill<'a>(
    candidates: &[Candidate<'a>],
    prompt: &PromptShape,
    context: ChoiceContext<'_>,
) -> Option<(&'a UpstreamEntry, u64)> {
    let shared_prefix_id = prompt.shared_prefix_id().unwrap_or_default();
    let owner_candidates = candidates
        .iter()
        .filter(|candidate| candidate.entry.role != UpstreamRole::Decode);
    let owner =
        owner_candidates.min_by_key(|candidate| seeded_hash(shared_prefix_id, candidate.entry.id.as_str()));
    let owner = owner.map(|candidate| &candidate.entry.id);
    let shared_tokens: u64 = prompt
        .parts
        .iter()
        .rev()
        .skip(1)
        .map(|part| u64::from(part.tokens))
        .sum();
    candidates
        .iter()
        .map(|candidate| {
            let mut cached = candidate.state.prefix.cached_tokens(&prompt.parts);
            if owner == Some(&candidate.entry.id) {
                cached = cached.max(shared_tokens);
            }
            let uncached = u64::from(prompt.prompt_tokens).saturating_sub(cached);
            let factor = match candidate.entry.role {
                UpstreamRole::Decode => DECODE_PREFILL_FACTOR,
                UpstreamRole::Prefill | UpstreamRole::Whole => 1,
            };
            let work = (candidate.state.prefill_backlog_tokens() + uncached * UNCACHED_FACTOR) * factor;
            let cost = candidate.state.slowness(context.now).scale(work) + placement_cost(candidate, context);
            (
                cost,
                seeded_hash(shared_prefix_id, candidate.entry.id.as_str()),
                candidate.entry,
                uncached,
            )
        })
        .min_by_key(|&(cost, tie_breaker, _, _)| (cost, tie_breaker))
        .map(|(_, _, entry, uncached)| (entry, uncached))
}

/// Picks the upstream that decodes a request whose KV cache it fetches from another upstream.
pub fn pick_decode<'a>(
    candidates: &[Candidate<'a>],
    context: ChoiceContext<'_>,
    random: u64,
) -> Option<&'a UpstreamEntry> {
    compared(candidates, context, random)
        .iter()
        .min_by_key(|candidate| {
            let slowness = candidate.state.slowness(context.now);
            let backlog_cost = slowness.scale(candidate.state.prefill_backlog_tokens() * 2);
            let cost = (backlog_cost + placement_cost(candidate, context)).cast_signed()
                + slowness.excess(DECODE_WORK_TOKENS);
            (cost, seeded_hash(random, candidate.entry.id.as_str()))
        })
        .map(|candidate| candidate.entry)
}

fn placement_cost(candidate: &Candidate<'_>, context: ChoiceContext<'_>) -> u64 {
    let requests = candidate.state.requests(context.now);
    let is_local = candidate.entry.data_centre == *context.data_centre;
    let is_full = requests >= candidate.entry.slots;
    candidate
        .state
        .slowness(context.now)
        .scale(u64::from(requests) * RUNNING_COST_TOKENS)
        + u64::from(!is_local) * REMOTE_COST_TOKENS
        + u64::from(is_full) * UNHEALTHY_COST_TOKENS
        + u64::from(candidate.state.is_suspect()) * UNHEALTHY_COST_TOKENS
}

fn seeded_hash(seed: u64, id: &str) -> u64 {
    let mut hasher = FxHasher::default();
    hasher.write_u64(seed);
    hasher.write(id.as_bytes());
    // Ids that differ in one digit would tie in the low bits; one more round spreads them.
    let hash = hasher.finish();
    (hash ^ (hash >> 29)).wrapping_mul(0x9E37_79B9_7F4A_7C15)
}
