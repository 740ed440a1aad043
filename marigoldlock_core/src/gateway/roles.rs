//! Roles of model engines under a shifting mix of prompts and output.
//!
//! Load pattern: long prompts with short outputs queue at a few readers while generators idle, or the reverse
//! after the mix has swung. A change takes an engine away for seconds, so it is made only while one side
//! queues and the other has room, a few engines at a time, and not turned back soon.

use std::time::Duration;

use marigoldlock_wire::prelude::*;

use crate::time::MonoTime;

use super::catalog::{UpstreamEntry, UpstreamRole};

/// Requests in flight that a generator carries without slowing each one's tokens much.
const REQUESTS_PER_GENERATOR: f64 = 12.0;

/// Requests in flight at a generator above which it needs help: tokens come at half of their best pace.
const REQUESTS_CROWDED: f64 = 28.0;

/// Waiting prompt tokens for each reader above which reading is the bottleneck, about 100 ms of reading.
const QUEUE_TOKENS: f64 = 4_000.0;

/// Fewest generators: one may be lost at any moment.
const GENERATORS_LEAST: usize = 2;

/// One in so many engines generates in any case, so that a swing of the mix or the loss of some finds others.
const GENERATORS_SHARE: usize = 5;

/// Fewest readers, likewise.
const READERS_LEAST: usize = 2;

/// Share of a service's engines that change at the same time.
const CHANGING_SHARE: usize = 2;

/// Time after which an order that shows no effect is given up; work that runs is finished first.
const ORDER_PATIENCE: Duration = Duration::from_secs(12);

/// Time after a change in which an engine gets no work yet: its clock and ours differ a little.
const RETURN_MARGIN: Duration = Duration::from_millis(100);

/// Time between a change and one in the other direction: several times what a change costs.
const TURN_PAUSE: Duration = Duration::from_secs(10);

/// Weight of the newest sample in the averages; samples come a few times a second.
const SAMPLE_WEIGHT: f64 = 0.25;

/// Samples before the first decision.
const SAMPLES_LEAST: u32 = 5;

/// One engine and the work at it.
#[derive(Clone, Copy, Debug)]
pub struct EngineLoad<'a> {
    /// The engine.
    pub entry: &'a UpstreamEntry,
    /// Requests there.
    pub requests: u32,
    /// Prompt tokens still to be read there.
    pub reading_tokens: u64,
    /// False while it fails.
    pub is_healthy: bool,
}

/// An engine that gets another role.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct RoleChange {
    /// The engine.
    pub upstream: UpstreamId,
    /// Its new role.
    pub role: UpstreamRole,
}

#[derive(Clone, Copy, Debug)]
struct Ordered {
    role: UpstreamRole,
    at: MonoTime,
    told_at: Option<MonoTime>,
}

/// Plans the roles of one service's engines.
#[derive(Clone, Debug, Default)]
pub struct RolePlanner {
    samples: u32,
    generating: f64,
    queue: f64,
    /// True once requests were seen.
    has_served: bool,
    ordered: FastMap<UpstreamId, Ordered>,
    last_turn: Option<(UpstreamRole, MonoTime)>,
}

impl RolePlanner {
    /// Takes a sample of all engines of the service that take work, and says which should change.
    ///
    /// An engine tells its new role when it takes the order, and serves in it `change_time` later.
    pub fn plan(
        &mut self,
        engines: &[EngineLoad<'_>],
        change_time: Duration,
        now: MonoTime,
    ) -> Vec<RoleChange> {
        self.ordered.retain(|id, ordered| {
            let Some(engine) = engines.iter().find(|engine| engine.entry.id == *id) else {
                return false;
            };
            let is_told = engine.entry.role == ordered.role;
            if is_told {
                ordered.told_at.get_or_insert(now);
            }
            let is_done = ordered
                .told_at
                .is_some_and(|at| now.since(at) >= change_time + RETURN_MARGIN);
            !is_done && now.since(ordered.at) < ORDER_PATIENCE
        });
        let settled: Vec<&EngineLoad<'_>> = engines
            .iter()
            .filter(|engine| !self.ordered.contains_key(&engine.entry.id))
            .collect();
        let (readers, generators): (Vec<&EngineLoad<'_>>, Vec<&EngineLoad<'_>>) = settled
            .into_iter()
            .partition(|engine| engine.entry.role == UpstreamRole::Prefill);
        if readers.is_empty()
            && generators
                .iter()
                .all(|engine| engine.entry.role == UpstreamRole::Whole)
        {
            return Vec::new();
        }
        self.sample(&readers, &generators);
        if self.samples < SAMPLES_LEAST {
            return Vec::new();
        }
        let coming = self
            .ordered
            .values()
            .filter(|ordered| ordered.role == UpstreamRole::Decode)
            .count();
        let reading = self
            .ordered
            .values()
            .filter(|ordered| ordered.role == UpstreamRole::Prefill)
            .count();
        let least = GENERATORS_LEAST.max(engines.len().div_ceil(GENERATORS_SHARE));
        let wanted = least.max((self.generating / REQUESTS_PER_GENERATOR).ceil() as usize + 1);
        let healthy = generators.iter().filter(|engine| engine.is_healthy).count();
        let have = healthy + coming;
        let room = (engines.len() / CHANGING_SHARE)
            .max(1)
            .saturating_sub(self.ordered.len());
        let queue = self.queue / (readers.len() + reading).max(1) as f64;
        if !self.has_served && have > least {
            // Before the first request a change takes nothing from anybody. Generators that are too few make all
            // tokens a little slower, readers that are too few turn callers away.
            let count = (have - least).min(room).min(generators.len().saturating_sub(1));
            let changes = self.turn(&generators, UpstreamRole::Prefill, count, now);
            self.last_turn = None;
            return changes;
        }
        if have > wanted && queue > QUEUE_TOKENS {
            let count = (have - wanted).min(room).min(generators.len().saturating_sub(1));
            return self.turn(&generators, UpstreamRole::Prefill, count, now);
        }
        let helped = (generators.len() + coming).max(1);
        let is_crowded = self.generating > REQUESTS_CROWDED * helped as f64;
        let is_short = have < least || have < wanted && is_crowded;
        if is_short && readers.len() + reading > READERS_LEAST {
            let missing = least.saturating_sub(have).max(1);
            let spare = readers.len().saturating_sub(READERS_LEAST);
            if have < least {
                // Without generators nothing is served, so no pause applies.
                self.last_turn = None;
            }
            return self.turn(&readers, UpstreamRole::Decode, missing.min(room).min(spare), now);
        }
        Vec::new()
    }

    /// Engines whose change is under way.
    pub fn changing(&self) -> impl Iterator<Item = &UpstreamId> {
        self.ordered.keys()
    }

    /// Forgets an order that was refused; nothing is ordered for a while.
    pub fn cancel(&mut self, upstream: &UpstreamId) {
        if self.ordered.remove(upstream).is_some() {
            self.samples = 0;
        }
    }

    fn sample(&mut self, readers: &[&EngineLoad<'_>], generators: &[&EngineLoad<'_>]) {
        let generating: u32 = generators.iter().map(|engine| engine.requests).sum();
        let queue: u64 = readers
            .iter()
            .chain(generators)
            .map(|engine| engine.reading_tokens)
            .sum();
        self.has_served |= generating > 0 || queue > 0;
        self.samples = self.samples.saturating_add(1);
        let weight = SAMPLE_WEIGHT.max(1.0 / f64::from(self.samples));
        self.generating += weight * (f64::from(generating) - self.generating);
        self.queue += weight * (queue as f64 - self.queue);
    }

    fn turn(
        &mut self,
        from: &[&EngineLoad<'_>],
        role: UpstreamRole,
        count: usize,
        now: MonoTime,
    ) -> Vec<RoleChange> {
        let is_back = self
            .last_turn
            .is_some_and(|(last, at)| last != role && now.since(at) < TURN_PAUSE);
        if is_back || count == 0 {
            return Vec::new();
        }
        let mut idlest: Vec<&&EngineLoad<'_>> = from.iter().collect();
        // Data centres keep an even number of each role: the one with most of the old role gives first.
        let peers = |engine: &EngineLoad<'_>| {
            from.iter()
                .filter(|other| other.entry.data_centre == engine.entry.data_centre)
                .count()
        };
        idlest.sort_by_key(|engine| {
            (
                std::cmp::Reverse(peers(engine)),
                engine.requests,
                &engine.entry.id,
            )
        });
        let mut changes = Vec::new();
        let mut taken: FastMap<&DataCentre, usize> = FastMap::default();
        while changes.len() < count {
            let next = idlest
                .iter()
                .enumerate()
                .max_by_key(|(at, engine)| {
                    let taken = taken.get(&engine.entry.data_centre).copied().unwrap_or_default();
                    (peers(engine).saturating_sub(taken), std::cmp::Reverse(*at))
                })
                .map(|(at, _)| at);
            let Some(at) = next else { break };
            let engine = idlest.remove(at);
            *taken.entry(&engine.entry.data_centre).or_default() += 1;
            self.ordered.insert(
                engine.entry.id.clone(),
                Ordered {
                    role,
                    at: now,
                    told_at: None,
                },
            );
            changes.push(RoleChange {
                upstream: engine.entry.id.clone(),
                role,
            });
        }
        self.last_turn = Some((role, now));
        changes
    }
}
