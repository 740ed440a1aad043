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
const CROSS_TOKENS: u64 = 1_500;

/// Prompt tokens that one more running request is worth: it slows every step of the batch.
const REQUEST_TOKENS: u64 = 120;

/// How much more a token costs that a generating upstream reads: it reads at half the speed, and each piece that
/// it reads delays the next token of all that it generates.
const DECODE_READ_FACTOR: u64 = 60;

/// How much more a token costs than the wait for it: reading also takes time from all that come later.
const UNREAD_FACTOR: u64 = 2;

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
///
/// Each subject has one owner that all instances agree on, so that its shared parts are read once and kept
/// there; others take over only while the owner's queue costs more than reading the parts again.
pub fn pick_reader<'a>(
    candidates: &[Candidate<'a>],
    prompt: &PromptShape,
    point: ChoicePoint<'_>,
) -> Option<(&'a UpstreamEntry, u64)> {
    let subject = prompt.subject().unwrap_or_default();
    let readers = candidates
        .iter()
        .filter(|candidate| candidate.entry.role != UpstreamRole::Decode);
    let owner = readers.min_by_key(|candidate| mix(subject, candidate.entry.id.as_str()));
    let owner = owner.map(|candidate| &candidate.entry.id);
    let shared: u64 = prompt
        .parts
        .iter()
        .rev()
        .skip(1)
        .map(|part| u64::from(part.tokens))
        .sum();
    candidates
        .iter()
        .map(|candidate| {
            let mut kept = candidate.state.prefix.kept_tokens(&prompt.parts);
            if owner == Some(&candidate.entry.id) {
                kept = kept.max(shared);
            }
            let unread = u64::from(prompt.prompt_tokens).saturating_sub(kept);
            let factor = match candidate.entry.role {
                UpstreamRole::Decode => DECODE_READ_FACTOR,
                UpstreamRole::Prefill | UpstreamRole::Whole => 1,
            };
            let read = (candidate.state.reading_tokens() + unread * UNREAD_FACTOR) * factor;
            let cost = read + surcharge(candidate, point);
            (
                cost,
                mix(subject, candidate.entry.id.as_str()),
                candidate.entry,
                unread,
            )
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

fn mix(seed: u64, id: &str) -> u64 {
    let mut hasher = FxHasher::default();
    hasher.write_u64(seed);
    hasher.write(id.as_bytes());
    // One more round spreads the low bits, in which ids that differ in a digit would tie.
    let hash = hasher.finish();
    (hash ^ (hash >> 29)).wrapping_mul(0x9E37_79B9_7F4A_7C15)
}
