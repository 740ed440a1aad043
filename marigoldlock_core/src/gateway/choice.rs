//! Choice of an upstream.
//!
//! Costs are compared in prompt tokens, the scarce good: what waits to be read there, what this request adds,
//! and a surcharge for leaving the data centre.

use std::hash::Hasher;

use marigoldlock_wire::prelude::*;
use rustc_hash::FxHasher;

use crate::time::MonoTime;

use super::call::PromptShape;
use super::catalog::{UpstreamEntry, UpstreamRole};
use super::state::UpstreamState;

/// Surcharge for another data centre, in prompt tokens: bytes between data centres are billed, and a move of
/// memory takes twice as long there.
const CROSS_TOKENS: u64 = 6_000;

/// Prompt tokens that one more running request is worth: it slows every step of the batch.
const REQUEST_TOKENS: u64 = 120;

/// Share of a subject's parts that its preferred upstream is assumed to keep for other instances.
const ASSUMED_KEPT: f64 = 0.6;

/// Surcharge for an upstream whose last attempt failed, in prompt tokens: above any usual queue.
const SUSPECT_TOKENS: u64 = 30_000;

/// An upstream with what is known of it.
#[derive(Clone, Copy, Debug)]
pub struct Candidate<'a> {
    /// Its entry.
    pub entry: &'a UpstreamEntry,
    /// Its load and health.
    pub state: &'a UpstreamState,
}

/// Where and when a choice is made.
#[derive(Clone, Copy, Debug)]
pub struct ChoicePoint<'a> {
    /// Data centre of the instance.
    pub data_centre: &'a DataCentre,
    /// Now.
    pub now: MonoTime,
}

/// Upstream for a call of a plain service: least busy, the own data centre first while it has free slots.
pub fn pick_plain<'a>(
    candidates: impl Iterator<Item = Candidate<'a>>,
    point: ChoicePoint<'_>,
    draw: u64,
) -> Option<&'a UpstreamEntry> {
    candidates
        .min_by_key(|candidate| {
            let requests = candidate.state.requests(point.now);
            let is_near = candidate.entry.data_centre == *point.data_centre;
            let slots = candidate.entry.slots.max(1);
            // Beyond half of its slots an upstream may queue what other instances send at the same moment.
            let is_crowded = requests * 2 >= slots;
            let cross = u64::from(!is_near) * 400;
            let load = u64::from(requests) * 1_000 / u64::from(slots);
            let crowded = u64::from(is_crowded) * 400;
            let suspect = u64::from(candidate.state.is_suspect()) * 2_000;
            let tie = mix(draw, candidate.entry.id.as_str());
            (load + cross + crowded + suspect, tie)
        })
        .map(|candidate| candidate.entry)
}

/// Upstream that reads a prompt or serves it whole: least work until the prompt is read.
pub fn pick_reader<'a>(
    candidates: &[Candidate<'a>],
    prompt: &PromptShape,
    point: ChoicePoint<'_>,
) -> Option<(&'a UpstreamEntry, u64)> {
    let subject = prompt.subject().unwrap_or_default();
    let preferred = preferred_readers(candidates, subject);
    let shared: u64 = prompt.parts.iter().rev().skip(1).map(|part| u64::from(part.tokens)).sum();
    candidates
        .iter()
        .map(|candidate| {
            let mut kept = candidate.state.prefix.kept_tokens(&prompt.parts);
            if kept == 0 && preferred.contains(&candidate.entry.id) {
                kept = (shared as f64 * ASSUMED_KEPT) as u64;
            }
            let unread = u64::from(prompt.prompt_tokens).saturating_sub(kept);
            let slow = match candidate.entry.role {
                UpstreamRole::Decode => 2,
                UpstreamRole::Prefill | UpstreamRole::Whole => 1,
            };
            let cost = (candidate.state.reading_tokens() + unread) * slow + surcharge(candidate, point);
            (cost, mix(subject, candidate.entry.id.as_str()), candidate.entry, unread)
        })
        .min_by_key(|&(cost, tie, _, _)| (cost, tie))
        .map(|(_, _, entry, unread)| (entry, unread))
}

/// Upstream that generates the tokens of a prompt whose memory it fetches.
pub fn pick_generator<'a>(
    candidates: &[Candidate<'a>],
    point: ChoicePoint<'_>,
    draw: u64,
) -> Option<&'a UpstreamEntry> {
    candidates
        .iter()
        .min_by_key(|candidate| {
            let cost = candidate.state.reading_tokens() * 2 + surcharge(candidate, point);
            (cost, mix(draw, candidate.entry.id.as_str()))
        })
        .map(|candidate| candidate.entry)
}

fn surcharge(candidate: &Candidate<'_>, point: ChoicePoint<'_>) -> u64 {
    let requests = candidate.state.requests(point.now);
    let is_near = candidate.entry.data_centre == *point.data_centre;
    let is_full = requests >= candidate.entry.slots;
    u64::from(requests) * REQUEST_TOKENS
        + u64::from(!is_near) * CROSS_TOKENS
        + u64::from(is_full) * SUSPECT_TOKENS
        + u64::from(candidate.state.is_suspect()) * SUSPECT_TOKENS
}

/// In each data centre, the upstream that instances agree on for a subject.
fn preferred_readers(candidates: &[Candidate<'_>], subject: u64) -> FastSet<UpstreamId> {
    let mut best: FastMap<&DataCentre, (u64, &UpstreamId)> = FastMap::default();
    for candidate in candidates {
        let weight = mix(subject, candidate.entry.id.as_str());
        let slot = best
            .entry(&candidate.entry.data_centre)
            .or_insert((weight, &candidate.entry.id));
        if weight < slot.0 {
            *slot = (weight, &candidate.entry.id);
        }
    }
    best.into_values().map(|(_, id)| id.clone()).collect()
}

fn mix(seed: u64, id: &str) -> u64 {
    let mut hasher = FxHasher::default();
    hasher.write_u64(seed);
    hasher.write(id.as_bytes());
    // One more round spreads the low bits, in which ids that differ in a digit would tie.
    let hash = hasher.finish();
    (hash ^ (hash >> 29)).wrapping_mul(0x9E37_79B9_7F4A_7C15)
}
