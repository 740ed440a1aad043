//! Running non-idempotent calls at plain services.

use std::sync::Arc;
use std::time::Duration;

use axum::http::{HeaderMap, HeaderName, HeaderValue, Method};
use bytes::Bytes;
use log::info;
use marigoldlock_core::admission::FinishedWork;
use marigoldlock_core::calls::CallOutcome;
use marigoldlock_core::relay::{AttemptId, FailureKind};
use marigoldlock_core::routing::AttemptOutcome;
use marigoldlock_core::time::MonoTime;
use marigoldlock_wire::peer::CallAnswer;
use marigoldlock_wire::prelude::*;

use super::gate::SendGate;
use crate::clock::TimeSource;
use crate::dispatch::{AttemptLease, CustomerTerms, DispatchHandle, WorkItem};
use crate::logging::DECISION_TARGET;
use crate::upstream::{UpstreamCall, UpstreamClient};

/// Maximum size of an answer, in bytes.
const MAX_ANSWER_BYTES: usize = 16 << 20;

/// Maximum number of attempts to connect to an upstream before the call is refused.
const MAX_ATTEMPTS: u32 = 4;

/// `Retry-After` when no upstream could be reached.
const RETRY_AFTER: Duration = Duration::from_secs(1);

/// A call to a plain service.
#[derive(Clone, Debug)]
pub struct CallRequest {
    /// Description of the call for routing.
    pub work: Arc<WorkItem>,
    /// Weight and limits of the customer.
    pub terms: CustomerTerms,
    /// Time until the whole answer must have arrived.
    pub timeout: Duration,
    /// HTTP method.
    pub method: Method,
    /// Path and query at the service.
    pub path: String,
    /// End-to-end headers.
    pub headers: HeaderMap,
    /// Body.
    pub body: Bytes,
}

/// Runs non-idempotent calls.
#[derive(Clone)]
pub struct CallRunner {
    /// Handle to the dispatch actor.
    pub dispatch: DispatchHandle,
    /// Client for upstreams.
    pub upstreams: UpstreamClient,
    /// Clock of the instance.
    pub clock: Arc<dyn TimeSource>,
}

impl CallRunner {
    /// Runs a call at most once.
    ///
    /// Another upstream is tried only if no byte was sent to the previous one. Nothing is sent after the gate
    /// has closed.
    pub async fn run(&self, call: &CallRequest, gate: &SendGate) -> (CallAnswer, CallOutcome) {
        let deadline = self.clock.now() + call.timeout;
        let (permit, first) = match self.dispatch.admit(&call.work, call.terms, deadline).await {
            Ok(admitted) => admitted,
            Err(refusal) => return not_run(refusal.code, refusal.retry_after),
        };
        let mut first = Some(first);
        let mut tried = Vec::new();
        for number in 1..=MAX_ATTEMPTS {
            let attempt = AttemptId(number);
            let lease = match first.take() {
                Some(lease) => lease,
                None => match self.dispatch.choose(&call.work, attempt, &tried).await {
                    Ok(lease) => lease,
                    Err(refusal) => return not_run(refusal.code(), RETRY_AFTER),
                },
            };
            tried.push(lease.decision().upstream.clone());
            match self.attempt(call, gate, &lease, attempt, deadline).await {
                Ok(answer) => {
                    lease.first_token();
                    lease.close(AttemptOutcome::Answered);
                    permit.close(FinishedWork::default());
                    return (answer.clone(), CallOutcome::Answered(Arc::new(answer)));
                }
                Err(FailureKind::NotConnected) => lease.close(FailureKind::NotConnected.attempt_outcome()),
                Err(kind) => {
                    info!(
                        target: DECISION_TARGET,
                        request:% = call.work.request, upstream:% = lease.decision().upstream, failure:? = kind;
                        "call outcome unknown"
                    );
                    lease.close(kind.attempt_outcome());
                    permit.close(FinishedWork::default());
                    return (
                        failed_answer(ResultCode::OutcomeUnknown, None),
                        CallOutcome::Unknown,
                    );
                }
            }
        }
        not_run(ResultCode::NoUpstream, RETRY_AFTER)
    }

    async fn attempt(
        &self,
        call: &CallRequest,
        gate: &SendGate,
        lease: &AttemptLease,
        attempt: AttemptId,
        deadline: MonoTime,
    ) -> Result<CallAnswer, FailureKind> {
        let now = self.clock.now();
        if !gate.is_open() || now >= deadline {
            return Err(FailureKind::NotConnected);
        }
        let sent = self.upstreams.send_once(UpstreamCall {
            address: &lease.decision().address,
            method: &call.method,
            path: &call.path,
            headers: &call.headers,
            body: call.body.clone(),
            request: call.work.request,
            attempt,
        });
        let read = async { read_answer(sent.await?).await };
        tokio::time::timeout(deadline.since(now), read)
            .await
            .unwrap_or(Err(FailureKind::TimedOut))
    }
}

async fn read_answer(mut response: reqwest::Response) -> Result<CallAnswer, FailureKind> {
    let status = response.status().as_u16();
    let headers = wire_headers(&crate::front::end_to_end(response.headers()));
    let mut body = Vec::new();
    while let Some(chunk) = response.chunk().await.map_err(|_| FailureKind::Broken)? {
        if body.len() + chunk.len() > MAX_ANSWER_BYTES {
            return Err(FailureKind::Broken);
        }
        body.extend_from_slice(&chunk);
    }
    Ok(CallAnswer::Answered {
        status,
        headers,
        body: body.into(),
    })
}

fn not_run(code: ResultCode, retry_after: Duration) -> (CallAnswer, CallOutcome) {
    (failed_answer(code, Some(retry_after)), CallOutcome::NotRun)
}

/// Creates an answer that carries only a result code.
pub(crate) fn failed_answer(code: ResultCode, retry_after: Option<Duration>) -> CallAnswer {
    let retry_after_ms = retry_after.map(|wait| u64::try_from(wait.as_millis()).unwrap_or(u64::MAX));
    CallAnswer::Failed { code, retry_after_ms }
}

/// Converts headers to the form sent between instances.
pub(crate) fn wire_headers(headers: &HeaderMap) -> Vec<(String, Bytes)> {
    headers
        .iter()
        .map(|(name, value)| (name.as_str().to_owned(), Bytes::copy_from_slice(value.as_bytes())))
        .collect()
}

/// Converts headers received from another instance; invalid ones are dropped.
pub(crate) fn http_headers(headers: &[(String, Bytes)]) -> HeaderMap {
    let pairs = headers.iter().filter_map(|(name, value)| {
        Some((
            name.parse::<HeaderName>().ok()?,
            HeaderValue::from_bytes(value).ok()?,
        ))
    });
    let mut map = HeaderMap::new();
    for (name, value) in pairs {
        map.append(name, value);
    }
    map
}
