//! The border between the routing table and the policies.

use std::fmt::Debug;
use std::time::Duration;

use marigoldlock_wire::engine::EngineRole;
use marigoldlock_wire::platform::CapacityKind;

use crate::prelude::*;

use super::types::{RouteAsk, RouteParams, RouteReason};
use super::upstream::UpstreamState;

/// Picks one of a pool of upstreams.
pub trait RoutePolicy: Debug + Send {
    /// Name for logs and reports.
    fn name(&self) -> &'static str;

    /// The pick; `None` if no upstream of the pool may take the request.
    fn pick(&mut self, pool: &RoutePool<'_>, ask: &RouteAsk<'_>, now: MonoTime) -> Option<RoutePick>;
}

/// What a policy picked; upstreams are named by their slot in the table.
#[derive(Clone, Debug, PartialEq)]
pub struct RoutePick {
    /// The upstream.
    pub slot: u32,
    /// Expected time to the first token.
    pub cost: Duration,
    /// Prompt tokens believed to be cached.
    pub cached_tokens: u64,
    /// Engine that prefills first.
    pub prefill_at: Option<u32>,
    /// Engine to copy the KV cache from, and the tokens of the prefix.
    pub kv_from: Option<(u32, u64)>,
    /// The next best ones.
    pub runners_up: Vec<(u32, Duration)>,
    /// Why this one.
    pub reason: RouteReason,
}

impl RoutePick {
    /// Pick of a baseline, which expects nothing.
    pub fn baseline(slot: u32) -> Self {
        Self {
            slot,
            cost: Duration::ZERO,
            cached_tokens: 0,
            prefill_at: None,
            kv_from: None,
            runners_up: Vec::new(),
            reason: RouteReason::Baseline,
        }
    }
}

/// The upstreams that serve a request's service and model.
#[derive(Clone, Copy, Debug)]
pub struct RoutePool<'a> {
    pub(super) upstreams: &'a [Option<UpstreamState>],
    pub(super) members: &'a [u32],
    pub(super) holders: &'a FastMap<u64, Vec<u32>>,
    /// Parameters of the table.
    pub params: &'a RouteParams,
}

impl<'a> RoutePool<'a> {
    /// Slots of the pool's upstreams.
    pub fn members(&self) -> &'a [u32] {
        self.members
    }

    /// The upstream in a slot.
    pub fn upstream(&self, slot: u32) -> Option<&'a UpstreamState> {
        self.upstreams.get(slot as usize)?.as_ref()
    }

    /// True if the upstream takes new work and the request's limits allow it.
    pub fn is_allowed(&self, state: &UpstreamState, ask: &RouteAsk<'_>) -> bool {
        let facts = &state.facts;
        !state.leaving
            && !state.is_changing()
            && (ask.cheap_allowed || facts.capacity == CapacityKind::Steady)
            && (ask.data_centres.is_empty() || ask.data_centres.contains(&facts.data_centre))
            && !ask.exclude.contains(&facts.id)
    }

    /// True if the upstream may make the output of a request.
    pub fn is_target(&self, state: &UpstreamState, ask: &RouteAsk<'_>) -> bool {
        state.role() != EngineRole::Prefill && self.is_allowed(state, ask)
    }

    /// Slots of the upstreams that may make the output, in the table's order.
    pub fn targets(&self, ask: &RouteAsk<'_>) -> impl Iterator<Item = (u32, &'a UpstreamState)> {
        self.members.iter().filter_map(move |&slot| {
            let state = self.upstream(slot)?;
            self.is_target(state, ask).then_some((slot, state))
        })
    }

    /// Engines that hold the longest known prefix of the prompt, of any pool.
    pub(super) fn holders(&self, prefixes: &[u64]) -> &'a [u32] {
        let known = prefixes.partition_point(|prefix| self.holders.contains_key(prefix));
        match known
            .checked_sub(1)
            .and_then(|last| self.holders.get(&prefixes[last]))
        {
            Some(slots) => slots,
            None => &[],
        }
    }
}
