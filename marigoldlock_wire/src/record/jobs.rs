//! Records of the jobs stream: long work, who runs it, and its result.

use bytes::Bytes;
use derive_more::{Display, From};
use serde::{Deserialize, Serialize};

use crate::platform::MAX_RECORD_BYTES;
use crate::prelude::*;

/// Largest part of a job's input or result in one record, in bytes; the rest of [`MAX_RECORD_BYTES`] is for
/// the head and the envelope.
pub const JOB_PART_BYTES: usize = MAX_RECORD_BYTES - (8 << 10);

/// Most parts of an input or a result.
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
    /// A part of a job's input; the job is accepted once all parts are in the log. Appended again before the
    /// log lets it expire.
    Input(JobInput),
    /// The writer wants to run the job.
    Claim(JobClaim),
    /// A part of a job's result; the first result that is whole wins. Appended again as the input is.
    Result(JobResult),
}

/// What is known of a job besides its input.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct JobHead {
    /// The customer; `None` on an open route.
    pub customer: Option<CustomerId>,
    /// The service.
    pub service: ServiceId,
    /// When the job was accepted, in milliseconds since the Unix epoch.
    pub accepted_ms: u64,
    /// When the result is needed, in milliseconds since the Unix epoch.
    pub deadline_ms: u64,
    /// Estimated work, in tokens.
    pub tokens: u64,
    /// Hash of the input; parts of another input under the same id are void.
    pub print: u128,
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
    /// Number of this part, from 0.
    pub part: u32,
    /// How many parts there are.
    pub parts: u32,
    /// The bytes.
    pub data: Bytes,
}

/// Claim to run a job.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct JobClaim {
    /// The job.
    pub job: JobId,
    /// The claim that this one takes the place of; `None` for the first.
    pub supersedes: Option<LogPosition>,
}

/// How a job ended.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub enum JobEnd {
    /// The result is the answer's body.
    Answered,
    /// The job failed for good.
    Failed(ResultCode),
}

/// Part of a job's result.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct JobResult {
    /// The job.
    pub job: JobId,
    /// The claim under which it ran.
    pub claim: LogPosition,
    /// How it ended; the same in each part.
    pub end: JobEnd,
    /// When the job ended, in milliseconds since the Unix epoch.
    pub finished_ms: u64,
    /// When this copy was written, in milliseconds since the Unix epoch.
    pub written_ms: u64,
    /// Number of this part, from 0.
    pub part: u32,
    /// How many parts there are.
    pub parts: u32,
    /// The bytes.
    pub data: Bytes,
}
