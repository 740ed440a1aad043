//! Way to the jobs.

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

use super::JobWork;
use super::actor::{AskJob, AskRoom, JobActor, JobSources, JobStatus, JobsView, SetWork, TickJobs};
use super::parts::{join, read_records};
use crate::clock::TimeSource;
use crate::log_stream::{AppendOutcome, RecordWriter};
use crate::members::MemberHandle;
use crate::platform::LogClient;

/// Longest wait for an accepted job to be read back.
const CONFIRM_WAIT: Duration = Duration::from_secs(5);

/// Why a job was not accepted, or not for certain.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct JobRefusal(pub ResultCode);

/// Way to the job actor.
#[derive(Clone)]
pub struct JobHandle {
    actor: ActorRef<JobActor>,
    view: watch::Receiver<JobsView>,
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
        let (sender, view) = watch::channel(JobsView::default());
        let sources = JobSources {
            incarnation: own,
            clock,
            log: Arc::clone(&log),
            writer: writer.clone(),
            view: sender,
        };
        let actor = JobActor::spawn_with_mailbox(sources, kameo::mailbox::unbounded());
        Self {
            actor,
            view,
            log,
            writer,
            own,
        }
    }

    /// Claims and runs jobs for as long as the task lives.
    pub async fn run(
        self,
        work: Arc<dyn JobWork>,
        members: MemberHandle,
        interval: Duration,
        is_leaving: impl Fn() -> bool + Send,
    ) {
        self.tell(SetWork(work));
        let mut ticks = tokio::time::interval(interval);
        ticks.set_missed_tick_behavior(MissedTickBehavior::Delay);
        loop {
            ticks.tick().await;
            let mut alive = members.heard_incarnations().await;
            alive.insert(self.own);
            let leaving = is_leaving();
            self.tell(TickJobs { alive, leaving });
        }
    }

    /// Accepts a job; it is accepted once its input was read back from the log.
    ///
    /// # Errors
    ///
    /// [`ResultCode::JobNotConfirmed`] leaves open whether the job will run; the others mean that it won't.
    pub async fn accept(&self, job: JobId, head: &JobHead, input: &Bytes) -> Result<JobStatus, JobRefusal> {
        if let Some(known) = self.status(job).await {
            return match known.head.fingerprint == head.fingerprint {
                true => Ok(known),
                false => Err(JobRefusal(ResultCode::IdempotencyKeyReused)),
            };
        }
        let view = *self.view.borrow();
        if !view.is_caught_up || view.is_down {
            return Err(JobRefusal(ResultCode::LogUnavailable));
        }
        if !self.actor.ask(AskRoom).await.unwrap_or(false) {
            return Err(JobRefusal(ResultCode::QueueFull));
        }
        let records = input_records(job, head, input).ok_or(JobRefusal(ResultCode::JobTooLarge))?;
        for record in records {
            match self.writer.append(record).await {
                AppendOutcome::Appended(_) | AppendOutcome::Unknown => {}
                // A job without all its parts is never run.
                AppendOutcome::NotAppended => return Err(JobRefusal(ResultCode::LogUnavailable)),
            }
        }
        self.confirm(job)
            .await
            .ok_or(JobRefusal(ResultCode::JobNotConfirmed))
    }

    /// What is known of a job.
    pub async fn status(&self, job: JobId) -> Option<JobStatus> {
        self.actor.ask(AskJob(job)).await.ok().flatten()
    }

    /// The bytes of a result; `None` while the log can't be read.
    pub async fn result(&self, places: &[LogPosition]) -> Option<Bytes> {
        let records = read_records(&self.log, places).await?;
        Some(join(&records))
    }

    async fn confirm(&self, job: JobId) -> Option<JobStatus> {
        let mut view = self.view.clone();
        let end = Instant::now() + CONFIRM_WAIT;
        loop {
            view.mark_unchanged();
            if let Some(status) = self.status(job).await {
                return Some(status);
            }
            tokio::time::timeout_at(end, view.changed()).await.ok()?.ok()?;
        }
    }

    pub(super) fn tell<M: Send + 'static>(&self, message: M)
    where
        JobActor: Message<M>,
    {
        if self.actor.tell(message).try_send().is_err() {
            log::debug!("the job actor has ended");
        }
    }
}
