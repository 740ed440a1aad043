//! Routes for callers.

use std::sync::Arc;

use axum::Router;
use axum::extract::{Request, State};
use axum::http::header;
use axum::middleware::{Next, from_fn_with_state};
use axum::response::Response;
use axum::routing::{any, get, post};
use marigoldlock_wire::prelude::*;

use super::context::FrontContext;
use super::reject::{Rejection, set_request_id};
use super::{addresses, chat, jobs, plain, probes};

/// Creates the router for callers, health probes and metrics.
pub fn front_router(context: Arc<FrontContext>) -> Router {
    Router::new()
        .route("/v1/chat/completions", post(chat::chat))
        .route("/services/{service}", any(plain::plain))
        .route("/services/{service}/", any(plain::plain))
        .route("/services/{service}/{*path}", any(plain::plain))
        .route("/v1/jobs", post(jobs::submit))
        .route("/v1/jobs/{id}", get(jobs::show))
        .route("/v1/addresses", get(addresses::addresses))
        .route("/healthz", get(probes::health))
        .route("/readyz", get(probes::ready))
        .route("/metrics", get(probes::metrics))
        .fallback(unknown_route)
        .method_not_allowed_fallback(wrong_method)
        .layer(from_fn_with_state(Arc::clone(&context), finish_answer))
        .with_state(context)
}

async fn unknown_route() -> Rejection {
    Rejection::new(ResultCode::UnknownRoute)
}

async fn wrong_method() -> Rejection {
    Rejection::new(ResultCode::MethodNotAllowed)
}

/// Counts refusals, and adds a request id to every answer that has none; an answer without one would be
/// treated as written by the HTTP library.
async fn finish_answer(State(context): State<Arc<FrontContext>>, request: Request, next: Next) -> Response {
    let key = request.headers().get(header::AUTHORIZATION).cloned();
    let mut response = next.run(request).await;
    context
        .refusals
        .record(&context.settings.active(), key.as_ref(), &response);
    if !response
        .headers()
        .contains_key(marigoldlock_wire::engine::REQUEST_ID_HEADER)
    {
        set_request_id(&mut response, context.new_request());
    }
    response
}
