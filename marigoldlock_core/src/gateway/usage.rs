//! Counts of started requests by usage window, instance and customer.
//!
//! Instances tell their counts with their heartbeats, which come the more rarely the larger the fleet is, and not at all from
//! an instance that is cut off for a while. So the counts of a window are fixed once every instance has told of a later
//! window, or when the report can't wait any longer.

use std::time::Duration;

use marigoldlock_wire::prelude::*;
use serde::{Deserialize, Serialize};

use super::call::CustomerCounts;
use super::exchange::{FleetView, USAGE_ROUNDS, heartbeat_interval};
use super::members::{MemberStage, MemberState};
use crate::time::MonoTime;

/// Number of windows that are retained; a window is reported within a few windows of its end.
const RETAINED_WINDOWS: u64 = 6;

/// Shortest time for which a window stays open after its end: the clocks of instances differ.
const SETTLE_TIME: Duration = Duration::from_millis(1_500);

/// Share of the time until a report is due for which it waits for counts. The rest is left for calls that fail.
const WAIT_SHARE: f64 = 0.7;

/// Share of the instances without whose counts a window may be fixed at once: less than the requests that differ between two
/// clocks. The holder may be lost while it waits, and a late report is worth less than one that lacks so little.
const NEGLIGIBLE_SHARE: f64 = 0.02;

/// Heartbeats in addition to [`USAGE_ROUNDS`] within which all instances know a new holder of the duties: its own, those of
/// two relays, and one that is lost.
const SPREAD_ROUNDS: u64 = 4;

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
    /// Newest window that each instance has told of; its counts of earlier ones are final.
    told: FastMap<InstanceId, u64>,
}

/// A window that has ended, and the times by which it is reported.
#[derive(Clone, Copy, Debug)]
pub struct EndedWindow {
    /// Index of the window.
    pub window: u64,
    /// Time since its end.
    pub ended_for: Duration,
    /// Time after its end at which its report is due.
    pub due: Duration,
    /// When this instance took the duties.
    pub held_since: MonoTime,
}

impl EndedWindow {
    /// True if instances that are silent can't be waited for any longer.
    fn is_urgent(&self) -> bool {
        self.ended_for >= self.due.mul_f64(WAIT_SHARE).max(SETTLE_TIME)
    }

    /// True if all instances that are heard know the holder of the duties, and have had the time to tell it their counts.
    fn is_holder_known(&self, instances: usize, now: MonoTime) -> bool {
        let rounds = u32::try_from(USAGE_ROUNDS + SPREAD_ROUNDS).unwrap_or(u32::MAX);
        now.since(self.held_since) >= heartbeat_interval(instances) * rounds
    }
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
        let told = self.told.entry(source.0.clone()).or_default();
        *told = reported.window.max(*told);
    }

    /// True if the counts of a window may be fixed: every instance that is heard has told all of its counts, and so have those
    /// that have fallen silent, but for a few, or the report can't wait for them. Those that have been silent for as long as a
    /// report may take aren't waited for.
    pub fn may_fix(&self, window: EndedWindow, view: &FleetView<'_>) -> bool {
        if window.ended_for < SETTLE_TIME {
            return false;
        }
        let instances = view.members.all().count() + 1;
        let is_urgent = window.is_urgent();
        if is_urgent && window.is_holder_known(instances, view.now) {
            return true;
        }
        let liveness_timeout = view.members.liveness_timeout();
        let mut silent = 0;
        for member in view.members.all() {
            let Some(silence) = member.reported_at.map(|at| view.now.since(at)) else {
                continue;
            };
            if self.has_told(member, window.window) || member.report.stage == MemberStage::Starting {
                continue;
            }
            if silence < liveness_timeout {
                return false;
            }
            silent += usize::from(silence < window.due);
        }
        is_urgent || silent as f64 <= instances as f64 * NEGLIGIBLE_SHARE
    }

    fn has_told(&self, member: &MemberState, window: u64) -> bool {
        let told = self.told.get(&member.card().id);
        told.is_some_and(|told| *told > window)
    }

    /// Instances that have not told all of their counts of a window.
    pub fn missing(&self, window: u64, view: &FleetView<'_>) -> usize {
        let members = view.members.all();
        members.filter(|member| !self.has_told(member, window)).count()
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
