//! The actor that knows the jobs and runs this instance's share of them.

use std::convert::Infallible;
use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use kameo::Actor;
use kameo::actor::ActorRef;
use kameo::message::{Context, Message};
use log::{info, warn};
use marigoldlock_core::jobs::{
    DeadlineOutlook, JobAction, JobLimits, JobScheduler, JobState, SchedulerLimits, WorkRate,
    deadline_outlook, result_records,
};
use marigoldlock_wire::prelude::*;
use marigoldlock_wire::record::Envelope;
use marigoldlock_wire::record::jobs::{JobEnd, JobHead, JobId, JobRecord};
use tokio::sync::watch;

use super::JobWork;
use super::parts::{append_all, join, read_records, rewritten};
use crate::clock::TimeSource;
use crate::log_stream::RecordWriter;
use crate::logging::DECISION_TARGET;
use crate::platform::LogClient;

/// Pause before a job that could not run is tried again.
const RETRY_PAUSE: Duration = Duration::from_secs(1);

/// Tries of a job whose deadline has passed.
const LATE_TRIES: u32 = 3;

/// Time over which the rate of long work is measured, in milliseconds.
const RATE_WINDOW_MS: u64 = 10 * 60 * 1_000;

/// What the actor starts with.
pub struct JobSources {
    /// Start of the instance.
    pub incarnation: Incarnation,
    /// Clock of the instance.
    pub clock: Arc<dyn TimeSource>,
    /// The platform's log.
    pub log: Arc<dyn LogClient>,
    /// Writer of the jobs stream.
    pub writer: RecordWriter<JobRecord>,
    /// Told of every change.
    pub view: watch::Sender<JobsView>,
}

/// How the instance stands with the jobs stream.
#[derive(Clone, Copy, Debug, Default)]
pub struct JobsView {
    /// True once the stream was read to its head.
    pub is_caught_up: bool,
    /// True since a read failed.
    pub is_down: bool,
    /// Jobs that changed so far.
    pub changes: u64,
}

/// Owner of the scheduler.
pub struct JobActor {
    scheduler: JobScheduler,
    sources: JobSources,
    actor: ActorRef<Self>,
    work: Option<Arc<dyn JobWork>>,
}

impl Actor for JobActor {
    type Args = JobSources;
    type Error = Infallible;

    async fn on_start(sources: JobSources, actor: ActorRef<Self>) -> Result<Self, Infallible> {
        let scheduler = JobScheduler::new(
            sources.incarnation,
            SchedulerLimits::default(),
            JobLimits::default(),
        );
        Ok(Self {
            scheduler,
            sources,
            actor,
            work: None,
        })
    }
}

/// Hands over what runs jobs; none is claimed before.
pub(super) struct SetWork(pub(super) Arc<dyn JobWork>);

impl Message<SetWork> for JobActor {
    type Reply = ();

    async fn handle(&mut self, set: SetWork, _: &mut Context<Self, ()>) {
        self.work = Some(set.0);
    }
}

/// An append of the jobs stream.
pub(super) struct ReadJobs {
    pub(super) offset: u64,
    pub(super) envelope: Envelope<JobRecord>,
}

impl Message<ReadJobs> for JobActor {
    type Reply = ();

    async fn handle(&mut self, read: ReadJobs, _: &mut Context<Self, ()>) {
        let writer = read.envelope.incarnation;
        for (index, record) in read.envelope.records.iter().enumerate() {
            let position = LogPosition::new(read.offset, index);
            if self.scheduler.on_record(position, writer, record).is_some() {
                self.sources.view.send_modify(|view| view.changes += 1);
            }
        }
    }
}

/// How reading the stream went.
pub(super) enum ReadState {
    Fresh,
    Failed,
    Expired(u64),
}

impl Message<ReadState> for JobActor {
    type Reply = ();

    async fn handle(&mut self, state: ReadState, _: &mut Context<Self, ()>) {
        match state {
            ReadState::Fresh => self.sources.view.send_modify(|view| {
                view.is_caught_up = true;
                view.is_down = false;
            }),
            ReadState::Failed => self.sources.view.send_modify(|view| view.is_down = true),
            ReadState::Expired(first) => self.scheduler.expire(first),
        }
    }
}

/// Lets time pass.
pub(super) struct TickJobs {
    /// Instances that are heard, this one among them.
    pub(super) alive: FastSet<Incarnation>,
    /// True once this instance shuts down; it then claims nothing.
    pub(super) leaving: bool,
}

impl Message<TickJobs> for JobActor {
    type Reply = ();

    async fn handle(&mut self, tick: TickJobs, _: &mut Context<Self, ()>) {
        let view = *self.sources.view.borrow();
        if !view.is_caught_up || view.is_down || tick.leaving {
            return;
        }
        let Some(work) = self.work.clone() else {
            return;
        };
        let now_ms = self.sources.clock.unix_ms();
        for step in self.scheduler.next_actions(now_ms, &tick.alive) {
            match step {
                JobAction::Claim(claim) => self.append(vec![JobRecord::Claim(claim)]),
                JobAction::Run { job, claim } => self.run(job, claim, Arc::clone(&work)),
                JobAction::Refresh { positions, .. } => self.refresh(positions),
            }
        }
    }
}

/// A run has ended.
struct EndedJob(JobId);

impl Message<EndedJob> for JobActor {
    type Reply = ();

    async fn handle(&mut self, ended: EndedJob, _: &mut Context<Self, ()>) {
        self.scheduler.on_run_ended(ended.0);
    }
}

impl JobActor {
    fn append(&self, records: Vec<JobRecord>) {
        let writer = self.sources.writer.clone();
        tokio::spawn(async move { append_all(&writer, records).await });
    }

    fn refresh(&self, positions: Vec<LogPosition>) {
        let log = Arc::clone(&self.sources.log);
        let writer = self.sources.writer.clone();
        let now_ms = self.sources.clock.unix_ms();
        tokio::spawn(async move {
            if let Some(records) = read_records(&log, &positions).await {
                append_all(&writer, rewritten(records, now_ms)).await;
            }
        });
    }

    fn run(&self, job: JobId, claim: LogPosition, work: Arc<dyn JobWork>) {
        let Some(entry) = self.scheduler.fold().get(job) else {
            return;
        };
        let run = JobRun {
            job,
            claim,
            head: entry.head.clone(),
            positions: entry.input.complete().unwrap_or_default(),
            work,
            log: Arc::clone(&self.sources.log),
            writer: self.sources.writer.clone(),
            clock: Arc::clone(&self.sources.clock),
        };
        let actor = self.actor.clone();
        info!(target: DECISION_TARGET, job:%, claim:%, service:% = run.head.service; "job runs here");
        tokio::spawn(async move {
            run.to_end().await;
            if actor.tell(EndedJob(job)).try_send().is_err() {
                log::debug!("the job actor has ended");
            }
        });
    }
}

/// One run of a job.
struct JobRun {
    job: JobId,
    claim: LogPosition,
    head: JobHead,
    positions: Vec<LogPosition>,
    work: Arc<dyn JobWork>,
    log: Arc<dyn LogClient>,
    writer: RecordWriter<JobRecord>,
    clock: Arc<dyn TimeSource>,
}

impl JobRun {
    /// Runs the job until it has a result, then appends that.
    async fn to_end(&self) {
        let input = loop {
            if let Some(records) = read_records(&self.log, &self.positions).await {
                break join(&records);
            }
            tokio::time::sleep(RETRY_PAUSE).await;
        };
        let (end, answer) = self.answer(input).await;
        let now_ms = self.clock.unix_ms();
        let records = result_records(self.job, self.claim, end, &answer, now_ms).or_else(|| {
            let too_large = JobEnd::Failed(ResultCode::AnswerNotKept);
            result_records(self.job, self.claim, too_large, &Bytes::new(), now_ms)
        });
        append_all(&self.writer, records.unwrap_or_default()).await;
    }

    /// Tries until the deadline, and a few times beyond it.
    async fn answer(&self, input: Bytes) -> (JobEnd, Bytes) {
        let mut late_tries = 0;
        loop {
            match self.work.run(&self.head, input.clone()).await {
                Ok(answer) => return (JobEnd::Answered, answer),
                Err(code) => {
                    warn!(job:% = self.job, code:%; "a job's run failed");
                    late_tries += u32::from(self.clock.unix_ms() >= self.head.deadline_ms);
                    if late_tries >= LATE_TRIES {
                        return (JobEnd::Failed(code), Bytes::new());
                    }
                }
            }
            tokio::time::sleep(RETRY_PAUSE).await;
        }
    }
}

/// Asks about a job.
pub(super) struct AskJob(pub(super) JobId);

/// What is known of a job.
#[derive(Clone, Debug)]
pub struct JobStatus {
    /// What is known besides its input.
    pub head: JobHead,
    /// How far it has come.
    pub state: JobState,
    /// Whether it can meet its deadline.
    pub outlook: DeadlineOutlook,
    /// Where its result stands.
    pub result: Option<Vec<LogPosition>>,
}

impl Message<AskJob> for JobActor {
    type Reply = Option<JobStatus>;

    async fn handle(&mut self, ask: AskJob, _: &mut Context<Self, Self::Reply>) -> Self::Reply {
        let fold = self.scheduler.fold();
        let entry = fold.get(ask.0)?;
        let now_ms = self.sources.clock.unix_ms();
        let rate = WorkRate::measured(fold, now_ms, RATE_WINDOW_MS);
        Some(JobStatus {
            head: entry.head.clone(),
            state: entry.state.clone(),
            outlook: deadline_outlook(fold, ask.0, rate, now_ms),
            result: entry.result.complete(),
        })
    }
}

/// Asks whether more jobs are accepted.
pub(super) struct AskRoom;

impl Message<AskRoom> for JobActor {
    type Reply = bool;

    async fn handle(&mut self, _: AskRoom, _: &mut Context<Self, bool>) -> bool {
        !self.scheduler.fold().is_full()
    }
}
