//! Tests of plain keys.

use std::time::Duration;

use marigoldlock_wire::record::calls::{CallHash, CallRecord, MAX_ANSWER_PART_BYTES};
use proptest::prelude::*;

use super::*;

const NOW: MonoTime = MonoTime::from_millis(0);
const CALL: CallHash = CallHash(5);

fn table(own: u64) -> PlainTable {
    PlainTable::new(Incarnation(own), PlainLimits::default(), ClaimLimits::default())
}

fn begin(table: &mut PlainTable, id: u128) -> PlainDecision {
    table.begin(CALL, PRINT, RecordId(id), NOW, |_| false)
}

fn claim(table: &mut PlainTable, id: u128) -> CallRecord {
    match begin(table, id) {
        PlainDecision::Claim(claim) => CallRecord::Claim(claim),
        decision => panic!("{decision:?}"),
    }
}

/// Hands the same records to both tables, as the log would.
struct Log {
    next: u64,
}

impl Log {
    fn append(
        &mut self,
        writer: u64,
        record: &CallRecord,
        tables: &mut [&mut PlainTable],
    ) -> Vec<Option<PlainEffect>> {
        let position = LogPosition::new(self.next, 0);
        self.next += 1;
        tables
            .iter_mut()
            .map(|table| table.on_record(position, Incarnation(writer), record))
            .collect()
    }
}

#[test]
fn the_first_claim_in_log_order_wins_and_its_answer_is_repeated_elsewhere() {
    let (mut a, mut b, mut log) = (table(1), table(2), Log { next: 0 });
    let (first, second) = (claim(&mut b, 20), claim(&mut a, 10));
    assert_eq!(
        log.append(2, &first, &mut [&mut a, &mut b]),
        [None, Some(PlainEffect::Send(CALL))]
    );
    assert_eq!(
        log.append(1, &second, &mut [&mut a, &mut b]),
        [Some(PlainEffect::Retry(CALL)), None]
    );
    assert!(!a.may_send(CALL, NOW));
    assert!(b.may_send(CALL, NOW));
    assert!(!b.may_send(CALL, NOW), "only once");
    let claimant = Some(Incarnation(2));
    assert_eq!(begin(&mut a, 11), PlainDecision::Wait { claimant });
    let records = b.settle(CALL, CallOutcome::Answered(answer(9)));
    assert_eq!(
        begin(&mut b, 21),
        PlainDecision::Replay(answer(9)),
        "before it is in the log"
    );
    for record in &records {
        log.append(2, record, &mut [&mut a, &mut b]);
    }
    assert_eq!(begin(&mut a, 12), PlainDecision::Replay(answer(9)));
    assert_eq!(b.open_calls(), 0);
    let other = a.begin(CALL, RequestFingerprint(2), RecordId(13), NOW, |_| false);
    assert_eq!(other, PlainDecision::Refuse(ResultCode::IdempotencyKeyReused));
}

#[test]
fn a_claim_whose_holder_ended_is_never_sent_by_another() {
    let (mut a, mut b, mut log) = (table(1), table(2), Log { next: 0 });
    let record = claim(&mut a, 10);
    log.append(1, &record, &mut [&mut a, &mut b]);
    let decision = b.begin(CALL, PRINT, RecordId(20), NOW, |claimant| {
        claimant == Incarnation(1)
    });
    assert_eq!(decision, PlainDecision::Refuse(ResultCode::OutcomeUnknown));
}

#[test]
fn a_claimant_paused_beyond_its_send_by_moment_gives_the_claim_back() {
    let (mut a, mut b, mut log) = (table(1), table(2), Log { next: 0 });
    let record = claim(&mut a, 10);
    log.append(1, &record, &mut [&mut a, &mut b]);
    assert!(!a.may_send(CALL, NOW + Duration::from_secs(5)));
    for record in a.settle(CALL, CallOutcome::NotRun) {
        log.append(1, &record, &mut [&mut a, &mut b]);
    }
    assert!(matches!(begin(&mut b, 20), PlainDecision::Claim(_)));
    assert_eq!(
        log.append(1, &record, &mut [&mut a, &mut b]),
        [None, None],
        "a late copy of the first claim does not take the key again"
    );
}

#[test]
fn a_claim_read_back_after_it_was_abandoned_is_given_back() {
    let (mut a, mut b, mut log) = (table(1), table(2), Log { next: 0 });
    let record = claim(&mut a, 10);
    assert!(a.abandon(CALL));
    let effects = log.append(1, &record, &mut [&mut a, &mut b]);
    let Some(Some(PlainEffect::Append(release))) = effects.first() else {
        panic!("{effects:?}");
    };
    assert!(!a.may_send(CALL, NOW));
    log.append(1, release, &mut [&mut a, &mut b]);
    assert!(matches!(begin(&mut b, 20), PlainDecision::Claim(_)));
}

#[test]
fn large_answers_are_split_and_too_large_ones_are_not_kept() {
    let (mut a, mut b, mut log) = (table(1), table(2), Log { next: 0 });
    let record = claim(&mut a, 10);
    log.append(1, &record, &mut [&mut a, &mut b]);
    assert!(a.may_send(CALL, NOW));
    let big = answer(2 * MAX_ANSWER_PART_BYTES + 5);
    let records = a.settle(CALL, CallOutcome::Answered(big.clone()));
    assert_eq!(records.len(), 3);
    for record in &records {
        let bytes = marigoldlock_wire::codec::encode(record).len();
        assert!(bytes < marigoldlock_wire::platform::MAX_RECORD_BYTES - 256);
        log.append(1, record, &mut [&mut a, &mut b]);
    }
    assert_eq!(begin(&mut b, 20), PlainDecision::Replay(big));
    let huge = CallOutcome::Answered(answer(2 << 20));
    let records = outcome_records(CALL, PRINT, LogPosition(1), &huge, 1 << 20);
    assert_eq!(records.len(), 1);
}

#[test]
fn a_fresh_reader_takes_the_outcome_for_its_expired_claim() {
    let (mut a, mut fresh, mut log) = (table(1), table(3), Log { next: 0 });
    let record = claim(&mut a, 10);
    log.append(1, &record, &mut [&mut a]);
    assert!(a.may_send(CALL, NOW));
    let records = a.settle(CALL, CallOutcome::Answered(answer(4)));
    for record in &records {
        log.append(1, record, &mut [&mut a, &mut fresh]);
    }
    assert_eq!(begin(&mut fresh, 30), PlainDecision::Replay(answer(4)));
    fresh.expire(1);
    assert_eq!(fresh.fold().len(), 1, "its outcome is still kept");
    fresh.expire(2);
    assert!(fresh.fold().is_empty());
}

#[test]
fn a_full_fold_refuses_new_claims() {
    let limits = ClaimLimits {
        keys: 1,
        ..ClaimLimits::default()
    };
    let mut a = PlainTable::new(Incarnation(1), PlainLimits::default(), limits);
    let record = claim(&mut a, 10);
    a.on_record(LogPosition::new(0, 0), Incarnation(1), &record);
    let decision = a.begin(CallHash(6), PRINT, RecordId(11), NOW, |_| false);
    assert_eq!(decision, PlainDecision::Refuse(ResultCode::InstanceOverloaded));
}

const INSTANCES: usize = 3;

#[derive(Clone, Debug)]
enum Step {
    /// A request comes to an instance.
    Request(usize),
    /// The log takes one of the appends on their way, again if it was taken before.
    Land(usize),
    /// An instance reads one more record.
    Read(usize),
    /// An instance that may send does, after a pause of so many seconds.
    Send(usize, u64),
    /// An instance ends its call.
    Settle(usize, u8),
    /// An instance gives up waiting for its claim.
    Abandon(usize),
    /// An instance restarts and reads the log from the start.
    Restart(usize),
}

/// Mostly none, sometimes beyond the send-by moment.
fn pause() -> impl Strategy<Value = u64> {
    prop_oneof![9 => Just(0), 1 => 1..7_u64]
}

fn steps() -> impl Strategy<Value = Vec<Step>> {
    let instance = || 0..INSTANCES;
    let step = prop_oneof![
        3 => instance().prop_map(Step::Request),
        4 => any::<usize>().prop_map(Step::Land),
        8 => instance().prop_map(Step::Read),
        4 => (instance(), pause()).prop_map(|(at, pause)| Step::Send(at, pause)),
        3 => (instance(), 0..3_u8).prop_map(|(at, outcome)| Step::Settle(at, outcome)),
        1 => instance().prop_map(Step::Abandon),
        1 => instance().prop_map(Step::Restart),
    ];
    prop::collection::vec(step, 20..120)
}

struct World {
    tables: Vec<PlainTable>,
    read: Vec<usize>,
    in_flight: Vec<(Incarnation, CallRecord)>,
    log: Vec<(Incarnation, CallRecord)>,
    now: MonoTime,
    starts: u64,
    ids: u128,
    has_sent: Vec<bool>,
    may_have_run: bool,
}

/// Several instances, appends lost, late, repeated and out of order, pauses and restarts: the service sees the
/// key again only after its holder found that no byte had left.
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
        world.take(step)?;
    }
    Ok(())
}

impl World {
    fn take(&mut self, step: &Step) -> Result<(), TestCaseError> {
        match *step {
            Step::Request(at) => self.request(at),
            Step::Land(index) if !self.in_flight.is_empty() => {
                // The append stays in flight: it may land again.
                let index = index % self.in_flight.len();
                self.log.push(self.in_flight[index].clone());
            }
            Step::Land(_) => {}
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
        self.tables[at].own()
    }

    fn request(&mut self, at: usize) {
        self.ids += 1;
        let decision = self.tables[at].begin(CALL, PRINT, RecordId(self.ids), self.now, |_| false);
        if let PlainDecision::Claim(claim) = decision {
            self.in_flight.push((self.own(at), CallRecord::Claim(claim)));
        }
    }

    fn read(&mut self, at: usize) {
        let Some((writer, record)) = self.log.get(self.read[at]).cloned() else {
            return;
        };
        let position = LogPosition::new(self.read[at] as u64, 0);
        self.read[at] += 1;
        if let Some(PlainEffect::Append(record)) = self.tables[at].on_record(position, writer, &record) {
            self.in_flight.push((self.own(at), record));
        }
    }

    fn send(&mut self, at: usize, pause: u64) -> Result<(), TestCaseError> {
        self.now = self.now + Duration::from_secs(pause);
        if self.tables[at].may_send(CALL, self.now) {
            prop_assert!(!self.may_have_run, "sent twice");
            self.may_have_run = true;
            self.has_sent[at] = true;
        }
        Ok(())
    }

    /// Settles what was sent; as not run only where the sender found that no byte had left.
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
