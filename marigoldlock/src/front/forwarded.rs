//! Calls forwarded by another instance because this one is the home of their key.

use std::sync::Arc;

use axum::http::Method;
use log::warn;
use marigoldlock_core::settings::ServiceKind;
use marigoldlock_wire::peer::{CallAnswer, ForwardedCall};
use marigoldlock_wire::prelude::*;

use super::context::FrontContext;
use super::plain::work_item;
use super::target::RequestTarget;
use crate::calls::{CallRequest, failed_answer, http_headers};

/// Runs a forwarded call, or returns the outcome that it already has.
///
/// The forwarding instance has already authorized the caller, so only the service and the customer are looked
/// up here.
pub async fn serve_forwarded(context: &FrontContext, forwarded: ForwardedCall) -> CallAnswer {
    match call_request(context, &forwarded) {
        Ok(call) => {
            context
                .calls
                .run_at_home(forwarded.home, &forwarded.idempotency_key, &call)
                .await
        }
        // The idempotency key has not been looked up, so an earlier request with it may have run.
        Err(code) => {
            warn!(
                code:%, service:% = forwarded.service;
                "forwarded call rejected before its key was looked up; reporting its outcome as unknown"
            );
            failed_answer(ResultCode::OutcomeUnknown, None)
        }
    }
}

fn call_request(context: &FrontContext, forwarded: &ForwardedCall) -> Result<CallRequest, ResultCode> {
    let settings = context.settings.active();
    let service = settings
        .service(forwarded.service.as_str())
        .filter(|service| service.kind == ServiceKind::Plain)
        .ok_or(ResultCode::UnknownService)?;
    let customer = match &forwarded.customer {
        Some(customer) => Some(
            settings
                .customer(customer.as_str())
                .ok_or(ResultCode::ServiceNotAllowed)?,
        ),
        None => None,
    };
    let headers = http_headers(&forwarded.headers);
    let target = RequestTarget::new(
        &settings,
        Arc::clone(service),
        customer.cloned(),
        &headers,
        &context.data_centre,
    );
    let target = target.map_err(|rejection| rejection.code)?;
    let method = Method::from_bytes(forwarded.method.as_bytes()).map_err(|_| ResultCode::MethodNotAllowed)?;
    Ok(CallRequest {
        work: Arc::new(work_item(forwarded.request, &target)),
        terms: target.terms(),
        timeout: target.timeout,
        method,
        path: forwarded.path.clone(),
        headers,
        body: forwarded.body.clone(),
    })
}
