//! Number of upstreams that the load requires, and the orders that follow it.
//!
//! Load pattern: work that fits on a part of the upstreams that serve at the start, begins seconds later, swings
//! by up to half within 11 to 17 s and has bursts of up to twice the usual load, while all spot upstreams of a
//! data centre may be reclaimed at once.
//!
//! Load is measured in engines: the number that prefill now, plus the requests in flight divided by what one
//! engine decodes at half of its best rate. A backlog counts as the engines that would finish it within an
//! acceptable wait. The number of upstreams is the recent peak times the headroom, by the data centre of the
//! instances that report the work, so that losing the upstreams there doesn't change it. It grows at once and
//! shrinks in rare steps, because a removed engine takes its KV cache with it. Work that is not reported counts
//! as unchanged. Everything is derived from the observations of one holder of the duties, and a new holder
//! starts from the upstreams that serve.

use std::collections::VecDeque;
use std::str::FromStr;
use std::time::Duration;

use derive_more::{Display, Error};
use marigoldlock_wire::prelude::*;

use crate::time::MonoTime;

use super::admission::PrefillRate;
use super::capacity::{
    BOOT_MARGIN, CapacityChange, CapacityPlanner, DataCentreState, MAX_SPOT_PRICE_RATIO, ServingCounts,
    SpotSupply,
};
use super::catalog::{UpstreamEntry, UpstreamRole};
use super::roles::MAX_DECODE_REQUESTS;
use super::route::ScalingRule;
use super::state::WorkInFlight;

/// Time constant of the moving average of the load: longer than the time between reports, shorter than a burst.
const SMOOTHING_TIME: Duration = Duration::from_millis(1_500);

/// Time for which a peak is held: longer than the usual period of swings, 11 to 17 s, so that capacity doesn't follow
/// each of them.
const PEAK_HOLD_TIME: Duration = Duration::from_secs(18);

/// Part of a peak that the load must reach to hold it; peaks of the same swing differ a little.
const PEAK_HOLD_RATIO: f64 = 0.9;

/// Time in which a peak that is no longer held decays to its half.
const PEAK_HALF_LIFE: Duration = Duration::from_secs(20);

/// Part of the latency objective that callers may wait for prefill before upstreams are added.
const ACCEPTABLE_WAIT_RATIO: f64 = 0.25;

/// Shortest acceptable wait: reports are up to a few hundred milliseconds old, so shorter backlogs can't be
/// seen.
const MIN_ACCEPTABLE_WAIT: Duration = Duration::from_millis(50);

/// Largest number of engines that a backlog counts as, as a multiple of those that prefill now. The rate is learned from the
/// first prompts, which meet empty caches; without a bound they called for hundreds of engines.
const MAX_BACKLOG_FACTOR: f64 = 1.5;

/// Time from the start of a planner until its first order, so that it has seen all upstreams that serve.
const FIRST_ORDER_DELAY: Duration = Duration::from_millis(1_500);

/// Time for which a planner must have seen requests before it orders fewer upstreams.
const OBSERVATION_TIME: Duration = Duration::from_secs(6);

/// Ratio of the load to the load [`TREND_TIME`] ago above which it is growing.
const GROWTH_RATIO: f64 = 1.05;

/// Time over which growth is measured.
const TREND_TIME: Duration = Duration::from_secs(2);

/// At most one upstream in this many is removed in one step.
const STEP_DIVISOR: u32 = 8;

/// Divisor of the number of upstreams that gives the number of on-demand upstreams beside enough spot upstreams.
const ON_DEMAND_DIVISOR_WITH_SPOT: u32 = 4;

/// Divisor of the number of upstreams that gives the number of on-demand upstreams without spot upstreams.
const ON_DEMAND_DIVISOR: u32 = 2;

/// Load in engines, as a moving average, above which a service has traffic whose KV caches are worth keeping; single
/// requests stay below it.
const MIN_BUSY_ENGINES: f64 = 0.5;

/// Smallest headroom: less leaves no reserve for the error of the estimate.
const MIN_HEADROOM: f64 = 1.2;

/// Largest headroom.
const MAX_HEADROOM: f64 = 10.0;

/// Share of the instances heard in the last minute whose reports may be missing, as a divisor; one always may.
const MISSING_REPORTS_DIVISOR: usize = 10;

/// Capacity to order, as a multiple of the recent peak of the load; 0 if capacity doesn't follow the load.
#[derive(Clone, Copy, Debug, Default, Display, PartialEq)]
pub struct CapacityHeadroom(f64);

/// A headroom that is not allowed.
#[derive(Clone, Copy, Debug, Display, Eq, Error, PartialEq)]
#[display("must be 0 or a number from {MIN_HEADROOM} to {MAX_HEADROOM}")]
pub struct HeadroomError;

impl CapacityHeadroom {
    /// The multiple, if capacity follows the load.
    pub fn factor(self) -> Option<f64> {
        (self.0 > 0.0).then_some(self.0)
    }
}

impl FromStr for CapacityHeadroom {
    type Err = HeadroomError;

    fn from_str(text: &str) -> Result<Self, Self::Err> {
        let value: f64 = text.trim().parse().map_err(|_| HeadroomError)?;
        if value == 0.0 {
            Ok(Self::default())
        } else if (MIN_HEADROOM..=MAX_HEADROOM).contains(&value) {
            Ok(Self(value))
        } else {
            Err(HeadroomError)
        }
    }
}

/// True if the reports of `live` instances show the whole load, of `heard` that have reported in the last minute.
pub fn has_most_reports(live: usize, heard: usize) -> bool {
    heard.saturating_sub(live) <= (heard / MISSING_REPORTS_DIVISOR).max(1)
}

/// Work that the instances of one data centre have at an upstream.
#[derive(Clone, Copy, Debug)]
pub struct EngineWork<'a> {
    /// Data centre of the instances.
    pub origin: &'a DataCentre,
    /// The upstream.
    pub entry: &'a UpstreamEntry,
    /// The work.
    pub work: WorkInFlight,
}

/// Load in engines that would be fully used.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct LoadSample {
    /// Engines that prefill.
    pub prefill: f64,
    /// Engines that would finish the backlog of prefill within the acceptable wait.
    pub backlog: f64,
    /// Engines that decode or serve whole requests.
    pub decode: f64,
    /// Requests in flight.
    pub requests: u32,
}

impl LoadSample {
    /// Number of engines.
    pub fn engines(&self) -> f64 {
        let backlog = self.backlog.min(self.prefill * MAX_BACKLOG_FACTOR);
        self.prefill.max(backlog) + self.decode
    }
}

/// What the load is measured with.
#[derive(Clone, Copy, Debug)]
pub struct LoadScale {
    /// Prefill rate of one engine.
    pub prefill_rate: PrefillRate,
    /// Shortest latency objective of the routes that the service serves.
    pub target_latency: Duration,
    /// True if the upstreams are model engines.
    pub is_engine: bool,
}

impl LoadScale {
    /// Measures the load by data centre of the reporting instances.
    pub fn sample(&self, works: &[EngineWork<'_>]) -> FastMap<DataCentre, LoadSample> {
        let mut prefill_tokens: FastMap<&UpstreamId, u64> = FastMap::default();
        for work in works {
            *prefill_tokens.entry(&work.entry.id).or_default() += work.work.prefill_tokens;
        }
        let wait = self
            .target_latency
            .mul_f64(ACCEPTABLE_WAIT_RATIO)
            .max(MIN_ACCEPTABLE_WAIT);
        let mut samples: FastMap<DataCentre, LoadSample> = FastMap::default();
        for EngineWork { origin, entry, work } in works {
            let sample = samples.entry((*origin).clone()).or_default();
            sample.requests += work.requests;
            let total = prefill_tokens[&entry.id];
            if total > 0 {
                sample.prefill += work.prefill_tokens as f64 / total as f64;
            }
            let backlog = self
                .prefill_rate
                .time_for(work.prefill_tokens + work.waiting_tokens);
            sample.backlog += backlog.as_secs_f64() / wait.as_secs_f64();
            if entry.role != UpstreamRole::Prefill {
                sample.decode += f64::from(work.requests) / self.full_requests(entry);
            }
        }
        samples
    }

    /// Requests in flight at which an upstream is fully used.
    fn full_requests(&self, entry: &UpstreamEntry) -> f64 {
        let slots = f64::from(entry.slots.max(1));
        if self.is_engine {
            slots.min(MAX_DECODE_REQUESTS)
        } else {
            slots
        }
    }
}

/// What a planner is told at one time.
#[derive(Clone, Copy, Debug)]
pub struct DemandView<'a> {
    /// Upstreams that accept requests.
    pub serving: &'a FastMap<DataCentre, ServingCounts>,
    /// Measured load by data centre of the reporting instances.
    pub load: &'a FastMap<DataCentre, LoadSample>,
    /// Data centres whose instances report.
    pub reporting: &'a FastSet<DataCentre>,
    /// False while reports are missing or the store doesn't answer.
    pub is_complete: bool,
}

/// Figures that led to a decision, of one data centre.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct DemandFigures {
    /// Load, as a moving average in engines.
    pub load: f64,
    /// Recent peak of the load.
    pub peak: f64,
    /// Upstreams that the peak requires.
    pub required: u32,
    /// Upstreams that are wanted now.
    pub wanted: u32,
    /// On-demand upstreams that serve.
    pub on_demand: u32,
    /// Spot upstreams that serve.
    pub spot: u32,
}

impl DemandFigures {
    /// Load relative to the upstreams that serve.
    pub fn utilisation(&self) -> f64 {
        self.load / f64::from((self.on_demand + self.spot).max(1))
    }
}

#[derive(Clone, Debug, Default)]
struct LoadEstimate {
    average: f64,
    peak: f64,
    /// When the load last reached [`PEAK_HOLD_RATIO`] of the peak.
    held_at: MonoTime,
    /// Averages of the latest time, oldest first.
    history: VecDeque<(MonoTime, f64)>,
    updated_at: Option<MonoTime>,
}

impl LoadEstimate {
    fn update(&mut self, sample: f64, window: Duration, now: MonoTime) {
        let elapsed = self.updated_at.map(|at| now.since(at));
        self.updated_at = Some(now);
        let weight = elapsed.map_or(1.0, |elapsed| {
            1.0 - (-elapsed.as_secs_f64() / SMOOTHING_TIME.as_secs_f64()).exp()
        });
        self.average += weight * (sample - self.average);
        if now.since(self.held_at) > PEAK_HOLD_TIME {
            let halvings = elapsed.unwrap_or_default().as_secs_f64() / PEAK_HALF_LIFE.as_secs_f64();
            self.peak *= 0.5_f64.powf(halvings);
        }
        self.peak = self.peak.max(self.average);
        if self.average >= self.peak * PEAK_HOLD_RATIO {
            self.held_at = now;
        }
        self.history.push_back((now, self.average));
        while self
            .history
            .front()
            .is_some_and(|(at, _)| now.since(*at) > window)
        {
            self.history.pop_front();
        }
    }

    /// Growth over the latest `time`.
    fn growth(&self, time: Duration, now: MonoTime) -> f64 {
        let before = self.history.iter().find(|(at, _)| now.since(*at) <= time);
        (self.average - before.map_or(self.average, |(_, load)| *load)).max(0.0)
    }

    /// Load after `time` if it goes on to grow as it has for as long.
    fn forecast(&self, time: Duration, now: MonoTime) -> f64 {
        self.average + self.growth(time, now)
    }
}

#[derive(Clone, Debug, Default)]
struct CentrePlan {
    estimate: LoadEstimate,
    orders: DataCentreState,
    /// Most upstreams of each kind that served before the first orders.
    first_on_demand: u32,
    first_spot: u32,
    /// Upstreams wanted.
    wanted: u32,
    /// Upstreams wanted when the orders were last made.
    ordered: u32,
    required: u32,
    counts: ServingCounts,
    /// True once upstreams have been seen there; only then can upstreams be ordered.
    can_serve: bool,
    on_demand_reduced_at: Option<MonoTime>,
    is_spot_lost: bool,
}

impl CentrePlan {
    fn figures(&self) -> DemandFigures {
        DemandFigures {
            load: self.estimate.average,
            peak: self.estimate.peak,
            required: self.required,
            wanted: self.wanted,
            on_demand: self.counts.on_demand,
            spot: self.counts.spot,
        }
    }

    /// True if the upstreams that serve are those wanted; a few may be restarting.
    fn is_settled(&self, rule: &ScalingRule) -> bool {
        let serving = self.counts.on_demand + self.counts.spot;
        let expected = if self.is_spot_lost {
            self.on_demand_without_spot(rule)
        } else {
            self.wanted
        };
        serving <= self.wanted + 1 && serving + expected / STEP_DIVISOR >= expected
    }

    fn on_demand_with_spot(&self, rule: &ScalingRule) -> u32 {
        self.wanted
            .div_ceil(ON_DEMAND_DIVISOR_WITH_SPOT)
            .max(rule.min)
            .max(1)
            .min(self.wanted)
    }

    /// On-demand upstreams that carry the data centre's recent peak without spot upstreams.
    fn on_demand_without_spot(&self, rule: &ScalingRule) -> u32 {
        self.wanted
            .div_ceil(ON_DEMAND_DIVISOR)
            .max(self.estimate.peak.ceil() as u32)
            .max(rule.min)
            .min(self.wanted)
    }
}

/// Plans the capacity of one service by its load.
#[derive(Clone, Debug, Default)]
pub struct DemandPlanner {
    /// Plans the same number under any load, if there is no headroom.
    fixed: CapacityPlanner,
    centres: FastMap<DataCentre, CentrePlan>,
    total: LoadEstimate,
    started_at: Option<MonoTime>,
    /// When requests were first seen.
    traffic_since: Option<MonoTime>,
    /// True once the load has exceeded [`MIN_BUSY_ENGINES`].
    has_been_busy: bool,
    settled_since: Option<MonoTime>,
    /// When the wanted number last changed.
    changed_at: Option<MonoTime>,
}

impl DemandPlanner {
    /// Returns the orders to make for capacity of `headroom` times the recent peak; without a headroom, those of
    /// [`CapacityPlanner`].
    pub fn plan(
        &mut self,
        rule: &ScalingRule,
        headroom: CapacityHeadroom,
        view: &DemandView<'_>,
        now: MonoTime,
    ) -> Vec<CapacityChange> {
        let Some(headroom) = headroom.factor() else {
            return self.fixed.plan(rule, view.serving, now);
        };
        let started_at = *self.started_at.get_or_insert(now);
        self.update_load(rule, view, now);
        self.update_serving(rule, view, started_at, now);
        if now.since(started_at) < FIRST_ORDER_DELAY {
            return Vec::new();
        }
        self.update_required(rule, headroom, now);
        self.update_wanted(rule, view, now);
        self.mix(rule, now)
    }

    /// Figures of each data centre that led to the latest decision.
    pub fn figures(&self) -> impl Iterator<Item = (&DataCentre, DemandFigures)> {
        self.centres
            .iter()
            .filter(|(_, centre)| centre.can_serve)
            .map(|(name, centre)| (name, centre.figures()))
    }

    fn update_load(&mut self, rule: &ScalingRule, view: &DemandView<'_>, now: MonoTime) {
        let window = rule.boot.max(TREND_TIME);
        for name in view.serving.keys().chain(view.load.keys()) {
            self.centres.entry(name.clone()).or_default();
        }
        let mut total = 0.0;
        let mut requests = 0;
        for (name, centre) in &mut self.centres {
            let sample = view.load.get(name).copied().unwrap_or_default();
            requests += sample.requests;
            let known = centre.estimate.average;
            let is_reported = view.is_complete && view.reporting.contains(name);
            let load = if is_reported {
                sample.engines()
            } else {
                sample.engines().max(known)
            };
            centre.estimate.update(load, window, now);
            total += centre.estimate.average;
        }
        self.total.update(total, window, now);
        if requests > 0 {
            self.traffic_since.get_or_insert(now);
        }
        self.has_been_busy |= self.total.average >= MIN_BUSY_ENGINES;
    }

    fn update_serving(
        &mut self,
        rule: &ScalingRule,
        view: &DemandView<'_>,
        started_at: MonoTime,
        now: MonoTime,
    ) {
        let is_starting = now.since(started_at) < FIRST_ORDER_DELAY;
        for (name, centre) in &mut self.centres {
            centre.counts = view.serving.get(name).copied().unwrap_or_default();
            centre.can_serve |= centre.counts != ServingCounts::default();
            if is_starting {
                centre.first_on_demand = centre.first_on_demand.max(centre.counts.on_demand);
                centre.first_spot = centre.first_spot.max(centre.counts.spot);
            }
        }
        if is_starting {
            // An earlier holder's order for a data centre that has just lost its spot upstreams is not known.
            let largest = self
                .centres
                .values()
                .map(|centre| centre.first_on_demand + centre.first_spot)
                .max();
            let wanted = largest
                .unwrap_or_default()
                .clamp(rule.min, rule.max.max(rule.min));
            for centre in self.serving_centres() {
                centre.wanted = wanted;
            }
        }
    }

    fn serving_centres(&mut self) -> impl Iterator<Item = &mut CentrePlan> {
        self.centres.values_mut().filter(|centre| centre.can_serve)
    }

    /// Updates the upstreams that the peak requires in each data centre. What exceeds a data centre's maximum, and what is
    /// missing if one data centre is lost, is added where it is cheapest.
    fn update_required(&mut self, rule: &ScalingRule, headroom: f64, now: MonoTime) {
        let max = rule.max.max(rule.min);
        let min = rule.min.max(1).min(max);
        let mut load = 0;
        for centre in self.centres.values_mut() {
            let engines = (centre.estimate.peak * headroom).max(centre.estimate.forecast(rule.boot, now));
            let engines = engines.ceil() as u32;
            load += engines;
            centre.required = if centre.can_serve {
                engines.clamp(min, max)
            } else {
                0
            };
        }
        let mut cheapest: Vec<(f64, DataCentre)> = self
            .centres
            .iter()
            .filter(|(_, centre)| centre.can_serve)
            .map(|(name, _)| (rule.prices.get(name).copied().unwrap_or(1.0), name.clone()))
            .collect();
        cheapest.sort_by(|a, b| a.0.total_cmp(&b.0).then_with(|| a.1.cmp(&b.1)));
        let cheapest: Vec<DataCentre> = cheapest.into_iter().map(|(_, name)| name).collect();
        self.add_required(&cheapest, load, max);
        let peak: f64 = self.centres.values().map(|centre| centre.estimate.peak).sum();
        let load = peak.max(self.total.forecast(rule.boot, now)).ceil() as u32;
        for lost in &cheapest {
            let left: Vec<DataCentre> = cheapest.iter().filter(|name| *name != lost).cloned().collect();
            self.add_required(&left, load, max);
        }
    }

    /// Raises the required upstreams of some data centres, the first ones most, until they suffice for `load` engines.
    fn add_required(&mut self, names: &[DataCentre], load: u32, max: u32) {
        let mut available: u32 = names.iter().map(|name| self.centres[name].required).sum();
        for name in names {
            let Some(centre) = self.centres.get_mut(name) else {
                continue;
            };
            let added = load
                .saturating_sub(available)
                .min(max.saturating_sub(centre.required));
            centre.required += added;
            available += added;
        }
    }

    fn update_wanted(&mut self, rule: &ScalingRule, view: &DemandView<'_>, now: MonoTime) {
        let settle_time = rule.boot + BOOT_MARGIN;
        let mut has_grown = false;
        for centre in self.serving_centres() {
            if centre.required > centre.wanted {
                centre.wanted = centre.required;
                has_grown = true;
            }
        }
        if has_grown {
            self.changed_at = Some(now);
        }
        let is_settled = !has_grown && self.serving_centres().all(|centre| centre.is_settled(rule));
        if !is_settled {
            self.settled_since = None;
            return;
        }
        let settled_since = *self.settled_since.get_or_insert(now);
        let has_settled = now.since(settled_since) >= settle_time
            && self
                .changed_at
                .is_none_or(|changed_at| now.since(changed_at) >= settle_time);
        if !has_settled || !view.is_complete || !self.is_observed(now) || self.is_growing(now) {
            return;
        }
        if view.load.values().all(|sample| sample.requests == 0) {
            return;
        }
        for (name, centre) in self.centres.iter_mut().filter(|(_, centre)| centre.can_serve) {
            let step = (centre.wanted / STEP_DIVISOR).max(1);
            if view.reporting.contains(name) && centre.required + step <= centre.wanted {
                centre.wanted -= step;
                self.changed_at = Some(now);
            }
        }
    }

    /// True if requests have been seen for long enough.
    fn is_observed(&self, now: MonoTime) -> bool {
        self.traffic_since
            .is_some_and(|since| now.since(since) >= OBSERVATION_TIME)
    }

    fn is_growing(&self, now: MonoTime) -> bool {
        let growth = self.total.growth(TREND_TIME, now);
        let before = self.total.average - growth;
        self.total.average > before * GROWTH_RATIO
    }

    /// Divides the wanted upstreams into on-demand and spot ones, and returns the orders that are due.
    fn mix(&mut self, rule: &ScalingRule, now: MonoTime) -> Vec<CapacityChange> {
        let has_spot = rule.spot_price.is_some_and(|price| price < MAX_SPOT_PRICE_RATIO);
        // Without traffic, no KV cache is lost with the upstreams that spot ones replace.
        let is_idle = !self.has_been_busy;
        let may_reduce = is_idle || self.is_observed(now);
        let settle_time = rule.boot + BOOT_MARGIN;
        let max = rule.max.max(rule.min);
        let mut changes = Vec::new();
        for (name, centre) in self.centres.iter_mut().filter(|(_, centre)| centre.can_serve) {
            let counts = centre.counts;
            let with_spot = centre.on_demand_with_spot(rule);
            let without_spot = centre.on_demand_without_spot(rule);
            if !has_spot {
                let wanted = centre.wanted;
                if counts.on_demand != wanted {
                    centre.orders.push_change(name, false, wanted, now, &mut changes);
                }
                continue;
            }
            let spot = centre.wanted - with_spot;
            // Upstreams that were just added have not been lost.
            if std::mem::replace(&mut centre.ordered, centre.wanted) < centre.wanted {
                centre.orders.restart_spot_supply();
            }
            // Spot upstreams that restart one by one are not a loss.
            let enough = if centre.orders.has_enough_spot() {
                spot.div_ceil(2)
            } else {
                spot - spot / STEP_DIVISOR
            };
            let supply = centre
                .orders
                .update_spot_supply(counts.spot >= enough, rule.boot, now);
            centre.is_spot_lost = supply == SpotSupply::Lost;
            let step = ((counts.on_demand + counts.spot) / STEP_DIVISOR).max(1);
            let is_reduced_lately = centre
                .on_demand_reduced_at
                .is_some_and(|at| now.since(at) < settle_time);
            let on_demand = match supply {
                SpotSupply::Stable if counts.on_demand > with_spot && is_idle => with_spot,
                SpotSupply::Stable if counts.on_demand > with_spot && !is_reduced_lately => {
                    with_spot.max(counts.on_demand.saturating_sub(step))
                }
                SpotSupply::Stable => counts.on_demand.max(with_spot),
                SpotSupply::Starting => counts.on_demand.max(with_spot),
                SpotSupply::Lost => counts.on_demand.clamp(without_spot, centre.wanted),
            };
            if on_demand > counts.on_demand || on_demand < counts.on_demand && may_reduce {
                if on_demand < counts.on_demand {
                    centre.on_demand_reduced_at = Some(now);
                }
                centre
                    .orders
                    .push_change(name, false, on_demand, now, &mut changes);
            }
            // The maximum covers both kinds together.
            let spot = spot.min(max.saturating_sub(counts.on_demand.max(on_demand)));
            let has_surplus = supply == SpotSupply::Starting && counts.spot > spot;
            if counts.spot != spot && !has_surplus {
                centre.orders.push_change(name, true, spot, now, &mut changes);
            }
        }
        changes
    }
}
