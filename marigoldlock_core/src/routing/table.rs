//! The routing table: upstreams, their index by service and model, and the attempts in flight.

use std::time::Duration;

use marigoldlock_wire::engine::{CacheEvents, LoadReport};
use marigoldlock_wire::peer::UpstreamLoad;

use crate::prelude::*;

use super::index::ServiceIndex;
use super::policy::{RoutePick, RoutePolicy, RoutePool};
use super::types::{
    AttemptOutcome, AttemptTicket, KvStep, PrefillStep, RouteAsk, RouteDecision, RouteParams, RouteRefusal,
    RouteScore, UpstreamFacts, WorkClass,
};
use super::upstream::{UpstreamState, WorkSum};

/// Attempt in flight.
#[derive(Clone, Debug)]
struct Attempt {
    slot: u32,
    upstream: UpstreamId,
    sent: MonoTime,
    expected: Duration,
    work: WorkSum,
    first_token: bool,
}

/// What a peer last said of its work in flight.
#[derive(Clone, Debug)]
struct PeerShare {
    heard: MonoTime,
    loads: Vec<(u32, WorkSum)>,
}

/// Everything that routing knows, and the policy that uses it.
#[derive(Debug)]
pub struct RouteTable {
    params: RouteParams,
    policy: Box<dyn RoutePolicy>,
    upstreams: Vec<Option<UpstreamState>>,
    slots: FastMap<UpstreamId, u32>,
    free: Vec<u32>,
    index: ServiceIndex,
    holders: FastMap<u64, Vec<u32>>,
    peers: FastMap<InstanceId, PeerShare>,
    attempts: FastMap<u64, Attempt>,
    next_attempt: u64,
}

impl RouteTable {
    /// Empty table.
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
    pub fn policy(&self) -> &'static str {
        self.policy.name()
    }

    /// Adds an upstream, or takes in its changed facts; one marked as leaving is live again.
    pub fn upsert(&mut self, mut facts: UpstreamFacts) {
        if let Some(&slot) = self.slots.get(&facts.id) {
            let Some(state) = &mut self.upstreams[slot as usize] else {
                return;
            };
            if facts.models.is_empty() {
                facts.models.clone_from(&state.facts.models);
            }
            state.leaving = false;
            if state.facts != facts {
                self.index.remove(&state.facts, slot);
                self.index.insert(&facts, slot);
                state.facts = facts;
            }
            return;
        }
        let slot = self.free.pop().unwrap_or_else(|| {
            self.upstreams.push(None);
            self.upstreams.len() as u32 - 1
        });
        self.index.insert(&facts, slot);
        self.slots.insert(facts.id.clone(), slot);
        self.upstreams[slot as usize] = Some(UpstreamState::new(facts));
    }

    /// Drops an upstream that is gone; attempts in flight there are still to be finished.
    pub fn remove(&mut self, id: &UpstreamId) {
        let Some(slot) = self.slots.remove(id) else { return };
        let Some(mut state) = self.upstreams[slot as usize].take() else {
            return;
        };
        self.index.remove(&state.facts, slot);
        for prefix in state.cache.clear() {
            forget_holder(&mut self.holders, prefix, slot);
        }
        for share in self.peers.values_mut() {
            share.loads.retain(|(held, _)| *held != slot);
        }
        self.free.push(slot);
    }

    /// Sends no new work to an upstream that is about to be taken away.
    pub fn set_leaving(&mut self, id: &UpstreamId) {
        if let Some(state) = self.state_mut(id) {
            state.leaving = true;
        }
    }

    /// Takes in a load report.
    pub fn on_load(&mut self, id: &UpstreamId, report: &LoadReport, now: MonoTime) {
        let Some(&slot) = self.slots.get(id) else { return };
        let Some(state) = &mut self.upstreams[slot as usize] else {
            return;
        };
        if !state.on_load(report, now) || report.models.is_empty() || report.models == state.facts.models {
            return;
        }
        self.index.remove(&state.facts, slot);
        state.facts.models.clone_from(&report.models);
        self.index.insert(&state.facts, slot);
    }

    /// Takes in events of an engine's prefix cache.
    pub fn on_cache(&mut self, id: &UpstreamId, events: &CacheEvents, _now: MonoTime) {
        let Some(&slot) = self.slots.get(id) else { return };
        let Some(state) = &mut self.upstreams[slot as usize] else {
            return;
        };
        let delta = state.cache.apply(events);
        for prefix in delta.evicted {
            forget_holder(&mut self.holders, prefix, slot);
        }
        for prefix in delta.stored {
            self.holders.entry(prefix).or_default().push(slot);
        }
    }

    /// Takes in what a peer has in flight.
    pub fn on_peer_load(&mut self, instance: &InstanceId, loads: &[UpstreamLoad], now: MonoTime) {
        self.remove_peer(instance);
        let mut held = Vec::with_capacity(loads.len());
        for load in loads {
            let Some(&slot) = self.slots.get(&load.upstream) else {
                continue;
            };
            let Some(state) = &mut self.upstreams[slot as usize] else {
                continue;
            };
            let work = WorkSum {
                requests: load.requests,
                prefill: load.prefill_tokens,
                urgent: load.urgent_prefill_tokens,
            };
            state.peers.add(work);
            held.push((slot, work));
        }
        let share = PeerShare {
            heard: now,
            loads: held,
        };
        self.peers.insert(instance.clone(), share);
    }

    /// Drops what a peer had in flight, because it is gone.
    pub fn remove_peer(&mut self, instance: &InstanceId) {
        let Some(share) = self.peers.remove(instance) else {
            return;
        };
        for (slot, work) in share.loads {
            if let Some(state) = &mut self.upstreams[slot as usize] {
                state.peers.subtract(work);
            }
        }
    }

    /// Drops what peers said too long ago; to be called every second or so.
    pub fn tick(&mut self, now: MonoTime) {
        let lifetime = self.params.peer_lifetime;
        let silent = self
            .peers
            .iter()
            .filter(|(_, share)| now.since(share.heard) > lifetime);
        let silent: Vec<_> = silent.map(|(instance, _)| instance.clone()).collect();
        for instance in silent {
            self.remove_peer(&instance);
        }
    }

    /// What this instance has in flight, for its peers.
    pub fn own_load(&self) -> Vec<UpstreamLoad> {
        let busy = self
            .upstreams
            .iter()
            .flatten()
            .filter(|state| state.own.requests > 0);
        busy.map(|state| UpstreamLoad {
            upstream: state.facts.id.clone(),
            requests: state.own.requests,
            prefill_tokens: state.own.prefill,
            urgent_prefill_tokens: state.own.urgent,
        })
        .collect()
    }

    /// Chooses where a request goes.
    ///
    /// # Errors
    ///
    /// When no upstream may take it; the request has not been run.
    pub fn choose(&mut self, ask: &RouteAsk<'_>, now: MonoTime) -> Result<RouteDecision, RouteRefusal> {
        let pool = RoutePool {
            upstreams: &self.upstreams,
            members: self.index.members(ask.service, ask.model)?,
            holders: &self.holders,
            params: &self.params,
        };
        let pick = self
            .policy
            .pick(&pool, ask, now)
            .ok_or(RouteRefusal::NoneAllowed)?;
        self.decision(pick).ok_or(RouteRefusal::NoneAllowed)
    }

    /// Notes that the request was sent to an upstream; `decision` is where it was routed.
    pub fn on_sent(&mut self, decision: &RouteDecision, ask: &RouteAsk<'_>, now: MonoTime) -> AttemptTicket {
        let left = ask.prompt_tokens.saturating_sub(decision.cached_tokens);
        let prefill = if decision.prefill_at.is_some() { 0 } else { left };
        self.on_sent_to(&decision.upstream, ask, prefill, decision.cost, now)
    }

    /// Notes that a request with `prefill` prompt tokens to read was sent to `id`.
    pub fn on_sent_to(
        &mut self,
        id: &UpstreamId,
        ask: &RouteAsk<'_>,
        prefill: u64,
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
        let urgent = if ask.class == WorkClass::Interactive {
            prefill
        } else {
            0
        };
        let work = WorkSum {
            requests: 1,
            prefill,
            urgent,
        };
        state.on_sent(work, now);
        for &prefix in ask.prefixes {
            if state.cache.expect(prefix) {
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

    /// Notes the first token of an attempt.
    pub fn on_first_token(&mut self, ticket: &AttemptTicket, now: MonoTime) {
        let Some(attempt) = self.attempts.get_mut(&ticket.number) else {
            return;
        };
        if attempt.first_token {
            return;
        }
        attempt.first_token = true;
        let prefill = WorkSum {
            requests: 0,
            ..attempt.work
        };
        attempt.work.prefill = 0;
        attempt.work.urgent = 0;
        let took = now.since(attempt.sent);
        let expected = attempt.expected;
        let attempt = attempt.clone();
        if let Some(state) = self.attempt_state(&attempt) {
            state.own.subtract(prefill);
            state.on_first_token(took, expected, now);
        }
    }

    /// Notes a later token or part of an answer.
    pub fn on_progress(&mut self, ticket: &AttemptTicket, now: MonoTime) {
        let Some(attempt) = self.attempts.get(&ticket.number) else {
            return;
        };
        let slot = attempt.slot as usize;
        match &mut self.upstreams[slot] {
            Some(state) if state.facts.id == attempt.upstream => state.on_progress(now),
            _ => {}
        }
    }

    /// Notes the end of an attempt.
    pub fn on_done(&mut self, ticket: AttemptTicket, outcome: AttemptOutcome, now: MonoTime) {
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

    /// The upstream's state.
    pub fn state(&self, id: &UpstreamId) -> Option<&UpstreamState> {
        self.upstreams[*self.slots.get(id)? as usize].as_ref()
    }

    /// Every upstream's state.
    pub fn states(&self) -> impl Iterator<Item = &UpstreamState> {
        self.upstreams.iter().flatten()
    }

    /// Upstreams known.
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
        let Ok(members) = self.index.members(&state.facts.service, None) else {
            return false;
        };
        let ejected = members.iter().filter(|&&slot| {
            let state = self.upstreams[slot as usize].as_ref();
            state.is_some_and(|state| state.health.is_ejected())
        });
        let allowed = (members.len() as f64 * self.params.ejected_share) as usize;
        ejected.count() < allowed.max(usize::from(members.len() > 1))
    }

    fn state_mut(&mut self, id: &UpstreamId) -> Option<&mut UpstreamState> {
        self.upstreams[*self.slots.get(id)? as usize].as_mut()
    }

    fn attempt_state(&mut self, attempt: &Attempt) -> Option<&mut UpstreamState> {
        let state = self.upstreams[attempt.slot as usize].as_mut()?;
        (state.facts.id == attempt.upstream).then_some(state)
    }

    fn decision(&self, pick: RoutePick) -> Option<RouteDecision> {
        let facts = |slot: u32| self.upstreams[slot as usize].as_ref().map(|state| &state.facts);
        let chosen = facts(pick.slot)?;
        let prefill_at = pick.prefill_at.and_then(facts).map(|facts| PrefillStep {
            upstream: facts.id.clone(),
            address: facts.address.clone(),
        });
        let kv_from = pick.kv_from.and_then(|(slot, tokens)| {
            let facts = facts(slot)?;
            Some(KvStep {
                upstream: facts.id.clone(),
                address: facts.address.clone(),
                tokens,
            })
        });
        let score = |(slot, cost)| {
            facts(slot).map(|facts| RouteScore {
                upstream: facts.id.clone(),
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

fn forget_holder(holders: &mut FastMap<u64, Vec<u32>>, prefix: u64, slot: u32) {
    let Some(slots) = holders.get_mut(&prefix) else {
        return;
    };
    slots.retain(|held| *held != slot);
    if slots.is_empty() {
        holders.remove(&prefix);
    }
}
