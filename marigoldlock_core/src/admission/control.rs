//! Admission control of an instance: the state of each service, and all requests in flight or waiting.

use std::time::Duration;

use marigoldlock_wire::peer::CustomerCounter;

use crate::prelude::*;
use crate::routing::WorkClass;

use super::customer::{QueueKey, WaitingRequest};
use super::peers::PeerCounters;
use super::policy::{AdmissionPolicy, FairShare};
use super::service::ServiceState;
use super::types::{
    AdmissionDecision, AdmissionEvent, AdmissionParams, AdmissionRequest, CustomerLimits, FinishedWork,
    ServiceCounts,
};

/// A request in flight or waiting.
#[derive(Clone, Debug)]
struct TrackedRequest {
    service: ServiceId,
    customer: u32,
    class: WorkClass,
    state: RequestState,
}

#[derive(Clone, Copy, Debug)]
enum RequestState {
    Waiting(QueueKey),
    Running {
        charged: u64,
        started: MonoTime,
        estimated: Duration,
    },
}

/// Admission control of an instance.
#[derive(Debug)]
pub struct AdmissionControl {
    params: AdmissionParams,
    policy: Box<dyn AdmissionPolicy>,
    services: FastMap<ServiceId, ServiceState>,
    requests: FastMap<RequestId, TrackedRequest>,
    peers: FastMap<InstanceId, PeerCounters>,
    events: Vec<AdmissionEvent>,
    next_arrival: u64,
}

impl AdmissionControl {
    /// Creates an admission control with [`FairShare`].
    pub fn new(params: AdmissionParams) -> Self {
        let policy = FairShare {
            tie_window: params.tie_window,
        };
        Self::with_policy(params, Box::new(policy))
    }

    /// Creates an admission control with the given policy.
    pub fn with_policy(params: AdmissionParams, policy: Box<dyn AdmissionPolicy>) -> Self {
        Self {
            params,
            policy,
            services: FastMap::default(),
            requests: FastMap::default(),
            peers: FastMap::default(),
            events: Vec::new(),
            next_arrival: 0,
        }
    }

    /// Sets the total number of slots of a service's upstreams.
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
    pub fn submit(&mut self, request: &AdmissionRequest<'_>) -> AdmissionDecision {
        let estimated = self.estimate(request);
        let cost = self.cost(request.prompt_tokens, request.max_output_tokens);
        let service = self.services.entry(request.service.clone()).or_default();
        let number = service.ensure_customer(request.customer, request.now);
        service.customer_mut(number).weight = request.weight;
        let service_time = service.corrected_estimate(request.class, estimated);
        if let Some((code, retry_after)) = self.refusal(request, number, cost, service_time) {
            return AdmissionDecision::Refused { code, retry_after };
        }
        let key = (request.deadline, self.next_arrival);
        self.next_arrival += 1;
        let waiting = WaitingRequest {
            request: request.id,
            cost,
            service_time,
            estimated,
            arrived: request.now,
        };
        let tracked = TrackedRequest {
            service: request.service.clone(),
            customer: number,
            class: request.class,
            state: RequestState::Waiting(key),
        };
        self.requests.insert(request.id, tracked);
        if let Some(service) = self.services.get_mut(request.service) {
            service.enqueue(number, request.class, key, waiting);
            service.update_peaks(&self.params, request.now);
        }
        self.start_waiting(request.service, request.now);
        let started = AdmissionEvent::Start { request: request.id };
        match self.events.iter().position(|event| *event == started) {
            Some(position) => {
                self.events.remove(position);
                AdmissionDecision::Start
            }
            None => AdmissionDecision::Queued,
        }
    }

    /// Handles the end of a started request; `work` is `None` if it was not answered.
    pub fn on_finished(&mut self, request: RequestId, work: Option<FinishedWork>, now: MonoTime) {
        let Some(tracked) = self.requests.remove(&request) else {
            return;
        };
        let RequestState::Running {
            charged,
            started,
            estimated,
        } = tracked.state
        else {
            self.requests.insert(request, tracked);
            return;
        };
        let used = work.map_or(0, |work| self.cost(work.prompt_tokens, work.output_tokens));
        let Some(service) = self.services.get_mut(&tracked.service) else {
            return;
        };
        let correction = used as i64 - charged as i64;
        service.finish(tracked.customer, tracked.class, correction, now);
        if work.is_some() {
            service.record_service_time(tracked.class, now.since(started), estimated);
        }
        self.start_waiting(&tracked.service, now);
    }

    /// Removes a waiting request whose caller has disconnected; true if it was waiting.
    pub fn cancel(&mut self, request: RequestId) -> bool {
        let Some(tracked) = self.requests.get(&request) else {
            return false;
        };
        let RequestState::Waiting(key) = tracked.state else {
            return false;
        };
        let (service, customer, class) = (tracked.service.clone(), tracked.customer, tracked.class);
        self.requests.remove(&request);
        let state = self.services.get_mut(&service);
        state.is_some_and(|state| state.dequeue(customer, class, key).is_some())
    }

    /// Starts and refuses waiting requests, and returns the events since the last call.
    ///
    /// To be called every few hundred milliseconds, and after any call that may free slots.
    pub fn tick(&mut self, now: MonoTime) -> Vec<AdmissionEvent> {
        self.drop_expired_peers(now);
        let services: Vec<_> = self.services.keys().cloned().collect();
        for service in &services {
            self.refuse_unreachable(service, now);
            if let Some(state) = self.services.get_mut(service) {
                state.update_peaks(&self.params, now);
                state.remove_idle(self.params.customer_ttl, now);
            }
            self.start_waiting(service, now);
        }
        std::mem::take(&mut self.events)
    }

    /// Returns the events since the last call, without the work of a full tick.
    pub fn take_events(&mut self) -> Vec<AdmissionEvent> {
        std::mem::take(&mut self.events)
    }

    /// Applies the counters in a peer's heartbeat, which lists all of the peer's customers.
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
            .is_some_and(|peer| peer.is_other_incarnation(incarnation));
        if restarted {
            self.remove_peer(instance);
        }
        let peer = self.peers.entry(instance.clone());
        let peer = peer.or_insert_with(|| PeerCounters::new(incarnation, now));
        peer.apply(&mut self.services, counters, now);
    }

    /// Removes the requests of a peer that is gone.
    pub fn remove_peer(&mut self, instance: &InstanceId) {
        if let Some(mut peer) = self.peers.remove(instance) {
            peer.remove_active(&mut self.services);
        }
    }

    /// Counters of this instance, to be sent to its peers.
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

    /// Request counts of a service.
    pub fn counts(&self, service: &ServiceId) -> ServiceCounts {
        self.services
            .get(service)
            .map(ServiceState::counts)
            .unwrap_or_default()
    }

    /// Name of the policy.
    pub fn policy_name(&self) -> &'static str {
        self.policy.name()
    }

    fn cost(&self, prompt_tokens: u64, output_tokens: u64) -> u64 {
        // A request without tokens counts as one token.
        (prompt_tokens * self.params.prompt_weight + output_tokens * self.params.output_weight).max(1)
    }

    fn estimate(&self, request: &AdmissionRequest<'_>) -> Duration {
        let prompt = self
            .params
            .prompt_token_time
            .mul_f64(request.prompt_tokens as f64);
        let output = self
            .params
            .output_token_time
            .mul_f64(request.max_output_tokens as f64);
        prompt + output
    }

    /// Code and retry time if the request must be refused instead of queued.
    fn refusal(
        &mut self,
        request: &AdmissionRequest<'_>,
        number: u32,
        cost: u64,
        service_time: Duration,
    ) -> Option<(ResultCode, Duration)> {
        let service = self.services.get_mut(request.service)?;
        let rate_wait = service.customer_mut(number).rate_wait(cost, request.now);
        if !rate_wait.is_zero() {
            return Some((ResultCode::CustomerLimit, self.retry_after(rate_wait)));
        }
        let customer = service.customer(number);
        let max_queued = customer.limits.queued.unwrap_or(self.params.customer_queue_limit);
        let wait = service.expected_wait(self.policy.as_ref(), number, request.class, service_time);
        if !wait.is_zero() && customer.queued() >= max_queued {
            return Some((ResultCode::CustomerLimit, self.retry_after(wait)));
        }
        if service.queue_len() >= self.params.queue_limit {
            return Some((ResultCode::QueueFull, self.retry_after(wait)));
        }
        let expected_end = request.now + wait + service_time;
        let late = self.policy.refuses_early() && expected_end > request.deadline;
        late.then(|| {
            (
                ResultCode::DeadlineUnreachable,
                self.retry_after(expected_end.since(request.deadline)),
            )
        })
    }

    fn retry_after(&self, wait: Duration) -> Duration {
        wait.clamp(self.params.min_retry_after, self.params.max_retry_after)
    }

    fn refuse_unreachable(&mut self, service: &ServiceId, now: MonoTime) {
        let Some(state) = self.services.get_mut(service) else {
            return;
        };
        for (number, class, key) in state.unreachable(now, self.policy.refuses_early()) {
            let Some(waiting) = state.dequeue(number, class, key) else {
                continue;
            };
            let wait = state.expected_wait(self.policy.as_ref(), number, class, waiting.service_time);
            let retry_after = wait.clamp(self.params.min_retry_after, self.params.max_retry_after);
            self.requests.remove(&waiting.request);
            self.events.push(AdmissionEvent::Refuse {
                request: waiting.request,
                code: ResultCode::DeadlineUnreachable,
                retry_after,
            });
        }
    }

    fn start_waiting(&mut self, service: &ServiceId, now: MonoTime) {
        let Some(state) = self.services.get_mut(service) else {
            return;
        };
        while let Some(waiting) = state.start_next(self.policy.as_ref()) {
            if let Some(tracked) = self.requests.get_mut(&waiting.request) {
                tracked.state = RequestState::Running {
                    charged: waiting.cost,
                    started: now,
                    estimated: waiting.estimated,
                };
            }
            self.events.push(AdmissionEvent::Start {
                request: waiting.request,
            });
        }
    }

    fn drop_expired_peers(&mut self, now: MonoTime) {
        let ttl = self.params.peer_counters_ttl;
        let expired = self
            .peers
            .iter()
            .filter(|(_, peer)| now.since(peer.received) > ttl);
        let expired: Vec<_> = expired.map(|(instance, _)| instance.clone()).collect();
        for instance in expired {
            self.remove_peer(&instance);
        }
    }
}
