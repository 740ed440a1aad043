//! Handle to the job actor.

use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use kameo::actor::{ActorRef, Spawn as _};
use kameo::message::Message;
use marigoldlock_core::jobs::input_records;
use marigoldlock_wire::prelude::*;
use marigoldlock_wire::record::jobs::{JobHead, JobId, JobRecord};
use tokio::sync::watch;
use tokio::time::{Instant, MissedTickBehavior};

use super::JobRunner;
use super::actor::{
    CanAcceptJobs, GetJobStatus, JobActor, JobArgs, JobStatus, JobsStreamStatus, SetRunner, Tick,
};
use super::parts::{join_parts, read_records};
use crate::clock::TimeSource;
use crate::log_stream::{AppendOutcome, RecordWriter};
use crate::members::MemberHandle;
use crate::platform::LogClient;

/// Maximum time until a job is read back after its input has been appended.
const CONFIRM_TIMEOUT: Duration = Duration::from_secs(5);

/// Why a job was refused or could not be confirmed.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct JobRefusal(pub ResultCode);

/// Handle to the job actor.
#[derive(Clone)]
pub struct JobHandle {
    actor: ActorRef<JobActor>,
    stream_status: watch::Receiver<JobsStreamStatus>,
    log: Arc<dyn LogClient>,
    writer: RecordWriter<JobRecord>,
    own: Incarnation,
}

impl JobHandle {
    /// Starts the actor.
    pub fn start(
        own: Incarnation,
        clock: Arc<dyn TimeSource>,
        log: Arc<dyn LogClient>,
        writer: RecordWriter<JobRecord>,
    ) -> Self {
        let (sender, stream_status) = watch::channel(JobsStreamStatus::default());
        let args = JobArgs {
            incarnation: own,
            clock,
            log: Arc::clone(&log),
            writer: writer.clone(),
            status: sender,
        };
        let actor = JobActor::spawn_with_mailbox(args, kameo::mailbox::unbounded());
        Self {
            actor,
            stream_status,
            log,
            writer,
            own,
        }
    }

    /// Claims and runs jobs until the task is aborted.
    pub async fn run(
        self,
        runner: Arc<dyn JobRunner>,
        members: MemberHandle,
        interval: Duration,
        is_leaving: impl Fn() -> bool + Send,
    ) {
        self.tell(SetRunner(runner));
        let mut ticks = tokio::time::interval(interval);
        ticks.set_missed_tick_behavior(MissedTickBehavior::Delay);
        loop {
            ticks.tick().await;
            let mut alive = members.heard_incarnations().await;
            alive.insert(self.own);
            let leaving = is_leaving();
            self.tell(Tick { alive, leaving });
        }
    }

    /// Accepts a job; returns once its input has been read back from the log.
    ///
    /// # Errors
    ///
    /// With [`ResultCode::JobNotConfirmed`] the job may or may not run; with every other code it won't.
    pub async fn accept(&self, job: JobId, head: &JobHead, input: &Bytes) -> Result<JobStatus, JobRefusal> {
        if let Some(known) = self.status(job).await {
            return match known.head.fingerprint == head.fingerprint {
                true => Ok(known),
                false => Err(JobRefusal(ResultCode::IdempotencyKeyReused)),
            };
        }
        let stream_status = *self.stream_status.borrow();
        if !stream_status.is_caught_up || stream_status.is_down {
            return Err(JobRefusal(ResultCode::LogUnavailable));
        }
        if !self.actor.ask(CanAcceptJobs).await.unwrap_or(false) {
            return Err(JobRefusal(ResultCode::QueueFull));
        }
        let records = input_records(job, head, input).ok_or(JobRefusal(ResultCode::JobTooLarge))?;
        for record in records {
            match self.writer.append(record).await {
                AppendOutcome::Appended(_) | AppendOutcome::Unknown => {}
                // A job is never run while parts of its input are missing.
                AppendOutcome::NotAppended => return Err(JobRefusal(ResultCode::LogUnavailable)),
            }
        }
        self.confirm(job)
            .await
            .ok_or(JobRefusal(ResultCode::JobNotConfirmed))
    }

    /// Status of a job; `None` if the job is unknown.
    pub async fn status(&self, job: JobId) -> Option<JobStatus> {
        self.actor.ask(GetJobStatus(job)).await.ok().flatten()
    }

    /// Reads a result from the log; `None` if the log can't be read now.
    pub async fn result(&self, positions: &[LogPosition]) -> Option<Bytes> {
        let records = read_records(&self.log, positions).await?;
        Some(join_parts(&records))
    }

    async fn confirm(&self, job: JobId) -> Option<JobStatus> {
        let mut stream_status = self.stream_status.clone();
        let end = Instant::now() + CONFIRM_TIMEOUT;
        loop {
            stream_status.mark_unchanged();
            if let Some(status) = self.status(job).await {
                return Some(status);
            }
            tokio::time::timeout_at(end, stream_status.changed())
                .await
                .ok()?
                .ok()?;
        }
    }

    pub(super) fn tell<M: Send + 'static>(&self, message: M)
    where
        JobActor: Message<M>,
    {
        if self.actor.tell(message).try_send().is_err() {
            log::debug!("the job actor has ended; message dropped");
        }
    }
}
