//! Actor that owns the job scheduler and runs the jobs claimed by this instance.

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

use super::JobRunner;
use super::parts::{append_all, copies_written_at, join_parts, read_records};
use crate::clock::TimeSource;
use crate::log_stream::RecordWriter;
use crate::logging::DECISION_TARGET;
use crate::platform::LogClient;

/// Time between attempts to run a job.
const RETRY_INTERVAL: Duration = Duration::from_secs(1);

/// Maximum number of failed attempts of a job after its deadline.
const MAX_LATE_ATTEMPTS: u32 = 3;

/// Time window over which the throughput of jobs is measured, in milliseconds.
const RATE_WINDOW_MS: u64 = 10 * 60 * 1_000;

/// Arguments of the actor.
pub struct JobArgs {
    /// Incarnation of the instance.
    pub incarnation: Incarnation,
    /// Clock of the instance.
    pub clock: Arc<dyn TimeSource>,
    /// The platform's log.
    pub log: Arc<dyn LogClient>,
    /// Writer of the jobs stream.
    pub writer: RecordWriter<JobRecord>,
    /// Publishes the status on every change.
    pub status: watch::Sender<JobsStreamStatus>,
}

/// Progress of the instance on the jobs stream.
#[derive(Clone, Copy, Debug, Default)]
pub struct JobsStreamStatus {
    /// True once the stream has been read to its head.
    pub is_caught_up: bool,
    /// True if the last read failed.
    pub is_down: bool,
    /// Number of job changes so far.
    pub changes: u64,
}

/// Actor that owns the scheduler.
pub struct JobActor {
    scheduler: JobScheduler,
    args: JobArgs,
    actor: ActorRef<Self>,
    runner: Option<Arc<dyn JobRunner>>,
}

impl Actor for JobActor {
    type Args = JobArgs;
    type Error = Infallible;

    async fn on_start(args: JobArgs, actor: ActorRef<Self>) -> Result<Self, Infallible> {
        let scheduler = JobScheduler::new(args.incarnation, SchedulerLimits::default(), JobLimits::default());
        Ok(Self {
            scheduler,
            args,
            actor,
            runner: None,
        })
    }
}

/// Sets the runner of the jobs; none is claimed before.
pub(super) struct SetRunner(pub(super) Arc<dyn JobRunner>);

impl Message<SetRunner> for JobActor {
    type Reply = ();

    async fn handle(&mut self, set: SetRunner, _: &mut Context<Self, ()>) {
        self.runner = Some(set.0);
    }
}

/// An envelope read from the jobs stream.
pub(super) struct JobsEnvelope {
    pub(super) offset: u64,
    pub(super) envelope: Envelope<JobRecord>,
}

impl Message<JobsEnvelope> for JobActor {
    type Reply = ();

    async fn handle(&mut self, read: JobsEnvelope, _: &mut Context<Self, ()>) {
        let writer = read.envelope.incarnation;
        for (index, record) in read.envelope.records.iter().enumerate() {
            let position = LogPosition::new(read.offset, index);
            if self.scheduler.on_record(position, writer, record).is_some() {
                self.args.status.send_modify(|status| status.changes += 1);
            }
        }
    }
}

/// Event of reading the jobs stream.
pub(super) enum StreamEvent {
    /// A read reached the head.
    CaughtUp,
    /// A read failed.
    Failed,
    /// The log keeps no records before this offset.
    Expired(u64),
}

impl Message<StreamEvent> for JobActor {
    type Reply = ();

    async fn handle(&mut self, event: StreamEvent, _: &mut Context<Self, ()>) {
        match event {
            StreamEvent::CaughtUp => self.args.status.send_modify(|status| {
                status.is_caught_up = true;
                status.is_down = false;
            }),
            StreamEvent::Failed => self.args.status.send_modify(|status| status.is_down = true),
            StreamEvent::Expired(first) => self.scheduler.expire(first),
        }
    }
}

/// Periodic tick: claims, runs and refreshes jobs.
pub(super) struct Tick {
    /// Incarnations of all reachable instances, including this one.
    pub(super) alive: FastSet<Incarnation>,
    /// True once this instance shuts down; it then claims, starts and refreshes no jobs.
    pub(super) leaving: bool,
}

impl Message<Tick> for JobActor {
    type Reply = ();

    async fn handle(&mut self, tick: Tick, _: &mut Context<Self, ()>) {
        let status = *self.args.status.borrow();
        if !status.is_caught_up || status.is_down || tick.leaving {
            return;
        }
        let Some(runner) = self.runner.clone() else {
            return;
        };
        let now_ms = self.args.clock.unix_ms();
        for action in self.scheduler.next_actions(now_ms, &tick.alive) {
            match action {
                JobAction::Claim(claim) => self.append(vec![JobRecord::Claim(claim)]),
                JobAction::Run { job, claim } => self.run(job, claim, Arc::clone(&runner)),
                JobAction::Refresh { positions, .. } => self.refresh(positions),
            }
        }
    }
}

/// The run of a job has ended.
struct RunEnded(JobId);

impl Message<RunEnded> for JobActor {
    type Reply = ();

    async fn handle(&mut self, ended: RunEnded, _: &mut Context<Self, ()>) {
        self.scheduler.on_run_ended(ended.0);
    }
}

impl JobActor {
    fn append(&self, records: Vec<JobRecord>) {
        let writer = self.args.writer.clone();
        tokio::spawn(async move { append_all(&writer, records).await });
    }

    fn refresh(&self, positions: Vec<LogPosition>) {
        let log = Arc::clone(&self.args.log);
        let writer = self.args.writer.clone();
        let now_ms = self.args.clock.unix_ms();
        tokio::spawn(async move {
            if let Some(records) = read_records(&log, &positions).await {
                append_all(&writer, copies_written_at(records, now_ms)).await;
            }
        });
    }

    fn run(&self, job: JobId, claim: LogPosition, runner: Arc<dyn JobRunner>) {
        let Some(entry) = self.scheduler.fold().get(job) else {
            return;
        };
        let run = JobRun {
            job,
            claim,
            head: entry.head.clone(),
            positions: entry.input.complete().unwrap_or_default(),
            runner,
            log: Arc::clone(&self.args.log),
            writer: self.args.writer.clone(),
            clock: Arc::clone(&self.args.clock),
        };
        let actor = self.actor.clone();
        info!(target: DECISION_TARGET, job:%, claim:%, service:% = run.head.service; "job started");
        tokio::spawn(async move {
            run.run_to_end().await;
            if actor.tell(RunEnded(job)).try_send().is_err() {
                log::debug!("the job actor has ended; message dropped");
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
    runner: Arc<dyn JobRunner>,
    log: Arc<dyn LogClient>,
    writer: RecordWriter<JobRecord>,
    clock: Arc<dyn TimeSource>,
}

impl JobRun {
    /// Runs the job until it has a result, then appends the result.
    async fn run_to_end(&self) {
        let input = loop {
            if let Some(records) = read_records(&self.log, &self.positions).await {
                break join_parts(&records);
            }
            tokio::time::sleep(RETRY_INTERVAL).await;
        };
        let (end, answer) = self.run_until_answered(input).await;
        let now_ms = self.clock.unix_ms();
        let records = result_records(self.job, self.claim, end, &answer, now_ms).or_else(|| {
            let too_large = JobEnd::Failed(ResultCode::AnswerNotKept);
            result_records(self.job, self.claim, too_large, &Bytes::new(), now_ms)
        });
        append_all(&self.writer, records.unwrap_or_default()).await;
    }

    /// Runs the input until it is answered; gives up after a few failed attempts past the deadline.
    async fn run_until_answered(&self, input: Bytes) -> (JobEnd, Bytes) {
        let mut late_attempts = 0;
        loop {
            match self.runner.run(&self.head, input.clone()).await {
                Ok(answer) => return (JobEnd::Answered, answer),
                Err(code) => {
                    warn!(job:% = self.job, code:%; "job run failed");
                    late_attempts += u32::from(self.clock.unix_ms() >= self.head.deadline_ms);
                    if late_attempts >= MAX_LATE_ATTEMPTS {
                        return (JobEnd::Failed(code), Bytes::new());
                    }
                }
            }
            tokio::time::sleep(RETRY_INTERVAL).await;
        }
    }
}

/// Asks for the status of a job.
pub(super) struct GetJobStatus(pub(super) JobId);

/// Status of a job.
#[derive(Clone, Debug)]
pub struct JobStatus {
    /// Its customer, service, deadline and size.
    pub head: JobHead,
    /// Its progress.
    pub state: JobState,
    /// Estimate of whether it can meet its deadline.
    pub outlook: DeadlineOutlook,
    /// Log positions of its result; `None` until it is complete.
    pub result: Option<Vec<LogPosition>>,
}

impl Message<GetJobStatus> for JobActor {
    type Reply = Option<JobStatus>;

    async fn handle(&mut self, ask: GetJobStatus, _: &mut Context<Self, Self::Reply>) -> Self::Reply {
        let fold = self.scheduler.fold();
        let entry = fold.get(ask.0)?;
        let now_ms = self.args.clock.unix_ms();
        let rate = WorkRate::measured(fold, now_ms, RATE_WINDOW_MS);
        Some(JobStatus {
            head: entry.head.clone(),
            state: entry.state.clone(),
            outlook: deadline_outlook(fold, ask.0, rate, now_ms),
            result: entry.result.complete(),
        })
    }
}

/// Asks whether the instance accepts more jobs.
pub(super) struct CanAcceptJobs;

impl Message<CanAcceptJobs> for JobActor {
    type Reply = bool;

    async fn handle(&mut self, _: CanAcceptJobs, _: &mut Context<Self, bool>) -> bool {
        !self.scheduler.fold().is_full()
    }
}
