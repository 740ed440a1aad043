//! Health, readiness and metrics.

use std::sync::Arc;

use axum::extract::State;
use axum::http::StatusCode;
use axum::response::{IntoResponse, Response};

use super::context::FrontContext;
use super::reject::Rejection;
use crate::metrics::render;
use marigoldlock_wire::prelude::*;

/// `GET /healthz`: liveness probe.
pub(super) async fn health() -> &'static str {
    "ok\n"
}

/// `GET /readyz`: readiness probe; fails while the instance shuts down or refuses requests.
pub(super) async fn ready(State(context): State<Arc<FrontContext>>) -> Response {
    if context.is_leaving() {
        return Rejection::new(ResultCode::InstanceLeaving).into_answer(context.new_request());
    }
    match context.serving_settings() {
        Ok(_) => (StatusCode::OK, "ready\n").into_response(),
        Err(rejection) => rejection.into_answer(context.new_request()),
    }
}

/// `GET /metrics`: metrics in the Prometheus text format.
pub(super) async fn metrics() -> String {
    render()
}
