//! One request: checks, attempts, and the answer of a call that is no stream.

use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use http::{Request, Response, StatusCode, header, request};
use http_body_util::{BodyExt, Limited};
use hyper::body::Incoming;
use marigoldlock_core::gateway::choice::{ChoiceContext, pick_plain};
use marigoldlock_core::gateway::outcome::{AttemptFailure, AttemptHistory};
use marigoldlock_core::gateway::prelude::*;
use marigoldlock_core::gateway::route::KeyOwner;
use marigoldlock_core::prelude::*;
use rand::Rng;

use crate::logging::DECISION_TARGET;

use super::Gateway;
use super::attempt::AttemptPlan;
use super::respond::{AnswerBody, finish, refuse, whole};
use super::stream;
use super::work::WorkGuard;

/// Silence of an upstream after which a repeatable call is sent to another, in latency objectives.
const SILENT_OBJECTIVES: u32 = 3;

/// Shortest silence after which a repeatable call is sent to another.
const SILENCE_LEAST: Duration = Duration::from_millis(150);

/// When a caller may come back after a refusal for want of an upstream: a few of the shortest requests.
const COME_BACK: Duration = Duration::from_millis(300);

/// When a caller may come back to an instance that has no settings yet.
const COME_BACK_STARTING: Duration = Duration::from_millis(600);

/// A request with what was decided about it.
pub struct Call {
    pub gateway: Arc<Gateway>,
    pub head: CallHead,
    pub parts: request::Parts,
    pub body: Bytes,
    pub route: Arc<RouteRule>,
    pub service: ServiceId,
    pub owner: Option<KeyOwner>,
    pub arrived: MonoTime,
    pub deadline: MonoTime,
    pub ledger: AttemptHistory,
    pub tried: Vec<UpstreamId>,
    /// Memory of one of the service's engines, in tokens.
    pub kv_tokens: u64,
    /// Events passed on so far.
    pub events: u64,
    /// When the first event was passed on.
    pub first_event_at: Option<MonoTime>,
    is_counted: bool,
}

/// Serves one request of a caller.
pub async fn serve(gateway: Arc<Gateway>, request: Request<Incoming>) -> Response<AnswerBody> {
    let arrived = gateway.now();
    let (parts, body) = request.into_parts();
    let head = gateway.parts.caller.read_call(&parts);
    let Some(settings) = gateway.state().settings.clone() else {
        let refusal = Refusal::new(RefusalCause::NotReady).retry_after(COME_BACK_STARTING);
        return refuse(&gateway, &head, None, refusal);
    };
    let Some(route) = settings.route(host(&parts), parts.uri.path()).cloned() else {
        return refuse(&gateway, &head, None, Refusal::new(RefusalCause::NoRoute));
    };
    let mut owner = None;
    if settings.has_keys() && !route.is_anonymous {
        owner = head
            .api_key
            .as_deref()
            .and_then(|key| settings.key_owner(key))
            .cloned();
        if owner.is_none() {
            return refuse(
                &gateway,
                &head,
                Some(&route.name),
                Refusal::new(RefusalCause::UnknownKey),
            );
        }
    }
    let body = match Limited::new(body, settings.limits.body_bytes).collect().await {
        Ok(body) => body.to_bytes(),
        Err(err) if err.is::<http_body_util::LengthLimitError>() => {
            return refuse(
                &gateway,
                &head,
                Some(&route.name),
                Refusal::new(RefusalCause::BodyTooLarge),
            );
        }
        Err(err) => {
            log::info!(request = head.attempt_id, error:% = err; "the caller's body broke off");
            return refuse(
                &gateway,
                &head,
                Some(&route.name),
                Refusal::new(RefusalCause::Malformed),
            );
        }
    };
    let Some(service) = route.service(rand::rng().random()).cloned() else {
        return refuse(
            &gateway,
            &head,
            Some(&route.name),
            Refusal::new(RefusalCause::NoUpstream),
        );
    };
    let patience = head.timeout.unwrap_or(route.timeout).min(route.timeout);
    let engine = settings
        .service(service.as_str())
        .and_then(|rule| rule.engine.as_ref());
    let call = Call {
        kv_tokens: engine.map_or(0, |engine| engine.kv_tokens),
        gateway,
        head,
        parts,
        body,
        service,
        owner,
        arrived,
        deadline: arrived + patience,
        ledger: AttemptHistory::default(),
        tried: Vec::new(),
        events: 0,
        first_event_at: None,
        is_counted: false,
        route,
    };
    call.count_request();
    if call.route.kind.is_stream() {
        stream::serve(call).await
    } else {
        call.serve_plain().await
    }
}

fn host(parts: &request::Parts) -> &str {
    let named = parts
        .headers
        .get(header::HOST)
        .and_then(|value| value.to_str().ok());
    named.or_else(|| parts.uri.host()).unwrap_or_default()
}

impl Call {
    /// Time until the answer is due.
    pub fn time_left(&self) -> Duration {
        self.deadline.since(self.gateway.now())
    }

    /// Rank among requests, 0 to 9; a customer's own goes before the route's.
    pub fn rank(&self) -> u8 {
        let owner = self.owner.as_ref().and_then(|owner| owner.priority);
        owner.unwrap_or(self.route.priority).min(9)
    }

    /// Where and when an upstream is chosen.
    pub fn point(&self) -> ChoiceContext<'_> {
        ChoiceContext {
            data_centre: &self.gateway.parts.card.data_centre,
            now: self.gateway.now(),
        }
    }

    fn count_request(&self) {
        let now = self.gateway.now();
        let limits = self.gateway.bounds().budget;
        let mut state = self.gateway.state();
        state
            .budgets
            .entry(self.service.clone())
            .or_default()
            .count_request(now, &limits);
    }

    /// Takes a repeat from the service's budget.
    pub fn try_retry(&self) -> bool {
        let now = self.gateway.now();
        let limits = self.gateway.bounds().budget;
        let mut state = self.gateway.state();
        let instances = state.instances();
        state
            .budgets
            .entry(self.service.clone())
            .or_default()
            .try_retry(now, &limits, instances)
    }

    /// True if the request may be sent to one more upstream; takes it from the budget.
    pub fn may_send(&self) -> bool {
        self.ledger.may_send(self.route.kind, self.route.max_attempts)
            && !self.time_left().is_zero()
            && (self.ledger.sent() == 0 || self.try_retry())
    }

    /// Counts the request as begun, once, for its customer's usage.
    pub fn count_begun(&mut self) {
        if std::mem::replace(&mut self.is_counted, true) {
            return;
        }
        if let Some(owner) = &self.owner {
            self.gateway.count_usage(&owner.customer);
        }
    }

    /// The refusal when nothing more is sent.
    pub fn refusal(&self) -> Refusal {
        let refusal = Refusal::new(self.ledger.refusal(self.time_left().is_zero()));
        if refusal.cause.is_not_run() {
            refusal.retry_after(COME_BACK)
        } else {
            refusal
        }
    }

    /// Answers with a refusal.
    pub fn refuse(&self, refusal: Refusal) -> Response<AnswerBody> {
        refuse(&self.gateway, &self.head, Some(&self.route.name), refusal)
    }

    /// Requests at an upstream, as far as is known.
    pub fn requests_at(&self, entry: &UpstreamEntry) -> u32 {
        let state = self.gateway.state();
        state
            .upstreams
            .get(&entry.id)
            .map_or(0, |upstream| upstream.own.requests + upstream.peers.requests)
    }

    /// Logs the end of the request.
    pub fn log_done(&self, outcome: &str, status: StatusCode) {
        let elapsed = self.gateway.now().since(self.arrived);
        log::info!(
            target: DECISION_TARGET,
            request = self.head.attempt_id, route = self.route.name, outcome, status = status.as_u16(),
            attempts = self.ledger.sent(), events = self.events,
            first_event_ms = self.first_event_at.map_or(0, |at| at.since(self.arrived).as_millis() as u64), elapsed_ms = elapsed.as_millis() as u64;
            "request ended"
        );
        metrics::counter!("gateway_requests_total", "outcome" => outcome.to_owned()).increment(1);
        metrics::histogram!("gateway_request_seconds").record(elapsed.as_secs_f64());
    }

    /// Notes how an attempt failed, for the request and for the upstream.
    pub fn note_failure(&mut self, entry: &UpstreamEntry, failure: AttemptFailure) {
        self.ledger.record(failure);
        self.note_health(entry, failure);
    }

    /// Notes a failure for the upstream only, where nothing of the request could have run.
    pub fn note_health(&mut self, entry: &UpstreamEntry, failure: AttemptFailure) {
        self.tried.push(entry.id.clone());
        let now = self.gateway.now();
        let mut state = self.gateway.state();
        let upstream = state.upstream(&entry.id);
        let is_ejected = match failure {
            AttemptFailure::NotRun => {
                upstream.record_full(now);
                false
            }
            AttemptFailure::Errored => false,
            AttemptFailure::NotSent | AttemptFailure::OtherUpstream => upstream.record_unreachable(now),
            _ => upstream.record_failure(now),
        };
        drop(state);
        log::info!(
            target: DECISION_TARGET,
            request = self.head.attempt_id, upstream:% = entry.id, failure = failure.as_str(), set_aside = is_ejected,
            attempts = self.ledger.sent();
            "attempt failed"
        );
        metrics::counter!("gateway_attempt_failures_total", "failure" => failure.as_str()).increment(1);
    }

    async fn serve_plain(mut self) -> Response<AnswerBody> {
        let mut fallback = None;
        while self.may_send() {
            let Some((entry, has_others)) = self.choose_plain() else {
                break;
            };
            let mut patience = self.time_left();
            if self.route.kind.is_retryable()
                && has_others
                && self.ledger.sent() + 1 < self.route.max_attempts
            {
                patience = patience.min(SILENCE_LEAST.max(self.route.target_latency * SILENT_OBJECTIVES));
            }
            self.ledger.count_sent();
            let guard = WorkGuard::open(&self.gateway, &entry.id, 0);
            let result = self.exchange(&entry, patience).await;
            drop(guard);
            match result {
                Ok(answer) if answer.status() == StatusCode::INTERNAL_SERVER_ERROR => {
                    self.count_begun();
                    self.note_failure(&entry, AttemptFailure::Errored);
                    fallback = Some(answer);
                }
                Ok(answer) => {
                    self.count_begun();
                    return self.deliver(answer);
                }
                Err(failure) => {
                    if failure == AttemptFailure::NotSent {
                        self.ledger.count_not_sent();
                    }
                    self.note_failure(&entry, failure);
                }
            }
        }
        match fallback {
            Some(answer) => self.deliver(answer),
            None => self.refuse(self.refusal()),
        }
    }

    fn deliver(&self, answer: Response<Bytes>) -> Response<AnswerBody> {
        self.log_done("answered", answer.status());
        finish(&self.gateway, answer.map(whole))
    }

    fn choose_plain(&self) -> Option<(UpstreamEntry, bool)> {
        let point = self.point();
        let state = self.gateway.state();
        let candidates = state.candidates(&self.service, |_| true, &self.tried, point.now);
        let has_others = candidates.len() > 1;
        let entry = pick_plain(candidates.iter().copied(), point, rand::rng().random())?;
        log::info!(
            target: DECISION_TARGET,
            request = self.head.attempt_id, upstream:% = entry.id, candidates = candidates.len(),
            load = state.upstreams.get(&entry.id).map_or(0, |upstream| upstream.requests(point.now));
            "upstream chosen"
        );
        Some((entry.clone(), has_others))
    }

    /// Sends the request and reads the whole answer.
    async fn exchange(
        &self,
        entry: &UpstreamEntry,
        patience: Duration,
    ) -> Result<Response<Bytes>, AttemptFailure> {
        let plan = AttemptPlan {
            patience,
            last_event: self.head.last_event,
            ..AttemptPlan::default()
        };
        let opened = self.send(entry, &plan).await?;
        self.read_whole(entry, opened).await
    }
}
