//! Health of an upstream as seen from this instance.
//!
//! Failures in a row eject an upstream for a while; after that it is on probation and gets one request at a
//! time until one is answered. The table bounds how many of a service may be ejected at once, so that a fault
//! of our own, or of the network between, never condemns them all.

use crate::prelude::*;

use super::types::RouteParams;

/// State of the ejection.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub(super) enum Standing {
    /// Gets work as usual.
    #[default]
    Good,
    /// Gets no work until the given time.
    Ejected {
        /// End of the ejection.
        until: MonoTime,
    },
    /// Gets one request at a time.
    Probation {
        /// True while that request is in flight.
        trying: bool,
    },
}

/// Failures and standing of one upstream.
#[derive(Clone, Copy, Debug, Default)]
pub(super) struct HealthState {
    pub(super) standing: Standing,
    failures: u32,
    ejections: u32,
}

impl HealthState {
    /// True while the upstream counts as ejected.
    pub(super) fn is_ejected(&self) -> bool {
        matches!(self.standing, Standing::Ejected { .. })
    }

    /// True if a new request may go there.
    pub(super) fn takes_work(&self, now: MonoTime) -> bool {
        match self.standing {
            Standing::Good => true,
            Standing::Ejected { until } => now >= until,
            Standing::Probation { trying } => !trying,
        }
    }

    /// True if a request would go there on trial.
    pub(super) fn on_trial(&self) -> bool {
        self.standing != Standing::Good
    }

    /// Notes a request sent there.
    pub(super) fn on_sent(&mut self, now: MonoTime) {
        if self.takes_work(now) && self.on_trial() {
            self.standing = Standing::Probation { trying: true };
        }
    }

    /// Notes an answer.
    pub(super) fn on_success(&mut self) {
        self.failures = 0;
        self.standing = Standing::Good;
        self.ejections = self.ejections.saturating_sub(1);
    }

    /// Notes an attempt that says nothing of the upstream's health.
    pub(super) fn on_neutral(&mut self) {
        if let Standing::Probation { trying } = &mut self.standing {
            *trying = false;
        }
    }

    /// Notes a failure; `may_eject` is false when too many are ejected already.
    pub(super) fn on_failure(&mut self, may_eject: bool, params: &RouteParams, now: MonoTime) {
        self.failures += 1;
        if self.is_ejected() {
            return;
        }
        let relapsed = matches!(self.standing, Standing::Probation { .. });
        if !relapsed && self.failures < params.failures_to_eject {
            return;
        }
        if !may_eject {
            self.standing = Standing::Good;
            return;
        }
        let doubled = params.first_ejection * 2u32.saturating_pow(self.ejections.min(16));
        let until = now + doubled.min(params.longest_ejection);
        self.ejections += 1;
        self.standing = Standing::Ejected { until };
    }

    /// Failures since the last success.
    pub(super) fn failures(&self) -> u32 {
        self.failures
    }
}
