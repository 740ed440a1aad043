//! How long settings may be trusted without news.
//!
//! A withdrawn key works at an instance until the instance learns of it. An instance shows that its
//! settings are fresh by a read up to the log's head, or by a peer that has lately made one and holds no
//! newer settings. Without either it serves on for a bounded time:
//!
//! - **Cut off** ([`FreshnessRule::cut_off`], 5 s by default): the others may have newer settings. Stopping
//!   loses the work that callers bring to this instance, which the others can serve; going on would let a
//!   withdrawn key work as long as the partition lasts.
//! - **Confirmed outage** ([`FreshnessRule::outage`], 2 h by default): more than half of the instances on the
//!   platform's list, this one among them, say that the log does not answer, and none says that it does.
//!   Nobody can publish a withdrawal through the log then, and stopping would stop the whole fleet. What is lost:
//!   a withdrawal appended just before the outage and read by nobody, or appended through a log that only
//!   these instances can't reach, takes effect after this bound at the latest.
//!
//! An instance that starts in an outage serves only once it holds the newest version that any visible instance
//! has; their evidence, and its age, becomes its own.
//!
//! More than half is asked for because a partition that takes some instances away from the log makes each of
//! them confirm the outage to the others.

use std::time::Duration;

use crate::prelude::*;
use crate::settings::FreshnessSettings;

/// Whether an instance may serve with the settings that it has.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum FreshnessVerdict {
    /// The settings may be used.
    Serve,
    /// New requests are refused with the code.
    Refuse(ResultCode),
}

/// When the settings were last known to be the newest.
///
/// Kept as a point of the own clock and the age then: the evidence of a peer may be older than this machine.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub struct SettingsEvidence {
    newest: Option<(MonoTime, Duration)>,
}

impl SettingsEvidence {
    /// Notes a log read that ended at the head with everything folded; `sent_at` is when it was asked for.
    pub fn note_log_read(&mut self, sent_at: MonoTime) {
        self.note(sent_at, Duration::ZERO);
    }

    /// Notes a peer's answer to a request sent at `sent_at`: its settings version and the age of its own
    /// evidence. It counts only if this instance has folded up to that version.
    pub fn note_peer(
        &mut self,
        sent_at: MonoTime,
        peer_age: Duration,
        peer_version: LogPosition,
        own_version: LogPosition,
    ) {
        if own_version >= peer_version {
            self.note(sent_at, peer_age);
        }
    }

    /// Age of the evidence, `None` if there has never been any.
    pub fn age(&self, now: MonoTime) -> Option<Duration> {
        self.newest
            .map(|(noted_at, age)| now.since(noted_at).saturating_add(age))
    }

    fn note(&mut self, sent_at: MonoTime, age: Duration) {
        let newer = self.newest.is_none_or(|(noted_at, noted_age)| {
            // Compares `sent_at - age` with `noted_at - noted_age` without going below the clock's start.
            sent_at.as_duration().saturating_add(noted_age) > noted_at.as_duration().saturating_add(age)
        });
        if newer {
            self.newest = Some((sent_at, age));
        }
    }
}

/// What the instances say about the log.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub struct OutageView {
    /// Entry instances on the platform's list, this one among them.
    pub listed: usize,
    /// Visible instances, this one among them, that can't read the log.
    pub confirming: usize,
    /// Visible instances that can read the log.
    pub denying: usize,
    /// True while a visible instance holds newer settings than this one.
    pub behind: bool,
}

impl OutageView {
    /// True if the log is taken to be down for all, and nobody is known to hold newer settings.
    pub fn is_confirmed(&self) -> bool {
        self.denying == 0 && !self.behind && self.confirming * 2 > self.listed
    }
}

/// Bounds on the age of the evidence.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct FreshnessRule {
    /// Bound for an instance that is cut off.
    pub cut_off: Duration,
    /// Bound in a confirmed outage of the log.
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
    /// Decides whether an instance may serve at `now`.
    pub fn verdict(&self, now: MonoTime, evidence: &SettingsEvidence, view: &OutageView) -> FreshnessVerdict {
        let Some(age) = evidence.age(now) else {
            return FreshnessVerdict::Refuse(ResultCode::NotReady);
        };
        let bound = if view.is_confirmed() {
            self.outage
        } else {
            self.cut_off
        };
        if age <= bound {
            FreshnessVerdict::Serve
        } else {
            FreshnessVerdict::Refuse(ResultCode::SettingsStale)
        }
    }
}
