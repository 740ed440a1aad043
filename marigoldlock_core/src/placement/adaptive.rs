//! The policy in use.

use std::time::Duration;

use marigoldlock_wire::engine::{EngineAction, EngineRole};
use marigoldlock_wire::platform::{CapacityKind, OrderAction};

use crate::prelude::*;

use super::capacity::{self, CapacityAsk, CapacityStep};
use super::change::{EngineChange, NextStep, PlannedChange};
use super::demand::DemandTracker;
use super::models;
use super::policy::PlacementPolicy;
use super::roles::{EngineLoad, RoleMix};
use super::types::{
    EngineView, FleetView, PlacementAction, PlacementOrder, PlacementParams, PlacementReason,
};

/// Changes of one service in one data centre.
#[derive(Clone, Debug, Default)]
struct PlaceState {
    demand: DemandTracker,
    change: Option<EngineChange>,
    role_changed: FastMap<UpstreamId, MonoTime>,
    model_load: Option<MonoTime>,
    known: FastSet<UpstreamId>,
    ordered: Vec<MonoTime>,
    surplus_since: Option<MonoTime>,
    cheap_unavailable: Option<MonoTime>,
}

/// Roles by predicted gain, models by demand, upstreams by payback.
#[derive(Clone, Debug, Default)]
pub struct AdaptivePlacement {
    params: PlacementParams,
    places: FastMap<(ServiceId, DataCentre), PlaceState>,
}

impl AdaptivePlacement {
    /// Policy with the given parameters.
    pub fn new(params: PlacementParams) -> Self {
        Self {
            params,
            places: FastMap::default(),
        }
    }
}

impl PlacementPolicy for AdaptivePlacement {
    fn name(&self) -> &'static str {
        "adaptive"
    }

    fn plan(&mut self, view: &FleetView<'_>, now: MonoTime) -> Vec<PlacementOrder> {
        let key = (view.service.clone(), view.data_centre.clone());
        let state = self.places.entry(key).or_default();
        let mut round = PlanRound {
            params: &self.params,
            view,
            now,
            orders: Vec::new(),
        };
        state.demand.observe(&view.demand, &self.params, now);
        state.note_arrivals(view.engines, &self.params, now);
        state.continue_change(&mut round);
        state.plan_role(&mut round);
        state.plan_model(&mut round);
        if self.params.scales {
            state.plan_capacity(&mut round);
        }
        round.orders
    }

    fn on_unavailable(&mut self, service: &ServiceId, place: &DataCentre, kind: CapacityKind, now: MonoTime) {
        let state = self.places.entry((service.clone(), place.clone())).or_default();
        state.ordered.pop();
        if kind == CapacityKind::Cheap {
            state.cheap_unavailable = Some(now);
        }
    }
}

/// One call of [`PlacementPolicy::plan`].
struct PlanRound<'a> {
    params: &'a PlacementParams,
    view: &'a FleetView<'a>,
    now: MonoTime,
    orders: Vec<PlacementOrder>,
}

impl PlanRound<'_> {
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

impl PlaceState {
    /// Strikes orders off whose upstreams have appeared, or never will.
    fn note_arrivals(&mut self, engines: &[EngineView], params: &PlacementParams, now: MonoTime) {
        let first_time = self.known.is_empty();
        self.known
            .retain(|id| engines.iter().any(|engine| engine.id == *id));
        for engine in engines {
            if self.known.insert(engine.id.clone()) && !first_time && !self.ordered.is_empty() {
                self.ordered.remove(0);
            }
        }
        let patience = params.cold_start * 2;
        self.ordered.retain(|ordered| now.since(*ordered) < patience);
    }

    fn continue_change(&mut self, round: &mut PlanRound<'_>) {
        let Some(change) = &mut self.change else { return };
        let upstream = change.upstream.clone();
        let limit = round.params.drain_limit;
        match change.advance(round.engine(&upstream), limit, round.now) {
            NextStep::Wait => {}
            NextStep::Order(action, reason) => round.order_engine(upstream, action, reason, 0.0),
            NextStep::Withdraw => {
                let action = OrderAction::Withdraw { upstream };
                round.order(
                    PlacementAction::Platform { action },
                    PlacementReason::Surplus,
                    0.0,
                );
            }
            NextStep::Finish(action, reason) => {
                round.order_engine(upstream, action, reason, 0.0);
                self.change = None;
            }
            NextStep::Gone => self.change = None,
        }
    }

    /// Begins a role change if it gains more than it loses.
    fn plan_role(&mut self, round: &mut PlanRound<'_>) {
        if self.change.is_some() {
            return;
        }
        let present = round.view.engines.iter().filter(|engine| !engine.leaving);
        let mix = RoleMix::count(present.map(EngineView::coming_role));
        let load = self.demand.load(round.params);
        let Some((from, to, saved)) = mix.best_change(load, round.params.role_worth) else {
            return;
        };
        let gain = saved * round.params.dwell.as_secs_f64();
        // While it drains, an engine is on average half empty.
        let lost = round.params.role_change.as_secs_f64() + round.params.drain.as_secs_f64() / 2.0;
        if gain < lost * round.params.hysteresis {
            return;
        }
        let Some(engine) = self.changeable(round, from) else {
            return;
        };
        let planned = PlannedChange::Role(to);
        self.role_changed.insert(engine.clone(), round.now);
        self.begin(engine, planned, PlacementReason::MixShift, gain - lost, round);
    }

    /// The engine of the role here that has the least work and has kept its role for the dwell time.
    fn changeable(&self, round: &PlanRound<'_>, role: EngineRole) -> Option<UpstreamId> {
        let here = round.view.engines.iter().filter(|engine| {
            let settled = self.role_changed.get(&engine.id);
            let rested = settled.is_none_or(|changed| round.now.since(*changed) >= round.params.dwell);
            engine.data_centre == *round.view.data_centre
                && engine.role == role
                && engine.ordered_role.is_none()
                && !engine.changing
                && !engine.leaving
                && rested
        });
        here.min_by_key(|engine| (engine.in_flight, &engine.id))
            .map(|engine| engine.id.clone())
    }

    /// Begins a model load if a model lacks engines and the weight store is free.
    fn plan_model(&mut self, round: &mut PlanRound<'_>) {
        let busy = self
            .model_load
            .is_some_and(|at| round.now.since(at) < round.params.model_load);
        if self.change.is_some() || busy {
            return;
        }
        let view = round.view;
        let best = models::best_load(view.engines, view.data_centre, view.models, round.params);
        let Some((engine, model, lacking)) = best else {
            return;
        };
        self.model_load = Some(round.now);
        let planned = PlannedChange::Model(model);
        self.begin(engine, planned, PlacementReason::ModelDemand, lacking, round);
    }

    /// Orders an upstream, or begins to withdraw one.
    fn plan_capacity(&mut self, round: &mut PlanRound<'_>) {
        let load = self.demand.load(round.params);
        let surplus = self.has_surplus(load, round);
        let blocked = self.cheap_unavailable;
        let wait = round.params.unavailable_time;
        let ask = CapacityAsk {
            engines: round.view.engines,
            place: round.view.data_centre,
            places: round.view.data_centres,
            load,
            firm: load.total() * (1.0 - self.demand.interruptible()),
            ordered: self.ordered.len() as u32,
            surplus,
            cheap_available: blocked.is_none_or(|at| round.now.since(at) >= wait),
            params: round.params,
        };
        match capacity::next_step(&ask) {
            Some(CapacityStep::Start(_, action, reason, gain)) => {
                self.ordered.push(round.now);
                round.order(PlacementAction::Platform { action }, reason, gain);
            }
            Some(CapacityStep::Withdraw(engine, gain)) if self.change.is_none() => {
                self.surplus_since = None;
                self.begin(
                    engine,
                    PlannedChange::Withdraw,
                    PlacementReason::Surplus,
                    gain,
                    round,
                );
            }
            _ => {}
        }
    }

    /// True if one engine less would have carried the load for the surplus time.
    fn has_surplus(&mut self, load: EngineLoad, round: &PlanRound<'_>) -> bool {
        let present = round.view.engines.iter().filter(|engine| !engine.leaving).count() as u32;
        let spare = capacity::utilisation(load, present.saturating_sub(1)) <= round.params.withdraw_below;
        if !spare {
            self.surplus_since = None;
            return false;
        }
        let since = *self.surplus_since.get_or_insert(round.now);
        round.now.since(since) >= round.params.surplus_time
    }

    fn begin(
        &mut self,
        upstream: UpstreamId,
        planned: PlannedChange,
        reason: PlacementReason,
        gain: f64,
        round: &mut PlanRound<'_>,
    ) {
        let change = EngineChange::begin(upstream.clone(), planned, round.now);
        round.order_engine(upstream, change.first_action(), reason, gain);
        if let (PlannedChange::Role(role), Some(order)) = (&change.planned, round.orders.last_mut()) {
            order.planned_role = Some(*role);
        }
        self.change = Some(change);
    }
}

/// Time after which the planner should be called again.
pub const PLAN_INTERVAL: Duration = Duration::from_secs(1);
