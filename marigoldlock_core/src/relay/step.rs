//! Inputs and outputs of the stream relay.

use std::time::Duration;

use bytes::Bytes;
use derive_more::Display;
use marigoldlock_wire::engine::{ChatUsage, ResumePoint};

use super::failure::FailureKind;
use crate::prelude::*;

/// Number of an attempt within its request, starting at 1.
#[derive(Clone, Copy, Debug, Default, Display, Eq, Hash, Ord, PartialEq, PartialOrd)]
pub struct AttemptId(pub u32);

impl AttemptId {
    /// First attempt of a request.
    pub const FIRST: Self = Self(1);
}

/// Time limits without progress for each phase of an attempt.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct ProgressLimits {
    /// From the start of the attempt until the request is sent on a connection.
    pub connect: Duration,
    /// From sending the request until the first token.
    pub first_token: Duration,
    /// From one token to the next.
    pub between_tokens: Duration,
}

impl Default for ProgressLimits {
    fn default() -> Self {
        Self {
            connect: Duration::from_secs(1),
            first_token: Duration::from_secs(60),
            between_tokens: Duration::from_secs(10),
        }
    }
}

/// Limits of one stream.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct RelayLimits {
    /// Time limits of the phases of an attempt.
    pub progress: ProgressLimits,
    /// Maximum number of attempts.
    pub max_attempts: u32,
    /// Maximum text kept for resuming, in bytes; a longer answer can't be resumed.
    pub max_text_bytes: usize,
}

impl Default for RelayLimits {
    fn default() -> Self {
        Self {
            progress: ProgressLimits::default(),
            max_attempts: 4,
            max_text_bytes: 1 << 20,
        }
    }
}

/// Ids that an upstream echoes in the headers of its answer.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub struct EchoedIds {
    /// Id of the request.
    pub request: Option<RequestId>,
    /// Id of the attempt.
    pub attempt: Option<AttemptId>,
}

/// Attempt that the owner of the relay must send to an upstream.
#[derive(Clone, Debug, PartialEq)]
pub struct Attempt {
    /// Id of the attempt.
    pub id: AttemptId,
    /// Point to resume from, or `None` to start from the beginning.
    pub resume: Option<ResumePoint>,
}

/// Result of processing input from an upstream.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum RelayStep {
    /// The stream goes on.
    Continue,
    /// The answer is complete.
    Ended(StreamTotals),
    /// The attempt failed; [`StreamRelay::on_attempt_failed`] decides what to do next.
    Failed(FailureKind),
    /// The input came from an earlier attempt and was dropped.
    Stale,
}

/// What to do after a failed attempt.
#[derive(Clone, Debug, PartialEq)]
pub enum RecoveryStep {
    /// Send the request again from the beginning; no token was delivered yet.
    Retry,
    /// Send the request again and resume from this point.
    Resume(ResumePoint),
    /// Only the end of the stream was missing; send `tail` to the caller.
    Complete {
        /// Last bytes of the stream.
        tail: Bytes,
        /// Totals of the stream.
        totals: StreamTotals,
    },
    /// Report the failure to the caller.
    GiveUp(ResultCode),
    /// The failure belongs to an earlier attempt; nothing to do.
    Stale,
}

/// Totals of a stream over all its attempts.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub struct StreamTotals {
    /// Tokens delivered to the caller.
    pub tokens: u64,
    /// Token counts that the engine reported for the whole stream.
    pub usage: Option<ChatUsage>,
    /// Attempts started.
    pub attempts: u32,
}
