//! What goes into a stream's relay and what comes out of it.

use std::time::Duration;

use bytes::Bytes;
use derive_more::Display;
use marigoldlock_wire::engine::{ChatUsage, ResumePoint};

use super::failure::FailureKind;
use crate::prelude::*;

/// Number of an attempt, counted from 1 within its request.
#[derive(Clone, Copy, Debug, Default, Display, Eq, Hash, Ord, PartialEq, PartialOrd)]
pub struct AttemptId(pub u32);

impl AttemptId {
    /// A request's first attempt.
    pub const FIRST: Self = Self(1);
}

/// How long each phase of an attempt may go without progress.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct ProgressLimits {
    /// From the decision to send until the connection stands.
    pub connect: Duration,
    /// From the sent request until the first token.
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

/// Bounds of one stream.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct RelayLimits {
    /// Deadlines of the phases.
    pub progress: ProgressLimits,
    /// Most attempts.
    pub attempts: u32,
    /// Most text that is kept for resuming, in bytes; a longer answer can't be resumed.
    pub kept_bytes: usize,
}

impl Default for RelayLimits {
    fn default() -> Self {
        Self {
            progress: ProgressLimits::default(),
            attempts: 4,
            kept_bytes: 1 << 20,
        }
    }
}

/// What an upstream's answer says about the request that it answers.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub struct HeadEcho {
    /// Request id in the answer's headers.
    pub request: Option<RequestId>,
    /// Attempt in the answer's headers.
    pub attempt: Option<AttemptId>,
}

/// A send that the shell has to carry out.
#[derive(Clone, Debug, PartialEq)]
pub struct Attempt {
    /// Id of the attempt.
    pub id: AttemptId,
    /// Where to go on; `None` if the caller has nothing yet.
    pub resume: Option<ResumePoint>,
}

/// What became of input from an upstream.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum RelayStep {
    /// The stream goes on.
    Continue,
    /// The caller has the whole answer.
    Ended(StreamTotals),
    /// The attempt failed; [`StreamRelay::on_break`] says what to do.
    Failed(FailureKind),
    /// The input came from an older attempt and was dropped.
    Stale,
}

/// What to do after an attempt failed.
#[derive(Clone, Debug, PartialEq)]
pub enum BreakStep {
    /// Send the request again; the caller has nothing yet.
    Retry,
    /// Send the request again to go on from here.
    Resume(ResumePoint),
    /// The answer was whole but for its end, which is this.
    Complete {
        /// Last bytes for the caller.
        tail: Bytes,
        /// Counts of the stream.
        totals: StreamTotals,
    },
    /// Tell the caller.
    GiveUp(ResultCode),
    /// The failure belongs to an older attempt.
    Stale,
}

/// Counts of a stream over all its attempts.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub struct StreamTotals {
    /// Tokens given to the caller.
    pub tokens: u64,
    /// Counts that the engine gave, for the whole stream.
    pub usage: Option<ChatUsage>,
    /// Attempts made.
    pub attempts: u32,
}
