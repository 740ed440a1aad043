//! Retry budget of a service.
//!
//! In any time window, all instances together may retry a fraction of the requests, plus a fixed number. Each
//! instance limits itself to that fraction of its own requests and an equal part of the fixed number, so the
//! total holds without coordination. An instance keeps nothing across a restart. Its predecessor, or an instance
//! that it replaces, may have used a part of the fixed number just before, so it uses none for one window after its
//! start.

use std::collections::VecDeque;
use std::time::Duration;

use crate::time::MonoTime;

/// Limits of the budget for all instances together.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct BudgetLimits {
    /// Retries allowed per request.
    pub ratio: f64,
    /// Additional retries allowed per window.
    pub slack: f64,
    /// Length of the sliding window.
    pub window: Duration,
}

/// Fraction of the budget that is used; the rest covers differences between the counts here and at the
/// upstreams.
const SAFETY_FACTOR: f64 = 0.8;

/// Part of the fixed retries that an instance may use.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum FixedShare {
    /// None: earlier processes may have used retries within the window.
    Withheld,
    /// An equal part among this number of instances.
    Equal(usize),
}

/// What an instance knows of the retries that others used before it started.
#[derive(Clone, Copy, Debug, Default)]
pub struct BudgetStart {
    started_at: MonoTime,
    is_first: bool,
}

impl BudgetStart {
    /// Creates the state of an instance that starts now.
    pub fn new(started_at: MonoTime) -> Self {
        Self {
            started_at,
            is_first: false,
        }
    }

    /// Records that no instance of this fleet has run before this one.
    pub fn record_first(&mut self) {
        self.is_first = true;
    }

    /// Part of the fixed retries that this instance may use now.
    pub fn share(&self, now: MonoTime, limits: &BudgetLimits, instances: usize) -> FixedShare {
        if self.is_first || now.since(self.started_at) > limits.window {
            FixedShare::Equal(instances)
        } else {
            FixedShare::Withheld
        }
    }
}

/// Use of a budget within the current window.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct BudgetUsage {
    /// Requests counted.
    pub requests: usize,
    /// Retries granted.
    pub retries: usize,
    /// Retries allowed; may be fractional.
    pub allowed: f64,
}

/// Requests and retries of one service at this instance.
#[derive(Clone, Debug, Default)]
pub struct RetryBudget {
    requests: VecDeque<MonoTime>,
    retries: VecDeque<MonoTime>,
}

impl RetryBudget {
    /// Counts a new request.
    pub fn count_request(&mut self, now: MonoTime, limits: &BudgetLimits) {
        expire(&mut self.requests, now, limits.window);
        self.requests.push_back(now);
    }

    /// Consumes one retry if the budget allows it.
    pub fn try_retry(&mut self, now: MonoTime, limits: &BudgetLimits, share: FixedShare) -> bool {
        expire(&mut self.requests, now, limits.window);
        expire(&mut self.retries, now, limits.window);
        let usage = self.usage(limits, share);
        if (usage.retries + 1) as f64 > usage.allowed {
            return false;
        }
        self.retries.push_back(now);
        true
    }

    /// Returns the use of the budget as of the last call that counted or consumed something.
    pub fn usage(&self, limits: &BudgetLimits, share: FixedShare) -> BudgetUsage {
        let fixed = match share {
            FixedShare::Withheld => 0.0,
            FixedShare::Equal(instances) => limits.slack / instances.max(1) as f64,
        };
        BudgetUsage {
            requests: self.requests.len(),
            retries: self.retries.len(),
            allowed: SAFETY_FACTOR * (limits.ratio * self.requests.len() as f64 + fixed),
        }
    }
}

fn expire(times: &mut VecDeque<MonoTime>, now: MonoTime, window: Duration) {
    while times.front().is_some_and(|&time| now.since(time) > window) {
        times.pop_front();
    }
}
