//! Waiting for one's turn.

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

use super::actor::{Choose, DispatchActor};
use super::lease::DispatchHandle;
use super::work::WorkItem;
use crate::logging::DECISION_TARGET;

/// Customer that all requests on open routes count for.
const OPEN_CUSTOMER: &str = "(open)";

/// Time to come back when a service has no upstream.
const NO_UPSTREAM_RETRY: Duration = Duration::from_secs(2);

/// Why a request was not admitted.
#[derive(Clone, Copy, Debug, Eq, Error, PartialEq)]
#[error("{code}, retry after {retry_after:?}")]
pub struct AdmissionRefusal {
    /// Code for the caller.
    pub code: ResultCode,
    /// When to come back.
    pub retry_after: Duration,
}

type AdmitResult = Result<RouteDecision, AdmissionRefusal>;

/// A request that waits for its turn.
pub(super) struct WaitingRequest {
    work: Arc<WorkItem>,
    reply: ReplySender<AdmitResult>,
}

/// Share and limits of a customer, from the settings.
#[derive(Clone, Copy, Debug)]
pub struct CustomerTerms {
    /// Weight against other customers.
    pub weight: u32,
    /// Limits over the fleet.
    pub limits: CustomerLimits,
}

/// Asks to be run.
pub(super) struct Admit {
    /// The request.
    pub work: Arc<WorkItem>,
    /// Whose terms hold.
    pub terms: CustomerTerms,
    /// When the whole answer must be there.
    pub deadline: MonoTime,
}

impl Message<Admit> for DispatchActor {
    type Reply = DelegatedReply<AdmitResult>;

    async fn handle(&mut self, admit: Admit, ctx: &mut Context<Self, Self::Reply>) -> Self::Reply {
        let verdict = self.offer(&admit);
        log_admission(&admit, verdict);
        let reply = match verdict {
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
        self.deliver_admissions();
        reply
    }
}

impl DispatchActor {
    fn offer(&mut self, admit: &Admit) -> AdmissionDecision {
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

    /// Answers the requests whose wait has ended.
    pub(super) fn deliver_admissions(&mut self) {
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
            // Its caller has left.
            (None, _) => self.admission.on_finished(request, None, self.clock.now()),
        }
    }

    /// Chooses the upstream of an admitted request's first attempt.
    fn first_route(&mut self, work: &Arc<WorkItem>) -> AdmitResult {
        let route = self.route(&Choose::first(work));
        route.map_err(|refusal| {
            self.admission.on_finished(work.request, None, self.clock.now());
            AdmissionRefusal {
                code: refusal.code(),
                retry_after: NO_UPSTREAM_RETRY,
            }
        })
    }

    /// Tells admission how much each service can run.
    ///
    /// Of a large service only a part is known; its slots stand for the rest.
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

fn log_admission(admit: &Admit, verdict: AdmissionDecision) {
    let work = &admit.work;
    let (result, code) = match verdict {
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

/// Tells that an admitted request has ended, or that its caller no longer waits.
pub(super) struct FinishRequest {
    /// The request.
    pub request: RequestId,
    /// What it took; `None` if it did not run to its end.
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
        self.deliver_admissions();
    }
}

/// Lets time pass: refuses what can't be answered in time any more and forgets what is stale.
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

/// An admitted request; dropping it frees its place.
pub struct AdmitPermit {
    dispatch: DispatchHandle,
    request: RequestId,
    open: bool,
}

impl AdmitPermit {
    pub(super) fn new(dispatch: DispatchHandle, request: RequestId) -> Self {
        Self {
            dispatch,
            request,
            open: true,
        }
    }

    /// The request has ended.
    pub fn close(mut self, work: FinishedWork) {
        self.finish(Some(work));
    }

    fn finish(&mut self, work: Option<FinishedWork>) {
        if std::mem::take(&mut self.open) {
            self.dispatch.tell(FinishRequest {
                request: self.request,
                work,
            });
        }
    }
}

impl Drop for AdmitPermit {
    fn drop(&mut self) {
        self.finish(None);
    }
}
