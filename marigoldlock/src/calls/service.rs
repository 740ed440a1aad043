//! Where a call that may not be repeated runs.

use std::sync::Arc;
use std::time::Duration;

use marigoldlock_core::calls::{CallIdentity, CallKey, CallOutcome, request_fingerprint};
use marigoldlock_wire::peer::{CallAnswer, ForwardedCall, PeerRequest, PeerResponse};
use marigoldlock_wire::prelude::*;
use marigoldlock_wire::record::calls::CallHash;
use tokio_util::task::TaskTracker;

use super::gate::SendGate;
use super::home::{BeginCall, BeginReply, HomeHandle};
use super::plain::{BeginPlain, PlainHandle, PlainReply};
use super::runner::{CallRequest, CallRunner, failed, wire_headers};
use crate::members::MemberHandle;
use crate::peer::{PeerError, PeerPool};

/// Pause between two looks at a call that another instance has claimed.
const CLAIM_POLL: Duration = Duration::from_secs(1);

/// Longest wait of a shutdown for an outcome to be in the log.
const RECORD_WAIT: Duration = Duration::from_secs(30);

/// Time to come back while the log is down.
const LOG_RETRY: Duration = Duration::from_secs(2);

/// Time that a forwarded call has beyond its own patience.
const FORWARD_SLACK: Duration = Duration::from_secs(1);

/// Entry to the calls of this instance and its peers.
#[derive(Clone)]
pub struct CallService {
    /// The calls whose home is here.
    pub home: HomeHandle,
    /// The calls that are claimed in the log.
    pub plain: PlainHandle,
    /// Runs them.
    pub runner: CallRunner,
    /// The other instances.
    pub members: MemberHandle,
    /// Connections to them.
    pub peers: PeerPool,
    /// Tasks that must end before the instance does.
    pub tracker: TaskTracker,
}

impl CallService {
    /// Runs a call under its key, or tells what became of it.
    pub async fn call(&self, call: &CallRequest, key: CallKey<'_>) -> CallAnswer {
        match key {
            CallKey::Home { home, key } if self.home.is_home(home) => self.run_here(home, key, call).await,
            CallKey::Home { home, key } => self.forward(home, key, call).await,
            CallKey::Plain(key) => self.claimed(key, call).await,
        }
    }

    /// Runs a call whose home is here.
    pub async fn run_here(&self, home: Incarnation, key: &str, call: &CallRequest) -> CallAnswer {
        let begin = BeginCall {
            home,
            customer: call.work.customer.clone(),
            service: call.work.service.clone(),
            key: key.to_owned(),
            print: request_fingerprint(call.method.as_str(), &call.path, &call.body),
        };
        let ticket = match self.home.begin(begin).await {
            BeginReply::Run(ticket) => ticket,
            BeginReply::Answer(answer) => return Arc::unwrap_or_clone(answer),
            BeginReply::Refuse(code) => return failed(code, None),
        };
        let service = self.clone();
        let call = call.clone();
        // The call goes on when its caller leaves, so that its outcome is known to whoever asks again.
        let task = self.tracker.spawn(async move {
            let (answer, outcome) = service.runner.run(&call, &SendGate::open()).await;
            service.home.settle(ticket, outcome);
            answer
        });
        match task.await {
            Ok(answer) => answer,
            Err(err) => {
                log::error!(error:% = err; "a call's task failed");
                self.home.settle(ticket, CallOutcome::Unknown);
                failed(ResultCode::OutcomeUnknown, None)
            }
        }
    }

    /// Runs a call under a claim in the log, or tells what became of it.
    async fn claimed(&self, key: &str, call: &CallRequest) -> CallAnswer {
        let service = self.clone();
        let call = call.clone();
        let hash = call_name(&call, key).hash();
        // The claim and its call go on when the caller leaves.
        let task = self
            .tracker
            .spawn(async move { service.run_claimed(hash, &call).await });
        task.await.unwrap_or_else(|err| {
            log::error!(error:% = err; "a call's task failed");
            failed(ResultCode::OutcomeUnknown, None)
        })
    }

    async fn run_claimed(&self, hash: CallHash, call: &CallRequest) -> CallAnswer {
        let print = request_fingerprint(call.method.as_str(), &call.path, &call.body);
        let deadline = self.runner.clock.now() + call.patience;
        let mut status = self.plain.watch();
        loop {
            status.mark_unchanged();
            let alive = self.members.heard().await;
            let begin = BeginPlain {
                call: hash,
                print,
                alive,
            };
            match self.plain.begin(begin).await {
                PlainReply::Send(gate) => return self.send_claimed(hash, call, &gate).await,
                PlainReply::Answer(answer) => return Arc::unwrap_or_clone(answer),
                PlainReply::Refuse(code) => return failed(code, None),
                PlainReply::LogDown => return self.log_down().await,
                PlainReply::Wait => {}
            }
            if self.runner.clock.now() >= deadline {
                return failed(ResultCode::StillRunning, Some(CLAIM_POLL));
            }
            // The claimant may end without any record that tells so.
            let _ = tokio::time::timeout(CLAIM_POLL, status.changed()).await;
        }
    }

    async fn send_claimed(&self, hash: CallHash, call: &CallRequest, gate: &SendGate) -> CallAnswer {
        let (answer, outcome) = self.runner.run(call, gate).await;
        self.plain.settle(hash, outcome);
        let plain = self.plain.clone();
        // A shutdown waits for the outcome to be in the log, so that others can repeat the answer.
        self.tracker
            .spawn(async move { tokio::time::timeout(RECORD_WAIT, plain.recorded(hash)).await });
        answer
    }

    async fn log_down(&self) -> CallAnswer {
        let status = self.plain.status();
        let code = match status.fresh {
            Some(fresh) => self.members.log_down_code(status.position, fresh).await,
            None => ResultCode::ClaimUnconfirmed,
        };
        failed(code, Some(LOG_RETRY))
    }

    async fn forward(&self, home: Incarnation, key: &str, call: &CallRequest) -> CallAnswer {
        let Some(address) = self.members.peer_of_home(home).await else {
            return failed(ResultCode::HomeGone, None);
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
            .request(&address, &request, call.patience + FORWARD_SLACK)
            .await
        {
            Ok(PeerResponse::Call(answer)) => *answer,
            Ok(PeerResponse::Refused { code, .. }) => failed(code, None),
            Ok(_) => failed(ResultCode::OutcomeUnknown, None),
            // An earlier request with the key may have run at the home.
            Err(PeerError::NotSent { .. }) => failed(ResultCode::HomeGone, None),
            Err(PeerError::NoAnswer { .. }) => failed(ResultCode::OutcomeUnknown, None),
        }
    }
}

fn call_name<'a>(call: &'a CallRequest, key: &'a str) -> CallIdentity<'a> {
    CallIdentity {
        customer: call.work.customer.as_ref().map(CustomerId::as_str),
        service: call.work.service.as_str(),
        key,
    }
}
