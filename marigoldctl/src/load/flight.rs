//! Requests and attempts under way.

use marigoldlock_core::prelude::*;
use marigoldlock_core::routing::{AttemptTicket, RouteDecision};

/// What has become of a request.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub(super) enum RequestPhase {
    /// Not arrived.
    #[default]
    Coming,
    /// In a queue.
    Queued,
    /// Started, with or without an attempt in flight.
    Running,
    /// Answered whole.
    Answered,
    /// Not run.
    Refused(ResultCode),
    /// Started and never finished.
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

/// What an attempt does.
#[derive(Debug)]
pub(super) enum AttemptKind {
    /// Makes the output.
    Full,
    /// Reads the prompt for the decision that it holds.
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
