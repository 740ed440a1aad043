//! The routing table: upstreams, their index by service and model, and the attempts in flight.

use std::time::Duration;

use marigoldlock_wire::engine::{CacheEvents, LoadReport};
use marigoldlock_wire::peer::UpstreamLoad;

use crate::prelude::*;

use super::index::ServiceIndex;
use super::policy::{RoutePick, RoutePolicy, RoutePool};
use super::types::{
    AttemptOutcome, AttemptTicket, KvStep, PrefillStep, RouteDecision, RouteParams, RouteRefusal,
    RouteRequest, RouteScore, UpstreamInfo, WorkClass,
};
use super::upstream::{UpstreamState, WorkTotals};

/// An attempt in flight.
#[derive(Clone, Debug)]
struct Attempt {
    slot: u32,
    upstream: UpstreamId,
    sent: MonoTime,
    expected: Duration,
    work: WorkTotals,
    first_token: bool,
}

/// Requests in flight at a peer, as last reported.
#[derive(Clone, Debug)]
struct PeerLoad {
    received: MonoTime,
    loads: Vec<(u32, WorkTotals)>,
}

/// State of all upstreams, and the policy that picks among them.
#[derive(Debug)]
pub struct RouteTable {
    params: RouteParams,
    policy: Box<dyn RoutePolicy>,
    upstreams: Vec<Option<UpstreamState>>,
    slots: FastMap<UpstreamId, u32>,
    free: Vec<u32>,
    index: ServiceIndex,
    holders: FastMap<u64, Vec<u32>>,
    peers: FastMap<InstanceId, PeerLoad>,
    attempts: FastMap<u64, Attempt>,
    next_attempt: u64,
}

impl RouteTable {
    /// Creates an empty table.
    pub fn new(params: RouteParams, policy: Box<dyn RoutePolicy>) -> Self {
        Self {
            params,
            policy,
            upstreams: Vec::new(),
            slots: FastMap::default(),
            free: Vec::new(),
            index: ServiceIndex::default(),
            holders: FastMap::default(),
            peers: FastMap::default(),
            attempts: FastMap::default(),
            next_attempt: 0,
        }
    }

    /// Name of the policy.
    pub fn policy_name(&self) -> &'static str {
        self.policy.name()
    }

    /// Adds an upstream, or updates its data and clears its leaving mark.
    pub fn upsert(&mut self, mut info: UpstreamInfo) {
        if let Some(&slot) = self.slots.get(&info.id) {
            let Some(state) = &mut self.upstreams[slot as usize] else {
                return;
            };
            if info.models.is_empty() {
                info.models.clone_from(&state.info.models);
            }
            state.leaving = false;
            if state.info != info {
                self.index.remove(&state.info, slot);
                self.index.insert(&info, slot);
                state.info = info;
            }
            return;
        }
        let slot = self.free.pop().unwrap_or_else(|| {
            self.upstreams.push(None);
            self.upstreams.len() as u32 - 1
        });
        self.index.insert(&info, slot);
        self.slots.insert(info.id.clone(), slot);
        self.upstreams[slot as usize] = Some(UpstreamState::new(info));
    }

    /// Removes an upstream; attempts in flight there must still be passed to [`Self::on_finished`].
    pub fn remove(&mut self, id: &UpstreamId) {
        let Some(slot) = self.slots.remove(id) else { return };
        let Some(mut state) = self.upstreams[slot as usize].take() else {
            return;
        };
        self.index.remove(&state.info, slot);
        for prefix in state.cache.clear() {
            remove_holder(&mut self.holders, prefix, slot);
        }
        for peer in self.peers.values_mut() {
            peer.loads.retain(|(other, _)| *other != slot);
        }
        self.free.push(slot);
    }

    /// Marks an upstream as leaving, so that it gets no new requests.
    pub fn set_leaving(&mut self, id: &UpstreamId) {
        if let Some(state) = self.state_mut(id) {
            state.leaving = true;
        }
    }

    /// Applies a load report of an upstream.
    pub fn on_load_report(&mut self, id: &UpstreamId, report: &LoadReport, now: MonoTime) {
        let Some(&slot) = self.slots.get(id) else { return };
        let Some(state) = &mut self.upstreams[slot as usize] else {
            return;
        };
        if !state.on_load_report(report, now)
            || report.models.is_empty()
            || report.models == state.info.models
        {
            return;
        }
        self.index.remove(&state.info, slot);
        state.info.models.clone_from(&report.models);
        self.index.insert(&state.info, slot);
    }

    /// Applies events of an engine's prefix cache.
    pub fn on_cache_events(&mut self, id: &UpstreamId, events: &CacheEvents, _now: MonoTime) {
        let Some(&slot) = self.slots.get(id) else { return };
        let Some(state) = &mut self.upstreams[slot as usize] else {
            return;
        };
        let delta = state.cache.apply(events);
        for prefix in delta.evicted {
            remove_holder(&mut self.holders, prefix, slot);
        }
        for prefix in delta.stored {
            self.holders.entry(prefix).or_default().push(slot);
        }
    }

    /// Replaces the load that a peer has in flight.
    pub fn on_peer_load(&mut self, instance: &InstanceId, loads: &[UpstreamLoad], now: MonoTime) {
        self.remove_peer(instance);
        let mut known = Vec::with_capacity(loads.len());
        for load in loads {
            let Some(&slot) = self.slots.get(&load.upstream) else {
                continue;
            };
            let Some(state) = &mut self.upstreams[slot as usize] else {
                continue;
            };
            let work = WorkTotals {
                requests: load.requests,
                prefill_tokens: load.prefill_tokens,
                urgent_prefill_tokens: load.urgent_prefill_tokens,
            };
            state.peers.add(work);
            known.push((slot, work));
        }
        let peer = PeerLoad {
            received: now,
            loads: known,
        };
        self.peers.insert(instance.clone(), peer);
    }

    /// Removes the load of a peer that is gone.
    pub fn remove_peer(&mut self, instance: &InstanceId) {
        let Some(peer) = self.peers.remove(instance) else {
            return;
        };
        for (slot, work) in peer.loads {
            if let Some(state) = &mut self.upstreams[slot as usize] {
                state.peers.subtract(work);
            }
        }
    }

    /// Removes the expired loads of peers; to be called about once a second.
    pub fn tick(&mut self, now: MonoTime) {
        let ttl = self.params.peer_load_ttl;
        let expired = self
            .peers
            .iter()
            .filter(|(_, peer)| now.since(peer.received) > ttl);
        let expired: Vec<_> = expired.map(|(instance, _)| instance.clone()).collect();
        for instance in expired {
            self.remove_peer(&instance);
        }
    }

    /// Load that this instance has in flight, to be sent to its peers.
    pub fn own_load(&self) -> Vec<UpstreamLoad> {
        let busy = self
            .upstreams
            .iter()
            .flatten()
            .filter(|state| state.own.requests > 0);
        busy.map(|state| UpstreamLoad {
            upstream: state.info.id.clone(),
            requests: state.own.requests,
            prefill_tokens: state.own.prefill_tokens,
            urgent_prefill_tokens: state.own.urgent_prefill_tokens,
        })
        .collect()
    }

    /// Chooses the upstream for a request.
    ///
    /// # Errors
    ///
    /// Fails if no upstream may take the request; it has not been sent.
    pub fn choose(
        &mut self,
        request: &RouteRequest<'_>,
        now: MonoTime,
    ) -> Result<RouteDecision, RouteRefusal> {
        let pool = RoutePool {
            upstreams: &self.upstreams,
            members: self.index.members(request.service, request.model)?,
            holders: &self.holders,
            params: &self.params,
        };
        let pick = self
            .policy
            .pick(&pool, request, now)
            .ok_or(RouteRefusal::NoneAllowed)?;
        self.decision(pick).ok_or(RouteRefusal::NoneAllowed)
    }

    /// Records that the request was sent to the upstream of `decision`.
    pub fn on_sent(
        &mut self,
        decision: &RouteDecision,
        request: &RouteRequest<'_>,
        now: MonoTime,
    ) -> AttemptTicket {
        let uncached = request.prompt_tokens.saturating_sub(decision.cached_tokens);
        let prefill_tokens = if decision.prefill_at.is_some() {
            0
        } else {
            uncached
        };
        self.on_sent_to(&decision.upstream, request, prefill_tokens, decision.cost, now)
    }

    /// Records that the request was sent to `id`, which has `prefill_tokens` prompt tokens to prefill.
    pub fn on_sent_to(
        &mut self,
        id: &UpstreamId,
        request: &RouteRequest<'_>,
        prefill_tokens: u64,
        expected: Duration,
        now: MonoTime,
    ) -> AttemptTicket {
        let number = self.next_attempt;
        self.next_attempt += 1;
        let ticket = AttemptTicket { number };
        let Some(&slot) = self.slots.get(id) else {
            return ticket;
        };
        let Some(state) = &mut self.upstreams[slot as usize] else {
            return ticket;
        };
        let urgent_prefill_tokens = if request.class == WorkClass::Interactive {
            prefill_tokens
        } else {
            0
        };
        let work = WorkTotals {
            requests: 1,
            prefill_tokens,
            urgent_prefill_tokens,
        };
        state.on_sent(work, now);
        for &prefix in request.prefixes {
            if state.cache.insert_sent(prefix) {
                self.holders.entry(prefix).or_default().push(slot);
            }
        }
        let attempt = Attempt {
            slot,
            upstream: id.clone(),
            sent: now,
            expected,
            work,
            first_token: false,
        };
        self.attempts.insert(number, attempt);
        ticket
    }

    /// Records the first token of an attempt.
    pub fn on_first_token(&mut self, ticket: &AttemptTicket, now: MonoTime) {
        let Some(attempt) = self.attempts.get_mut(&ticket.number) else {
            return;
        };
        if attempt.first_token {
            return;
        }
        attempt.first_token = true;
        let prefill = WorkTotals {
            requests: 0,
            ..attempt.work
        };
        attempt.work.prefill_tokens = 0;
        attempt.work.urgent_prefill_tokens = 0;
        let elapsed = now.since(attempt.sent);
        let expected = attempt.expected;
        let attempt = attempt.clone();
        if let Some(state) = self.attempt_state(&attempt) {
            state.own.subtract(prefill);
            state.on_first_token(elapsed, expected, now);
        }
    }

    /// Records a later token or part of the answer.
    pub fn on_progress(&mut self, ticket: &AttemptTicket, now: MonoTime) {
        let Some(attempt) = self.attempts.get(&ticket.number) else {
            return;
        };
        let slot = attempt.slot as usize;
        match &mut self.upstreams[slot] {
            Some(state) if state.info.id == attempt.upstream => state.on_progress(now),
            _ => {}
        }
    }

    /// Records the end of an attempt.
    pub fn on_finished(&mut self, ticket: AttemptTicket, outcome: AttemptOutcome, now: MonoTime) {
        let Some(attempt) = self.attempts.remove(&ticket.number) else {
            return;
        };
        let may_eject = self.may_eject(attempt.slot);
        let params = self.params.clone();
        let Some(state) = self.attempt_state(&attempt) else {
            return;
        };
        state.own.subtract(attempt.work);
        match outcome {
            AttemptOutcome::Answered => {
                state.health.on_success();
                state.on_answered(now.since(attempt.sent), now);
            }
            AttemptOutcome::Cancelled => state.health.on_neutral(),
            AttemptOutcome::Refused | AttemptOutcome::TimedOut | AttemptOutcome::Broken => {
                state.health.on_failure(may_eject, &params, now);
            }
        }
    }

    /// State of an upstream.
    pub fn state(&self, id: &UpstreamId) -> Option<&UpstreamState> {
        self.upstreams[*self.slots.get(id)? as usize].as_ref()
    }

    /// States of all upstreams.
    pub fn states(&self) -> impl Iterator<Item = &UpstreamState> {
        self.upstreams.iter().flatten()
    }

    /// Number of known upstreams.
    pub fn len(&self) -> usize {
        self.slots.len()
    }

    /// True if no upstream is known.
    pub fn is_empty(&self) -> bool {
        self.slots.is_empty()
    }

    /// True if one more upstream of the same service may be ejected.
    fn may_eject(&self, slot: u32) -> bool {
        let Some(state) = &self.upstreams[slot as usize] else {
            return false;
        };
        let Ok(members) = self.index.members(&state.info.service, None) else {
            return false;
        };
        let ejected = members.iter().filter(|&&slot| {
            let state = self.upstreams[slot as usize].as_ref();
            state.is_some_and(|state| state.health.is_ejected())
        });
        let allowed = (members.len() as f64 * self.params.max_ejected_share) as usize;
        ejected.count() < allowed.max(usize::from(members.len() > 1))
    }

    fn state_mut(&mut self, id: &UpstreamId) -> Option<&mut UpstreamState> {
        self.upstreams[*self.slots.get(id)? as usize].as_mut()
    }

    fn attempt_state(&mut self, attempt: &Attempt) -> Option<&mut UpstreamState> {
        let state = self.upstreams[attempt.slot as usize].as_mut()?;
        (state.info.id == attempt.upstream).then_some(state)
    }

    fn decision(&self, pick: RoutePick) -> Option<RouteDecision> {
        let info = |slot: u32| self.upstreams[slot as usize].as_ref().map(|state| &state.info);
        let chosen = info(pick.slot)?;
        let prefill_at = pick.prefill_at.and_then(info).map(|info| PrefillStep {
            upstream: info.id.clone(),
            address: info.address.clone(),
        });
        let kv_from = pick.kv_from.and_then(|(slot, tokens)| {
            let info = info(slot)?;
            Some(KvStep {
                upstream: info.id.clone(),
                address: info.address.clone(),
                tokens,
            })
        });
        let score = |(slot, cost)| {
            info(slot).map(|info| RouteScore {
                upstream: info.id.clone(),
                cost,
            })
        };
        Some(RouteDecision {
            upstream: chosen.id.clone(),
            address: chosen.address.clone(),
            capacity: chosen.capacity,
            cost: pick.cost,
            cached_tokens: pick.cached_tokens,
            prefill_at,
            kv_from,
            runners_up: pick.runners_up.into_iter().filter_map(score).collect(),
            reason: pick.reason,
        })
    }
}

fn remove_holder(holders: &mut FastMap<u64, Vec<u32>>, prefix: u64, slot: u32) {
    let Some(slots) = holders.get_mut(&prefix) else {
        return;
    };
    slots.retain(|held| *held != slot);
    if slots.is_empty() {
        holders.remove(&prefix);
    }
}
