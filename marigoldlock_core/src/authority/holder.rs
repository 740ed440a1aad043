//! Leases of one process: when it may act under a duty, and what it appends to claim, renew or resign duties.
//!
//! A process has one append in flight at a time and repeats it unchanged until it is read back or refused.
//! [`DutyHolder::due_records`] is called only while none is in flight. What is due follows from the fold and
//! the clock, so nothing is lost when an append is refused.

use std::collections::BTreeMap;
use std::hash::{Hash, Hasher};
use std::time::Duration;

use marigoldlock_wire::record::authority::{AuthorityRecord, Duty, HolderId};

use super::{AuthorityFold, DutyHead, Fault};
use crate::prelude::*;
use crate::time::ORDER_LIFETIME;

/// Lease durations; all processes use the same values.
#[derive(Clone, Copy, Debug, Eq, Hash, PartialEq)]
pub struct LeaseTiming {
    /// How long a holder may act after sending its claim or newest renewal.
    pub lease: Duration,
    /// Time between renewals.
    pub renew_interval: Duration,
    /// Maximum drift between two clocks over a lease and the waits after it.
    pub drift_margin: Duration,
    /// Maximum time between writing an order or report and its arrival.
    pub order_lifetime: Duration,
    /// Additional wait for each rank behind the first in the duty's ranking of instances.
    pub rank_delay: Duration,
    /// How long another instance must rank first before the holder hands the duty over.
    pub rebalance_after: Duration,
}

impl Default for LeaseTiming {
    fn default() -> Self {
        Self {
            lease: Duration::from_secs(6),
            renew_interval: Duration::from_secs(2),
            drift_margin: Duration::from_millis(500),
            order_lifetime: ORDER_LIFETIME,
            rank_delay: Duration::from_secs(1),
            rebalance_after: Duration::from_secs(60),
        }
    }
}

/// Permission to act under a duty.
#[derive(Clone, Copy, Debug, Eq, Hash, PartialEq)]
pub struct DutyAuthority {
    /// Epoch of the claim.
    pub epoch: Epoch,
    /// When the lease ends, by the process's own clock.
    pub until: MonoTime,
}

#[derive(Clone, Copy, Debug, Eq, Hash, PartialEq)]
struct ObservedHead {
    position: LogPosition,
    at: MonoTime,
}

/// Leases and claims of one process on all duties.
#[derive(Clone, Debug, Eq, Hash, PartialEq)]
pub struct DutyHolder {
    me: HolderId,
    timing: LeaseTiming,
    seen: BTreeMap<Duty, ObservedHead>,
    leases: BTreeMap<Duty, MonoTime>,
    /// The append in flight and when it was first sent.
    in_flight: Option<(RecordId, MonoTime)>,
    /// Duties under which the process no longer acts, and when it resigns from them.
    releasing: BTreeMap<Duty, MonoTime>,
    /// Duties for which another instance ranks first, and when they are handed over to it.
    hand_over_at: BTreeMap<Duty, MonoTime>,
    leaving: bool,
    fault: Option<Fault>,
}

impl DutyHolder {
    /// A process that holds nothing.
    pub fn new(me: HolderId, timing: LeaseTiming) -> Self {
        Self {
            me,
            timing,
            seen: BTreeMap::new(),
            leases: BTreeMap::new(),
            in_flight: None,
            releasing: BTreeMap::new(),
            hand_over_at: BTreeMap::new(),
            leaving: false,
            fault: None,
        }
    }

    /// Disables a rule, for the model checker.
    pub fn with_fault(self, fault: Option<Fault>) -> Self {
        Self { fault, ..self }
    }

    /// Identity of the process.
    pub fn me(&self) -> &HolderId {
        &self.me
    }

    /// Records when an append is first sent. Must be called before any byte is written, as the lease counts
    /// from this time.
    pub fn on_append_sent(&mut self, id: RecordId, now: MonoTime) {
        if self.in_flight.is_none_or(|(sent, _)| sent != id) {
            self.in_flight = Some((id, now));
        }
    }

    /// Handles an append that the log refused and will never store.
    pub fn on_append_refused(&mut self, id: RecordId) {
        self.in_flight.take_if(|(sent, _)| *sent == id);
    }

    /// Updates leases and observed heads after an append was folded.
    pub fn observe(&mut self, fold: &AuthorityFold, id: RecordId, now: MonoTime) {
        let sent = self.in_flight.take_if(|(sent, _)| *sent == id).map(|(_, at)| at);
        for (duty, head) in fold.heads() {
            let is_known = self
                .seen
                .get(duty)
                .is_some_and(|seen| seen.position == head.position);
            if is_known {
                continue;
            }
            self.seen.insert(
                duty.clone(),
                ObservedHead {
                    position: head.position,
                    at: now,
                },
            );
            self.update_lease(duty, head, sent);
        }
    }

    fn update_lease(&mut self, duty: &Duty, head: &DutyHead, sent: Option<MonoTime>) {
        if head.holder != self.me || head.resigned {
            self.leases.remove(duty);
            self.releasing.remove(duty);
            self.hand_over_at.remove(duty);
            return;
        }
        let Some(sent) = sent else { return };
        self.leases.insert(duty.clone(), sent + self.timing.lease);
    }

    /// Permission to act under the duty now, if the process has it.
    pub fn authority(&self, fold: &AuthorityFold, duty: &Duty, now: MonoTime) -> Option<DutyAuthority> {
        let head = fold.held(duty).filter(|head| head.holder == self.me)?;
        let until = *self.leases.get(duty)?;
        let may_act = now < until && !self.releasing.contains_key(duty);
        may_act.then_some(DutyAuthority {
            epoch: head.epoch,
            until,
        })
    }

    /// Starts to release all duties and claims no more.
    pub fn leave(&mut self, now: MonoTime) {
        self.leaving = true;
        let resign_at = now + self.timing.order_lifetime;
        for duty in self.leases.keys() {
            self.releasing.entry(duty.clone()).or_insert(resign_at);
        }
    }

    /// Whether the process holds no duty.
    pub fn is_idle(&self) -> bool {
        self.leases.is_empty()
    }

    /// Records to append now, all in one append.
    pub fn due_records(
        &mut self,
        fold: &AuthorityFold,
        duties: &[Duty],
        alive: &[InstanceId],
        now: MonoTime,
    ) -> Vec<AuthorityRecord> {
        self.hand_over(fold, alive, now);
        if self.leaving {
            self.leave(now);
        }
        let mut records: Vec<_> = self.due_resignations(now).collect();
        if self.is_renewal_due(fold, now) {
            records.push(AuthorityRecord::Renew);
        }
        if !self.leaving {
            records.extend(self.due_claims(fold, duties, alive, now));
        }
        records
    }

    /// Starts to release the duties for which another instance has ranked first for `rebalance_after`.
    fn hand_over(&mut self, fold: &AuthorityFold, alive: &[InstanceId], now: MonoTime) {
        let held: Vec<Duty> = self.leases.keys().cloned().collect();
        for duty in held {
            if rank_of(&duty, &self.me.instance, alive) == 0 || fold.held(&duty).is_none() {
                self.hand_over_at.remove(&duty);
                continue;
            }
            let hand_over_at = now + self.timing.rebalance_after;
            let hand_over_at = *self.hand_over_at.entry(duty.clone()).or_insert(hand_over_at);
            if now >= hand_over_at {
                let resign_at = now + self.timing.order_lifetime;
                self.releasing.entry(duty).or_insert(resign_at);
            }
        }
    }

    fn due_resignations(&self, now: MonoTime) -> impl Iterator<Item = AuthorityRecord> {
        self.releasing
            .iter()
            .filter(move |(_, resign_at)| **resign_at <= now)
            .map(|(duty, _)| AuthorityRecord::Resign { duty: duty.clone() })
    }

    fn is_renewal_due(&self, fold: &AuthorityFold, now: MonoTime) -> bool {
        fold.heads()
            .filter(|(duty, head)| {
                head.holder == self.me && !head.resigned && !self.releasing.contains_key(duty)
            })
            .any(|(duty, _)| {
                self.leases
                    .get(duty)
                    .is_none_or(|until| now + self.timing.lease >= *until + self.timing.renew_interval)
            })
    }

    fn due_claims(
        &self,
        fold: &AuthorityFold,
        duties: &[Duty],
        alive: &[InstanceId],
        now: MonoTime,
    ) -> Vec<AuthorityRecord> {
        duties
            .iter()
            .filter(|duty| self.is_claim_due(fold, duty, alive, now))
            .map(|duty| AuthorityRecord::Claim {
                duty: duty.clone(),
                supersedes: fold.head(duty).map(|head| head.position),
            })
            .collect()
    }

    fn is_claim_due(&self, fold: &AuthorityFold, duty: &Duty, alive: &[InstanceId], now: MonoTime) -> bool {
        let delay = self.timing.rank_delay * rank_of(duty, &self.me.instance, alive) as u32;
        let Some(head) = fold.head(duty) else {
            return now >= MonoTime::ZERO + delay;
        };
        if head.holder == self.me && !head.resigned {
            return false;
        }
        let Some(seen) = self.seen.get(duty) else {
            return false;
        };
        let wait = if head.resigned {
            Duration::ZERO
        } else {
            self.takeover_wait()
        };
        now.since(seen.at) >= wait + delay
    }

    fn takeover_wait(&self) -> Duration {
        if self.fault == Some(Fault::DropMargin) {
            return self.timing.lease;
        }
        self.timing.lease + self.timing.drift_margin + self.timing.order_lifetime
    }
}

/// Number of live instances that rank before `instance` for the duty, by rendezvous hashing.
pub fn rank_of(duty: &Duty, instance: &InstanceId, alive: &[InstanceId]) -> usize {
    let own = score(duty, instance);
    alive
        .iter()
        .filter(|other| *other != instance && score(duty, other) > own)
        .count()
}

fn score(duty: &Duty, instance: &InstanceId) -> (u64, InstanceId) {
    let mut hasher = rustc_hash::FxHasher::default();
    duty.hash(&mut hasher);
    instance.hash(&mut hasher);
    (
        hasher.finish().wrapping_mul(0x9e37_79b9_7f4a_7c15),
        instance.clone(),
    )
}
