//! Answers to callers.

use bytes::Bytes;
use http::{HeaderValue, Response, header};
use http_body_util::combinators::BoxBody;
use http_body_util::{BodyExt, Full};
use marigoldlock_core::gateway::members::MemberStage;
use marigoldlock_core::gateway::prelude::*;

use super::Gateway;

/// Error that cuts an answer off.
pub type CutError = Box<dyn std::error::Error + Send + Sync>;

/// Body of an answer.
pub type AnswerBody = BoxBody<Bytes, CutError>;

/// A body that is known whole.
pub fn whole(bytes: Bytes) -> AnswerBody {
    Full::new(bytes).map_err(|never| match never {}).boxed()
}

/// An answer of the gateway's own, logged with the request that it ends.
pub fn refuse(
    gateway: &Gateway,
    head: &CallHead,
    route: Option<&str>,
    refusal: Refusal,
) -> Response<AnswerBody> {
    let retry_ms = refusal.retry_after.map_or(0, |after| after.as_millis() as u64);
    log::info!(
        target: crate::logging::DECISION_TARGET,
        request = head.attempt_id, route = route.unwrap_or("-"), outcome = refusal.cause.as_str(),
        not_run = refusal.cause.is_not_run(), retry_ms;
        "request refused"
    );
    metrics::counter!("gateway_refusals_total", "cause" => refusal.cause.as_str()).increment(1);
    finish(gateway, gateway.parts.caller.refuse(&refusal).map(whole))
}

/// Adds what concerns the caller's connection.
pub fn finish(gateway: &Gateway, mut response: Response<AnswerBody>) -> Response<AnswerBody> {
    if gateway.state().stage == MemberStage::Leaving {
        response
            .headers_mut()
            .insert(header::CONNECTION, HeaderValue::from_static("close"));
    }
    response
}
