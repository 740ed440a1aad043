//! State of one upstream.

use std::time::Duration;

use marigoldlock_wire::engine::{EngineRole, LoadReport};

use crate::prelude::*;

use super::cache::PrefixCache;
use super::health::HealthState;
use super::types::{RouteParams, UpstreamInfo, UpstreamKind, WorkClass};

/// Weight of a new sample in the moving averages.
const SAMPLE_WEIGHT: f64 = 0.2;

/// Bounds of a measured ratio of the actual to the expected time to the first token.
const LATENCY_RATIO_BOUNDS: (f64, f64) = (0.5, 8.0);

/// Half-life of a latency ratio's deviation from 1, in seconds.
const LATENCY_RATIO_HALF_LIFE_S: f64 = 20.0;

/// Time that a request is assumed to spend at the upstream before any was measured, in seconds.
const INITIAL_RESIDENCE_S: f64 = 4.0;

/// Requests and their prefill tokens; the urgent tokens are those of interactive requests.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub(super) struct WorkTotals {
    pub(super) requests: u32,
    pub(super) prefill_tokens: u64,
    pub(super) urgent_prefill_tokens: u64,
}

impl WorkTotals {
    pub(super) fn add(&mut self, other: Self) {
        self.requests += other.requests;
        self.prefill_tokens += other.prefill_tokens;
        self.urgent_prefill_tokens += other.urgent_prefill_tokens;
    }

    pub(super) fn subtract(&mut self, other: Self) {
        self.requests = self.requests.saturating_sub(other.requests);
        self.prefill_tokens = self.prefill_tokens.saturating_sub(other.prefill_tokens);
        self.urgent_prefill_tokens = self
            .urgent_prefill_tokens
            .saturating_sub(other.urgent_prefill_tokens);
    }
}

/// Last load report, and the load of other instances that it implies.
#[derive(Clone, Debug)]
pub(super) struct LoadSnapshot {
    pub(super) incarnation: Incarnation,
    pub(super) sequence: u64,
    pub(super) measured_at: MonoTime,
    pub(super) role: EngineRole,
    pub(super) changing: bool,
    requests: u32,
    backlog: u64,
    prefill_rate: f64,
    decode_rate: f64,
    slots: u32,
    /// Reported load less the load of this instance when the report arrived.
    others: WorkTotals,
}

/// State of one upstream.
#[derive(Clone, Debug)]
pub struct UpstreamState {
    pub(super) info: UpstreamInfo,
    pub(super) leaving: bool,
    pub(super) report: Option<LoadSnapshot>,
    /// Load of this instance.
    pub(super) own: WorkTotals,
    /// Load of the peers, as they report it.
    pub(super) peers: WorkTotals,
    pub(super) health: HealthState,
    pub(super) cache: PrefixCache,
    last_progress: MonoTime,
    residence_s: f64,
    latency_ratio: f64,
    latency_ratio_updated: MonoTime,
}

impl UpstreamState {
    pub(super) fn new(info: UpstreamInfo) -> Self {
        Self {
            info,
            leaving: false,
            report: None,
            own: WorkTotals::default(),
            peers: WorkTotals::default(),
            health: HealthState::default(),
            cache: PrefixCache::default(),
            last_progress: MonoTime::ZERO,
            residence_s: INITIAL_RESIDENCE_S,
            latency_ratio: 1.0,
            latency_ratio_updated: MonoTime::ZERO,
        }
    }

    /// Static data of the upstream.
    pub fn info(&self) -> &UpstreamInfo {
        &self.info
    }

    /// Last reported role.
    pub fn role(&self) -> EngineRole {
        self.report
            .as_ref()
            .map_or(EngineRole::Mixed, |snapshot| snapshot.role)
    }

    /// True while a change of role or model makes it unavailable.
    pub fn is_changing(&self) -> bool {
        self.report.as_ref().is_some_and(|snapshot| snapshot.changing)
    }

    /// True once it is marked as leaving.
    pub fn is_leaving(&self) -> bool {
        self.leaving
    }

    /// Requests that this instance has in flight there.
    pub fn own_requests(&self) -> u32 {
        self.own.requests
    }

    /// Time since the figures of the last load report were measured.
    pub fn report_age(&self, now: MonoTime) -> Option<Duration> {
        self.report
            .as_ref()
            .map(|snapshot| now.since(snapshot.measured_at))
    }

    /// Number of prefixes presumed to be cached.
    pub fn cached_prefixes(&self) -> usize {
        self.cache.len()
    }

    /// Requests that it can run concurrently, as last reported.
    pub fn slots(&self, params: &RouteParams) -> u32 {
        match &self.report {
            Some(snapshot) if snapshot.slots > 0 => snapshot.slots,
            _ => params.default_slots,
        }
    }

    /// Applies a load report; false if it is not newer than the last one.
    pub(super) fn on_load_report(&mut self, report: &LoadReport, now: MonoTime) -> bool {
        if let Some(snapshot) = &self.report {
            let same_incarnation = snapshot.incarnation == report.incarnation;
            if same_incarnation && report.sequence <= snapshot.sequence {
                return false;
            }
        }
        let total = report.running + report.queued;
        let others = WorkTotals {
            requests: total.saturating_sub(self.own.requests),
            prefill_tokens: report
                .prefill_backlog_tokens
                .saturating_sub(self.own.prefill_tokens),
            urgent_prefill_tokens: 0,
        };
        self.report = Some(LoadSnapshot {
            incarnation: report.incarnation,
            sequence: report.sequence,
            measured_at: now - Duration::from_millis(report.age_ms),
            role: report.role,
            changing: report.changing,
            requests: total,
            backlog: report.prefill_backlog_tokens,
            prefill_rate: report.prefill_tokens_per_s,
            decode_rate: report.decode_tokens_per_s,
            slots: report.slots,
            others,
        });
        true
    }

    /// Prefill speed in tokens per second.
    pub fn prefill_rate(&self, params: &RouteParams) -> f64 {
        match &self.report {
            Some(snapshot) if snapshot.prefill_rate > 0.0 => snapshot.prefill_rate,
            _ => params.default_prefill_tokens_per_s,
        }
    }

    /// Decode speed of one stream in tokens per second, if reported.
    pub(super) fn decode_rate(&self) -> Option<f64> {
        self.report
            .as_ref()
            .map(|snapshot| snapshot.decode_rate)
            .filter(|rate| *rate > 0.0)
    }

    /// Requests that all instances have in flight there.
    pub fn in_flight(&self) -> u32 {
        let others = self
            .report
            .as_ref()
            .map_or(0, |snapshot| snapshot.others.requests);
        self.own.requests + self.peers.requests.max(others)
    }

    /// Running and queued requests in the last load report.
    pub(super) fn reported_requests(&self) -> u32 {
        self.report.as_ref().map_or(0, |snapshot| snapshot.requests)
    }

    /// Prefill backlog in the last load report, in tokens.
    pub fn reported_backlog(&self) -> u64 {
        self.report.as_ref().map_or(0, |snapshot| snapshot.backlog)
    }

    /// Prefill tokens ahead of a new request of `class`.
    pub(super) fn backlog(&self, class: WorkClass, params: &RouteParams, now: MonoTime) -> f64 {
        let reported = self.report.as_ref().map_or(0.0, |snapshot| {
            let drained = now.since(snapshot.measured_at).as_secs_f64() * self.prefill_rate(params);
            (snapshot.others.prefill_tokens as f64 - drained).max(0.0)
        });
        let others = (self.peers.prefill_tokens as f64).max(reported);
        let all = self.own.prefill_tokens as f64 + others;
        if class != WorkClass::Interactive {
            return all;
        }
        let known = (self.own.prefill_tokens + self.peers.prefill_tokens) as f64;
        let urgent = (self.own.urgent_prefill_tokens + self.peers.urgent_prefill_tokens) as f64;
        if known > 0.0 { all * (urgent / known) } else { all }
    }

    /// Expected wait for a free slot, in seconds.
    pub(super) fn slot_wait_s(&self, class: WorkClass, params: &RouteParams) -> f64 {
        let slots = self.slots(params).max(1);
        let in_flight = self.in_flight();
        if in_flight < slots {
            return 0.0;
        }
        let ahead = match class {
            WorkClass::Interactive => 1,
            _ => in_flight - slots + 1,
        };
        f64::from(ahead) * self.residence_s / f64::from(slots)
    }

    /// Time since the last progress of this instance's requests there; zero if none is in flight.
    pub fn silence(&self, now: MonoTime) -> Duration {
        match self.own.requests {
            0 => Duration::ZERO,
            _ => now.since(self.last_progress),
        }
    }

    /// Average ratio of the actual to the expected time to the first token; decays to 1 with age.
    pub(super) fn latency_ratio(&self, now: MonoTime) -> f64 {
        let age = now.since(self.latency_ratio_updated).as_secs_f64();
        1.0 + (self.latency_ratio - 1.0) * 0.5f64.powf(age / LATENCY_RATIO_HALF_LIFE_S)
    }

    /// Records a sent request.
    pub(super) fn on_sent(&mut self, work: WorkTotals, now: MonoTime) {
        if self.own.requests == 0 {
            self.last_progress = now;
        }
        self.own.add(work);
        self.health.on_sent(now);
    }

    /// Records progress of any request.
    pub(super) fn on_progress(&mut self, now: MonoTime) {
        self.last_progress = now;
    }

    /// Records the actual and the expected time to a first token.
    pub(super) fn on_first_token(&mut self, elapsed: Duration, expected: Duration, now: MonoTime) {
        // Added to both times: ratios between times of a few milliseconds are noise.
        const FLOOR_S: f64 = 0.05;
        let ratio = (elapsed.as_secs_f64() + FLOOR_S) / (expected.as_secs_f64() + FLOOR_S);
        let (low, high) = LATENCY_RATIO_BOUNDS;
        let faded = self.latency_ratio(now);
        self.latency_ratio = faded + SAMPLE_WEIGHT * (ratio.clamp(low, high) - faded);
        self.latency_ratio_updated = now;
        self.last_progress = now;
    }

    /// Records the total time of an answered request.
    pub(super) fn on_answered(&mut self, elapsed: Duration, now: MonoTime) {
        self.residence_s += SAMPLE_WEIGHT * (elapsed.as_secs_f64() - self.residence_s);
        self.last_progress = now;
    }

    /// True if the upstream is a model engine.
    pub(super) fn is_engine(&self) -> bool {
        self.info.kind == UpstreamKind::Engine
    }
}
