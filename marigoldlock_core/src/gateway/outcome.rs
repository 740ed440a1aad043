//! What is known of an attempt after it ended, and what may follow.

use super::call::RefusalCause;
use super::route::CallKind;

/// How an attempt ended without a usable answer.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum AttemptFailure {
    /// No connection was made; nothing was sent.
    NotSent,
    /// The upstream states that it didn't run the request.
    NotRun,
    /// Another upstream has the address.
    OtherUpstream,
    /// Sent, and no whole answer came.
    Broken,
    /// Sent, and the time for an answer ran out.
    TimedOut,
    /// The upstream answered with a server error of its own.
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

/// What the attempts of one request have come to.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub struct AttemptLedger {
    sent: u32,
    may_have_run: bool,
}

impl AttemptLedger {
    /// Counts an attempt that is about to be sent.
    pub fn count_sent(&mut self) {
        self.sent += 1;
    }

    /// Takes back the count of an attempt that never left.
    pub fn count_not_sent(&mut self) {
        self.sent = self.sent.saturating_sub(1);
    }

    /// Notes how an attempt ended.
    pub fn record(&mut self, failure: AttemptFailure) {
        self.may_have_run |= failure.may_have_run();
    }

    /// Attempts that were sent.
    pub fn sent(&self) -> u32 {
        self.sent
    }

    /// True if the request may be sent once more.
    pub fn may_send(&self, kind: CallKind, max_attempts: u32) -> bool {
        self.sent < max_attempts.max(1) && (!self.may_have_run || kind.is_repeatable())
    }

    /// The answer if nothing more is sent: "not run" only if that is certain.
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
