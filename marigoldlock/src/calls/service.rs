//! Where a call that may not be repeated runs.

use std::sync::Arc;
use std::time::Duration;

use marigoldlock_core::calls::{CallKey, CallOutcome, request_print};
use marigoldlock_wire::peer::{CallAnswer, ForwardedCall, PeerRequest, PeerResponse};
use marigoldlock_wire::prelude::*;
use tokio_util::task::TaskTracker;

use super::home::{BeginCall, BeginReply, HomeHandle};
use super::runner::{CallRequest, CallRunner, failed, wire_headers};
use crate::members::MemberHandle;
use crate::peer::{PeerError, PeerPool};

/// Time that a forwarded call has beyond its own patience.
const FORWARD_SLACK: Duration = Duration::from_secs(1);

/// Entry to the calls of this instance and its peers.
#[derive(Clone)]
pub struct CallService {
    /// The calls whose home is here.
    pub home: HomeHandle,
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
            CallKey::Plain(_) => failed(ResultCode::LogUnavailable, Some(FORWARD_SLACK)),
        }
    }

    /// Runs a call whose home is here.
    pub async fn run_here(&self, home: Incarnation, key: &str, call: &CallRequest) -> CallAnswer {
        let begin = BeginCall {
            home,
            customer: call.work.customer.clone(),
            service: call.work.service.clone(),
            key: key.to_owned(),
            print: request_print(call.method.as_str(), &call.path, &call.body),
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
            let (answer, outcome) = service.runner.run(&call).await;
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
