//! Task that plans the placement periodically.

use std::sync::Arc;

use log::info;
use marigoldlock_core::placement::{
    AdaptivePlacement, FleetView, ModelDemand, PLAN_INTERVAL, PlacementAction, PlacementOrder,
    PlacementPolicy,
};
use marigoldlock_core::settings::{ActiveSettings, OrderCheck, ServiceKind, ServiceSettings};
use marigoldlock_wire::prelude::*;
use marigoldlock_wire::record::authority::Duty;
use marigoldlock_wire::record::orders::OrderBody;
use tokio::time::MissedTickBehavior;

use super::demand::DemandMeter;
use super::params::PlanInputs;
use crate::clock::TimeSource;
use crate::control::ControlHandle;
use crate::dispatch::{DispatchHandle, GetPlanningView};
use crate::logging::DECISION_TARGET;
use crate::settings::SettingsHandle;

/// Dependencies of the planner.
pub struct PlannerContext {
    /// Incarnation of the instance.
    pub incarnation: Incarnation,
    /// Clock of the instance.
    pub clock: Arc<dyn TimeSource>,
    /// Handle to the active settings.
    pub settings: SettingsHandle,
    /// Handle to the dispatch actor.
    pub dispatch: DispatchHandle,
    /// Handle to the control actor.
    pub control: ControlHandle,
    /// True if upstreams can be ordered and withdrawn.
    pub scaling_enabled: bool,
}

/// Planner of one service.
struct ServicePlanner {
    inputs: PlanInputs,
    policy: Box<dyn PlacementPolicy>,
    meter: DemandMeter,
}

impl ServicePlanner {
    fn new(inputs: PlanInputs) -> Self {
        let policy = Box::new(AdaptivePlacement::new(inputs.params()));
        Self {
            inputs,
            policy,
            meter: DemandMeter::default(),
        }
    }

    /// Replaces the policy by a new one if its settings have changed.
    fn update(&mut self, inputs: PlanInputs) {
        if self.inputs != inputs {
            self.policy = Box::new(AdaptivePlacement::new(inputs.params()));
            self.inputs = inputs;
        }
    }
}

/// Plans for the data centres whose orders duty this instance holds.
pub struct PlacementPlanner {
    context: PlannerContext,
    services: FastMap<ServiceId, ServicePlanner>,
}

impl PlacementPlanner {
    /// Creates a planner without any history.
    pub fn new(context: PlannerContext) -> Self {
        Self {
            context,
            services: FastMap::default(),
        }
    }

    /// Plans periodically until the task is dropped.
    pub async fn run(mut self) {
        let mut ticks = tokio::time::interval(PLAN_INTERVAL);
        ticks.set_missed_tick_behavior(MissedTickBehavior::Delay);
        loop {
            ticks.tick().await;
            self.plan().await;
        }
    }

    async fn plan(&mut self) {
        let status = self.context.control.status().await;
        let own_duties = status.duties.into_iter().filter(|held| held.is_own);
        let own_data_centres: Vec<DataCentre> = own_duties
            .filter_map(|held| match held.duty {
                Duty::Orders { data_centre } => Some(data_centre),
                _ => None,
            })
            .collect();
        if own_data_centres.is_empty() {
            // Discards the state: when this instance holds a duty again, another holder may have acted since.
            self.services.clear();
            return;
        }
        let settings = self.context.settings.active();
        let chat_services = settings
            .services()
            .filter(|service| service.kind == ServiceKind::Chat);
        for service in chat_services {
            self.plan_service(&settings, service, &own_data_centres).await;
        }
    }

    async fn plan_service(
        &mut self,
        settings: &ActiveSettings,
        service: &ServiceSettings,
        own_data_centres: &[DataCentre],
    ) {
        let message = GetPlanningView {
            service: service.name.clone(),
            incarnation: self.context.incarnation,
        };
        let Ok(view) = self.context.dispatch.actor().ask(message).await else {
            return;
        };
        if view.engines.is_empty() {
            return;
        }
        let now = self.context.clock.now();
        let scaling_enabled = self.context.scaling_enabled;
        let inputs = PlanInputs::new(settings, service, scaling_enabled);
        let planner = self
            .services
            .entry(service.name.clone())
            .or_insert_with(|| ServicePlanner::new(inputs.clone()));
        planner.update(inputs);
        let demand = planner.meter.sample(&view, service.expected_output_tokens, now);
        let models: Vec<ModelDemand> = Vec::new();
        let mut data_centres: Vec<DataCentre> = view
            .engines
            .iter()
            .map(|engine| engine.data_centre.clone())
            .chain(own_data_centres.iter().cloned())
            .collect();
        data_centres.sort();
        data_centres.dedup();
        for data_centre in own_data_centres {
            let fleet = FleetView {
                service: &service.name,
                engines: &view.engines,
                data_centre,
                data_centres: &data_centres,
                demand,
                models: &models,
            };
            for order in planner.policy.plan(&fleet, now) {
                log_order(&order);
                let body = order_body(&order, service.order_check);
                self.context.control.propose_order(order.data_centre, body);
            }
        }
    }
}

fn order_body(order: &PlacementOrder, check: OrderCheck) -> OrderBody {
    match &order.action {
        PlacementAction::Engine { upstream, action } => OrderBody::Engine {
            upstream: upstream.clone(),
            checks_fence: check == OrderCheck::Fenced,
            action: action.clone(),
        },
        PlacementAction::Platform { action } => OrderBody::Platform {
            service: order.service.clone(),
            action: action.clone(),
        },
    }
}

fn log_order(order: &PlacementOrder) {
    info!(
        target: DECISION_TARGET,
        service:% = order.service, data_centre:% = order.data_centre, action:? = order.action,
        reason:% = order.reason, gain_engine_s = order.gain;
        "placement"
    );
}
