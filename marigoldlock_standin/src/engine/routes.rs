//! Routes of an engine, and the handlers other than chat completions.

use std::sync::Arc;
use std::time::Duration;

use axum::extract::{DefaultBodyLimit, Query, State};
use axum::http::StatusCode;
use axum::routing::{get, post};
use axum::{Json, Router};
use marigoldlock_wire::engine::{CacheEvents, EngineOrder, KvTransfer, LoadReport};
use serde::Deserialize;
use tokio::time::Instant;

use super::SharedEngine;
use super::chat::complete;
use super::seen::EngineSeen;

/// Every route of an engine.
pub(super) fn routes(engine: Arc<SharedEngine>) -> Router {
    Router::new()
        .route("/v1/chat/completions", post(complete))
        .route("/v1/load", get(show_load))
        .route("/v1/cache/events", get(show_events))
        .route("/v1/orders", post(receive_order))
        .route("/v1/kv/export", post(export_kv))
        .route("/v1/kv/import", post(import_kv))
        .route("/_standin/seen", get(show_seen))
        .layer(DefaultBodyLimit::disable())
        .with_state(engine)
}

#[derive(Deserialize)]
struct EventQuery {
    #[serde(default)]
    from: u64,
}

async fn show_load(State(engine): State<Arc<SharedEngine>>) -> Json<LoadReport> {
    Json(engine.state().load_report(Instant::now()))
}

async fn show_events(
    State(engine): State<Arc<SharedEngine>>,
    Query(query): Query<EventQuery>,
) -> Json<CacheEvents> {
    Json(engine.state().cache_events(query.from, Instant::now()))
}

async fn receive_order(
    State(engine): State<Arc<SharedEngine>>,
    Json(order): Json<EngineOrder>,
) -> StatusCode {
    let time_ms = engine.clock.now_ms();
    match engine.state().order(order, time_ms, Instant::now()) {
        true => StatusCode::OK,
        false => StatusCode::CONFLICT,
    }
}

async fn export_kv(
    State(engine): State<Arc<SharedEngine>>,
    Json(wanted): Json<KvTransfer>,
) -> Json<KvTransfer> {
    let transfer = engine.state().export(&wanted);
    tokio::time::sleep(transfer_time(&engine, &transfer)).await;
    Json(transfer)
}

async fn import_kv(State(engine): State<Arc<SharedEngine>>, Json(transfer): Json<KvTransfer>) -> StatusCode {
    tokio::time::sleep(transfer_time(&engine, &transfer)).await;
    engine.state().import(&transfer, Instant::now());
    StatusCode::OK
}

async fn show_seen(State(engine): State<Arc<SharedEngine>>) -> Json<EngineSeen> {
    Json(engine.state().seen())
}

fn transfer_time(engine: &SharedEngine, transfer: &KvTransfer) -> Duration {
    Duration::from_secs_f64(transfer.tokens as f64 / engine.options.kv_tokens_per_s)
}
