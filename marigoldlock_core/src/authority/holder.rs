//! When one process may act under a duty, and what it appends to get, keep or give up duties.
//!
//! A process has one append on the way at a time and repeats it unchanged until it is read back or refused.
//! [`DutyHolder::due_records`] is asked only while none is on the way; what is due follows from the fold and
//! the clock, so nothing is lost when an append is refused.

use std::collections::BTreeMap;
use std::hash::{Hash, Hasher};
use std::time::Duration;

use marigoldlock_wire::record::authority::{AuthorityRecord, Duty, HolderId};

use super::{AuthorityFold, DutyHead, Fault};
use crate::prelude::*;
use crate::time::ORDER_LIFETIME;

/// Durations that all processes share.
#[derive(Clone, Copy, Debug, Eq, Hash, PartialEq)]
pub struct LeaseTiming {
    /// How long a holder acts after it sent its claim or newest renewal.
    pub lease: Duration,
    /// Time between renewals.
    pub renew_every: Duration,
    /// Most by which two clocks can drift apart over a lease and the waits after it.
    pub drift_margin: Duration,
    /// Longest time from the write of an order or report to its arrival.
    pub order_lifetime: Duration,
    /// What each rank behind the first in the duty's order of instances waits on top.
    pub rank_delay: Duration,
    /// How long another instance must rank first before the holder hands the duty over.
    pub rebalance_after: Duration,
}

impl Default for LeaseTiming {
    fn default() -> Self {
        Self {
            lease: Duration::from_secs(6),
            renew_every: Duration::from_secs(2),
            drift_margin: Duration::from_millis(500),
            order_lifetime: ORDER_LIFETIME,
            rank_delay: Duration::from_secs(1),
            rebalance_after: Duration::from_secs(60),
        }
    }
}

/// Leave to act under a duty.
#[derive(Clone, Copy, Debug, Eq, Hash, PartialEq)]
pub struct DutyAuthority {
    /// Epoch of the claim.
    pub epoch: Epoch,
    /// The last moment, on the process's own clock.
    pub until: MonoTime,
}

#[derive(Clone, Copy, Debug, Eq, Hash, PartialEq)]
struct HeadSeen {
    position: LogPosition,
    at: MonoTime,
}

/// The part of one process in all duties.
#[derive(Clone, Debug, Eq, Hash, PartialEq)]
pub struct DutyHolder {
    me: HolderId,
    timing: LeaseTiming,
    seen: BTreeMap<Duty, HeadSeen>,
    leases: BTreeMap<Duty, MonoTime>,
    on_the_way: Option<(RecordId, MonoTime)>,
    releasing: BTreeMap<Duty, MonoTime>,
    misplaced: BTreeMap<Duty, MonoTime>,
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
            on_the_way: None,
            releasing: BTreeMap::new(),
            misplaced: BTreeMap::new(),
            leaving: false,
            fault: None,
        }
    }

    /// Leaves a rule out, for the model check.
    pub fn with_fault(self, fault: Option<Fault>) -> Self {
        Self { fault, ..self }
    }

    /// The process.
    pub fn me(&self) -> &HolderId {
        &self.me
    }

    /// Notes the first send of an append, before any byte leaves.
    pub fn append_sent(&mut self, id: RecordId, now: MonoTime) {
        if self.on_the_way.is_none_or(|(sent, _)| sent != id) {
            self.on_the_way = Some((id, now));
        }
    }

    /// Notes that the log refused an append and will never hold it.
    pub fn append_refused(&mut self, id: RecordId) {
        self.on_the_way.take_if(|(sent, _)| *sent == id);
    }

    /// Takes note of the heads after an append was folded.
    pub fn observe(&mut self, fold: &AuthorityFold, id: RecordId, now: MonoTime) {
        let sent = self.on_the_way.take_if(|(sent, _)| *sent == id).map(|(_, at)| at);
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
                HeadSeen {
                    position: head.position,
                    at: now,
                },
            );
            self.take_head(duty, head, sent);
        }
    }

    fn take_head(&mut self, duty: &Duty, head: &DutyHead, sent: Option<MonoTime>) {
        if head.holder != self.me || head.resigned {
            self.leases.remove(duty);
            self.releasing.remove(duty);
            self.misplaced.remove(duty);
            return;
        }
        let Some(sent) = sent else { return };
        self.leases.insert(duty.clone(), sent + self.timing.lease);
    }

    /// Leave to act under the duty now, if the process has it.
    pub fn authority(&self, fold: &AuthorityFold, duty: &Duty, now: MonoTime) -> Option<DutyAuthority> {
        let head = fold.held(duty).filter(|head| head.holder == self.me)?;
        let until = *self.leases.get(duty)?;
        let may_act = now < until && !self.releasing.contains_key(duty);
        may_act.then_some(DutyAuthority {
            epoch: head.epoch,
            until,
        })
    }

    /// Gives up all duties and takes no more.
    pub fn leave(&mut self, now: MonoTime) {
        self.leaving = true;
        let quiet = now + self.timing.order_lifetime;
        for duty in self.leases.keys() {
            self.releasing.entry(duty.clone()).or_insert(quiet);
        }
    }

    /// Whether the process holds no duty any more.
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

    /// Starts to release the duties for which another instance has long ranked first.
    fn hand_over(&mut self, fold: &AuthorityFold, alive: &[InstanceId], now: MonoTime) {
        let held: Vec<Duty> = self.leases.keys().cloned().collect();
        for duty in held {
            if rank_of(&duty, &self.me.instance, alive) == 0 || fold.held(&duty).is_none() {
                self.misplaced.remove(&duty);
                continue;
            }
            let hand_over_at = now + self.timing.rebalance_after;
            let hand_over_at = *self.misplaced.entry(duty.clone()).or_insert(hand_over_at);
            if now >= hand_over_at {
                let quiet = now + self.timing.order_lifetime;
                self.releasing.entry(duty).or_insert(quiet);
            }
        }
    }

    fn due_resignations(&self, now: MonoTime) -> impl Iterator<Item = AuthorityRecord> {
        self.releasing
            .iter()
            .filter(move |(_, quiet)| **quiet <= now)
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
                    .is_none_or(|until| now + self.timing.lease >= *until + self.timing.renew_every)
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

/// How many living instances come before `instance` for the duty, by rendezvous hashing.
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
