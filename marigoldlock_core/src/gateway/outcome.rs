//! Outcomes of attempts, and whether a request may be sent again.

use super::call::RefusalCause;
use super::route::CallKind;

/// Reason why an attempt gave no usable response.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum AttemptFailure {
    /// No connection could be opened; nothing was sent.
    NotSent,
    /// The upstream states that it did not run the request.
    NotRun,
    /// The address belongs to another upstream.
    OtherUpstream,
    /// The request was sent, but no complete response arrived.
    Broken,
    /// The request was sent, but the response timed out.
    TimedOut,
    /// The upstream returned a server error of its own.
    Errored,
}

impl AttemptFailure {
    /// Name in logs and metrics.
    pub fn as_str(self) -> &'static str {
        match self {
            Self::NotSent => "not_sent",
            Self::NotRun => "not_run",
            Self::OtherUpstream => "other_upstream",
            Self::Broken => "broken",
            Self::TimedOut => "timed_out",
            Self::Errored => "errored",
        }
    }

    /// True if the request may have run.
    pub fn may_have_run(self) -> bool {
        matches!(self, Self::Broken | Self::TimedOut | Self::Errored)
    }
}

/// History of the attempts of one request.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub struct AttemptHistory {
    sent: u32,
    may_have_run: bool,
}

impl AttemptHistory {
    /// Counts an attempt that is about to be sent.
    pub fn count_sent(&mut self) {
        self.sent += 1;
    }

    /// Undoes the count of an attempt that was never sent.
    pub fn count_not_sent(&mut self) {
        self.sent = self.sent.saturating_sub(1);
    }

    /// Records a failed attempt.
    pub fn record(&mut self, failure: AttemptFailure) {
        self.may_have_run |= failure.may_have_run();
    }

    /// Number of attempts sent.
    pub fn sent(&self) -> u32 {
        self.sent
    }

    /// True if the request may be sent once more.
    pub fn may_send(&self, kind: CallKind, max_attempts: u32) -> bool {
        self.sent < max_attempts.max(1) && (!self.may_have_run || kind.is_retryable())
    }

    /// Refusal cause if the request is not sent again. It states that the request has not run only if that is
    /// certain.
    pub fn refusal(&self, timed_out: bool) -> RefusalCause {
        match (self.may_have_run, timed_out, self.sent) {
            (true, true, _) => RefusalCause::TimedOut,
            (true, false, _) => RefusalCause::OutcomeUnknown,
            (false, true, _) => RefusalCause::TooLate,
            (false, false, 0) => RefusalCause::NoUpstream,
            (false, false, _) => RefusalCause::TurnedAway,
        }
    }
}
