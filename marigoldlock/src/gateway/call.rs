//! A caller's request: checks, attempts, and the response if it is not a stream.

use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use http::uri::PathAndQuery;
use http::{Request, Response, StatusCode, header, request};
use hyper::body::Incoming;
use marigoldlock_core::gateway::blame::SuspectKey;
use marigoldlock_core::gateway::choice::{ChoiceContext, pick_plain};
use marigoldlock_core::gateway::leaving::LeavePlan;
use marigoldlock_core::gateway::origins::VersionKey;
use marigoldlock_core::gateway::outcome::{AttemptFailure, AttemptHistory, SendPermit, SendPhase};
use marigoldlock_core::gateway::pace::PaceTurn;
use marigoldlock_core::gateway::prelude::*;
use marigoldlock_core::gateway::route::KeyOwner;
use marigoldlock_core::prelude::*;
use rand::Rng;

use crate::logging::DECISION_TARGET;

use super::Gateway;
use super::allowance::AllowanceGuard;
use super::attempt::AttemptPlan;
use super::intake::{self, BodyFailure, BodyLimits, ByteCharge};
use super::response::{ResponseBody, close_if_leaving, full_body, refuse};
use super::stream;
use super::work::WorkGuard;

/// Time without a response after which a retryable request is sent to another upstream, as a multiple of the
/// latency objective.
const ATTEMPT_TIMEOUT_FACTOR: u32 = 3;

/// Shortest time without a response after which a retryable request is sent to another upstream.
const MIN_ATTEMPT_TIMEOUT: Duration = Duration::from_millis(150);

/// Time after which a caller may retry if no upstream is available: about as long as a few of the shortest
/// requests take.
pub const RETRY_AFTER: Duration = Duration::from_millis(300);

/// Longest time after which a caller may retry if the upstreams take no request from this instance: other instances
/// may be served in the meantime.
const MAX_STATED_RETRY_AFTER: Duration = Duration::from_millis(1_500);

/// Time after which a caller may retry if the instance has no settings yet.
const RETRY_AFTER_STARTING: Duration = Duration::from_millis(600);

/// A request with its route and the state of its attempts.
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
    pub attempts: AttemptHistory,
    pub tried: Vec<UpstreamId>,
    /// Properties that the request may share with others that crash upstreams.
    pub suspects: Vec<SuspectKey>,
    /// Digest of what makes it the same request as another.
    pub digest: u64,
    /// When the request was last sent to an upstream.
    pub sent_at: MonoTime,
    /// Engine that prefilled the prompt for another one.
    pub prefilled_at: Option<UpstreamId>,
    /// KV cache capacity of one of the service's engines, in tokens.
    pub kv_tokens: u64,
    /// Version that began the stream, once that is known; no other one may go on with it.
    pub version: Option<VersionKey>,
    /// Number of events forwarded so far.
    pub events: u64,
    /// When the first event was forwarded.
    pub first_event_at: Option<MonoTime>,
    /// Who sent the request to this instance.
    pub received_from: RequestSender,
    is_counted: bool,
    /// True while the request is sent as a trial of what blocks it.
    pub is_trial: bool,
    /// Charge to the customer's allowance, if it has one.
    pub allowance: Option<AllowanceGuard>,
    /// What the request holds of the process.
    _charge: ByteCharge,
}

/// Who sent a request to this instance.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum RequestSender {
    /// The caller.
    Caller,
    /// Another instance, with this time left until the deadline.
    Instance(Duration),
}

/// Serves one request of a caller.
pub async fn serve(
    gateway: Arc<Gateway>,
    request: Request<Incoming>,
    received_from: RequestSender,
) -> Response<ResponseBody> {
    let arrived = gateway.now();
    let (parts, body) = request.into_parts();
    let head = gateway.parts.caller_protocol.read_call(&parts);
    let Some(settings) = gateway.state().settings.clone() else {
        let refusal = Refusal::new(RefusalCause::NotReady).retry_after(RETRY_AFTER_STARTING);
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
    let mut timeout = head.timeout.unwrap_or(route.timeout).min(route.timeout);
    if let RequestSender::Instance(time_left) = received_from {
        timeout = timeout.min(time_left);
    }
    if let Some(plan) = gateway.leave.get()
        && !plan.may_take(route.kind, timeout, arrived)
    {
        // Other instances take it at once.
        let refusal = Refusal::new(RefusalCause::NotReady).retry_after(Duration::ZERO);
        return refuse(&gateway, &head, Some(&route.name), refusal);
    }
    let limits = BodyLimits {
        max_bytes: settings.limits.body_bytes,
        window: settings.limits.header_timeout,
        timeout,
    };
    let (body, charge) = match intake::receive(&parts, body, limits).await {
        Ok(received) => received,
        Err(failure) => {
            if let BodyFailure::Broken(err) = &failure {
                log::info!(request = head.attempt_id, error:% = err; "the caller's request body can't be read; request refused");
            }
            return refuse(&gateway, &head, Some(&route.name), body_refusal(&failure));
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
    let engine = settings
        .service(service.as_str())
        .and_then(|rule| rule.engine.as_ref());
    let identity = RequestIdentity {
        customer: owner.as_ref().map(|owner| &owner.customer),
        host: host(&parts),
        method: parts.method.as_str(),
        path: parts.uri.path_and_query().map_or("", PathAndQuery::as_str),
        body: &body,
    };
    let digest = identity.digest();
    let mut call = Call {
        suspects: suspect_keys(digest, head.prompt.as_ref()),
        digest,
        sent_at: arrived,
        kv_tokens: engine.map_or(0, |engine| engine.kv_tokens),
        gateway,
        head,
        parts,
        body,
        service,
        owner,
        arrived,
        deadline: arrived + timeout,
        attempts: AttemptHistory::default(),
        tried: Vec::new(),
        prefilled_at: None,
        version: None,
        events: 0,
        first_event_at: None,
        received_from,
        is_counted: false,
        is_trial: false,
        allowance: None,
        _charge: charge,
        route,
    };
    if call.gateway.is_cut_off()
        && let Some(response) = call.forward().await
    {
        return response;
    }
    call.count_request();
    if let Err(refusal) = call.charge_allowance() {
        return call.refuse(refusal);
    }
    if call.block_left().is_some() && !call.start_trial() {
        return call.refuse(call.refusal());
    }
    if call.route.kind.is_stream() {
        stream::serve(call).await
    } else {
        call.serve_plain().await
    }
}

/// Refusal of a request whose body was not read; nothing was sent.
fn body_refusal(failure: &BodyFailure) -> Refusal {
    match failure {
        BodyFailure::TooLarge => Refusal::new(RefusalCause::BodyTooLarge),
        BodyFailure::NoRoom => Refusal::new(RefusalCause::Busy).retry_after(RETRY_AFTER),
        BodyFailure::TimedOut => Refusal::new(RefusalCause::TooLate).retry_after(RETRY_AFTER),
        BodyFailure::Broken(_) => Refusal::new(RefusalCause::Malformed),
    }
}

/// Properties of a request that may make it crash upstreams.
fn suspect_keys(digest: u64, prompt: Option<&PromptShape>) -> Vec<SuspectKey> {
    let parts = prompt.map(PromptShape::shared_parts).unwrap_or_default();
    let parts = parts.iter().map(|part| SuspectKey::PromptPart(part.id));
    std::iter::once(SuspectKey::Request(digest))
        .chain(parts)
        .collect()
}

/// Ids of prompt parts as callers write them, separated by commas.
fn part_ids(parts: &[PromptPart]) -> String {
    let ids: Vec<String> = parts.iter().map(|part| format!("{:x}", part.id)).collect();
    ids.join(",")
}

fn host(parts: &request::Parts) -> &str {
    let named = parts
        .headers
        .get(header::HOST)
        .and_then(|value| value.to_str().ok());
    named.or_else(|| parts.uri.host()).unwrap_or_default()
}

impl Call {
    /// Time left until the deadline, or until the process has to answer because it ends.
    pub fn time_left(&self) -> Duration {
        let end = self.gateway.leave.get().map(LeavePlan::answers_at);
        let deadline = end.map_or(self.deadline, |end| end.min(self.deadline));
        deadline.since(self.gateway.now())
    }

    /// The same for a response that has begun: it goes on until the process ends.
    pub fn stream_time_left(&self) -> Duration {
        self.deadline.since(self.gateway.now())
    }

    /// Priority, 0 to 9; the customer's own overrides the route's.
    pub fn priority(&self) -> u8 {
        let owner = self.owner.as_ref().and_then(|owner| owner.priority);
        owner.unwrap_or(self.route.priority).min(9)
    }

    /// Context for the choice of an upstream.
    pub fn choice_context(&self) -> ChoiceContext<'_> {
        ChoiceContext {
            data_centre: &self.gateway.parts.card.data_centre,
            now: self.gateway.now(),
        }
    }

    /// Counts the request for the service's retry budget.
    fn count_request(&self) {
        let now = self.gateway.now();
        let limits = self.gateway.bounds().budget;
        let mut state = self.gateway.state();
        state
            .retry_budgets
            .entry(self.service.clone())
            .or_default()
            .count_request(now, &limits);
        if !self.gateway.parts.hedge_share.is_off() {
            state.hedges.count_request(&self.service, now);
        }
    }

    /// Consumes a retry from the service's budget if it allows one.
    fn try_retry(&self) -> bool {
        let now = self.gateway.now();
        let limits = self.gateway.bounds().budget;
        let mut state = self.gateway.state();
        let share = state.budget_start.share(now, &limits, state.instances());
        let budget = state.retry_budgets.entry(self.service.clone()).or_default();
        let is_granted = budget.try_retry(now, &limits, share);
        let usage = budget.usage(&limits, share);
        drop(state);
        log::info!(
            target: DECISION_TARGET,
            request = self.head.attempt_id, service:% = self.service, granted = is_granted, requests = usage.requests,
            retries = usage.retries, allowed = usage.allowed, share:? = share;
            "retry checked against the budget"
        );
        let outcome = if is_granted { "granted" } else { "denied" };
        metrics::counter!("gateway_retries_total", "outcome" => outcome).increment(1);
        is_granted
    }

    /// Returns the permission to send to one more upstream. If that is a retry, it is consumed from the budget.
    pub fn permit(&mut self, phase: SendPhase) -> Option<SendPermit> {
        let mut attempts = self.attempts;
        let permit = self.permit_from(&mut attempts, phase);
        self.attempts = attempts;
        permit
    }

    /// The same for a copy of the attempts, while another attempt is running.
    pub fn permit_from(&self, attempts: &mut AttemptHistory, phase: SendPhase) -> Option<SendPermit> {
        if self.time_left().is_zero() || self.block_left().is_some() || self.should_forward() {
            return None;
        }
        attempts.permit(phase, self.route.kind, self.route.max_attempts, || {
            self.try_retry()
        })
    }

    /// Counts the request as started, once, for its customer's usage.
    pub fn count_started(&mut self) {
        if std::mem::replace(&mut self.is_counted, true) {
            return;
        }
        if let Some(owner) = &self.owner {
            self.gateway.count_usage(&owner.customer);
        }
    }

    /// Refusal to return if the request is not sent again.
    pub fn refusal(&self) -> Refusal {
        let cause = self.attempts.refusal(self.time_left().is_zero());
        if !cause.is_not_run() {
            return Refusal::new(cause);
        }
        if let Some(left) = self.block_left() {
            return Refusal::new(RefusalCause::CrashesUpstreams).retry_after(left);
        }
        match (cause, self.send_wait()) {
            (_, None) => Refusal::new(cause).retry_after(RETRY_AFTER),
            (RefusalCause::NoUpstream, Some(wait)) => Refusal::new(RefusalCause::Busy).retry_after(wait),
            (_, Some(wait)) => Refusal::new(cause).retry_after(wait),
        }
    }

    /// Time for which requests like this one are blocked because they crash upstreams; `None` if they aren't.
    ///
    /// A trial isn't held back.
    pub fn block_left(&self) -> Option<Duration> {
        if self.is_trial {
            return None;
        }
        let fleet_ms = self.gateway.fleet_unix_ms();
        self.gateway.state().crashes.block_left(&self.suspects, fleet_ms)
    }

    /// Sends the blocked request as a trial if it is this instance's turn; returns false if it stays blocked.
    ///
    /// A call that may run only once is no trial: if it failed, its caller couldn't know whether it had run.
    fn start_trial(&mut self) -> bool {
        let kind = self.route.kind;
        if !kind.is_stream() && !kind.is_retryable() {
            return false;
        }
        let fleet_ms = self.gateway.fleet_unix_ms();
        let mut state = self.gateway.state();
        let turn = PaceTurn::new(&self.gateway.fleet_view(&state), fleet_ms);
        self.is_trial = state.crashes.try_blocked(&self.suspects, &turn);
        drop(state);
        if self.is_trial {
            log::info!(
                target: DECISION_TARGET,
                request = self.head.attempt_id, suspects:? = self.suspects;
                "a blocked request is sent as a trial"
            );
            metrics::counter!("gateway_block_trials_total").increment(1);
        }
        self.is_trial
    }

    /// Time to name to the caller if all upstreams take no request from here now, by their own word; `None` if one
    /// does or none is known.
    fn send_wait(&self) -> Option<Duration> {
        let now = self.gateway.now();
        let state = self.gateway.state();
        let turn = self.gateway.pace_turn(&state);
        let waits = state
            .catalog
            .usable(&self.service)
            .filter_map(|entry| state.upstreams.get(&entry.id))
            .map(|upstream| upstream.send_wait(now, turn.as_ref()));
        let wait = waits.min().filter(|wait| !wait.is_zero())?;
        Some(wait.clamp(RETRY_AFTER, MAX_STATED_RETRY_AFTER))
    }

    /// Builds the response for a refused request.
    pub fn refuse(&self, refusal: Refusal) -> Response<ResponseBody> {
        refuse(&self.gateway, &self.head, Some(&self.route.name), refusal)
    }

    /// Known number of requests at an upstream.
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
            attempts = self.attempts.sent(), events = self.events,
            first_event_ms = self.first_event_at.map_or(0, |at| at.since(self.arrived).as_millis() as u64), elapsed_ms = elapsed.as_millis() as u64;
            "request ended"
        );
        metrics::counter!("gateway_requests_total", "outcome" => outcome.to_owned()).increment(1);
        metrics::histogram!("gateway_request_seconds").record(elapsed.as_secs_f64());
    }

    /// Records a failed attempt for the request and for the upstream.
    pub fn record_failure(&mut self, entry: &UpstreamEntry, failure: AttemptFailure) {
        self.attempts.record(failure);
        self.record_upstream_failure(entry, failure);
    }

    /// Records a failure for the upstream only, as for a prefill, which has no side effects. The request is not
    /// sent to this upstream again.
    pub fn record_upstream_failure(&mut self, entry: &UpstreamEntry, failure: AttemptFailure) {
        self.tried.push(entry.id.clone());
        // A trial is sent once.
        self.is_trial &= failure.is_unsent();
        self.report_failure(entry, failure, self.sent_at);
    }

    /// Records the failure of an attempt that was sent at a time for its upstream, and logs it.
    pub fn report_failure(&self, entry: &UpstreamEntry, failure: AttemptFailure, sent_at: MonoTime) {
        let now = self.gateway.now();
        let mut state = self.gateway.state();
        let upstream = state.upstream(&entry.id);
        let is_ejected = match failure {
            AttemptFailure::NotRun => {
                upstream.record_full(now);
                false
            }
            AttemptFailure::Errored | AttemptFailure::Limited => false,
            AttemptFailure::NotSent | AttemptFailure::OtherUpstream => upstream.record_unreachable(now),
            _ => upstream.record_failure(now),
        };
        drop(state);
        let parts = self.head.prompt.as_ref().map(PromptShape::shared_parts);
        log::info!(
            target: DECISION_TARGET,
            request = self.head.attempt_id, upstream:% = entry.id, failure = failure.as_str(), set_aside = is_ejected,
            attempts = self.attempts.sent(), digest = format!("{:016x}", self.digest),
            parts = part_ids(parts.unwrap_or_default());
            "attempt failed"
        );
        metrics::counter!("gateway_attempt_failures_total", "failure" => failure.as_str()).increment(1);
        if failure == AttemptFailure::Broken {
            self.check_crash(entry, sent_at);
        }
    }

    async fn serve_plain(mut self) -> Response<ResponseBody> {
        let mut fallback = None;
        while let Some(permit) = self.permit(SendPhase::Run) {
            let Some((entry, has_others)) = self.choose_plain() else {
                self.attempts.release(permit);
                break;
            };
            let mut timeout = self.time_left();
            if self.route.kind.is_retryable() && has_others && self.attempts.sent() < self.route.max_attempts
            {
                timeout =
                    timeout.min(MIN_ATTEMPT_TIMEOUT.max(self.route.target_latency * ATTEMPT_TIMEOUT_FACTOR));
            }
            let (entry, result) = if self.may_hedge() {
                self.exchange_hedged(entry, permit, timeout).await
            } else {
                let has_slot = self.requests_at(&entry) < entry.slots;
                let guard = WorkGuard::new(&self.gateway, &entry.id, 0);
                let result = self.exchange(&entry, permit, timeout).await;
                drop(guard);
                let is_success = |response: &Response<Bytes>| response.status().is_success();
                if has_slot && result.as_ref().is_ok_and(is_success) {
                    self.record_service_time(&entry);
                }
                (entry, result)
            };
            match result {
                Ok(response) if response.status() == StatusCode::INTERNAL_SERVER_ERROR => {
                    self.count_started();
                    self.record_completion();
                    self.record_failure(&entry, AttemptFailure::Errored);
                    fallback = Some(response);
                }
                Ok(response) => {
                    self.count_started();
                    self.record_completion();
                    return self.deliver(response);
                }
                Err(failure) => self.record_failure(&entry, failure),
            }
        }
        match fallback {
            Some(response) => self.deliver(response),
            None => self.refuse_or_forward(self.refusal()).await,
        }
    }

    fn deliver(&self, response: Response<Bytes>) -> Response<ResponseBody> {
        self.log_done("answered", response.status());
        let response = response.map(|body| intake::charge_arrived(&self.parts, body));
        close_if_leaving(&self.gateway, response.map(full_body))
    }

    fn choose_plain(&self) -> Option<(UpstreamEntry, bool)> {
        let context = self.choice_context();
        let state = self.gateway.state();
        let turn = self.gateway.pace_turn(&state);
        let candidates = state.candidates(&self.service, |_| true, &self.tried, context.now, turn.as_ref());
        let has_others = candidates.len() > 1;
        let entry = pick_plain(&candidates, context, rand::rng().random())?;
        log::info!(
            target: DECISION_TARGET,
            request = self.head.attempt_id, upstream:% = entry.id, candidates = candidates.len(),
            load = state.upstreams.get(&entry.id).map_or(0, |upstream| upstream.requests(context.now)),
            slowness_per_mille = state.slowness(&entry.id, context.now).per_mille();
            "upstream chosen"
        );
        Some((entry.clone(), has_others))
    }

    /// Sends the request and reads the complete response.
    async fn exchange(
        &mut self,
        entry: &UpstreamEntry,
        permit: SendPermit,
        timeout: Duration,
    ) -> Result<Response<Bytes>, AttemptFailure> {
        let plan = AttemptPlan {
            timeout,
            last_event: self.head.last_event,
            ..AttemptPlan::default()
        };
        let response = self.send(entry, permit, &plan).await?;
        self.read_full_response(entry, response).await
    }
}
