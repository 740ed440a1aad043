//! Orders upstreams from the platform, under the duties' fencing number.

use marigoldlock_core::gateway::border::{CapacityOrder, DutyHolder, DutyOutcome};
use marigoldlock_core::gateway::capacity::{CapacityPlanner, ServingCounts};
use marigoldlock_core::prelude::*;

use crate::logging::DECISION_TARGET;

use super::Gateway;

/// Plans capacity for all services.
#[derive(Debug, Default)]
pub struct CapacityKeeper {
    planners: FastMap<ServiceId, CapacityPlanner>,
}

impl CapacityKeeper {
    /// Gives the orders that are due; returns false if the fencing number is too low.
    pub async fn tick(&mut self, gateway: &Gateway, fence: u64) -> bool {
        let Some(duties) = gateway.parts.duties.clone() else {
            return true;
        };
        let holder = DutyHolder {
            instance: gateway.parts.card.id.as_str(),
            fence,
        };
        for order in self.plan(gateway) {
            let outcome = duties.order_capacity(holder, &order).await;
            log::info!(
                target: DECISION_TARGET,
                service:% = order.service, data_centre:% = order.data_centre, count = order.count, cheap = order.is_spot,
                fence, outcome:? = outcome;
                "capacity ordered"
            );
            if outcome == DutyOutcome::Fenced {
                return false;
            }
        }
        true
    }

    fn plan(&mut self, gateway: &Gateway) -> Vec<CapacityOrder> {
        let now = gateway.now();
        let state = gateway.state();
        let Some(settings) = state.settings.clone() else {
            return Vec::new();
        };
        let mut orders = Vec::new();
        for service in settings.services() {
            let Some(rule) = &service.scaling else { continue };
            let mut serving: FastMap<DataCentre, ServingCounts> = FastMap::default();
            for entry in state.catalog.usable(&service.name) {
                let counts = serving.entry(entry.data_centre.clone()).or_default();
                if entry.is_spot {
                    counts.cheap += 1;
                } else {
                    counts.ordinary += 1;
                }
            }
            let planner = self.planners.entry(service.name.clone()).or_default();
            orders.extend(
                planner
                    .plan(rule, &serving, now)
                    .into_iter()
                    .map(|change| CapacityOrder {
                        service: service.name.clone(),
                        data_centre: change.data_centre,
                        count: change.count,
                        is_spot: change.is_cheap,
                    }),
            );
        }
        orders
    }
}
