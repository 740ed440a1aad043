//! The policy in use: least expected time to the first token over a bounded sample.

use std::time::Duration;

use marigoldlock_wire::engine::EngineRole;
use rand::rngs::StdRng;
use rand::{Rng, SeedableRng};

use crate::prelude::*;

use super::cost::{self, CostEstimate, KvHolder, PrefillOffer};
use super::policy::{RoutePick, RoutePolicy, RoutePool};
use super::types::{RouteAsk, RouteReason};

/// Holders of the longest prefix that join the sample.
const HOLDERS_TRIED: usize = 3;

/// Draws for each place of the sample before the rest of it is given up.
const DRAWS_PER_PLACE: usize = 3;

/// Runners-up that a decision names.
const RUNNERS_UP: usize = 3;

/// Costs this close, as a share of the least, are taken for equal and drawn among; instances that see the
/// same reports would otherwise all send to the same upstream.
const TIE_SHARE: f64 = 0.05;

/// Costs this close, in seconds, are taken for equal.
const TIE_S: f64 = 0.002;

/// Least expected time to the first token over a random sample and the holders of the prefix.
#[derive(Debug)]
pub struct ExpectedCost {
    rng: StdRng,
    sample: Vec<u32>,
    estimates: Vec<CostEstimate>,
}

impl ExpectedCost {
    /// Policy that draws its samples from `seed`.
    pub fn new(seed: u64) -> Self {
        Self {
            rng: StdRng::seed_from_u64(seed),
            sample: Vec::new(),
            estimates: Vec::new(),
        }
    }

    /// Fills the sample with distinct upstreams that take the request.
    fn draw_sample(&mut self, pool: &RoutePool<'_>, ask: &RouteAsk<'_>, now: MonoTime) {
        self.sample.clear();
        let members = pool.members();
        let size = pool.params.sample;
        let good = |slot: u32| {
            let state = pool.upstream(slot);
            state.is_some_and(|state| state.health.takes_work(now) && pool.is_target(state, ask))
        };
        if members.len() <= size {
            self.sample
                .extend(members.iter().copied().filter(|slot| good(*slot)));
        } else {
            for _ in 0..size * DRAWS_PER_PLACE {
                let slot = members[self.rng.random_range(0..members.len())];
                if !self.sample.contains(&slot) && good(slot) {
                    self.sample.push(slot);
                }
                if self.sample.len() == size {
                    break;
                }
            }
        }
        for &slot in pool.holders(ask.prefixes).iter().take(HOLDERS_TRIED) {
            if members.contains(&slot) && !self.sample.contains(&slot) && good(slot) {
                self.sample.push(slot);
            }
        }
        if self.sample.is_empty() {
            self.sample
                .extend(pool.targets(ask).map(|(slot, _)| slot).take(size));
        }
    }

    /// The holder whose prefix is worth the most to others.
    fn best_holder(pool: &RoutePool<'_>, ask: &RouteAsk<'_>) -> Option<KvHolder> {
        let holders = pool.holders(ask.prefixes).iter().take(HOLDERS_TRIED);
        let tokens = |slot: u32| {
            let state = pool.upstream(slot)?;
            let gone = state.leaving || state.is_changing() || state.health.on_trial();
            let tokens = state.cache.cached_tokens(ask.prefixes).min(ask.prompt_tokens);
            (!gone).then_some(KvHolder { slot, tokens })
        };
        holders
            .filter_map(|&slot| tokens(slot))
            .max_by_key(|holder| holder.tokens)
    }

    /// The prefill engine that would have read the prompt first, of a bounded sample.
    fn best_prefill(
        &mut self,
        pool: &RoutePool<'_>,
        ask: &RouteAsk<'_>,
        now: MonoTime,
    ) -> Option<PrefillOffer> {
        let members = pool.members();
        let start = self.rng.random_range(0..members.len().max(1));
        let around = members[start..].iter().chain(&members[..start]);
        let offer = |slot: u32| {
            let state = pool.upstream(slot)?;
            let takes = state.role() == EngineRole::Prefill
                && state.health.takes_work(now)
                && pool.is_allowed(state, ask);
            let cached = state.cache.cached_tokens(ask.prefixes).min(ask.prompt_tokens);
            let ready_s = cost::prefill_s(pool, state, ask, ask.prompt_tokens - cached, now);
            takes.then_some(PrefillOffer { slot, ready_s })
        };
        around
            .filter_map(|&slot| offer(slot))
            .take(pool.params.sample)
            .min_by(|left, right| left.ready_s.total_cmp(&right.ready_s))
    }

    /// One of those whose cost is as good as the least.
    fn choose_among_equals(&mut self) -> CostEstimate {
        let least = self.estimates[0].cost_s;
        let limit = least + TIE_S.max(least * TIE_SHARE);
        let equals = self
            .estimates
            .partition_point(|estimate| estimate.cost_s <= limit);
        let chosen = self.rng.random_range(0..equals.max(1));
        self.estimates.swap(0, chosen);
        self.estimates[0]
    }
}

impl RoutePolicy for ExpectedCost {
    fn name(&self) -> &'static str {
        "expected_cost"
    }

    fn pick(&mut self, pool: &RoutePool<'_>, ask: &RouteAsk<'_>, now: MonoTime) -> Option<RoutePick> {
        self.draw_sample(pool, ask, now);
        if self.sample.is_empty() {
            return None;
        }
        let any_decode = self.sample.iter().any(|&slot| {
            let state = pool.upstream(slot);
            state.is_some_and(|state| state.role() == EngineRole::Decode)
        });
        let offer = if any_decode {
            self.best_prefill(pool, ask, now)
        } else {
            None
        };
        let holder = Self::best_holder(pool, ask);
        self.estimates.clear();
        for &slot in &self.sample {
            if let Some(state) = pool.upstream(slot) {
                let estimate = cost::estimate(pool, slot, state, ask, (holder, offer), now);
                self.estimates.push(estimate);
            }
        }
        self.estimates
            .sort_unstable_by(|left, right| left.cost_s.total_cmp(&right.cost_s));
        let chosen = self.choose_among_equals();
        let runners_up = self.estimates.iter().skip(1).take(RUNNERS_UP);
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
    let on_trial = pool
        .upstream(chosen.slot)
        .is_some_and(|state| state.health.on_trial());
    match chosen {
        _ if on_trial => RouteReason::Probation,
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
