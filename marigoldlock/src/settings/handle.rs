//! Reader of the settings in force.

use std::sync::Arc;
use std::time::Duration;

use marigoldlock_core::keys::{FreshnessRule, FreshnessVerdict, OutageView, OwnLog, SettingsEvidence};
use marigoldlock_core::settings::ActiveSettings;
use marigoldlock_core::time::MonoTime;
use tokio::sync::watch;

/// Settings in force and the evidence of how fresh they are.
#[derive(Clone, Debug, Default)]
pub struct SettingsState {
    /// The settings.
    pub active: Arc<ActiveSettings>,
    /// When the settings were last known to be the newest.
    pub evidence: SettingsEvidence,
    /// Reports of the visible peers about a log outage.
    pub peers: OutageView,
    /// Whether this instance can read the log.
    pub log: OwnLog,
}

impl SettingsState {
    /// Returns whether requests may be served with these settings.
    pub fn verdict(&self, now: MonoTime) -> FreshnessVerdict {
        let rule = FreshnessRule::from(self.active.fleet().freshness);
        let view = self.peers.with_own(self.log.is_down(now, &rule));
        rule.verdict(now, &self.evidence, &view)
    }

    /// Returns the age of the evidence, or `None` if there has never been any.
    pub fn age(&self, now: MonoTime) -> Option<Duration> {
        self.evidence.age(now)
    }
}

/// Reader of the settings state, shared by cloning.
#[derive(Clone, Debug)]
pub struct SettingsHandle {
    state: watch::Receiver<SettingsState>,
}

impl SettingsHandle {
    /// Creates a reader of the actor's channel.
    pub fn new(state: watch::Receiver<SettingsState>) -> Self {
        Self { state }
    }

    /// Returns the settings in force.
    pub fn active(&self) -> Arc<ActiveSettings> {
        Arc::clone(&self.state.borrow().active)
    }

    /// Returns whether requests may be served now.
    pub fn verdict(&self, now: MonoTime) -> FreshnessVerdict {
        self.state.borrow().verdict(now)
    }

    /// Returns a copy of the whole state.
    pub fn state(&self) -> SettingsState {
        self.state.borrow().clone()
    }

    /// Waits until the state meets a condition; returns false if the actor stopped first.
    pub async fn wait_for(&self, condition: impl FnMut(&SettingsState) -> bool) -> bool {
        self.state.clone().wait_for(condition).await.is_ok()
    }
}
