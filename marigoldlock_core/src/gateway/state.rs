//! What an instance knows of one upstream's load and health.

use std::hash::Hasher;
use std::time::Duration;

use marigoldlock_wire::prelude::*;
use rustc_hash::FxHasher;
use serde::{Deserialize, Serialize};

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

/// First time for which an upstream that was full is avoided: a few of its shortest requests. Doubles while it turns
/// away whatever comes after the pause, as an engine does that changes its role.
const FULL_PAUSE: Duration = Duration::from_millis(100);

/// Longest time for which an upstream that was full is avoided: about half of a change of role.
const FULL_MOST: Duration = Duration::from_millis(1_600);

/// Other instances that must find an upstream unreachable before this one believes it: one alone may have lost its
/// own links.
const UNREACHABLE_WITNESSES: u32 = 2;

/// Time since an upstream's last answer in which what others find unreachable is still used.
const ANSWERED_LATELY: Duration = Duration::from_millis(1_000);

/// Short name of an upstream in heartbeats. Two upstreams with the same key only blur estimates of load.
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
    /// Other instances that find nobody at its address.
    pub witnesses: u32,
    /// Prompt parts that it probably keeps.
    pub prefix: PrefixSet,
    report: Option<(LoadReport, MonoTime)>,
    failures: u32,
    ejected_until: MonoTime,
    full_until: MonoTime,
    /// Pauses in a row, without an answer between them.
    full_pauses: u32,
    unreachable: bool,
    answered_at: Option<MonoTime>,
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
    pub fn record_success(&mut self, now: MonoTime) {
        self.failures = 0;
        self.ejected_until = MonoTime::ZERO;
        self.full_pauses = 0;
        self.unreachable = false;
        self.answered_at = Some(now);
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
        self.unreachable = true;
        self.record_failure(now)
    }

    /// True while the upstream is set aside since nobody answers at its address.
    pub fn is_unreachable(&self, now: MonoTime) -> bool {
        self.unreachable && self.ejected_until > now
    }

    /// Notes that the upstream had no room; what was sent before the last pause began says nothing new.
    pub fn record_full(&mut self, now: MonoTime) {
        if now < self.full_until {
            return;
        }
        let pause = FULL_PAUSE * 2_u32.pow(self.full_pauses.min(4));
        self.full_pauses += 1;
        self.full_until = now + pause.min(FULL_MOST);
    }

    /// True if the upstream gets work.
    pub fn is_usable(&self, now: MonoTime) -> bool {
        let is_missed_by_others = self.witnesses >= UNREACHABLE_WITNESSES
            && self.answered_at.is_none_or(|at| now.since(at) > ANSWERED_LATELY);
        self.ejected_until <= now && self.full_until <= now && !is_missed_by_others
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
