//! Admission of requests.

use std::sync::Arc;
use std::time::Duration;

use kameo::message::{Context, Message};
use kameo::reply::{DelegatedReply, ReplySender};
use log::info;
use marigoldlock_core::admission::{
    AdmissionDecision, AdmissionEvent, AdmissionRequest, CustomerLimits, FinishedWork,
};
use marigoldlock_core::routing::{RouteDecision, RouteParams, UpstreamState};
use marigoldlock_core::time::MonoTime;
use marigoldlock_wire::prelude::*;
use thiserror::Error;

use super::actor::{ChooseUpstream, DispatchActor};
use super::lease::DispatchHandle;
use super::work::WorkItem;
use crate::logging::DECISION_TARGET;

/// Customer that requests on open routes, which have none of their own, are accounted to.
const OPEN_CUSTOMER: &str = "(open)";

/// Retry time returned when a service has no upstream.
const NO_UPSTREAM_RETRY: Duration = Duration::from_secs(2);

/// Error returned when a request is not admitted.
#[derive(Clone, Copy, Debug, Eq, Error, PartialEq)]
#[error("{code}, retry after {retry_after:?}")]
pub struct AdmissionRefusal {
    /// Result code for the caller.
    pub code: ResultCode,
    /// Time after which a retry is worthwhile.
    pub retry_after: Duration,
}

type AdmitResult = Result<RouteDecision, AdmissionRefusal>;

/// A request that waits for admission, and the channel for its result.
pub(super) struct WaitingRequest {
    work: Arc<WorkItem>,
    reply: ReplySender<AdmitResult>,
}

/// Weight and limits of a customer, from the settings.
#[derive(Clone, Copy, Debug)]
pub struct CustomerTerms {
    /// Weight relative to other customers.
    pub weight: u32,
    /// Limits of the customer at the service.
    pub limits: CustomerLimits,
}

/// Message that submits a request for admission.
pub(super) struct Admit {
    /// Request to admit.
    pub work: Arc<WorkItem>,
    /// Weight and limits of the request's customer.
    pub terms: CustomerTerms,
    /// Time by which the complete answer is needed.
    pub deadline: MonoTime,
}

impl Message<Admit> for DispatchActor {
    type Reply = DelegatedReply<AdmitResult>;

    async fn handle(&mut self, admit: Admit, ctx: &mut Context<Self, Self::Reply>) -> Self::Reply {
        let decision = self.submit(&admit);
        log_admission(&admit, decision);
        let reply = match decision {
            AdmissionDecision::Start => ctx.reply(self.first_route(&admit.work)),
            AdmissionDecision::Refused { code, retry_after } => {
                ctx.reply(Err(AdmissionRefusal { code, retry_after }))
            }
            AdmissionDecision::Queued => {
                let (reply, sender) = ctx.reply_sender();
                if let Some(sender) = sender {
                    let waiting = WaitingRequest {
                        work: Arc::clone(&admit.work),
                        reply: sender,
                    };
                    self.waiting.insert(admit.work.request, waiting);
                }
                reply
            }
        };
        self.deliver_events();
        reply
    }
}

impl DispatchActor {
    fn submit(&mut self, admit: &Admit) -> AdmissionDecision {
        let work = &admit.work;
        self.count_demand(work);
        if !self
            .table
            .states()
            .any(|state| state.info().service == work.service)
        {
            return AdmissionDecision::Refused {
                code: ResultCode::NoUpstream,
                retry_after: NO_UPSTREAM_RETRY,
            };
        }
        let now = self.clock.now();
        let open = CustomerId::from(OPEN_CUSTOMER);
        let customer = work.customer.as_ref().unwrap_or(&open);
        self.admission
            .set_limits(&work.service, customer, admit.terms.limits, now);
        self.admission.submit(&AdmissionRequest {
            id: work.request,
            customer,
            service: &work.service,
            class: work.class,
            weight: admit.terms.weight,
            prompt_tokens: work.prompt_tokens,
            max_output_tokens: work.output_tokens,
            deadline: admit.deadline,
            now,
        })
    }

    /// Answers the requests that have stopped waiting.
    pub(super) fn deliver_events(&mut self) {
        for event in self.admission.take_events() {
            self.deliver(event);
        }
    }

    fn deliver(&mut self, event: AdmissionEvent) {
        let (request, refusal) = match event {
            AdmissionEvent::Start { request } => (request, None),
            AdmissionEvent::Refuse {
                request,
                code,
                retry_after,
            } => (request, Some(AdmissionRefusal { code, retry_after })),
        };
        info!(target: DECISION_TARGET, request:%, admitted = refusal.is_none(); "wait ended");
        match (self.waiting.remove(&request), refusal) {
            (Some(waiting), None) => {
                let result = self.first_route(&waiting.work);
                waiting.reply.send(result);
            }
            (Some(waiting), Some(refusal)) => waiting.reply.send(Err(refusal)),
            // The caller has disconnected.
            (None, _) => self.admission.on_finished(request, None, self.clock.now()),
        }
    }

    /// Chooses the upstream for the first attempt of an admitted request.
    fn first_route(&mut self, work: &Arc<WorkItem>) -> AdmitResult {
        let route = self.route(&ChooseUpstream::first(work));
        route.map_err(|refusal| {
            self.admission.on_finished(work.request, None, self.clock.now());
            AdmissionRefusal {
                code: refusal.code(),
                retry_after: NO_UPSTREAM_RETRY,
            }
        })
    }

    /// Updates the number of slots of each service in admission control.
    ///
    /// Of a large service only a subset of the upstreams is known; their slots are extrapolated to all listed
    /// ones.
    pub(super) fn update_capacity(&mut self) {
        let params = RouteParams::default();
        let mut known: FastMap<ServiceId, (u32, usize)> = FastMap::default();
        for state in self.table.states() {
            let (slots, count) = known.entry(state.info().service.clone()).or_default();
            *slots += usable_slots(state, &params);
            *count += 1;
        }
        for (service, (slots, count)) in known {
            let listed = self.listed.get(&service).copied().unwrap_or(count).max(count);
            let all = u64::from(slots) * listed as u64 / count as u64;
            self.admission
                .set_capacity(&service, u32::try_from(all).unwrap_or(u32::MAX));
        }
    }
}

fn usable_slots(state: &UpstreamState, params: &RouteParams) -> u32 {
    if state.is_leaving() || state.is_changing() {
        0
    } else {
        state.slots(params)
    }
}

fn log_admission(admit: &Admit, decision: AdmissionDecision) {
    let work = &admit.work;
    let (result, code) = match decision {
        AdmissionDecision::Start => ("start", 0),
        AdmissionDecision::Queued => ("queued", 0),
        AdmissionDecision::Refused { code, .. } => ("refused", code.number()),
    };
    info!(
        target: DECISION_TARGET,
        request:% = work.request, customer = work.customer.as_ref().map_or("", CustomerId::as_str),
        service:% = work.service, class:% = work.class, prompt_tokens = work.prompt_tokens, result, code;
        "admission"
    );
}

/// Message that ends an admitted request, or removes one whose caller no longer waits.
pub(super) struct FinishRequest {
    /// Request id.
    pub request: RequestId,
    /// Tokens that the request used; `None` if it did not complete.
    pub work: Option<FinishedWork>,
}

impl Message<FinishRequest> for DispatchActor {
    type Reply = ();

    async fn handle(&mut self, finish: FinishRequest, _: &mut Context<Self, ()>) {
        if self.admission.cancel(finish.request) {
            self.waiting.remove(&finish.request);
        } else {
            self.admission
                .on_finished(finish.request, finish.work, self.clock.now());
        }
        self.deliver_events();
    }
}

/// Periodic message: starts and refuses waiting requests, and removes expired state.
pub struct Tick;

impl Message<Tick> for DispatchActor {
    type Reply = ();

    async fn handle(&mut self, _: Tick, _: &mut Context<Self, ()>) {
        let now = self.clock.now();
        self.table.tick(now);
        for event in self.admission.tick(now) {
            self.deliver(event);
        }
    }
}

/// Permit of an admitted or waiting request; dropping it ends the request.
pub struct AdmissionPermit {
    dispatch: DispatchHandle,
    request: RequestId,
    active: bool,
}

impl AdmissionPermit {
    pub(super) fn new(dispatch: DispatchHandle, request: RequestId) -> Self {
        Self {
            dispatch,
            request,
            active: true,
        }
    }

    /// Ends the request, which used the tokens in `work`.
    pub fn close(mut self, work: FinishedWork) {
        self.finish(Some(work));
    }

    fn finish(&mut self, work: Option<FinishedWork>) {
        if std::mem::take(&mut self.active) {
            self.dispatch.tell(FinishRequest {
                request: self.request,
                work,
            });
        }
    }
}

impl Drop for AdmissionPermit {
    fn drop(&mut self) {
        self.finish(None);
    }
}
