//! The queues, customers and load of one service.

use std::time::Duration;

use crate::prelude::*;
use crate::routing::WorkClass;

use super::customer::{CustomerState, WaitKey, WaitingRequest};
use super::policy::{AdmissionPolicy, QueuePick, QueueView, ServiceLoad};
use super::queue::ClassQueue;
use super::types::{AdmissionParams, CustomerLimits, ServiceCounts};

/// Weight of a new sample in the moving averages.
const SAMPLE_WEIGHT: f64 = 0.1;

/// Bounds of the ratio of measured to estimated service time.
const PACE_BOUNDS: (f64, f64) = (0.1, 20.0);

/// One service at this instance.
#[derive(Clone, Debug, Default)]
pub(super) struct ServiceState {
    slots: u32,
    queues: [ClassQueue; 3],
    pub(super) customers: Vec<Option<CustomerState>>,
    index: FastMap<CustomerId, u32>,
    limits: FastMap<CustomerId, CustomerLimits>,
    own: [u32; 3],
    pub(super) peers_in_flight: u32,
    pub(super) peers_active: [u32; 3],
    peaks: [f64; 3],
    peaks_set: MonoTime,
    /// Ratio of measured to estimated service time, by class.
    pace: [Option<f64>; 3],
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

    /// Number of the customer, which is added if it is new.
    pub(super) fn number(&mut self, customer: &CustomerId, now: MonoTime) -> u32 {
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

    /// Number of the customer, if it is known.
    pub(super) fn known_number(&self, customer: &CustomerId) -> Option<u32> {
        self.index.get(customer).copied()
    }

    pub(super) fn customer(&self, number: u32) -> &CustomerState {
        self.customers[number as usize]
            .as_ref()
            .expect("numbers in use name a customer")
    }

    pub(super) fn customer_mut(&mut self, number: u32) -> &mut CustomerState {
        self.customers[number as usize]
            .as_mut()
            .expect("numbers in use name a customer")
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

    /// Lets old peaks of demand fade and takes in the present demand.
    pub(super) fn update_peaks(&mut self, params: &AdmissionParams, now: MonoTime) {
        let age = now.since(self.peaks_set).as_secs_f64() / params.peak_half_life.as_secs_f64();
        let fade = if age > 0.0 { 0.5f64.powf(age) } else { 1.0 };
        self.peaks_set = now;
        let own = self.own_active();
        for (class, peak) in self.peaks.iter_mut().enumerate() {
            let demand = f64::from(own[class] + self.peers_active[class]);
            *peak = (*peak * fade).max(demand);
        }
    }

    /// Puts a request into its queue.
    pub(super) fn enqueue(&mut self, number: u32, class: WorkClass, key: WaitKey, waiting: WaitingRequest) {
        let index = class.index();
        let floor = self.queues[index].floor();
        let state = self.customer_mut(number);
        state.last_active = waiting.arrived;
        let began = state.waiting[index].is_empty();
        if began && state.own_in_flight[index] == 0 {
            state.virtual_served[index] = state.virtual_served[index].max(floor);
        }
        let served = state.virtual_served[index];
        state.waiting[index].insert(key, waiting);
        if began {
            self.queues[index].insert(served, number);
        }
        self.queues[index].count_in();
    }

    /// Takes a request out of its queue.
    pub(super) fn dequeue(&mut self, number: u32, class: WorkClass, key: WaitKey) -> Option<WaitingRequest> {
        let index = class.index();
        let state = self.customer_mut(number);
        let waiting = state.waiting[index].remove(&key)?;
        let served = state.virtual_served[index];
        let emptied = state.waiting[index].is_empty();
        if emptied {
            self.queues[index].remove(served, number);
        }
        self.queues[index].count_out();
        Some(waiting)
    }

    /// Charges weighted tokens and keeps the queues in order.
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

    /// Takes out the next request that may start.
    pub(super) fn start_next(&mut self, policy: &dyn AdmissionPolicy) -> Option<WaitingRequest> {
        let load = self.load();
        let open = WorkClass::ALL
            .map(|class| !self.queues[class.index()].is_empty() && policy.has_room(&load, class));
        if open == [false; 3] {
            return None;
        }
        let QueuePick { class, customer } = policy.pick(self, open)?;
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

    /// Notes the end of a request.
    pub(super) fn finish(&mut self, number: u32, class: WorkClass, correction: i64, now: MonoTime) {
        let index = class.index();
        self.own[index] -= 1;
        self.charge(number, class, correction, true);
        let state = self.customer_mut(number);
        state.own_in_flight[index] -= 1;
        state.last_active = now;
    }

    /// Learns from the time that an answered request took.
    pub(super) fn learn(&mut self, class: WorkClass, took: Duration, estimated: Duration) {
        let index = class.index();
        let took_s = took.as_secs_f64();
        let (low, high) = PACE_BOUNDS;
        let ratio = (took_s / estimated.as_secs_f64().max(1e-3)).clamp(low, high);
        blend(&mut self.pace[index], ratio);
        blend(&mut self.residence_s[index], took_s);
    }

    /// Estimated service time, corrected by what was measured.
    pub(super) fn paced(&self, class: WorkClass, estimated: Duration) -> Duration {
        estimated.mul_f64(self.pace[class.index()].unwrap_or(1.0))
    }

    /// Expected wait of a new request.
    pub(super) fn expected_wait(
        &self,
        policy: &dyn AdmissionPolicy,
        number: u32,
        class: WorkClass,
        service_time: Duration,
    ) -> Duration {
        let load = self.load();
        let queue = &self.queues[class.index()];
        if queue.is_empty() && policy.has_room(&load, class) && self.customer(number).has_room() {
            return Duration::ZERO;
        }
        // Under fair order a customer's n-th request waits for at most n of each other customer.
        let own = self.customer(number).waiting[class.index()].len();
        let others = queue.customers().max(1);
        let ahead = queue.len().min((own + 1) * others) + 1;
        let residence_s = self.residence_s[class.index()].unwrap_or(service_time.as_secs_f64());
        let wait_s = ahead as f64 * residence_s / policy.room(&load, class);
        Duration::try_from_secs_f64(wait_s).unwrap_or(Duration::MAX)
    }

    /// Waiting requests that can't meet their deadline even if they started now.
    pub(super) fn hopeless(&self, now: MonoTime, early: bool) -> Vec<(u32, WorkClass, WaitKey)> {
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

    /// Forgets customers that have been idle for long.
    pub(super) fn forget_idle(&mut self, lifetime: Duration, now: MonoTime) {
        for slot in &mut self.customers {
            let gone = slot
                .as_ref()
                .is_some_and(|state| state.is_idle() && now.since(state.last_active) > lifetime);
            if gone && let Some(state) = slot.take() {
                self.index.remove(&state.id);
            }
        }
    }
}

impl QueueView for ServiceState {
    fn queue(&self, class: WorkClass) -> &ClassQueue {
        &self.queues[class.index()]
    }

    fn has_room(&self, customer: u32) -> bool {
        self.customer(customer).has_room()
    }

    fn next(&self, customer: u32, class: WorkClass) -> Option<(MonoTime, MonoTime)> {
        let (key, waiting) = self.customer(customer).waiting[class.index()].first_key_value()?;
        Some((key.0, waiting.arrived))
    }
}

fn blend(average: &mut Option<f64>, sample: f64) {
    *average = Some(match *average {
        Some(old) => old + SAMPLE_WEIGHT * (sample - old),
        None => sample,
    });
}
