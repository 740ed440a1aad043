//! Status of upstreams and queues, for the status page.

use std::time::Duration;

use kameo::message::{Context, Message};
use marigoldlock_core::routing::UpstreamKind;
use marigoldlock_wire::engine::EngineRole;
use marigoldlock_wire::platform::CapacityKind;
use marigoldlock_wire::prelude::*;
use serde::{Deserialize, Serialize};

use super::actor::DispatchActor;

/// Status of an upstream, for the status page.
#[derive(Clone, Debug, Deserialize, Serialize)]
pub struct UpstreamStatus {
    /// Name of the upstream.
    pub upstream: UpstreamId,
    /// Service that it belongs to.
    pub service: ServiceId,
    /// Data centre that it runs in.
    pub data_centre: DataCentre,
    /// Address for requests, as `ip:port`.
    pub address: String,
    /// True for a model engine.
    pub is_engine: bool,
    /// Loaded models, as last reported.
    pub models: Vec<ModelId>,
    /// Capacity kind: steady, or cheap and reclaimable.
    pub capacity: CapacityKind,
    /// Role of an engine, as last reported.
    pub role: EngineRole,
    /// True once it is marked as leaving and gets no new requests.
    pub leaving: bool,
    /// True while a change of role or model makes it unavailable.
    pub changing: bool,
    /// Requests that this instance has in flight there.
    pub in_flight: u32,
    /// Age of its last load report, in milliseconds.
    pub report_age_ms: Option<u64>,
}

/// All upstreams, sorted by name.
#[derive(Clone, Debug, Default, kameo::Reply)]
pub struct UpstreamList(pub Vec<UpstreamStatus>);

/// Message that returns all upstreams.
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

/// Request counts of one service, for the status page.
#[derive(Clone, Debug, Deserialize, Serialize)]
pub struct QueueStatus {
    /// Name of the service.
    pub service: ServiceId,
    /// Requests in flight at this instance: interactive, standard, long.
    pub in_flight: [u32; 3],
    /// Requests waiting at this instance: interactive, standard, long.
    pub queued: [u32; 3],
    /// Requests in flight at peers, as last reported.
    pub peers_in_flight: u32,
    /// Requests that all upstreams of the service can run concurrently.
    pub slots: u32,
}

/// Request counts of all services, sorted by service.
#[derive(Clone, Debug, Default, kameo::Reply)]
pub struct QueueList(pub Vec<QueueStatus>);

/// Message that returns the request counts of all services that have upstreams.
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

/// Message that returns the time since an upstream last made progress with requests of this instance.
pub struct GetSilence(pub UpstreamId);

impl Message<GetSilence> for DispatchActor {
    type Reply = Option<Duration>;

    async fn handle(&mut self, message: GetSilence, _: &mut Context<Self, Self::Reply>) -> Self::Reply {
        let now = self.clock.now();
        self.table.state(&message.0).map(|state| state.silence(now))
    }
}
