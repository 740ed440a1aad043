//! Hedged requests: when a second attempt of a slow request may be sent to another upstream.
//!
//! The load pattern is a latency tail that a few upstreams cause: one of several shares its machine with other work and
//! takes a multiple of the usual time, while the others have free slots. A request that has taken longer than most
//! requests of its route and size is sent to a second upstream, and the first complete response is used (Dean and
//! Barroso, The Tail at Scale, 2013). If all upstreams are slow, a second attempt only adds load. Three rules bound that:
//! the hedges of a service are a share of this instance's own requests to it, none is sent while the service's queues
//! grow, and the learned latencies follow the slower responses.
//!
//! Each instance decides alone. Since every instance keeps to the share of its own requests, the fleet keeps to the
//! share of all requests. An instance that has just started has counted no requests and may send no hedge.

use std::collections::VecDeque;
use std::str::FromStr;
use std::time::Duration;

use derive_more::{Display, Error};
use marigoldlock_wire::prelude::*;

use crate::time::MonoTime;

use super::choice::Candidate;
use super::outcome::AttemptHistory;
use super::route::CallKind;

/// Largest share that can be set: with more, the hedges of a loaded fleet could overload it.
const MAX_SHARE: f64 = 0.2;

/// Bounds of the quantile of latency that a request must exceed. It is one minus the share, so that the share suffices
/// for the slowest requests; a quantile beyond 0.99 would rest on one or two samples.
const QUANTILE_BOUNDS: (f64, f64) = (0.8, 0.99);

/// Shortest time before a hedge: small instances are scheduled with pauses of this length, which are no sign of a slow
/// upstream.
const MIN_DELAY: Duration = Duration::from_millis(10);

/// Samples below which the latency of a route and size class is unknown; the 0.95 quantile then rests on two samples.
const MIN_SAMPLES: usize = 40;

/// Latest samples that are kept of a route and size class.
const MAX_SAMPLES: usize = 128;

/// Age after which a sample is not used.
const MAX_SAMPLE_AGE: Duration = Duration::from_secs(60);

/// Routes of which latencies are kept; with all classes and samples they take 1.2 MB. The one that was used least
/// recently makes room for a new one.
const MAX_ROUTES: usize = 64;

/// Largest request body of each size class but the last, in bytes.
const CLASS_LIMITS_BYTES: [usize; 4] = [1 << 10, 8 << 10, 64 << 10, 512 << 10];

/// Number of size classes.
const CLASSES: usize = CLASS_LIMITS_BYTES.len() + 1;

/// Window of the hedge budget. Instances of large fleets get one or two requests per second for a service, of which a
/// share of 0.05 is one hedge in ten seconds.
const BUDGET_WINDOW: Duration = Duration::from_secs(60);

/// Length of a bucket in which the budget counts.
const BUDGET_BUCKET: Duration = Duration::from_secs(5);

/// Buckets in a window.
const BUDGET_BUCKETS: u128 = BUDGET_WINDOW.as_millis() / BUDGET_BUCKET.as_millis();

/// Age up to which a load report may prevent a hedge. It never permits one by itself.
const MAX_DENYING_REPORT_AGE: Duration = Duration::from_secs(4);

/// Time between two samples of a service's load.
const LOAD_INTERVAL: Duration = Duration::from_millis(100);

/// Time whose load is compared with that before it. With 500 ms, 18 hedges were sent in the first 300 ms after all
/// upstreams of a simulated service had become slow.
const RECENT_LOAD: Duration = Duration::from_millis(150);

/// Time for which samples of the load are kept.
const LOAD_HISTORY: Duration = Duration::from_millis(2_500);

/// Ratio of the recent load to that before it from which queues count as growing.
const GROWTH_RATIO: f64 = 1.3;

/// Smallest difference that counts as growth, in requests: fewer may be chance.
const MIN_GROWTH_REQUESTS: f64 = 2.0;

/// Fewest samples of the load before; single ones follow chance.
const MIN_LOAD_SAMPLES: usize = 3;

/// Share of a service's slots below which its upstreams have no queues. Without this limit, two requests more at an
/// idle service counted as growth.
const MIN_QUEUE_LOAD: f64 = 0.2;

/// Requests that run or wait at the upstreams of a service.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub struct ServiceLoad {
    /// Requests at all of them.
    pub requests: u32,
    /// Requests that they run concurrently.
    pub slots: u32,
}

/// Hedges per own request; 0 sends none.
#[derive(Clone, Copy, Debug, Default, Display, PartialEq)]
pub struct HedgeShare(f64);

/// Error for a share that can't be set.
#[derive(Clone, Copy, Debug, Default, Display, Error, Eq, PartialEq)]
#[display("the share of hedged requests must be a number from 0 to {MAX_SHARE}")]
pub struct HedgeShareError;

impl HedgeShare {
    /// Sends no hedges.
    pub const OFF: Self = Self(0.0);

    /// Checks a share.
    ///
    /// # Errors
    ///
    /// Fails if the share is not a number from 0 to 0.2.
    pub fn try_new(share: f64) -> Result<Self, HedgeShareError> {
        if (0.0..=MAX_SHARE).contains(&share) {
            Ok(Self(share))
        } else {
            Err(HedgeShareError)
        }
    }

    /// True if no hedges are sent.
    pub fn is_off(self) -> bool {
        self.0 <= 0.0
    }

    /// Quantile of latency that a request must exceed.
    pub fn quantile(self) -> f64 {
        (1.0 - self.0).clamp(QUANTILE_BOUNDS.0, QUANTILE_BOUNDS.1)
    }
}

impl FromStr for HedgeShare {
    type Err = HedgeShareError;

    fn from_str(text: &str) -> Result<Self, Self::Err> {
        Self::try_new(text.parse().map_err(|_| HedgeShareError)?)
    }
}

/// Class of requests of similar size.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct SizeClass(usize);

impl SizeClass {
    /// Class of a request with a body of this length.
    pub fn of_body(bytes: usize) -> Self {
        Self(CLASS_LIMITS_BYTES.partition_point(|limit| *limit < bytes))
    }
}

/// Latencies of one route and size class.
#[derive(Clone, Debug, Default)]
struct LatencySamples {
    samples: VecDeque<(MonoTime, u32)>,
}

impl LatencySamples {
    fn record(&mut self, latency: Duration, now: MonoTime) {
        if self.samples.len() == MAX_SAMPLES {
            self.samples.pop_front();
        }
        let micros = u32::try_from(latency.as_micros()).unwrap_or(u32::MAX);
        self.samples.push_back((now, micros));
    }

    fn estimate(&self, quantile: f64, now: MonoTime) -> Option<LatencyEstimate> {
        let fresh = self
            .samples
            .iter()
            .filter(|(at, _)| now.since(*at) <= MAX_SAMPLE_AGE);
        let mut latencies: Vec<u32> = fresh.map(|(_, micros)| *micros).collect();
        if latencies.len() < MIN_SAMPLES {
            return None;
        }
        latencies.sort_unstable();
        let last = latencies.len() - 1;
        let at = |quantile: f64| {
            let rank = (quantile * latencies.len() as f64).ceil() as usize;
            Duration::from_micros(u64::from(latencies[rank.saturating_sub(1).min(last)]))
        };
        Some(LatencyEstimate {
            usual: at(0.5),
            delay: at(quantile).max(MIN_DELAY),
        })
    }
}

/// What is known of the latency of a route and size class.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct LatencyEstimate {
    /// Median.
    pub usual: Duration,
    /// Time after which a request is slower than most.
    pub delay: Duration,
}

#[derive(Clone, Debug, Default)]
struct RouteLatencies {
    classes: [LatencySamples; CLASSES],
    used_at: MonoTime,
}

/// Hedges and requests of one service at this instance, counted in buckets of time.
#[derive(Clone, Debug, Default)]
struct HedgeBudget {
    buckets: VecDeque<BudgetBucket>,
}

#[derive(Clone, Copy, Debug, Default)]
struct BudgetBucket {
    number: u128,
    requests: u32,
    hedges: u32,
}

fn bucket_number(now: MonoTime) -> u128 {
    now.as_duration().as_millis() / BUDGET_BUCKET.as_millis()
}

/// Place of a hedge in the budget.
#[derive(Debug)]
#[must_use = "a hedge that is not sent must be released"]
pub struct HedgeGrant {
    bucket: u128,
}

impl HedgeBudget {
    /// Bucket of the current time; those that the window no longer reaches are dropped.
    fn bucket(&mut self, now: MonoTime) -> &mut BudgetBucket {
        let number = bucket_number(now);
        self.buckets
            .retain(|bucket| bucket.number + BUDGET_BUCKETS >= number);
        if self.buckets.back().is_none_or(|bucket| bucket.number < number) {
            self.buckets.push_back(BudgetBucket {
                number,
                ..BudgetBucket::default()
            });
        }
        let last = self.buckets.len() - 1;
        &mut self.buckets[last]
    }

    /// True if one more hedge keeps to the share in any window that ends now: requests count only if they are certainly
    /// within the window, hedges also if they may be.
    fn may_hedge(&self, share: HedgeShare, now: MonoTime) -> bool {
        let number = bucket_number(now);
        let requests: u32 = self
            .buckets
            .iter()
            .filter(|bucket| bucket.number + BUDGET_BUCKETS > number)
            .map(|bucket| bucket.requests)
            .sum();
        let hedges: u32 = self
            .buckets
            .iter()
            .filter(|bucket| bucket.number + BUDGET_BUCKETS >= number)
            .map(|bucket| bucket.hedges)
            .sum();
        f64::from(hedges + 1) <= share.0 * f64::from(requests)
    }

    fn count_hedge(&mut self, now: MonoTime) -> HedgeGrant {
        let bucket = self.bucket(now);
        bucket.hedges += 1;
        HedgeGrant {
            bucket: bucket.number,
        }
    }

    fn release(&mut self, grant: HedgeGrant) {
        if let Some(bucket) = self
            .buckets
            .iter_mut()
            .find(|bucket| bucket.number == grant.bucket)
        {
            bucket.hedges = bucket.hedges.saturating_sub(1);
        }
    }
}

/// Recent load of one service.
#[derive(Clone, Debug, Default)]
struct LoadTrend {
    samples: VecDeque<(MonoTime, ServiceLoad)>,
}

impl LoadTrend {
    fn record(&mut self, load: ServiceLoad, now: MonoTime) {
        self.samples.retain(|(at, _)| now.since(*at) <= LOAD_HISTORY);
        self.samples.push_back((now, load));
    }

    fn is_due(&self, now: MonoTime) -> bool {
        let last = self.samples.back();
        last.is_none_or(|(at, _)| now.since(*at) >= LOAD_INTERVAL)
    }

    /// True if the recent load is clearly above that before it. Without samples of both it counts as steady.
    fn is_growing(&self, now: MonoTime) -> bool {
        let (recent, before): (Vec<_>, Vec<_>) = self
            .samples
            .iter()
            .filter(|(at, _)| now.since(*at) <= LOAD_HISTORY)
            .partition(|(at, _)| now.since(*at) <= RECENT_LOAD);
        let mean = |samples: &[(MonoTime, ServiceLoad)], min_samples: usize| {
            let sum: f64 = samples.iter().map(|(_, load)| f64::from(load.requests)).sum();
            (samples.len() >= min_samples).then(|| sum / samples.len() as f64)
        };
        let slots = self.samples.back().map_or(0, |(_, load)| load.slots);
        let (Some(recent), Some(before)) = (mean(&recent, 1), mean(&before, MIN_LOAD_SAMPLES)) else {
            return false;
        };
        recent >= f64::from(slots) * MIN_QUEUE_LOAD
            && recent > before * GROWTH_RATIO
            && recent - before >= MIN_GROWTH_REQUESTS
    }
}

/// Reason why a hedge is not sent.
#[derive(Clone, Copy, Debug, Eq, Hash, PartialEq)]
pub enum HedgeDenial {
    /// Hedged requests are switched off.
    Off,
    /// The request may run only once.
    RunsOnce,
    /// All of the route's attempts are used.
    NoAttempts,
    /// The response would probably arrive after the deadline.
    TooLate,
    /// No other upstream may be sent a request now, by its health or by its stated rate limit.
    NoCandidate,
    /// The other upstream may have half of its slots taken, or attempts have failed there.
    Busy,
    /// The queues of the service grow.
    QueuesGrow,
    /// The share of hedges is used.
    ShareUsed,
    /// The retry budget is used.
    RetryBudget,
    /// Requests like this one are blocked, or this instance reaches no upstream.
    Withheld,
}

impl HedgeDenial {
    /// Name in logs and metrics.
    pub fn as_str(self) -> &'static str {
        match self {
            Self::Off => "off",
            Self::RunsOnce => "runs_once",
            Self::NoAttempts => "no_attempts",
            Self::TooLate => "too_late",
            Self::NoCandidate => "no_candidate",
            Self::Busy => "busy",
            Self::QueuesGrow => "queues_grow",
            Self::ShareUsed => "share_used",
            Self::RetryBudget => "retry_budget",
            Self::Withheld => "withheld",
        }
    }
}

/// A request that has taken as long as a slow one, with the upstream that could get its second attempt.
#[derive(Clone, Copy, Debug)]
pub struct HedgeQuery<'a> {
    /// Share in force.
    pub share: HedgeShare,
    /// Whether the request may be repeated.
    pub kind: CallKind,
    /// Attempts so far.
    pub attempts: AttemptHistory,
    /// Most attempts of the route.
    pub max_attempts: u32,
    /// The service.
    pub service: &'a ServiceId,
    /// Upstream of the first attempt.
    pub first: &'a UpstreamId,
    /// Upstream of the second attempt.
    pub candidate: Option<Candidate<'a>>,
    /// What is known of the latency.
    pub estimate: LatencyEstimate,
    /// Time left until the deadline.
    pub time_left: Duration,
}

impl HedgeQuery<'_> {
    fn check(&self, now: MonoTime) -> Result<(), HedgeDenial> {
        if self.share.is_off() {
            return Err(HedgeDenial::Off);
        }
        if !self.kind.is_retryable() {
            return Err(HedgeDenial::RunsOnce);
        }
        if !self.attempts.may_send(self.kind, self.max_attempts) {
            return Err(HedgeDenial::NoAttempts);
        }
        if self.time_left <= self.estimate.usual {
            return Err(HedgeDenial::TooLate);
        }
        let candidate = self.candidate.filter(|candidate| {
            candidate.entry.id != *self.first && !candidate.entry.is_leaving && candidate.state.is_usable(now)
        });
        let Some(candidate) = candidate else {
            return Err(HedgeDenial::NoCandidate);
        };
        // A report that is too old to choose by may still show that the upstream had no room.
        let requests = candidate.state.highest_requests(now, MAX_DENYING_REPORT_AGE);
        if candidate.state.is_suspect() || requests.saturating_mul(2) >= candidate.entry.slots {
            return Err(HedgeDenial::Busy);
        }
        Ok(())
    }
}

/// What an instance has learned for hedged requests, and the hedges that it has sent.
#[derive(Clone, Debug, Default)]
pub struct HedgeState {
    routes: FastMap<String, RouteLatencies>,
    budgets: FastMap<ServiceId, HedgeBudget>,
    trends: FastMap<ServiceId, LoadTrend>,
}

impl HedgeState {
    /// Counts one of this instance's own requests.
    pub fn count_request(&mut self, service: &ServiceId, now: MonoTime) {
        self.budgets
            .entry(service.clone())
            .or_default()
            .bucket(now)
            .requests += 1;
    }

    /// True if the service's load should be sampled.
    pub fn is_load_due(&self, service: &ServiceId, now: MonoTime) -> bool {
        self.trends.get(service).is_none_or(|trend| trend.is_due(now))
    }

    /// Records the service's load.
    pub fn record_load(&mut self, service: &ServiceId, load: ServiceLoad, now: MonoTime) {
        self.trends.entry(service.clone()).or_default().record(load, now);
    }

    /// Records the latency of a request's first attempt. For an attempt that was given up it is the time that it had
    /// taken: without these samples, the hedged requests would drop out and the quantile would sink.
    pub fn record_latency(&mut self, route: &str, class: SizeClass, latency: Duration, now: MonoTime) {
        if !self.routes.contains_key(route) && self.routes.len() >= MAX_ROUTES {
            let oldest = self.routes.iter().min_by_key(|(_, latencies)| latencies.used_at);
            let oldest = oldest.map(|(name, _)| name.clone());
            oldest.and_then(|name| self.routes.remove(&name));
        }
        let latencies = match self.routes.get_mut(route) {
            Some(latencies) => latencies,
            None => self.routes.entry(route.to_owned()).or_default(),
        };
        latencies.used_at = now;
        latencies.classes[class.0].record(latency, now);
    }

    /// Number of routes of which latencies are kept.
    pub fn routes(&self) -> usize {
        self.routes.len()
    }

    /// What is known of the latency of a route and size class; `None` without enough recent samples.
    pub fn estimate(
        &self,
        route: &str,
        class: SizeClass,
        share: HedgeShare,
        now: MonoTime,
    ) -> Option<LatencyEstimate> {
        self.routes.get(route)?.classes[class.0].estimate(share.quantile(), now)
    }

    /// Checks whether a hedge may be sent now. It must be counted before anything else is checked.
    ///
    /// # Errors
    ///
    /// Returns the first reason against it.
    pub fn check(&self, query: &HedgeQuery<'_>, now: MonoTime) -> Result<(), HedgeDenial> {
        query.check(now)?;
        let trend = self.trends.get(query.service);
        if trend.is_some_and(|trend| trend.is_growing(now)) {
            return Err(HedgeDenial::QueuesGrow);
        }
        let budget = self.budgets.get(query.service);
        if !budget.is_some_and(|budget| budget.may_hedge(query.share, now)) {
            return Err(HedgeDenial::ShareUsed);
        }
        Ok(())
    }

    /// Counts a hedge of a service.
    pub fn count_hedge(&mut self, service: &ServiceId, now: MonoTime) -> HedgeGrant {
        self.budgets.entry(service.clone()).or_default().count_hedge(now)
    }

    /// Takes back a hedge of a service that was not sent.
    pub fn release(&mut self, service: &ServiceId, grant: HedgeGrant) {
        if let Some(budget) = self.budgets.get_mut(service) {
            budget.release(grant);
        }
    }
}
