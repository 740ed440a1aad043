//! Baseline policies, for comparison.

use rand::SeedableRng;
use rand::rngs::StdRng;
use rand::seq::IteratorRandom;

use crate::prelude::*;

use super::policy::{RoutePick, RoutePolicy, RoutePool};
use super::types::RouteAsk;

/// Takes the upstreams of a service in turn.
#[derive(Debug, Default)]
pub struct RoundRobin {
    turns: FastMap<ServiceId, u32>,
}

impl RoutePolicy for RoundRobin {
    fn name(&self) -> &'static str {
        "round_robin"
    }

    fn pick(&mut self, pool: &RoutePool<'_>, ask: &RouteAsk<'_>, _now: MonoTime) -> Option<RoutePick> {
        let last = self.turns.entry(ask.service.clone()).or_default();
        let next = pool.targets(ask).map(|(slot, _)| slot).find(|slot| slot > last);
        let slot = next.or_else(|| pool.targets(ask).map(|(slot, _)| slot).next())?;
        *last = slot;
        Some(RoutePick::baseline(slot))
    }
}

/// Takes the upstream with the fewest requests in flight, by the last load report.
#[derive(Debug, Default)]
pub struct LeastInFlight;

impl RoutePolicy for LeastInFlight {
    fn name(&self) -> &'static str {
        "least_in_flight"
    }

    fn pick(&mut self, pool: &RoutePool<'_>, ask: &RouteAsk<'_>, _now: MonoTime) -> Option<RoutePick> {
        let count = |slot: &u32| {
            let state = pool.upstream(*slot);
            state.map_or(0, |state| state.reported_requests().max(state.own_requests()))
        };
        let slot = pool.targets(ask).map(|(slot, _)| slot).min_by_key(count)?;
        Some(RoutePick::baseline(slot))
    }
}

/// Takes any upstream.
#[derive(Debug)]
pub struct RandomPick {
    rng: StdRng,
}

impl RandomPick {
    /// Policy that draws from `seed`.
    pub fn new(seed: u64) -> Self {
        Self {
            rng: StdRng::seed_from_u64(seed),
        }
    }
}

impl RoutePolicy for RandomPick {
    fn name(&self) -> &'static str {
        "random"
    }

    fn pick(&mut self, pool: &RoutePool<'_>, ask: &RouteAsk<'_>, _now: MonoTime) -> Option<RoutePick> {
        let slot = pool.targets(ask).map(|(slot, _)| slot).choose(&mut self.rng)?;
        Some(RoutePick::baseline(slot))
    }
}
