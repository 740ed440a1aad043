//! Simulated entry instance with its own routing table and admission control.

use std::time::Duration;

use marigoldlock_core::admission::{AdmissionControl, AdmissionParams, FirstCome};
use marigoldlock_core::prelude::*;
use marigoldlock_core::routing::{
    ExpectedCost, LeastInFlight, RandomPick, RoundRobin, RouteParams, RoutePolicy, RouteTable,
};
use marigoldlock_wire::engine::EngineRole;

use super::experiment::{AdmissionKind, EntrySpec, PolicySpec, RouteKind};

/// Simulated entry instance.
#[derive(Debug)]
pub(super) struct ReplayInstance {
    pub(super) id: InstanceId,
    pub(super) data_centre: DataCentre,
    pub(super) table: RouteTable,
    pub(super) admission: AdmissionControl,
}

impl ReplayInstance {
    pub(super) fn new(number: usize, entry: &EntrySpec, policy: &PolicySpec, seed: u64) -> Self {
        let data_centre = &entry.data_centres[number % entry.data_centres.len()];
        let route: Box<dyn RoutePolicy> = match policy.route {
            RouteKind::ExpectedCost => Box::new(ExpectedCost::new(seed)),
            RouteKind::RoundRobin => Box::new(RoundRobin::default()),
            RouteKind::LeastInFlight => Box::new(LeastInFlight),
            RouteKind::Random => Box::new(RandomPick::new(seed)),
        };
        let params = RouteParams {
            remote_round_trip: Duration::from_secs_f64(entry.between_ms * 2.0 / 1e3),
            ..RouteParams::default()
        };
        let admission = match policy.admission {
            AdmissionKind::FairShare => AdmissionControl::new(AdmissionParams::default()),
            AdmissionKind::FirstCome => {
                AdmissionControl::with_policy(AdmissionParams::default(), Box::new(FirstCome))
            }
        };
        Self {
            id: format!("entry-{number}").into(),
            data_centre: data_centre.as_str().into(),
            table: RouteTable::new(params, route),
            admission,
        }
    }

    /// Updates admission with the total slots of each service's usable upstreams.
    pub(super) fn update_capacity(&mut self, services: &[ServiceId]) {
        for service in services {
            let states = self.table.states().filter(|state| {
                state.info().service == *service
                    && !state.is_leaving()
                    && !state.is_changing()
                    && state.role() != EngineRole::Prefill
            });
            let slots = states.map(|state| state.slots(&RouteParams::default())).sum();
            self.admission.set_capacity(service, slots);
        }
    }
}
