//! Actor that owns the routing table and admission control.

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

/// Arguments that the actor is started with.
pub struct DispatchArgs {
    /// Routing table with its policy.
    pub table: RouteTable,
    /// Admission control with its policy.
    pub admission: AdmissionControl,
    /// Clock of the instance.
    pub clock: Arc<dyn TimeSource>,
    /// Name of the instance.
    pub instance: InstanceId,
    /// Data centre of the instance.
    pub data_centre: DataCentre,
}

/// Identifies an attempt of a request.
#[derive(Clone, Copy, Debug, Eq, Hash, PartialEq)]
pub(super) struct AttemptKey {
    /// Request id.
    pub request: RequestId,
    /// Attempt id, unique within the request.
    pub attempt: AttemptId,
}

/// Actor that owns the routing table and admission control.
pub struct DispatchActor {
    pub(super) table: RouteTable,
    pub(super) admission: AdmissionControl,
    pub(super) waiting: FastMap<RequestId, WaitingRequest>,
    /// Number of upstreams per service in the platform's list; the table holds only a subset of them.
    pub(super) listed: FastMap<ServiceId, usize>,
    pub(super) demand: FastMap<ServiceId, ServiceDemand>,
    pub(super) peer_demand: FastMap<InstanceId, InstanceDemand>,
    pub(super) clock: Arc<dyn TimeSource>,
    instance: InstanceId,
    data_centre: DataCentre,
    tickets: FastMap<AttemptKey, AttemptTicket>,
}

impl Actor for DispatchActor {
    type Args = DispatchArgs;
    type Error = Infallible;

    async fn on_start(args: DispatchArgs, _: ActorRef<Self>) -> Result<Self, Infallible> {
        let DispatchArgs {
            table,
            admission,
            clock,
            instance,
            data_centre,
        } = args;
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

/// Message that chooses the upstream for an attempt.
pub(super) struct ChooseUpstream {
    /// Attempt to route.
    pub key: AttemptKey,
    /// Request to route.
    pub work: Arc<WorkItem>,
    /// Upstreams that have been tried already.
    pub exclude: Vec<UpstreamId>,
}

impl ChooseUpstream {
    /// Message for the first attempt of a request.
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

impl Message<ChooseUpstream> for DispatchActor {
    type Reply = Result<RouteDecision, RouteRefusal>;

    async fn handle(&mut self, choose: ChooseUpstream, _: &mut Context<Self, Self::Reply>) -> Self::Reply {
        self.route(&choose)
    }
}

impl DispatchActor {
    /// Chooses an upstream and records the attempt as sent there.
    pub(super) fn route(&mut self, choose: &ChooseUpstream) -> Result<RouteDecision, RouteRefusal> {
        let now = self.clock.now();
        let request = choose.work.route_request(&choose.exclude, &self.data_centre);
        let result = self.table.choose(&request, now);
        log_decision(choose, &result);
        let decision = result?;
        let ticket = self.table.on_sent(&decision, &request, now);
        self.tickets.insert(choose.key, ticket);
        Ok(decision)
    }
}

fn log_decision(choose: &ChooseUpstream, result: &Result<RouteDecision, RouteRefusal>) {
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

/// Message that records the first token of an attempt.
pub(super) struct RecordFirstToken(pub AttemptKey);

impl Message<RecordFirstToken> for DispatchActor {
    type Reply = ();

    async fn handle(&mut self, message: RecordFirstToken, _: &mut Context<Self, ()>) {
        if let Some(ticket) = self.tickets.get(&message.0) {
            self.table.on_first_token(ticket, self.clock.now());
        }
    }
}

/// Message that records progress of an attempt.
pub(super) struct RecordProgress(pub AttemptKey);

impl Message<RecordProgress> for DispatchActor {
    type Reply = ();

    async fn handle(&mut self, message: RecordProgress, _: &mut Context<Self, ()>) {
        if let Some(ticket) = self.tickets.get(&message.0) {
            self.table.on_progress(ticket, self.clock.now());
        }
    }
}

/// Message that ends an attempt.
pub(super) struct FinishAttempt {
    /// Attempt that has ended.
    pub key: AttemptKey,
    /// How the attempt ended.
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

/// Message that applies a new version of the platform's list.
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

/// Message that applies a load report of an upstream.
pub struct UpdateLoad {
    /// Name of the upstream.
    pub upstream: UpstreamId,
    /// Load report of the upstream.
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

/// Message that applies events of an engine's prefix cache.
pub struct UpdateCache {
    /// Name of the engine.
    pub upstream: UpstreamId,
    /// Events of the engine's cache.
    pub events: CacheEvents,
}

impl Message<UpdateCache> for DispatchActor {
    type Reply = ();

    async fn handle(&mut self, update: UpdateCache, _: &mut Context<Self, ()>) {
        self.table
            .on_cache_events(&update.upstream, &update.events, self.clock.now());
    }
}
