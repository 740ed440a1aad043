//! How long an instance may serve with settings that it can't refresh.
//!
//! A withdrawn key works at an instance until the instance learns of the withdrawal. The settings of an
//! instance are known to be fresh after it has read the log up to its head, or after a peer with no newer
//! settings has reported that it did so recently. Without either, the instance continues to serve for a
//! limited time:
//!
//! - **Cut off** ([`FreshnessRule::cut_off`], 5 s by default): the other instances may have newer settings.
//!   If this instance stops, the others can serve its callers; if it continued, a withdrawn key would work
//!   for as long as the network partition lasts.
//! - **Confirmed outage** ([`FreshnessRule::outage`], 2 h by default): more than half of the instances on the
//!   platform's list, including this one, can't read the log, and none reports that it can. An instance counts
//!   as unable to read after half the limit for a cut-off instance without an answer ([`OwnLog`] for itself, the
//!   age of their evidence for the others), so that the outage is confirmed before that limit passes.
//!   No withdrawal can be published through the log then, and stopping would stop the whole fleet. The cost:
//!   a withdrawal that was appended just before the outage and not read by any instance, or that was appended
//!   to a log that only these instances can't reach, takes effect at the latest when this limit has passed.
//!
//! An instance that starts during an outage serves only once it holds the newest version of any visible
//! instance; it adopts their evidence with its age.
//!
//! More than half is required because in a partition that separates some instances from the log, each of them
//! confirms the outage to the others.

use std::time::Duration;

use crate::prelude::*;
use crate::settings::FreshnessSettings;

/// Decision whether an instance may serve with its current settings.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum FreshnessVerdict {
    /// The settings may be used.
    Serve,
    /// New requests are refused with this code.
    Refuse(ResultCode),
}

/// Evidence of when the settings of an instance were last known to be the newest.
///
/// Stored as a time of the local clock and the age of the evidence at that time, because the evidence of a
/// peer may be older than the start of the local clock.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub struct SettingsEvidence {
    newest: Option<(MonoTime, Duration)>,
}

impl SettingsEvidence {
    /// Records a log read that reached the head and whose records are all applied; `sent_at` is when the read
    /// request was sent.
    pub fn record_log_read(&mut self, sent_at: MonoTime) {
        self.record(sent_at, Duration::ZERO);
    }

    /// Records a peer's answer to a request sent at `sent_at`: its settings version and the age of its
    /// evidence. The answer counts only if this instance has applied all changes up to that version.
    pub fn record_peer(
        &mut self,
        sent_at: MonoTime,
        peer_age: Duration,
        peer_version: LogPosition,
        own_version: LogPosition,
    ) {
        if own_version >= peer_version {
            self.record(sent_at, peer_age);
        }
    }

    /// Age of the evidence; `None` if there has never been any.
    pub fn age(&self, now: MonoTime) -> Option<Duration> {
        self.newest
            .map(|(recorded_at, age)| now.since(recorded_at).saturating_add(age))
    }

    fn record(&mut self, sent_at: MonoTime, age: Duration) {
        let newer = self.newest.is_none_or(|(recorded_at, recorded_age)| {
            // Compares `sent_at - age` with `recorded_at - recorded_age` without underflow below the start of
            // the clock.
            sent_at.as_duration().saturating_add(recorded_age) > recorded_at.as_duration().saturating_add(age)
        });
        if newer {
            self.newest = Some((sent_at, age));
        }
    }
}

/// What the instances report about the log.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub struct OutageView {
    /// Entry instances on the platform's list, including this one.
    pub listed: usize,
    /// Visible instances, including this one, that can't read the log.
    pub confirming: usize,
    /// Visible instances that can read the log.
    pub denying: usize,
    /// True while a visible instance has newer settings than this one.
    pub behind: bool,
}

impl OutageView {
    /// Counts the visible peers by the age of their evidence; this instance is added by [`Self::with_own`].
    pub fn of_peers(listed: usize, ages: &[Duration], rule: &FreshnessRule) -> Self {
        let confirming = ages.iter().filter(|age| **age >= rule.down_after()).count();
        Self {
            listed,
            confirming,
            denying: ages.len() - confirming,
            behind: false,
        }
    }

    /// Adds this instance to the counts.
    pub fn with_own(self, is_down: bool) -> Self {
        Self {
            confirming: self.confirming + usize::from(is_down),
            denying: self.denying + usize::from(!is_down),
            ..self
        }
    }

    /// Returns true if the outage of the log is confirmed and no instance is known to have newer settings.
    pub fn is_confirmed(&self) -> bool {
        self.denying == 0 && !self.behind && self.confirming * 2 > self.listed
    }
}

/// Whether this instance itself can read the log.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub struct OwnLog {
    /// True if the last read failed.
    pub is_failing: bool,
    answered: Option<MonoTime>,
}

impl OwnLog {
    /// Records an answer of the log, or of a peer that had one; `at` is when the log was asked.
    pub fn record_answer(&mut self, at: MonoTime) {
        self.is_failing = false;
        self.answered = self.answered.max(Some(at));
    }

    /// Records a failed read.
    pub fn record_failure(&mut self) {
        self.is_failing = true;
    }

    /// Returns true if the instance counts as unable to read the log.
    ///
    /// A read that is still unanswered counts like a failed one: it may fail only after the limit for a cut-off
    /// instance.
    pub fn is_down(&self, now: MonoTime, rule: &FreshnessRule) -> bool {
        let is_unanswered = |at| now.since(at) >= rule.down_after();
        self.is_failing || self.answered.is_none_or(is_unanswered)
    }
}

/// Limits on the age of the evidence.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct FreshnessRule {
    /// Limit for an instance that is cut off.
    pub cut_off: Duration,
    /// Limit during a confirmed outage of the log.
    pub outage: Duration,
}

impl Default for FreshnessRule {
    fn default() -> Self {
        Self::from(FreshnessSettings::default())
    }
}

impl From<FreshnessSettings> for FreshnessRule {
    fn from(settings: FreshnessSettings) -> Self {
        Self {
            cut_off: Duration::from_millis(settings.cut_off_ms),
            outage: Duration::from_millis(settings.outage_ms),
        }
    }
}

impl FreshnessRule {
    /// Time without an answer of the log after which an instance counts as unable to read it.
    ///
    /// The other half of the limit is left for the instances to hear of it.
    pub fn down_after(&self) -> Duration {
        self.cut_off / 2
    }

    /// Decides whether an instance may serve at `now`.
    pub fn verdict(&self, now: MonoTime, evidence: &SettingsEvidence, view: &OutageView) -> FreshnessVerdict {
        let Some(age) = evidence.age(now) else {
            return FreshnessVerdict::Refuse(ResultCode::NotReady);
        };
        let limit = if view.is_confirmed() {
            self.outage
        } else {
            self.cut_off
        };
        if age <= limit {
            FreshnessVerdict::Serve
        } else {
            FreshnessVerdict::Refuse(ResultCode::SettingsStale)
        }
    }
}
