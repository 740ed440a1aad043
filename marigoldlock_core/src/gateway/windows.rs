//! Usage windows: requests that began to run, by window, instance and customer.

use marigoldlock_wire::prelude::*;
use serde::{Deserialize, Serialize};

use super::call::CustomerCounts;

/// Windows that are kept; a window is reported within a few windows of its end.
const KEPT_WINDOWS: u64 = 6;

/// Counts of one start of one instance in one window.
#[derive(Clone, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
pub struct WindowCounts {
    /// Number of the window.
    pub window: u64,
    /// Requests that began, by customer; cumulative, so that a repeat changes nothing.
    pub counts: Vec<(CustomerId, u64)>,
}

type Source = (InstanceId, Incarnation);

/// Counts of all instances.
#[derive(Clone, Debug, Default)]
pub struct UsageBook {
    windows: FastMap<u64, FastMap<Source, CustomerCounts>>,
}

impl UsageBook {
    /// Counts a request of this instance.
    pub fn count(&mut self, source: &Source, window: u64, customer: &CustomerId) {
        let counts = self
            .windows
            .entry(window)
            .or_default()
            .entry(source.clone())
            .or_default();
        *counts.entry(customer.clone()).or_default() += 1;
        self.windows.retain(|kept, _| kept + KEPT_WINDOWS > window);
    }

    /// Takes what another instance counted.
    pub fn merge(&mut self, source: &Source, told: &WindowCounts) {
        let counts = self
            .windows
            .entry(told.window)
            .or_default()
            .entry(source.clone())
            .or_default();
        for (customer, count) in &told.counts {
            let known = counts.entry(customer.clone()).or_default();
            *known = (*known).max(*count);
        }
    }

    /// Counts of one instance since `window`, to tell others.
    pub fn told_by(&self, source: &Source, window: u64) -> Vec<WindowCounts> {
        let mut told: Vec<WindowCounts> = self
            .windows
            .iter()
            .filter(|(kept, _)| **kept >= window)
            .filter_map(|(kept, sources)| {
                let counts = sources.get(source)?;
                Some(WindowCounts {
                    window: *kept,
                    counts: counts.iter().map(|(id, count)| (id.clone(), *count)).collect(),
                })
            })
            .collect();
        told.sort_by_key(|counts| counts.window);
        told
    }

    /// Sum over all instances.
    pub fn total(&self, window: u64) -> CustomerCounts {
        let mut total = CustomerCounts::default();
        for counts in self.windows.get(&window).into_iter().flat_map(FastMap::values) {
            for (customer, count) in counts {
                *total.entry(customer.clone()).or_default() += count;
            }
        }
        total
    }
}
