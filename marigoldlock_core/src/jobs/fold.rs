//! State of the jobs, as folded from the jobs stream.

use marigoldlock_wire::record::jobs::{
    JobClaim, JobEnd, JobHead, JobId, JobInput, JobRecord, JobResult, MAX_JOB_PARTS,
};

use crate::prelude::*;

/// Limits of a [`JobFold`].
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct JobLimits {
    /// Number of jobs at which no new ones are accepted.
    pub max_jobs: usize,
}

impl Default for JobLimits {
    fn default() -> Self {
        Self { max_jobs: 50_000 }
    }
}

/// Log positions of the parts of an input or a result.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
pub struct PartPositions {
    positions: Vec<Option<LogPosition>>,
    /// When the newest copy of each part was written, in milliseconds since the Unix epoch.
    written_ms: Vec<u64>,
}

impl PartPositions {
    fn new(parts: u32) -> Self {
        let parts = parts.min(MAX_JOB_PARTS) as usize;
        Self {
            positions: vec![None; parts],
            written_ms: vec![0; parts],
        }
    }

    fn set(&mut self, part: u32, position: LogPosition, written_ms: u64) {
        if let Some(slot) = self.positions.get_mut(part as usize) {
            *slot = Some(position);
            self.written_ms[part as usize] = written_ms;
        }
    }

    /// Positions of all parts in order; `None` while a part is missing.
    pub fn complete(&self) -> Option<Vec<LogPosition>> {
        self.positions.iter().copied().collect()
    }

    /// When the least recently written part was written, in milliseconds since the Unix epoch.
    pub fn oldest_write_ms(&self) -> u64 {
        self.written_ms.iter().copied().min().unwrap_or_default()
    }

    fn oldest_offset(&self) -> Option<u64> {
        self.positions
            .iter()
            .flatten()
            .map(|position| position.offset())
            .min()
    }
}

/// Progress of a job.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum JobState {
    /// Some parts of its input are missing.
    Partial,
    /// Its whole input is in the log, and no instance has claimed it.
    Accepted,
    /// Claimed by an instance.
    Claimed {
        /// Position of the claim.
        claim: LogPosition,
        /// Incarnation of the holder.
        holder: Incarnation,
    },
    /// It has a result.
    Finished {
        /// How the job ended.
        end: JobEnd,
        /// When the job ended, in milliseconds since the Unix epoch.
        finished_ms: u64,
        /// Position of the claim under which it ran.
        claim: LogPosition,
    },
}

/// One job.
#[derive(Clone, Debug)]
pub struct JobEntry {
    /// Its customer, service, deadline and size.
    pub head: JobHead,
    /// Its progress.
    pub state: JobState,
    /// Log positions of its input.
    pub input: PartPositions,
    /// Log positions of its result.
    pub result: PartPositions,
    /// Incomplete results, by the position of the claim.
    partial_results: FastMap<LogPosition, PartPositions>,
}

/// State of all jobs, the same for every reader of the stream.
#[derive(Debug, Default)]
pub struct JobFold {
    limits: JobLimits,
    jobs: FastMap<JobId, JobEntry>,
}

impl JobFold {
    /// Creates the fold of an empty stream.
    pub fn new(limits: JobLimits) -> Self {
        Self {
            limits,
            jobs: FastMap::default(),
        }
    }

    /// Applies the record at `position`, appended by the incarnation `writer`; returns the job if it changed.
    pub fn apply(&mut self, position: LogPosition, writer: Incarnation, record: &JobRecord) -> Option<JobId> {
        match record {
            JobRecord::Input(input) => self.apply_input(position, input),
            JobRecord::Claim(claim) => self.apply_claim(position, writer, claim),
            JobRecord::Result(result) => self.apply_result(position, result),
        }
    }

    /// Returns an accepted job; `None` while parts of its input are missing.
    pub fn get(&self, job: JobId) -> Option<&JobEntry> {
        self.jobs
            .get(&job)
            .filter(|entry| entry.state != JobState::Partial)
    }

    /// Iterates over all jobs, including partial ones, in no particular order.
    pub fn iter(&self) -> impl Iterator<Item = (JobId, &JobEntry)> {
        self.jobs.iter().map(|(job, entry)| (*job, entry))
    }

    /// Returns true if no more jobs should be accepted.
    pub fn is_full(&self) -> bool {
        self.jobs.len() >= self.limits.max_jobs
    }

    /// Removes the jobs of which the log no longer keeps all parts; `first` is the oldest offset that it
    /// still keeps.
    pub fn expire(&mut self, first: u64) {
        self.jobs.retain(|_, entry| {
            let positions = match entry.state {
                JobState::Finished { .. } => &entry.result,
                _ => &entry.input,
            };
            positions.oldest_offset().is_some_and(|oldest| oldest >= first)
        });
    }

    fn apply_input(&mut self, position: LogPosition, input: &JobInput) -> Option<JobId> {
        if input.parts == 0 || input.parts > MAX_JOB_PARTS {
            return None;
        }
        let entry = self.jobs.entry(input.job).or_insert_with(|| JobEntry {
            head: input.head.clone(),
            state: JobState::Partial,
            input: PartPositions::new(input.parts),
            result: PartPositions::default(),
            partial_results: FastMap::default(),
        });
        if entry.head.fingerprint != input.head.fingerprint {
            return None;
        }
        entry.input.set(input.part, position, input.written_ms);
        if entry.state == JobState::Partial && entry.input.complete().is_some() {
            entry.state = JobState::Accepted;
        }
        Some(input.job)
    }

    /// Applies a claim. A claim that does not supersede the current claim on the job has no effect.
    fn apply_claim(&mut self, position: LogPosition, writer: Incarnation, claim: &JobClaim) -> Option<JobId> {
        let entry = self.jobs.get_mut(&claim.job)?;
        let current = match &entry.state {
            JobState::Accepted => None,
            JobState::Claimed { claim, .. } => Some(*claim),
            JobState::Partial | JobState::Finished { .. } => return None,
        };
        if claim.supersedes != current {
            return None;
        }
        entry.state = JobState::Claimed {
            claim: position,
            holder: writer,
        };
        Some(claim.job)
    }

    fn apply_result(&mut self, position: LogPosition, result: &JobResult) -> Option<JobId> {
        if result.parts == 0 || result.parts > MAX_JOB_PARTS {
            return None;
        }
        let entry = self.jobs.get_mut(&result.job)?;
        if let JobState::Finished { claim, .. } = entry.state {
            if claim == result.claim {
                entry.result.set(result.part, position, result.written_ms);
            }
            return None;
        }
        let parts = entry
            .partial_results
            .entry(result.claim)
            .or_insert_with(|| PartPositions::new(result.parts));
        parts.set(result.part, position, result.written_ms);
        parts.complete()?;
        entry.result = entry.partial_results.remove(&result.claim).unwrap_or_default();
        entry.partial_results = FastMap::default();
        entry.state = JobState::Finished {
            end: result.end,
            finished_ms: result.finished_ms,
            claim: result.claim,
        };
        Some(result.job)
    }
}
