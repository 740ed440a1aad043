//! Orders upstreams from the platform, with the fencing number of the duties.

use std::collections::VecDeque;
use std::sync::Arc;

use marigoldlock_core::gateway::adapter::{CapacityOrder, DutyApi, DutyHolder, DutyOutcome};
use marigoldlock_core::gateway::capacity::{CapacityPlanner, ServingCounts};
use marigoldlock_core::prelude::*;
use tokio::task::JoinSet;

use crate::logging::DECISION_TARGET;

use super::Gateway;
use super::send_right::{NO_RIGHT, obtain_right};

/// Plans the capacity of all services and sends the orders.
#[derive(Debug, Default)]
pub struct CapacityManager {
    planners: FastMap<ServiceId, CapacityPlanner>,
    /// Orders in progress, which may take seconds. They run one after the other.
    calls: JoinSet<DutyOutcome>,
    /// Orders to send once those in progress have ended.
    waiting: VecDeque<CapacityOrder>,
}

impl CapacityManager {
    /// Sends the orders that are due; returns false if the fencing number is too low.
    pub fn tick(&mut self, gateway: &Arc<Gateway>, fence: u64) -> bool {
        let Some(duties) = gateway.parts.duty_api.clone() else {
            return true;
        };
        while let Some(ended) = self.calls.try_join_next() {
            match ended {
                Ok(DutyOutcome::Fenced) => return false,
                Ok(_) => {}
                Err(err) => log::error!(error:% = err; "the task that sends an order failed"),
            }
        }
        let orders = self.plan(gateway);
        self.waiting.extend(orders);
        if !self.calls.is_empty() || self.waiting.is_empty() {
            return true;
        }
        let orders = std::mem::take(&mut self.waiting);
        let gateway = Arc::clone(gateway);
        self.calls.spawn(async move {
            for order in orders {
                let outcome = send_order(&gateway, &*duties, fence, &order).await;
                if outcome == DutyOutcome::Fenced {
                    return outcome;
                }
            }
            DutyOutcome::Accepted
        });
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
                    counts.spot += 1;
                } else {
                    counts.on_demand += 1;
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
                        is_spot: change.is_spot,
                    }),
            );
        }
        orders
    }
}

async fn send_order(
    gateway: &Arc<Gateway>,
    duties: &dyn DutyApi,
    fence: u64,
    order: &CapacityOrder,
) -> DutyOutcome {
    let right = obtain_right(gateway, fence).await;
    let outcome = if right.is_denied() {
        DutyOutcome::Refused(NO_RIGHT.into())
    } else {
        let holder = DutyHolder {
            instance: gateway.parts.card.id.as_str(),
            fence,
            guard: right.guard(),
        };
        duties.order_capacity(holder, order).await
    };
    log::info!(
        target: DECISION_TARGET,
        service:% = order.service, data_centre:% = order.data_centre, count = order.count, cheap = order.is_spot,
        fence, outcome:? = outcome;
        "capacity ordered"
    );
    outcome
}
