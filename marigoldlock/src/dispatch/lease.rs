//! Attempts in flight.

use std::sync::Arc;
use std::time::Duration;

use kameo::actor::ActorRef;
use kameo::error::SendError;
use kameo::message::Message;
use marigoldlock_core::relay::AttemptId;
use marigoldlock_core::routing::{AttemptOutcome, RouteDecision, RouteRefusal};
use marigoldlock_core::time::MonoTime;
use marigoldlock_wire::prelude::*;

use super::actor::{AttemptKey, Choose, DispatchActor, FinishAttempt, NoteFirstToken, NoteProgress};
use super::admit::{AdmissionRefusal, Admit, AdmitPermit, CustomerTerms};
use super::status::{AskSilence, ListQueues, ListUpstreams, QueueStatus, UpstreamStatus};
use super::work::WorkItem;

/// Way to the dispatch actor.
#[derive(Clone)]
pub struct DispatchHandle {
    actor: ActorRef<DispatchActor>,
}

impl DispatchHandle {
    /// A handle of a running actor.
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
        let message = Choose {
            key,
            work: Arc::clone(work),
            exclude: exclude.to_vec(),
        };
        match self.actor.ask(message).await {
            Ok(decision) => Ok(AttemptLease {
                dispatch: self.clone(),
                key,
                decision,
                open: true,
            }),
            Err(SendError::HandlerError(refusal)) => Err(refusal),
            // The actor only ends with the instance.
            Err(_) => Err(RouteRefusal::NoUpstream),
        }
    }

    /// Waits until the request may run and chooses the upstream of its first attempt.
    ///
    /// # Errors
    ///
    /// Fails if the request is refused; it has not been sent. A caller that stops waiting gives up its place.
    pub async fn admit(
        &self,
        work: &Arc<WorkItem>,
        terms: CustomerTerms,
        deadline: MonoTime,
    ) -> Result<(AdmitPermit, AttemptLease), AdmissionRefusal> {
        let permit = AdmitPermit::new(self.clone(), work.request);
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
                    open: true,
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

    /// Gives the actor news of any kind.
    pub fn tell<M: Send + 'static>(&self, message: M)
    where
        DispatchActor: Message<M>,
    {
        if self.actor.tell(message).try_send().is_err() {
            log::debug!("the dispatch actor has ended");
        }
    }

    /// All upstreams, by name.
    pub async fn upstreams(&self) -> Vec<UpstreamStatus> {
        self.actor
            .ask(ListUpstreams)
            .await
            .map(|list| list.0)
            .unwrap_or_default()
    }

    /// Requests running and waiting, by service.
    pub async fn queues(&self) -> Vec<QueueStatus> {
        self.actor
            .ask(ListQueues)
            .await
            .map(|list| list.0)
            .unwrap_or_default()
    }

    /// How long an upstream has made no progress with work of this instance; one that is gone is silent.
    pub async fn silence(&self, upstream: &UpstreamId) -> Duration {
        let silence = self.actor.ask(AskSilence(upstream.clone())).await.ok().flatten();
        silence.unwrap_or(Duration::MAX)
    }

    /// The actor itself.
    pub fn actor(&self) -> &ActorRef<DispatchActor> {
        &self.actor
    }
}

/// An attempt in flight at an upstream.
pub struct AttemptLease {
    dispatch: DispatchHandle,
    key: AttemptKey,
    decision: RouteDecision,
    open: bool,
}

impl AttemptLease {
    /// Where the attempt goes.
    pub fn decision(&self) -> &RouteDecision {
        &self.decision
    }

    /// The first token, or the head of a plain answer, has come.
    pub fn first_token(&self) {
        self.dispatch.tell(NoteFirstToken(self.key));
    }

    /// More of the answer has come.
    pub fn progress(&self) {
        self.dispatch.tell(NoteProgress(self.key));
    }

    /// The attempt has ended.
    pub fn close(mut self, outcome: AttemptOutcome) {
        self.finish(outcome);
    }

    fn finish(&mut self, outcome: AttemptOutcome) {
        if std::mem::take(&mut self.open) {
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
