//! Reading the settings in force.

use std::sync::Arc;
use std::time::Duration;

use marigoldlock_core::keys::{FreshnessRule, FreshnessVerdict, OutageView, SettingsEvidence};
use marigoldlock_core::settings::ActiveSettings;
use marigoldlock_core::time::MonoTime;
use tokio::sync::watch;

/// Settings in force and how far they may be trusted.
#[derive(Clone, Debug, Default)]
pub struct SettingsState {
    /// The settings.
    pub active: Arc<ActiveSettings>,
    /// When they were last known to be the newest.
    pub evidence: SettingsEvidence,
    /// What the instances say about the log.
    pub view: OutageView,
    /// True if the last read of the log failed.
    pub log_failing: bool,
}

impl SettingsState {
    /// Whether requests may be served with these settings.
    pub fn verdict(&self, now: MonoTime) -> FreshnessVerdict {
        let rule = FreshnessRule::from(self.active.fleet().freshness);
        rule.verdict(now, &self.evidence, &self.view)
    }

    /// Age of the evidence.
    pub fn age(&self, now: MonoTime) -> Option<Duration> {
        self.evidence.age(now)
    }
}

/// Reader of the settings state.
#[derive(Clone, Debug)]
pub struct SettingsHandle {
    state: watch::Receiver<SettingsState>,
}

impl SettingsHandle {
    /// A reader of the channel.
    pub fn new(state: watch::Receiver<SettingsState>) -> Self {
        Self { state }
    }

    /// The settings in force.
    pub fn active(&self) -> Arc<ActiveSettings> {
        Arc::clone(&self.state.borrow().active)
    }

    /// Whether requests may be served now.
    pub fn verdict(&self, now: MonoTime) -> FreshnessVerdict {
        self.state.borrow().verdict(now)
    }

    /// The whole state.
    pub fn state(&self) -> SettingsState {
        self.state.borrow().clone()
    }

    /// Waits until the state meets a condition; false if the actor ended first.
    pub async fn wait_for(&self, condition: impl FnMut(&SettingsState) -> bool) -> bool {
        self.state.clone().wait_for(condition).await.is_ok()
    }
}
