//! Upstreams and queues, for the status page.

use std::time::Duration;

use kameo::message::{Context, Message};
use marigoldlock_core::routing::UpstreamKind;
use marigoldlock_wire::engine::EngineRole;
use marigoldlock_wire::platform::CapacityKind;
use marigoldlock_wire::prelude::*;
use serde::{Deserialize, Serialize};

use super::actor::DispatchActor;

/// One upstream, for the status page.
#[derive(Clone, Debug, Deserialize, Serialize)]
pub struct UpstreamStatus {
    /// Name.
    pub upstream: UpstreamId,
    /// Service.
    pub service: ServiceId,
    /// Data centre.
    pub data_centre: DataCentre,
    /// Address.
    pub address: String,
    /// True for a model engine.
    pub is_engine: bool,
    /// Models loaded, as last reported.
    pub models: Vec<ModelId>,
    /// How it is paid for.
    pub capacity: CapacityKind,
    /// Role, for engines.
    pub role: EngineRole,
    /// True once it gets no new work for good.
    pub leaving: bool,
    /// True while a change takes it away.
    pub changing: bool,
    /// Requests of this instance in flight there.
    pub in_flight: u32,
    /// Age of its last load report, in milliseconds.
    pub report_age_ms: Option<u64>,
}

/// Upstreams, by name.
#[derive(Clone, Debug, Default, kameo::Reply)]
pub struct UpstreamList(pub Vec<UpstreamStatus>);

/// Asks for all upstreams.
pub struct ListUpstreams;

impl Message<ListUpstreams> for DispatchActor {
    type Reply = UpstreamList;

    async fn handle(&mut self, _: ListUpstreams, _: &mut Context<Self, Self::Reply>) -> Self::Reply {
        let now = self.clock.now();
        let mut upstreams: Vec<_> = self
            .table
            .states()
            .map(|state| UpstreamStatus {
                upstream: state.info().id.clone(),
                service: state.info().service.clone(),
                data_centre: state.info().data_centre.clone(),
                address: state.info().address.clone(),
                is_engine: state.info().kind == UpstreamKind::Engine,
                models: state.info().models.clone(),
                capacity: state.info().capacity,
                role: state.role(),
                leaving: state.is_leaving(),
                changing: state.is_changing(),
                in_flight: state.own_requests(),
                report_age_ms: state.report_age(now).map(|age| age.as_millis() as u64),
            })
            .collect();
        upstreams.sort_by(|a, b| a.upstream.cmp(&b.upstream));
        UpstreamList(upstreams)
    }
}

/// Requests of one service at this instance.
#[derive(Clone, Debug, Deserialize, Serialize)]
pub struct QueueStatus {
    /// The service.
    pub service: ServiceId,
    /// Requests in flight: interactive, standard, long.
    pub in_flight: [u32; 3],
    /// Requests waiting: interactive, standard, long.
    pub queued: [u32; 3],
    /// Requests in flight at peers.
    pub peers_in_flight: u32,
    /// Requests that the fleet's upstreams run side by side.
    pub slots: u32,
}

/// Queues, by service.
#[derive(Clone, Debug, Default, kameo::Reply)]
pub struct QueueList(pub Vec<QueueStatus>);

/// Asks for the queues of all services that have upstreams.
pub struct ListQueues;

impl Message<ListQueues> for DispatchActor {
    type Reply = QueueList;

    async fn handle(&mut self, _: ListQueues, _: &mut Context<Self, Self::Reply>) -> Self::Reply {
        let mut services: Vec<_> = self
            .table
            .states()
            .map(|state| state.info().service.clone())
            .collect();
        services.sort();
        services.dedup();
        let queues = services.into_iter().map(|service| {
            let counts = self.admission.counts(&service);
            QueueStatus {
                service,
                in_flight: counts.in_flight,
                queued: counts.queued,
                peers_in_flight: counts.peers_in_flight,
                slots: counts.slots,
            }
        });
        QueueList(queues.collect())
    }
}

/// Asks how long an upstream with work of this instance has made no progress.
pub struct AskSilence(pub UpstreamId);

impl Message<AskSilence> for DispatchActor {
    type Reply = Option<Duration>;

    async fn handle(&mut self, ask: AskSilence, _: &mut Context<Self, Self::Reply>) -> Self::Reply {
        let now = self.clock.now();
        self.table.state(&ask.0).map(|state| state.silence(now))
    }
}
