//! Life of an attempt: routing, delivery to the engine, tokens, completion and failure.

use std::time::Duration;

use marigoldlock_core::prelude::*;
use marigoldlock_core::routing::{
    AttemptOutcome, RouteDecision, RouteParams, RouteRequest, WorkClass, engine_priority,
};
use marigoldlock_wire::platform::CapacityKind;

use super::engine::{EngineOutput, EngineWork};
use super::event_queue::{millis_to_micros, secs_to_micros};
use super::experiment::PriorityKind;
use super::fleet::MODEL;
use super::replay::{ReplayEvent, ReplayRun};
use super::state::{AttemptKind, AttemptState, RequestPhase};

/// Delay before a request is routed again if no upstream can take it or it used its immediate retries.
const REROUTE_DELAY_MS: f64 = 100.0;

/// Retries that are made without delay.
const MAX_IMMEDIATE_RETRIES: u32 = 3;

/// Factor on the silence limit for long work and for attempts whose upstream still answers others.
const LIVE_SILENCE_FACTOR: u64 = 12;

impl ReplayRun<'_> {
    /// Chooses an upstream for a started request and sends it there.
    pub(super) fn route(&mut self, request: usize) {
        if self.states[request].phase != RequestPhase::Running {
            return;
        }
        let asked = &self.requests[request];
        let stream = self.stream(request);
        let state = &self.states[request];
        let instance = &mut self.instances[state.instance];
        let service: ServiceId = stream.service.as_str().into();
        let model = ModelId::from(MODEL);
        let route_request = RouteRequest {
            service: &service,
            model: Some(&model),
            prefixes: &asked.prefixes,
            prompt_tokens: asked.prompt_tokens + state.tokens,
            output_tokens: asked.output_tokens - state.tokens,
            class: asked.class,
            cheap_allowed: stream.cheap,
            data_centres: &[],
            exclude: &state.exclude,
            local: &instance.data_centre,
        };
        let now = super::event_queue::mono_time(self.now);
        let Ok(decision) = instance.table.choose(&route_request, now) else {
            self.reroute_later(request);
            return;
        };
        let ticket = instance.table.on_sent(&decision, &route_request, now);
        let prefill = decision.prefill_at.clone();
        let Some(upstream) = self.fleet.number(&decision.upstream) else {
            return;
        };
        match prefill.and_then(|step| self.fleet.number(&step.upstream)) {
            Some(first) => {
                let prefill_id = self.fleet.upstreams[first].id.clone();
                let left = route_request.prompt_tokens;
                let first_ticket =
                    instance
                        .table
                        .on_sent_to(&prefill_id, &route_request, left, decision.cost, now);
                let wait = self.network_delay(request, first);
                let kind = AttemptKind::Prefill(Box::new((decision, ticket)));
                self.send(request, first, first_ticket, kind, 0, wait);
            }
            None => {
                let (imported, copy) = self.kv_copy(request, &decision);
                let wait = self.network_delay(request, upstream) + copy;
                self.send(request, upstream, ticket, AttemptKind::Full, imported, wait);
            }
        }
    }

    /// Tokens of the KV copy that a decision asks for and the time it takes; zero if its source is down.
    fn kv_copy(&self, request: usize, decision: &RouteDecision) -> (u64, u64) {
        let Some(step) = &decision.kv_from else {
            return (0, 0);
        };
        let Some(source) = self.fleet.number(&step.upstream) else {
            return (0, 0);
        };
        let source = &self.fleet.upstreams[source];
        if !source.is_up() {
            return (0, 0);
        }
        let tokens = source
            .engine
            .cached_tokens(&self.requests[request].prefixes)
            .min(step.tokens);
        (tokens, copy_time(tokens))
    }

    fn network_delay(&self, request: usize, upstream: usize) -> u64 {
        let instance = &self.instances[self.states[request].instance];
        if instance.data_centre == self.fleet.upstreams[upstream].data_centre {
            return 100;
        }
        millis_to_micros(self.experiment.entry.between_ms)
    }

    fn send(
        &mut self,
        request: usize,
        upstream: usize,
        ticket: marigoldlock_core::routing::AttemptTicket,
        kind: AttemptKind,
        imported: u64,
        wait: u64,
    ) {
        let attempt = self.next_attempt;
        self.next_attempt += 1;
        let state = AttemptState {
            request,
            instance: self.states[request].instance,
            upstream,
            ticket: Some(ticket),
            kind,
            imported,
            progress_at: self.now + wait,
        };
        self.attempts.insert(attempt, state);
        self.schedule_in(wait, ReplayEvent::Deliver(attempt));
    }

    fn reroute_later(&mut self, request: usize) {
        let state = &mut self.states[request];
        state.exclude.clear();
        let deadline = self.requests[request].arrival
            + secs_to_micros(self.experiment.targets.deadline_s(self.requests[request].class));
        if self.now > deadline {
            self.finish(request, RequestPhase::Failed);
            return;
        }
        self.schedule_in(millis_to_micros(REROUTE_DELAY_MS), ReplayEvent::Reroute(request));
    }

    /// Delivers an attempt to its engine.
    pub(super) fn on_deliver(&mut self, attempt: u64) {
        let Some(state) = self.attempts.get(&attempt) else {
            return;
        };
        let (request, upstream) = (state.request, state.upstream);
        if !self.fleet.upstreams[upstream].is_up() {
            self.end_attempt(attempt, AttemptOutcome::Refused);
            return;
        }
        let asked = &self.requests[request];
        let done = self.states[request].tokens;
        let output_tokens = match state.kind {
            AttemptKind::Full => asked.output_tokens - done,
            AttemptKind::Prefill(_) => 0,
        };
        let priority = match self.policy.priorities {
            PriorityKind::None => 0,
            PriorityKind::Class => asked.class.index(),
            PriorityKind::Prompt => usize::from(engine_priority(asked.class, asked.prompt_tokens)),
        };
        let stalled = self.is_stalled(request);
        let work = EngineWork {
            attempt,
            priority,
            prompt_tokens: asked.prompt_tokens + done,
            imported_tokens: state.imported,
            output_tokens,
            prefixes: asked.prefixes.as_slice().into(),
            stalled,
        };
        self.fleet.upstreams[upstream].engine.accept(work);
        self.wake(upstream);
    }

    /// True if a fault stalls the request's stream.
    pub(super) fn is_stalled(&self, request: usize) -> bool {
        let long = self.requests[request].class == WorkClass::Long;
        long && self.stalled.contains(&self.stream(request).customer)
    }

    /// Starts the next step of an idle engine if it has work.
    pub(super) fn wake(&mut self, upstream: usize) {
        let target = &mut self.fleet.upstreams[upstream];
        if target.engine.stepping || !target.is_up() {
            return;
        }
        let Some(length) = target.engine.begin_step() else {
            return;
        };
        target.engine.stepping = true;
        target.step += 1;
        let step = target.step;
        self.schedule_in(length, ReplayEvent::Step { upstream, step });
    }

    pub(super) fn on_step(&mut self, upstream: usize, step: u64) {
        let target = &mut self.fleet.upstreams[upstream];
        if target.step != step || !target.is_up() {
            return;
        }
        target.engine.stepping = false;
        if target.engine.silent {
            return;
        }
        for output in target.engine.end_step() {
            match output {
                EngineOutput::Token { attempt, first } => self.on_token(attempt, first),
                EngineOutput::Finished { attempt } => self.on_engine_finished(attempt),
            }
        }
        self.wake(upstream);
    }

    fn on_token(&mut self, attempt: u64, first: bool) {
        let Some(state) = self.attempts.get_mut(&attempt) else {
            return;
        };
        state.progress_at = self.now;
        let now = super::event_queue::mono_time(self.now);
        if let Some(ticket) = &state.ticket {
            let table = &mut self.instances[state.instance].table;
            if first {
                table.on_first_token(ticket, now);
            } else {
                table.on_progress(ticket, now);
            }
        }
        let request = &mut self.states[state.request];
        request.tokens += 1;
        if self.fleet.upstreams[state.upstream].capacity == CapacityKind::Cheap {
            request.cheap_tokens += 1;
        }
        if request.first_at.is_some() {
            let class = self.requests[state.request].class;
            self.gaps.record(class, self.now - request.last_at);
        } else {
            request.first_at = Some(self.now);
        }
        request.last_at = self.now;
    }

    fn on_engine_finished(&mut self, attempt: u64) {
        let Some(mut state) = self.attempts.remove(&attempt) else {
            return;
        };
        self.close_ticket(&mut state, AttemptOutcome::Answered);
        match state.kind {
            AttemptKind::Full => {
                self.states[state.request].done_at = Some(self.now);
                self.finish(state.request, RequestPhase::Answered);
            }
            AttemptKind::Prefill(next) => {
                let (decision, ticket) = *next;
                let Some(upstream) = self.fleet.number(&decision.upstream) else {
                    return;
                };
                let tokens = self.requests[state.request].prompt_tokens + self.states[state.request].tokens;
                let wait = copy_time(tokens) + self.network_delay(state.request, upstream);
                self.send(state.request, upstream, ticket, AttemptKind::Full, tokens, wait);
            }
        }
    }

    fn close_ticket(&mut self, state: &mut AttemptState, outcome: AttemptOutcome) {
        let now = self.time();
        let table = &mut self.instances[state.instance].table;
        if let Some(ticket) = state.ticket.take() {
            table.on_finished(ticket, outcome, now);
        }
    }

    /// Ends a failed attempt and schedules the request to be routed to another upstream.
    pub(super) fn end_attempt(&mut self, attempt: u64, outcome: AttemptOutcome) {
        let Some(mut state) = self.attempts.remove(&attempt) else {
            return;
        };
        self.close_ticket(&mut state, outcome);
        if let AttemptKind::Prefill(next) = std::mem::replace(&mut state.kind, AttemptKind::Full) {
            let now = self.time();
            self.instances[state.instance]
                .table
                .on_finished(next.1, AttemptOutcome::Cancelled, now);
        }
        let upstream = &self.fleet.upstreams[state.upstream];
        let cheap = upstream.capacity == CapacityKind::Cheap;
        let gone = !upstream.is_up();
        let request = &mut self.states[state.request];
        request.retries += 1;
        request.interrupted = true;
        request.interrupted_on_cheap |= cheap && gone;
        request.exclude.push(upstream.id.clone());
        // Resumed requests end with their deadline, not after a number of attempts.
        let wait = if request.retries > MAX_IMMEDIATE_RETRIES {
            REROUTE_DELAY_MS
        } else {
            0.0
        };
        self.schedule_in(millis_to_micros(wait), ReplayEvent::Reroute(state.request));
    }

    /// Restarts an upstream's engine and fails every attempt at it.
    pub(super) fn fail_attempts(&mut self, upstream: usize) {
        let target = &mut self.fleet.upstreams[upstream];
        target.engine.restart();
        target.engine.stepping = false;
        target.step += 1;
        let mut broken: Vec<u64> = self
            .attempts
            .iter()
            .filter(|(_, state)| state.upstream == upstream)
            .map(|(attempt, _)| *attempt)
            .collect();
        broken.sort_unstable();
        for attempt in broken {
            self.end_attempt(attempt, AttemptOutcome::Broken);
        }
    }

    /// Aborts the instance's attempts that have made no progress for too long.
    ///
    /// An attempt whose upstream still answers others is only slow, so it gets more time, and aborting it is
    /// not counted against the upstream. Long work always gets the longer time.
    pub(super) fn abort_silent_attempts(&mut self, instance: usize) {
        let limit = secs_to_micros(self.experiment.entry.silence_s);
        let now = self.time();
        let table = &self.instances[instance].table;
        let mut silent = Vec::new();
        for (&attempt, state) in self
            .attempts
            .iter()
            .filter(|(_, state)| state.instance == instance)
        {
            let silence = self.now.saturating_sub(state.progress_at);
            let id = &self.fleet.upstreams[state.upstream].id;
            let seen = table.state(id);
            let dead = seen.is_none_or(|seen| seen.silence(now).as_micros() as u64 > limit);
            let is_long = self.requests[state.request].class == WorkClass::Long;
            let timeout = if is_long || !dead {
                limit * LIVE_SILENCE_FACTOR
            } else {
                limit
            };
            if silence > timeout {
                silent.push((attempt, dead));
            }
        }
        silent.sort_unstable();
        for (attempt, dead) in silent {
            let Some(state) = self.attempts.get(&attempt) else {
                continue;
            };
            self.fleet.upstreams[state.upstream].engine.cancel(attempt);
            let outcome = if dead {
                AttemptOutcome::TimedOut
            } else {
                AttemptOutcome::Cancelled
            };
            self.end_attempt(attempt, outcome);
        }
    }
}

/// Time of a KV copy in microseconds, calculated with the same parameters as in routing.
fn copy_time(tokens: u64) -> u64 {
    let params = RouteParams::default();
    let copy = params.kv_setup + Duration::from_secs_f64(tokens as f64 / params.kv_tokens_per_s);
    copy.as_micros() as u64
}
