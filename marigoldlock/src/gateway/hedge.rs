//! Hedged requests: runs the second attempt of a request beside the first, and drops the one that is slower.
//!
//! Whether a hedge is sent is decided in `marigoldlock_core::gateway::hedge`. Both attempts run in the task of the
//! caller's request, so that the task's end cancels them. Dropping an attempt closes its connection and releases its
//! [`WorkGuard`]; nothing is recorded for its upstream.

use std::pin::pin;
use std::time::Duration;

use bytes::Bytes;
use http::{Response, StatusCode};
use marigoldlock_core::gateway::choice::pick_plain;
use marigoldlock_core::gateway::hedge::{HedgeDenial, HedgeQuery, LatencyEstimate, ServiceLoad, SizeClass};
use marigoldlock_core::gateway::outcome::{AttemptFailure, AttemptHistory, SendPermit, SendPhase};
use marigoldlock_core::gateway::prelude::*;
use marigoldlock_core::prelude::*;
use rand::Rng;

use crate::logging::DECISION_TARGET;

use super::attempt::AttemptPlan;
use super::call::Call;
use super::state::GatewayState;
use super::work::WorkGuard;

/// Result of one attempt.
type AttemptResult = Result<Response<Bytes>, AttemptFailure>;

/// An attempt that has ended.
struct EndedAttempt {
    entry: UpstreamEntry,
    permit: SendPermit,
    sent_at: MonoTime,
    result: AttemptResult,
}

impl EndedAttempt {
    /// Failure of the attempt; a server error of the upstream counts as one.
    fn failure(&self) -> Option<AttemptFailure> {
        match &self.result {
            Ok(response) if response.status() == StatusCode::INTERNAL_SERVER_ERROR => {
                Some(AttemptFailure::Errored)
            }
            Ok(_) => None,
            Err(failure) => Some(*failure),
        }
    }
}

/// Attempts of one request that have run side by side.
struct AttemptRace {
    /// The attempt whose result is used.
    used: EndedAttempt,
    /// The other one, if it failed by itself; already recorded for its upstream.
    failed: Option<EndedAttempt>,
}

impl From<EndedAttempt> for AttemptRace {
    fn from(used: EndedAttempt) -> Self {
        Self { used, failed: None }
    }
}

impl Call {
    /// True if the request may be hedged and its latency be learned. A trial reaches one upstream only.
    pub fn may_hedge(&self) -> bool {
        !self.gateway.parts.hedge_share.is_off() && self.route.kind.is_retryable() && !self.is_trial
    }

    /// Sends the request and reads the complete response; sends it to a second upstream, too, if the first one is
    /// slow. Returns the upstream whose result it is. A failure of the other one is already recorded.
    pub async fn exchange_hedged(
        &mut self,
        entry: UpstreamEntry,
        permit: SendPermit,
        timeout: Duration,
    ) -> (UpstreamEntry, AttemptResult) {
        let mut attempts = self.attempts;
        let AttemptRace { used, failed } = self.race(entry, permit, timeout, &mut attempts).await;
        self.attempts = attempts;
        if let Some(failed) = failed {
            self.tried.push(failed.entry.id.clone());
            if let Some(failure) = failed.failure() {
                self.attempts.record(failure);
            }
            self.release_unsent(failed.permit, &failed.result);
        }
        self.sent_at = used.sent_at;
        self.release_unsent(used.permit, &used.result);
        (used.entry, used.result)
    }

    /// Releases the permit of an attempt that sent nothing.
    fn release_unsent(&mut self, permit: SendPermit, result: &AttemptResult) {
        if result.as_ref().is_err_and(|failure| failure.is_unsent()) {
            self.attempts.release(permit);
        }
    }

    async fn race(
        &self,
        entry: UpstreamEntry,
        permit: SendPermit,
        timeout: Duration,
        attempts: &mut AttemptHistory,
    ) -> AttemptRace {
        let first_id = entry.id.clone();
        let sent_at = self.gateway.now();
        let estimate = self.learned_latency();
        let mut first = pin!(self.run_first(entry, permit, timeout));
        let Some(estimate) = estimate else {
            return first.await.into();
        };
        tokio::select! {
            ended = &mut first => return ended.into(),
            () = tokio::time::sleep(estimate.delay) => {}
        }
        let Some((entry, permit)) = self.start_hedge(&first_id, estimate, attempts) else {
            return first.await.into();
        };
        let second_id = entry.id.clone();
        let mut second = pin!(self.run_attempt(entry, permit, self.time_left()));
        let (ended, is_first) = tokio::select! {
            ended = &mut first => (ended, true),
            ended = &mut second => (ended, false),
        };
        if ended.failure().is_none() {
            if !is_first {
                // The attempt has taken at least this long.
                self.record_latency(sent_at);
            }
            let cancelled = if is_first { &second_id } else { &first_id };
            self.count_cancelled(cancelled, is_first);
            return ended.into();
        }
        // The other attempt may still succeed. What an upstream did is recorded at once, but the response with its own
        // error is kept: it may be all that there is for the caller.
        if let Err(failure) = ended.result {
            self.report_failure(&ended.entry, failure, ended.sent_at);
        }
        let other = if is_first { second.await } else { first.await };
        if is_first && other.failure().is_none() {
            metrics::counter!("gateway_hedges_won_total").increment(1);
        }
        let (used, failed) = match (&ended.result, &other.result) {
            (Ok(_), Err(failure)) => {
                self.report_failure(&other.entry, *failure, other.sent_at);
                (ended, other)
            }
            (Ok(_), Ok(_)) => {
                self.report_failure(&ended.entry, AttemptFailure::Errored, ended.sent_at);
                (other, ended)
            }
            (Err(_), _) => (other, ended),
        };
        AttemptRace {
            used,
            failed: Some(failed),
        }
    }

    /// Runs the request's first attempt and learns from its latency.
    async fn run_first(&self, entry: UpstreamEntry, permit: SendPermit, timeout: Duration) -> EndedAttempt {
        let ended = self.run_attempt(entry, permit, timeout).await;
        // Other failures say nothing of the latency; an attempt that timed out has taken at least this long.
        if matches!(ended.failure(), None | Some(AttemptFailure::TimedOut)) {
            self.record_latency(ended.sent_at);
        }
        ended
    }

    /// Sends the request to an upstream and reads the complete response.
    async fn run_attempt(&self, entry: UpstreamEntry, permit: SendPermit, timeout: Duration) -> EndedAttempt {
        let guard = WorkGuard::new(&self.gateway, &entry.id, 0);
        let sent_at = self.gateway.now();
        let plan = AttemptPlan {
            timeout,
            last_event: self.head.last_event,
            ..AttemptPlan::default()
        };
        let result = match self.send_with_permit(&entry, &permit, &plan).await {
            Ok(response) => self.read_full_response(&entry, response).await,
            Err(failure) => Err(failure),
        };
        drop(guard);
        EndedAttempt {
            entry,
            permit,
            sent_at,
            result,
        }
    }

    fn size_class(&self) -> SizeClass {
        SizeClass::of_body(self.body.len())
    }

    /// Latency of requests like this one, as far as it is known.
    fn learned_latency(&self) -> Option<LatencyEstimate> {
        let now = self.gateway.now();
        let mut state = self.gateway.state();
        self.sample_load(&mut state, now);
        let share = self.gateway.parts.hedge_share;
        state
            .hedges
            .estimate(&self.route.name, self.size_class(), share, now)
    }

    /// Records how long ago the first attempt was sent as its latency.
    fn record_latency(&self, sent_at: MonoTime) {
        let now = self.gateway.now();
        let latency = now.since(sent_at);
        let mut state = self.gateway.state();
        state
            .hedges
            .record_latency(&self.route.name, self.size_class(), latency, now);
    }

    /// Records the load of the service, if it is time to.
    fn sample_load(&self, state: &mut GatewayState, now: MonoTime) {
        if !state.hedges.is_load_due(&self.service, now) {
            return;
        }
        let mut load = ServiceLoad::default();
        for entry in state.catalog.usable(&self.service) {
            let upstream = state.upstreams.get(&entry.id);
            load.requests += upstream.map_or(0, |upstream| upstream.requests(now));
            load.slots = load.slots.saturating_add(entry.slots);
        }
        state.hedges.record_load(&self.service, load, now);
    }

    /// Decides on a second attempt, and returns its upstream and the permission to send it.
    fn start_hedge(
        &self,
        first: &UpstreamId,
        estimate: LatencyEstimate,
        attempts: &mut AttemptHistory,
    ) -> Option<(UpstreamEntry, SendPermit)> {
        let (second, decision) = self.try_hedge(first, estimate, attempts);
        log::info!(
            target: DECISION_TARGET,
            request = self.head.attempt_id, route = self.route.name, upstream:% = first,
            second = second.as_ref().map(|entry| entry.id.as_str()), delay_ms = estimate.delay.as_millis() as u64,
            quantile = self.gateway.parts.hedge_share.quantile(), usual_ms = estimate.usual.as_millis() as u64,
            granted = decision.is_ok(), reason = decision.as_ref().err().map(|denial| denial.as_str());
            "request is slow; second attempt decided"
        );
        match decision {
            Ok(permit) => {
                metrics::counter!("gateway_hedges_sent_total").increment(1);
                second.map(|entry| (entry, permit))
            }
            Err(denial) => {
                metrics::counter!("gateway_hedges_denied_total", "reason" => denial.as_str()).increment(1);
                None
            }
        }
    }

    fn try_hedge(
        &self,
        first: &UpstreamId,
        estimate: LatencyEstimate,
        attempts: &mut AttemptHistory,
    ) -> (Option<UpstreamEntry>, Result<SendPermit, HedgeDenial>) {
        if self.block_left().is_some() || self.should_forward() {
            return (None, Err(HedgeDenial::Withheld));
        }
        let context = self.choice_context();
        let mut tried = self.tried.clone();
        tried.push(first.clone());
        let mut state = self.gateway.state();
        self.sample_load(&mut state, context.now);
        let turn = self.gateway.pace_turn(&state);
        let candidates = state.candidates(&self.service, |_| true, &tried, context.now, turn.as_ref());
        let picked = pick_plain(&candidates, context, rand::rng().random());
        let picked = picked.map(|entry| &entry.id);
        let candidate = candidates
            .iter()
            .find(|candidate| Some(&candidate.entry.id) == picked);
        let query = HedgeQuery {
            share: self.gateway.parts.hedge_share,
            kind: self.route.kind,
            attempts: *attempts,
            max_attempts: self.route.max_attempts,
            service: &self.service,
            first,
            candidate: candidate.copied(),
            estimate,
            time_left: self.time_left(),
        };
        let checked = state.hedges.check(&query, context.now);
        let second = candidate.map(|candidate| candidate.entry.clone());
        if let Err(denial) = checked {
            return (second, Err(denial));
        }
        let grant = state.hedges.count_hedge(&self.service, context.now);
        drop(state);
        let permit = self.permit_from(attempts, SendPhase::Run);
        if permit.is_none() {
            self.gateway.state().hedges.release(&self.service, grant);
        }
        (second, permit.ok_or(HedgeDenial::RetryBudget))
    }

    /// Counts the slower attempt, which ends with this request.
    fn count_cancelled(&self, upstream: &UpstreamId, is_hedge: bool) {
        let attempt = if is_hedge { "hedge" } else { "first" };
        if !is_hedge {
            metrics::counter!("gateway_hedges_won_total").increment(1);
        }
        metrics::counter!("gateway_attempts_cancelled_total", "attempt" => attempt).increment(1);
        log::info!(
            target: DECISION_TARGET,
            request = self.head.attempt_id, upstream:% = upstream, attempt;
            "slower attempt cancelled"
        );
    }
}
