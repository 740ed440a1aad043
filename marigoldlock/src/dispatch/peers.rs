//! What peers and this instance tell each other about work in flight.

use kameo::message::{Context, Message};
use marigoldlock_wire::engine::EngineRole;
use marigoldlock_wire::peer::{CustomerCounter, UpstreamLoad};
use marigoldlock_wire::platform::CapacityKind;
use marigoldlock_wire::prelude::*;

use super::actor::DispatchActor;

/// A peer's work in flight and its customers' counters.
pub struct UpdatePeer {
    /// The peer.
    pub instance: InstanceId,
    /// Its start.
    pub incarnation: Incarnation,
    /// Its work, by upstream.
    pub loads: Vec<UpstreamLoad>,
    /// Service that its customers have received.
    pub counters: Vec<CustomerCounter>,
}

impl Message<UpdatePeer> for DispatchActor {
    type Reply = ();

    async fn handle(&mut self, update: UpdatePeer, _: &mut Context<Self, ()>) {
        let now = self.clock.now();
        self.table.on_peer_load(&update.instance, &update.loads, now);
        self.admission
            .on_peer_counters(&update.instance, update.incarnation, &update.counters, now);
        self.deliver_admissions();
    }
}

/// A peer that is gone.
pub struct RemovePeer(pub InstanceId);

impl Message<RemovePeer> for DispatchActor {
    type Reply = ();

    async fn handle(&mut self, remove: RemovePeer, _: &mut Context<Self, ()>) {
        self.table.remove_peer(&remove.0);
        self.admission.remove_peer(&remove.0);
    }
}

/// Asks for what this instance tells its peers.
pub struct OwnLoad;

/// What this instance has in flight.
#[derive(Clone, Debug, Default, kameo::Reply)]
pub struct LoadSummary {
    /// Work in flight, by upstream.
    pub loads: Vec<UpstreamLoad>,
    /// Service that customers have received here.
    pub counters: Vec<CustomerCounter>,
}

impl Message<OwnLoad> for DispatchActor {
    type Reply = LoadSummary;

    async fn handle(&mut self, _: OwnLoad, _: &mut Context<Self, Self::Reply>) -> Self::Reply {
        LoadSummary {
            loads: self.table.own_load(),
            counters: self.admission.counters(),
        }
    }
}

/// One upstream, for the status page.
#[derive(Clone, Debug, serde::Serialize)]
pub struct UpstreamStatus {
    /// Name.
    pub upstream: UpstreamId,
    /// Service.
    pub service: ServiceId,
    /// Data centre.
    pub data_centre: DataCentre,
    /// Address.
    pub address: String,
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
                upstream: state.facts().id.clone(),
                service: state.facts().service.clone(),
                data_centre: state.facts().data_centre.clone(),
                address: state.facts().address.clone(),
                capacity: state.facts().capacity,
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
