//! Outcomes of attempts, and whether a request may be sent again.
//!
//! Whatever a request sends to an upstream takes a [`SendPermit`], which only [`AttemptHistory::permit`] issues.
//! So no path can send without being counted against the request's attempts and the service's retry budget.

use super::call::RefusalCause;
use super::route::CallKind;

/// Reason why an attempt gave no usable response.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum AttemptFailure {
    /// No connection could be opened; nothing was sent.
    NotSent,
    /// The upstream's rate limit does not allow a request now; nothing was sent.
    Limited,
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
            Self::Limited => "limited",
            Self::NotRun => "not_run",
            Self::OtherUpstream => "other_upstream",
            Self::Broken => "broken",
            Self::TimedOut => "timed_out",
            Self::Errored => "errored",
        }
    }

    /// True if nothing was sent.
    pub fn is_unsent(self) -> bool {
        matches!(self, Self::NotSent | Self::Limited)
    }

    /// True if the request may have run.
    pub fn may_have_run(self) -> bool {
        matches!(self, Self::Broken | Self::TimedOut | Self::Errored)
    }
}

/// What a request to an upstream asks for.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum SendPhase {
    /// Only to prefill the prompt.
    Prefill,
    /// To run the request.
    Run,
}

impl SendPhase {
    /// Name in metrics.
    pub fn as_str(self) -> &'static str {
        match self {
            Self::Prefill => "prefill",
            Self::Run => "run",
        }
    }
}

/// Permission to send one request to an upstream.
#[derive(Debug)]
#[must_use = "an unused permit must be released"]
pub struct SendPermit {
    phase: SendPhase,
}

impl SendPermit {
    /// What may be sent.
    pub fn phase(&self) -> SendPhase {
        self.phase
    }
}

/// History of the attempts of one request.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub struct AttemptHistory {
    sent: u32,
    may_have_run: bool,
    /// True once an upstream has accepted a prefill.
    has_prefill: bool,
}

impl AttemptHistory {
    /// Issues the permission to send once more; `None` if that is not allowed. `try_retry` consumes a retry from the
    /// budget; it is called only if this is one.
    pub fn permit(
        &mut self,
        phase: SendPhase,
        kind: CallKind,
        max_attempts: u32,
        try_retry: impl FnOnce() -> bool,
    ) -> Option<SendPermit> {
        let is_allowed = match phase {
            // A second prefill would count as an attempt and as a retry, besides those of the run that follows.
            SendPhase::Prefill => self.sent == 0 && !self.has_prefill,
            SendPhase::Run => self.may_send(kind, max_attempts),
        };
        if !is_allowed || self.sent > 0 && !try_retry() {
            return None;
        }
        self.count_sent();
        Some(SendPermit { phase })
    }

    /// Takes back a permission if nothing was sent.
    pub fn release(&mut self, _permit: SendPermit) {
        self.sent = self.sent.saturating_sub(1);
    }

    /// Records that an upstream accepted the prefill, which then doesn't count as an attempt.
    pub fn record_prefill(&mut self) {
        self.has_prefill = true;
        self.sent = self.sent.saturating_sub(1);
    }

    pub(super) fn count_sent(&mut self) {
        self.sent += 1;
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
