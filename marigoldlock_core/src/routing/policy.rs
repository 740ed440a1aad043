//! Interface between the routing table and its policies.

use std::fmt::Debug;
use std::time::Duration;

use marigoldlock_wire::engine::EngineRole;
use marigoldlock_wire::platform::CapacityKind;

use crate::prelude::*;

use super::types::{RouteParams, RouteReason, RouteRequest};
use super::upstream::UpstreamState;

/// Picks an upstream from a pool.
pub trait RoutePolicy: Debug + Send {
    /// Name for logs and reports.
    fn name(&self) -> &'static str;

    /// Picks an upstream; returns `None` if none in the pool may take the request.
    fn pick(&mut self, pool: &RoutePool<'_>, request: &RouteRequest<'_>, now: MonoTime) -> Option<RoutePick>;
}

/// Choice of a policy; upstreams are identified by their table slots.
#[derive(Clone, Debug, PartialEq)]
pub struct RoutePick {
    /// Table slot of the chosen upstream.
    pub slot: u32,
    /// Expected time to the first token, with penalties.
    pub cost: Duration,
    /// Prompt tokens presumed to be cached, including those copied by `kv_from`.
    pub cached_tokens: u64,
    /// Separate engine for the prefill, if any.
    pub prefill_at: Option<u32>,
    /// Engine to copy the KV cache from, if any, and the length of the prefix in tokens.
    pub kv_from: Option<(u32, u64)>,
    /// Next best upstreams, lowest cost first.
    pub runners_up: Vec<(u32, Duration)>,
    /// Why this upstream was picked.
    pub reason: RouteReason,
}

impl RoutePick {
    /// Pick of a baseline policy, which estimates no cost.
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
    /// Table slots of the pool's upstreams.
    pub fn members(&self) -> &'a [u32] {
        self.members
    }

    /// The upstream in a table slot.
    pub fn upstream(&self, slot: u32) -> Option<&'a UpstreamState> {
        self.upstreams.get(slot as usize)?.as_ref()
    }

    /// True if the upstream takes new requests and the request's restrictions allow it.
    pub fn is_allowed(&self, state: &UpstreamState, request: &RouteRequest<'_>) -> bool {
        let info = &state.info;
        !state.leaving
            && !state.is_changing()
            && (request.cheap_allowed || info.capacity == CapacityKind::Steady)
            && (request.data_centres.is_empty() || request.data_centres.contains(&info.data_centre))
            && !request.exclude.contains(&info.id)
    }

    /// True if the upstream may generate the output of the request.
    pub fn is_target(&self, state: &UpstreamState, request: &RouteRequest<'_>) -> bool {
        state.role() != EngineRole::Prefill && self.is_allowed(state, request)
    }

    /// Upstreams that may generate the output, with their table slots in ascending order.
    pub fn targets(&self, request: &RouteRequest<'_>) -> impl Iterator<Item = (u32, &'a UpstreamState)> {
        self.members.iter().filter_map(move |&slot| {
            let state = self.upstream(slot)?;
            self.is_target(state, request).then_some((slot, state))
        })
    }

    /// Table slots of the engines with the longest known prefix of the prompt, also outside this pool.
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
