//! Entry point for non-idempotent calls: runs them here or forwards them to their home.

use std::sync::Arc;
use std::time::Duration;

use marigoldlock_core::calls::{CallIdentity, CallKey, CallOutcome, request_fingerprint};
use marigoldlock_wire::peer::{CallAnswer, ForwardedCall, PeerRequest, PeerResponse};
use marigoldlock_wire::prelude::*;
use marigoldlock_wire::record::calls::CallHash;
use tokio_util::task::TaskTracker;

use super::claims::{BeginClaimedCall, ClaimHandle, ClaimReply};
use super::gate::SendGate;
use super::home::{BeginHomeCall, HomeHandle, HomeReply};
use super::runner::{CallRequest, CallRunner, failed_answer, wire_headers};
use crate::members::MemberHandle;
use crate::peer::{PeerError, PeerPool};

/// Time between checks of a call that another instance has claimed.
const CLAIM_POLL_INTERVAL: Duration = Duration::from_secs(1);

/// Maximum time that a shutdown waits for an outcome to be recorded in the log.
const RECORD_TIMEOUT: Duration = Duration::from_secs(30);

/// `Retry-After` while the log is down.
const LOG_RETRY_AFTER: Duration = Duration::from_secs(2);

/// Time added to the timeout of a call when it is forwarded.
const FORWARD_TIMEOUT_MARGIN: Duration = Duration::from_secs(1);

/// Entry point for non-idempotent calls.
#[derive(Clone)]
pub struct CallService {
    /// Handle to the calls whose home is this instance.
    pub home: HomeHandle,
    /// Handle to the calls that are claimed in the log.
    pub claims: ClaimHandle,
    /// Runs the calls.
    pub runner: CallRunner,
    /// The other instances.
    pub members: MemberHandle,
    /// Connections to the other instances.
    pub peers: PeerPool,
    /// Tasks that must end before the instance shuts down.
    pub tracker: TaskTracker,
}

impl CallService {
    /// Runs a call under its key, or returns the outcome that it already has.
    pub async fn call(&self, call: &CallRequest, key: CallKey<'_>) -> CallAnswer {
        match key {
            CallKey::Home { home, key } if self.home.is_home(home) => self.run_at_home(home, key, call).await,
            CallKey::Home { home, key } => self.forward(home, key, call).await,
            CallKey::Plain(key) => self.run_plain(key, call).await,
        }
    }

    /// Runs a call whose home is this instance.
    pub async fn run_at_home(&self, home: Incarnation, key: &str, call: &CallRequest) -> CallAnswer {
        let begin = BeginHomeCall {
            home,
            customer: call.work.customer.clone(),
            service: call.work.service.clone(),
            key: key.to_owned(),
            fingerprint: request_fingerprint(call.method.as_str(), &call.path, &call.body),
        };
        let ticket = match self.home.begin(begin).await {
            HomeReply::Run(ticket) => ticket,
            HomeReply::Answer(answer) => return Arc::unwrap_or_clone(answer),
            HomeReply::Refuse(code) => return failed_answer(code, None),
        };
        let service = self.clone();
        let call = call.clone();
        // The call continues if its caller disconnects, so that a retry gets its outcome.
        let task = self.tracker.spawn(async move {
            let (answer, outcome) = service.runner.run(&call, &SendGate::open()).await;
            service.home.settle(ticket, outcome);
            answer
        });
        match task.await {
            Ok(answer) => answer,
            Err(err) => {
                log::error!(error:% = err; "the task of a call failed; its outcome is unknown");
                self.home.settle(ticket, CallOutcome::Unknown);
                failed_answer(ResultCode::OutcomeUnknown, None)
            }
        }
    }

    /// Runs a call with a plain key under a claim in the log, or returns the outcome that it already has.
    async fn run_plain(&self, key: &str, call: &CallRequest) -> CallAnswer {
        let service = self.clone();
        let call = call.clone();
        let hash = call_identity(&call, key).hash();
        // The claim and its call continue if the caller disconnects.
        let task = self
            .tracker
            .spawn(async move { service.run_claimed(hash, &call).await });
        task.await.unwrap_or_else(|err| {
            log::error!(error:% = err; "the task of a call failed; its outcome is unknown");
            failed_answer(ResultCode::OutcomeUnknown, None)
        })
    }

    async fn run_claimed(&self, hash: CallHash, call: &CallRequest) -> CallAnswer {
        let fingerprint = request_fingerprint(call.method.as_str(), &call.path, &call.body);
        let deadline = self.runner.clock.now() + call.timeout;
        let mut status = self.claims.watch();
        loop {
            status.mark_unchanged();
            let alive = self.members.heard_incarnations().await;
            let begin = BeginClaimedCall {
                call: hash,
                fingerprint,
                alive,
            };
            match self.claims.begin(begin).await {
                ClaimReply::Send(gate) => return self.send_claimed(hash, call, &gate).await,
                ClaimReply::Answer(answer) => return Arc::unwrap_or_clone(answer),
                ClaimReply::Refuse(code) => return failed_answer(code, None),
                ClaimReply::LogDown => return self.log_down_answer().await,
                ClaimReply::Wait => {}
            }
            if self.runner.clock.now() >= deadline {
                return failed_answer(ResultCode::StillRunning, Some(CLAIM_POLL_INTERVAL));
            }
            // The claimant may end without appending a record, so the wait has a timeout.
            let _ = tokio::time::timeout(CLAIM_POLL_INTERVAL, status.changed()).await;
        }
    }

    async fn send_claimed(&self, hash: CallHash, call: &CallRequest, gate: &SendGate) -> CallAnswer {
        let (answer, outcome) = self.runner.run(call, gate).await;
        self.claims.settle(hash, outcome);
        let claims = self.claims.clone();
        // A shutdown waits until the outcome is in the log, so that other instances can replay the answer.
        self.tracker.spawn(async move {
            tokio::time::timeout(RECORD_TIMEOUT, claims.wait_until_recorded(hash)).await
        });
        answer
    }

    async fn log_down_answer(&self) -> CallAnswer {
        let status = self.claims.status();
        let code = match status.caught_up_at {
            Some(caught_up_at) => self.members.log_down_code(status.position, caught_up_at).await,
            None => ResultCode::ClaimUnconfirmed,
        };
        failed_answer(code, Some(LOG_RETRY_AFTER))
    }

    async fn forward(&self, home: Incarnation, key: &str, call: &CallRequest) -> CallAnswer {
        let Some(address) = self.members.home_address(home).await else {
            return failed_answer(ResultCode::HomeGone, None);
        };
        let request = PeerRequest::ForwardCall(Box::new(ForwardedCall {
            request: call.work.request,
            home,
            customer: call.work.customer.clone(),
            service: call.work.service.clone(),
            idempotency_key: key.to_owned(),
            method: call.method.to_string(),
            path: call.path.clone(),
            headers: wire_headers(&call.headers),
            body: call.body.clone(),
        }));
        match self
            .peers
            .request(&address, &request, call.timeout + FORWARD_TIMEOUT_MARGIN)
            .await
        {
            Ok(PeerResponse::Call(answer)) => *answer,
            Ok(PeerResponse::Refused { code, .. }) => failed_answer(code, None),
            Ok(_) => failed_answer(ResultCode::OutcomeUnknown, None),
            // Not reported as not run: an earlier request with the key may have run at the home.
            Err(PeerError::NotSent { .. }) => failed_answer(ResultCode::HomeGone, None),
            Err(PeerError::NoAnswer { .. }) => failed_answer(ResultCode::OutcomeUnknown, None),
        }
    }
}

fn call_identity<'a>(call: &'a CallRequest, key: &'a str) -> CallIdentity<'a> {
    CallIdentity {
        customer: call.work.customer.as_ref().map(CustomerId::as_str),
        service: call.work.service.as_str(),
        key,
    }
}
