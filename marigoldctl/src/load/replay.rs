//! One simulation run: the event loop, and admission of requests before they are routed.

use std::rc::Rc;
use std::time::Duration;

use marigoldlock_core::admission::{AdmissionDecision, AdmissionEvent, AdmissionRequest, FinishedWork};
use marigoldlock_core::prelude::*;
use marigoldlock_wire::engine::{CacheEvents, LoadReport};
use marigoldlock_wire::peer::{CustomerCounter, UpstreamLoad};

use super::event_queue::{EventQueue, millis_to_micros, mono_time, secs_to_micros};
use super::experiment::{Experiment, PolicySpec, StreamSpec};
use super::fault_schedule::{self, FaultStage};
use super::fleet::{UpstreamFleet, UpstreamPhase};
use super::instance::ReplayInstance;
use super::measure::{self, GapRecorder, PolicyResult};
use super::placement::ServicePlanner;
use super::state::{AttemptState, RequestPhase, RequestState};
use super::workload::Request;

/// Interval of an instance's ticks.
const TICK_INTERVAL_MS: f64 = 100.0;

/// Interval of the placement plans.
pub(super) const PLAN_INTERVAL_S: f64 = 1.0;

/// Time after the end of arrivals that requests have to finish.
const DRAIN_TIMEOUT_S: f64 = 900.0;

/// Event of the simulation.
#[derive(Debug)]
pub(super) enum ReplayEvent {
    Arrival(usize),
    Reroute(usize),
    Deliver(u64),
    Step {
        upstream: usize,
        step: u64,
    },
    SendReport(usize),
    Report {
        upstream: usize,
        report: Rc<(LoadReport, CacheEvents)>,
    },
    SendHeartbeat(usize),
    Heartbeat {
        from: usize,
        content: Rc<(Vec<UpstreamLoad>, Vec<CustomerCounter>)>,
    },
    Tick(usize),
    Plan,
    ListChange(usize),
    UpstreamUp(usize),
    RoleChanged(usize),
    Fault {
        number: usize,
        stage: FaultStage,
    },
}

/// State of a simulation run.
pub(super) struct ReplayRun<'a> {
    pub(super) experiment: &'a Experiment,
    pub(super) policy: &'a PolicySpec,
    pub(super) requests: &'a [Request],
    pub(super) states: Vec<RequestState>,
    pub(super) instances: Vec<ReplayInstance>,
    pub(super) fleet: UpstreamFleet,
    pub(super) planners: Vec<ServicePlanner>,
    pub(super) attempts: FastMap<u64, AttemptState>,
    pub(super) next_attempt: u64,
    pub(super) events: EventQueue<ReplayEvent>,
    pub(super) gaps: GapRecorder,
    pub(super) services: Vec<ServiceId>,
    pub(super) customers: Vec<CustomerId>,
    pub(super) withdrawn: FastSet<String>,
    pub(super) stalled: FastSet<String>,
    pub(super) unavailable: FastSet<DataCentre>,
    pub(super) unfinished: usize,
    pub(super) ordered: u32,
    pub(super) withdrawals: u32,
    pub(super) seed: u64,
    pub(super) now: u64,
}

/// Runs the experiment's requests under a policy.
pub(super) fn replay(
    experiment: &Experiment,
    policy: &PolicySpec,
    requests: &[Request],
    seed: u64,
) -> PolicyResult {
    let mut run = ReplayRun::new(experiment, policy, requests, seed);
    run.schedule_all();
    run.run();
    run.result()
}

impl<'a> ReplayRun<'a> {
    fn new(experiment: &'a Experiment, policy: &'a PolicySpec, requests: &'a [Request], seed: u64) -> Self {
        let entry = &experiment.entry;
        let instance = |number| ReplayInstance::new(number, entry, policy, seed * 100 + number as u64);
        let services = experiment
            .service
            .iter()
            .enumerate()
            .filter(|(_, spec)| spec.placed);
        let mut run = Self {
            experiment,
            policy,
            requests,
            states: vec![RequestState::default(); requests.len()],
            instances: (0..entry.instances).map(instance).collect(),
            fleet: UpstreamFleet::new(experiment, policy),
            planners: services
                .map(|(number, spec)| {
                    ServicePlanner::new(number, policy.placement, spec, &experiment.targets)
                })
                .collect(),
            attempts: FastMap::default(),
            next_attempt: 0,
            events: EventQueue::new(),
            gaps: GapRecorder::new(),
            services: experiment
                .service
                .iter()
                .map(|spec| spec.name.as_str().into())
                .collect(),
            customers: experiment
                .stream
                .iter()
                .map(|stream| stream.customer.as_str().into())
                .collect(),
            withdrawn: FastSet::default(),
            stalled: FastSet::default(),
            unavailable: FastSet::default(),
            unfinished: requests.len(),
            ordered: 0,
            withdrawals: 0,
            seed,
            now: 0,
        };
        for number in 0..run.fleet.upstreams.len() {
            run.apply_list_entry(number);
            run.deliver_initial_report(number);
        }
        for instance in &mut run.instances {
            instance.update_capacity(&run.services);
        }
        run
    }

    fn schedule_all(&mut self) {
        let entry = &self.experiment.entry;
        for (number, request) in self.requests.iter().enumerate() {
            self.events
                .schedule(request.arrival, ReplayEvent::Arrival(number));
        }
        for number in 0..self.instances.len() {
            // Instances are not in step with each other.
            let offset = number as f64 / self.instances.len() as f64;
            self.events.schedule(
                millis_to_micros(offset * TICK_INTERVAL_MS),
                ReplayEvent::Tick(number),
            );
            let heartbeat = millis_to_micros(offset * entry.heartbeat_ms);
            self.events
                .schedule(heartbeat, ReplayEvent::SendHeartbeat(number));
        }
        for number in 0..self.fleet.upstreams.len() {
            let offset = number as f64 / self.fleet.upstreams.len() as f64;
            self.events.schedule(
                millis_to_micros(offset * entry.report_interval_ms),
                ReplayEvent::SendReport(number),
            );
        }
        self.events
            .schedule(secs_to_micros(PLAN_INTERVAL_S), ReplayEvent::Plan);
        for (number, fault) in self.experiment.fault.iter().enumerate() {
            for (at, stage) in fault_schedule::stages(fault) {
                self.events.schedule(at, ReplayEvent::Fault { number, stage });
            }
        }
    }

    fn run(&mut self) {
        let end = secs_to_micros(self.experiment.seconds + DRAIN_TIMEOUT_S);
        while let Some((at, event)) = self.events.pop() {
            self.now = at;
            if at > end || (self.unfinished == 0 && at > secs_to_micros(self.experiment.seconds)) {
                return;
            }
            self.handle(event);
        }
    }

    fn handle(&mut self, event: ReplayEvent) {
        match event {
            ReplayEvent::Arrival(request) => self.on_arrival(request),
            ReplayEvent::Reroute(request) => self.route(request),
            ReplayEvent::Deliver(attempt) => self.on_deliver(attempt),
            ReplayEvent::Step { upstream, step } => self.on_step(upstream, step),
            ReplayEvent::SendReport(upstream) => self.send_report(upstream),
            ReplayEvent::Report { upstream, report } => self.on_report(upstream, &report),
            ReplayEvent::SendHeartbeat(instance) => self.send_heartbeat(instance),
            ReplayEvent::Heartbeat { from, content } => self.on_heartbeat(from, &content),
            ReplayEvent::Tick(instance) => self.on_tick(instance),
            ReplayEvent::Plan => self.on_plan(),
            ReplayEvent::ListChange(upstream) => self.apply_list_entry(upstream),
            ReplayEvent::UpstreamUp(upstream) => self.on_upstream_up(upstream),
            ReplayEvent::RoleChanged(upstream) => self.on_role_changed(upstream),
            ReplayEvent::Fault { number, stage } => self.on_fault(number, stage),
        }
    }

    pub(super) fn stream(&self, request: usize) -> &'a StreamSpec {
        &self.experiment.stream[self.requests[request].stream]
    }

    pub(super) fn time(&self) -> MonoTime {
        mono_time(self.now)
    }

    pub(super) fn schedule_in(&mut self, micros: u64, event: ReplayEvent) {
        self.events.schedule(self.now + micros, event);
    }

    /// Index of the instance that the request's caller uses at this time.
    fn instance_of(&self, request: usize) -> usize {
        let asked = &self.requests[request];
        let period = self.now / secs_to_micros(self.experiment.entry.address_s).max(1);
        let mut value = self.seed ^ (asked.stream as u64) << 40 ^ (asked.caller as u64) << 20 ^ period;
        value = value.wrapping_mul(0x9E37_79B9_7F4A_7C15);
        value ^= value >> 29;
        value = value.wrapping_mul(0xBF58_476D_1CE4_E5B9);
        (value >> 33) as usize % self.instances.len()
    }

    fn on_arrival(&mut self, request: usize) {
        let instance = self.instance_of(request);
        self.states[request].instance = instance;
        let stream = self.stream(request);
        let asked = &self.requests[request];
        if self.withdrawn.contains(&stream.customer) {
            self.finish(request, RequestPhase::Refused(ResultCode::WithdrawnKey));
            return;
        }
        self.record_demand(request);
        let deadline_s = self.experiment.targets.deadline_s(asked.class);
        let now = self.time();
        let verdict = self.instances[instance].admission.submit(&AdmissionRequest {
            id: RequestId(request as u128),
            customer: &self.customers[asked.stream],
            service: &stream.service.as_str().into(),
            class: asked.class,
            weight: stream.weight,
            prompt_tokens: asked.prompt_tokens,
            max_output_tokens: asked.max_output_tokens,
            deadline: now + Duration::from_secs_f64(deadline_s),
            now,
        });
        match verdict {
            AdmissionDecision::Start => self.start(request),
            AdmissionDecision::Queued => self.states[request].phase = RequestPhase::Queued,
            AdmissionDecision::Refused { code, .. } => self.finish(request, RequestPhase::Refused(code)),
        }
        let ready = self.instances[instance].admission.take_events();
        self.on_admission(ready);
    }

    fn start(&mut self, request: usize) {
        self.states[request].phase = RequestPhase::Running;
        self.route(request);
    }

    pub(super) fn on_admission(&mut self, events: Vec<AdmissionEvent>) {
        for event in events {
            match event {
                AdmissionEvent::Start { request } => self.start(request.0 as usize),
                AdmissionEvent::Refuse { request, code, .. } => {
                    self.finish(request.0 as usize, RequestPhase::Refused(code));
                }
            }
        }
    }

    /// Records the end of a request and, if it was running, reports it to admission.
    pub(super) fn finish(&mut self, request: usize, phase: RequestPhase) {
        let state = &mut self.states[request];
        let was_running = state.phase == RequestPhase::Running;
        state.phase = phase;
        self.unfinished -= 1;
        if !was_running {
            return;
        }
        let instance = state.instance;
        let work = (phase == RequestPhase::Answered).then(|| FinishedWork {
            prompt_tokens: self.requests[request].prompt_tokens,
            output_tokens: state.tokens,
        });
        let now = self.time();
        let admission = &mut self.instances[instance].admission;
        admission.on_finished(RequestId(request as u128), work, now);
        let ready = admission.take_events();
        self.on_admission(ready);
    }

    fn result(self) -> PolicyResult {
        let until = secs_to_micros(self.experiment.seconds);
        let mut result = measure::evaluate(self.experiment, self.requests, &self.states, &self.gaps);
        let changes = self.fleet.upstreams.iter().map(|upstream| upstream.role_changes);
        result.seed = self.seed;
        result.role_changes = changes.clone().sum();
        result.role_changes_of_one = changes.max().unwrap_or(0);
        result.ordered = self.ordered;
        result.withdrawn = self.withdrawals;
        result.spending = self.fleet.spending(until);
        let millions = result.tokens_in_target_per_s * self.experiment.seconds / 1e6;
        result.spending_per_million = if millions > 0.0 {
            result.spending / millions
        } else {
            0.0
        };
        result
    }

    /// Removes an upstream for good.
    pub(super) fn remove_upstream(&mut self, upstream: usize) {
        self.fleet.upstreams[upstream].phase = UpstreamPhase::Gone;
        self.fleet.upstreams[upstream].paid_until = Some(self.now);
        self.fail_attempts(upstream);
        self.schedule_in(
            secs_to_micros(self.experiment.entry.list_lag_s),
            ReplayEvent::ListChange(upstream),
        );
    }
}
