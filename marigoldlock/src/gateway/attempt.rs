//! A single attempt: sends a request to an upstream and reads the response.

use std::net::SocketAddr;
use std::time::Duration;

use bytes::Bytes;
use http::{Request, Response, response};
use http_body_util::Full;
use hyper::body::Incoming;
use marigoldlock_core::gateway::outcome::{AttemptFailure, SendPermit, SendPhase};
use marigoldlock_core::gateway::pace::LimitStatement;
use marigoldlock_core::gateway::prelude::*;
use marigoldlock_core::gateway::state::UpstreamKey;
use marigoldlock_core::prelude::*;

use crate::logging::DECISION_TARGET;

use super::call::Call;
use super::connections::HttpSender;
use super::upstream_body::read_upstream_body;

/// Largest response that is not a stream, in bytes; it is buffered until it is complete.
const MAX_RESPONSE_BYTES: usize = 8 << 20;

/// Largest response to a prefill, in bytes.
const MAX_PREFILL_BYTES: usize = 64 << 10;

/// Parameters of an attempt.
#[derive(Clone, Debug, Default)]
pub struct AttemptPlan {
    /// Where to fetch the prompt's KV cache from.
    pub kv_source: Option<KvSource>,
    /// Upstream from which to copy cached parts of the prompt.
    pub cache_peer: Option<SocketAddr>,
    /// Id of the last event that the caller received.
    pub last_event: Option<u64>,
    /// Longest wait for the response head.
    pub timeout: Duration,
}

/// Response head of an upstream, with the connection and the unread body.
pub struct UpstreamResponse {
    pub sender: HttpSender,
    pub head: ResponseHead,
    pub sent_at: MonoTime,
    pub parts: response::Parts,
    pub body: Incoming,
}

impl Call {
    /// Reads the body of a response that is not a stream.
    pub async fn read_full_response(
        &self,
        entry: &UpstreamEntry,
        response: UpstreamResponse,
    ) -> Result<Response<Bytes>, AttemptFailure> {
        self.read_response_up_to(entry, response, MAX_RESPONSE_BYTES)
            .await
    }

    /// Reads the body of the response to a prefill, which names a handle.
    pub async fn read_prefill_response(
        &self,
        entry: &UpstreamEntry,
        response: UpstreamResponse,
    ) -> Result<Response<Bytes>, AttemptFailure> {
        self.read_response_up_to(entry, response, MAX_PREFILL_BYTES).await
    }

    async fn read_response_up_to(
        &self,
        entry: &UpstreamEntry,
        response: UpstreamResponse,
        max_bytes: usize,
    ) -> Result<Response<Bytes>, AttemptFailure> {
        let UpstreamResponse {
            sender,
            head,
            parts,
            body,
            ..
        } = response;
        let read = read_upstream_body(&self.parts, body, max_bytes);
        let body = match self.gateway.limit_time(self.time_left(), read).await {
            Some(Ok(body)) => body,
            Some(Err(err)) => {
                log::info!(request = self.head.attempt_id, upstream:% = entry.id, error:% = err; "the upstream's response broke off");
                return Err(AttemptFailure::Broken);
            }
            None => return Err(AttemptFailure::TimedOut),
        };
        self.release_connection(entry, sender, &head);
        let mut response = Response::new(body);
        *response.status_mut() = parts.status;
        *response.headers_mut() = self
            .gateway
            .parts
            .upstream_protocol
            .response_headers(&parts.headers);
        Ok(response)
    }

    /// Records a complete response and returns its connection to the pool.
    pub fn release_connection(&self, entry: &UpstreamEntry, sender: HttpSender, head: &ResponseHead) {
        let now = self.gateway.now();
        self.gateway.state().upstream(&entry.id).record_success(now);
        if !head.is_closing {
            self.gateway
                .connections()
                .put(&entry.id, sender, head.keep_alive, now);
        }
    }

    /// Sends the request to an upstream and reads the response head. The permit is released if nothing was sent.
    ///
    /// # Errors
    ///
    /// Returns the kind of failure if there is no usable response.
    pub async fn send(
        &mut self,
        entry: &UpstreamEntry,
        permit: SendPermit,
        plan: &AttemptPlan,
    ) -> Result<UpstreamResponse, AttemptFailure> {
        self.sent_at = self.gateway.now();
        let result = self.send_with_permit(entry, &permit, plan).await;
        if result.as_ref().is_err_and(|failure| failure.is_unsent()) {
            self.attempts.release(permit);
        }
        result
    }

    /// The same with a permit that the caller of this function releases if nothing was sent.
    ///
    /// # Errors
    ///
    /// Returns the kind of failure if there is no usable response.
    pub async fn send_with_permit(
        &self,
        entry: &UpstreamEntry,
        permit: &SendPermit,
        plan: &AttemptPlan,
    ) -> Result<UpstreamResponse, AttemptFailure> {
        if !self.start_request(entry, permit) {
            return Err(AttemptFailure::Limited);
        }
        if permit.phase() != SendPhase::Run {
            return self.send_permitted(entry, permit, plan).await;
        }
        if let Some(charge) = &self.allowance {
            charge.start_run();
        }
        let result = self.send_permitted(entry, permit, plan).await;
        if let (Err(failure), Some(charge)) = (&result, &self.allowance)
            && !failure.may_have_run()
        {
            charge.cancel_run();
        }
        result
    }

    /// Counts the request against the upstream's rate limit, if it states one; returns false if that doesn't allow the
    /// request now.
    fn start_request(&self, entry: &UpstreamEntry, permit: &SendPermit) -> bool {
        let mut state = self.gateway.state();
        let Some(turn) = self.gateway.pace_turn(&state) else {
            return true;
        };
        let upstream = state.upstream(&entry.id);
        let is_started = upstream.start_request(&turn);
        let rate = upstream.rate_limit();
        drop(state);
        if rate.is_some() {
            log::info!(
                target: DECISION_TARGET,
                request = self.head.attempt_id, upstream:% = entry.id, phase = permit.phase().as_str(), per_second:? = rate,
                instances = turn.instances, granted = is_started;
                "request checked against the upstream's rate limit"
            );
        }
        is_started
    }

    async fn send_permitted(
        &self,
        entry: &UpstreamEntry,
        permit: &SendPermit,
        plan: &AttemptPlan,
    ) -> Result<UpstreamResponse, AttemptFailure> {
        let may_reuse_connection = self.route.kind.is_retryable() || permit.phase() == SendPhase::Prefill;
        let pooled = if may_reuse_connection {
            self.gateway.connections().take(&entry.id, self.gateway.now())
        } else {
            None
        };
        let response = match pooled {
            Some(sender) => match self.send_on_connection(sender, entry, permit, plan).await {
                // The upstream had closed the idle connection; nothing was sent.
                Err(AttemptFailure::NotSent) => self.send_on_new_connection(entry, permit, plan).await,
                result => result,
            },
            None => self.send_on_new_connection(entry, permit, plan).await,
        }?;
        self.check_response(entry, response)
    }

    async fn send_on_new_connection(
        &self,
        entry: &UpstreamEntry,
        permit: &SendPermit,
        plan: &AttemptPlan,
    ) -> Result<UpstreamResponse, AttemptFailure> {
        match self.gateway.connect_upstream(entry).await {
            Ok(sender) => self.send_on_connection(sender, entry, permit, plan).await,
            Err(err) => {
                log::info!(request = self.head.attempt_id, upstream:% = entry.id, error:% = err; "connecting to the upstream failed");
                Err(AttemptFailure::NotSent)
            }
        }
    }

    async fn send_on_connection(
        &self,
        mut sender: HttpSender,
        entry: &UpstreamEntry,
        permit: &SendPermit,
        plan: &AttemptPlan,
    ) -> Result<UpstreamResponse, AttemptFailure> {
        let time_left = self.time_left();
        if time_left.is_zero() {
            return Err(AttemptFailure::NotSent);
        }
        let request = self.build_request(entry, permit.phase(), plan, time_left);
        let rate = self.gateway.state().upstream(&entry.id).rate_limit();
        metrics::counter!(
            "gateway_upstream_requests_total",
            "phase" => permit.phase().as_str(), "limited" => if rate.is_some() { "yes" } else { "no" }
        )
        .increment(1);
        let sent_at = self.gateway.now();
        let sent = sender.try_send_request(request);
        match self.gateway.limit_time(plan.timeout, sent).await {
            Some(Ok(response)) => {
                let (parts, body) = response.into_parts();
                let head = self.gateway.parts.upstream_protocol.read_response(&parts);
                Ok(UpstreamResponse {
                    sender,
                    head,
                    sent_at,
                    parts,
                    body,
                })
            }
            Some(Err(mut err)) => {
                let is_sent = err.take_message().is_none();
                let error = err.into_error();
                log::info!(
                    request = self.head.attempt_id, upstream:% = entry.id, error:% = error, sent = is_sent;
                    "no response from the upstream"
                );
                Err(if is_sent {
                    AttemptFailure::Broken
                } else {
                    AttemptFailure::NotSent
                })
            }
            None => Err(AttemptFailure::TimedOut),
        }
    }

    fn build_request(
        &self,
        entry: &UpstreamEntry,
        phase: SendPhase,
        plan: &AttemptPlan,
        time_left: Duration,
    ) -> Request<Full<Bytes>> {
        let customer = self.owner.as_ref();
        let attempt = AttemptHead {
            upstream: &entry.id,
            customer: customer.map(|owner| &owner.customer),
            time_left,
            last_event: plan.last_event,
            kv_source: plan.kv_source.as_ref(),
            cache_peer: plan.cache_peer,
            is_prefill: phase == SendPhase::Prefill,
            priority: self.priority(),
        };
        let mut request = Request::new(Full::new(self.body.clone()));
        *request.method_mut() = self.parts.method.clone();
        *request.headers_mut() = self
            .gateway
            .parts
            .upstream_protocol
            .attempt_headers(&self.parts.headers, &attempt);
        if let Some(path) = self.parts.uri.path_and_query() {
            *request.uri_mut() = path.clone().into();
        }
        request
    }

    /// Records the rate limit that the upstream states, or no longer states.
    fn record_limit(&self, entry: &UpstreamEntry, response: &UpstreamResponse) {
        let rate = response.head.rate_limit;
        if rate.is_none() && self.gateway.state().upstream(&entry.id).rate_limit().is_none() {
            return;
        }
        let statement = LimitStatement {
            upstream: UpstreamKey::from(&entry.id),
            rate,
            sent_at: response.sent_at,
            received_at: self.gateway.now(),
            fleet_ms: self.gateway.fleet_unix_ms(),
        };
        let mut state = self.gateway.state();
        if state.upstream(&entry.id).record_limit(&statement) {
            log::info!(upstream:% = entry.id, per_second:? = rate; "the upstream's rate limit changed");
        }
    }

    /// Checks that the response belongs to this request and is not a refusal.
    fn check_response(
        &self,
        entry: &UpstreamEntry,
        response: UpstreamResponse,
    ) -> Result<UpstreamResponse, AttemptFailure> {
        let head = &response.head;
        if let Some(load) = head.load {
            let now = self.gateway.now();
            self.gateway.state().upstream(&entry.id).record_report(load, now);
        }
        let is_mismatched = head
            .attempt_id
            .as_ref()
            .is_some_and(|id| *id != self.head.attempt_id);
        // What an upstream says of itself holds whether or not the response is usable, unless another one has answered.
        if head.is_leaving && !head.is_other_upstream && self.gateway.state().catalog.record_leaving(entry) {
            log::info!(upstream:% = entry.id; "the upstream says that it is leaving; it gets no more requests");
        }
        if let Some(after) = head.retry_after.filter(|_| !head.is_other_upstream) {
            log::info!(upstream:% = entry.id, after_ms = after.as_millis() as u64; "the upstream wants no requests for a time");
            let now = self.gateway.now();
            self.gateway
                .state()
                .upstream(&entry.id)
                .record_retry_after(after, now);
        }
        // A late response to another request may be older than the limit, but it can't name one that isn't there.
        if !head.is_other_upstream && (head.rate_limit.is_some() || !is_mismatched) {
            self.record_limit(entry, &response);
        }
        if is_mismatched {
            log::warn!(
                request = self.head.attempt_id, upstream:% = entry.id, answer_to = head.attempt_id.as_deref();
                "the response belongs to another request; closing the connection"
            );
            return Err(AttemptFailure::Broken);
        }
        if head.is_other_upstream {
            return Err(AttemptFailure::OtherUpstream);
        }
        if head.is_not_run {
            return Err(AttemptFailure::NotRun);
        }
        // Without the upstream's statement that it did not run the request, a refusal status proves nothing: the
        // request may have run.
        let is_unconfirmed_refusal = matches!(response.parts.status.as_u16(), 408 | 421 | 429 | 503);
        let is_unsigned = response.parts.status.is_success() && !head.is_signed;
        if is_unconfirmed_refusal || response.parts.status.is_informational() {
            return Err(AttemptFailure::Broken);
        }
        if is_unsigned && head.attempt_id.is_none() {
            return Err(AttemptFailure::Broken);
        }
        Ok(response)
    }
}
