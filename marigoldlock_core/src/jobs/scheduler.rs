//! Scheduling of jobs by one instance.

use std::cmp::Reverse;

use bytes::Bytes;
use marigoldlock_wire::record::jobs::{
    JobClaim, JobEnd, JobHead, JobId, JobInput, JobRecord, JobResult, MAX_JOB_PART_BYTES, MAX_JOB_PARTS,
};

use super::fold::{JobEntry, JobFold, JobLimits, JobState, PartPositions};
use crate::membership::rendezvous_weight;
use crate::prelude::*;

/// Limits of a [`JobScheduler`].
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct SchedulerLimits {
    /// Maximum number of jobs that the instance runs concurrently.
    pub max_running: usize,
    /// Age of a record after which it is appended again, in milliseconds; well below the log's retention.
    pub refresh_after_ms: u64,
    /// How long a result is kept, in milliseconds.
    pub result_retention_ms: u64,
    /// Minimum time between two attempts to claim or refresh the same job, in milliseconds. It is also the
    /// delay per rank before an instance that is not first in line for a job acts on it.
    pub claim_interval_ms: u64,
}

impl Default for SchedulerLimits {
    fn default() -> Self {
        Self {
            max_running: 4,
            refresh_after_ms: 20 * 60 * 1_000,
            result_retention_ms: 24 * 60 * 60 * 1_000,
            claim_interval_ms: 5_000,
        }
    }
}

/// Action for the caller to carry out.
#[derive(Clone, Debug, PartialEq)]
pub enum JobAction {
    /// Append the claim.
    Claim(JobClaim),
    /// Run the job under the claim, then append its result.
    Run {
        /// The job.
        job: JobId,
        /// Position of the claim.
        claim: LogPosition,
    },
    /// Read the parts at these positions and append copies of them.
    Refresh {
        /// The job.
        job: JobId,
        /// Positions of the parts.
        positions: Vec<LogPosition>,
    },
}

/// State of the jobs as one instance sees it, and the jobs that it runs itself.
#[derive(Debug)]
pub struct JobScheduler {
    incarnation: Incarnation,
    limits: SchedulerLimits,
    fold: JobFold,
    /// Jobs running here, with the position of their claim.
    running: FastMap<JobId, LogPosition>,
    /// When this instance last decided to claim the job, in milliseconds since the Unix epoch.
    claimed_ms: FastMap<JobId, u64>,
    /// When this instance last decided to refresh the parts of the job, in milliseconds since the Unix epoch.
    refreshed_ms: FastMap<JobId, u64>,
}

impl JobScheduler {
    /// Creates the scheduler of an instance that has not read any records yet.
    pub fn new(incarnation: Incarnation, limits: SchedulerLimits, jobs: JobLimits) -> Self {
        Self {
            incarnation,
            limits,
            fold: JobFold::new(jobs),
            running: FastMap::default(),
            claimed_ms: FastMap::default(),
            refreshed_ms: FastMap::default(),
        }
    }

    /// State of all jobs.
    pub fn fold(&self) -> &JobFold {
        &self.fold
    }

    /// Applies a record of the stream; returns the job if it changed.
    pub fn on_record(
        &mut self,
        position: LogPosition,
        writer: Incarnation,
        record: &JobRecord,
    ) -> Option<JobId> {
        self.fold.apply(position, writer, record)
    }

    /// Removes the jobs of which the log no longer keeps all parts; `first` is the oldest offset that it
    /// still keeps.
    pub fn expire(&mut self, first: u64) {
        self.fold.expire(first);
        let fold = &self.fold;
        self.claimed_ms.retain(|job, _| fold.get(*job).is_some());
        self.refreshed_ms.retain(|job, _| fold.get(*job).is_some());
    }

    /// Notes that the run of the job has ended, with or without a result.
    pub fn on_run_ended(&mut self, job: JobId) {
        self.running.remove(&job);
    }

    /// Number of jobs that this instance runs.
    pub fn running_jobs(&self) -> usize {
        self.running.len()
    }

    /// Decides what to do now; `alive` holds the incarnations of all reachable instances, including this one.
    ///
    /// Jobs with the earliest deadlines are claimed first. A hash ranks the instances for each job, so that
    /// usually only one claims it. The others claim it later, in the order of their ranks, if no claim has
    /// been made or the holder has ended.
    pub fn next_actions(&mut self, now_ms: u64, alive: &FastSet<Incarnation>) -> Vec<JobAction> {
        let mut actions = self.run_actions();
        actions.extend(self.claim_actions(now_ms, alive));
        actions.extend(self.refresh_actions(now_ms, alive));
        actions
    }

    fn run_actions(&mut self) -> Vec<JobAction> {
        let mut actions = Vec::new();
        for (job, entry) in self.fold.iter() {
            let JobState::Claimed { claim, holder } = entry.state else {
                continue;
            };
            if holder == self.incarnation && self.running.insert(job, claim) != Some(claim) {
                actions.push(JobAction::Run { job, claim });
            }
        }
        actions
    }

    fn claim_actions(&mut self, now_ms: u64, alive: &FastSet<Incarnation>) -> Vec<JobAction> {
        let free_slots = self.limits.max_running.saturating_sub(self.running.len());
        let mut open: Vec<_> = self
            .fold
            .iter()
            .filter_map(|(job, entry)| Some((entry.head.deadline_ms, job, claimable(entry, alive)?)))
            .filter(|(_, job, _)| self.is_due(*job, now_ms, alive))
            .collect();
        open.sort_unstable_by_key(|(deadline, job, _)| (*deadline, *job));
        open.truncate(free_slots);
        let claims = open.into_iter().map(|(_, job, supersedes)| {
            self.claimed_ms.insert(job, now_ms);
            JobAction::Claim(JobClaim { job, supersedes })
        });
        claims.collect()
    }

    /// Returns true if this instance should claim the job now: immediately if it ranks first and has not
    /// claimed it yet, otherwise after a delay that grows with its rank.
    fn is_due(&self, job: JobId, now_ms: u64, alive: &FastSet<Incarnation>) -> bool {
        let since = match (self.claimed_ms.get(&job), self.fold.get(job)) {
            (Some(claimed_ms), _) => *claimed_ms,
            (None, Some(_)) if self.rank(job, alive) == 0 => return true,
            (None, Some(entry)) => entry.head.accepted_ms,
            (None, None) => return false,
        };
        let rank = self.rank(job, alive) as u64;
        now_ms.saturating_sub(since) >= self.limits.claim_interval_ms * (rank + 1)
    }

    /// Number of reachable instances that rank before this one for the job.
    fn rank(&self, job: JobId, alive: &FastSet<Incarnation>) -> usize {
        let score = |incarnation: Incarnation| {
            (
                Reverse(rendezvous_weight(job.0, &incarnation.to_string())),
                incarnation,
            )
        };
        let incarnation = score(self.incarnation);
        alive.iter().filter(|other| score(**other) < incarnation).count()
    }

    fn refresh_actions(&mut self, now_ms: u64, alive: &FastSet<Incarnation>) -> Vec<JobAction> {
        let mut actions = Vec::new();
        for (job, entry) in self.fold.iter() {
            let Some(positions) = self.positions_to_refresh(entry, now_ms) else {
                continue;
            };
            let rank = self.rank(job, alive) as u64;
            let since = self.refreshed_ms.get(&job).copied().unwrap_or_default();
            let overdue = now_ms.saturating_sub(positions.oldest_write_ms() + self.limits.refresh_after_ms);
            let is_due = overdue >= rank * self.limits.claim_interval_ms
                && now_ms.saturating_sub(since) >= self.limits.claim_interval_ms;
            if let (true, Some(positions)) = (is_due, positions.complete()) {
                actions.push(JobAction::Refresh { job, positions });
            }
        }
        for action in &actions {
            if let JobAction::Refresh { job, .. } = action {
                self.refreshed_ms.insert(*job, now_ms);
            }
        }
        actions
    }

    /// Parts to append again now; a result whose retention has passed is left to expire.
    fn positions_to_refresh<'a>(&self, entry: &'a JobEntry, now_ms: u64) -> Option<&'a PartPositions> {
        let positions = match entry.state {
            JobState::Partial => return None,
            JobState::Accepted | JobState::Claimed { .. } => &entry.input,
            JobState::Finished { finished_ms, .. } => {
                if now_ms.saturating_sub(finished_ms) >= self.limits.result_retention_ms {
                    return None;
                }
                &entry.result
            }
        };
        (now_ms.saturating_sub(positions.oldest_write_ms()) >= self.limits.refresh_after_ms)
            .then_some(positions)
    }
}

/// Returns `None` if the job may not be claimed, otherwise the claim to supersede, if there is one.
fn claimable(entry: &JobEntry, alive: &FastSet<Incarnation>) -> Option<Option<LogPosition>> {
    match entry.state {
        JobState::Accepted => Some(None),
        JobState::Claimed { claim, holder } if !alive.contains(&holder) => Some(Some(claim)),
        JobState::Partial | JobState::Claimed { .. } | JobState::Finished { .. } => None,
    }
}

/// Encodes a job's input as records; `None` if it is too large.
pub fn input_records(job: JobId, head: &JobHead, data: &Bytes) -> Option<Vec<JobRecord>> {
    let parts = split_parts(data)?;
    let count = parts.len() as u32;
    let records = parts.into_iter().zip(0..).map(|(data, part)| {
        JobRecord::Input(JobInput {
            job,
            head: head.clone(),
            written_ms: head.accepted_ms,
            part,
            parts: count,
            data,
        })
    });
    Some(records.collect())
}

/// Encodes a job's result as records; `None` if it is too large.
pub fn result_records(
    job: JobId,
    claim: LogPosition,
    end: JobEnd,
    data: &Bytes,
    now_ms: u64,
) -> Option<Vec<JobRecord>> {
    let parts = split_parts(data)?;
    let count = parts.len() as u32;
    let records = parts.into_iter().zip(0..).map(|(data, part)| {
        JobRecord::Result(JobResult {
            job,
            claim,
            end,
            finished_ms: now_ms,
            written_ms: now_ms,
            part,
            parts: count,
            data,
        })
    });
    Some(records.collect())
}

/// Splits data into at least one part, each small enough for a record; `None` if there would be too many.
fn split_parts(data: &Bytes) -> Option<Vec<Bytes>> {
    let count = data.len().div_ceil(MAX_JOB_PART_BYTES).max(1);
    if count > MAX_JOB_PARTS as usize {
        return None;
    }
    let part = |number: usize| {
        let start = number * MAX_JOB_PART_BYTES;
        data.slice(start..data.len().min(start + MAX_JOB_PART_BYTES))
    };
    Some((0..count).map(part).collect())
}
