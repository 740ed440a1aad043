//! Health of an upstream as observed by this instance.
//!
//! Consecutive failures eject an upstream for some time. After that it is on probation and gets one request
//! at a time until one succeeds. The table limits how many upstreams of a service may be ejected at once, so
//! that a fault of this instance or of its network never ejects all of them.

use crate::prelude::*;

use super::types::RouteParams;

/// Ejection state of an upstream.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub(super) enum EjectionState {
    /// Receives requests normally.
    #[default]
    Healthy,
    /// Receives no requests until the given time.
    Ejected {
        /// End of the ejection.
        until: MonoTime,
    },
    /// Receives one request at a time, as a probe.
    Probation {
        /// True while the probe is in flight.
        probing: bool,
    },
}

/// Failure counts and ejection state of one upstream.
#[derive(Clone, Copy, Debug, Default)]
pub(super) struct HealthState {
    pub(super) ejection: EjectionState,
    failures: u32,
    ejections: u32,
}

impl HealthState {
    /// True if the upstream is ejected, or its ejection has ended but no request has been sent there since.
    pub(super) fn is_ejected(&self) -> bool {
        matches!(self.ejection, EjectionState::Ejected { .. })
    }

    /// True if a new request may be sent there.
    pub(super) fn accepts_requests(&self, now: MonoTime) -> bool {
        match self.ejection {
            EjectionState::Healthy => true,
            EjectionState::Ejected { until } => now >= until,
            EjectionState::Probation { probing } => !probing,
        }
    }

    /// True unless the upstream is healthy: the next request there is a probe.
    pub(super) fn needs_probe(&self) -> bool {
        self.ejection != EjectionState::Healthy
    }

    /// Handles a request sent there.
    pub(super) fn on_sent(&mut self, now: MonoTime) {
        if self.accepts_requests(now) && self.needs_probe() {
            self.ejection = EjectionState::Probation { probing: true };
        }
    }

    /// Handles a successful attempt.
    pub(super) fn on_success(&mut self) {
        self.failures = 0;
        self.ejection = EjectionState::Healthy;
        self.ejections = self.ejections.saturating_sub(1);
    }

    /// Handles the end of an attempt that is no evidence about the upstream's health.
    pub(super) fn on_neutral(&mut self) {
        if let EjectionState::Probation { probing } = &mut self.ejection {
            *probing = false;
        }
    }

    /// Handles a failed attempt; `may_eject` is false if too many upstreams are ejected already.
    pub(super) fn on_failure(&mut self, may_eject: bool, params: &RouteParams, now: MonoTime) {
        self.failures += 1;
        if self.is_ejected() {
            return;
        }
        let probe_failed = matches!(self.ejection, EjectionState::Probation { .. });
        if !probe_failed && self.failures < params.failures_to_eject {
            return;
        }
        if !may_eject {
            self.ejection = EjectionState::Healthy;
            return;
        }
        let duration = params.base_ejection * 2u32.saturating_pow(self.ejections.min(16));
        let until = now + duration.min(params.max_ejection);
        self.ejections += 1;
        self.ejection = EjectionState::Ejected { until };
    }

    /// Failures since the last success.
    pub(super) fn failures(&self) -> u32 {
        self.failures
    }
}
