//! Simulated upstreams of a run.

use marigoldlock_core::prelude::*;
use marigoldlock_core::routing::{UpstreamInfo, UpstreamKind};
use marigoldlock_wire::engine::EngineRole;
use marigoldlock_wire::platform::CapacityKind;

use super::engine::EngineModel;
use super::experiment::{Experiment, PolicySpec, ServiceSpec};

/// Name of the model that all engines serve.
pub(super) const MODEL: &str = "model";

/// State of an upstream.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(super) enum UpstreamPhase {
    /// Ordered and paid for, not up yet.
    Starting,
    /// Up.
    Live,
    /// Up, and announced to be removed.
    Leaving,
    /// Crashed, and will restart.
    Down,
    /// Removed.
    Gone,
}

/// One simulated upstream.
#[derive(Debug)]
pub(super) struct FleetUpstream {
    pub(super) id: UpstreamId,
    /// Index of the service.
    pub(super) service: usize,
    pub(super) data_centre: DataCentre,
    pub(super) capacity: CapacityKind,
    pub(super) phase: UpstreamPhase,
    pub(super) engine: EngineModel,
    pub(super) ordered_role: Option<EngineRole>,
    /// Number of the current step; step events with another number are ignored.
    pub(super) step: u64,
    pub(super) next_event: u64,
    pub(super) paid_from: u64,
    pub(super) paid_until: Option<u64>,
    pub(super) role_changes: u32,
}

impl FleetUpstream {
    /// True if requests can reach the upstream.
    pub(super) fn is_up(&self) -> bool {
        matches!(self.phase, UpstreamPhase::Live | UpstreamPhase::Leaving)
    }
}

/// All upstreams of a run, including removed ones.
#[derive(Debug)]
pub(super) struct UpstreamFleet {
    pub(super) services: Vec<ServiceSpec>,
    pub(super) data_centres: Vec<DataCentre>,
    pub(super) upstreams: Vec<FleetUpstream>,
}

impl UpstreamFleet {
    pub(super) fn new(experiment: &Experiment, policy: &PolicySpec) -> Self {
        let data_centres = experiment.entry.data_centres.iter();
        let mut fleet = Self {
            services: experiment.service.clone(),
            data_centres: data_centres
                .map(|data_centre| data_centre.as_str().into())
                .collect(),
            upstreams: Vec::new(),
        };
        for (service, spec) in experiment.service.iter().enumerate() {
            for number in 0..spec.steady + spec.cheap {
                let steady = number < spec.steady;
                let capacity = if steady {
                    CapacityKind::Steady
                } else {
                    CapacityKind::Cheap
                };
                let data_centre = fleet.data_centres[number % fleet.data_centres.len()].clone();
                let index = fleet.start(service, data_centre, capacity, 0);
                let role = policy.roles.get(number).filter(|_| spec.placed);
                fleet.upstreams[index].engine.role = role.copied().unwrap_or_default();
                fleet.upstreams[index].phase = UpstreamPhase::Live;
            }
        }
        fleet
    }

    /// Adds an upstream in [`UpstreamPhase::Starting`] and returns its index.
    pub(super) fn start(
        &mut self,
        service: usize,
        data_centre: DataCentre,
        capacity: CapacityKind,
        now: u64,
    ) -> usize {
        let number = self.upstreams.len();
        let spec = &self.services[service];
        self.upstreams.push(FleetUpstream {
            id: format!("{}-{number:02}", spec.name).into(),
            service,
            data_centre,
            capacity,
            phase: UpstreamPhase::Starting,
            engine: EngineModel::new(spec, EngineRole::Mixed, number as u64 * 1_000 + 1),
            ordered_role: None,
            step: 0,
            next_event: 0,
            paid_from: now,
            paid_until: None,
            role_changes: 0,
        });
        number
    }

    /// Index of the upstream with this id.
    pub(super) fn number(&self, id: &UpstreamId) -> Option<usize> {
        self.upstreams.iter().position(|upstream| upstream.id == *id)
    }

    /// Index of a service's `nth` upstream in order of creation, counted from 0.
    pub(super) fn nth_of_service(&self, service: &str, nth: usize) -> Option<usize> {
        let of_service = self
            .upstreams
            .iter()
            .enumerate()
            .filter(|(_, upstream)| self.services[upstream.service].name == service);
        of_service.map(|(number, _)| number).nth(nth)
    }

    /// Entry of an upstream in the platform's instance list.
    pub(super) fn upstream_info(&self, number: usize) -> UpstreamInfo {
        let upstream = &self.upstreams[number];
        let spec = &self.services[upstream.service];
        UpstreamInfo {
            id: upstream.id.clone(),
            service: spec.name.as_str().into(),
            data_centre: upstream.data_centre.clone(),
            address: format!("127.0.0.1:{}", 10_000 + number),
            capacity: upstream.capacity,
            models: vec![MODEL.into()],
            kind: if spec.placed {
                UpstreamKind::Engine
            } else {
                UpstreamKind::Service
            },
        }
    }

    /// Total cost of the upstreams until a time in microseconds.
    pub(super) fn spending(&self, until: u64) -> f64 {
        let costs = self.upstreams.iter().map(|upstream| {
            let end = upstream.paid_until.unwrap_or(until).min(until);
            let seconds = end.saturating_sub(upstream.paid_from) as f64 / 1e6;
            seconds * self.services[upstream.service].price_per_s(upstream.capacity)
        });
        costs.sum()
    }
}
