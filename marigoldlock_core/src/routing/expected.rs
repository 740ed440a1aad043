//! The policy in use: lowest expected time to the first token in a bounded sample.

use std::time::Duration;

use marigoldlock_wire::engine::EngineRole;
use rand::rngs::StdRng;
use rand::{Rng, SeedableRng};

use crate::prelude::*;

use super::cost::{self, CostEstimate, KvHolder, PrefillCandidate};
use super::policy::{RoutePick, RoutePolicy, RoutePool};
use super::types::{RouteReason, RouteRequest};

/// Maximum number of holders of the longest cached prefix that are added to the sample.
const MAX_HOLDERS: usize = 3;

/// Random draws per member of the sample; a sample that is still incomplete after them is used as it is.
const DRAWS_PER_MEMBER: usize = 3;

/// Maximum number of runners-up in a decision.
const MAX_RUNNERS_UP: usize = 3;

/// Relative cost difference within which upstreams tie.
///
/// Ties are broken at random: otherwise all instances that see the same load reports would send to the same
/// upstream.
const TIE_RATIO: f64 = 0.05;

/// Absolute cost difference, in seconds, within which upstreams tie.
const TIE_S: f64 = 0.002;

/// Picks the lowest expected time to the first token among a random sample and the holders of the prefix.
#[derive(Debug)]
pub struct ExpectedCost {
    rng: StdRng,
    sample: Vec<u32>,
    estimates: Vec<CostEstimate>,
}

impl ExpectedCost {
    /// Creates the policy; `seed` initialises its random number generator.
    pub fn new(seed: u64) -> Self {
        Self {
            rng: StdRng::seed_from_u64(seed),
            sample: Vec::new(),
            estimates: Vec::new(),
        }
    }

    /// Fills the sample with distinct upstreams that can take the request.
    ///
    /// If none is found that accepts requests, those that the request's restrictions allow are used as a last
    /// resort, even if they are ejected.
    fn draw_sample(&mut self, pool: &RoutePool<'_>, request: &RouteRequest<'_>, now: MonoTime) {
        self.sample.clear();
        let members = pool.members();
        let size = pool.params.sample_size;
        let eligible = |slot: u32| {
            let state = pool.upstream(slot);
            state.is_some_and(|state| state.health.accepts_requests(now) && pool.is_target(state, request))
        };
        if members.len() <= size {
            self.sample
                .extend(members.iter().copied().filter(|slot| eligible(*slot)));
        } else {
            for _ in 0..size * DRAWS_PER_MEMBER {
                let slot = members[self.rng.random_range(0..members.len())];
                if !self.sample.contains(&slot) && eligible(slot) {
                    self.sample.push(slot);
                }
                if self.sample.len() == size {
                    break;
                }
            }
        }
        for &slot in pool.holders(request.prefixes).iter().take(MAX_HOLDERS) {
            if members.contains(&slot) && !self.sample.contains(&slot) && eligible(slot) {
                self.sample.push(slot);
            }
        }
        if self.sample.is_empty() {
            self.sample
                .extend(pool.targets(request).map(|(slot, _)| slot).take(size));
        }
    }

    /// Returns the available holder with the most cached tokens of the prompt.
    fn best_holder(pool: &RoutePool<'_>, request: &RouteRequest<'_>) -> Option<KvHolder> {
        let holders = pool.holders(request.prefixes).iter().take(MAX_HOLDERS);
        let tokens = |slot: u32| {
            let state = pool.upstream(slot)?;
            let unavailable = state.leaving || state.is_changing() || state.health.needs_probe();
            let tokens = state
                .cache
                .cached_tokens(request.prefixes)
                .min(request.prompt_tokens);
            (!unavailable).then_some(KvHolder { slot, tokens })
        };
        holders
            .filter_map(|&slot| tokens(slot))
            .max_by_key(|holder| holder.tokens)
    }

    /// Returns the prefill engine that would finish the prompt first, out of a bounded sample.
    fn best_prefill_engine(
        &mut self,
        pool: &RoutePool<'_>,
        request: &RouteRequest<'_>,
        now: MonoTime,
    ) -> Option<PrefillCandidate> {
        let members = pool.members();
        let start = self.rng.random_range(0..members.len().max(1));
        let rotated = members[start..].iter().chain(&members[..start]);
        let candidate = |slot: u32| {
            let state = pool.upstream(slot)?;
            let eligible = state.role() == EngineRole::Prefill
                && state.health.accepts_requests(now)
                && pool.is_allowed(state, request);
            let cached = state
                .cache
                .cached_tokens(request.prefixes)
                .min(request.prompt_tokens);
            let ready_s = cost::prefill_time_s(pool, state, request, request.prompt_tokens - cached, now);
            eligible.then_some(PrefillCandidate { slot, ready_s })
        };
        rotated
            .filter_map(|&slot| candidate(slot))
            .take(pool.params.sample_size)
            .min_by(|left, right| left.ready_s.total_cmp(&right.ready_s))
    }

    /// Returns a random one of the estimates that tie with the lowest.
    fn break_tie(&mut self) -> CostEstimate {
        let lowest = self.estimates[0].cost_s;
        let limit = lowest + TIE_S.max(lowest * TIE_RATIO);
        let tied = self
            .estimates
            .partition_point(|estimate| estimate.cost_s <= limit);
        let chosen = self.rng.random_range(0..tied.max(1));
        self.estimates.swap(0, chosen);
        self.estimates[0]
    }
}

impl RoutePolicy for ExpectedCost {
    fn name(&self) -> &'static str {
        "expected_cost"
    }

    fn pick(&mut self, pool: &RoutePool<'_>, request: &RouteRequest<'_>, now: MonoTime) -> Option<RoutePick> {
        self.draw_sample(pool, request, now);
        if self.sample.is_empty() {
            return None;
        }
        let has_decode = self.sample.iter().any(|&slot| {
            let state = pool.upstream(slot);
            state.is_some_and(|state| state.role() == EngineRole::Decode)
        });
        let candidate = if has_decode {
            self.best_prefill_engine(pool, request, now)
        } else {
            None
        };
        let holder = Self::best_holder(pool, request);
        self.estimates.clear();
        for &slot in &self.sample {
            if let Some(state) = pool.upstream(slot) {
                let estimate = cost::estimate(pool, slot, state, request, (holder, candidate), now);
                self.estimates.push(estimate);
            }
        }
        self.estimates
            .sort_unstable_by(|left, right| left.cost_s.total_cmp(&right.cost_s));
        let chosen = self.break_tie();
        let runners_up = self.estimates.iter().skip(1).take(MAX_RUNNERS_UP);
        Some(RoutePick {
            slot: chosen.slot,
            cost: seconds(chosen.cost_s),
            cached_tokens: chosen.cached_tokens,
            prefill_at: chosen.prefill_at,
            kv_from: chosen.kv_from,
            runners_up: runners_up
                .map(|estimate| (estimate.slot, seconds(estimate.cost_s)))
                .collect(),
            reason: reason(pool, &chosen, self.estimates.len()),
        })
    }
}

fn reason(pool: &RoutePool<'_>, chosen: &CostEstimate, considered: usize) -> RouteReason {
    let needs_probe = pool
        .upstream(chosen.slot)
        .is_some_and(|state| state.health.needs_probe());
    match chosen {
        _ if needs_probe => RouteReason::Probation,
        CostEstimate {
            prefill_at: Some(_), ..
        } => RouteReason::SplitPrefill,
        CostEstimate { kv_from: Some(_), .. } => RouteReason::KvTransfer,
        _ if considered == 1 => RouteReason::OnlyChoice,
        CostEstimate {
            cached_tokens: 1.., ..
        } => RouteReason::CachedPrefix,
        _ => RouteReason::LeastCost,
    }
}

fn seconds(value: f64) -> Duration {
    Duration::try_from_secs_f64(value.max(0.0)).unwrap_or(Duration::MAX)
}
