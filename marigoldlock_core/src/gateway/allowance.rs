//! Allowances of customers: rates that all instances together keep, without a coordinator.
//!
//! Load pattern: one customer sends many times its usual traffic, spread over all instances, while the others send theirs.
//!
//! Each instance has a token bucket per customer for the whole fleet. Its own charges are taken from it at once, those of the
//! others when they tell of them, which takes some heartbeats. A bucket that is decided on with such a delay would swing
//! between all and nothing, so beyond the rate each instance admits requests with the probability that makes the fleet's
//! admitted demand equal to the rate, corrected by what the bucket lacks. A customer that asks for no more than its rate is
//! always admitted.
//!
//! An instance that hears a part of the fleet uses that part of the rate and of the burst. Counting the instances that were
//! heard lately, and not those that are heard now, makes the parts of all groups sum up to no more than the whole. An
//! instance that starts, or stood still, begins with an empty bucket: what was left before may have been used by others.

use std::hash::Hasher;
use std::time::Duration;

use derive_more::{Display, Error};
use marigoldlock_wire::prelude::*;
use rustc_hash::FxHasher;
use serde::{Deserialize, Serialize};

use crate::time::MonoTime;

use super::call::PromptShape;
use super::exchange::heartbeat_interval;

/// Time over which the demand of a customer is averaged.
const DEMAND_TIME: Duration = Duration::from_secs(2);

/// Time over which the charges of other instances are averaged, to estimate those that have not been told yet.
const CHARGE_TIME: Duration = Duration::from_millis(500);

/// Heartbeat intervals after which a charge is known everywhere, on average: most come directly, others through two relays.
const MEAN_DELAY_INTERVALS: f64 = 1.5;

/// Shortest time in which a missing or surplus amount of the bucket is made up for; several times the delay of the news.
const MIN_CORRECTION_TIME: Duration = Duration::from_secs(1);

/// Heartbeat intervals in which the same is made up for in large fleets.
const CORRECTION_INTERVALS: u32 = 4;

/// Demand up to which a customer may use its burst without limit, as a multiple of its rate.
const BURST_DEMAND_FACTOR: f64 = 1.5;

/// Part of the permitted overshoot that makes up for instances that are not heard.
const OVERSHOOT_SHARE: f64 = 0.5;

/// Heartbeat intervals between two calls of [`AllowanceTable::update`] from which on the process counts as having stood still.
const STANDSTILL_INTERVALS: u32 = 4;

/// Time added to the same, for a busy machine.
const STANDSTILL_MARGIN: Duration = Duration::from_millis(500);

/// Time after a standstill in which datagrams that waited in the socket may still arrive.
const STALE_NEWS_TIME: Duration = Duration::from_millis(200);

/// Rounds of heartbeats in which a changed total is repeated to others: datagrams are lost, and a round goes to one relay of
/// each other data centre. More would cost small links more than the heartbeats themselves.
const REPEAT_ROUNDS: u32 = 3;

/// Silence after which the totals of an instance are forgotten.
const FORGET_TIME: Duration = Duration::from_secs(60);

/// Shortest and longest time to name to a refused caller.
const MIN_RETRY_AFTER: Duration = Duration::from_millis(200);
const MAX_RETRY_AFTER: Duration = Duration::from_secs(5);

/// What an allowance is counted in.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub enum AllowanceUnit {
    /// Requests.
    #[default]
    Requests,
    /// Prompt tokens and the largest number of tokens to generate.
    Tokens,
}

/// Allowance of one customer for all instances together.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct CustomerAllowance {
    /// Units per second.
    pub rate: f64,
    /// Units that may be used at once after a pause.
    pub burst: f64,
    /// What is counted.
    pub unit: AllowanceUnit,
    /// Units of a request without a prompt, if tokens are counted.
    pub plain_tokens: u64,
}

/// Error for an allowance that can't be kept.
#[derive(Clone, Copy, Debug, Display, Eq, Error, PartialEq)]
pub enum AllowanceError {
    /// The rate is negative or not a number.
    #[display("the rate must be a number of at least 0")]
    Rate,
    /// The burst is negative or not a number.
    #[display("the burst must be a number of at least 0")]
    Burst,
}

impl CustomerAllowance {
    /// Checks the figures of an allowance; `None` if it sets no limit.
    ///
    /// # Errors
    ///
    /// Fails if a figure is negative or not finite.
    pub fn checked(self) -> Result<Option<Self>, AllowanceError> {
        if !self.rate.is_finite() || self.rate < 0.0 {
            return Err(AllowanceError::Rate);
        }
        if !self.burst.is_finite() || self.burst < 0.0 {
            return Err(AllowanceError::Burst);
        }
        Ok((self.rate > 0.0).then_some(self))
    }

    /// Units of a request.
    pub fn cost(&self, prompt: Option<&PromptShape>) -> u64 {
        match (self.unit, prompt) {
            (AllowanceUnit::Requests, _) => 1,
            (AllowanceUnit::Tokens, None) => self.plain_tokens,
            (AllowanceUnit::Tokens, Some(prompt)) => {
                u64::from(prompt.prompt_tokens) + u64::from(prompt.output_tokens)
            }
        }
    }
}

/// By how much an allowance may be exceeded.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct AllowanceBounds {
    /// Length of the sliding window; zero if allowances have no bound.
    pub window: Duration,
    /// Permitted excess, as a share of the allowance.
    pub overshoot: f64,
    /// Permitted excess in addition, in units.
    pub slack: f64,
}

/// Part of the fleet that an instance hears.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub struct FleetShare {
    /// Instances that are heard now, including this one; 0 if it doesn't know yet whether there are others.
    pub heard: usize,
    /// Instances that are heard now or were lately.
    pub known: usize,
}

impl FleetShare {
    fn fraction(self) -> f64 {
        (self.heard as f64 / self.known.max(1) as f64).min(1.0)
    }
}

/// Hash of a customer's name, used between instances to save space. Two customers with the same hash would be refused by
/// their joint use.
#[derive(Clone, Copy, Debug, Deserialize, Eq, Hash, Ord, PartialEq, PartialOrd, Serialize)]
pub struct CustomerKey(u32);

impl From<&CustomerId> for CustomerKey {
    fn from(id: &CustomerId) -> Self {
        Self(short_hash(id.as_str().as_bytes()))
    }
}

/// Hash of an instance's name, used between instances to save space.
#[derive(Clone, Copy, Debug, Deserialize, Eq, Hash, Ord, PartialEq, PartialOrd, Serialize)]
pub struct InstanceKey(u32);

impl From<&InstanceId> for InstanceKey {
    fn from(id: &InstanceId) -> Self {
        Self(short_hash(id.as_str().as_bytes()))
    }
}

/// Part of an incarnation that tells successive processes of one instance apart.
fn short_incarnation(incarnation: Incarnation) -> u32 {
    short_hash(&incarnation.0.to_le_bytes())
}

fn short_hash(bytes: &[u8]) -> u32 {
    let mut hasher = FxHasher::default();
    hasher.write(bytes);
    let hash = hasher.finish();
    (hash ^ (hash >> 32)) as u32
}

/// Units of one customer at one instance since the start of its process.
#[derive(Clone, Copy, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
pub struct ChargeTotal {
    /// Units asked for, including those of refused requests.
    pub asked: i64,
    /// Units of requests that were admitted and not handed back.
    pub charged: i64,
}

/// Totals of one instance, as told to others.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct ChargeReport {
    /// The instance.
    pub instance: InstanceKey,
    /// Hash of the incarnation of its process.
    pub incarnation: u32,
    /// Number of the report; a later one replaces an earlier one.
    pub sequence: u64,
    /// True if customers that are not named have totals of zero, otherwise theirs have not changed lately.
    pub is_complete: bool,
    /// Totals by customer.
    pub totals: Vec<(CustomerKey, ChargeTotal)>,
}

/// Decision on a request.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum AllowanceDecision {
    /// The request was charged.
    Admitted,
    /// The customer's allowance is used up; the caller may retry after this time.
    Exhausted {
        /// Time until there is room for the request.
        retry_after: Duration,
        /// State of the customer's allowance.
        state: AllowanceState,
    },
}

/// Use of a customer's allowance, for logs and metrics. All figures are in units.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct AllowanceState {
    /// What is left in the bucket; negative if more was used than allowed.
    pub level: f64,
    /// Demand of all instances per second.
    pub demand_per_s: f64,
    /// Part of the rate that this instance goes by, per second.
    pub rate_per_s: f64,
}

/// Exponentially decaying sum of events, read as a rate.
#[derive(Clone, Copy, Debug, Default)]
struct DecayingRate {
    sum: f64,
    at: MonoTime,
}

impl DecayingRate {
    fn add(&mut self, amount: f64, time: Duration, now: MonoTime) {
        self.sum = self.per_second(time, now) * time.as_secs_f64() + amount;
        self.at = now;
    }

    fn per_second(&self, time: Duration, now: MonoTime) -> f64 {
        let time = time.as_secs_f64();
        self.sum * (-now.since(self.at).as_secs_f64() / time).exp() / time
    }
}

/// Bucket of one customer.
#[derive(Clone, Copy, Debug, Default)]
struct CustomerBucket {
    level: f64,
    refilled_at: MonoTime,
    demand: DecayingRate,
    peer_charges: DecayingRate,
}

impl CustomerBucket {
    /// Bucket that is empty at `empty_at`.
    fn new(empty_at: MonoTime) -> Self {
        Self {
            refilled_at: empty_at,
            ..Self::default()
        }
    }

    fn refill(&mut self, rate: f64, burst: f64, now: MonoTime) {
        let refill = rate * now.since(self.refilled_at).as_secs_f64();
        self.level = (self.level + refill).min(burst);
        self.refilled_at = now;
    }
}

/// Totals of one customer and when they changed.
#[derive(Clone, Copy, Debug)]
struct KnownTotal {
    total: ChargeTotal,
    changed_at: MonoTime,
}

/// Totals of one instance.
#[derive(Clone, Debug)]
struct InstanceTotals {
    incarnation: u32,
    /// The process before; relays may still forward its totals.
    replaced: Option<u32>,
    sequence: u64,
    heard_at: MonoTime,
    /// True if it was silent, so that its next totals are not compared with earlier ones.
    was_silent: bool,
    /// True if customers without an entry are known to have totals of zero.
    is_complete: bool,
    totals: FastMap<CustomerKey, KnownTotal>,
}

impl InstanceTotals {
    fn report(&self, instance: InstanceKey, is_complete: bool, since: MonoTime) -> ChargeReport {
        let is_complete = is_complete && self.is_complete;
        ChargeReport {
            instance,
            incarnation: self.incarnation,
            sequence: self.sequence,
            is_complete,
            totals: changed_totals(&self.totals, is_complete, since),
        }
    }
}

/// Totals that have changed since a time, or all.
fn changed_totals(
    totals: &FastMap<CustomerKey, KnownTotal>,
    is_complete: bool,
    since: MonoTime,
) -> Vec<(CustomerKey, ChargeTotal)> {
    totals
        .iter()
        .filter(|(_, known)| is_complete || known.changed_at >= since)
        .map(|(key, known)| (*key, known.total))
        .collect()
}

/// Buckets of all customers, and what all instances have charged.
#[derive(Clone, Debug, Default)]
pub struct AllowanceTable {
    allowances: FastMap<CustomerKey, CustomerAllowance>,
    buckets: FastMap<CustomerKey, CustomerBucket>,
    /// Since when charges of others are known; buckets were empty then.
    empty_at: MonoTime,
    /// Until when totals of others may be older than that.
    news_stale_until: MonoTime,
    own: FastMap<CustomerKey, KnownTotal>,
    peers: FastMap<InstanceKey, InstanceTotals>,
    share: FleetShare,
    interval: Duration,
    /// Silence after which another instance is no longer heard.
    liveness_timeout: Duration,
    bounds: AllowanceBounds,
    updated_at: Option<MonoTime>,
}

impl AllowanceTable {
    /// Table of an instance that starts now.
    pub fn new(started_at: MonoTime) -> Self {
        Self {
            empty_at: started_at,
            ..Self::default()
        }
    }

    /// Takes over the allowances of new settings.
    pub fn set_allowances(&mut self, allowances: &FastMap<CustomerId, CustomerAllowance>) {
        let allowances = allowances.iter();
        self.allowances = allowances
            .map(|(id, allowance)| (CustomerKey::from(id), *allowance))
            .collect();
        let allowances = &self.allowances;
        self.buckets.retain(|key, _| allowances.contains_key(key));
    }

    /// True if no customer has an allowance, so there is nothing to tell.
    pub fn is_empty(&self) -> bool {
        self.allowances.is_empty()
    }

    /// Takes over what the instance hears of the fleet now. To be called in every round of heartbeats.
    pub fn update(
        &mut self,
        share: FleetShare,
        liveness_timeout: Duration,
        bounds: AllowanceBounds,
        now: MonoTime,
    ) {
        self.check_standstill(now);
        self.share = share;
        self.bounds = bounds;
        self.interval = heartbeat_interval(share.known);
        self.liveness_timeout = liveness_timeout;
        self.updated_at = Some(now);
        self.peers
            .retain(|_, peer| now.since(peer.heard_at) < FORGET_TIME);
    }

    /// Forgets the buckets after a standstill, before anything is decided on them.
    fn check_standstill(&mut self, now: MonoTime) {
        let Some(updated_at) = self.updated_at else { return };
        if now.since(updated_at) <= self.interval * STANDSTILL_INTERVALS + STANDSTILL_MARGIN {
            return;
        }
        self.buckets.clear();
        self.empty_at = now;
        self.news_stale_until = now + STALE_NEWS_TIME.max(self.interval);
        self.share.heard = self.share.heard.min(1);
        self.updated_at = Some(now);
    }

    /// Units of a request of a customer; `None` if the customer has no allowance.
    pub fn cost(&self, customer: &CustomerId, prompt: Option<&PromptShape>) -> Option<u64> {
        let allowance = self.allowances.get(&CustomerKey::from(customer))?;
        Some(allowance.cost(prompt))
    }

    /// Charges a request if its customer's allowance has room for it. `random` is between 0 and 1.
    pub fn try_charge(
        &mut self,
        customer: &CustomerId,
        cost: u64,
        random: f64,
        now: MonoTime,
    ) -> AllowanceDecision {
        self.check_standstill(now);
        let key = CustomerKey::from(customer);
        let Some((rate, burst)) = self.part(key) else {
            return AllowanceDecision::Admitted;
        };
        let interval = self.interval;
        let correction_time = MIN_CORRECTION_TIME.max(interval * CORRECTION_INTERVALS);
        let empty_at = self.empty_at;
        let bucket = self
            .buckets
            .entry(key)
            .or_insert_with(|| CustomerBucket::new(empty_at));
        bucket.refill(rate, burst, now);
        bucket.demand.add(cost as f64, DEMAND_TIME, now);
        let demand = bucket.demand.per_second(DEMAND_TIME, now);
        let untold = bucket.peer_charges.per_second(CHARGE_TIME, now) * interval.as_secs_f64();
        let level = bucket.level - untold * MEAN_DELAY_INTERVALS;
        let admitted_rate = (rate + level / correction_time.as_secs_f64()).max(0.0);
        // The demand is known with noise: one that is a little over the rate may use up the burst.
        let told_later = demand * interval.as_secs_f64() * MEAN_DELAY_INTERVALS;
        let is_within = level - told_later >= cost as f64
            || bucket.level > 0.0 && demand <= rate
            || level >= cost as f64 && demand <= rate * BURST_DEMAND_FACTOR;
        let is_admitted = rate > 0.0 && (is_within || random * demand < admitted_rate);
        if is_admitted {
            bucket.level -= cost as f64;
        }
        let cost = cost as i64;
        let own = self.own.entry(key).or_insert(KnownTotal {
            total: ChargeTotal::default(),
            changed_at: now,
        });
        own.total.asked += cost;
        own.changed_at = now;
        if is_admitted {
            own.total.charged += cost;
            return AllowanceDecision::Admitted;
        }
        let missing = (cost as f64 - level).max(0.0) / rate.max(f64::MIN_POSITIVE);
        let spread = 1.0 + random;
        AllowanceDecision::Exhausted {
            retry_after: Duration::try_from_secs_f64(missing * spread)
                .unwrap_or(MAX_RETRY_AFTER)
                .clamp(MIN_RETRY_AFTER, MAX_RETRY_AFTER),
            state: AllowanceState {
                level,
                demand_per_s: demand,
                rate_per_s: rate,
            },
        }
    }

    /// Charges a request that runs once more, whatever is left of the allowance.
    pub fn charge_again(&mut self, customer: &CustomerId, cost: u64, now: MonoTime) {
        self.change(customer, cost as i64, now);
    }

    /// Hands back the charge of a request that has not run.
    pub fn release(&mut self, customer: &CustomerId, cost: u64, now: MonoTime) {
        self.change(customer, -(cost as i64), now);
    }

    fn change(&mut self, customer: &CustomerId, amount: i64, now: MonoTime) {
        let key = CustomerKey::from(customer);
        if let Some(bucket) = self.buckets.get_mut(&key) {
            bucket.level -= amount as f64;
        }
        if let Some(own) = self.own.get_mut(&key) {
            own.total.charged += amount;
            own.changed_at = now;
        }
    }

    /// Part of an allowance's rate and burst that this instance goes by.
    fn part(&self, key: CustomerKey) -> Option<(f64, f64)> {
        let allowance = self.allowances.get(&key)?;
        let fraction = self.share.fraction();
        let spare = 1.0 + self.bounds.overshoot * OVERSHOOT_SHARE;
        let part = (fraction * spare).min(1.0);
        Some((allowance.rate * part, allowance.burst * part))
    }

    /// Own totals as told to others.
    pub fn own_report(
        &self,
        instance: &InstanceId,
        incarnation: Incarnation,
        sequence: u64,
        is_complete: bool,
        now: MonoTime,
    ) -> ChargeReport {
        ChargeReport {
            instance: InstanceKey::from(instance),
            incarnation: short_incarnation(incarnation),
            sequence,
            is_complete,
            totals: changed_totals(&self.own, is_complete, self.repeated_since(now)),
        }
    }

    fn repeated_since(&self, now: MonoTime) -> MonoTime {
        now - self.interval * REPEAT_ROUNDS
    }

    /// Totals of other instances that a relay forwards: those of the instances for which `is_forwarded` is true.
    pub fn forwarded(
        &self,
        is_forwarded: impl Fn(InstanceKey) -> bool,
        is_complete: bool,
        now: MonoTime,
    ) -> Vec<ChargeReport> {
        self.peers
            .iter()
            .filter(|(key, peer)| is_forwarded(**key) && now.since(peer.heard_at) < self.liveness_timeout)
            .map(|(key, peer)| peer.report(*key, is_complete, self.repeated_since(now)))
            .collect()
    }

    /// Records that another instance was heard, whether or not it has told its totals.
    pub fn record_contact(&mut self, instance: &InstanceId, now: MonoTime) {
        if let Some(peer) = self.peers.get_mut(&InstanceKey::from(instance)) {
            peer.was_silent |= now.since(peer.heard_at) >= self.liveness_timeout;
            peer.heard_at = now;
        }
    }

    /// Takes over the totals of another instance.
    ///
    /// What it charged before this instance first heard it, or while it was silent, is not taken from the buckets: the first
    /// is in the empty bucket of the start, the second in the parts that were not used meanwhile.
    pub fn record(&mut self, report: &ChargeReport, now: MonoTime) {
        self.check_standstill(now);
        let known = self.peers.get(&report.instance);
        if known.is_some_and(|peer| peer.incarnation == report.incarnation && peer.sequence > report.sequence)
        {
            return;
        }
        if known.is_some_and(|peer| peer.replaced == Some(report.incarnation)) {
            return;
        }
        let is_restarted = known.is_some_and(|peer| peer.incarnation != report.incarnation);
        let replaced = known.filter(|_| is_restarted).map(|peer| peer.incarnation);
        let is_stale = now < self.news_stale_until;
        let was_silent =
            |peer: &InstanceTotals| peer.was_silent || now.since(peer.heard_at) >= self.liveness_timeout;
        let is_baseline = is_stale || known.is_none_or(|peer| was_silent(peer) && !is_restarted);
        let has_zeros = is_restarted || known.is_some_and(|peer| peer.is_complete);
        let mut peer = match known {
            Some(peer) if !is_restarted => peer.clone(),
            _ => InstanceTotals {
                incarnation: report.incarnation,
                replaced,
                sequence: 0,
                heard_at: now,
                was_silent: false,
                is_complete: is_restarted,
                totals: FastMap::default(),
            },
        };
        for (key, total) in &report.totals {
            let before = peer.totals.get(key).map(|known| known.total);
            let before = before.or_else(|| has_zeros.then(ChargeTotal::default));
            if before == Some(*total) {
                continue;
            }
            let changed = KnownTotal {
                total: *total,
                changed_at: now,
            };
            peer.totals.insert(*key, changed);
            let Some(before) = before.filter(|_| !is_baseline) else {
                continue;
            };
            let Some((rate, burst)) = self.part(*key) else {
                continue;
            };
            let charged = (total.charged - before.charged) as f64;
            let empty_at = self.empty_at;
            let bucket = self
                .buckets
                .entry(*key)
                .or_insert_with(|| CustomerBucket::new(empty_at));
            bucket.refill(rate, burst, now);
            bucket.level -= charged;
            bucket.peer_charges.add(charged, CHARGE_TIME, now);
            bucket
                .demand
                .add((total.asked - before.asked) as f64, DEMAND_TIME, now);
        }
        peer.sequence = report.sequence;
        peer.heard_at = now;
        peer.was_silent = false;
        peer.is_complete |= report.is_complete;
        self.peers.insert(report.instance, peer);
    }

    /// Use of a customer's allowance; `None` if nothing was charged yet.
    pub fn state(&self, customer: &CustomerId, now: MonoTime) -> Option<AllowanceState> {
        let key = CustomerKey::from(customer);
        let mut bucket = *self.buckets.get(&key)?;
        let (rate, burst) = self.part(key)?;
        bucket.refill(rate, burst, now);
        Some(AllowanceState {
            level: bucket.level,
            demand_per_s: bucket.demand.per_second(DEMAND_TIME, now),
            rate_per_s: rate,
        })
    }
}
