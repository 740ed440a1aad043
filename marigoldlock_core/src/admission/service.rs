//! Queues, customers and load of one service.

use std::time::Duration;

use crate::prelude::*;
use crate::routing::WorkClass;

use super::customer::{CustomerState, QueueKey, WaitingRequest};
use super::estimate::TimeModel;
use super::policy::{AdmissionPolicy, QueuePick, QueueView, ServiceLoad};
use super::queue::ClassQueue;
use super::types::{AdmissionParams, CustomerLimits, ServiceCounts};

/// Weight of a new sample in the moving averages.
const SAMPLE_WEIGHT: f64 = 0.1;

/// State of one service at this instance.
#[derive(Clone, Debug, Default)]
pub(super) struct ServiceState {
    slots: u32,
    queues: [ClassQueue; 3],
    /// Customers by number; `None` marks a number that is free for reuse.
    pub(super) customers: Vec<Option<CustomerState>>,
    /// Number of each customer.
    index: FastMap<CustomerId, u32>,
    limits: FastMap<CustomerId, CustomerLimits>,
    /// Requests in flight at this instance, by class.
    own: [u32; 3],
    pub(super) peers_in_flight: u32,
    pub(super) peers_active: [u32; 3],
    peaks: [f64; 3],
    peaks_updated: MonoTime,
    /// Actual service times, by class.
    times: [TimeModel; 3],
    /// Mean service time, by class, in seconds.
    residence_s: [Option<f64>; 3],
}

impl ServiceState {
    pub(super) fn set_slots(&mut self, slots: u32) {
        self.slots = slots;
    }

    pub(super) fn set_limits(&mut self, customer: &CustomerId, limits: CustomerLimits, now: MonoTime) {
        self.limits.insert(customer.clone(), limits);
        if let Some(&number) = self.index.get(customer) {
            self.customer_mut(number).set_limits(limits, now);
        }
    }

    /// Returns the customer's number, adding the customer if it is new.
    pub(super) fn ensure_customer(&mut self, customer: &CustomerId, now: MonoTime) -> u32 {
        if let Some(&number) = self.index.get(customer) {
            return number;
        }
        let limits = self.limits.get(customer).copied().unwrap_or_default();
        let state = CustomerState::new(customer.clone(), limits, now);
        let number = match self.customers.iter().position(Option::is_none) {
            Some(free) => {
                self.customers[free] = Some(state);
                free as u32
            }
            None => {
                self.customers.push(Some(state));
                self.customers.len() as u32 - 1
            }
        };
        self.index.insert(customer.clone(), number);
        number
    }

    /// Returns the customer's number, if the customer is known.
    pub(super) fn find_customer(&self, customer: &CustomerId) -> Option<u32> {
        self.index.get(customer).copied()
    }

    pub(super) fn customer(&self, number: u32) -> &CustomerState {
        self.customers[number as usize]
            .as_ref()
            .expect("a customer number refers to a known customer")
    }

    pub(super) fn customer_mut(&mut self, number: u32) -> &mut CustomerState {
        self.customers[number as usize]
            .as_mut()
            .expect("a customer number refers to a known customer")
    }

    pub(super) fn queue_len(&self) -> usize {
        self.queues.iter().map(ClassQueue::len).sum()
    }

    pub(super) fn counts(&self) -> ServiceCounts {
        ServiceCounts {
            in_flight: self.own,
            queued: [0, 1, 2].map(|class| self.queues[class].len() as u32),
            peers_in_flight: self.peers_in_flight,
            slots: self.slots,
        }
    }

    fn load(&self) -> ServiceLoad {
        ServiceLoad {
            slots: self.slots,
            own: self.own,
            own_active: self.own_active(),
            peers_in_flight: self.peers_in_flight,
            peers_active: self.peers_active,
            peaks: self.peaks,
        }
    }

    fn own_active(&self) -> [u32; 3] {
        [0, 1, 2].map(|class| self.own[class] + self.queues[class].len() as u32)
    }

    /// Decays the demand peaks and raises them to the present demand.
    pub(super) fn update_peaks(&mut self, params: &AdmissionParams, now: MonoTime) {
        let age = now.since(self.peaks_updated).as_secs_f64() / params.peak_half_life.as_secs_f64();
        let fade = if age > 0.0 { 0.5f64.powf(age) } else { 1.0 };
        self.peaks_updated = now;
        let own = self.own_active();
        for (class, peak) in self.peaks.iter_mut().enumerate() {
            let demand = f64::from(own[class] + self.peers_active[class]);
            *peak = (*peak * fade).max(demand);
        }
    }

    /// Adds a request to its queue.
    pub(super) fn enqueue(&mut self, number: u32, class: WorkClass, key: QueueKey, waiting: WaitingRequest) {
        let index = class.index();
        let floor = self.queues[index].floor();
        let state = self.customer_mut(number);
        state.last_active = waiting.arrived;
        let was_empty = state.waiting[index].is_empty();
        if was_empty && state.own_in_flight[index] == 0 {
            state.virtual_served[index] = state.virtual_served[index].max(floor);
        }
        let served = state.virtual_served[index];
        state.waiting[index].insert(key, waiting);
        if was_empty {
            self.queues[index].insert(served, number);
        }
        self.queues[index].increment_len();
    }

    /// Removes a request from its queue.
    pub(super) fn dequeue(&mut self, number: u32, class: WorkClass, key: QueueKey) -> Option<WaitingRequest> {
        let index = class.index();
        let state = self.customer_mut(number);
        let waiting = state.waiting[index].remove(&key)?;
        let served = state.virtual_served[index];
        let emptied = state.waiting[index].is_empty();
        if emptied {
            self.queues[index].remove(served, number);
        }
        self.queues[index].decrement_len();
        Some(waiting)
    }

    /// Charges weighted tokens and restores the order of the queue.
    ///
    /// `own` is true for tokens that this instance has served.
    pub(super) fn charge(&mut self, number: u32, class: WorkClass, tokens: i64, own: bool) {
        let index = class.index();
        let state = self.customer_mut(number);
        let before = state.virtual_served[index];
        if own {
            state.charge(class, tokens);
        } else {
            state.charge_fleet(class, tokens);
        }
        let after = state.virtual_served[index];
        if !state.waiting[index].is_empty() && before != after {
            self.queues[index].remove(before, number);
            self.queues[index].insert(after, number);
        }
    }

    /// Removes the next request that may start from its queue and counts it as in flight.
    pub(super) fn start_next(&mut self, policy: &dyn AdmissionPolicy) -> Option<WaitingRequest> {
        let load = self.load();
        let startable = WorkClass::ALL
            .map(|class| !self.queues[class.index()].is_empty() && policy.may_start(&load, class));
        if startable == [false; 3] {
            return None;
        }
        let QueuePick { class, customer } = policy.pick(self, startable)?;
        let index = class.index();
        let (&key, _) = self.customer(customer).waiting[index].first_key_value()?;
        let served = self.customer(customer).virtual_served[index];
        let waiting = self.dequeue(customer, class, key)?;
        self.queues[index].raise_floor(served);
        self.own[index] += 1;
        self.customer_mut(customer).own_in_flight[index] += 1;
        self.charge(customer, class, waiting.cost as i64, true);
        Some(waiting)
    }

    /// Handles the end of a request in flight; `correction` is its used cost less the charged one.
    pub(super) fn finish(&mut self, number: u32, class: WorkClass, correction: i64, now: MonoTime) {
        let index = class.index();
        self.own[index] -= 1;
        self.charge(number, class, correction, true);
        let state = self.customer_mut(number);
        state.own_in_flight[index] -= 1;
        state.last_active = now;
    }

    /// Updates the averages with the service time of an answered request.
    pub(super) fn record_service_time(&mut self, class: WorkClass, elapsed: Duration, estimated: Duration) {
        let index = class.index();
        self.times[index].record(elapsed, estimated);
        update_average(&mut self.residence_s[index], elapsed.as_secs_f64());
    }

    /// Estimated service time, corrected by the measured ones.
    pub(super) fn corrected_estimate(&self, class: WorkClass, estimated: Duration) -> Duration {
        self.times[class.index()].predict(estimated)
    }

    /// Expected waiting time of a new request.
    pub(super) fn expected_wait(
        &self,
        policy: &dyn AdmissionPolicy,
        number: u32,
        class: WorkClass,
        service_time: Duration,
    ) -> Duration {
        let load = self.load();
        let queue = &self.queues[class.index()];
        if queue.is_empty() && policy.may_start(&load, class) && self.customer(number).is_below_limit() {
            return Duration::ZERO;
        }
        // With fair sharing, a customer's n-th request waits for at most n requests of each other customer.
        let own = self.customer(number).waiting[class.index()].len();
        let others = queue.customers().max(1);
        let ahead = queue.len().min((own + 1) * others) + 1;
        let residence_s = self.residence_s[class.index()].unwrap_or(service_time.as_secs_f64());
        let wait_s = ahead as f64 * residence_s / policy.usable_slots(&load, class);
        Duration::try_from_secs_f64(wait_s).unwrap_or(Duration::MAX)
    }

    /// Waiting requests that could not meet their deadline even if they started now.
    ///
    /// Without `early`, only those whose deadline has passed.
    pub(super) fn unreachable(&self, now: MonoTime, early: bool) -> Vec<(u32, WorkClass, QueueKey)> {
        let mut found = Vec::new();
        for class in WorkClass::ALL {
            for (_, number) in self.queues[class.index()].iter() {
                let waiting = &self.customer(number).waiting[class.index()];
                for (key, request) in waiting {
                    let needed = if early {
                        request.service_time
                    } else {
                        Duration::ZERO
                    };
                    if now + needed <= key.0 {
                        break;
                    }
                    found.push((number, class, *key));
                }
            }
        }
        found
    }

    /// Removes customers that have been idle for longer than `ttl`.
    pub(super) fn remove_idle(&mut self, ttl: Duration, now: MonoTime) {
        for slot in &mut self.customers {
            let expired = slot
                .as_ref()
                .is_some_and(|state| state.is_idle() && now.since(state.last_active) > ttl);
            if expired && let Some(state) = slot.take() {
                self.index.remove(&state.id);
            }
        }
    }
}

impl QueueView for ServiceState {
    fn queue(&self, class: WorkClass) -> &ClassQueue {
        &self.queues[class.index()]
    }

    fn is_below_limit(&self, customer: u32) -> bool {
        self.customer(customer).is_below_limit()
    }

    fn next(&self, customer: u32, class: WorkClass) -> Option<(MonoTime, MonoTime)> {
        let (key, waiting) = self.customer(customer).waiting[class.index()].first_key_value()?;
        Some((key.0, waiting.arrived))
    }
}

fn update_average(average: &mut Option<f64>, sample: f64) {
    *average = Some(match *average {
        Some(old) => old + SAMPLE_WEIGHT * (sample - old),
        None => sample,
    });
}
