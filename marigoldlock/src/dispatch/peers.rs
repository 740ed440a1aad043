//! Load and demand that this instance exchanges with its peers.

use kameo::message::{Context, Message};
use marigoldlock_wire::peer::{CustomerCounter, ServiceDemand, UpstreamLoad};
use marigoldlock_wire::prelude::*;

use super::actor::DispatchActor;
use super::demand::InstanceDemand;

/// Message that applies the load, counters and demand of a peer.
pub struct UpdatePeer {
    /// Name of the peer.
    pub instance: InstanceId,
    /// Incarnation of the peer.
    pub incarnation: Incarnation,
    /// Requests that the peer has in flight, by upstream.
    pub loads: Vec<UpstreamLoad>,
    /// Counters of the peer's customers.
    pub counters: Vec<CustomerCounter>,
    /// Total demand at the peer, by service.
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
        self.deliver_events();
    }
}

/// Message that removes the state of a peer that is gone.
pub struct RemovePeer(pub InstanceId);

impl Message<RemovePeer> for DispatchActor {
    type Reply = ();

    async fn handle(&mut self, remove: RemovePeer, _: &mut Context<Self, ()>) {
        self.table.remove_peer(&remove.0);
        self.admission.remove_peer(&remove.0);
        self.peer_demand.remove(&remove.0);
    }
}

/// Message that returns the [`LoadSummary`] of this instance.
pub struct GetLoadSummary;

/// Load, counters and demand of this instance, to be sent to its peers.
#[derive(Clone, Debug, Default, kameo::Reply)]
pub struct LoadSummary {
    /// Requests in flight, by upstream.
    pub loads: Vec<UpstreamLoad>,
    /// Counters of the customers.
    pub counters: Vec<CustomerCounter>,
    /// Total demand, by service.
    pub demand: Vec<ServiceDemand>,
}

impl Message<GetLoadSummary> for DispatchActor {
    type Reply = LoadSummary;

    async fn handle(&mut self, _: GetLoadSummary, _: &mut Context<Self, Self::Reply>) -> Self::Reply {
        LoadSummary {
            loads: self.table.own_load(),
            counters: self.admission.counters(),
            demand: self.demand.values().cloned().collect(),
        }
    }
}
