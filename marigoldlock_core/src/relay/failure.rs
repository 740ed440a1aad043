//! What a failed attempt says about the request.

use marigoldlock_wire::prelude::*;

use crate::routing::AttemptOutcome;

/// How an attempt failed.
#[derive(Clone, Copy, Debug, Eq, Hash, PartialEq)]
pub enum FailureKind {
    /// No connection came about; no byte of the request left.
    NotConnected,
    /// The upstream rejected the request before running it and said so.
    Refused,
    /// Nothing was heard for too long after the request left.
    TimedOut,
    /// The connection ended after the request left and before an answer.
    ResetAfterSend,
    /// The answer began and ended early, or was malformed.
    Broken,
    /// The answer belongs to another request or attempt.
    Crossed,
}

/// Whether a request may be sent again.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum ResendRule {
    /// At once; the failed attempt leaves no work behind at its upstream.
    Free,
    /// If the retry budget allows it.
    Budgeted,
    /// Never; the callee may hold the request or have run it.
    Never,
}

impl FailureKind {
    /// True if no upstream holds the request or ever will.
    pub fn is_rejection(self) -> bool {
        matches!(self, Self::NotConnected | Self::Refused)
    }

    /// True if the callee may still be working on the request, so that another copy adds to the load.
    pub fn may_still_run(self) -> bool {
        matches!(self, Self::TimedOut | Self::Crossed)
    }

    /// Whether a request that failed this way may be sent again, within the limit of attempts.
    ///
    /// An ended connection cancels the work at its upstream, so that sending again moves load and does not
    /// add any. After a timeout the upstream may be slow rather than gone: only the budget lets a copy go.
    pub fn resend_rule(self, repeatable: bool) -> ResendRule {
        match self {
            Self::NotConnected => ResendRule::Free,
            Self::Refused => ResendRule::Budgeted,
            _ if !repeatable => ResendRule::Never,
            Self::ResetAfterSend | Self::Broken => ResendRule::Free,
            Self::TimedOut | Self::Crossed => ResendRule::Budgeted,
        }
    }

    /// How the attempt counts for its upstream.
    pub fn attempt_outcome(self) -> AttemptOutcome {
        match self {
            Self::Refused => AttemptOutcome::Refused,
            Self::TimedOut => AttemptOutcome::TimedOut,
            Self::NotConnected | Self::ResetAfterSend | Self::Broken | Self::Crossed => {
                AttemptOutcome::Broken
            }
        }
    }

    /// Result code for the caller when the request is not sent again and nothing of an answer was given.
    pub fn result_code(self) -> ResultCode {
        match self {
            Self::NotConnected => ResultCode::NoUpstream,
            Self::Refused => ResultCode::UpstreamRefused,
            Self::TimedOut | Self::ResetAfterSend | Self::Crossed => ResultCode::OutcomeUnknown,
            Self::Broken => ResultCode::StreamBroken,
        }
    }
}
