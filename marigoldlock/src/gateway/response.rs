//! Responses to callers.

use bytes::Bytes;
use http::{HeaderValue, Response, header};
use http_body_util::combinators::BoxBody;
use http_body_util::{BodyExt, Full};
use marigoldlock_core::gateway::members::MemberStage;
use marigoldlock_core::gateway::prelude::*;

use super::Gateway;

/// Error that aborts a response body.
pub type BodyError = Box<dyn std::error::Error + Send + Sync>;

/// Body of a response.
pub type ResponseBody = BoxBody<Bytes, BodyError>;

/// Creates a body from complete content.
pub fn full_body(bytes: Bytes) -> ResponseBody {
    Full::new(bytes).map_err(|never| match never {}).boxed()
}

/// Builds the response for a refused request and logs the refusal.
pub fn refuse(
    gateway: &Gateway,
    head: &CallHead,
    route: Option<&str>,
    refusal: Refusal,
) -> Response<ResponseBody> {
    let retry_ms = refusal.retry_after.map_or(0, |after| after.as_millis() as u64);
    log::info!(
        target: crate::logging::DECISION_TARGET,
        request = head.attempt_id, route = route.unwrap_or("-"), outcome = refusal.cause.as_str(),
        not_run = refusal.cause.is_not_run(), retry_ms;
        "request refused"
    );
    metrics::counter!("gateway_refusals_total", "cause" => refusal.cause.as_str()).increment(1);
    close_if_leaving(
        gateway,
        gateway.parts.caller_protocol.refuse(&refusal).map(full_body),
    )
}

/// Asks the caller to close the connection if the instance is leaving.
pub fn close_if_leaving(gateway: &Gateway, mut response: Response<ResponseBody>) -> Response<ResponseBody> {
    if gateway.state().stage == MemberStage::Leaving {
        response
            .headers_mut()
            .insert(header::CONNECTION, HeaderValue::from_static("close"));
    }
    response
}
