//! What peers and this instance tell each other about work in flight.

use kameo::message::{Context, Message};
use marigoldlock_wire::peer::{CustomerCounter, ServiceDemand, UpstreamLoad};
use marigoldlock_wire::prelude::*;

use super::actor::DispatchActor;
use super::demand::InstanceDemand;

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
    /// Work asked of it, by service.
    pub demand: Vec<ServiceDemand>,
}

impl Message<UpdatePeer> for DispatchActor {
    type Reply = ();

    async fn handle(&mut self, update: UpdatePeer, _: &mut Context<Self, ()>) {
        let now = self.clock.now();
        self.table.on_peer_load(&update.instance, &update.loads, now);
        self.admission
            .on_peer_counters(&update.instance, update.incarnation, &update.counters, now);
        let demand = InstanceDemand {
            incarnation: update.incarnation,
            services: update.demand,
        };
        self.peer_demand.insert(update.instance, demand);
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
        self.peer_demand.remove(&remove.0);
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
    /// Work asked of this instance, by service.
    pub demand: Vec<ServiceDemand>,
}

impl Message<OwnLoad> for DispatchActor {
    type Reply = LoadSummary;

    async fn handle(&mut self, _: OwnLoad, _: &mut Context<Self, Self::Reply>) -> Self::Reply {
        LoadSummary {
            loads: self.table.own_load(),
            counters: self.admission.counters(),
            demand: self.demand.values().cloned().collect(),
        }
    }
}
