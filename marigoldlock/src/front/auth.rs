//! Authentication and authorization of callers.

use std::sync::Arc;

use axum::http::{HeaderMap, HeaderValue, header};
use marigoldlock_core::keys::{bearer_token, hash_key};
use marigoldlock_core::settings::{ActiveSettings, CustomerSettings, ServiceSettings};
use marigoldlock_wire::prelude::*;

use super::reject::Rejection;

/// Headers that may carry a caller's key; they are never forwarded to upstreams.
pub const KEY_HEADERS: [header::HeaderName; 3] =
    [header::AUTHORIZATION, header::PROXY_AUTHORIZATION, header::COOKIE];

/// Returns the customer whose key a request carries, or `None` if the service is open to all callers.
///
/// # Errors
///
/// Rejects a missing, unknown or withdrawn key and a customer that may not use the service.
pub fn authorize(
    settings: &ActiveSettings,
    service: &ServiceSettings,
    headers: &HeaderMap,
) -> Result<Option<Arc<CustomerSettings>>, Rejection> {
    if service.open {
        return Ok(None);
    }
    let customer = authenticate(settings, headers)?;
    if !settings.allows(&customer, service) {
        let message = format!("Customer {} may not use service {}.", customer.name, service.name);
        return Err(Rejection::with_message(ResultCode::ServiceNotAllowed, message));
    }
    Ok(Some(customer))
}

/// Returns the customer whose key a request carries.
///
/// # Errors
///
/// Rejects a missing, unknown or withdrawn key.
pub fn authenticate(
    settings: &ActiveSettings,
    headers: &HeaderMap,
) -> Result<Arc<CustomerSettings>, Rejection> {
    authenticate_value(settings, headers.get(header::AUTHORIZATION))
}

/// Returns the customer whose key is in the value of an `Authorization` header.
///
/// # Errors
///
/// Rejects a missing, unknown or withdrawn key.
pub fn authenticate_value(
    settings: &ActiveSettings,
    value: Option<&HeaderValue>,
) -> Result<Arc<CustomerSettings>, Rejection> {
    let value = value.ok_or_else(|| Rejection::new(ResultCode::MissingKey))?;
    let text = value
        .to_str()
        .map_err(|_| Rejection::new(ResultCode::UnknownKey))?;
    let key = bearer_token(text).ok_or_else(|| Rejection::new(ResultCode::MissingKey))?;
    settings
        .authenticate(&hash_key(key))
        .cloned()
        .map_err(Rejection::new)
}
