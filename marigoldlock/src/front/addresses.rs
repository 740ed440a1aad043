//! `GET /v1/addresses`: the addresses that a caller should use.

use std::sync::Arc;

use axum::Json;
use axum::extract::{Query, State};
use axum::http::{HeaderMap, HeaderValue, header};
use axum::response::{IntoResponse, Response};
use marigoldlock_wire::prelude::*;
use serde::{Deserialize, Serialize};

use super::context::FrontContext;
use crate::members::KnownAddress;

/// Query parameters of `GET /v1/addresses`.
#[derive(Debug, Default, Deserialize)]
pub(super) struct AddressQuery {
    /// Any text that identifies the caller; it spreads callers over instances.
    caller: Option<String>,
}

/// Addresses in the order in which a caller should try them.
#[derive(Debug, Serialize)]
pub struct AddressAnswer {
    /// The addresses.
    pub addresses: Vec<AddressEntry>,
    /// How long the answer may be cached, in milliseconds.
    pub ttl_ms: u64,
}

/// Address of one instance.
#[derive(Debug, Serialize)]
pub struct AddressEntry {
    /// Name of the instance.
    pub instance: InstanceId,
    /// Its data centre.
    pub data_centre: DataCentre,
    /// Address, as `ip:port`.
    pub address: String,
    /// Home token for idempotency keys of the form `<home>.<caller part>`; `null` until it is known.
    pub home: Option<String>,
}

/// `GET /v1/addresses`.
pub(super) async fn addresses(
    State(context): State<Arc<FrontContext>>,
    Query(query): Query<AddressQuery>,
    headers: HeaderMap,
) -> Response {
    let caller = query.caller.unwrap_or_else(|| default_caller(&context, &headers));
    let ttl_ms = context.settings.active().fleet().address_ttl_ms;
    let own_address = context
        .serving_settings()
        .is_ok()
        .then(|| context.address.clone());
    let own_address = own_address.filter(|_| !context.is_leaving());
    let known = context.members.addresses(&caller, own_address).await;
    let addresses = known.into_iter().map(|known| entry(&context, known)).collect();
    let mut response = Json(AddressAnswer { addresses, ttl_ms }).into_response();
    let max_age = format!("max-age={}", ttl_ms / 1000);
    if let Ok(value) = HeaderValue::from_str(&max_age) {
        response.headers_mut().insert(header::CACHE_CONTROL, value);
    }
    response
}

fn entry(context: &FrontContext, known: KnownAddress) -> AddressEntry {
    let is_own = known.instance == context.name;
    let home = if is_own {
        context.calls.home.token()
    } else {
        known.home
    };
    AddressEntry {
        instance: known.instance,
        data_centre: known.data_centre,
        address: known.address,
        home: home.map(|home| home.to_string()),
    }
}

/// Identifies a caller that sent no `caller` parameter by its key or, without a key, by a random id.
fn default_caller(context: &FrontContext, headers: &HeaderMap) -> String {
    match headers.get(header::AUTHORIZATION) {
        Some(value) => blake3::hash(value.as_bytes()).to_hex().to_string(),
        None => context.new_request().to_string(),
    }
}
