//! Retry budget of a service.
//!
//! All instances together may send a share of the requests again, plus a fixed number, in any window of
//! time. Each instance keeps to its own part: the share of its own requests and an equal part of the fixed
//! number, so that the sum holds without an exchange.

use std::collections::VecDeque;
use std::time::Duration;

use crate::time::MonoTime;

/// Bounds of the budget over all instances.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct BudgetLimits {
    /// Repeats allowed for each request.
    pub ratio: f64,
    /// Repeats allowed besides.
    pub slack: f64,
    /// Window in which repeats are counted.
    pub window: Duration,
}

/// Part of the allowance that is used; the rest covers counts that differ between here and the upstreams.
const USED_SHARE: f64 = 0.8;

/// Requests and repeats of one service at this instance.
#[derive(Clone, Debug, Default)]
pub struct RetryBudget {
    requests: VecDeque<MonoTime>,
    repeats: VecDeque<MonoTime>,
}

impl RetryBudget {
    /// Counts a caller's request.
    pub fn count_request(&mut self, now: MonoTime, limits: &BudgetLimits) {
        expire(&mut self.requests, now, limits.window);
        self.requests.push_back(now);
    }

    /// Takes one repeat from the budget, if it allows one; `instances` share the fixed part.
    pub fn try_repeat(&mut self, now: MonoTime, limits: &BudgetLimits, instances: usize) -> bool {
        expire(&mut self.requests, now, limits.window);
        expire(&mut self.repeats, now, limits.window);
        let fixed = limits.slack / instances.max(1) as f64;
        let allowed = USED_SHARE * (limits.ratio * self.requests.len() as f64 + fixed);
        if (self.repeats.len() + 1) as f64 > allowed {
            return false;
        }
        self.repeats.push_back(now);
        true
    }
}

fn expire(times: &mut VecDeque<MonoTime>, now: MonoTime, window: Duration) {
    while times.front().is_some_and(|&time| now.since(time) > window) {
        times.pop_front();
    }
}
