//! Handle to the dispatch actor, and leases of attempts in flight.

use std::sync::Arc;
use std::time::Duration;

use kameo::actor::ActorRef;
use kameo::error::SendError;
use kameo::message::Message;
use marigoldlock_core::relay::AttemptId;
use marigoldlock_core::routing::{AttemptOutcome, RouteDecision, RouteRefusal};
use marigoldlock_core::time::MonoTime;
use marigoldlock_wire::prelude::*;

use super::actor::{
    AttemptKey, ChooseUpstream, DispatchActor, FinishAttempt, RecordFirstToken, RecordProgress,
};
use super::admit::{AdmissionPermit, AdmissionRefusal, Admit, CustomerTerms};
use super::status::{GetSilence, ListQueues, ListUpstreams, QueueStatus, UpstreamStatus};
use super::work::WorkItem;

/// Handle to the dispatch actor.
#[derive(Clone)]
pub struct DispatchHandle {
    actor: ActorRef<DispatchActor>,
}

impl DispatchHandle {
    /// Creates a handle to a running actor.
    pub fn new(actor: ActorRef<DispatchActor>) -> Self {
        Self { actor }
    }

    /// Chooses an upstream for an attempt.
    ///
    /// # Errors
    ///
    /// Fails if no upstream can take the request; it has not been sent.
    pub async fn choose(
        &self,
        work: &Arc<WorkItem>,
        attempt: AttemptId,
        exclude: &[UpstreamId],
    ) -> Result<AttemptLease, RouteRefusal> {
        let key = AttemptKey {
            request: work.request,
            attempt,
        };
        let message = ChooseUpstream {
            key,
            work: Arc::clone(work),
            exclude: exclude.to_vec(),
        };
        match self.actor.ask(message).await {
            Ok(decision) => Ok(AttemptLease {
                dispatch: self.clone(),
                key,
                decision,
                active: true,
            }),
            Err(SendError::HandlerError(refusal)) => Err(refusal),
            // The actor only ends with the instance.
            Err(_) => Err(RouteRefusal::NoUpstream),
        }
    }

    /// Waits until the request may run and chooses the upstream for its first attempt.
    ///
    /// Dropping the future removes the request from the queue.
    ///
    /// # Errors
    ///
    /// Fails if the request is refused; it has not been sent.
    pub async fn admit(
        &self,
        work: &Arc<WorkItem>,
        terms: CustomerTerms,
        deadline: MonoTime,
    ) -> Result<(AdmissionPermit, AttemptLease), AdmissionRefusal> {
        let permit = AdmissionPermit::new(self.clone(), work.request);
        let key = AttemptKey {
            request: work.request,
            attempt: AttemptId::FIRST,
        };
        let admit = Admit {
            work: Arc::clone(work),
            terms,
            deadline,
        };
        match self.actor.ask(admit).await {
            Ok(decision) => Ok((
                permit,
                AttemptLease {
                    dispatch: self.clone(),
                    key,
                    decision,
                    active: true,
                },
            )),
            Err(SendError::HandlerError(refusal)) => Err(refusal),
            // The actor only ends with the instance.
            Err(_) => Err(AdmissionRefusal {
                code: ResultCode::InstanceLeaving,
                retry_after: Duration::ZERO,
            }),
        }
    }

    /// Sends a message to the actor without waiting for it to be handled.
    pub fn tell<M: Send + 'static>(&self, message: M)
    where
        DispatchActor: Message<M>,
    {
        if self.actor.tell(message).try_send().is_err() {
            log::debug!("dispatch actor has stopped; message dropped");
        }
    }

    /// All upstreams, sorted by name.
    pub async fn upstreams(&self) -> Vec<UpstreamStatus> {
        self.actor
            .ask(ListUpstreams)
            .await
            .map(|list| list.0)
            .unwrap_or_default()
    }

    /// Requests in flight and waiting, sorted by service.
    pub async fn queues(&self) -> Vec<QueueStatus> {
        self.actor
            .ask(ListQueues)
            .await
            .map(|list| list.0)
            .unwrap_or_default()
    }

    /// Time since an upstream last made progress with requests of this instance.
    ///
    /// Returns `Duration::MAX` for an upstream that is gone.
    pub async fn silence(&self, upstream: &UpstreamId) -> Duration {
        let silence = self.actor.ask(GetSilence(upstream.clone())).await.ok().flatten();
        silence.unwrap_or(Duration::MAX)
    }

    /// Reference to the actor.
    pub fn actor(&self) -> &ActorRef<DispatchActor> {
        &self.actor
    }
}

/// An attempt in flight at an upstream; dropping it counts the attempt as cancelled.
pub struct AttemptLease {
    dispatch: DispatchHandle,
    key: AttemptKey,
    decision: RouteDecision,
    active: bool,
}

impl AttemptLease {
    /// Routing decision of the attempt.
    pub fn decision(&self) -> &RouteDecision {
        &self.decision
    }

    /// Records that the first token, or the head of a plain answer, has arrived.
    pub fn first_token(&self) {
        self.dispatch.tell(RecordFirstToken(self.key));
    }

    /// Records that more of the answer has arrived.
    pub fn progress(&self) {
        self.dispatch.tell(RecordProgress(self.key));
    }

    /// Ends the attempt with the given outcome.
    pub fn close(mut self, outcome: AttemptOutcome) {
        self.finish(outcome);
    }

    fn finish(&mut self, outcome: AttemptOutcome) {
        if std::mem::take(&mut self.active) {
            self.dispatch.tell(FinishAttempt {
                key: self.key,
                outcome,
            });
        }
    }
}

impl Drop for AttemptLease {
    fn drop(&mut self) {
        self.finish(AttemptOutcome::Cancelled);
    }
}
