//! Background events of a run: load reports, heartbeats, ticks, list changes and placement.

use std::rc::Rc;

use marigoldlock_core::placement::{FleetView, PlacementAction, PlacementOrder};
use marigoldlock_core::prelude::*;
use marigoldlock_core::routing::WorkClass;
use marigoldlock_wire::engine::{CacheEvents, EngineAction, LoadReport};
use marigoldlock_wire::peer::{CustomerCounter, UpstreamLoad};
use marigoldlock_wire::platform::{CapacityKind, OrderAction};

use super::event_queue::{millis_to_micros, mono_time, secs_to_micros};
use super::fleet::UpstreamPhase;
use super::placement::{ArrivedWork, engine_views};
use super::replay::{PLAN_INTERVAL_S, ReplayEvent, ReplayRun};
use super::state::RequestPhase;

/// One batch of cache events in this many is lost.
const CACHE_EVENT_LOSS_INTERVAL: u64 = 25;

/// Interval of an instance's ticks.
const TICK_INTERVAL_MS: f64 = 100.0;

impl ReplayRun<'_> {
    pub(super) fn send_report(&mut self, upstream: usize) {
        let entry = &self.experiment.entry;
        let target = &mut self.fleet.upstreams[upstream];
        if target.phase == UpstreamPhase::Gone {
            return;
        }
        if target.is_up() && !target.engine.silent {
            let report = target.engine.report(entry.report_lag_ms as u64);
            let events = target.engine.cache_events(target.next_event);
            target.next_event = events.next;
            let lost = report.sequence.is_multiple_of(CACHE_EVENT_LOSS_INTERVAL);
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
                millis_to_micros(entry.report_lag_ms),
                ReplayEvent::Report { upstream, report },
            );
        }
        self.schedule_in(
            millis_to_micros(entry.report_interval_ms),
            ReplayEvent::SendReport(upstream),
        );
    }

    /// Delivers an upstream's load report to every instance without delay, before the run begins.
    pub(super) fn deliver_initial_report(&mut self, upstream: usize) {
        let target = &mut self.fleet.upstreams[upstream];
        let report = (target.engine.report(0), CacheEvents::default());
        self.on_report(upstream, &report);
    }

    pub(super) fn on_report(&mut self, upstream: usize, content: &(LoadReport, CacheEvents)) {
        let id = self.fleet.upstreams[upstream].id.clone();
        let now = mono_time(self.now);
        for instance in &mut self.instances {
            instance.table.on_load_report(&id, &content.0, now);
            if content.1.incarnation != Incarnation::default() {
                instance.table.on_cache_events(&id, &content.1, now);
            }
        }
    }

    pub(super) fn send_heartbeat(&mut self, instance: usize) {
        let entry = &self.experiment.entry;
        let sender = &self.instances[instance];
        let content = Rc::new((sender.table.own_load(), sender.admission.counters()));
        let heartbeat = ReplayEvent::Heartbeat {
            from: instance,
            content,
        };
        self.schedule_in(millis_to_micros(entry.heartbeat_delay_ms), heartbeat);
        self.schedule_in(
            millis_to_micros(entry.heartbeat_ms),
            ReplayEvent::SendHeartbeat(instance),
        );
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
        self.abort_silent_attempts(number);
        let now = self.time();
        let instance = &mut self.instances[number];
        instance.table.tick(now);
        instance.update_capacity(&self.services);
        let ready = instance.admission.tick(now);
        self.on_admission(ready);
        self.schedule_in(millis_to_micros(TICK_INTERVAL_MS), ReplayEvent::Tick(number));
    }

    /// Applies an upstream's phase to every instance's routing table, as the platform's instance list would.
    pub(super) fn apply_list_entry(&mut self, upstream: usize) {
        let info = self.fleet.upstream_info(upstream);
        let phase = self.fleet.upstreams[upstream].phase;
        for instance in &mut self.instances {
            match phase {
                UpstreamPhase::Live => instance.table.upsert(info.clone()),
                UpstreamPhase::Leaving => instance.table.set_leaving(&info.id),
                UpstreamPhase::Gone => instance.table.remove(&info.id),
                UpstreamPhase::Starting | UpstreamPhase::Down => {}
            }
        }
    }

    pub(super) fn on_upstream_up(&mut self, upstream: usize) {
        self.fleet.upstreams[upstream].phase = UpstreamPhase::Live;
        self.schedule_in(
            secs_to_micros(self.experiment.entry.list_lag_s),
            ReplayEvent::ListChange(upstream),
        );
        self.schedule_in(0, ReplayEvent::SendReport(upstream));
    }

    pub(super) fn on_role_changed(&mut self, upstream: usize) {
        let target = &mut self.fleet.upstreams[upstream];
        target.engine.changing = false;
        if let Some(role) = target.ordered_role.take() {
            target.engine.role = role;
        }
        self.wake(upstream);
    }

    /// Adds an arriving request to its service's demand.
    pub(super) fn record_demand(&mut self, request: usize) {
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
        // Shared prefixes are mostly cached, so they don't count as prefill demand.
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
            let demand = planner.arrived.sample(PLAN_INTERVAL_S, &backlog);
            planner.arrived = ArrivedWork::default();
            for data_centre in &data_centres {
                let engines = engine_views(&self.fleet, service);
                let view = FleetView {
                    service: &self.services[service],
                    engines: &engines,
                    data_centre,
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
            self.execute_order(planner, &order);
        }
        self.schedule_in(secs_to_micros(PLAN_INTERVAL_S), ReplayEvent::Plan);
    }

    /// Makes a planned role visible to the plans of the other data centres.
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

    fn execute_order(&mut self, planner: usize, order: &PlacementOrder) {
        match &order.action {
            PlacementAction::Engine { upstream, action } => {
                if let Some(number) = self.fleet.number(upstream) {
                    self.apply_engine_action(number, action);
                }
            }
            PlacementAction::Platform {
                action: OrderAction::Start { capacity },
            } => {
                self.start_upstream(planner, order, *capacity);
            }
            PlacementAction::Platform {
                action: OrderAction::Withdraw { upstream },
            } => {
                if let Some(number) = self.fleet.number(upstream) {
                    self.withdrawals += 1;
                    self.remove_upstream(number);
                }
            }
        }
    }

    fn apply_engine_action(&mut self, number: usize, action: &EngineAction) {
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
                self.schedule_in(secs_to_micros(change_s), ReplayEvent::RoleChanged(number));
            }
            EngineAction::LoadModel(_) | EngineAction::LoadAdapter(_) | EngineAction::SetVersion(_) => {}
        }
    }

    fn start_upstream(&mut self, planner: usize, order: &PlacementOrder, capacity: CapacityKind) {
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
        let cold_start = secs_to_micros(self.fleet.services[service].cold_start_s);
        self.schedule_in(cold_start, ReplayEvent::UpstreamUp(upstream));
    }
}
