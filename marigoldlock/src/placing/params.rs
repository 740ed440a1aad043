//! Parameters of placement, from the settings.

use marigoldlock_core::placement::{PlacementParams, SpendingWeights};
use marigoldlock_core::settings::{ActiveSettings, ObjectiveWeights, ServiceSettings};

/// Worth of an engine's hour, against the price of a steady one, when goodput and cost weigh the same.
const WORTH_PER_PRICE: f64 = 5.0;

/// Least weight of cost, so that the worth stays finite.
const LEAST_COST_WEIGHT: f64 = 0.05;

/// What one service's placement parameters are made from.
#[derive(Clone, Debug, PartialEq)]
pub(super) struct PlanBasis {
    service: ServiceSettings,
    weights: ObjectiveWeights,
    cheap_per_data_centre: u32,
    scales: bool,
}

impl PlanBasis {
    /// The basis for a service; `scales` is false where no upstream can be ordered.
    pub(super) fn new(settings: &ActiveSettings, service: &ServiceSettings, scales: bool) -> Self {
        let rules = settings.rules_for_service(service);
        Self {
            service: service.clone(),
            weights: settings.fleet().weights,
            cheap_per_data_centre: rules.map(|rule| rule.cap_per_data_centre).max().unwrap_or(0),
            scales,
        }
    }

    /// The parameters.
    pub(super) fn params(&self) -> PlacementParams {
        let worth = WORTH_PER_PRICE * self.weights.goodput / self.weights.cost.max(LEAST_COST_WEIGHT);
        PlacementParams {
            steady_floor: self.service.steady_floor,
            max_upstreams: self.service.upstream_limit,
            cheap_per_data_centre: self.cheap_per_data_centre,
            scaling_enabled: self.scales,
            weights: SpendingWeights {
                value_per_engine_hour: worth,
                ..SpendingWeights::default()
            },
            ..PlacementParams::default()
        }
    }
}
