//! Settings of services.

use serde::{Deserialize, Serialize};

use crate::prelude::*;

/// Protocol in which callers use a service.
#[derive(Clone, Copy, Debug, Default, Deserialize, Eq, Hash, PartialEq, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum ServiceKind {
    /// Chat completions, routed by model.
    #[default]
    Chat,
    /// HTTP calls, forwarded by path.
    Plain,
}

/// Whether a service's upstreams refuse an order with an outdated fencing token.
#[derive(Clone, Copy, Debug, Default, Deserialize, Eq, Hash, PartialEq, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum OrderCheck {
    /// The upstreams refuse such an order.
    Fenced,
    /// The upstreams carry out every order, regardless of its fencing token.
    #[default]
    Unfenced,
}

/// How urgent a request is.
#[derive(Clone, Copy, Debug, Default, Deserialize, Eq, Hash, Ord, PartialEq, PartialOrd, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum RequestClass {
    /// A person is waiting for the answer.
    Interactive,
    /// Neither interactive nor long.
    #[default]
    Standard,
    /// Work that may wait until its deadline.
    Long,
}

/// Settings of one service.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
#[serde(deny_unknown_fields, default)]
pub struct ServiceSettings {
    /// Name, taken from the path.
    #[serde(skip, default = "super::team::unnamed_service")]
    pub name: ServiceId,
    /// Team that owns the service, taken from the path.
    #[serde(skip, default = "super::team::unnamed_team")]
    pub team: TeamId,
    /// Protocol of the service.
    pub kind: ServiceKind,
    /// Models that callers may request; empty for a plain service.
    pub models: Vec<ModelId>,
    /// Whether the service may be called without a key.
    pub open: bool,
    /// Whether a call may be sent again. If unset, chats may be repeated and plain calls may not.
    pub repeatable: Option<bool>,
    /// Other teams whose customers may use the service.
    pub shared_with: Vec<TeamId>,
    /// Whether the upstreams check the fencing token of an order.
    pub order_check: OrderCheck,
    /// Class of a request that does not specify one.
    pub default_class: RequestClass,
    /// Largest request body, in bytes.
    pub body_limit_bytes: u64,
    /// Limit on queued requests at one instance.
    pub queue_limit: u32,
    /// Limit on open streams of one customer at one instance.
    pub max_streams_per_customer: u32,
    /// Target for the time to the first token, in milliseconds.
    pub first_token_target_ms: u64,
    /// Target for the time between tokens, in milliseconds.
    pub token_gap_target_ms: u64,
    /// Time limit for a complete answer, in milliseconds.
    pub answer_timeout_ms: u64,
    /// Time without progress after which an attempt at an upstream is abandoned, in milliseconds.
    pub progress_timeout_ms: u64,
    /// Limit on output tokens of one request.
    pub max_output_tokens: u64,
    /// Output tokens assumed for a request that sets no limit.
    pub expected_output_tokens: u64,
    /// Cost of a prompt token, in weighted tokens.
    pub prefill_weight: f64,
    /// Cost of an output token, in weighted tokens.
    pub decode_weight: f64,
    /// Minimum number of steady upstreams in all data centres together.
    pub steady_floor: u32,
    /// Maximum number of upstreams in all data centres together.
    pub upstream_limit: u32,
}

impl Default for ServiceSettings {
    fn default() -> Self {
        Self {
            name: super::team::unnamed_service(),
            team: super::team::unnamed_team(),
            kind: ServiceKind::Chat,
            models: Vec::new(),
            open: false,
            repeatable: None,
            shared_with: Vec::new(),
            order_check: OrderCheck::Unfenced,
            default_class: RequestClass::Standard,
            body_limit_bytes: 1 << 20,
            queue_limit: 512,
            max_streams_per_customer: 256,
            first_token_target_ms: 500,
            token_gap_target_ms: 50,
            answer_timeout_ms: 600_000,
            progress_timeout_ms: 10_000,
            max_output_tokens: 8_192,
            expected_output_tokens: 256,
            prefill_weight: 1.0,
            decode_weight: 4.0,
            steady_floor: 1,
            upstream_limit: 1_000,
        }
    }
}

impl ServiceSettings {
    /// Returns true if a call may be sent to an upstream again.
    pub fn is_repeatable(&self) -> bool {
        self.repeatable.unwrap_or(self.kind == ServiceKind::Chat)
    }
}
