//! What faults do.

use super::experiment::FaultSpec;
use super::fault::FaultEdge;
use super::fleet::UpstreamPhase;
use super::replay::{ReplayEvent, ReplayRun};
use super::sequence::from_s;

impl ReplayRun<'_> {
    pub(super) fn on_fault(&mut self, number: usize, edge: FaultEdge) {
        let fault = self.experiment.fault[number].clone();
        match (&fault, edge) {
            (
                FaultSpec::Crash {
                    service, upstream, ..
                },
                _,
            ) => {
                if let Some(upstream) = self.fleet.nth_of(service, *upstream) {
                    self.crash(upstream, edge);
                }
            }
            (
                FaultSpec::Silent {
                    service, upstream, ..
                },
                _,
            ) => {
                if let Some(upstream) = self.fleet.nth_of(service, *upstream) {
                    self.fleet.upstreams[upstream].engine.silent = edge == FaultEdge::Begin;
                    self.wake(upstream);
                }
            }
            (
                FaultSpec::Slow {
                    service,
                    upstream,
                    factor,
                    ..
                },
                _,
            ) => {
                if let Some(upstream) = self.fleet.nth_of(service, *upstream) {
                    let slow = if edge == FaultEdge::Begin { *factor } else { 1.0 };
                    self.fleet.upstreams[upstream].engine.slow = slow;
                }
            }
            (FaultSpec::Reclaim { data_centre, .. }, _) => self.reclaim(data_centre, edge),
            (FaultSpec::StalledReviews { customer, .. }, FaultEdge::Begin) => {
                self.stalled.insert(customer.clone());
                self.update_stalled();
            }
            (FaultSpec::StalledReviews { customer, .. }, _) => {
                self.stalled.remove(customer);
                self.update_stalled();
            }
            (FaultSpec::KeyWithdrawn { customer, .. }, _) => {
                self.withdrawn.insert(customer.clone());
            }
        }
    }

    fn crash(&mut self, upstream: usize, edge: FaultEdge) {
        let target = &mut self.fleet.upstreams[upstream];
        if target.phase == UpstreamPhase::Gone {
            return;
        }
        if edge == FaultEdge::Begin {
            target.phase = UpstreamPhase::Down;
            target.engine.changing = false;
            target.engine.draining = false;
            target.ordered_role = None;
            self.break_attempts(upstream);
        } else {
            target.phase = UpstreamPhase::Live;
        }
    }

    fn reclaim(&mut self, data_centre: &str, edge: FaultEdge) {
        let hit: Vec<usize> = (0..self.fleet.upstreams.len())
            .filter(|&number| {
                let upstream = &self.fleet.upstreams[number];
                upstream.data_centre.as_str() == data_centre
                    && upstream.capacity == marigoldlock_wire::platform::CapacityKind::Cheap
                    && upstream.phase != UpstreamPhase::Gone
            })
            .collect();
        match edge {
            FaultEdge::Begin => {
                self.unavailable.insert(data_centre.into());
                for number in hit {
                    self.fleet.upstreams[number].phase = UpstreamPhase::Leaving;
                    let lag = from_s(self.experiment.entry.list_lag_s);
                    self.schedule_in(lag, ReplayEvent::ListChange(number));
                }
            }
            FaultEdge::Turn => hit.into_iter().for_each(|number| self.take_away(number)),
            FaultEdge::End => {
                let place: marigoldlock_core::prelude::DataCentre = data_centre.into();
                self.unavailable.remove(&place);
            }
        }
    }

    /// Lets the streams of stalled customers stand still, and the others go on.
    fn update_stalled(&mut self) {
        let mut attempts: Vec<_> = self
            .attempts
            .iter()
            .map(|(attempt, state)| (*attempt, state.request, state.upstream))
            .collect();
        attempts.sort_unstable();
        for (attempt, request, upstream) in attempts {
            let stalled = self.is_stalled(request);
            self.fleet.upstreams[upstream]
                .engine
                .set_stalled(attempt, stalled);
            self.wake(upstream);
        }
    }
}
