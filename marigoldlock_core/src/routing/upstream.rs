//! What is known of one upstream.

use std::time::Duration;

use marigoldlock_wire::engine::{EngineRole, LoadReport};

use crate::prelude::*;

use super::cache::PrefixCache;
use super::health::HealthState;
use super::types::{RouteParams, UpstreamFacts, UpstreamKind, WorkClass};

/// Weight of a new sample in the moving averages.
const SAMPLE_WEIGHT: f64 = 0.2;

/// Bounds of the ratio of the measured to the expected time to the first token.
const BIAS_BOUNDS: (f64, f64) = (0.5, 8.0);

/// Time in which half of a bias is forgotten, in seconds.
const BIAS_HALF_LIFE_S: f64 = 20.0;

/// Residence time assumed before one was measured, in seconds.
const FIRST_RESIDENCE_S: f64 = 4.0;

/// Prefill tokens and requests, in all and of interactive work only.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub(super) struct WorkSum {
    pub(super) requests: u32,
    pub(super) prefill: u64,
    pub(super) urgent: u64,
}

impl WorkSum {
    pub(super) fn add(&mut self, other: Self) {
        self.requests += other.requests;
        self.prefill += other.prefill;
        self.urgent += other.urgent;
    }

    pub(super) fn subtract(&mut self, other: Self) {
        self.requests = self.requests.saturating_sub(other.requests);
        self.prefill = self.prefill.saturating_sub(other.prefill);
        self.urgent = self.urgent.saturating_sub(other.urgent);
    }
}

/// Last load report and our own work at that time.
#[derive(Clone, Debug)]
pub(super) struct ReportHint {
    pub(super) incarnation: Incarnation,
    pub(super) sequence: u64,
    pub(super) taken: MonoTime,
    pub(super) role: EngineRole,
    pub(super) changing: bool,
    requests: u32,
    backlog: u64,
    prefill_rate: f64,
    decode_rate: f64,
    slots: u32,
    others: WorkSum,
}

/// What is known of one upstream.
#[derive(Clone, Debug)]
pub struct UpstreamState {
    pub(super) facts: UpstreamFacts,
    pub(super) leaving: bool,
    pub(super) report: Option<ReportHint>,
    pub(super) own: WorkSum,
    pub(super) peers: WorkSum,
    pub(super) health: HealthState,
    pub(super) cache: PrefixCache,
    last_progress: MonoTime,
    residence_s: f64,
    bias: f64,
    bias_set: MonoTime,
}

impl UpstreamState {
    pub(super) fn new(facts: UpstreamFacts) -> Self {
        Self {
            facts,
            leaving: false,
            report: None,
            own: WorkSum::default(),
            peers: WorkSum::default(),
            health: HealthState::default(),
            cache: PrefixCache::default(),
            last_progress: MonoTime::ZERO,
            residence_s: FIRST_RESIDENCE_S,
            bias: 1.0,
            bias_set: MonoTime::ZERO,
        }
    }

    /// Facts from the platform's list.
    pub fn facts(&self) -> &UpstreamFacts {
        &self.facts
    }

    /// Role, as last reported.
    pub fn role(&self) -> EngineRole {
        self.report.as_ref().map_or(EngineRole::Mixed, |hint| hint.role)
    }

    /// True while a role or model change takes it away.
    pub fn is_changing(&self) -> bool {
        self.report.as_ref().is_some_and(|hint| hint.changing)
    }

    /// True once it is about to be taken away.
    pub fn is_leaving(&self) -> bool {
        self.leaving
    }

    /// Requests that this instance has in flight there.
    pub fn own_requests(&self) -> u32 {
        self.own.requests
    }

    /// Age of the last report's figures.
    pub fn report_age(&self, now: MonoTime) -> Option<Duration> {
        self.report.as_ref().map(|hint| now.since(hint.taken))
    }

    /// Prefixes believed to be cached.
    pub fn cached_prefixes(&self) -> usize {
        self.cache.len()
    }

    /// Slots, as last reported.
    pub fn slots(&self, params: &RouteParams) -> u32 {
        match &self.report {
            Some(hint) if hint.slots > 0 => hint.slots,
            _ => params.default_slots,
        }
    }

    /// Takes in a load report; false if an earlier or the same one.
    pub(super) fn on_load(&mut self, report: &LoadReport, now: MonoTime) -> bool {
        if let Some(hint) = &self.report {
            let same_start = hint.incarnation == report.incarnation;
            if same_start && report.sequence <= hint.sequence {
                return false;
            }
        }
        let total = report.running + report.queued;
        let others = WorkSum {
            requests: total.saturating_sub(self.own.requests),
            prefill: report.prefill_backlog_tokens.saturating_sub(self.own.prefill),
            urgent: 0,
        };
        self.report = Some(ReportHint {
            incarnation: report.incarnation,
            sequence: report.sequence,
            taken: now - Duration::from_millis(report.age_ms),
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
            Some(hint) if hint.prefill_rate > 0.0 => hint.prefill_rate,
            _ => params.default_prefill_tokens_per_s,
        }
    }

    /// Speed of one stream in tokens per second, if reported.
    pub(super) fn decode_rate(&self) -> Option<f64> {
        self.report
            .as_ref()
            .map(|hint| hint.decode_rate)
            .filter(|rate| *rate > 0.0)
    }

    /// Requests in flight there, of all instances.
    pub fn in_flight(&self) -> u32 {
        let others = self.report.as_ref().map_or(0, |hint| hint.others.requests);
        self.own.requests + self.peers.requests.max(others)
    }

    /// Requests as the last report alone shows them.
    pub(super) fn reported_requests(&self) -> u32 {
        self.report.as_ref().map_or(0, |hint| hint.requests)
    }

    /// Prefill tokens as the last report alone shows them.
    pub fn reported_backlog(&self) -> u64 {
        self.report.as_ref().map_or(0, |hint| hint.backlog)
    }

    /// Prefill tokens that stand before a new request of `class`.
    pub(super) fn backlog(&self, class: WorkClass, params: &RouteParams, now: MonoTime) -> f64 {
        let reported = self.report.as_ref().map_or(0.0, |hint| {
            let drained = now.since(hint.taken).as_secs_f64() * self.prefill_rate(params);
            (hint.others.prefill as f64 - drained).max(0.0)
        });
        let others = (self.peers.prefill as f64).max(reported);
        let all = self.own.prefill as f64 + others;
        if class != WorkClass::Interactive {
            return all;
        }
        let known = (self.own.prefill + self.peers.prefill) as f64;
        let urgent = (self.own.urgent + self.peers.urgent) as f64;
        if known > 0.0 { all * (urgent / known) } else { all }
    }

    /// Expected wait for a slot.
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

    /// Time since it last made progress, if it has work of ours in flight.
    pub fn silence(&self, now: MonoTime) -> Duration {
        match self.own.requests {
            0 => Duration::ZERO,
            _ => now.since(self.last_progress),
        }
    }

    /// Ratio of measured to expected time to the first token; old ones fade to 1.
    pub(super) fn bias(&self, now: MonoTime) -> f64 {
        let age = now.since(self.bias_set).as_secs_f64();
        1.0 + (self.bias - 1.0) * 0.5f64.powf(age / BIAS_HALF_LIFE_S)
    }

    /// Notes a request sent.
    pub(super) fn on_sent(&mut self, work: WorkSum, now: MonoTime) {
        if self.own.requests == 0 {
            self.last_progress = now;
        }
        self.own.add(work);
        self.health.on_sent(now);
    }

    /// Notes progress of any request.
    pub(super) fn on_progress(&mut self, now: MonoTime) {
        self.last_progress = now;
    }

    /// Notes the time that a first token took beside what was expected.
    pub(super) fn on_first_token(&mut self, took: Duration, expected: Duration, now: MonoTime) {
        // Ratios of a few milliseconds say nothing of the upstream.
        const FLOOR_S: f64 = 0.05;
        let ratio = (took.as_secs_f64() + FLOOR_S) / (expected.as_secs_f64() + FLOOR_S);
        let (low, high) = BIAS_BOUNDS;
        let faded = self.bias(now);
        self.bias = faded + SAMPLE_WEIGHT * (ratio.clamp(low, high) - faded);
        self.bias_set = now;
        self.last_progress = now;
    }

    /// Notes the whole time of an answered request.
    pub(super) fn on_answered(&mut self, took: Duration, now: MonoTime) {
        self.residence_s += SAMPLE_WEIGHT * (took.as_secs_f64() - self.residence_s);
        self.last_progress = now;
    }

    /// True for engines.
    pub(super) fn is_engine(&self) -> bool {
        self.facts.kind == UpstreamKind::Engine
    }
}
