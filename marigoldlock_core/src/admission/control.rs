//! Admission of this instance: every service's queues, and the requests in flight or waiting.

use std::time::Duration;

use marigoldlock_wire::peer::CustomerCounter;

use crate::prelude::*;
use crate::routing::WorkClass;

use super::customer::{WaitKey, WaitingRequest};
use super::peers::PeerCounters;
use super::policy::{AdmissionPolicy, FairShare};
use super::service::ServiceState;
use super::types::{
    AdmissionAsk, AdmissionEvent, AdmissionParams, AdmissionVerdict, CustomerLimits, FinishedWork,
    ServiceCounts,
};

/// Request that is in flight or waits.
#[derive(Clone, Debug)]
struct HeldRequest {
    service: ServiceId,
    customer: u32,
    class: WorkClass,
    state: HeldState,
}

#[derive(Clone, Copy, Debug)]
enum HeldState {
    Waiting(WaitKey),
    Running {
        charged: u64,
        started: MonoTime,
        estimated: Duration,
    },
}

/// Admission of this instance.
#[derive(Debug)]
pub struct AdmissionControl {
    params: AdmissionParams,
    policy: Box<dyn AdmissionPolicy>,
    services: FastMap<ServiceId, ServiceState>,
    held: FastMap<RequestId, HeldRequest>,
    peers: FastMap<InstanceId, PeerCounters>,
    ready: Vec<AdmissionEvent>,
    next_arrival: u64,
}

impl AdmissionControl {
    /// Admission with fair shares.
    pub fn new(params: AdmissionParams) -> Self {
        let policy = FairShare {
            level_window: params.level_window,
        };
        Self::with_policy(params, Box::new(policy))
    }

    /// Admission with another policy.
    pub fn with_policy(params: AdmissionParams, policy: Box<dyn AdmissionPolicy>) -> Self {
        Self {
            params,
            policy,
            services: FastMap::default(),
            held: FastMap::default(),
            peers: FastMap::default(),
            ready: Vec::new(),
            next_arrival: 0,
        }
    }

    /// Sets the slots that all upstreams of a service have together.
    pub fn set_capacity(&mut self, service: &ServiceId, slots: u32) {
        self.services.entry(service.clone()).or_default().set_slots(slots);
    }

    /// Sets the limits of a customer at a service.
    pub fn set_limits(
        &mut self,
        service: &ServiceId,
        customer: &CustomerId,
        limits: CustomerLimits,
        now: MonoTime,
    ) {
        let state = self.services.entry(service.clone()).or_default();
        state.set_limits(customer, limits, now);
    }

    /// Starts, queues or refuses a request.
    pub fn offer(&mut self, ask: &AdmissionAsk<'_>) -> AdmissionVerdict {
        let estimated = self.estimate(ask);
        let cost = self.cost(ask.prompt_tokens, ask.max_output_tokens);
        let service = self.services.entry(ask.service.clone()).or_default();
        let number = service.number(ask.customer, ask.now);
        service.customer_mut(number).weight = ask.weight;
        let service_time = service.paced(ask.class, estimated);
        if let Some((code, retry_after)) = self.refusal(ask, number, cost, service_time) {
            return AdmissionVerdict::Refused { code, retry_after };
        }
        let key = (ask.deadline, self.next_arrival);
        self.next_arrival += 1;
        let waiting = WaitingRequest {
            request: ask.request,
            cost,
            service_time,
            estimated,
            arrived: ask.now,
        };
        let held = HeldRequest {
            service: ask.service.clone(),
            customer: number,
            class: ask.class,
            state: HeldState::Waiting(key),
        };
        self.held.insert(ask.request, held);
        if let Some(service) = self.services.get_mut(ask.service) {
            service.enqueue(number, ask.class, key, waiting);
            service.update_peaks(&self.params, ask.now);
        }
        self.start_ready(ask.service, ask.now);
        let started = AdmissionEvent::Start { request: ask.request };
        match self.ready.iter().position(|event| *event == started) {
            Some(place) => {
                self.ready.remove(place);
                AdmissionVerdict::Start
            }
            None => AdmissionVerdict::Queued,
        }
    }

    /// Notes the end of a request that was started; `None` if it was not answered.
    pub fn on_finished(&mut self, request: RequestId, work: Option<FinishedWork>, now: MonoTime) {
        let Some(held) = self.held.remove(&request) else {
            return;
        };
        let HeldState::Running {
            charged,
            started,
            estimated,
        } = held.state
        else {
            self.held.insert(request, held);
            return;
        };
        let used = work.map_or(0, |work| self.cost(work.prompt_tokens, work.output_tokens));
        let Some(service) = self.services.get_mut(&held.service) else {
            return;
        };
        let correction = used as i64 - charged as i64;
        service.finish(held.customer, held.class, correction, now);
        if work.is_some() {
            service.learn(held.class, now.since(started), estimated);
        }
        self.start_ready(&held.service, now);
    }

    /// Takes out a request that waits, because its caller went away; true if it was waiting.
    pub fn cancel(&mut self, request: RequestId) -> bool {
        let Some(held) = self.held.get(&request) else {
            return false;
        };
        let HeldState::Waiting(key) = held.state else {
            return false;
        };
        let (service, customer, class) = (held.service.clone(), held.customer, held.class);
        self.held.remove(&request);
        let state = self.services.get_mut(&service);
        state.is_some_and(|state| state.dequeue(customer, class, key).is_some())
    }

    /// What has become of waiting requests since the last call.
    ///
    /// To be called after every other call that may free room, and every few hundred milliseconds.
    pub fn tick(&mut self, now: MonoTime) -> Vec<AdmissionEvent> {
        self.drop_silent_peers(now);
        let services: Vec<_> = self.services.keys().cloned().collect();
        for service in &services {
            self.refuse_hopeless(service, now);
            if let Some(state) = self.services.get_mut(service) {
                state.update_peaks(&self.params, now);
                state.forget_idle(self.params.customer_lifetime, now);
            }
            self.start_ready(service, now);
        }
        std::mem::take(&mut self.ready)
    }

    /// What is ready without a full tick; cheap.
    pub fn take_ready(&mut self) -> Vec<AdmissionEvent> {
        std::mem::take(&mut self.ready)
    }

    /// Takes in a peer's counters: all of its customers that it lists in its heartbeat.
    pub fn on_peer_counters(
        &mut self,
        instance: &InstanceId,
        incarnation: Incarnation,
        counters: &[CustomerCounter],
        now: MonoTime,
    ) {
        let restarted = self
            .peers
            .get(instance)
            .is_some_and(|peer| peer.is_other_start(incarnation));
        if restarted {
            self.remove_peer(instance);
        }
        let peer = self.peers.entry(instance.clone());
        let peer = peer.or_insert_with(|| PeerCounters::new(incarnation, now));
        peer.apply(&mut self.services, counters, now);
    }

    /// Drops the requests of a peer that is gone.
    pub fn remove_peer(&mut self, instance: &InstanceId) {
        if let Some(mut peer) = self.peers.remove(instance) {
            peer.withdraw(&mut self.services);
        }
    }

    /// This instance's counters, for its peers.
    pub fn counters(&self) -> Vec<CustomerCounter> {
        let services = self.services.iter();
        let customers = services.flat_map(|(service, state)| {
            state
                .customers
                .iter()
                .flatten()
                .map(move |customer| (service, customer))
        });
        let known =
            customers.filter(|(_, customer)| customer.own_served != [0; 3] || customer.active() != [0; 3]);
        known
            .map(|(service, customer)| CustomerCounter {
                service: service.clone(),
                customer: customer.id.clone(),
                served: customer.own_served.iter().sum(),
                in_flight: customer.in_flight(),
                queued: customer.queued(),
                served_by_class: customer.own_served,
                active_by_class: customer.active(),
            })
            .collect()
    }

    /// Requests of a service at this instance.
    pub fn counts(&self, service: &ServiceId) -> ServiceCounts {
        self.services
            .get(service)
            .map(ServiceState::counts)
            .unwrap_or_default()
    }

    /// Name of the policy.
    pub fn policy(&self) -> &'static str {
        self.policy.name()
    }

    fn cost(&self, prompt_tokens: u64, output_tokens: u64) -> u64 {
        // A call without tokens counts as one.
        (prompt_tokens * self.params.prompt_weight + output_tokens * self.params.output_weight).max(1)
    }

    fn estimate(&self, ask: &AdmissionAsk<'_>) -> Duration {
        let prompt = self.params.prompt_token_time.mul_f64(ask.prompt_tokens as f64);
        let output = self
            .params
            .output_token_time
            .mul_f64(ask.max_output_tokens as f64);
        prompt + output
    }

    /// Why a request is not even queued.
    fn refusal(
        &mut self,
        ask: &AdmissionAsk<'_>,
        number: u32,
        cost: u64,
        service_time: Duration,
    ) -> Option<(ResultCode, Duration)> {
        let service = self.services.get_mut(ask.service)?;
        let rate_wait = service.customer_mut(number).rate_wait(cost, ask.now);
        if !rate_wait.is_zero() {
            return Some((ResultCode::CustomerLimit, self.retry_after(rate_wait)));
        }
        let customer = service.customer(number);
        let most = customer.limits.queued.unwrap_or(self.params.customer_queue_limit);
        let wait = service.expected_wait(self.policy.as_ref(), number, ask.class, service_time);
        if !wait.is_zero() && customer.queued() >= most {
            return Some((ResultCode::CustomerLimit, self.retry_after(wait)));
        }
        if service.queue_len() >= self.params.queue_limit {
            return Some((ResultCode::QueueFull, self.retry_after(wait)));
        }
        let done = ask.now + wait + service_time;
        let late = self.policy.refuses_early() && done > ask.deadline;
        late.then(|| {
            (
                ResultCode::DeadlineUnreachable,
                self.retry_after(done.since(ask.deadline)),
            )
        })
    }

    fn retry_after(&self, wait: Duration) -> Duration {
        wait.clamp(self.params.shortest_retry, self.params.longest_retry)
    }

    fn refuse_hopeless(&mut self, service: &ServiceId, now: MonoTime) {
        let Some(state) = self.services.get_mut(service) else {
            return;
        };
        for (number, class, key) in state.hopeless(now, self.policy.refuses_early()) {
            let Some(waiting) = state.dequeue(number, class, key) else {
                continue;
            };
            let wait = state.expected_wait(self.policy.as_ref(), number, class, waiting.service_time);
            let retry_after = wait.clamp(self.params.shortest_retry, self.params.longest_retry);
            self.held.remove(&waiting.request);
            self.ready.push(AdmissionEvent::Refuse {
                request: waiting.request,
                code: ResultCode::DeadlineUnreachable,
                retry_after,
            });
        }
    }

    fn start_ready(&mut self, service: &ServiceId, now: MonoTime) {
        let Some(state) = self.services.get_mut(service) else {
            return;
        };
        while let Some(waiting) = state.start_next(self.policy.as_ref()) {
            if let Some(held) = self.held.get_mut(&waiting.request) {
                held.state = HeldState::Running {
                    charged: waiting.cost,
                    started: now,
                    estimated: waiting.estimated,
                };
            }
            self.ready.push(AdmissionEvent::Start {
                request: waiting.request,
            });
        }
    }

    fn drop_silent_peers(&mut self, now: MonoTime) {
        let lifetime = self.params.peer_lifetime;
        let silent = self
            .peers
            .iter()
            .filter(|(_, peer)| now.since(peer.heard) > lifetime);
        let silent: Vec<_> = silent.map(|(instance, _)| instance.clone()).collect();
        for instance in silent {
            self.remove_peer(&instance);
        }
    }
}
