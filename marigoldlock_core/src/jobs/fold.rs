//! What the jobs stream says.

use marigoldlock_wire::record::jobs::{
    JobClaim, JobEnd, JobHead, JobId, JobInput, JobRecord, JobResult, MAX_JOB_PARTS,
};

use crate::prelude::*;

/// Bounds of the fold.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct JobLimits {
    /// Jobs after which no new ones are accepted.
    pub jobs: usize,
}

impl Default for JobLimits {
    fn default() -> Self {
        Self { jobs: 50_000 }
    }
}

/// Where the parts of an input or a result stand in the log.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
pub struct PartPlaces {
    places: Vec<Option<LogPosition>>,
    /// When the oldest of the newest copies was written, in milliseconds since the Unix epoch.
    written_ms: Vec<u64>,
}

impl PartPlaces {
    fn new(parts: u32) -> Self {
        let parts = parts.min(MAX_JOB_PARTS) as usize;
        Self {
            places: vec![None; parts],
            written_ms: vec![0; parts],
        }
    }

    fn set(&mut self, part: u32, position: LogPosition, written_ms: u64) {
        if let Some(place) = self.places.get_mut(part as usize) {
            *place = Some(position);
            self.written_ms[part as usize] = written_ms;
        }
    }

    /// Positions in order, once all parts are there.
    pub fn whole(&self) -> Option<Vec<LogPosition>> {
        self.places.iter().copied().collect()
    }

    /// When the oldest copy was written, in milliseconds since the Unix epoch.
    pub fn oldest_ms(&self) -> u64 {
        self.written_ms.iter().copied().min().unwrap_or_default()
    }

    fn oldest_offset(&self) -> Option<u64> {
        self.places.iter().flatten().map(|place| place.offset()).min()
    }
}

/// How far a job has come.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum JobState {
    /// Some parts of its input are missing.
    Partial,
    /// In the log and claimed by nobody.
    Accepted,
    /// Claimed.
    Claimed {
        /// Position of the claim.
        claim: LogPosition,
        /// Start of the holder.
        holder: Incarnation,
    },
    /// Ended.
    Finished {
        /// How.
        end: JobEnd,
        /// When, in milliseconds since the Unix epoch.
        finished_ms: u64,
        /// The claim under which it ran.
        claim: LogPosition,
    },
}

/// One job.
#[derive(Clone, Debug)]
pub struct JobEntry {
    /// What is known of it.
    pub head: JobHead,
    /// How far it has come.
    pub state: JobState,
    /// Where its input stands.
    pub input: PartPlaces,
    /// Where its result stands.
    pub result: PartPlaces,
    /// Results that are not whole, by claim.
    partial: FastMap<LogPosition, PartPlaces>,
}

/// State of all jobs, the same at every reader of the stream.
#[derive(Debug, Default)]
pub struct JobFold {
    limits: JobLimits,
    jobs: FastMap<JobId, JobEntry>,
}

impl JobFold {
    /// The fold of an empty stream.
    pub fn new(limits: JobLimits) -> Self {
        Self {
            limits,
            jobs: FastMap::default(),
        }
    }

    /// Takes the record at `position`, appended by the incarnation `writer`; returns the job if it changed.
    pub fn apply(&mut self, position: LogPosition, writer: Incarnation, record: &JobRecord) -> Option<JobId> {
        match record {
            JobRecord::Input(input) => self.apply_input(position, input),
            JobRecord::Claim(claim) => self.apply_claim(position, writer, claim),
            JobRecord::Result(result) => self.apply_result(position, result),
        }
    }

    /// A job that was accepted.
    pub fn get(&self, job: JobId) -> Option<&JobEntry> {
        self.jobs
            .get(&job)
            .filter(|entry| entry.state != JobState::Partial)
    }

    /// All jobs, also partial ones, in no order.
    pub fn iter(&self) -> impl Iterator<Item = (JobId, &JobEntry)> {
        self.jobs.iter().map(|(job, entry)| (*job, entry))
    }

    /// True when no more jobs should be accepted.
    pub fn is_full(&self) -> bool {
        self.jobs.len() >= self.limits.jobs
    }

    /// Forgets the jobs that have lost a part to the log's retention: `first` is the oldest offset still kept.
    pub fn expire(&mut self, first: u64) {
        self.jobs.retain(|_, entry| {
            let places = match entry.state {
                JobState::Finished { .. } => &entry.result,
                _ => &entry.input,
            };
            places.oldest_offset().is_some_and(|oldest| oldest >= first)
        });
    }

    fn apply_input(&mut self, position: LogPosition, input: &JobInput) -> Option<JobId> {
        if input.parts == 0 || input.parts > MAX_JOB_PARTS {
            return None;
        }
        let entry = self.jobs.entry(input.job).or_insert_with(|| JobEntry {
            head: input.head.clone(),
            state: JobState::Partial,
            input: PartPlaces::new(input.parts),
            result: PartPlaces::default(),
            partial: FastMap::default(),
        });
        if entry.head.fingerprint != input.head.fingerprint {
            return None;
        }
        entry.input.set(input.part, position, input.written_ms);
        if entry.state == JobState::Partial && entry.input.whole().is_some() {
            entry.state = JobState::Accepted;
        }
        Some(input.job)
    }

    /// A claim is void unless it names the claim that holds the job now.
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
            .partial
            .entry(result.claim)
            .or_insert_with(|| PartPlaces::new(result.parts));
        parts.set(result.part, position, result.written_ms);
        parts.whole()?;
        entry.result = entry.partial.remove(&result.claim).unwrap_or_default();
        entry.partial = FastMap::default();
        entry.state = JobState::Finished {
            end: result.end,
            finished_ms: result.finished_ms,
            claim: result.claim,
        };
        Some(result.job)
    }
}
