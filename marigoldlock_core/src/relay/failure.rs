//! Classification of failed attempts.

use marigoldlock_wire::prelude::*;

use crate::routing::AttemptOutcome;

/// How an attempt failed.
#[derive(Clone, Copy, Debug, Eq, Hash, PartialEq)]
pub enum FailureKind {
    /// The connection could not be established, so nothing of the request was sent.
    NotConnected,
    /// The upstream answered that it rejects the request without running it.
    Refused,
    /// The upstream made no progress within the time limit after the request was sent.
    TimedOut,
    /// The connection ended after the request was sent and before an answer began.
    ResetAfterSend,
    /// The answer was truncated or malformed.
    Broken,
    /// The ids in the answer belong to another request or attempt.
    Crossed,
}

/// Whether a failed request may be sent again.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum RetryRule {
    /// Yes, without using the retry budget: the failed attempt leaves no work at its upstream.
    Free,
    /// Only if the retry budget allows it.
    Budgeted,
    /// No: the upstream may have run the request or may still run it.
    Never,
}

impl FailureKind {
    /// Returns true if the upstream certainly neither ran the request nor will run it.
    pub fn is_rejection(self) -> bool {
        matches!(self, Self::NotConnected | Self::Refused)
    }

    /// Returns true if the upstream may still be running the request, so that a retry adds load.
    pub fn may_still_run(self) -> bool {
        matches!(self, Self::TimedOut | Self::Crossed)
    }

    /// Returns whether a request that failed this way may be sent again, within the limit of attempts.
    ///
    /// A closed connection cancels the work at its upstream, so a retry moves load without adding any. After
    /// a timeout the upstream may be slow rather than down, so a retry adds load and counts against the
    /// budget.
    pub fn retry_rule(self, repeatable: bool) -> RetryRule {
        match self {
            Self::NotConnected => RetryRule::Free,
            Self::Refused => RetryRule::Budgeted,
            _ if !repeatable => RetryRule::Never,
            Self::ResetAfterSend | Self::Broken => RetryRule::Free,
            Self::TimedOut | Self::Crossed => RetryRule::Budgeted,
        }
    }

    /// Returns the outcome to record for the upstream.
    pub fn attempt_outcome(self) -> AttemptOutcome {
        match self {
            Self::Refused => AttemptOutcome::Refused,
            Self::TimedOut => AttemptOutcome::TimedOut,
            Self::NotConnected | Self::ResetAfterSend | Self::Broken | Self::Crossed => {
                AttemptOutcome::Broken
            }
        }
    }

    /// Returns the result code for the caller if the request is not retried and no part of an answer was
    /// sent.
    pub fn result_code(self) -> ResultCode {
        match self {
            Self::NotConnected => ResultCode::NoUpstream,
            Self::Refused => ResultCode::UpstreamRefused,
            Self::TimedOut | Self::ResetAfterSend | Self::Crossed => ResultCode::OutcomeUnknown,
            Self::Broken => ResultCode::StreamBroken,
        }
    }
}
