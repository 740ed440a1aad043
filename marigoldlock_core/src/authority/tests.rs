//! Tests of the fold, the leases and the snapshots.

use std::time::Duration;

use marigoldlock_wire::codec;
use marigoldlock_wire::record::Envelope;
use marigoldlock_wire::record::authority::{AuthorityRecord, ControlRecord, Duty, HolderId, append_id};

use super::*;
use crate::prelude::*;

fn holder(name: &str, incarnation: u64) -> HolderId {
    HolderId {
        instance: name.into(),
        incarnation: Incarnation(incarnation),
    }
}

fn append(writer: &HolderId, sequence: u64, record: AuthorityRecord) -> Envelope<ControlRecord> {
    Envelope {
        id: append_id(writer.incarnation, sequence),
        writer: writer.instance.clone(),
        incarnation: writer.incarnation,
        records: vec![ControlRecord::Authority(record)],
    }
}

fn claim(supersedes: Option<LogPosition>) -> AuthorityRecord {
    AuthorityRecord::Claim {
        duty: Duty::Snapshots,
        supersedes,
    }
}

fn at(seconds: u64) -> MonoTime {
    MonoTime::from_duration(Duration::from_secs(seconds))
}

fn head_holder(fold: &ControlFold) -> HolderId {
    fold.authority().head(&Duty::Snapshots).unwrap().holder.clone()
}

#[test]
fn first_claim_in_log_order_wins() {
    let (a, b) = (holder("a", 1), holder("b", 2));
    let mut fold = ControlFold::default();
    assert_eq!(fold.apply(0, &append(&a, 1, claim(None))).len(), 1);
    assert!(fold.apply(1, &append(&b, 1, claim(None))).is_empty());
    assert_eq!(head_holder(&fold), a);
}

#[test]
fn renewal_voids_a_claim_that_has_not_seen_it() {
    let (a, b) = (holder("a", 1), holder("b", 2));
    let mut fold = ControlFold::default();
    fold.apply(0, &append(&a, 1, claim(None)));
    fold.apply(1, &append(&a, 2, AuthorityRecord::Renew));
    assert!(
        fold.apply(2, &append(&b, 1, claim(Some(LogPosition::new(0, 0)))))
            .is_empty()
    );
    assert_eq!(
        fold.apply(3, &append(&b, 2, claim(Some(LogPosition::new(1, 0)))))
            .len(),
        1
    );
    let head = fold.authority().head(&Duty::Snapshots).unwrap();
    assert_eq!(head.epoch, Epoch(LogPosition::new(3, 0)));
}

#[test]
fn repeated_and_reordered_appends_are_skipped() {
    let a = holder("a", 1);
    let mut fold = ControlFold::default();
    let first = append(&a, 1, claim(None));
    fold.apply(0, &first);
    fold.apply(
        1,
        &append(
            &a,
            2,
            AuthorityRecord::Resign {
                duty: Duty::Snapshots,
            },
        ),
    );
    assert!(fold.apply(2, &first).is_empty());
    assert!(
        fold.apply(3, &append(&a, 1, claim(Some(LogPosition::new(1, 0)))))
            .is_empty()
    );
    assert!(fold.authority().held(&Duty::Snapshots).is_none());
}

#[test]
fn new_reader_reaches_the_same_state_from_any_retained_offset() {
    let (a, b) = (holder("a", 1), holder("b", 2));
    let mut log = vec![append(&a, 1, claim(None)), append(&a, 2, AuthorityRecord::Renew)];
    let mut fold = ControlFold::default();
    for (offset, envelope) in (0..).zip(&log) {
        fold.apply(offset, envelope);
    }
    let parts = split_snapshot(&fold);
    // Another claim is appended between the fold and the append that holds its snapshot.
    log.push(append(&b, 1, claim(Some(LogPosition::new(1, 0)))));
    log.push(Envelope {
        records: parts.into_iter().map(ControlRecord::Snapshot).collect(),
        ..append(&a, 3, AuthorityRecord::Renew)
    });
    log.push(append(&b, 2, AuthorityRecord::Renew));
    let mut followed = ControlFold::default();
    for (offset, envelope) in (0..).zip(&log) {
        followed.apply(offset, envelope);
    }
    for first in 0..=2 {
        let mut reader = SnapshotReader::default();
        for record in log[first..].iter().flat_map(|envelope| &envelope.records) {
            if let ControlRecord::Snapshot(part) = record {
                reader.add(a.incarnation, part);
            }
        }
        let mut fresh = restore_fold(first as u64, &reader).unwrap();
        let start = fresh.next_offset() as usize;
        for (offset, envelope) in (start as u64..).zip(&log[start..]) {
            fresh.apply(offset, envelope);
        }
        assert_eq!(fresh, followed, "from offset {first}");
        assert_eq!(head_holder(&fresh), b);
    }
    assert_eq!(
        restore_fold(3, &SnapshotReader::default()),
        Err(SnapshotError::Missing { first: 3 })
    );
}

#[test]
fn records_survive_encoding() {
    let record = append(&holder("a", 7), 3, claim(Some(LogPosition::new(5, 1))));
    let decoded: Envelope<ControlRecord> = codec::decode(&codec::encode(&record)).unwrap();
    assert_eq!(decoded, record);
}

struct Pair {
    fold: ControlFold,
    a: DutyHolder,
    b: DutyHolder,
    offset: u64,
    alive: Vec<InstanceId>,
}

impl Pair {
    /// Two holders, of which `a` ranks first for the duty.
    fn new() -> Self {
        let alive: Vec<InstanceId> = vec!["x".into(), "y".into()];
        let is_x_first = rank_of(&Duty::Snapshots, &alive[0], &alive) == 0;
        let (first, second) = if is_x_first { ("x", "y") } else { ("y", "x") };
        let timing = LeaseTiming::default();
        Self {
            fold: ControlFold::default(),
            a: DutyHolder::new(holder(first, 1), timing),
            b: DutyHolder::new(holder(second, 2), timing),
            offset: 0,
            alive,
        }
    }

    /// Appends what `a` has due, reads it back `delay` later and returns the number of records.
    fn step_a(&mut self, now: MonoTime, delay: Duration) -> usize {
        let records = self
            .a
            .due_records(self.fold.authority(), &[Duty::Snapshots], &self.alive, now);
        self.append(true, records, now, delay)
    }

    fn step_b(&mut self, now: MonoTime, delay: Duration) -> usize {
        let records = self
            .b
            .due_records(self.fold.authority(), &[Duty::Snapshots], &self.alive, now);
        self.append(false, records, now, delay)
    }

    fn append(&mut self, is_a: bool, records: Vec<AuthorityRecord>, now: MonoTime, delay: Duration) -> usize {
        let count = records.len();
        if count == 0 {
            return 0;
        }
        let writer = if is_a { &mut self.a } else { &mut self.b };
        let me = writer.me().clone();
        let id = append_id(me.incarnation, self.offset + 1);
        writer.on_append_sent(id, now);
        let records = records.into_iter().map(ControlRecord::Authority).collect();
        let envelope = Envelope {
            id,
            writer: me.instance,
            incarnation: me.incarnation,
            records,
        };
        self.fold.apply(self.offset, &envelope);
        self.offset += 1;
        self.a.observe(self.fold.authority(), id, now + delay);
        self.b.observe(self.fold.authority(), id, now + delay);
        count
    }

    fn acts(&self, is_a: bool, now: MonoTime) -> bool {
        let process = if is_a { &self.a } else { &self.b };
        process
            .authority(self.fold.authority(), &Duty::Snapshots, now)
            .is_some()
    }
}

#[test]
fn lease_starts_at_the_send_and_takeover_wait_at_the_read() {
    let mut pair = Pair::new();
    pair.step_a(at(0), Duration::from_secs(3));
    assert!(pair.acts(true, at(5)));
    assert!(!pair.acts(true, at(6)), "six seconds after the send");
    // The head was observed at 3 s. The other may claim after the lease, the drift margin, the order
    // lifetime and one rank delay.
    assert_eq!(pair.step_b(at(12), Duration::ZERO), 0);
    assert_eq!(pair.step_b(at(13), Duration::ZERO), 1);
    assert!(pair.acts(false, at(13)));
    assert!(!pair.acts(true, at(13)));
}

#[test]
fn holder_renews_before_its_lease_ends() {
    let mut pair = Pair::new();
    pair.step_a(at(0), Duration::ZERO);
    assert_eq!(pair.step_a(at(1), Duration::ZERO), 0);
    assert_eq!(pair.step_a(at(2), Duration::ZERO), 1);
    assert!(pair.acts(true, at(7)));
}

#[test]
fn leaving_holder_stops_acting_and_resigns_after_the_order_lifetime() {
    let mut pair = Pair::new();
    pair.step_a(at(0), Duration::ZERO);
    pair.a.leave(at(1));
    assert!(!pair.acts(true, at(1)));
    assert_eq!(pair.step_a(at(2), Duration::ZERO), 0);
    assert_eq!(pair.step_a(at(3), Duration::ZERO), 1);
    assert!(pair.a.is_idle());
    assert_eq!(
        pair.step_b(at(3), Duration::ZERO),
        0,
        "the second rank waits the rank delay"
    );
    assert_eq!(pair.step_b(at(4), Duration::ZERO), 1);
    assert_eq!(
        pair.step_a(at(30), Duration::ZERO),
        0,
        "a leaving process claims nothing"
    );
}

#[test]
fn duty_is_handed_over_to_the_instance_that_ranks_first() {
    let mut pair = Pair::new();
    let first = std::mem::take(&mut pair.alive);
    pair.alive = vec![pair.b.me().instance.clone()];
    pair.step_b(at(0), Duration::ZERO);
    pair.alive = first;
    let mut resigned = 0;
    for second in (1..=70).step_by(2) {
        pair.step_b(at(second), Duration::ZERO);
        if pair.fold.authority().held(&Duty::Snapshots).is_none() {
            resigned = second;
            break;
        }
    }
    assert_eq!(
        resigned, 63,
        "the rebalance delay of a minute and the order lifetime"
    );
    assert_eq!(pair.step_a(at(63), Duration::ZERO), 1);
    assert!(pair.acts(true, at(63)));
}
