//! Routes of the ordering stand-in.

use std::sync::Arc;

use axum::extract::{Query, State};
use axum::http::StatusCode;
use axum::routing::{get, post, put};
use axum::{Json, Router};
use marigoldlock_wire::ids::{DataCentre, UpstreamId};
use marigoldlock_wire::platform::{CapacityKind, OrderAnswer, UpstreamOrder};
use serde::{Deserialize, Serialize};

use super::state::{OrderedUpstream, SeenUpstreamOrder};
use super::{ReclaimRequest, SharedOrdering};

/// Every route of the ordering stand-in.
pub(super) fn routes(shared: Arc<SharedOrdering>) -> Router {
    Router::new()
        .route("/v1/orders", post(receive_order).get(find_orders))
        .route("/_standin/seen", get(show_seen))
        .route("/_standin/upstreams", get(show_upstreams))
        .route("/_standin/capacity", put(set_capacity))
        .route("/_standin/lost-starts", put(lose_starts))
        .route("/_standin/reclaim", post(reclaim))
        .with_state(shared)
}

#[derive(Deserialize)]
struct OrderQuery {
    reference: String,
}

#[derive(Debug, Deserialize)]
#[serde(deny_unknown_fields)]
struct CapacityLimit {
    data_centre: DataCentre,
    capacity: CapacityKind,
    left: Option<u32>,
}

#[derive(Debug, Serialize)]
struct NamedUpstream {
    id: UpstreamId,
    #[serde(flatten)]
    upstream: OrderedUpstream,
}

async fn receive_order(
    State(ordering): State<Arc<SharedOrdering>>,
    Json(order): Json<UpstreamOrder>,
) -> Json<OrderAnswer> {
    Json(ordering.handle_order(order))
}

async fn find_orders(
    State(ordering): State<Arc<SharedOrdering>>,
    Query(query): Query<OrderQuery>,
) -> Json<Vec<OrderAnswer>> {
    Json(ordering.state().find(&query.reference))
}

async fn show_seen(State(ordering): State<Arc<SharedOrdering>>) -> Json<Vec<SeenUpstreamOrder>> {
    Json(ordering.state().seen.clone())
}

async fn show_upstreams(State(ordering): State<Arc<SharedOrdering>>) -> Json<Vec<NamedUpstream>> {
    let upstreams = ordering.upstreams().into_iter();
    let named = upstreams.map(|(id, upstream)| NamedUpstream { id, upstream });
    Json(named.collect())
}

async fn set_capacity(
    State(ordering): State<Arc<SharedOrdering>>,
    Json(limit): Json<CapacityLimit>,
) -> StatusCode {
    let mut state = ordering.state();
    state.set_remaining(limit.data_centre, limit.capacity, limit.left);
    StatusCode::NO_CONTENT
}

async fn lose_starts(State(ordering): State<Arc<SharedOrdering>>, Json(count): Json<u32>) -> StatusCode {
    ordering.state().lose_starts(count);
    StatusCode::NO_CONTENT
}

async fn reclaim(
    State(ordering): State<Arc<SharedOrdering>>,
    Json(request): Json<ReclaimRequest>,
) -> Json<Vec<UpstreamId>> {
    Json(ordering.reclaim(&request))
}
