//! Plain services: requests are forwarded by path.

use std::sync::Arc;
use std::time::Duration;

use axum::body::Body;
use axum::extract::{Path, Request, State};
use axum::http::request::Parts;
use axum::http::{HeaderMap, Method, StatusCode};
use axum::response::Response;
use bytes::Bytes;
use futures::StreamExt;
use log::info;
use marigoldlock_core::admission::FinishedWork;
use marigoldlock_core::calls::{CallKey, MAX_KEY_BYTES};
use marigoldlock_core::relay::{AttemptId, FailureKind, RetryRule};
use marigoldlock_core::routing::AttemptOutcome;
use marigoldlock_core::settings::{ServiceKind, ServiceSettings};
use marigoldlock_wire::peer::CallAnswer;
use marigoldlock_wire::prelude::*;

use super::auth::authorize;
use super::body::{BodyLimits, read_body};
use super::context::FrontContext;
use super::headers::{IDEMPOTENCY_HEADER, end_to_end};
use super::reject::{Rejection, set_request_id};
use super::target::RequestTarget;
use crate::calls::{CallRequest, http_headers};
use crate::dispatch::{AdmissionPermit, AttemptLease, WorkItem};
use crate::logging::DECISION_TARGET;
use crate::upstream::UpstreamCall;

/// Maximum number of attempts of an idempotent call.
const MAX_ATTEMPTS: u32 = 3;

/// `Retry-After` when every attempt failed.
const RETRY_AFTER: Duration = Duration::from_secs(1);

/// `/services/{service}` and `/services/{service}/{*path}`, any method.
pub(super) async fn plain(
    State(context): State<Arc<FrontContext>>,
    Path(params): Path<Vec<(String, String)>>,
    request: Request,
) -> Response {
    let id = context.new_request();
    let service = params
        .into_iter()
        .next()
        .map(|(_, service)| service)
        .unwrap_or_default();
    match serve(&context, id, &service, request).await {
        Ok(mut response) => {
            set_request_id(&mut response, id);
            response
        }
        Err(rejection) => rejection.into_answer(id),
    }
}

async fn serve(
    context: &Arc<FrontContext>,
    id: RequestId,
    service: &str,
    request: Request,
) -> Result<Response, Rejection> {
    let settings = context
        .serving_settings()
        .map_err(|rejection| unconfirmed_if_keyed(rejection, request.headers()))?;
    let service = settings
        .service(service)
        .filter(|service| service.kind == ServiceKind::Plain)
        .ok_or_else(|| unknown_service(service))?;
    let (parts, body) = request.into_parts();
    let customer = authorize(&settings, service, &parts.headers)?;
    let max_bytes = usize::try_from(service.body_limit_bytes).unwrap_or(usize::MAX);
    let limits = BodyLimits {
        max_bytes,
        idle_timeout: context.limits.body_idle_timeout,
    };
    let body = read_body(body, &parts.headers, limits).await?;
    let target = RequestTarget::new(
        &settings,
        Arc::clone(service),
        customer,
        &parts.headers,
        &context.data_centre,
    )?;
    let call = call_request(id, &target, &parts, body);
    if is_idempotent(service, &parts.method) {
        return run_idempotent(context, &call).await;
    }
    let key = idempotency_key(&parts.headers)?;
    let answer = context.calls.call(&call, key).await;
    into_response(answer)
}

/// Replaces a rejection of a request with an idempotency key by [`ResultCode::ClaimUnconfirmed`]: the key has
/// not been looked up, so an earlier request with it may have run.
fn unconfirmed_if_keyed(rejection: Rejection, headers: &HeaderMap) -> Rejection {
    if !headers.contains_key(IDEMPOTENCY_HEADER) {
        return rejection;
    }
    Rejection {
        retry_after: rejection.retry_after,
        ..Rejection::new(ResultCode::ClaimUnconfirmed)
    }
}

fn unknown_service(name: &str) -> Rejection {
    Rejection::with_message(
        ResultCode::UnknownService,
        format!("There is no plain service {name}."),
    )
}

/// Returns true if a request may be repeated; safe methods may be for every service.
fn is_idempotent(service: &ServiceSettings, method: &Method) -> bool {
    service.is_repeatable() || method.is_safe()
}

fn call_request(id: RequestId, target: &RequestTarget, parts: &Parts, body: Bytes) -> CallRequest {
    CallRequest {
        work: Arc::new(work_item(id, target)),
        terms: target.terms(),
        timeout: target.timeout,
        method: parts.method.clone(),
        path: upstream_path(parts, target.service.name.as_str()),
        headers: end_to_end(&parts.headers),
        body,
    }
}

/// Describes a call to a plain service for routing.
pub(super) fn work_item(request: RequestId, target: &RequestTarget) -> WorkItem {
    WorkItem {
        request,
        customer: target.customer_id(),
        service: target.service.name.clone(),
        model: None,
        class: target.class,
        prefixes: Vec::new(),
        prompt_tokens: 0,
        output_tokens: 0,
        cheap_allowed: target.cheap_allowed,
        data_centres: target.data_centres(),
    }
}

/// Path and query after `/services/{service}`, as sent by the caller.
fn upstream_path(parts: &Parts, service: &str) -> String {
    let whole = parts.uri.path_and_query().map_or("/", |path| path.as_str());
    let prefix = "/services/".len() + service.len();
    let rest = whole.get(prefix..).unwrap_or_default();
    if rest.starts_with('/') {
        rest.to_owned()
    } else {
        format!("/{rest}")
    }
}

fn idempotency_key(headers: &HeaderMap) -> Result<CallKey<'_>, Rejection> {
    let value = headers
        .get(IDEMPOTENCY_HEADER)
        .ok_or_else(|| Rejection::new(ResultCode::MissingIdempotencyKey))?;
    let invalid = || {
        let message =
            format!("An Idempotency-Key has 1 to {MAX_KEY_BYTES} printable ASCII characters, no spaces.");
        Rejection::with_message(ResultCode::InvalidIdempotencyKey, message)
    };
    let text = value.to_str().map_err(|_| invalid())?;
    if headers.get_all(IDEMPOTENCY_HEADER).iter().count() > 1 {
        return Err(invalid());
    }
    CallKey::parse(text).map_err(|_| invalid())
}

/// Converts the answer of a call to an HTTP response.
///
/// # Errors
///
/// Returns a rejection for a call that was refused or whose outcome is unknown.
pub(super) fn into_response(answer: CallAnswer) -> Result<Response, Rejection> {
    match answer {
        CallAnswer::Answered {
            status,
            headers,
            body,
        } => {
            let mut response = Response::new(Body::from(body));
            *response.status_mut() = StatusCode::from_u16(status).unwrap_or(StatusCode::BAD_GATEWAY);
            *response.headers_mut() = http_headers(&headers);
            Ok(response)
        }
        CallAnswer::Failed { code, retry_after_ms } => {
            let rejection = Rejection::new(code);
            Err(match retry_after_ms {
                Some(wait) => rejection.retry_after(Duration::from_millis(wait)),
                None => rejection,
            })
        }
    }
}

async fn run_idempotent(context: &Arc<FrontContext>, call: &CallRequest) -> Result<Response, Rejection> {
    let deadline = context.now() + call.timeout;
    let admitted = context.dispatch.admit(&call.work, call.terms, deadline).await;
    let (permit, first) =
        admitted.map_err(|refusal| Rejection::new(refusal.code).retry_after(refusal.retry_after))?;
    let mut first = Some(first);
    let mut tried = Vec::new();
    let mut may_have_run = false;
    let mut last = ResultCode::NoUpstream;
    for number in 1..=MAX_ATTEMPTS {
        let attempt = AttemptId(number);
        let lease = match first.take() {
            Some(lease) => lease,
            None => match context.dispatch.choose(&call.work, attempt, &tried).await {
                Ok(lease) => lease,
                Err(_) => break,
            },
        };
        tried.push(lease.decision().upstream.clone());
        let wait = deadline.since(context.now());
        let sent = context.upstreams.send_repeatable(UpstreamCall {
            address: &lease.decision().address,
            method: &call.method,
            path: &call.path,
            headers: &call.headers,
            body: call.body.clone(),
            request: call.work.request,
            attempt,
        });
        let kind = match tokio::time::timeout(wait, sent).await {
            Ok(Ok(response)) => {
                context.with_budget(|budget| budget.on_success());
                return Ok(pass_through(permit, lease, response));
            }
            Ok(Err(kind)) => kind,
            Err(_) => FailureKind::TimedOut,
        };
        info!(
            target: DECISION_TARGET,
            request:% = call.work.request, upstream:% = lease.decision().upstream, failure:? = kind;
            "attempt failed"
        );
        lease.close(kind.attempt_outcome());
        may_have_run |= !kind.is_rejection();
        last = kind.result_code();
        let may_retry = match kind.retry_rule(true) {
            RetryRule::Free => true,
            RetryRule::Budgeted => context.with_budget(|budget| budget.try_spend(context.now())),
            RetryRule::Never => false,
        };
        if !may_retry || context.now() >= deadline {
            break;
        }
    }
    let code = if may_have_run {
        ResultCode::OutcomeUnknown
    } else {
        last
    };
    Err(Rejection::new(code).retry_after(RETRY_AFTER))
}

/// Streams an upstream's answer to the caller; if its body breaks off, the one to the caller does too.
fn pass_through(permit: AdmissionPermit, lease: AttemptLease, response: reqwest::Response) -> Response {
    lease.first_token();
    let status = response.status();
    let headers = end_to_end(response.headers());
    let body = response.bytes_stream();
    let guarded = futures::stream::unfold(Some((body, permit, lease)), |state| async {
        let (mut body, permit, lease) = state?;
        match body.next().await {
            Some(Ok(chunk)) => Some((Ok(chunk), Some((body, permit, lease)))),
            Some(Err(err)) => {
                lease.close(AttemptOutcome::Broken);
                Some((Err(err), None))
            }
            None => {
                lease.close(AttemptOutcome::Answered);
                permit.close(FinishedWork::default());
                None
            }
        }
    });
    let mut answer = Response::new(Body::from_stream(guarded));
    *answer.status_mut() = status;
    *answer.headers_mut() = headers;
    answer
}
