//! Retry budget of a service.
//!
//! In any time window, all instances together may retry a fraction of the requests, plus a fixed number. Each
//! instance limits itself to that fraction of its own requests and an equal part of the fixed number, so the
//! total holds without coordination.

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

    /// Consumes one retry if the budget allows it; `instances` share the fixed part.
    pub fn try_retry(&mut self, now: MonoTime, limits: &BudgetLimits, instances: usize) -> bool {
        expire(&mut self.requests, now, limits.window);
        expire(&mut self.retries, now, limits.window);
        let usage = self.usage(limits, instances);
        if (usage.retries + 1) as f64 > usage.allowed {
            return false;
        }
        self.retries.push_back(now);
        true
    }

    /// Returns the use of the budget as of the last call that counted or consumed something.
    pub fn usage(&self, limits: &BudgetLimits, instances: usize) -> BudgetUsage {
        let fixed = limits.slack / instances.max(1) as f64;
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
