//! State of one customer at one service.

use std::collections::BTreeMap;
use std::time::Duration;

use crate::prelude::*;
use crate::routing::WorkClass;

use super::types::CustomerLimits;

/// Size of the token bucket, in seconds of the rate limit.
const BURST_S: f64 = 10.0;

/// Position in a customer's queue: by deadline, then by arrival.
pub(super) type QueueKey = (MonoTime, u64);

/// A waiting request.
#[derive(Clone, Copy, Debug)]
pub(super) struct WaitingRequest {
    pub(super) request: RequestId,
    pub(super) cost: u64,
    /// Expected service time: `estimated`, scaled by measured times.
    pub(super) service_time: Duration,
    /// Service time estimated from the token counts alone.
    pub(super) estimated: Duration,
    pub(super) arrived: MonoTime,
}

/// Counters and waiting requests of one customer at one service.
#[derive(Clone, Debug)]
pub(super) struct CustomerState {
    pub(super) id: CustomerId,
    pub(super) weight: u32,
    pub(super) limits: CustomerLimits,
    /// Weighted tokens served on all instances, divided by the customer's weight, by class.
    ///
    /// Raised to the floor of the queue when an idle customer starts to wait, so that it builds up no credit.
    pub(super) virtual_served: [u64; 3],
    /// Weighted tokens that this instance has charged, by class.
    pub(super) own_served: [u64; 3],
    pub(super) own_in_flight: [u32; 3],
    pub(super) peers_in_flight: u32,
    pub(super) peers_active: u32,
    pub(super) waiting: [BTreeMap<QueueKey, WaitingRequest>; 3],
    pub(super) last_active: MonoTime,
    /// Content of the token bucket of the rate limit, in weighted tokens; negative if overdrawn.
    bucket: f64,
    bucket_updated: MonoTime,
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
            bucket: limits.tokens_per_minute.map_or(0.0, bucket_size),
            bucket_updated: now,
        }
    }

    /// Requests in flight at this instance.
    pub(super) fn in_flight(&self) -> u32 {
        self.own_in_flight.iter().sum()
    }

    /// Requests waiting at this instance.
    pub(super) fn queued(&self) -> u32 {
        self.waiting.iter().map(|waiting| waiting.len() as u32).sum()
    }

    /// Requests in flight or waiting at this instance, by class.
    pub(super) fn active(&self) -> [u32; 3] {
        WorkClass::ALL.map(|class| {
            let index = class.index();
            self.own_in_flight[index] + self.waiting[index].len() as u32
        })
    }

    /// True if the customer has no request in flight or waiting at any instance, as far as known.
    pub(super) fn is_idle(&self) -> bool {
        self.in_flight() == 0 && self.queued() == 0 && self.peers_active == 0
    }

    /// Sets new limits; a changed rate limit starts with a full bucket.
    pub(super) fn set_limits(&mut self, limits: CustomerLimits, now: MonoTime) {
        if self.limits.tokens_per_minute != limits.tokens_per_minute {
            self.bucket = limits.tokens_per_minute.map_or(0.0, bucket_size);
            self.bucket_updated = now;
        }
        self.limits = limits;
    }

    /// True if the in-flight limit allows one more request at this instance.
    ///
    /// The limit is divided among the instances in proportion to their demand. Since each share is rounded
    /// up, the total including the peers' requests in flight is checked as well.
    pub(super) fn is_below_limit(&self) -> bool {
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

    /// Charges weighted tokens that this instance has served; a negative number refunds them.
    pub(super) fn charge(&mut self, class: WorkClass, tokens: i64) {
        let index = class.index();
        self.own_served[index] = self.own_served[index].saturating_add_signed(tokens);
        self.charge_fleet(class, tokens);
    }

    /// Charges weighted tokens that any instance has served, without counting them as this instance's.
    pub(super) fn charge_fleet(&mut self, class: WorkClass, tokens: i64) {
        let index = class.index();
        let scaled = tokens / i64::from(self.weight.max(1));
        self.virtual_served[index] = self.virtual_served[index].saturating_add_signed(scaled);
        self.bucket -= tokens as f64;
    }

    /// Time until the rate limit allows `cost` weighted tokens; zero if it does now.
    pub(super) fn rate_wait(&mut self, cost: u64, now: MonoTime) -> Duration {
        let Some(limit) = self.limits.tokens_per_minute else {
            return Duration::ZERO;
        };
        let rate = limit as f64 / 60.0;
        let refilled = now.since(self.bucket_updated).as_secs_f64() * rate;
        self.bucket = (self.bucket + refilled).min(bucket_size(limit));
        self.bucket_updated = now;
        // A request larger than the bucket passes once the bucket is full.
        let needed = (cost as f64).min(bucket_size(limit));
        if self.bucket >= needed {
            return Duration::ZERO;
        }
        Duration::try_from_secs_f64((needed - self.bucket) / rate).unwrap_or(Duration::MAX)
    }
}

fn bucket_size(tokens_per_minute: u64) -> f64 {
    tokens_per_minute as f64 / 60.0 * BURST_S
}
