//! Session of one chat, from admission to the last byte of the answer.

use std::sync::Arc;
use std::time::Duration;

use axum::http::{HeaderName, HeaderValue, Method, StatusCode};
use bytes::Bytes;
use futures::StreamExt;
use futures::stream::BoxStream;
use log::info;
use marigoldlock_core::admission::FinishedWork;
use marigoldlock_core::relay::{
    Attempt, AttemptId, BodyBuffer, FailureKind, ProgressLimits, RecoveryStep, RelayLimits, RelayStep,
    StreamRelay, StreamTotals,
};
use marigoldlock_core::routing::{AttemptOutcome, RouteRefusal, engine_priority};
use marigoldlock_core::settings::ServiceSettings;
use marigoldlock_core::time::MonoTime;
use marigoldlock_wire::engine::{ChatUsage, PRIORITY_HEADER};
use marigoldlock_wire::platform::UsageFigure;
use marigoldlock_wire::prelude::*;
use serde::Deserialize;
use serde_json::json;

use super::chat::{ChatRequestParts, with_field};
use super::context::FrontContext;
use super::kv::{CHAT_PATH, KvMover};
use super::reject::Rejection;
use crate::dispatch::{AdmissionPermit, AttemptLease};
use crate::logging::DECISION_TARGET;
use crate::upstream::{UpstreamCall, classify_error, echoed_ids};

/// Maximum size of an answer that is not streamed, in bytes.
const MAX_WHOLE_ANSWER_BYTES: usize = 16 << 20;

/// Maximum number of characters of an engine's error message that are passed on to the caller.
const MAX_ERROR_CHARS: usize = 500;

/// `Retry-After` when the chat could not be served.
const RETRY_AFTER: Duration = Duration::from_secs(1);

/// Maximum wait for the first token from an engine that makes progress on other requests.
const MAX_FIRST_TOKEN_WAIT: Duration = Duration::from_secs(60);

/// Number of times that a slow engine is checked for progress within one progress timeout.
const SLOW_ENGINE_CHECKS: u32 = 4;

/// Number of blocks after which progress is reported to routing.
const PROGRESS_REPORT_BLOCKS: u32 = 64;

/// Attempt whose answer is being read.
struct OpenAttempt {
    id: AttemptId,
    lease: AttemptLease,
    body: BoxStream<'static, reqwest::Result<Bytes>>,
    blocks: u32,
}

/// One chat of one caller.
pub(super) struct ChatSession {
    context: Arc<FrontContext>,
    work: ChatRequestParts,
    permit: Option<AdmissionPermit>,
    /// Lease for the first attempt, from admission.
    first: Option<AttemptLease>,
    relay: StreamRelay,
    deadline: MonoTime,
    open: Option<OpenAttempt>,
    started: MonoTime,
    attempt_sent: MonoTime,
    /// Extended deadline for the first token of the current attempt.
    extended_until: Option<MonoTime>,
    tried: Vec<UpstreamId>,
    may_have_run: bool,
    /// Bytes that are ready for the caller.
    pending: Vec<Bytes>,
    ended: bool,
    usage_recorded: bool,
}

impl ChatSession {
    /// Waits until the chat is admitted.
    pub(super) async fn start(context: Arc<FrontContext>, work: ChatRequestParts) -> Result<Self, Rejection> {
        let started = context.now();
        let deadline = started + work.target.timeout;
        let terms = work.target.terms();
        let admitted = context.dispatch.admit(&work.item, terms, deadline).await;
        let (permit, lease) =
            admitted.map_err(|refusal| Rejection::new(refusal.code).retry_after(refusal.retry_after))?;
        let limits = relay_limits(&work.target.service);
        let relay = StreamRelay::new(work.item.request, limits);
        Ok(Self {
            started,
            context,
            work,
            permit: Some(permit),
            first: Some(lease),
            relay,
            deadline,
            open: None,
            attempt_sent: MonoTime::ZERO,
            extended_until: None,
            tried: Vec::new(),
            may_have_run: false,
            pending: Vec::new(),
            ended: false,
            usage_recorded: false,
        })
    }

    /// The next bytes for the caller; `None` after the last.
    pub(super) async fn next_block(&mut self) -> Result<Option<Bytes>, Rejection> {
        loop {
            if let Some(block) = self.take_pending() {
                return Ok(Some(block));
            }
            if self.ended {
                return Ok(None);
            }
            let step = match self.open.take() {
                Some(open) => self.read(open).await,
                None => self.open_attempt().await.err(),
            };
            if let Some(failure) = step {
                self.recover(failure)?;
            }
        }
    }

    fn take_pending(&mut self) -> Option<Bytes> {
        match self.pending.len() {
            0 => None,
            1 => self.pending.pop(),
            _ => {
                let joined = self.pending.concat().into();
                self.pending.clear();
                Some(joined)
            }
        }
    }

    /// Starts the next attempt.
    async fn open_attempt(&mut self) -> Result<(), Failure> {
        let attempt = self.relay.begin_attempt(self.context.now());
        let lease = match self.first.take() {
            Some(lease) => lease,
            None => self.choose(attempt.id).await?,
        };
        let id = attempt.id;
        let response = match self.send(&lease, attempt).await {
            Ok(response) => response,
            Err(kind) => return Err(self.fail_attempt(lease, id, kind)),
        };
        if is_request_error(response.status()) {
            return Err(engine_error(lease, response).await);
        }
        if let Some(kind) = refusal_kind(response.status()) {
            return Err(self.fail_attempt(lease, id, kind));
        }
        let step = self
            .relay
            .on_head(id, echoed_ids(response.headers()), self.context.now());
        if let RelayStep::Failed(kind) = step {
            return Err(self.fail_attempt(lease, id, kind));
        }
        self.open = Some(OpenAttempt {
            id,
            lease,
            body: response.bytes_stream().boxed(),
            blocks: 0,
        });
        Ok(())
    }

    async fn choose(&mut self, id: AttemptId) -> Result<AttemptLease, Failure> {
        let dispatch = &self.context.dispatch;
        match dispatch.choose(&self.work.item, id, &self.tried).await {
            Ok(lease) => Ok(lease),
            // No other upstream is left; those that failed before may have recovered.
            Err(RouteRefusal::NoneAllowed) if !self.tried.is_empty() => {
                self.tried.clear();
                dispatch
                    .choose(&self.work.item, id, &[])
                    .await
                    .map_err(Failure::NoRoute)
            }
            Err(refusal) => Err(Failure::NoRoute(refusal)),
        }
    }

    async fn send(
        &mut self,
        lease: &AttemptLease,
        attempt: Attempt,
    ) -> Result<reqwest::Response, FailureKind> {
        let body = match &attempt.resume {
            None => self.work.body.clone(),
            Some(point) => {
                with_field(&self.work.body, "resume", json!(point)).map_err(|_| FailureKind::Broken)?
            }
        };
        let mut headers = self.work.headers.clone();
        let item = &self.work.item;
        let priority = HeaderValue::from(u16::from(engine_priority(item.class, item.prompt_tokens)));
        headers.insert(HeaderName::from_static(PRIORITY_HEADER), priority);
        let call = UpstreamCall {
            address: &lease.decision().address,
            method: &Method::POST,
            path: CHAT_PATH,
            headers: &headers,
            body,
            request: self.work.item.request,
            attempt: attempt.id,
        };
        let mover = KvMover {
            upstreams: &self.context.upstreams,
            work: &self.work.item,
            body: &self.work.body,
            headers: &headers,
            attempt: attempt.id,
        };
        mover.prepare(lease.decision()).await;
        self.attempt_sent = self.context.now();
        self.extended_until = None;
        self.relay.on_sent(attempt.id, self.attempt_sent);
        let wait = self.time_left();
        let sent = self.context.upstreams.send_repeatable(call);
        tokio::time::timeout(wait, sent)
            .await
            .unwrap_or(Err(FailureKind::TimedOut))
    }

    /// Time until the deadline of the current phase or of the whole answer, whichever is earlier.
    fn time_left(&self) -> Duration {
        let now = self.context.now();
        let phase = self.relay.deadline().unwrap_or(self.deadline);
        let phase = self
            .extended_until
            .map_or(phase, |extended_until| extended_until.max(phase));
        phase.min(self.deadline).since(now)
    }

    /// Extends the wait for the first token while the upstream makes progress on other requests; returns true
    /// if so.
    ///
    /// The prompt may just be queued at a busy engine; sending it to another one would only add load.
    async fn extend_wait(&mut self, lease: &AttemptLease) -> bool {
        let now = self.context.now();
        if now >= self.deadline || now.since(self.attempt_sent) >= MAX_FIRST_TOKEN_WAIT {
            return false;
        }
        let progress = Duration::from_millis(self.work.target.service.progress_timeout_ms);
        if self.context.dispatch.silence(&lease.decision().upstream).await >= progress {
            return false;
        }
        self.extended_until = Some(now + progress / SLOW_ENGINE_CHECKS);
        true
    }

    async fn read(&mut self, mut open: OpenAttempt) -> Option<Failure> {
        let wait = self.time_left();
        let chunk = match tokio::time::timeout(wait, open.body.next()).await {
            Err(_) if open.blocks == 0 && self.extend_wait(&open.lease).await => {
                self.open = Some(open);
                return None;
            }
            Err(_) => return Some(self.fail_attempt(open.lease, open.id, self.relay.timeout_kind())),
            Ok(None) => return Some(self.fail_attempt(open.lease, open.id, FailureKind::Broken)),
            Ok(Some(Err(err))) => {
                let kind = match classify_error(&err) {
                    FailureKind::TimedOut => FailureKind::TimedOut,
                    _ => FailureKind::Broken,
                };
                return Some(self.fail_attempt(open.lease, open.id, kind));
            }
            Ok(Some(Ok(chunk))) => chunk,
        };
        let step = self
            .relay
            .on_chunk(open.id, chunk, self.context.now(), &mut self.pending);
        match step {
            RelayStep::Failed(kind) => Some(self.fail_attempt(open.lease, open.id, kind)),
            RelayStep::Ended(totals) => {
                open.lease.close(AttemptOutcome::Answered);
                self.finish(totals);
                None
            }
            RelayStep::Continue | RelayStep::Stale => {
                if open.blocks == 0 {
                    self.record_first_token();
                }
                report_progress(&mut open);
                self.open = Some(open);
                None
            }
        }
    }

    fn record_first_token(&self) {
        let waited = self.context.now().since(self.started).as_secs_f64();
        let service = self.work.item.service.to_string();
        metrics::histogram!("marigoldlock_first_token_seconds", "service" => service).record(waited);
    }

    fn fail_attempt(&mut self, lease: AttemptLease, id: AttemptId, kind: FailureKind) -> Failure {
        let upstream = lease.decision().upstream.clone();
        info!(
            target: DECISION_TARGET,
            request:% = self.work.item.request, attempt = id.0, upstream:%, failure:? = kind;
            "attempt failed"
        );
        lease.close(kind.attempt_outcome());
        self.tried.push(upstream);
        self.may_have_run |= !kind.is_rejection();
        Failure::Attempt { id, kind }
    }

    /// Decides whether to continue after a failure; returns the rejection if not.
    fn recover(&mut self, failure: Failure) -> Result<(), Rejection> {
        let now = self.context.now();
        let (id, kind) = match failure {
            Failure::NoRoute(refusal) => return Err(self.give_up(refusal.code())),
            Failure::RequestRejected(message) => {
                let rejection = self.give_up(ResultCode::UpstreamFailed);
                return Err(Rejection {
                    message,
                    retry_after: None,
                    ..rejection
                });
            }
            Failure::Attempt { id, kind } => (id, kind),
        };
        if now >= self.deadline {
            return Err(self.give_up(kind.result_code()));
        }
        let relay = &mut self.relay;
        match self
            .context
            .with_budget(|budget| relay.on_attempt_failed(id, kind, budget, now))
        {
            RecoveryStep::Retry | RecoveryStep::Resume(_) | RecoveryStep::Stale => Ok(()),
            RecoveryStep::Complete { tail, totals } => {
                self.pending.push(tail);
                self.finish(totals);
                Ok(())
            }
            RecoveryStep::GiveUp(code) => Err(self.give_up(code)),
        }
    }

    fn give_up(&mut self, code: ResultCode) -> Rejection {
        self.ended = true;
        self.record_usage(self.relay.totals());
        let code = consistent_code(code, self.may_have_run, self.relay.has_output());
        Rejection::new(code).retry_after(RETRY_AFTER)
    }

    fn finish(&mut self, totals: StreamTotals) {
        self.ended = true;
        self.context.with_budget(|budget| budget.on_success());
        self.record_usage(totals);
    }

    /// Records the usage of the chat for its customer, at most once.
    fn record_usage(&mut self, totals: StreamTotals) {
        if std::mem::replace(&mut self.usage_recorded, true) {
            return;
        }
        let prompt_tokens = totals
            .usage
            .map_or(self.work.item.prompt_tokens, |usage| usage.prompt_tokens);
        let output_tokens = totals
            .usage
            .map_or(totals.tokens, |usage| usage.completion_tokens);
        let work = FinishedWork {
            prompt_tokens,
            output_tokens,
        };
        if let Some(permit) = self.permit.take() {
            permit.close(work);
        }
        let service = self.work.item.service.to_string();
        metrics::counter!("marigoldlock_chats_total", "service" => service.clone()).increment(1);
        metrics::counter!("marigoldlock_output_tokens_total", "service" => service).increment(output_tokens);
        let served = output_tokens > 0;
        if let (true, Some(customer)) = (served, &self.work.item.customer) {
            self.context.usage.record(
                customer,
                UsageFigure {
                    requests: 1,
                    prompt_tokens,
                    output_tokens,
                },
            );
        }
    }

    /// Reads an answer that is not streamed; only a complete one is returned.
    pub(super) async fn read_whole_answer(mut self) -> Result<Bytes, Rejection> {
        loop {
            if let Err(failure) = self.open_attempt().await {
                self.recover(failure)?;
                continue;
            }
            let Some(open) = self.open.take() else { continue };
            match self.read_whole(open).await {
                Ok(body) => return Ok(body),
                Err(failure) => self.recover(failure)?,
            }
        }
    }

    async fn read_whole(&mut self, mut open: OpenAttempt) -> Result<Bytes, Failure> {
        let mut body = BodyBuffer::new(open.id, MAX_WHOLE_ANSWER_BYTES);
        loop {
            let wait = self.deadline.since(self.context.now());
            let kind = match tokio::time::timeout(wait, open.body.next()).await {
                Err(_) => FailureKind::TimedOut,
                Ok(Some(Err(_))) => FailureKind::Broken,
                Ok(Some(Ok(chunk))) => match body.push(open.id, chunk) {
                    Ok(()) => continue,
                    Err(_) => FailureKind::Broken,
                },
                Ok(None) => match body
                    .finish(None)
                    .and_then(|body| Some((parse_usage(&body)?, body)))
                {
                    Some((usage, body)) => {
                        open.lease.first_token();
                        open.lease.close(AttemptOutcome::Answered);
                        let totals = StreamTotals {
                            usage: Some(usage),
                            ..self.relay.totals()
                        };
                        self.finish(totals);
                        return Ok(body);
                    }
                    None => FailureKind::Broken,
                },
            };
            return Err(self.fail_attempt(open.lease, open.id, kind));
        }
    }
}

/// Records the usage of a caller that disconnects early, up to what it has received.
impl Drop for ChatSession {
    fn drop(&mut self) {
        self.record_usage(self.relay.totals());
    }
}

/// Reason why the current attempt yields no more bytes.
enum Failure {
    /// No upstream can take another attempt.
    NoRoute(RouteRefusal),
    /// The engine rejected the request as invalid; another engine would do the same.
    RequestRejected(String),
    /// The attempt failed.
    Attempt { id: AttemptId, kind: FailureKind },
}

fn relay_limits(service: &ServiceSettings) -> RelayLimits {
    let progress = Duration::from_millis(service.progress_timeout_ms);
    RelayLimits {
        progress: ProgressLimits {
            first_token: progress,
            between_tokens: progress,
            ..ProgressLimits::default()
        },
        ..RelayLimits::default()
    }
}

/// Adjusts a result code to the earlier attempts: it may report `not run` only if no attempt can have run.
fn consistent_code(code: ResultCode, may_have_run: bool, opened: bool) -> ResultCode {
    match (code.execution(), opened, may_have_run) {
        (Execution::NotRun, true, _) => ResultCode::StreamBroken,
        (Execution::NotRun, false, true) => ResultCode::OutcomeUnknown,
        _ => code,
    }
}

/// Returns true for a status that reports an error in the request itself.
fn is_request_error(status: StatusCode) -> bool {
    status.is_client_error()
        && status != StatusCode::TOO_MANY_REQUESTS
        && status != StatusCode::REQUEST_TIMEOUT
}

/// Builds a failure with the error message of the engine.
async fn engine_error(lease: AttemptLease, response: reqwest::Response) -> Failure {
    let status = response.status();
    let text = response.text().await.unwrap_or_default();
    lease.close(AttemptOutcome::Answered);
    let excerpt: String = text.chars().take(MAX_ERROR_CHARS).collect();
    Failure::RequestRejected(format!("The engine answered {status}: {excerpt}"))
}

/// Failure kind of an error status of an engine; `None` for an answer that is read.
fn refusal_kind(status: StatusCode) -> Option<FailureKind> {
    match status {
        StatusCode::OK => None,
        StatusCode::SERVICE_UNAVAILABLE | StatusCode::TOO_MANY_REQUESTS => Some(FailureKind::Refused),
        _ => Some(FailureKind::Broken),
    }
}

fn report_progress(open: &mut OpenAttempt) {
    if open.blocks == 0 {
        open.lease.first_token();
    } else if open.blocks.is_multiple_of(PROGRESS_REPORT_BLOCKS) {
        open.lease.progress();
    }
    open.blocks = open.blocks.saturating_add(1);
}

#[derive(Deserialize)]
struct UsageOnly {
    usage: ChatUsage,
}

fn parse_usage(body: &[u8]) -> Option<ChatUsage> {
    serde_json::from_slice::<UsageOnly>(body)
        .ok()
        .map(|body| body.usage)
}
