//! Baseline policies that the policy in use is compared with.

use rand::SeedableRng;
use rand::rngs::StdRng;
use rand::seq::IteratorRandom;

use crate::prelude::*;

use super::policy::{RoutePick, RoutePolicy, RoutePool};
use super::types::RouteRequest;

/// Picks the upstreams of a service in turn.
#[derive(Debug, Default)]
pub struct RoundRobin {
    last_picked: FastMap<ServiceId, u32>,
}

impl RoutePolicy for RoundRobin {
    fn name(&self) -> &'static str {
        "round_robin"
    }

    fn pick(
        &mut self,
        pool: &RoutePool<'_>,
        request: &RouteRequest<'_>,
        _now: MonoTime,
    ) -> Option<RoutePick> {
        let last = self.last_picked.entry(request.service.clone()).or_default();
        let next = pool
            .targets(request)
            .map(|(slot, _)| slot)
            .find(|slot| slot > last);
        let slot = next.or_else(|| pool.targets(request).map(|(slot, _)| slot).next())?;
        *last = slot;
        Some(RoutePick::baseline(slot))
    }
}

/// Picks the upstream with the fewest requests in flight.
///
/// The number is the larger of the last load report's and this instance's own count.
#[derive(Debug, Default)]
pub struct LeastInFlight;

impl RoutePolicy for LeastInFlight {
    fn name(&self) -> &'static str {
        "least_in_flight"
    }

    fn pick(
        &mut self,
        pool: &RoutePool<'_>,
        request: &RouteRequest<'_>,
        _now: MonoTime,
    ) -> Option<RoutePick> {
        let count = |slot: &u32| {
            let state = pool.upstream(*slot);
            state.map_or(0, |state| state.reported_requests().max(state.own_requests()))
        };
        let slot = pool.targets(request).map(|(slot, _)| slot).min_by_key(count)?;
        Some(RoutePick::baseline(slot))
    }
}

/// Picks a random upstream.
#[derive(Debug)]
pub struct RandomPick {
    rng: StdRng,
}

impl RandomPick {
    /// Creates the policy; `seed` initialises its random number generator.
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

    fn pick(
        &mut self,
        pool: &RoutePool<'_>,
        request: &RouteRequest<'_>,
        _now: MonoTime,
    ) -> Option<RoutePick> {
        let slot = pool
            .targets(request)
            .map(|(slot, _)| slot)
            .choose(&mut self.rng)?;
        Some(RoutePick::baseline(slot))
    }
}
