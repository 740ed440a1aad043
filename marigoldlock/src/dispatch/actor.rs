//! The actor that owns the routing table.

use std::convert::Infallible;
use std::sync::Arc;

use kameo::Actor;
use kameo::actor::ActorRef;
use kameo::message::{Context, Message};
use log::info;
use marigoldlock_core::admission::AdmissionControl;
use marigoldlock_core::relay::AttemptId;
use marigoldlock_core::routing::{
    AttemptOutcome, AttemptTicket, RouteDecision, RouteRefusal, RouteTable, UPSTREAMS_PER_SERVICE,
    UpstreamInfo, UpstreamKind, upstream_subset,
};
use marigoldlock_wire::engine::{CacheEvents, LoadReport};
use marigoldlock_wire::peer::ServiceDemand;
use marigoldlock_wire::platform::{InstanceList, ListEntry, ListKind, ListState};
use marigoldlock_wire::prelude::*;

use super::admit::WaitingRequest;
use super::demand::InstanceDemand;
use super::work::WorkItem;
use crate::clock::TimeSource;
use crate::logging::DECISION_TARGET;

/// What the actor starts with.
pub struct DispatchSources {
    /// The routing table, with its policy.
    pub table: RouteTable,
    /// Admission, with its policy.
    pub admission: AdmissionControl,
    /// Clock of the instance.
    pub clock: Arc<dyn TimeSource>,
    /// Name of the instance.
    pub instance: InstanceId,
    /// Data centre of the instance.
    pub data_centre: DataCentre,
}

/// One attempt of one request.
#[derive(Clone, Copy, Debug, Eq, Hash, PartialEq)]
pub(super) struct AttemptKey {
    /// The request.
    pub request: RequestId,
    /// The attempt.
    pub attempt: AttemptId,
}

/// Owner of the routing table and of admission.
pub struct DispatchActor {
    pub(super) table: RouteTable,
    pub(super) admission: AdmissionControl,
    pub(super) waiting: FastMap<RequestId, WaitingRequest>,
    pub(super) listed: FastMap<ServiceId, usize>,
    pub(super) demand: FastMap<ServiceId, ServiceDemand>,
    pub(super) peer_demand: FastMap<InstanceId, InstanceDemand>,
    pub(super) clock: Arc<dyn TimeSource>,
    instance: InstanceId,
    data_centre: DataCentre,
    tickets: FastMap<AttemptKey, AttemptTicket>,
}

impl Actor for DispatchActor {
    type Args = DispatchSources;
    type Error = Infallible;

    async fn on_start(sources: DispatchSources, _: ActorRef<Self>) -> Result<Self, Infallible> {
        let DispatchSources {
            table,
            admission,
            clock,
            instance,
            data_centre,
        } = sources;
        Ok(Self {
            table,
            admission,
            waiting: FastMap::default(),
            listed: FastMap::default(),
            demand: FastMap::default(),
            peer_demand: FastMap::default(),
            clock,
            instance,
            data_centre,
            tickets: FastMap::default(),
        })
    }
}

/// Asks for an upstream.
pub(super) struct Choose {
    /// The attempt.
    pub key: AttemptKey,
    /// The request.
    pub work: Arc<WorkItem>,
    /// Upstreams already tried.
    pub exclude: Vec<UpstreamId>,
}

impl Choose {
    /// Asks for a request's first attempt.
    pub(super) fn first(work: &Arc<WorkItem>) -> Self {
        let key = AttemptKey {
            request: work.request,
            attempt: AttemptId::FIRST,
        };
        Self {
            key,
            work: Arc::clone(work),
            exclude: Vec::new(),
        }
    }
}

impl Message<Choose> for DispatchActor {
    type Reply = Result<RouteDecision, RouteRefusal>;

    async fn handle(&mut self, choose: Choose, _: &mut Context<Self, Self::Reply>) -> Self::Reply {
        self.route(&choose)
    }
}

impl DispatchActor {
    /// Chooses an upstream and notes the attempt as sent there.
    pub(super) fn route(&mut self, choose: &Choose) -> Result<RouteDecision, RouteRefusal> {
        let now = self.clock.now();
        let ask = choose.work.route_ask(&choose.exclude, &self.data_centre);
        let result = self.table.choose(&ask, now);
        log_decision(choose, &result);
        let decision = result?;
        let ticket = self.table.on_sent(&decision, &ask, now);
        self.tickets.insert(choose.key, ticket);
        Ok(decision)
    }
}

fn log_decision(choose: &Choose, result: &Result<RouteDecision, RouteRefusal>) {
    let work = &choose.work;
    let customer = work.customer.as_ref().map_or("", CustomerId::as_str);
    match result {
        Ok(decision) => {
            let runners_up: Vec<String> = decision
                .runners_up
                .iter()
                .map(|score| format!("{}={}us", score.upstream, score.cost.as_micros()))
                .collect();
            info!(
                target: DECISION_TARGET,
                request:% = work.request, attempt = choose.key.attempt.0, customer, service:% = work.service,
                class:% = work.class, upstream:% = decision.upstream, cost_us = decision.cost.as_micros() as u64,
                cached_tokens = decision.cached_tokens, reason:% = decision.reason,
                runners_up = runners_up.join(" ");
                "route"
            );
        }
        Err(refusal) => info!(
            target: DECISION_TARGET,
            request:% = work.request, attempt = choose.key.attempt.0, customer, service:% = work.service,
            class:% = work.class, reason:% = refusal;
            "no route"
        ),
    }
}

/// Tells of an attempt's first token.
pub(super) struct NoteFirstToken(pub AttemptKey);

impl Message<NoteFirstToken> for DispatchActor {
    type Reply = ();

    async fn handle(&mut self, note: NoteFirstToken, _: &mut Context<Self, ()>) {
        if let Some(ticket) = self.tickets.get(&note.0) {
            self.table.on_first_token(ticket, self.clock.now());
        }
    }
}

/// Tells that an attempt goes on.
pub(super) struct NoteProgress(pub AttemptKey);

impl Message<NoteProgress> for DispatchActor {
    type Reply = ();

    async fn handle(&mut self, note: NoteProgress, _: &mut Context<Self, ()>) {
        if let Some(ticket) = self.tickets.get(&note.0) {
            self.table.on_progress(ticket, self.clock.now());
        }
    }
}

/// Tells of an attempt's end.
pub(super) struct FinishAttempt {
    /// The attempt.
    pub key: AttemptKey,
    /// How it ended.
    pub outcome: AttemptOutcome,
}

impl Message<FinishAttempt> for DispatchActor {
    type Reply = ();

    async fn handle(&mut self, finish: FinishAttempt, _: &mut Context<Self, ()>) {
        if let Some(ticket) = self.tickets.remove(&finish.key) {
            self.table.on_finished(ticket, finish.outcome, self.clock.now());
        }
    }
}

/// The platform's list, as last read.
pub struct UpdateList(pub Arc<InstanceList>);

impl Message<UpdateList> for DispatchActor {
    type Reply = ();

    async fn handle(&mut self, update: UpdateList, _: &mut Context<Self, ()>) {
        self.listed.clear();
        for service in update.0.entries.iter().filter_map(|entry| entry.service.as_ref()) {
            *self.listed.entry(service.clone()).or_default() += 1;
        }
        let mut listed = FastSet::default();
        let name = self.instance.as_str();
        let subset = upstream_subset(name, &self.data_centre, &update.0.entries, UPSTREAMS_PER_SERVICE);
        for entry in update
            .0
            .entries
            .iter()
            .filter(|entry| subset.contains(entry.id.as_str()))
        {
            let Some(info) = upstream_info(entry) else {
                continue;
            };
            listed.insert(info.id.clone());
            let id = info.id.clone();
            self.table.upsert(info);
            if entry.state == ListState::Leaving {
                self.table.set_leaving(&id);
            }
        }
        let known: Vec<UpstreamId> = self.table.states().map(|state| state.info().id.clone()).collect();
        for id in known.iter().filter(|id| !listed.contains(*id)) {
            info!(target: DECISION_TARGET, upstream:% = id; "upstream removed");
            self.table.remove(id);
        }
        self.update_capacity();
    }
}

fn upstream_info(entry: &ListEntry) -> Option<UpstreamInfo> {
    let kind = match entry.kind {
        ListKind::Entry => return None,
        ListKind::Engine => UpstreamKind::Engine,
        ListKind::Service => UpstreamKind::Service,
    };
    Some(UpstreamInfo {
        id: entry.id.as_str().into(),
        service: entry.service.clone()?,
        data_centre: entry.data_centre.clone(),
        address: entry.address.clone(),
        capacity: entry.capacity,
        models: Vec::new(),
        kind,
    })
}

/// An upstream's load report.
pub struct UpdateLoad {
    /// The upstream.
    pub upstream: UpstreamId,
    /// Its report.
    pub report: LoadReport,
}

impl Message<UpdateLoad> for DispatchActor {
    type Reply = ();

    async fn handle(&mut self, update: UpdateLoad, _: &mut Context<Self, ()>) {
        self.table
            .on_load_report(&update.upstream, &update.report, self.clock.now());
        self.update_capacity();
    }
}

/// An engine's cache events.
pub struct UpdateCache {
    /// The engine.
    pub upstream: UpstreamId,
    /// Its events.
    pub events: CacheEvents,
}

impl Message<UpdateCache> for DispatchActor {
    type Reply = ();

    async fn handle(&mut self, update: UpdateCache, _: &mut Context<Self, ()>) {
        self.table
            .on_cache_events(&update.upstream, &update.events, self.clock.now());
    }
}
