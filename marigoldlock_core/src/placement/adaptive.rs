//! The policy in use: adapts roles, models and the number of upstreams to the demand.

use std::time::Duration;

use marigoldlock_wire::engine::{EngineAction, EngineRole};
use marigoldlock_wire::platform::{CapacityKind, OrderAction};

use crate::prelude::*;

use super::capacity::{self, CapacityInput, CapacityStep};
use super::change::{EngineChange, NextStep, PlannedChange};
use super::demand::DemandTracker;
use super::models;
use super::policy::PlacementPolicy;
use super::roles::{EngineLoad, RoleMix};
use super::types::{
    EngineView, FleetView, PlacementAction, PlacementOrder, PlacementParams, PlacementReason,
};

/// Planning state of one service in one data centre.
#[derive(Clone, Debug, Default)]
struct PlanState {
    demand: DemandTracker,
    change: Option<EngineChange>,
    role_changed: FastMap<UpstreamId, MonoTime>,
    model_load: Option<MonoTime>,
    known: FastSet<UpstreamId>,
    pending_starts: Vec<MonoTime>,
    surplus_since: Option<MonoTime>,
    cheap_unavailable_since: Option<MonoTime>,
}

/// Plans roles by predicted gain, models by demand and upstreams by payback.
#[derive(Clone, Debug, Default)]
pub struct AdaptivePlacement {
    params: PlacementParams,
    states: FastMap<(ServiceId, DataCentre), PlanState>,
}

impl AdaptivePlacement {
    /// Creates the policy with the given parameters.
    pub fn new(params: PlacementParams) -> Self {
        Self {
            params,
            states: FastMap::default(),
        }
    }
}

impl PlacementPolicy for AdaptivePlacement {
    fn name(&self) -> &'static str {
        "adaptive"
    }

    fn plan(&mut self, view: &FleetView<'_>, now: MonoTime) -> Vec<PlacementOrder> {
        let key = (view.service.clone(), view.data_centre.clone());
        let state = self.states.entry(key).or_default();
        let mut context = PlanContext {
            params: &self.params,
            view,
            now,
            orders: Vec::new(),
        };
        state.demand.observe(&view.demand, &self.params, now);
        state.update_pending_starts(view.engines, &self.params, now);
        state.continue_change(&mut context);
        state.plan_role(&mut context);
        state.plan_model(&mut context);
        if self.params.scaling_enabled {
            state.plan_capacity(&mut context);
        }
        context.orders
    }

    fn on_capacity_unavailable(
        &mut self,
        service: &ServiceId,
        data_centre: &DataCentre,
        kind: CapacityKind,
        now: MonoTime,
    ) {
        let state = self
            .states
            .entry((service.clone(), data_centre.clone()))
            .or_default();
        state.pending_starts.pop();
        if kind == CapacityKind::Cheap {
            state.cheap_unavailable_since = Some(now);
        }
    }
}

/// Input and resulting orders of one call of [`PlacementPolicy::plan`].
struct PlanContext<'a> {
    params: &'a PlacementParams,
    view: &'a FleetView<'a>,
    now: MonoTime,
    orders: Vec<PlacementOrder>,
}

impl PlanContext<'_> {
    fn order(&mut self, action: PlacementAction, reason: PlacementReason, gain: f64) {
        self.orders.push(PlacementOrder {
            service: self.view.service.clone(),
            data_centre: self.view.data_centre.clone(),
            action,
            planned_role: None,
            reason,
            gain,
        });
    }

    fn order_engine(
        &mut self,
        upstream: UpstreamId,
        action: EngineAction,
        reason: PlacementReason,
        gain: f64,
    ) {
        self.order(PlacementAction::Engine { upstream, action }, reason, gain);
    }

    fn engine(&self, id: &UpstreamId) -> Option<&EngineView> {
        self.view.engines.iter().find(|engine| engine.id == *id)
    }
}

impl PlanState {
    /// Removes start orders whose upstream has appeared, or has not appeared after twice the cold start time.
    fn update_pending_starts(&mut self, engines: &[EngineView], params: &PlacementParams, now: MonoTime) {
        let first_time = self.known.is_empty();
        self.known
            .retain(|id| engines.iter().any(|engine| engine.id == *id));
        for engine in engines {
            if self.known.insert(engine.id.clone()) && !first_time && !self.pending_starts.is_empty() {
                self.pending_starts.remove(0);
            }
        }
        let timeout = params.cold_start * 2;
        self.pending_starts
            .retain(|ordered_at| now.since(*ordered_at) < timeout);
    }

    fn continue_change(&mut self, context: &mut PlanContext<'_>) {
        let Some(change) = &mut self.change else { return };
        let upstream = change.upstream.clone();
        let timeout = context.params.drain_timeout;
        match change.advance(context.engine(&upstream), timeout, context.now) {
            NextStep::Wait => {}
            NextStep::Order(action, reason) => context.order_engine(upstream, action, reason, 0.0),
            NextStep::Withdraw => {
                let action = OrderAction::Withdraw { upstream };
                context.order(
                    PlacementAction::Platform { action },
                    PlacementReason::Surplus,
                    0.0,
                );
            }
            NextStep::Finish(action, reason) => {
                context.order_engine(upstream, action, reason, 0.0);
                self.change = None;
            }
            NextStep::Done => self.change = None,
        }
    }

    /// Begins a role change if its gain is at least its loss times the hysteresis.
    fn plan_role(&mut self, context: &mut PlanContext<'_>) {
        if self.change.is_some() {
            return;
        }
        let present = context.view.engines.iter().filter(|engine| !engine.leaving);
        let mix = RoleMix::count(present.map(EngineView::target_role));
        let load = self.demand.load(context.params);
        let Some((from, to, saved)) = mix.best_change(load, context.params.role_benefit) else {
            return;
        };
        let gain = saved * context.params.dwell.as_secs_f64();
        // An engine is on average half empty while it drains.
        let lost = context.params.role_change.as_secs_f64() + context.params.drain.as_secs_f64() / 2.0;
        if gain < lost * context.params.hysteresis {
            return;
        }
        let Some(engine) = self.engine_to_change(context, from) else {
            return;
        };
        let planned = PlannedChange::Role(to);
        self.role_changed.insert(engine.clone(), context.now);
        self.begin(engine, planned, PlacementReason::MixShift, gain - lost, context);
    }

    /// The least loaded engine of the role in this data centre that has kept its role for the dwell time.
    fn engine_to_change(&self, context: &PlanContext<'_>, role: EngineRole) -> Option<UpstreamId> {
        let here = context.view.engines.iter().filter(|engine| {
            let last_change = self.role_changed.get(&engine.id);
            let dwell_elapsed =
                last_change.is_none_or(|changed| context.now.since(*changed) >= context.params.dwell);
            engine.data_centre == *context.view.data_centre
                && engine.role == role
                && engine.ordered_role.is_none()
                && !engine.changing
                && !engine.leaving
                && dwell_elapsed
        });
        here.min_by_key(|engine| (engine.in_flight, &engine.id))
            .map(|engine| engine.id.clone())
    }

    /// Begins a model load if a model has too few engines and the weight store is idle.
    fn plan_model(&mut self, context: &mut PlanContext<'_>) {
        let busy = self
            .model_load
            .is_some_and(|at| context.now.since(at) < context.params.model_load);
        if self.change.is_some() || busy {
            return;
        }
        let view = context.view;
        let best = models::best_model_load(view.engines, view.data_centre, view.models, context.params);
        let Some((engine, model, missing)) = best else {
            return;
        };
        self.model_load = Some(context.now);
        let planned = PlannedChange::Model(model);
        self.begin(engine, planned, PlacementReason::ModelDemand, missing, context);
    }

    /// Orders the start of an upstream, or begins to withdraw one.
    fn plan_capacity(&mut self, context: &mut PlanContext<'_>) {
        let load = self.demand.load(context.params);
        let surplus = self.has_surplus(load, context);
        let blocked = self.cheap_unavailable_since;
        let wait = context.params.unavailable_backoff;
        let input = CapacityInput {
            engines: context.view.engines,
            data_centre: context.view.data_centre,
            data_centres: context.view.data_centres,
            load,
            uninterruptible: load.total() * (1.0 - self.demand.interruptible()),
            pending_starts: self.pending_starts.len() as u32,
            surplus,
            cheap_available: blocked.is_none_or(|at| context.now.since(at) >= wait),
            params: context.params,
        };
        match capacity::next_step(&input) {
            Some(CapacityStep::Start(_, action, reason, gain)) => {
                self.pending_starts.push(context.now);
                context.order(PlacementAction::Platform { action }, reason, gain);
            }
            Some(CapacityStep::Withdraw(engine, gain)) if self.change.is_none() => {
                self.surplus_since = None;
                self.begin(
                    engine,
                    PlannedChange::Withdraw,
                    PlacementReason::Surplus,
                    gain,
                    context,
                );
            }
            _ => {}
        }
    }

    /// True if one engine fewer could have carried the load for the whole surplus time.
    fn has_surplus(&mut self, load: EngineLoad, context: &PlanContext<'_>) -> bool {
        let present = context
            .view
            .engines
            .iter()
            .filter(|engine| !engine.leaving)
            .count() as u32;
        let spare = capacity::utilisation(load, present.saturating_sub(1)) <= context.params.scale_down_below;
        if !spare {
            self.surplus_since = None;
            return false;
        }
        let since = *self.surplus_since.get_or_insert(context.now);
        context.now.since(since) >= context.params.surplus_time
    }

    fn begin(
        &mut self,
        upstream: UpstreamId,
        planned: PlannedChange,
        reason: PlacementReason,
        gain: f64,
        context: &mut PlanContext<'_>,
    ) {
        let change = EngineChange::begin(upstream.clone(), planned, context.now);
        context.order_engine(upstream, change.first_action(), reason, gain);
        if let (PlannedChange::Role(role), Some(order)) = (&change.planned, context.orders.last_mut()) {
            order.planned_role = Some(*role);
        }
        self.change = Some(change);
    }
}

/// Interval at which the planner should be called.
pub const PLAN_INTERVAL: Duration = Duration::from_secs(1);
