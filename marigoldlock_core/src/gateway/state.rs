//! Load and health of one upstream, as one instance knows them.

use std::hash::Hasher;
use std::time::Duration;

use marigoldlock_wire::prelude::*;
use rustc_hash::FxHasher;
use serde::{Deserialize, Serialize};

use crate::time::MonoTime;

use super::adapter::LoadReport;
use super::pace::{LimitStatement, PaceTurn, StatedLimit};
use super::prefix::PrefixSet;
use super::speed::{SlownessFactor, SpeedBaseline, UpstreamSpeed};

/// Consecutive failures after which an upstream is ejected.
const FAILURES_TO_EJECT: u32 = 2;

/// Duration of the first ejection; doubles with each further failure.
const BASE_EJECTION_TIME: Duration = Duration::from_millis(500);

/// Longest duration of an ejection.
const MAX_EJECTION_TIME: Duration = Duration::from_secs(4);

/// Age after which a load report is ignored.
const MAX_REPORT_AGE: Duration = Duration::from_millis(400);

/// Duration of the first backoff after an upstream reported that it is full: about as long as a few of its
/// shortest requests take. Doubles while the upstream rejects all requests that follow a backoff, as an engine
/// does while it changes its role.
const BASE_FULL_BACKOFF: Duration = Duration::from_millis(100);

/// Longest backoff from a full upstream: about half of the time that a role change takes.
const MAX_FULL_BACKOFF: Duration = Duration::from_millis(1_600);

/// Other instances that must report an upstream as unreachable before this one stops using it: a single one
/// may have lost its own network links.
const MIN_UNREACHABLE_REPORTS: u32 = 2;

/// Time after a successful response during which other instances' reports that the upstream is unreachable
/// are ignored.
const SUCCESS_LIFETIME: Duration = Duration::from_millis(1_000);

/// Hash of an upstream's id, used in heartbeats to save space. A collision only makes load estimates less
/// exact.
#[derive(Clone, Copy, Debug, Deserialize, Eq, Hash, Ord, PartialEq, PartialOrd, Serialize)]
pub struct UpstreamKey(u32);

impl From<&UpstreamId> for UpstreamKey {
    fn from(id: &UpstreamId) -> Self {
        let mut hasher = FxHasher::default();
        hasher.write(id.as_str().as_bytes());
        let hash = hasher.finish();
        Self((hash ^ (hash >> 32)) as u32)
    }
}

impl UpstreamKey {
    /// Index below `count` that is the same on all instances.
    pub fn index(self, count: usize) -> usize {
        self.0 as usize % count.max(1)
    }
}

/// Work that one or more instances have at an upstream.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub struct WorkInFlight {
    /// Number of requests.
    pub requests: u32,
    /// Prompt tokens sent to the upstream whose prefill has not finished.
    pub prefill_tokens: u64,
    /// Prompt tokens of requests that are queued here and not yet sent to the upstream.
    pub waiting_tokens: u64,
}

/// Load and health of one upstream.
#[derive(Clone, Debug, Default)]
pub struct UpstreamState {
    /// This instance's work at the upstream.
    pub own: WorkInFlight,
    /// Other instances' work at the upstream, from their heartbeats.
    pub peers: WorkInFlight,
    /// Number of other instances that report the upstream as unreachable.
    pub unreachable_reports: u32,
    /// Prompt parts that are probably in the upstream's cache.
    pub prefix: PrefixSet,
    report: Option<(LoadReport, MonoTime)>,
    speed: UpstreamSpeed,
    limit: Option<StatedLimit>,
    /// End of the time for which the upstream wants no requests.
    closed_until: MonoTime,
    failures: u32,
    ejected_until: MonoTime,
    full_until: MonoTime,
    /// Consecutive backoffs without a successful response in between.
    full_backoffs: u32,
    unreachable: bool,
    last_success_at: Option<MonoTime>,
}

impl UpstreamState {
    /// State of an upstream that has just started; other instances may already have work there.
    pub fn with_peer_work(peers: WorkInFlight) -> Self {
        Self {
            peers,
            ..Self::default()
        }
    }

    /// Records a load report.
    pub fn record_report(&mut self, report: LoadReport, now: MonoTime) {
        self.report = Some((report, now));
        if let Some(percent) = report.slowdown {
            self.speed.record_report(percent, now);
        }
    }

    /// Records that work of the given amount took `elapsed` at the upstream. Only upstreams that report a slowdown are
    /// measured: with few upstreams in a data centre, a change that all have in common looks like a difference.
    pub fn record_time(&mut self, work: u64, elapsed: Duration, baseline: &mut SpeedBaseline, now: MonoTime) {
        if self.speed.has_reports() {
            self.speed.record_time(work, elapsed, baseline, now);
        }
    }

    /// How long work takes at the upstream, relative to the others of its service.
    pub fn slowness(&self, now: MonoTime) -> SlownessFactor {
        self.speed.slowness(now)
    }

    /// Records what a response says of the upstream's rate limit; returns true if the limit changed.
    pub fn record_limit(&mut self, statement: &LimitStatement) -> bool {
        let before = self.rate_limit();
        self.limit = StatedLimit::update(self.limit, statement);
        before != self.rate_limit()
    }

    /// Records that the upstream wants no requests from this instance for a time.
    pub fn record_retry_after(&mut self, after: Duration, now: MonoTime) {
        self.closed_until = self.closed_until.max(now + after);
    }

    /// Time until the upstream takes a request from this instance, by what it has stated itself; zero if it takes one
    /// now. `turn` is the instance's turn if any upstream states a rate limit.
    pub fn send_wait(&self, now: MonoTime, turn: Option<&PaceTurn>) -> Duration {
        let limit_wait = self.limit.zip(turn).map(|(limit, turn)| limit.wait(turn));
        self.closed_until.since(now).max(limit_wait.unwrap_or_default())
    }

    /// Counts a request against the upstream's rate limit; returns false if the limit doesn't allow it now.
    pub fn start_request(&mut self, turn: &PaceTurn) -> bool {
        self.limit.as_mut().is_none_or(|limit| limit.use_grant(turn))
    }

    /// Requests per second that the upstream takes from all instances together, if it states a limit.
    pub fn rate_limit(&self) -> Option<f64> {
        self.limit.map(|limit| limit.rate())
    }

    /// Records a complete response.
    pub fn record_success(&mut self, now: MonoTime) {
        self.failures = 0;
        self.ejected_until = MonoTime::ZERO;
        self.full_backoffs = 0;
        self.unreachable = false;
        self.last_success_at = Some(now);
    }

    /// Records a failed attempt; returns true if the upstream is ejected.
    pub fn record_failure(&mut self, now: MonoTime) -> bool {
        self.failures = self.failures.saturating_add(1);
        if self.failures < FAILURES_TO_EJECT {
            return false;
        }
        let doublings = (self.failures - FAILURES_TO_EJECT).min(4);
        self.ejected_until = now + MAX_EJECTION_TIME.min(BASE_EJECTION_TIME * 2_u32.pow(doublings));
        true
    }

    /// Records that the address does not respond or belongs to another upstream. The upstream is ejected at
    /// once, so this returns true.
    pub fn record_unreachable(&mut self, now: MonoTime) -> bool {
        self.failures = self.failures.max(FAILURES_TO_EJECT - 1);
        self.unreachable = true;
        self.record_failure(now)
    }

    /// True while the upstream is ejected because its address does not respond.
    pub fn is_unreachable(&self, now: MonoTime) -> bool {
        self.unreachable && self.ejected_until > now
    }

    /// Records that the upstream was full. Rejections during a backoff are ignored: those requests were sent
    /// before the backoff began.
    pub fn record_full(&mut self, now: MonoTime) {
        if now < self.full_until {
            return;
        }
        let backoff = BASE_FULL_BACKOFF * 2_u32.pow(self.full_backoffs.min(4));
        self.full_backoffs += 1;
        self.full_until = now + backoff.min(MAX_FULL_BACKOFF);
    }

    /// True if requests may be sent to the upstream.
    pub fn is_usable(&self, now: MonoTime) -> bool {
        let is_unreachable_for_others = self.unreachable_reports >= MIN_UNREACHABLE_REPORTS
            && self
                .last_success_at
                .is_none_or(|at| now.since(at) > SUCCESS_LIFETIME);
        self.ejected_until <= now && self.full_until <= now && !is_unreachable_for_others
    }

    /// True if attempts have failed since the last success.
    pub fn is_suspect(&self) -> bool {
        self.failures > 0
    }

    /// Requests that run or wait at the upstream: those known to be in flight, or the number in a recent load
    /// report if that is higher.
    pub fn requests(&self, now: MonoTime) -> u32 {
        self.highest_requests(now, MAX_REPORT_AGE)
    }

    /// The same with a load report that is younger than `max_age`.
    pub fn highest_requests(&self, now: MonoTime, max_age: Duration) -> u32 {
        let in_flight = self.own.requests + self.peers.requests;
        match self.report {
            Some((report, at)) if now.since(at) < max_age => in_flight.max(report.running + report.waiting),
            _ => in_flight,
        }
    }

    /// Prompt tokens whose prefill has not finished, including those of requests not yet sent.
    pub fn prefill_backlog_tokens(&self) -> u64 {
        self.own.prefill_tokens
            + self.own.waiting_tokens
            + self.peers.prefill_tokens
            + self.peers.waiting_tokens
    }
}
