//! Placement parameters derived from the settings.

use marigoldlock_core::placement::{PlacementParams, SpendingWeights};
use marigoldlock_core::settings::{ActiveSettings, ObjectiveWeights, ServiceSettings};

/// Value of an engine-hour, relative to the price of a steady engine, if goodput and cost have the same
/// weight.
const VALUE_PER_PRICE: f64 = 5.0;

/// Minimum weight of cost, which keeps the value of an engine-hour finite.
const MIN_COST_WEIGHT: f64 = 0.05;

/// Settings that the placement parameters of one service are derived from.
#[derive(Clone, Debug, PartialEq)]
pub(super) struct PlanInputs {
    service: ServiceSettings,
    weights: ObjectiveWeights,
    cheap_per_data_centre: u32,
    scaling_enabled: bool,
}

impl PlanInputs {
    /// Collects the settings of a service; `scaling_enabled` is false if no upstreams can be ordered.
    pub(super) fn new(settings: &ActiveSettings, service: &ServiceSettings, scaling_enabled: bool) -> Self {
        let rules = settings.rules_for_service(service);
        Self {
            service: service.clone(),
            weights: settings.fleet().weights,
            cheap_per_data_centre: rules.map(|rule| rule.cap_per_data_centre).max().unwrap_or(0),
            scaling_enabled,
        }
    }

    /// Derives the placement parameters.
    pub(super) fn params(&self) -> PlacementParams {
        let value = VALUE_PER_PRICE * self.weights.goodput / self.weights.cost.max(MIN_COST_WEIGHT);
        PlacementParams {
            steady_floor: self.service.steady_floor,
            max_upstreams: self.service.upstream_limit,
            cheap_per_data_centre: self.cheap_per_data_centre,
            scaling_enabled: self.scaling_enabled,
            weights: SpendingWeights {
                value_per_engine_hour: value,
                ..SpendingWeights::default()
            },
            ..PlacementParams::default()
        }
    }
}
