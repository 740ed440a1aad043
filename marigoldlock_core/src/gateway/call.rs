//! A caller's request as decoded by the gateway, and the refusals that the gateway returns.

use std::time::Duration;

use marigoldlock_wire::prelude::*;

/// Part of a prompt, which other requests may share.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct PromptPart {
    /// Id of the part's content.
    pub id: u64,
    /// Length, in tokens.
    pub tokens: u32,
}

/// Size and parts of a model request's prompt.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
pub struct PromptShape {
    /// Length of the prompt, in tokens.
    pub prompt_tokens: u32,
    /// Largest number of tokens to generate.
    pub output_tokens: u32,
    /// The caller's estimate of the number of generated tokens.
    pub output_hint: Option<u32>,
    /// Parts of the prompt in order; the last one is specific to this request or its session.
    pub parts: Vec<PromptPart>,
}

impl PromptShape {
    /// Parts that other requests share: all but the last.
    pub fn shared_parts(&self) -> &[PromptPart] {
        self.parts.split_last().map_or(&[], |(_, shared)| shared)
    }

    /// Id of the last prompt part that other requests share; it identifies the shared prefix.
    pub fn shared_prefix_id(&self) -> Option<u64> {
        self.shared_parts().last().map(|part| part.id)
    }
}

/// Decoded head of a caller's request.
#[derive(Clone, Debug, Default)]
pub struct CallHead {
    /// Id that the caller gave this attempt; empty if there is none.
    pub attempt_id: String,
    /// API key, without the authentication scheme.
    pub api_key: Option<String>,
    /// Time for which the caller waits for the response.
    pub timeout: Option<Duration>,
    /// Id of the last event that the caller received before its stream broke.
    pub last_event: Option<u64>,
    /// Id of the attempt that brought the first event of the stream that this one resumes.
    pub resumes: Option<String>,
    /// Present on model requests.
    pub prompt: Option<PromptShape>,
}

/// What makes two requests of callers the same, whatever ids their attempts have.
#[derive(Clone, Copy, Debug)]
pub struct RequestIdentity<'a> {
    /// Customer that owns the API key.
    pub customer: Option<&'a CustomerId>,
    /// Host that the caller named.
    pub host: &'a str,
    /// HTTP method.
    pub method: &'a str,
    /// Path and query.
    pub path: &'a str,
    /// Body.
    pub body: &'a [u8],
}

impl RequestIdentity<'_> {
    /// Digest of the request.
    pub fn digest(&self) -> u64 {
        let customer = self.customer.map_or("", CustomerId::as_str);
        let fields = [customer, self.host, self.method, self.path];
        let mut hasher = blake3::Hasher::new();
        for field in fields.map(str::as_bytes).into_iter().chain([self.body]) {
            hasher.update(&(field.len() as u64).to_le_bytes());
            hasher.update(field);
        }
        let mut digest = [0; size_of::<u64>()];
        hasher.finalize_xof().fill(&mut digest);
        u64::from_le_bytes(digest)
    }
}

/// Why the gateway refuses a request.
#[derive(Clone, Copy, Debug, Eq, Hash, PartialEq)]
pub enum RefusalCause {
    /// The request can't be parsed.
    Malformed,
    /// The API key is unknown or missing.
    UnknownKey,
    /// No route matches.
    NoRoute,
    /// The body is larger than the settings allow.
    BodyTooLarge,
    /// The instance has no settings yet.
    NotReady,
    /// No upstream is available; the request has not run.
    NoUpstream,
    /// All upstreams are busy for longer than the request may wait; it has not run.
    Busy,
    /// The deadline can't be met; the request has not run.
    TooLate,
    /// Every upstream that was tried rejected the request; it has not run.
    TurnedAway,
    /// Requests like this one have crashed upstreams; it has not run.
    CrashesUpstreams,
    /// The customer has used up its allowance; the request has not run.
    AllowanceExhausted,
    /// The request resumes a stream of which nobody knows which software version began it; it has not run.
    UnknownVersion,
    /// The request was sent and its outcome is unknown.
    OutcomeUnknown,
    /// The request was sent and timed out.
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
            Self::CrashesUpstreams => "crashes_upstreams",
            Self::AllowanceExhausted => "allowance_exhausted",
            Self::UnknownVersion => "unknown_version",
            Self::OutcomeUnknown => "outcome_unknown",
            Self::TimedOut => "timed_out",
        }
    }

    /// True if the refusal states that the request has not run.
    pub fn is_not_run(self) -> bool {
        matches!(
            self,
            Self::NotReady
                | Self::NoUpstream
                | Self::Busy
                | Self::TooLate
                | Self::TurnedAway
                | Self::CrashesUpstreams
                | Self::AllowanceExhausted
                | Self::UnknownVersion
        )
    }
}

/// A refusal of a request by the gateway.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct Refusal {
    /// Cause.
    pub cause: RefusalCause,
    /// Time after which the caller may retry.
    pub retry_after: Option<Duration>,
}

impl Refusal {
    /// Creates a refusal without a time to retry.
    pub fn new(cause: RefusalCause) -> Self {
        Self {
            cause,
            retry_after: None,
        }
    }

    /// Sets the time after which the caller may retry.
    pub fn retry_after(self, after: Duration) -> Self {
        Self {
            retry_after: Some(after),
            ..self
        }
    }
}

/// Number of requests of each customer.
pub type CustomerCounts = FastMap<CustomerId, u64>;
