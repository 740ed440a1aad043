//! Tests of jobs.

use bytes::Bytes;
use marigoldlock_wire::record::jobs::{JobEnd, JobHead, JobId, JobRecord, MAX_JOB_PART_BYTES, MAX_JOB_PARTS};
use proptest::prelude::*;
use proptest::test_runner::{Config, RngAlgorithm, TestRng, TestRunner};

use super::*;
use crate::prelude::*;

const JOB: JobId = JobId(77);

fn head(deadline_ms: u64) -> JobHead {
    JobHead {
        customer: Some("dairy".into()),
        service: "copydesk-llm".into(),
        accepted_ms: 1_000,
        deadline_ms,
        tokens: 500,
        fingerprint: 1,
    }
}

fn scheduler(own: u64) -> JobScheduler {
    JobScheduler::new(Incarnation(own), SchedulerLimits::default(), JobLimits::default())
}

fn alive(incarnations: &[u64]) -> FastSet<Incarnation> {
    incarnations.iter().copied().map(Incarnation).collect()
}

#[derive(Default)]
struct Log {
    records: Vec<(Incarnation, JobRecord)>,
}

impl Log {
    fn append(&mut self, writer: u64, record: JobRecord) {
        self.records.push((Incarnation(writer), record));
    }

    fn append_all(&mut self, writer: u64, records: Vec<JobRecord>) {
        records.into_iter().for_each(|record| self.append(writer, record));
    }

    fn read_into(&self, scheduler: &mut JobScheduler, from: usize) {
        for (offset, (writer, record)) in self.records.iter().enumerate().skip(from) {
            scheduler.on_record(LogPosition::new(offset as u64, 0), *writer, record);
        }
    }
}

fn accepted(log: &mut Log, job: JobId, deadline_ms: u64) {
    let records = input_records(job, &head(deadline_ms), &Bytes::from_static(b"{}")).unwrap();
    log.append_all(9, records);
}

#[test]
fn a_job_is_accepted_once_all_parts_of_its_input_are_there() {
    let mut log = Log::default();
    let data = Bytes::from(vec![b'x'; 2 * MAX_JOB_PART_BYTES + 1]);
    log.append_all(9, input_records(JOB, &head(9_000), &data).unwrap());
    let last = log.records.pop().unwrap();
    let mut scheduler = scheduler(1);
    log.read_into(&mut scheduler, 0);
    assert!(scheduler.fold().get(JOB).is_none());
    assert_eq!(scheduler.next_actions(1_000, &alive(&[1])), []);
    log.records.push(last);
    log.read_into(&mut scheduler, 2);
    let entry = scheduler.fold().get(JOB).unwrap();
    assert_eq!(entry.input.complete().unwrap().len(), 3);
    for (_, record) in &log.records {
        let bytes = marigoldlock_wire::codec::encode(record).len();
        assert!(bytes + 256 <= marigoldlock_wire::platform::MAX_RECORD_BYTES);
    }
    let huge = Bytes::from(vec![0; MAX_JOB_PART_BYTES * MAX_JOB_PARTS as usize + 1]);
    assert_eq!(input_records(JOB, &head(0), &huge), None);
}

#[test]
fn a_different_input_under_the_same_id_has_no_effect() {
    let mut log = Log::default();
    accepted(&mut log, JOB, 9_000);
    let other = JobHead {
        fingerprint: 2,
        ..head(9_000)
    };
    log.append_all(9, input_records(JOB, &other, &Bytes::from_static(b"[]")).unwrap());
    let mut scheduler = scheduler(1);
    log.read_into(&mut scheduler, 0);
    let entry = scheduler.fold().get(JOB).unwrap();
    assert_eq!(entry.input.complete().unwrap(), [LogPosition::new(0, 0)]);
}

#[test]
fn the_first_of_two_claims_in_log_order_holds_the_job() {
    let mut log = Log::default();
    accepted(&mut log, JOB, 9_000);
    let (mut a, mut b) = (scheduler(1), scheduler(2));
    log.read_into(&mut a, 0);
    log.read_into(&mut b, 0);
    // Each instance sees no other.
    for (own, scheduler) in [(1, &mut a), (2, &mut b)] {
        let steps = scheduler.next_actions(1_000, &alive(&[own]));
        let [JobAction::Claim(claim)] = steps[..] else {
            panic!("{steps:?}");
        };
        log.append(own, JobRecord::Claim(claim));
    }
    log.read_into(&mut a, 1);
    log.read_into(&mut b, 1);
    let claim = LogPosition::new(1, 0);
    assert_eq!(
        a.next_actions(1_001, &alive(&[1, 2])),
        [JobAction::Run { job: JOB, claim }]
    );
    assert_eq!(a.next_actions(1_002, &alive(&[1, 2])), [], "it runs once");
    assert_eq!(b.next_actions(1_001, &alive(&[1, 2])), []);
}

#[test]
fn another_instance_takes_over_from_an_ended_holder_and_the_first_complete_result_wins() {
    let mut log = Log::default();
    accepted(&mut log, JOB, 90_000);
    let mut a = scheduler(1);
    log.read_into(&mut a, 0);
    let steps = a.next_actions(1_000, &alive(&[1]));
    let [JobAction::Claim(claim)] = steps[..] else {
        panic!("{steps:?}");
    };
    log.append(1, JobRecord::Claim(claim));
    let mut b = scheduler(2);
    log.read_into(&mut b, 0);
    assert_eq!(b.next_actions(2_000, &alive(&[1, 2])), [], "the holder is alive");
    let steps = b.next_actions(2_000, &alive(&[2]));
    let [JobAction::Claim(claim)] = steps[..] else {
        panic!("{steps:?}");
    };
    let first = LogPosition::new(1, 0);
    assert_eq!(claim.supersedes, Some(first));
    log.append(2, JobRecord::Claim(claim));
    let second = LogPosition::new(2, 0);
    let result = |claim, text: &'static str| {
        let data = Bytes::from_static(text.as_bytes());
        result_records(JOB, claim, JobEnd::Answered, &data, 3_000).unwrap()
    };
    log.append_all(2, result(second, "b"));
    log.append_all(1, result(first, "a"));
    let mut c = scheduler(3);
    log.read_into(&mut c, 0);
    let entry = c.fold().get(JOB).unwrap();
    assert!(matches!(entry.state, JobState::Finished { claim, .. } if claim == second));
    assert_eq!(entry.result.complete().unwrap(), [LogPosition::new(3, 0)]);
    assert_eq!(c.next_actions(4_000, &alive(&[3])), []);
}

#[test]
fn earlier_deadlines_are_claimed_first() {
    let mut log = Log::default();
    for (job, deadline) in [
        (1, 50_000),
        (2, 20_000),
        (3, 40_000),
        (4, 30_000),
        (5, 10_000),
        (6, 60_000),
    ] {
        accepted(&mut log, JobId(job), deadline);
    }
    let mut scheduler = scheduler(1);
    log.read_into(&mut scheduler, 0);
    let claimed: Vec<u128> = scheduler
        .next_actions(1_000, &alive(&[1]))
        .into_iter()
        .filter_map(|step| match step {
            JobAction::Claim(claim) => Some(claim.job.0),
            _ => None,
        })
        .collect();
    assert_eq!(claimed, [5, 2, 4, 3]);
}

#[test]
fn the_first_ranked_instance_claims_at_once_and_the_others_only_after_a_delay() {
    let mut log = Log::default();
    accepted(&mut log, JOB, 900_000);
    let all = [1, 2, 3, 4];
    let steps_at = |now_ms| {
        let acting = all.iter().filter(|own| {
            let mut scheduler = scheduler(**own);
            log.read_into(&mut scheduler, 0);
            !scheduler.next_actions(now_ms, &alive(&all)).is_empty()
        });
        acting.count()
    };
    assert_eq!(steps_at(1_000), 1);
    assert_eq!(
        steps_at(1_000 + 2 * 5_000),
        2,
        "the second instance claims after twice the interval"
    );
    assert_eq!(steps_at(1_000 + 20 * 5_000), 4);
}

#[test]
fn records_in_use_are_refreshed_before_they_expire_and_old_results_are_not() {
    let mut log = Log::default();
    accepted(&mut log, JOB, 900_000_000);
    let mut scheduler = scheduler(1);
    log.read_into(&mut scheduler, 0);
    let claimed = scheduler.next_actions(1_000, &alive(&[1]));
    assert!(matches!(claimed[..], [JobAction::Claim(_)]));
    let limits = SchedulerLimits::default();
    let later = 1_000 + limits.refresh_after_ms;
    let steps = scheduler.next_actions(later, &alive(&[1]));
    let refresh = JobAction::Refresh {
        job: JOB,
        positions: vec![LogPosition::new(0, 0)],
    };
    assert!(steps.contains(&refresh), "{steps:?}");
    let JobRecord::Input(mut copy) = log.records[0].1.clone() else {
        panic!("an input");
    };
    copy.written_ms = later;
    log.append(1, JobRecord::Input(copy));
    log.read_into(&mut scheduler, 1);
    scheduler.expire(1);
    assert!(scheduler.fold().get(JOB).is_some(), "its newest copy is kept");
    let done = result_records(
        JOB,
        LogPosition::new(5, 0),
        JobEnd::Answered,
        &Bytes::new(),
        later,
    )
    .unwrap();
    log.append_all(1, done);
    log.read_into(&mut scheduler, 2);
    let kept = later + limits.refresh_after_ms;
    let is_refreshed =
        |steps: Vec<JobAction>| steps.iter().any(|step| matches!(step, JobAction::Refresh { .. }));
    assert!(is_refreshed(scheduler.next_actions(kept, &alive(&[1]))));
    assert!(!is_refreshed(
        scheduler.next_actions(later + limits.result_retention_ms, &alive(&[1]))
    ));
    scheduler.expire(3);
    assert!(scheduler.fold().get(JOB).is_none());
}

#[test]
fn the_outlook_includes_the_jobs_with_earlier_deadlines() {
    let mut log = Log::default();
    accepted(&mut log, JobId(1), 20_000);
    accepted(&mut log, JobId(2), 10_000);
    let mut scheduler = scheduler(1);
    log.read_into(&mut scheduler, 0);
    let outlook = |job, rate, now| {
        let rate = WorkRate { tokens_per_s: rate };
        deadline_outlook(scheduler.fold(), JobId(job), rate, now)
    };
    assert_eq!(outlook(2, 100.0, 5_000), DeadlineOutlook::Expected);
    assert_eq!(outlook(1, 100.0, 5_000), DeadlineOutlook::Expected);
    assert_eq!(outlook(1, 100.0, 11_000), DeadlineOutlook::AtRisk);
    assert_eq!(outlook(2, 100.0, 10_000), DeadlineOutlook::Missed);
    assert_eq!(outlook(2, 0.0, 5_000), DeadlineOutlook::Unknown);
}

/// Guards against a job whose answer changes. Claims and results follow the input in any order and any number
/// of times; once the job is finished, its state stays the same and its result complete.
#[test]
fn a_job_is_answered_once_in_any_order_of_records() {
    let rng = TestRng::from_seed(RngAlgorithm::ChaCha, &[13; 32]);
    let config = Config {
        cases: 500,
        failure_persistence: None,
        ..Config::default()
    };
    let steps = prop::collection::vec((0..4_u8, 1..4_u64, 0..6_u64), 1..40);
    TestRunner::new_with_rng(config, rng)
        .run(&steps, |steps| check_answer(&steps))
        .unwrap();
}

fn check_answer(steps: &[(u8, u64, u64)]) -> Result<(), TestCaseError> {
    let mut log = Log::default();
    accepted(&mut log, JOB, 9_000);
    for (kind, writer, at) in steps {
        let claim = LogPosition::new(*at, 0);
        let data = Bytes::from(vec![b'r'; MAX_JOB_PART_BYTES + 1]);
        let mut results = result_records(JOB, claim, JobEnd::Answered, &data, 2_000).unwrap();
        let record = match kind {
            0 => JobRecord::Claim(marigoldlock_wire::record::jobs::JobClaim {
                job: JOB,
                supersedes: (*at > 0).then_some(claim),
            }),
            1 => results.remove(0),
            2 => results.remove(1),
            _ => log.records[0].1.clone(),
        };
        log.append(*writer, record);
    }
    let mut fold = JobFold::new(JobLimits::default());
    let mut answer: Option<JobState> = None;
    for (offset, (writer, record)) in log.records.iter().enumerate() {
        fold.apply(LogPosition::new(offset as u64, 0), *writer, record);
        let state = &fold.get(JOB).unwrap().state;
        if let Some(answer) = &answer {
            prop_assert_eq!(state, answer);
        }
        if matches!(state, JobState::Finished { .. }) {
            answer = Some(state.clone());
            prop_assert!(fold.get(JOB).unwrap().result.complete().is_some());
        }
    }
    Ok(())
}
