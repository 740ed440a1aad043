//! One customer at one service.

use std::collections::BTreeMap;
use std::time::Duration;

use crate::prelude::*;
use crate::routing::WorkClass;

use super::types::CustomerLimits;

/// Seconds of the rate limit that may be used at once.
const BURST_S: f64 = 10.0;

/// Place in a customer's own queue: by deadline, then by arrival.
pub(super) type WaitKey = (MonoTime, u64);

/// Request that waits.
#[derive(Clone, Copy, Debug)]
pub(super) struct WaitingRequest {
    pub(super) request: RequestId,
    pub(super) cost: u64,
    /// Time that it needs once started, by what was measured.
    pub(super) service_time: Duration,
    /// The same by its tokens alone.
    pub(super) estimated: Duration,
    pub(super) arrived: MonoTime,
}

/// Counters and waiting requests of one customer at one service.
#[derive(Clone, Debug)]
pub(super) struct CustomerState {
    pub(super) id: CustomerId,
    pub(super) weight: u32,
    pub(super) limits: CustomerLimits,
    /// Weighted tokens over the customer's weight, on all instances, by class.
    pub(super) virtual_served: [u64; 3],
    /// Weighted tokens that this instance has charged, by class.
    pub(super) own_served: [u64; 3],
    pub(super) own_in_flight: [u32; 3],
    pub(super) peers_in_flight: u32,
    pub(super) peers_active: u32,
    pub(super) waiting: [BTreeMap<WaitKey, WaitingRequest>; 3],
    pub(super) last_active: MonoTime,
    allowance: f64,
    allowance_set: MonoTime,
}

impl CustomerState {
    pub(super) fn new(id: CustomerId, limits: CustomerLimits, now: MonoTime) -> Self {
        Self {
            id,
            weight: 1,
            limits,
            virtual_served: [0; 3],
            own_served: [0; 3],
            own_in_flight: [0; 3],
            peers_in_flight: 0,
            peers_active: 0,
            waiting: Default::default(),
            last_active: now,
            allowance: limits.tokens_per_minute.map_or(0.0, burst),
            allowance_set: now,
        }
    }

    /// Requests in flight here.
    pub(super) fn in_flight(&self) -> u32 {
        self.own_in_flight.iter().sum()
    }

    /// Requests waiting here.
    pub(super) fn queued(&self) -> u32 {
        self.waiting.iter().map(|waiting| waiting.len() as u32).sum()
    }

    /// Requests in flight or waiting here, by class.
    pub(super) fn active(&self) -> [u32; 3] {
        WorkClass::ALL.map(|class| {
            let index = class.index();
            self.own_in_flight[index] + self.waiting[index].len() as u32
        })
    }

    /// True if nothing of the customer is known to run or wait anywhere.
    pub(super) fn is_idle(&self) -> bool {
        self.in_flight() == 0 && self.queued() == 0 && self.peers_active == 0
    }

    /// Sets new limits.
    pub(super) fn set_limits(&mut self, limits: CustomerLimits, now: MonoTime) {
        if self.limits.tokens_per_minute != limits.tokens_per_minute {
            self.allowance = limits.tokens_per_minute.map_or(0.0, burst);
            self.allowance_set = now;
        }
        self.limits = limits;
    }

    /// True if the in-flight limit leaves room for one more here.
    ///
    /// The limit is split over the instances by their demand. A share is rounded up, so what the peers have
    /// in flight is looked at as well.
    pub(super) fn has_room(&self) -> bool {
        let Some(limit) = self.limits.in_flight else {
            return true;
        };
        let own = self.in_flight();
        if own + self.peers_in_flight >= limit {
            return false;
        }
        let demand = own + self.queued().max(1);
        let all = demand + self.peers_active;
        let share = (u64::from(limit) * u64::from(demand)).div_ceil(u64::from(all.max(1)));
        u64::from(own) < share
    }

    /// Charges weighted tokens; negative to give back.
    pub(super) fn charge(&mut self, class: WorkClass, tokens: i64) {
        let index = class.index();
        self.own_served[index] = self.own_served[index].saturating_add_signed(tokens);
        self.charge_fleet(class, tokens);
    }

    /// Charges weighted tokens that any instance has served.
    pub(super) fn charge_fleet(&mut self, class: WorkClass, tokens: i64) {
        let index = class.index();
        let scaled = tokens / i64::from(self.weight.max(1));
        self.virtual_served[index] = self.virtual_served[index].saturating_add_signed(scaled);
        self.allowance -= tokens as f64;
    }

    /// Time until the rate limit lets `cost` pass; zero if it does now.
    pub(super) fn rate_wait(&mut self, cost: u64, now: MonoTime) -> Duration {
        let Some(limit) = self.limits.tokens_per_minute else {
            return Duration::ZERO;
        };
        let rate = limit as f64 / 60.0;
        let gained = now.since(self.allowance_set).as_secs_f64() * rate;
        self.allowance = (self.allowance + gained).min(burst(limit));
        self.allowance_set = now;
        // A request larger than the burst passes once the allowance is full.
        let needed = (cost as f64).min(burst(limit));
        if self.allowance >= needed {
            return Duration::ZERO;
        }
        Duration::try_from_secs_f64((needed - self.allowance) / rate).unwrap_or(Duration::MAX)
    }
}

fn burst(tokens_per_minute: u64) -> f64 {
    tokens_per_minute as f64 / 60.0 * BURST_S
}
