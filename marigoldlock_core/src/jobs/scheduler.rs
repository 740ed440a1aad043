//! What one instance does about the jobs.

use std::cmp::Reverse;

use bytes::Bytes;
use marigoldlock_wire::record::jobs::{
    JobClaim, JobEnd, JobHead, JobId, JobInput, JobRecord, JobResult, MAX_JOB_PART_BYTES, MAX_JOB_PARTS,
};

use super::fold::{JobEntry, JobFold, JobLimits, JobState, PartPlaces};
use crate::membership::weight;
use crate::prelude::*;

/// Bounds of an instance's part.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct SchedulerLimits {
    /// Jobs that the instance runs side by side.
    pub running: usize,
    /// Age of a record after which it is appended again, in milliseconds; well below the log's retention.
    pub refresh_after_ms: u64,
    /// How long a result is kept, in milliseconds.
    pub keep_result_ms: u64,
    /// Time between two tries to claim the same job, in milliseconds.
    pub claim_pause_ms: u64,
}

impl Default for SchedulerLimits {
    fn default() -> Self {
        Self {
            running: 4,
            refresh_after_ms: 20 * 60 * 1_000,
            keep_result_ms: 24 * 60 * 60 * 1_000,
            claim_pause_ms: 5_000,
        }
    }
}

/// What the shell has to do.
#[derive(Clone, Debug, PartialEq)]
pub enum JobStep {
    /// Append the claim.
    Claim(JobClaim),
    /// Run the job under the claim, then append its result.
    Run {
        /// The job.
        job: JobId,
        /// The claim.
        claim: LogPosition,
    },
    /// Read the parts at these positions and append them again.
    Refresh {
        /// The job.
        job: JobId,
        /// Positions of the parts.
        places: Vec<LogPosition>,
    },
}

/// One instance's view of the jobs and its own part in them.
#[derive(Debug)]
pub struct JobScheduler {
    own: Incarnation,
    limits: SchedulerLimits,
    fold: JobFold,
    running: FastMap<JobId, LogPosition>,
    /// When a claim on the job was last appended, in milliseconds since the Unix epoch.
    claimed: FastMap<JobId, u64>,
    /// When its parts were last appended again, in milliseconds since the Unix epoch.
    refreshed: FastMap<JobId, u64>,
}

impl JobScheduler {
    /// The scheduler of an instance that has read nothing yet.
    pub fn new(own: Incarnation, limits: SchedulerLimits, jobs: JobLimits) -> Self {
        Self {
            own,
            limits,
            fold: JobFold::new(jobs),
            running: FastMap::default(),
            claimed: FastMap::default(),
            refreshed: FastMap::default(),
        }
    }

    /// What the stream says.
    pub fn fold(&self) -> &JobFold {
        &self.fold
    }

    /// Takes a record of the stream; returns the job if it changed.
    pub fn on_record(
        &mut self,
        position: LogPosition,
        writer: Incarnation,
        record: &JobRecord,
    ) -> Option<JobId> {
        self.fold.apply(position, writer, record)
    }

    /// Forgets what the log no longer keeps.
    pub fn expire(&mut self, first: u64) {
        self.fold.expire(first);
        let fold = &self.fold;
        self.claimed.retain(|job, _| fold.get(*job).is_some());
        self.refreshed.retain(|job, _| fold.get(*job).is_some());
    }

    /// The run of the job has ended, whatever came of it.
    pub fn on_ended(&mut self, job: JobId) {
        self.running.remove(&job);
    }

    /// Jobs that this instance runs.
    pub fn running(&self) -> usize {
        self.running.len()
    }

    /// What to do now; `alive` are the instances that are heard, this one among them.
    ///
    /// Claims go to the jobs with the earliest deadlines first. The instances share jobs by a hash, so that as a
    /// rule one claims; the others step in when the holder has ended, or when nobody has claimed for long.
    pub fn next_steps(&mut self, now_ms: u64, alive: &FastSet<Incarnation>) -> Vec<JobStep> {
        let mut steps = self.runs();
        steps.extend(self.claims(now_ms, alive));
        steps.extend(self.refreshes(now_ms, alive));
        steps
    }

    fn runs(&mut self) -> Vec<JobStep> {
        let mut steps = Vec::new();
        for (job, entry) in self.fold.iter() {
            let JobState::Claimed { claim, holder } = entry.state else {
                continue;
            };
            if holder == self.own && self.running.insert(job, claim) != Some(claim) {
                steps.push(JobStep::Run { job, claim });
            }
        }
        steps
    }

    fn claims(&mut self, now_ms: u64, alive: &FastSet<Incarnation>) -> Vec<JobStep> {
        let room = self.limits.running.saturating_sub(self.running.len());
        let mut open: Vec<_> = self
            .fold
            .iter()
            .filter_map(|(job, entry)| Some((entry.head.deadline_ms, job, claimable(entry, alive)?)))
            .filter(|(_, job, _)| self.is_due(*job, now_ms, alive))
            .collect();
        open.sort_unstable_by_key(|(deadline, job, _)| (*deadline, *job));
        open.truncate(room);
        let claims = open.into_iter().map(|(_, job, supersedes)| {
            self.claimed.insert(job, now_ms);
            JobStep::Claim(JobClaim { job, supersedes })
        });
        claims.collect()
    }

    /// True if this instance should act on the job now: at once if the hash picks it, later otherwise.
    fn is_due(&self, job: JobId, now_ms: u64, alive: &FastSet<Incarnation>) -> bool {
        let since = match (self.claimed.get(&job), self.fold.get(job)) {
            (Some(claimed), _) => *claimed,
            (None, Some(_)) if self.rank(job, alive) == 0 => return true,
            (None, Some(entry)) => entry.head.accepted_ms,
            (None, None) => return false,
        };
        let rank = self.rank(job, alive) as u64;
        now_ms.saturating_sub(since) >= self.limits.claim_pause_ms * (rank + 1)
    }

    /// How many living instances come before this one for the job.
    fn rank(&self, job: JobId, alive: &FastSet<Incarnation>) -> usize {
        let score =
            |incarnation: Incarnation| (Reverse(weight(job.0, &incarnation.to_string())), incarnation);
        let own = score(self.own);
        alive.iter().filter(|other| score(**other) < own).count()
    }

    fn refreshes(&mut self, now_ms: u64, alive: &FastSet<Incarnation>) -> Vec<JobStep> {
        let mut steps = Vec::new();
        for (job, entry) in self.fold.iter() {
            let Some(places) = self.wants_refresh(entry, now_ms) else {
                continue;
            };
            let rank = self.rank(job, alive) as u64;
            let since = self.refreshed.get(&job).copied().unwrap_or_default();
            let overdue = now_ms.saturating_sub(places.oldest_ms() + self.limits.refresh_after_ms);
            let is_due = overdue >= rank * self.limits.claim_pause_ms
                && now_ms.saturating_sub(since) >= self.limits.claim_pause_ms;
            if let (true, Some(places)) = (is_due, places.whole()) {
                steps.push(JobStep::Refresh { job, places });
            }
        }
        for step in &steps {
            if let JobStep::Refresh { job, .. } = step {
                self.refreshed.insert(*job, now_ms);
            }
        }
        steps
    }

    /// The parts that should live on; a result that was kept long enough is left to expire.
    fn wants_refresh<'a>(&self, entry: &'a JobEntry, now_ms: u64) -> Option<&'a PartPlaces> {
        let places = match entry.state {
            JobState::Partial => return None,
            JobState::Accepted | JobState::Claimed { .. } => &entry.input,
            JobState::Finished { finished_ms, .. } => {
                if now_ms.saturating_sub(finished_ms) >= self.limits.keep_result_ms {
                    return None;
                }
                &entry.result
            }
        };
        (now_ms.saturating_sub(places.oldest_ms()) >= self.limits.refresh_after_ms).then_some(places)
    }
}

/// The claim to supersede, if the job may be claimed.
fn claimable(entry: &JobEntry, alive: &FastSet<Incarnation>) -> Option<Option<LogPosition>> {
    match entry.state {
        JobState::Accepted => Some(None),
        JobState::Claimed { claim, holder } if !alive.contains(&holder) => Some(Some(claim)),
        JobState::Partial | JobState::Claimed { .. } | JobState::Finished { .. } => None,
    }
}

/// Records of a job's input; `None` if it is too large.
pub fn input_records(job: JobId, head: &JobHead, data: &Bytes) -> Option<Vec<JobRecord>> {
    let parts = split(data)?;
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

/// Records of a job's result; `None` if it is too large.
pub fn result_records(
    job: JobId,
    claim: LogPosition,
    end: JobEnd,
    data: &Bytes,
    now_ms: u64,
) -> Option<Vec<JobRecord>> {
    let parts = split(data)?;
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

/// At least one part, each small enough for a record.
fn split(data: &Bytes) -> Option<Vec<Bytes>> {
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
