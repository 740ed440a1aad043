//! Roles of model engines as the mix of prompt and output tokens changes.
//!
//! With long prompts and short outputs, requests queue at a few prefill engines while decode engines are
//! idle; when the mix shifts, it is the other way round. A role change takes an engine out of service for
//! seconds. So roles change only while one side is overloaded and the other has spare capacity, a few engines
//! at a time, and a change isn't reversed soon.

use std::time::Duration;

use marigoldlock_wire::prelude::*;

use crate::time::MonoTime;

use super::catalog::{UpstreamEntry, UpstreamRole};

/// Requests in flight that a decode engine handles without slowing each one's tokens much.
const TARGET_DECODE_REQUESTS: f64 = 12.0;

/// Requests in flight per decode engine above which more engines are needed: tokens then arrive at half of
/// the best rate.
pub(super) const MAX_DECODE_REQUESTS: f64 = 28.0;

/// Backlog per prefill engine, in tokens, above which prefill is the bottleneck; about 100 ms of prefill.
const MAX_PREFILL_QUEUE_TOKENS: f64 = 4_000.0;

/// Minimum number of decode engines: one may be lost at any moment.
const MIN_DECODE_ENGINES: usize = 2;

/// Number of decode engines that each software version keeps, if it has them: streams that began at a version go on only
/// there.
const MIN_VERSION_DECODE_ENGINES: usize = 2;

/// At least one engine in this many decodes, so that a shift of the mix or the loss of some engines finds
/// others in that role.
const MIN_DECODE_DIVISOR: usize = 5;

/// Minimum number of prefill engines: one may be lost at any moment.
const MIN_PREFILL_ENGINES: usize = 2;

/// At most one engine in this many changes its role at the same time.
const CHANGING_DIVISOR: usize = 2;

/// Time after which an order without effect is abandoned; the engine finishes its running requests first.
const ORDER_TIMEOUT: Duration = Duration::from_secs(12);

/// Time added to the duration of a role change, since the clocks of engine and instance differ a little.
const CLOCK_MARGIN: Duration = Duration::from_millis(100);

/// Time before a change in the other direction: several times what a change costs.
const REVERSAL_INTERVAL: Duration = Duration::from_secs(10);

/// Weight of the newest sample in the moving averages; samples are taken a few times a second.
const SAMPLE_WEIGHT: f64 = 0.25;

/// Samples required before the first decision.
const MIN_SAMPLES: u32 = 5;

/// An engine and its load.
#[derive(Clone, Copy, Debug)]
pub struct EngineLoad<'a> {
    /// The engine.
    pub entry: &'a UpstreamEntry,
    /// Requests at the engine.
    pub requests: u32,
    /// Prompt tokens whose prefill has not finished.
    pub prefill_backlog_tokens: u64,
    /// False while the engine is failing.
    pub is_healthy: bool,
}

/// A planned role change of an engine.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct RoleChange {
    /// The engine.
    pub upstream: UpstreamId,
    /// The new role.
    pub role: UpstreamRole,
}

#[derive(Clone, Copy, Debug)]
struct PendingChange {
    role: UpstreamRole,
    at: MonoTime,
    announced_at: Option<MonoTime>,
}

/// Plans the roles of one service's engines.
#[derive(Clone, Debug, Default)]
pub struct RolePlanner {
    samples: u32,
    decode_requests: f64,
    prefill_tokens: f64,
    /// True once the service has had requests.
    has_served: bool,
    pending: FastMap<UpstreamId, PendingChange>,
    last_change: Option<(UpstreamRole, MonoTime)>,
}

impl RolePlanner {
    /// Samples the load of all engines of the service that accept requests, and returns the roles to change.
    ///
    /// An engine announces its new role when it accepts the order, and serves in it `change_time` later.
    pub fn plan(
        &mut self,
        engines: &[EngineLoad<'_>],
        change_time: Duration,
        now: MonoTime,
    ) -> Vec<RoleChange> {
        self.pending.retain(|id, pending| {
            let Some(engine) = engines.iter().find(|engine| engine.entry.id == *id) else {
                return false;
            };
            let is_announced = engine.entry.role == pending.role;
            if is_announced {
                pending.announced_at.get_or_insert(now);
            }
            let is_done = pending
                .announced_at
                .is_some_and(|at| now.since(at) >= change_time + CLOCK_MARGIN);
            !is_done && now.since(pending.at) < ORDER_TIMEOUT
        });
        let settled: Vec<&EngineLoad<'_>> = engines
            .iter()
            .filter(|engine| !self.pending.contains_key(&engine.entry.id))
            .collect();
        let (prefill_engines, decode_engines): (Vec<&EngineLoad<'_>>, Vec<&EngineLoad<'_>>) = settled
            .into_iter()
            .partition(|engine| engine.entry.role == UpstreamRole::Prefill);
        if prefill_engines.is_empty()
            && decode_engines
                .iter()
                .all(|engine| engine.entry.role == UpstreamRole::Whole)
        {
            return Vec::new();
        }
        self.add_sample(&prefill_engines, &decode_engines);
        if self.samples < MIN_SAMPLES {
            return Vec::new();
        }
        let pending_decode = self
            .pending
            .values()
            .filter(|pending| pending.role == UpstreamRole::Decode)
            .count();
        let pending_prefill = self
            .pending
            .values()
            .filter(|pending| pending.role == UpstreamRole::Prefill)
            .count();
        let min_decode = MIN_DECODE_ENGINES.max(engines.len().div_ceil(MIN_DECODE_DIVISOR));
        let wanted_decode =
            min_decode.max((self.decode_requests / TARGET_DECODE_REQUESTS).ceil() as usize + 1);
        let healthy = decode_engines.iter().filter(|engine| engine.is_healthy).count();
        let available_decode = healthy + pending_decode;
        let max_changes = (engines.len() / CHANGING_DIVISOR)
            .max(1)
            .saturating_sub(self.pending.len());
        let prefill_tokens = self.prefill_tokens / (prefill_engines.len() + pending_prefill).max(1) as f64;
        if !self.has_served && available_decode > min_decode {
            // Before the first request, a change takes capacity from nobody. Too few decode engines only make
            // all tokens a little slower, while too few prefill engines cause refusals.
            let count = (available_decode - min_decode)
                .min(max_changes)
                .min(decode_engines.len().saturating_sub(1));
            let changes = self.change_roles(&decode_engines, UpstreamRole::Prefill, count, now);
            self.last_change = None;
            return changes;
        }
        if let Some(engine) = self.engine_of_version_without_decode(engines, &prefill_engines) {
            self.last_change = None;
            return self.change_roles(&[engine], UpstreamRole::Decode, 1, now);
        }
        if available_decode > wanted_decode && prefill_tokens > MAX_PREFILL_QUEUE_TOKENS {
            let count = (available_decode - wanted_decode)
                .min(max_changes)
                .min(decode_engines.len().saturating_sub(1));
            return self.change_roles(&decode_engines, UpstreamRole::Prefill, count, now);
        }
        let total_decode = (decode_engines.len() + pending_decode).max(1);
        let is_overloaded = self.decode_requests > MAX_DECODE_REQUESTS * total_decode as f64;
        let is_short = available_decode < min_decode || available_decode < wanted_decode && is_overloaded;
        if is_short && prefill_engines.len() + pending_prefill > MIN_PREFILL_ENGINES {
            let missing = min_decode.saturating_sub(available_decode).max(1);
            let spare = prefill_engines.len().saturating_sub(MIN_PREFILL_ENGINES);
            if available_decode < min_decode {
                // Without decode engines nothing is served, so [`REVERSAL_INTERVAL`] does not apply.
                self.last_change = None;
            }
            return self.change_roles(
                &prefill_engines,
                UpstreamRole::Decode,
                missing.min(max_changes).min(spare),
                now,
            );
        }
        Vec::new()
    }

    /// Engines whose role change is in progress.
    pub fn changing(&self) -> impl Iterator<Item = &UpstreamId> {
        self.pending.keys()
    }

    /// Drops a change whose order was refused. No change is planned until enough new samples are taken.
    pub fn cancel(&mut self, upstream: &UpstreamId) {
        if self.pending.remove(upstream).is_some() {
            self.samples = 0;
        }
    }

    fn add_sample(&mut self, prefill_engines: &[&EngineLoad<'_>], decode_engines: &[&EngineLoad<'_>]) {
        let decode_requests: u32 = decode_engines.iter().map(|engine| engine.requests).sum();
        let prefill_tokens: u64 = prefill_engines
            .iter()
            .chain(decode_engines)
            .map(|engine| engine.prefill_backlog_tokens)
            .sum();
        self.has_served |= decode_requests > 0 || prefill_tokens > 0;
        self.samples = self.samples.saturating_add(1);
        let weight = SAMPLE_WEIGHT.max(1.0 / f64::from(self.samples));
        self.decode_requests += weight * (f64::from(decode_requests) - self.decode_requests);
        self.prefill_tokens += weight * (prefill_tokens as f64 - self.prefill_tokens);
    }

    /// Finds a prefill engine of a software version that has no engine to decode its streams.
    fn engine_of_version_without_decode<'a, 'b>(
        &self,
        engines: &[EngineLoad<'_>],
        prefill_engines: &[&'a EngineLoad<'b>],
    ) -> Option<&'a EngineLoad<'b>> {
        let will_decode = |engine: &EngineLoad<'_>| match self.pending.get(&engine.entry.id) {
            Some(pending) => pending.role != UpstreamRole::Prefill,
            None => engine.is_healthy && engine.entry.role != UpstreamRole::Prefill,
        };
        let versions: FastSet<&SoftwareVersion> = engines
            .iter()
            .filter(|engine| will_decode(engine))
            .map(|engine| &engine.entry.version)
            .collect();
        let unserved = prefill_engines
            .iter()
            .filter(|engine| engine.is_healthy && !versions.contains(&engine.entry.version));
        unserved
            .min_by_key(|engine| (engine.requests, &engine.entry.id))
            .copied()
    }

    fn change_roles(
        &mut self,
        from: &[&EngineLoad<'_>],
        role: UpstreamRole,
        count: usize,
        now: MonoTime,
    ) -> Vec<RoleChange> {
        let is_reversal = self
            .last_change
            .is_some_and(|(last, at)| last != role && now.since(at) < REVERSAL_INTERVAL);
        if is_reversal || count == 0 {
            return Vec::new();
        }
        let mut ordered: Vec<&&EngineLoad<'_>> = from.iter().collect();
        // Keeps roles balanced between data centres: each engine is taken from the data centre with the most
        // engines left in the old role.
        let peers = |engine: &EngineLoad<'_>| {
            from.iter()
                .filter(|other| other.entry.data_centre == engine.entry.data_centre)
                .count()
        };
        ordered.sort_by_key(|engine| {
            (
                std::cmp::Reverse(peers(engine)),
                engine.requests,
                &engine.entry.id,
            )
        });
        let mut changes = Vec::new();
        let mut taken: FastMap<&DataCentre, usize> = FastMap::default();
        let mut of_version: FastMap<&SoftwareVersion, usize> = FastMap::default();
        for engine in from {
            *of_version.entry(&engine.entry.version).or_default() += 1;
        }
        while changes.len() < count {
            let next = ordered
                .iter()
                .enumerate()
                .filter(|(_, engine)| {
                    role != UpstreamRole::Prefill
                        || of_version[&engine.entry.version] > MIN_VERSION_DECODE_ENGINES
                })
                .max_by_key(|(at, engine)| {
                    let taken = taken.get(&engine.entry.data_centre).copied().unwrap_or_default();
                    (peers(engine).saturating_sub(taken), std::cmp::Reverse(*at))
                })
                .map(|(at, _)| at);
            let Some(at) = next else { break };
            let engine = ordered.remove(at);
            *taken.entry(&engine.entry.data_centre).or_default() += 1;
            *of_version.entry(&engine.entry.version).or_default() -= 1;
            self.pending.insert(
                engine.entry.id.clone(),
                PendingChange {
                    role,
                    at: now,
                    announced_at: None,
                },
            );
            changes.push(RoleChange {
                upstream: engine.entry.id.clone(),
                role,
            });
        }
        self.last_change = Some((role, now));
        changes
    }
}
