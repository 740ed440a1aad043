//! What an instance knows of one upstream's load and health.

use std::time::Duration;

use crate::time::MonoTime;

use super::border::LoadReport;
use super::prefix::PrefixSet;

/// Failures in a row after which an upstream is set aside.
const FAILURES_TO_EJECT: u32 = 2;

/// First time for which a failing upstream is set aside; doubles with each further failure.
const EJECT_BASE: Duration = Duration::from_millis(500);

/// Longest time for which a failing upstream is set aside.
const EJECT_MOST: Duration = Duration::from_secs(4);

/// Age after which a load report tells nothing of the present.
const REPORT_LIFETIME: Duration = Duration::from_millis(400);

/// Time for which an upstream that was full is avoided: a few of its shortest requests.
const FULL_PAUSE: Duration = Duration::from_millis(100);

/// Work that is at an upstream.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub struct WorkInFlight {
    /// Requests.
    pub requests: u32,
    /// Prompt tokens that are still to be read there.
    pub reading_tokens: u64,
    /// Prompt tokens of requests that wait to be sent there.
    pub waiting_tokens: u64,
}

/// Load and health of one upstream.
#[derive(Clone, Debug, Default)]
pub struct UpstreamState {
    /// Work that this instance has there.
    pub own: WorkInFlight,
    /// Work that other instances have there, by their heartbeats.
    pub peers: WorkInFlight,
    /// Prompt parts that it probably keeps.
    pub prefix: PrefixSet,
    report: Option<(LoadReport, MonoTime)>,
    failures: u32,
    ejected_until: MonoTime,
    full_until: MonoTime,
}

impl UpstreamState {
    /// State of a new start of an upstream; other instances may have work there already.
    pub fn starting_with(peers: WorkInFlight) -> Self {
        Self {
            peers,
            ..Self::default()
        }
    }

    /// Notes a load report.
    pub fn record_report(&mut self, report: LoadReport, now: MonoTime) {
        self.report = Some((report, now));
    }

    /// Notes a whole answer.
    pub fn record_success(&mut self) {
        self.failures = 0;
        self.ejected_until = MonoTime::ZERO;
    }

    /// Notes a failed attempt; returns true if the upstream is set aside by it.
    pub fn record_failure(&mut self, now: MonoTime) -> bool {
        self.failures = self.failures.saturating_add(1);
        if self.failures < FAILURES_TO_EJECT {
            return false;
        }
        let doublings = (self.failures - FAILURES_TO_EJECT).min(4);
        self.ejected_until = now + EJECT_MOST.min(EJECT_BASE * 2_u32.pow(doublings));
        true
    }

    /// Notes that nobody answers at the upstream's address, or another upstream; it is set aside at once.
    pub fn record_unreachable(&mut self, now: MonoTime) -> bool {
        self.failures = self.failures.max(FAILURES_TO_EJECT - 1);
        self.record_failure(now)
    }

    /// Notes that the upstream had no room.
    pub fn record_full(&mut self, now: MonoTime) {
        self.full_until = now + FULL_PAUSE;
    }

    /// True if the upstream gets work.
    pub fn is_usable(&self, now: MonoTime) -> bool {
        self.ejected_until <= now && self.full_until <= now
    }

    /// True if the last attempts failed.
    pub fn is_suspect(&self) -> bool {
        self.failures > 0
    }

    /// Requests that run or wait there: what is known to be in flight, or a fresh report of more.
    pub fn requests(&self, now: MonoTime) -> u32 {
        let known = self.own.requests + self.peers.requests;
        match self.report {
            Some((report, at)) if now.since(at) < REPORT_LIFETIME => {
                known.max(report.running + report.waiting)
            }
            _ => known,
        }
    }

    /// Prompt tokens that are still to be read there, with those of requests that wait to be sent.
    pub fn reading_tokens(&self) -> u64 {
        self.own.reading_tokens
            + self.own.waiting_tokens
            + self.peers.reading_tokens
            + self.peers.waiting_tokens
    }
}
