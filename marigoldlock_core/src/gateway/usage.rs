//! Counts of started requests by usage window, instance and customer.

use marigoldlock_wire::prelude::*;
use serde::{Deserialize, Serialize};

use super::call::CustomerCounts;

/// Number of windows that are retained; a window is reported within a few windows of its end.
const RETAINED_WINDOWS: u64 = 6;

/// Counts of one instance process in one window.
#[derive(Clone, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
pub struct WindowCounts {
    /// Index of the window.
    pub window: u64,
    /// Started requests by customer. The numbers are cumulative, so receiving them twice changes nothing.
    pub counts: Vec<(CustomerId, u64)>,
}

type Source = (InstanceId, Incarnation);

/// Usage counts of all instances.
#[derive(Clone, Debug, Default)]
pub struct UsageCounts {
    windows: FastMap<u64, FastMap<Source, CustomerCounts>>,
}

impl UsageCounts {
    /// Counts one request of this instance.
    pub fn count_request(&mut self, source: &Source, window: u64, customer: &CustomerId) {
        let counts = self
            .windows
            .entry(window)
            .or_default()
            .entry(source.clone())
            .or_default();
        *counts.entry(customer.clone()).or_default() += 1;
        self.windows.retain(|index, _| index + RETAINED_WINDOWS > window);
    }

    /// Merges the counts reported by another instance.
    pub fn merge(&mut self, source: &Source, reported: &WindowCounts) {
        let counts = self
            .windows
            .entry(reported.window)
            .or_default()
            .entry(source.clone())
            .or_default();
        for (customer, count) in &reported.counts {
            let known = counts.entry(customer.clone()).or_default();
            *known = (*known).max(*count);
        }
    }

    /// Counts of one instance from `window` on, in order of the windows.
    pub fn counts_since(&self, source: &Source, window: u64) -> Vec<WindowCounts> {
        let mut reported: Vec<WindowCounts> = self
            .windows
            .iter()
            .filter(|(index, _)| **index >= window)
            .filter_map(|(index, sources)| {
                let counts = sources.get(source)?;
                Some(WindowCounts {
                    window: *index,
                    counts: counts.iter().map(|(id, count)| (id.clone(), *count)).collect(),
                })
            })
            .collect();
        reported.sort_by_key(|counts| counts.window);
        reported
    }

    /// Sums the counts of all instances in one window.
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
