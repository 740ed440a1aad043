//! Batch jobs: accepted now, answered later.

use std::sync::Arc;
use std::time::Duration;

use async_trait::async_trait;
use axum::Json;
use axum::extract::{Path, Request, State};
use axum::http::{HeaderMap, HeaderValue, StatusCode, header};
use axum::response::{IntoResponse, Response};
use bytes::Bytes;
use marigoldlock_core::calls::{CallIdentity, request_fingerprint};
use marigoldlock_core::jobs::{DeadlineOutlook, JobState};
use marigoldlock_core::settings::ActiveSettings;
use marigoldlock_wire::prelude::*;
use marigoldlock_wire::record::jobs::{JobEnd, JobHead, JobId};
use serde::Serialize;
use serde_json::Value;

use super::auth::authorize;
use super::body::{BodyLimits, read_body};
use super::chat::{MAX_CHAT_BODY_BYTES, check_content_type, parse_chat, parse_chat_for};
use super::context::FrontContext;
use super::headers::{CLASS_HEADER, DEADLINE_HEADER, IDEMPOTENCY_HEADER};
use super::reject::{Rejection, set_request_id};
use super::session::ChatSession;
use crate::jobs::{JobRunner, JobStatus};

/// Default deadline of a job, in milliseconds after it is accepted.
const DEFAULT_DEADLINE_MS: u64 = 24 * 60 * 60 * 1_000;

/// Minimum time for a run, even after the deadline of the job, in milliseconds.
const MIN_RUN_MS: u64 = 60 * 1_000;

/// `Retry-After` when a job was not accepted or its result can't be read.
const RETRY_AFTER: Duration = Duration::from_secs(2);

/// JSON answer with the state of a job.
#[derive(Debug, Serialize)]
struct JobAnswer {
    id: String,
    state: &'static str,
    deadline_ms: u64,
    outlook: DeadlineOutlook,
    #[serde(skip_serializing_if = "Option::is_none")]
    code: Option<u16>,
    #[serde(skip_serializing_if = "Option::is_none")]
    result: Option<Value>,
}

/// `POST /v1/jobs` with a chat request.
pub(super) async fn submit(State(context): State<Arc<FrontContext>>, request: Request) -> Response {
    let id = context.new_request();
    match accept(&context, id, request).await {
        Ok(mut response) => {
            set_request_id(&mut response, id);
            response
        }
        Err(rejection) => rejection.into_answer(id),
    }
}

async fn accept(context: &Arc<FrontContext>, id: RequestId, request: Request) -> Result<Response, Rejection> {
    let settings = context.serving_settings()?;
    let (mut parts, body) = request.into_parts();
    check_content_type(&parts.headers)?;
    let limits = BodyLimits {
        max_bytes: MAX_CHAT_BODY_BYTES,
        idle_timeout: context.limits.body_idle_timeout,
    };
    let body = read_body(body, &parts.headers, limits).await?;
    set_default(&mut parts.headers, CLASS_HEADER, "long");
    set_default(
        &mut parts.headers,
        DEADLINE_HEADER,
        &DEFAULT_DEADLINE_MS.to_string(),
    );
    let work = parse_chat(context, &settings, id, &parts.headers, body.clone())?;
    let accepted_ms = context.clock.unix_ms();
    let timeout_ms = u64::try_from(work.target.timeout.as_millis()).unwrap_or(u64::MAX);
    let fingerprint = request_fingerprint("POST", "/v1/jobs", &body);
    let head = JobHead {
        customer: work.item.customer.clone(),
        service: work.item.service.clone(),
        accepted_ms,
        deadline_ms: accepted_ms.saturating_add(timeout_ms),
        tokens: work.item.prompt_tokens + work.item.output_tokens,
        fingerprint: fingerprint.0,
    };
    let job = job_id(&parts.headers, &head)?;
    let status = context.jobs.accept(job, &head, &body).await;
    let status = status.map_err(|refusal| Rejection::new(refusal.0).retry_after(RETRY_AFTER))?;
    let answer = Json(job_answer(job, &status, None));
    let mut response = (StatusCode::ACCEPTED, answer).into_response();
    if let Ok(location) = HeaderValue::from_str(&format!("/v1/jobs/{job}")) {
        response.headers_mut().insert(header::LOCATION, location);
    }
    Ok(response)
}

/// Derives the job id from the idempotency key, so that a retry finds the job of the first attempt. Without a
/// key the id is random.
fn job_id(headers: &HeaderMap, head: &JobHead) -> Result<JobId, Rejection> {
    let Some(key) = headers.get(IDEMPOTENCY_HEADER) else {
        return Ok(JobId(rand::random()));
    };
    let key = key
        .to_str()
        .map_err(|_| Rejection::new(ResultCode::InvalidIdempotencyKey))?;
    let name = CallIdentity {
        customer: head.customer.as_ref().map(CustomerId::as_str),
        service: head.service.as_str(),
        key,
    };
    Ok(JobId(name.hash().0))
}

fn set_default(headers: &mut HeaderMap, name: &'static str, value: &str) {
    if let (false, Ok(value)) = (headers.contains_key(name), HeaderValue::from_str(value)) {
        headers.insert(name, value);
    }
}

/// `GET /v1/jobs/{id}`.
pub(super) async fn show(
    State(context): State<Arc<FrontContext>>,
    Path(job): Path<String>,
    headers: HeaderMap,
) -> Response {
    let id = context.new_request();
    match find_job(&context, &job, &headers).await {
        Ok(answer) => {
            let mut response = Json(answer).into_response();
            set_request_id(&mut response, id);
            response
        }
        Err(rejection) => rejection.into_answer(id),
    }
}

async fn find_job(context: &FrontContext, job: &str, headers: &HeaderMap) -> Result<JobAnswer, Rejection> {
    let settings = context.serving_settings()?;
    let unknown = || Rejection::new(ResultCode::UnknownJob);
    let job: JobId = job.parse().map_err(|_| unknown())?;
    let status = context.jobs.status(job).await.ok_or_else(unknown)?;
    check_owner(&settings, &status, headers)?;
    let (JobState::Finished { end, .. }, Some(positions)) = (&status.state, &status.result) else {
        return Ok(job_answer(job, &status, None));
    };
    if *end != JobEnd::Answered {
        return Ok(job_answer(job, &status, None));
    }
    // Not `LogUnavailable`, which would report that the job has not run.
    let unreadable = || {
        let message = "The job has finished; its result can't be read from the log now.";
        Rejection::with_message(ResultCode::JobNotConfirmed, message).retry_after(RETRY_AFTER)
    };
    let bytes = context.jobs.result(positions).await.ok_or_else(unreadable)?;
    let result = serde_json::from_slice(&bytes).map_err(|_| Rejection::new(ResultCode::Internal))?;
    Ok(job_answer(job, &status, Some(result)))
}

/// Rejects the request unless it comes from the customer who submitted the job.
fn check_owner(settings: &ActiveSettings, status: &JobStatus, headers: &HeaderMap) -> Result<(), Rejection> {
    let Some(owner) = &status.head.customer else {
        return Ok(());
    };
    let unknown = || Rejection::new(ResultCode::UnknownJob);
    let service = settings
        .service(status.head.service.as_str())
        .ok_or_else(unknown)?;
    let customer = authorize(settings, service, headers)?;
    match customer {
        Some(customer) if customer.name == *owner => Ok(()),
        _ => Err(unknown()),
    }
}

fn job_answer(job: JobId, status: &JobStatus, result: Option<Value>) -> JobAnswer {
    let (state, code) = match &status.state {
        JobState::Partial | JobState::Accepted => ("accepted", None),
        JobState::Claimed { .. } => ("running", None),
        JobState::Finished {
            end: JobEnd::Answered,
            ..
        } => ("finished", None),
        JobState::Finished {
            end: JobEnd::Failed(code),
            ..
        } => ("failed", Some(code.number())),
    };
    JobAnswer {
        id: job.to_string(),
        state,
        deadline_ms: status.head.deadline_ms,
        outlook: status.outlook,
        code,
        result,
    }
}

/// Runs jobs as chat requests on this instance.
pub struct ChatJobRunner(pub Arc<FrontContext>);

#[async_trait]
impl JobRunner for ChatJobRunner {
    async fn run(&self, head: &JobHead, input: Bytes) -> Result<Bytes, ResultCode> {
        let context = &self.0;
        let settings = context.serving_settings().map_err(|rejection| rejection.code)?;
        let left_ms = head.deadline_ms.saturating_sub(context.clock.unix_ms());
        let left_ms = left_ms.clamp(MIN_RUN_MS, DEFAULT_DEADLINE_MS);
        let mut headers = HeaderMap::new();
        headers.insert(header::CONTENT_TYPE, HeaderValue::from_static("application/json"));
        set_default(&mut headers, CLASS_HEADER, "long");
        set_default(&mut headers, DEADLINE_HEADER, &left_ms.to_string());
        let customer = match &head.customer {
            Some(name) => {
                let customer = settings.customer(name.as_str());
                Some(customer.cloned().ok_or(ResultCode::ServiceNotAllowed)?)
            }
            None => None,
        };
        let work = parse_chat_for(context, &settings, context.new_request(), &headers, input, |_| {
            Ok(customer)
        })
        .map_err(|rejection| rejection.code)?;
        let session = ChatSession::start(
            Arc::clone(context),
            work.without_streaming().map_err(|err| err.code)?,
        )
        .await;
        let session = session.map_err(|rejection| rejection.code)?;
        session
            .read_whole_answer()
            .await
            .map_err(|rejection| rejection.code)
    }
}
