//! State of requests and attempts.

use marigoldlock_core::prelude::*;
use marigoldlock_core::routing::{AttemptTicket, RouteDecision};

/// Phase of a request.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub(super) enum RequestPhase {
    /// Not arrived yet.
    #[default]
    Pending,
    /// Queued by admission.
    Queued,
    /// Started, with or without an attempt in flight.
    Running,
    /// Answered completely.
    Answered,
    /// Refused by admission, or because its key is withdrawn; it did not run.
    Refused(ResultCode),
    /// Started, but not finished before its deadline.
    Failed,
}

/// State of one request.
#[derive(Clone, Debug, Default)]
pub(super) struct RequestState {
    pub(super) phase: RequestPhase,
    pub(super) instance: usize,
    pub(super) tokens: u64,
    pub(super) first_at: Option<u64>,
    pub(super) last_at: u64,
    pub(super) done_at: Option<u64>,
    pub(super) exclude: Vec<UpstreamId>,
    pub(super) cheap_tokens: u64,
    pub(super) interrupted: bool,
    pub(super) interrupted_on_cheap: bool,
    pub(super) retries: u32,
}

/// Kind of an attempt.
#[derive(Debug)]
pub(super) enum AttemptKind {
    /// Produces the output.
    Full,
    /// Only prefills the prompt; holds the decision and ticket of the attempt that produces the output.
    Prefill(Box<(RouteDecision, AttemptTicket)>),
}

/// One attempt in flight.
#[derive(Debug)]
pub(super) struct AttemptState {
    pub(super) request: usize,
    pub(super) instance: usize,
    pub(super) upstream: usize,
    pub(super) ticket: Option<AttemptTicket>,
    pub(super) kind: AttemptKind,
    pub(super) imported: u64,
    pub(super) progress_at: u64,
}
