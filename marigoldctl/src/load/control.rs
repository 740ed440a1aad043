//! What goes on beside the requests: reports, heartbeats, ticks, the list and placement.

use std::rc::Rc;

use marigoldlock_core::placement::{FleetView, PlacementAction, PlacementOrder};
use marigoldlock_core::prelude::*;
use marigoldlock_core::routing::WorkClass;
use marigoldlock_wire::engine::{CacheEvents, EngineAction, LoadReport};
use marigoldlock_wire::peer::{CustomerCounter, UpstreamLoad};
use marigoldlock_wire::platform::{CapacityKind, OrderAction};

use super::fleet::UpstreamPhase;
use super::flight::RequestPhase;
use super::placing::{ArrivedWork, engine_views};
use super::replay::{PLAN_S, ReplayEvent, ReplayRun};
use super::sequence::{from_ms, from_s, point};

/// Every so many batches of cache events are lost.
const LOST_EVENTS: u64 = 25;

/// Time between two ticks of an instance.
const TICK_MS: f64 = 100.0;

impl ReplayRun<'_> {
    pub(super) fn take_report(&mut self, upstream: usize) {
        let entry = &self.experiment.entry;
        let target = &mut self.fleet.upstreams[upstream];
        if target.phase == UpstreamPhase::Gone {
            return;
        }
        if target.is_up() && !target.engine.silent {
            let report = target.engine.report(entry.report_lag_ms as u64);
            let events = target.engine.cache_events(target.next_event);
            target.next_event = events.next;
            let lost = report.sequence.is_multiple_of(LOST_EVENTS);
            let events = if lost {
                CacheEvents {
                    next: 0,
                    ..CacheEvents::default()
                }
            } else {
                events
            };
            let report = Rc::new((report, events));
            self.schedule_in(
                from_ms(entry.report_lag_ms),
                ReplayEvent::Report { upstream, report },
            );
        }
        self.schedule_in(
            from_ms(entry.report_interval_ms),
            ReplayEvent::TakeReport(upstream),
        );
    }

    /// Lets every instance know an upstream's load at once, before the run begins.
    pub(super) fn deliver_report_now(&mut self, upstream: usize) {
        let target = &mut self.fleet.upstreams[upstream];
        let report = (target.engine.report(0), CacheEvents::default());
        self.on_report(upstream, &report);
    }

    pub(super) fn on_report(&mut self, upstream: usize, content: &(LoadReport, CacheEvents)) {
        let id = self.fleet.upstreams[upstream].id.clone();
        let now = point(self.now);
        for instance in &mut self.instances {
            instance.table.on_load_report(&id, &content.0, now);
            if content.1.incarnation != Incarnation::default() {
                instance.table.on_cache_events(&id, &content.1, now);
            }
        }
    }

    pub(super) fn take_heartbeat(&mut self, instance: usize) {
        let entry = &self.experiment.entry;
        let sender = &self.instances[instance];
        let content = Rc::new((sender.table.own_load(), sender.admission.counters()));
        let heartbeat = ReplayEvent::Heartbeat {
            from: instance,
            content,
        };
        self.schedule_in(from_ms(entry.heartbeat_delay_ms), heartbeat);
        self.schedule_in(from_ms(entry.heartbeat_ms), ReplayEvent::TakeHeartbeat(instance));
    }

    pub(super) fn on_heartbeat(&mut self, from: usize, content: &(Vec<UpstreamLoad>, Vec<CustomerCounter>)) {
        let sender = self.instances[from].id.clone();
        let now = self.time();
        for (number, instance) in self.instances.iter_mut().enumerate() {
            if number != from {
                instance.table.on_peer_load(&sender, &content.0, now);
                instance
                    .admission
                    .on_peer_counters(&sender, Incarnation(1), &content.1, now);
            }
        }
    }

    pub(super) fn on_tick(&mut self, number: usize) {
        self.give_up_silent(number);
        let now = self.time();
        let instance = &mut self.instances[number];
        instance.table.tick(now);
        instance.update_capacity(&self.services);
        let ready = instance.admission.tick(now);
        self.on_admission(ready);
        self.schedule_in(from_ms(TICK_MS), ReplayEvent::Tick(number));
    }

    /// Shows an upstream's phase to every instance, as the platform's list would.
    pub(super) fn show_in_list(&mut self, upstream: usize) {
        let facts = self.fleet.facts(upstream);
        let phase = self.fleet.upstreams[upstream].phase;
        for instance in &mut self.instances {
            match phase {
                UpstreamPhase::Live => instance.table.upsert(facts.clone()),
                UpstreamPhase::Leaving => instance.table.set_leaving(&facts.id),
                UpstreamPhase::Gone => instance.table.remove(&facts.id),
                UpstreamPhase::Starting | UpstreamPhase::Down => {}
            }
        }
    }

    pub(super) fn on_upstream_up(&mut self, upstream: usize) {
        self.fleet.upstreams[upstream].phase = UpstreamPhase::Live;
        self.schedule_in(
            from_s(self.experiment.entry.list_lag_s),
            ReplayEvent::ListChange(upstream),
        );
        self.schedule_in(0, ReplayEvent::TakeReport(upstream));
    }

    pub(super) fn on_role_done(&mut self, upstream: usize) {
        let target = &mut self.fleet.upstreams[upstream];
        target.engine.changing = false;
        if let Some(role) = target.ordered_role.take() {
            target.engine.role = role;
        }
        self.wake(upstream);
    }

    /// Counts a request that arrives towards its service's demand.
    pub(super) fn note_demand(&mut self, request: usize) {
        let asked = &self.requests[request];
        let stream = self.stream(request);
        let service = self
            .experiment
            .service
            .iter()
            .position(|spec| spec.name == stream.service);
        let Some(planner) = self
            .planners
            .iter_mut()
            .find(|planner| Some(planner.service) == service)
        else {
            return;
        };
        // A shared prefix is mostly cached.
        let fresh = asked.prompt_tokens.saturating_sub(stream.shared_tokens) as f64;
        let output = asked.output_tokens as f64;
        planner.arrived.prompt_tokens += fresh;
        planner.arrived.output_tokens += output;
        if stream.cheap && asked.class == WorkClass::Long {
            planner.arrived.interruptible += fresh + output;
        }
    }

    fn backlog(&self, service: usize) -> ArrivedWork {
        let mut backlog = ArrivedWork::default();
        let queued = self
            .states
            .iter()
            .enumerate()
            .filter(|(_, state)| state.phase == RequestPhase::Queued);
        for (request, _) in queued {
            let stream = self.stream(request);
            if stream.service == self.experiment.service[service].name {
                let fresh = self.requests[request]
                    .prompt_tokens
                    .saturating_sub(stream.shared_tokens);
                backlog.prompt_tokens += fresh as f64;
                backlog.output_tokens += self.requests[request].output_tokens as f64;
            }
        }
        backlog
    }

    pub(super) fn on_plan(&mut self) {
        let now = self.time();
        let data_centres = self.fleet.data_centres.clone();
        let mut orders = Vec::new();
        for number in 0..self.planners.len() {
            let service = self.planners[number].service;
            let backlog = self.backlog(service);
            let planner = &mut self.planners[number];
            let demand = planner.arrived.sample(PLAN_S, &backlog);
            planner.arrived = ArrivedWork::default();
            for place in &data_centres {
                let engines = engine_views(&self.fleet, service);
                let view = FleetView {
                    service: &self.services[service],
                    engines: &engines,
                    data_centre: place,
                    data_centres: &data_centres,
                    demand,
                    models: &[],
                };
                let planned = self.planners[number].policy.plan(&view, now);
                for order in &planned {
                    self.reserve_role(order);
                }
                orders.extend(planned.into_iter().map(|order| (number, order)));
            }
        }
        for (planner, order) in orders {
            self.carry_out(planner, &order);
        }
        self.schedule_in(from_s(PLAN_S), ReplayEvent::Plan);
    }

    /// Shows a planned role to the planners of the other data centres.
    fn reserve_role(&mut self, order: &PlacementOrder) {
        let PlacementAction::Engine { upstream, .. } = &order.action else {
            return;
        };
        let Some(number) = self.fleet.number(upstream) else {
            return;
        };
        if order.planned_role.is_some() {
            self.fleet.upstreams[number].ordered_role = order.planned_role;
        }
    }

    fn carry_out(&mut self, planner: usize, order: &PlacementOrder) {
        match &order.action {
            PlacementAction::Engine { upstream, action } => {
                if let Some(number) = self.fleet.number(upstream) {
                    self.order_engine(number, action);
                }
            }
            PlacementAction::Platform {
                action: OrderAction::Start { capacity },
            } => {
                self.order_upstream(planner, order, *capacity);
            }
            PlacementAction::Platform {
                action: OrderAction::Withdraw { upstream },
            } => {
                if let Some(number) = self.fleet.number(upstream) {
                    self.withdrawals += 1;
                    self.take_away(number);
                }
            }
        }
    }

    fn order_engine(&mut self, number: usize, action: &EngineAction) {
        let change_s = self.fleet.services[self.fleet.upstreams[number].service].role_change_s;
        let target = &mut self.fleet.upstreams[number];
        match action {
            EngineAction::Drain => target.engine.draining = true,
            EngineAction::Undrain => {
                target.engine.draining = false;
                target.ordered_role = None;
            }
            EngineAction::SetRole(role) => {
                target.ordered_role = Some(*role);
                target.engine.changing = true;
                target.role_changes += 1;
                self.schedule_in(from_s(change_s), ReplayEvent::RoleDone(number));
            }
            EngineAction::LoadModel(_) | EngineAction::LoadAdapter(_) | EngineAction::SetVersion(_) => {}
        }
    }

    fn order_upstream(&mut self, planner: usize, order: &PlacementOrder, capacity: CapacityKind) {
        let service = self.planners[planner].service;
        if capacity == CapacityKind::Cheap && self.unavailable.contains(&order.data_centre) {
            let now = self.time();
            let policy = &mut self.planners[planner].policy;
            policy.on_capacity_unavailable(&order.service, &order.data_centre, capacity, now);
            return;
        }
        self.ordered += 1;
        let upstream = self
            .fleet
            .start(service, order.data_centre.clone(), capacity, self.now);
        let cold_start = from_s(self.fleet.services[service].cold_start_s);
        self.schedule_in(cold_start, ReplayEvent::UpstreamUp(upstream));
    }
}
