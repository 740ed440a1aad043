//! Keeps retries to a share of recent successes.

use std::time::Duration;

use crate::prelude::*;

/// One retry, in the units that the budget counts in.
const RETRY_UNITS: u64 = 1_000;

/// How much a retry budget grants.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct BudgetLimits {
    /// Retries earned by a thousand successes.
    pub retries_per_thousand: u64,
    /// Retries granted each minute even without successes.
    pub retries_per_minute: u64,
    /// Most retries that can be saved up.
    pub most_saved: u64,
}

impl Default for BudgetLimits {
    fn default() -> Self {
        Self {
            retries_per_thousand: 100,
            retries_per_minute: 30,
            most_saved: 50,
        }
    }
}

/// Token bucket that successes fill and retries empty.
#[derive(Clone, Debug)]
pub struct RetryBudget {
    limits: BudgetLimits,
    units: u64,
    filled: MonoTime,
}

impl RetryBudget {
    /// A budget that starts full.
    pub fn new(limits: BudgetLimits, now: MonoTime) -> Self {
        Self {
            limits,
            units: limits.most_saved * RETRY_UNITS,
            filled: now,
        }
    }

    /// Earns a share of a retry.
    pub fn on_success(&mut self) {
        self.add(self.limits.retries_per_thousand * RETRY_UNITS / 1_000);
    }

    /// Takes one retry from the budget; false if there is none.
    pub fn try_spend(&mut self, now: MonoTime) -> bool {
        self.fill(now);
        let Some(rest) = self.units.checked_sub(RETRY_UNITS) else {
            return false;
        };
        self.units = rest;
        true
    }

    /// Whole retries left.
    pub fn retries_left(&self) -> u64 {
        self.units / RETRY_UNITS
    }

    fn fill(&mut self, now: MonoTime) {
        let per_minute = self.limits.retries_per_minute * RETRY_UNITS;
        if per_minute == 0 {
            return;
        }
        let unit_time = Duration::from_secs(60) / u32::try_from(per_minute).unwrap_or(u32::MAX);
        let earned = now.since(self.filled).as_nanos() / unit_time.as_nanos().max(1);
        let earned = u32::try_from(earned).unwrap_or(u32::MAX);
        self.filled = self.filled + unit_time * earned;
        self.add(u64::from(earned));
    }

    fn add(&mut self, units: u64) {
        let most = self.limits.most_saved * RETRY_UNITS;
        self.units = self.units.saturating_add(units).min(most);
    }
}
