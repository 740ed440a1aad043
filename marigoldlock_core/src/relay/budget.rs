//! Limit on retries as a share of recent successes.

use std::time::Duration;

use crate::prelude::*;

/// Number of budget units that one retry costs.
const UNITS_PER_RETRY: u64 = 1_000;

/// Limits of a retry budget.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct BudgetLimits {
    /// Retries added for every thousand successes.
    pub retries_per_thousand: u64,
    /// Retries added per minute, independent of successes.
    pub retries_per_minute: u64,
    /// Maximum number of unused retries that accumulate.
    pub max_saved: u64,
}

impl Default for BudgetLimits {
    fn default() -> Self {
        Self {
            retries_per_thousand: 100,
            retries_per_minute: 30,
            max_saved: 50,
        }
    }
}

/// Token bucket that is filled by successes and elapsed time and drained by retries.
#[derive(Clone, Debug)]
pub struct RetryBudget {
    limits: BudgetLimits,
    units: u64,
    refilled_at: MonoTime,
}

impl RetryBudget {
    /// Creates a full budget.
    pub fn new(limits: BudgetLimits, now: MonoTime) -> Self {
        Self {
            limits,
            units: limits.max_saved * UNITS_PER_RETRY,
            refilled_at: now,
        }
    }

    /// Adds the share of a retry that one success earns.
    pub fn on_success(&mut self) {
        self.add(self.limits.retries_per_thousand * UNITS_PER_RETRY / 1_000);
    }

    /// Takes one retry from the budget; returns false if none is left.
    pub fn try_spend(&mut self, now: MonoTime) -> bool {
        self.refill(now);
        let Some(rest) = self.units.checked_sub(UNITS_PER_RETRY) else {
            return false;
        };
        self.units = rest;
        true
    }

    /// Returns the number of whole retries left.
    pub fn retries_left(&self) -> u64 {
        self.units / UNITS_PER_RETRY
    }

    fn refill(&mut self, now: MonoTime) {
        let per_minute = self.limits.retries_per_minute * UNITS_PER_RETRY;
        if per_minute == 0 {
            return;
        }
        let unit_time = Duration::from_secs(60) / u32::try_from(per_minute).unwrap_or(u32::MAX);
        let earned = now.since(self.refilled_at).as_nanos() / unit_time.as_nanos().max(1);
        let earned = u32::try_from(earned).unwrap_or(u32::MAX);
        self.refilled_at = self.refilled_at + unit_time * earned;
        self.add(u64::from(earned));
    }

    fn add(&mut self, units: u64) {
        let max_units = self.limits.max_saved * UNITS_PER_RETRY;
        self.units = self.units.saturating_add(units).min(max_units);
    }
}
