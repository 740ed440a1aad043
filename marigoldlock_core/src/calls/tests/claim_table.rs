//! Tests of the claims on plain keys.

use std::time::Duration;

use marigoldlock_wire::record::calls::{CallHash, CallRecord, MAX_ANSWER_PART_BYTES};
use proptest::prelude::*;

use super::*;

const NOW: MonoTime = MonoTime::from_millis(0);
const CALL: CallHash = CallHash(5);

fn table(own: u64) -> ClaimTable {
    ClaimTable::new(
        Incarnation(own),
        ClaimTableLimits::default(),
        ClaimFoldLimits::default(),
    )
}

fn begin(table: &mut ClaimTable, id: u128) -> ClaimDecision {
    table.begin(CALL, FINGERPRINT, RecordId(id), NOW, |_| false)
}

fn claim(table: &mut ClaimTable, id: u128) -> CallRecord {
    match begin(table, id) {
        ClaimDecision::Claim(claim) => CallRecord::Claim(claim),
        decision => panic!("{decision:?}"),
    }
}

/// Delivers every record to all tables at the same position, as the log does.
struct Log {
    next: u64,
}

impl Log {
    fn append(
        &mut self,
        writer: u64,
        record: &CallRecord,
        tables: &mut [&mut ClaimTable],
    ) -> Vec<Option<ClaimAction>> {
        let position = LogPosition::new(self.next, 0);
        self.next += 1;
        tables
            .iter_mut()
            .map(|table| table.on_record(position, Incarnation(writer), record))
            .collect()
    }
}

#[test]
fn the_first_claim_in_log_order_wins_and_other_instances_replay_its_answer() {
    let (mut a, mut b, mut log) = (table(1), table(2), Log { next: 0 });
    let (first, second) = (claim(&mut b, 20), claim(&mut a, 10));
    assert_eq!(
        log.append(2, &first, &mut [&mut a, &mut b]),
        [None, Some(ClaimAction::Send(CALL))]
    );
    assert_eq!(
        log.append(1, &second, &mut [&mut a, &mut b]),
        [Some(ClaimAction::Retry(CALL)), None]
    );
    assert!(!a.try_mark_sent(CALL, NOW));
    assert!(b.try_mark_sent(CALL, NOW));
    assert!(!b.try_mark_sent(CALL, NOW), "only once");
    let claimant = Some(Incarnation(2));
    assert_eq!(begin(&mut a, 11), ClaimDecision::Wait { claimant });
    let records = b.settle(CALL, CallOutcome::Answered(answer(9)));
    assert_eq!(
        begin(&mut b, 21),
        ClaimDecision::Replay(answer(9)),
        "before it is in the log"
    );
    for record in &records {
        log.append(2, record, &mut [&mut a, &mut b]);
    }
    assert_eq!(begin(&mut a, 12), ClaimDecision::Replay(answer(9)));
    assert_eq!(b.open_calls(), 0);
    let other = a.begin(CALL, RequestFingerprint(2), RecordId(13), NOW, |_| false);
    assert_eq!(other, ClaimDecision::Refuse(ResultCode::IdempotencyKeyReused));
}

#[test]
fn a_call_whose_claimant_ended_is_never_sent_by_another_instance() {
    let (mut a, mut b, mut log) = (table(1), table(2), Log { next: 0 });
    let record = claim(&mut a, 10);
    log.append(1, &record, &mut [&mut a, &mut b]);
    let decision = b.begin(CALL, FINGERPRINT, RecordId(20), NOW, |claimant| {
        claimant == Incarnation(1)
    });
    assert_eq!(decision, ClaimDecision::Refuse(ResultCode::OutcomeUnknown));
}

#[test]
fn a_claimant_paused_beyond_its_send_deadline_releases_the_claim() {
    let (mut a, mut b, mut log) = (table(1), table(2), Log { next: 0 });
    let record = claim(&mut a, 10);
    log.append(1, &record, &mut [&mut a, &mut b]);
    assert!(!a.try_mark_sent(CALL, NOW + Duration::from_secs(5)));
    for record in a.settle(CALL, CallOutcome::NotRun) {
        log.append(1, &record, &mut [&mut a, &mut b]);
    }
    assert!(matches!(begin(&mut b, 20), ClaimDecision::Claim(_)));
    assert_eq!(
        log.append(1, &record, &mut [&mut a, &mut b]),
        [None, None],
        "a late duplicate of the first claim does not claim the key again"
    );
}

#[test]
fn a_claim_read_back_after_it_was_abandoned_is_released() {
    let (mut a, mut b, mut log) = (table(1), table(2), Log { next: 0 });
    let record = claim(&mut a, 10);
    assert!(a.abandon(CALL));
    let actions = log.append(1, &record, &mut [&mut a, &mut b]);
    let Some(Some(ClaimAction::Append(release))) = actions.first() else {
        panic!("{actions:?}");
    };
    assert!(!a.try_mark_sent(CALL, NOW));
    log.append(1, release, &mut [&mut a, &mut b]);
    assert!(matches!(begin(&mut b, 20), ClaimDecision::Claim(_)));
}

#[test]
fn large_answers_are_split_and_too_large_ones_are_not_stored() {
    let (mut a, mut b, mut log) = (table(1), table(2), Log { next: 0 });
    let record = claim(&mut a, 10);
    log.append(1, &record, &mut [&mut a, &mut b]);
    assert!(a.try_mark_sent(CALL, NOW));
    let big = answer(2 * MAX_ANSWER_PART_BYTES + 5);
    let records = a.settle(CALL, CallOutcome::Answered(big.clone()));
    assert_eq!(records.len(), 3);
    for record in &records {
        let bytes = marigoldlock_wire::codec::encode(record).len();
        assert!(bytes < marigoldlock_wire::platform::MAX_RECORD_BYTES - 256);
        log.append(1, record, &mut [&mut a, &mut b]);
    }
    assert_eq!(begin(&mut b, 20), ClaimDecision::Replay(big));
    let huge = CallOutcome::Answered(answer(2 << 20));
    let records = outcome_records(CALL, FINGERPRINT, LogPosition(1), &huge, 1 << 20);
    assert_eq!(records.len(), 1);
}

#[test]
fn a_new_reader_applies_an_outcome_whose_claim_has_expired() {
    let (mut a, mut new_reader, mut log) = (table(1), table(3), Log { next: 0 });
    let record = claim(&mut a, 10);
    log.append(1, &record, &mut [&mut a]);
    assert!(a.try_mark_sent(CALL, NOW));
    let records = a.settle(CALL, CallOutcome::Answered(answer(4)));
    for record in &records {
        log.append(1, record, &mut [&mut a, &mut new_reader]);
    }
    assert_eq!(begin(&mut new_reader, 30), ClaimDecision::Replay(answer(4)));
    new_reader.expire(1);
    assert_eq!(new_reader.fold().len(), 1, "the log still keeps its outcome");
    new_reader.expire(2);
    assert!(new_reader.fold().is_empty());
}

#[test]
fn a_full_fold_refuses_new_claims() {
    let limits = ClaimFoldLimits {
        max_keys: 1,
        ..ClaimFoldLimits::default()
    };
    let mut a = ClaimTable::new(Incarnation(1), ClaimTableLimits::default(), limits);
    let record = claim(&mut a, 10);
    a.on_record(LogPosition::new(0, 0), Incarnation(1), &record);
    let decision = a.begin(CallHash(6), FINGERPRINT, RecordId(11), NOW, |_| false);
    assert_eq!(decision, ClaimDecision::Refuse(ResultCode::InstanceOverloaded));
}

const INSTANCES: usize = 3;

#[derive(Clone, Debug)]
enum Step {
    /// An instance receives a request.
    Request(usize),
    /// The log accepts one of the appends in flight, possibly a second time.
    Append(usize),
    /// An instance reads one more record.
    Read(usize),
    /// An instance sends the call if it may, after a pause of this many seconds.
    Send(usize, u64),
    /// An instance settles its call; the number selects the outcome.
    Settle(usize, u8),
    /// An instance gives up waiting for its claim.
    Abandon(usize),
    /// An instance restarts and reads the log from the start.
    Restart(usize),
}

/// Pauses in seconds: mostly none, some beyond the send deadline.
fn pause() -> impl Strategy<Value = u64> {
    prop_oneof![9 => Just(0), 1 => 1..7_u64]
}

fn steps() -> impl Strategy<Value = Vec<Step>> {
    let instance = || 0..INSTANCES;
    let step = prop_oneof![
        3 => instance().prop_map(Step::Request),
        4 => any::<usize>().prop_map(Step::Append),
        8 => instance().prop_map(Step::Read),
        4 => (instance(), pause()).prop_map(|(at, pause)| Step::Send(at, pause)),
        3 => (instance(), 0..3_u8).prop_map(|(at, outcome)| Step::Settle(at, outcome)),
        1 => instance().prop_map(Step::Abandon),
        1 => instance().prop_map(Step::Restart),
    ];
    prop::collection::vec(step, 20..120)
}

struct World {
    tables: Vec<ClaimTable>,
    read: Vec<usize>,
    in_flight: Vec<(Incarnation, CallRecord)>,
    log: Vec<(Incarnation, CallRecord)>,
    now: MonoTime,
    starts: u64,
    ids: u128,
    has_sent: Vec<bool>,
    may_have_run: bool,
}

/// Guards against sending a call twice. Several instances run with appends that are lost, late, duplicated
/// and out of order, with pauses and with restarts; a call may be sent again only after its claimant found
/// that no byte was sent.
#[test]
fn no_key_is_sent_twice_in_any_interleaving() {
    runner(2_000).run(&steps(), |steps| check_steps(&steps)).unwrap();
}

fn check_steps(steps: &[Step]) -> Result<(), TestCaseError> {
    let mut world = World {
        tables: (0..INSTANCES as u64).map(table).collect(),
        read: vec![0; INSTANCES],
        in_flight: Vec::new(),
        log: Vec::new(),
        now: NOW,
        starts: INSTANCES as u64,
        ids: 0,
        has_sent: vec![false; INSTANCES],
        may_have_run: false,
    };
    for step in steps {
        world.apply(step)?;
    }
    Ok(())
}

impl World {
    fn apply(&mut self, step: &Step) -> Result<(), TestCaseError> {
        match *step {
            Step::Request(at) => self.request(at),
            Step::Append(index) if !self.in_flight.is_empty() => {
                // The append stays in flight: the log may accept a duplicate of it.
                let index = index % self.in_flight.len();
                self.log.push(self.in_flight[index].clone());
            }
            Step::Append(_) => {}
            Step::Read(at) => self.read(at),
            Step::Send(at, pause) => return self.send(at, pause),
            Step::Settle(at, outcome) => self.settle(at, outcome),
            Step::Abandon(at) => {
                self.tables[at].abandon(CALL);
            }
            Step::Restart(at) => {
                self.tables[at] = table(self.starts);
                self.starts += 1;
                self.read[at] = 0;
                self.has_sent[at] = false;
            }
        }
        Ok(())
    }

    fn own(&self, at: usize) -> Incarnation {
        self.tables[at].incarnation()
    }

    fn request(&mut self, at: usize) {
        self.ids += 1;
        let decision = self.tables[at].begin(CALL, FINGERPRINT, RecordId(self.ids), self.now, |_| false);
        if let ClaimDecision::Claim(claim) = decision {
            self.in_flight.push((self.own(at), CallRecord::Claim(claim)));
        }
    }

    fn read(&mut self, at: usize) {
        let Some((writer, record)) = self.log.get(self.read[at]).cloned() else {
            return;
        };
        let position = LogPosition::new(self.read[at] as u64, 0);
        self.read[at] += 1;
        if let Some(ClaimAction::Append(record)) = self.tables[at].on_record(position, writer, &record) {
            self.in_flight.push((self.own(at), record));
        }
    }

    fn send(&mut self, at: usize, pause: u64) -> Result<(), TestCaseError> {
        self.now = self.now + Duration::from_secs(pause);
        if self.tables[at].try_mark_sent(CALL, self.now) {
            prop_assert!(!self.may_have_run, "sent twice");
            self.may_have_run = true;
            self.has_sent[at] = true;
        }
        Ok(())
    }

    /// Settles the call of an instance. A call that was not sent is settled as not run.
    fn settle(&mut self, at: usize, outcome: u8) {
        let outcome = match outcome {
            0 => CallOutcome::NotRun,
            1 => CallOutcome::Unknown,
            _ => CallOutcome::Answered(answer(2)),
        };
        let was_sent = std::mem::take(&mut self.has_sent[at]);
        let outcome = if was_sent { outcome } else { CallOutcome::NotRun };
        let is_not_run = outcome == CallOutcome::NotRun;
        let records = self.tables[at].settle(CALL, outcome);
        if was_sent && is_not_run && !records.is_empty() {
            self.may_have_run = false;
        }
        let own = self.own(at);
        self.in_flight
            .extend(records.into_iter().map(|record| (own, record)));
    }
}
