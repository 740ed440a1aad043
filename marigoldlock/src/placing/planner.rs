//! The task that plans.

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
use super::params::PlanBasis;
use crate::clock::TimeSource;
use crate::control::ControlHandle;
use crate::dispatch::{DispatchHandle, GetPlanningView};
use crate::logging::DECISION_TARGET;
use crate::settings::SettingsHandle;

/// What the planner works with.
pub struct PlannerParts {
    /// Start of the instance.
    pub incarnation: Incarnation,
    /// Clock of the instance.
    pub clock: Arc<dyn TimeSource>,
    /// Settings in force.
    pub settings: SettingsHandle,
    /// Way to the dispatch actor.
    pub dispatch: DispatchHandle,
    /// Way to the control actor.
    pub control: ControlHandle,
    /// True if upstreams can be ordered.
    pub scales: bool,
}

/// Planner of one service.
struct ServicePlanner {
    basis: PlanBasis,
    policy: Box<dyn PlacementPolicy>,
    meter: DemandMeter,
}

impl ServicePlanner {
    fn new(basis: PlanBasis) -> Self {
        let policy = Box::new(AdaptivePlacement::new(basis.params()));
        Self {
            basis,
            policy,
            meter: DemandMeter::default(),
        }
    }

    /// Starts the policy anew if the settings that it is made from have changed.
    fn renew(&mut self, basis: PlanBasis) {
        if self.basis != basis {
            self.policy = Box::new(AdaptivePlacement::new(basis.params()));
            self.basis = basis;
        }
    }
}

/// Plans for the data centres whose orders this instance holds.
pub struct PlacementPlanner {
    parts: PlannerParts,
    services: FastMap<ServiceId, ServicePlanner>,
}

impl PlacementPlanner {
    /// A planner that has seen nothing yet.
    pub fn new(parts: PlannerParts) -> Self {
        Self {
            parts,
            services: FastMap::default(),
        }
    }

    /// Plans for as long as the task lives.
    pub async fn run(mut self) {
        let mut ticks = tokio::time::interval(PLAN_INTERVAL);
        ticks.set_missed_tick_behavior(MissedTickBehavior::Delay);
        loop {
            ticks.tick().await;
            self.plan().await;
        }
    }

    async fn plan(&mut self) {
        let status = self.parts.control.status().await;
        let held = status.duties.into_iter().filter(|held| held.is_own);
        let places: Vec<DataCentre> = held
            .filter_map(|held| match held.duty {
                Duty::Orders { data_centre } => Some(data_centre),
                _ => None,
            })
            .collect();
        if places.is_empty() {
            // A later holder must not plan from what was seen before another one acted.
            self.services.clear();
            return;
        }
        let settings = self.parts.settings.active();
        let chats = settings
            .services()
            .filter(|service| service.kind == ServiceKind::Chat);
        for service in chats {
            self.plan_service(&settings, service, &places).await;
        }
    }

    async fn plan_service(
        &mut self,
        settings: &ActiveSettings,
        service: &ServiceSettings,
        places: &[DataCentre],
    ) {
        let ask = GetPlanningView {
            service: service.name.clone(),
            incarnation: self.parts.incarnation,
        };
        let Ok(view) = self.parts.dispatch.actor().ask(ask).await else {
            return;
        };
        if view.engines.is_empty() {
            return;
        }
        let now = self.parts.clock.now();
        let scales = self.parts.scales;
        let basis = PlanBasis::new(settings, service, scales);
        let planner = self
            .services
            .entry(service.name.clone())
            .or_insert_with(|| ServicePlanner::new(basis.clone()));
        planner.renew(basis);
        let demand = planner.meter.sample(&view, service.expected_output_tokens, now);
        let models: Vec<ModelDemand> = Vec::new();
        let mut data_centres: Vec<DataCentre> = view
            .engines
            .iter()
            .map(|engine| engine.data_centre.clone())
            .chain(places.iter().cloned())
            .collect();
        data_centres.sort();
        data_centres.dedup();
        for place in places {
            let fleet = FleetView {
                service: &service.name,
                engines: &view.engines,
                data_centre: place,
                data_centres: &data_centres,
                demand,
                models: &models,
            };
            for order in planner.policy.plan(&fleet, now) {
                log_order(&order);
                let body = order_body(&order, service.order_check);
                self.parts.control.propose_order(order.data_centre, body);
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
