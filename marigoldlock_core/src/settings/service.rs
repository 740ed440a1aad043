//! Settings of services.

use serde::{Deserialize, Serialize};

use crate::prelude::*;

/// What callers speak to a service.
#[derive(Clone, Copy, Debug, Default, Deserialize, Eq, Hash, PartialEq, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum ServiceKind {
    /// Chat completions, by model.
    #[default]
    Chat,
    /// HTTP calls passed through by path.
    Plain,
}

/// Whether a service's upstreams refuse an order with an old fencing number.
#[derive(Clone, Copy, Debug, Default, Deserialize, Eq, Hash, PartialEq, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum OrderCheck {
    /// They refuse it.
    Fenced,
    /// They carry out every order, whoever gives it.
    #[default]
    Unfenced,
}

/// How urgent a request is.
#[derive(Clone, Copy, Debug, Default, Deserialize, Eq, Hash, Ord, PartialEq, PartialOrd, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum RequestClass {
    /// Someone waits for the answer.
    Interactive,
    /// Neither of the others.
    #[default]
    Standard,
    /// Work that may wait until its deadline.
    Long,
}

/// Settings of one service.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
#[serde(deny_unknown_fields, default)]
pub struct ServiceSettings {
    /// Name, from the path.
    #[serde(skip, default = "super::team::unnamed_service")]
    pub name: ServiceId,
    /// Team that owns the service, from the path.
    #[serde(skip, default = "super::team::unnamed_team")]
    pub team: TeamId,
    /// Chat or plain.
    pub kind: ServiceKind,
    /// Models that callers may name; none for a plain service.
    pub models: Vec<ModelId>,
    /// True if the route needs no key.
    pub open: bool,
    /// True if a call may be sent again; by default chats may and plain calls may not.
    pub repeatable: Option<bool>,
    /// Other teams whose customers may use the service.
    pub shared_with: Vec<TeamId>,
    /// Whether the upstreams check who gives an order.
    pub order_check: OrderCheck,
    /// Class of a request that names none.
    pub default_class: RequestClass,
    /// Largest request body, in bytes.
    pub body_limit_bytes: u64,
    /// Most requests that wait at one instance.
    pub queue_limit: u32,
    /// Most streams that one customer has open at one instance.
    pub max_streams_per_customer: u32,
    /// Aim for the time to the first token, in milliseconds.
    pub first_token_target_ms: u64,
    /// Aim for the time between tokens, in milliseconds.
    pub token_gap_target_ms: u64,
    /// Time for a whole answer, in milliseconds.
    pub answer_timeout_ms: u64,
    /// Time without any progress after which an upstream is given up, in milliseconds.
    pub progress_timeout_ms: u64,
    /// Most output tokens of one request.
    pub max_output_tokens: u64,
    /// Output tokens expected of a request that names no limit.
    pub expected_output_tokens: u64,
    /// Cost of a prompt token, in weighted tokens.
    pub prefill_weight: f64,
    /// Cost of an output token, in weighted tokens.
    pub decode_weight: f64,
    /// Fewest steady upstreams in all data centres together.
    pub steady_floor: u32,
    /// Most upstreams in all data centres together.
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
    /// True if a call may be sent to an upstream again.
    pub fn is_repeatable(&self) -> bool {
        self.repeatable.unwrap_or(self.kind == ServiceKind::Chat)
    }
}
