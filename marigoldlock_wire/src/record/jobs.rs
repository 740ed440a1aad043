//! Records of the jobs stream: inputs of long-running jobs, claims to run them, and results.

use bytes::Bytes;
use derive_more::{Display, From};
use serde::{Deserialize, Serialize};

use crate::platform::MAX_RECORD_BYTES;
use crate::prelude::*;

/// Maximum part of a job's input or result in one record, in bytes; the rest of [`MAX_RECORD_BYTES`] is for
/// the head and the envelope.
pub const MAX_JOB_PART_BYTES: usize = MAX_RECORD_BYTES - (8 << 10);

/// Maximum number of parts of an input or a result.
pub const MAX_JOB_PARTS: u32 = 16;

/// Id of a job.
#[derive(
    Clone, Copy, Debug, Default, Deserialize, Display, Eq, From, Hash, Ord, PartialEq, PartialOrd, Serialize,
)]
#[display("{_0:032x}")]
#[serde(transparent)]
pub struct JobId(pub u128);

impl std::str::FromStr for JobId {
    type Err = std::num::ParseIntError;

    fn from_str(text: &str) -> Result<Self, Self::Err> {
        u128::from_str_radix(text, 16).map(Self)
    }
}

/// Record of the jobs stream.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub enum JobRecord {
    /// Part of a job's input. The job is accepted once all parts are in the log. Appended again before it
    /// expires in the log.
    Input(JobInput),
    /// The writer wants to run the job.
    Claim(JobClaim),
    /// Part of a job's result. The first complete result wins. Appended again before it expires, like the
    /// input.
    Result(JobResult),
}

/// Description of a job, without its input.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct JobHead {
    /// The customer; `None` on a route without keys.
    pub customer: Option<CustomerId>,
    /// The service.
    pub service: ServiceId,
    /// When the job was accepted, in milliseconds since the Unix epoch.
    pub accepted_ms: u64,
    /// When the result is needed, in milliseconds since the Unix epoch.
    pub deadline_ms: u64,
    /// Estimated work, in tokens.
    pub tokens: u64,
    /// Hash of the input; parts of another input with the same id are void.
    pub fingerprint: u128,
}

/// Part of a job's input.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct JobInput {
    /// The job.
    pub job: JobId,
    /// The same in each part.
    pub head: JobHead,
    /// When this copy was written, in milliseconds since the Unix epoch.
    pub written_ms: u64,
    /// Index of this part, from 0.
    pub part: u32,
    /// Number of parts.
    pub parts: u32,
    /// The bytes.
    pub data: Bytes,
}

/// Claim to run a job.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct JobClaim {
    /// The job.
    pub job: JobId,
    /// Position of the claim that this one replaces; `None` for the first claim.
    pub supersedes: Option<LogPosition>,
}

/// How a job ended.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub enum JobEnd {
    /// The result is the answer's body.
    Answered,
    /// The job failed and isn't retried.
    Failed(ResultCode),
}

/// Part of a job's result.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct JobResult {
    /// The job.
    pub job: JobId,
    /// Position of the claim under which it ran.
    pub claim: LogPosition,
    /// How it ended; the same in each part.
    pub end: JobEnd,
    /// When the job ended, in milliseconds since the Unix epoch.
    pub finished_ms: u64,
    /// When this copy was written, in milliseconds since the Unix epoch.
    pub written_ms: u64,
    /// Index of this part, from 0.
    pub part: u32,
    /// Number of parts.
    pub parts: u32,
    /// The bytes.
    pub data: Bytes,
}
