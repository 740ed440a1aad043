//! Long work: accepted now, answered later.

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
use super::chat::{CHAT_BODY_BYTES, check_content_type, parse, parse_for};
use super::context::FrontContext;
use super::headers::{CLASS_HEADER, DEADLINE_HEADER, IDEMPOTENCY_HEADER};
use super::reject::{Rejection, set_request_id};
use super::session::ChatSession;
use crate::jobs::{JobStatus, JobWork};

/// Deadline of a job that names none.
const DEFAULT_DEADLINE_MS: u64 = 24 * 60 * 60 * 1_000;

/// Time that a run gets at least, also behind the deadline, in milliseconds.
const SHORTEST_RUN_MS: u64 = 60 * 1_000;

/// Time to come back while a job waits or the log is down.
const RETRY_AFTER: Duration = Duration::from_secs(2);

/// A job, for its caller.
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
        bytes: CHAT_BODY_BYTES,
        silence: context.limits.send_silence,
    };
    let body = read_body(body, &parts.headers, limits).await?;
    set_default(&mut parts.headers, CLASS_HEADER, "long");
    set_default(
        &mut parts.headers,
        DEADLINE_HEADER,
        &DEFAULT_DEADLINE_MS.to_string(),
    );
    let work = parse(context, &settings, id, &parts.headers, body.clone())?;
    let accepted_ms = context.clock.unix_ms();
    let patience_ms = u64::try_from(work.target.patience.as_millis()).unwrap_or(u64::MAX);
    let print = request_fingerprint("POST", "/v1/jobs", &body);
    let head = JobHead {
        customer: work.item.customer.clone(),
        service: work.item.service.clone(),
        accepted_ms,
        deadline_ms: accepted_ms.saturating_add(patience_ms),
        tokens: work.item.prompt_tokens + work.item.output_tokens,
        fingerprint: print.0,
    };
    let job = job_id(&parts.headers, &head)?;
    let status = context.jobs.accept(job, &head, &body).await;
    let status = status.map_err(|refusal| Rejection::new(refusal.0).retry_after(RETRY_AFTER))?;
    let answer = Json(answer(job, &status, None));
    let mut response = (StatusCode::ACCEPTED, answer).into_response();
    if let Ok(location) = HeaderValue::from_str(&format!("/v1/jobs/{job}")) {
        response.headers_mut().insert(header::LOCATION, location);
    }
    Ok(response)
}

/// An id that is the same for each attempt under one idempotency key, so that a retry finds the first's job.
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
    match look_up(&context, &job, &headers).await {
        Ok(answer) => {
            let mut response = Json(answer).into_response();
            set_request_id(&mut response, id);
            response
        }
        Err(rejection) => rejection.into_answer(id),
    }
}

async fn look_up(context: &FrontContext, job: &str, headers: &HeaderMap) -> Result<JobAnswer, Rejection> {
    let settings = context.serving_settings()?;
    let unknown = || Rejection::new(ResultCode::UnknownJob);
    let job: JobId = job.parse().map_err(|_| unknown())?;
    let status = context.jobs.status(job).await.ok_or_else(unknown)?;
    check_owner(&settings, &status, headers)?;
    let (JobState::Finished { end, .. }, Some(places)) = (&status.state, &status.result) else {
        return Ok(answer(job, &status, None));
    };
    if *end != JobEnd::Answered {
        return Ok(answer(job, &status, None));
    }
    // Not `LogUnavailable`, which would call the job not run.
    let unreadable = || {
        let message = "The job has finished; its result can't be read from the log now.";
        Rejection::with_message(ResultCode::JobNotConfirmed, message).retry_after(RETRY_AFTER)
    };
    let bytes = context.jobs.result(places).await.ok_or_else(unreadable)?;
    let result = serde_json::from_slice(&bytes).map_err(|_| Rejection::new(ResultCode::Internal))?;
    Ok(answer(job, &status, Some(result)))
}

/// A job is only known to the customer whose key it came with.
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

fn answer(job: JobId, status: &JobStatus, result: Option<Value>) -> JobAnswer {
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

/// Runs jobs as chats of this instance.
pub struct ChatJobs(pub Arc<FrontContext>);

#[async_trait]
impl JobWork for ChatJobs {
    async fn run(&self, head: &JobHead, input: Bytes) -> Result<Bytes, ResultCode> {
        let context = &self.0;
        let settings = context.serving_settings().map_err(|rejection| rejection.code)?;
        let left = head.deadline_ms.saturating_sub(context.clock.unix_ms());
        let left = left.clamp(SHORTEST_RUN_MS, DEFAULT_DEADLINE_MS);
        let mut headers = HeaderMap::new();
        headers.insert(header::CONTENT_TYPE, HeaderValue::from_static("application/json"));
        set_default(&mut headers, CLASS_HEADER, "long");
        set_default(&mut headers, DEADLINE_HEADER, &left.to_string());
        let customer = match &head.customer {
            Some(name) => {
                let customer = settings.customer(name.as_str());
                Some(customer.cloned().ok_or(ResultCode::ServiceNotAllowed)?)
            }
            None => None,
        };
        let work = parse_for(context, &settings, context.new_request(), &headers, input, |_| {
            Ok(customer)
        })
        .map_err(|rejection| rejection.code)?;
        let session =
            ChatSession::start(Arc::clone(context), work.unstreamed().map_err(|err| err.code)?).await;
        let session = session.map_err(|rejection| rejection.code)?;
        session.whole_answer().await.map_err(|rejection| rejection.code)
    }
}
