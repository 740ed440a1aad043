//! A caller's request as the gateway sees it, and the answers that the gateway makes itself.

use std::time::Duration;

use marigoldlock_wire::prelude::*;

/// Part of a prompt that other requests may share.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct PromptPart {
    /// Id of the part's content.
    pub id: u64,
    /// Length, in tokens.
    pub tokens: u32,
}

/// What a model request asks for.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
pub struct PromptShape {
    /// Tokens of the prompt.
    pub prompt_tokens: u32,
    /// Most tokens that may be generated.
    pub output_tokens: u32,
    /// The caller's estimate of the generated tokens.
    pub output_hint: Option<u32>,
    /// Parts of the prompt in order; the last one belongs to this request or its session.
    pub parts: Vec<PromptPart>,
}

impl PromptShape {
    /// Part that names the subject: the last one that other requests share.
    pub fn subject(&self) -> Option<u64> {
        let shared = self.parts.len().checked_sub(2)?;
        self.parts.get(shared).map(|part| part.id)
    }
}

/// Head of a caller's request, decoded once.
#[derive(Clone, Debug, Default)]
pub struct CallHead {
    /// Id of this attempt of the caller; empty if the caller sent none.
    pub attempt_id: String,
    /// API key, without its scheme.
    pub api_key: Option<String>,
    /// Time that the caller waits.
    pub patience: Option<Duration>,
    /// Id of the last event that the caller has of a stream that broke.
    pub last_event: Option<u64>,
    /// Present on model requests.
    pub prompt: Option<PromptShape>,
}

/// Why the gateway answers a request itself.
#[derive(Clone, Copy, Debug, Eq, Hash, PartialEq)]
pub enum RefusalCause {
    /// The request can't be read.
    Malformed,
    /// Its key is unknown or missing.
    UnknownKey,
    /// No route fits.
    NoRoute,
    /// Its body is larger than the settings allow.
    BodyTooLarge,
    /// The instance has no settings yet.
    NotReady,
    /// No upstream can take it now; it has not run.
    NoUpstream,
    /// All upstreams are busy for longer than it should wait; it has not run.
    Busy,
    /// Its deadline can't be met; it has not run.
    TooLate,
    /// Every upstream that was asked turned it away; it has not run.
    TurnedAway,
    /// It was sent and its outcome is unknown.
    OutcomeUnknown,
    /// It was sent and had no answer in time.
    TimedOut,
}

impl RefusalCause {
    /// Name in logs and metrics.
    pub fn as_str(self) -> &'static str {
        match self {
            Self::Malformed => "malformed",
            Self::UnknownKey => "unknown_key",
            Self::NoRoute => "no_route",
            Self::BodyTooLarge => "body_too_large",
            Self::NotReady => "not_ready",
            Self::NoUpstream => "no_upstream",
            Self::Busy => "busy",
            Self::TooLate => "too_late",
            Self::TurnedAway => "turned_away",
            Self::OutcomeUnknown => "outcome_unknown",
            Self::TimedOut => "timed_out",
        }
    }

    /// True if the answer states that the request has not run.
    pub fn is_not_run(self) -> bool {
        matches!(
            self,
            Self::NotReady | Self::NoUpstream | Self::Busy | Self::TooLate | Self::TurnedAway
        )
    }
}

/// An answer that the gateway makes itself.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct Refusal {
    /// Why.
    pub cause: RefusalCause,
    /// When the caller may come back.
    pub retry_after: Option<Duration>,
}

impl Refusal {
    /// A refusal after which the caller need not come back.
    pub fn new(cause: RefusalCause) -> Self {
        Self {
            cause,
            retry_after: None,
        }
    }

    /// The refusal with a time to come back.
    pub fn retry_after(self, after: Duration) -> Self {
        Self {
            retry_after: Some(after),
            ..self
        }
    }
}

/// Requests of one customer, counted.
pub type CustomerCounts = FastMap<CustomerId, u64>;
