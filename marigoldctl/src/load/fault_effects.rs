//! Effects of the injected faults.

use super::event_queue::secs_to_micros;
use super::experiment::FaultSpec;
use super::fault_schedule::FaultStage;
use super::fleet::UpstreamPhase;
use super::replay::{ReplayEvent, ReplayRun};

impl ReplayRun<'_> {
    pub(super) fn on_fault(&mut self, number: usize, stage: FaultStage) {
        let fault = self.experiment.fault[number].clone();
        match (&fault, stage) {
            (
                FaultSpec::Crash {
                    service, upstream, ..
                },
                _,
            ) => {
                if let Some(upstream) = self.fleet.nth_of_service(service, *upstream) {
                    self.crash(upstream, stage);
                }
            }
            (
                FaultSpec::Silent {
                    service, upstream, ..
                },
                _,
            ) => {
                if let Some(upstream) = self.fleet.nth_of_service(service, *upstream) {
                    self.fleet.upstreams[upstream].engine.silent = stage == FaultStage::Begin;
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
                if let Some(upstream) = self.fleet.nth_of_service(service, *upstream) {
                    let slowdown = if stage == FaultStage::Begin { *factor } else { 1.0 };
                    self.fleet.upstreams[upstream].engine.slowdown = slowdown;
                }
            }
            (FaultSpec::Reclaim { data_centre, .. }, _) => self.reclaim(data_centre, stage),
            (FaultSpec::StalledReviews { customer, .. }, FaultStage::Begin) => {
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

    fn crash(&mut self, upstream: usize, stage: FaultStage) {
        let target = &mut self.fleet.upstreams[upstream];
        if target.phase == UpstreamPhase::Gone {
            return;
        }
        if stage == FaultStage::Begin {
            target.phase = UpstreamPhase::Down;
            target.engine.changing = false;
            target.engine.draining = false;
            target.ordered_role = None;
            self.fail_attempts(upstream);
        } else {
            target.phase = UpstreamPhase::Live;
        }
    }

    fn reclaim(&mut self, data_centre: &str, stage: FaultStage) {
        let hit: Vec<usize> = (0..self.fleet.upstreams.len())
            .filter(|&number| {
                let upstream = &self.fleet.upstreams[number];
                upstream.data_centre.as_str() == data_centre
                    && upstream.capacity == marigoldlock_wire::platform::CapacityKind::Cheap
                    && upstream.phase != UpstreamPhase::Gone
            })
            .collect();
        match stage {
            FaultStage::Begin => {
                self.unavailable.insert(data_centre.into());
                for number in hit {
                    self.fleet.upstreams[number].phase = UpstreamPhase::Leaving;
                    let lag = secs_to_micros(self.experiment.entry.list_lag_s);
                    self.schedule_in(lag, ReplayEvent::ListChange(number));
                }
            }
            FaultStage::NoticeExpired => hit.into_iter().for_each(|number| self.remove_upstream(number)),
            FaultStage::End => {
                let place: marigoldlock_core::prelude::DataCentre = data_centre.into();
                self.unavailable.remove(&place);
            }
        }
    }

    /// Stalls the streams of stalled customers and lets all others continue.
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
