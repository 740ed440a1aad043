//! Demand of the callers, and the engines that placement plans for it.

use kameo::message::{Context, Message};
use marigoldlock_core::placement::EngineView;
use marigoldlock_core::routing::UpstreamState;
use marigoldlock_wire::peer::ServiceDemand;
use marigoldlock_wire::prelude::*;

use super::actor::DispatchActor;
use super::work::WorkItem;

/// Total demand at one instance since its start.
#[derive(Clone, Debug)]
pub struct InstanceDemand {
    /// Incarnation of the instance.
    pub incarnation: Incarnation,
    /// Demand by service.
    pub services: Vec<ServiceDemand>,
}

impl DispatchActor {
    /// Adds a submitted request to the demand, whether or not it is admitted.
    pub(super) fn count_demand(&mut self, work: &WorkItem) {
        let demand = self
            .demand
            .entry(work.service.clone())
            .or_insert_with(|| ServiceDemand {
                service: work.service.clone(),
                prompt_tokens: 0,
                output_tokens: 0,
                interruptible_tokens: 0,
            });
        demand.prompt_tokens += work.prompt_tokens;
        demand.output_tokens += work.output_tokens;
        if work.cheap_allowed {
            demand.interruptible_tokens += work.prompt_tokens + work.output_tokens;
        }
    }
}

/// Message that returns the [`PlanningView`] of a service.
pub struct GetPlanningView {
    /// Name of the service.
    pub service: ServiceId,
    /// Incarnation of this instance.
    pub incarnation: Incarnation,
}

/// Input for the placement of one service.
#[derive(Clone, Debug, Default, kameo::Reply)]
pub struct PlanningView {
    /// Engines of the service.
    pub engines: Vec<EngineView>,
    /// Prompt tokens waiting for prefill at the engines, as last reported.
    pub prefill_backlog: u64,
    /// Requests waiting at this instance.
    pub queued: u32,
    /// Total demand at each instance, by incarnation.
    pub demand: Vec<(Incarnation, ServiceDemand)>,
}

impl Message<GetPlanningView> for DispatchActor {
    type Reply = PlanningView;

    async fn handle(&mut self, message: GetPlanningView, _: &mut Context<Self, Self::Reply>) -> Self::Reply {
        let states = || {
            self.table
                .states()
                .filter(|state| state.info().service == message.service)
        };
        let own = self
            .demand
            .get(&message.service)
            .map(|demand| (message.incarnation, demand.clone()));
        let peers = self.peer_demand.values().flat_map(|peer| {
            let of_service = peer
                .services
                .iter()
                .filter(|demand| demand.service == message.service);
            of_service.map(|demand| (peer.incarnation, demand.clone()))
        });
        PlanningView {
            engines: states().map(engine_view).collect(),
            prefill_backlog: states().map(UpstreamState::reported_backlog).sum(),
            queued: self.admission.counts(&message.service).queued.iter().sum(),
            demand: own.into_iter().chain(peers).collect(),
        }
    }
}

fn engine_view(state: &UpstreamState) -> EngineView {
    let info = state.info();
    EngineView {
        id: info.id.clone(),
        data_centre: info.data_centre.clone(),
        capacity: info.capacity,
        role: state.role(),
        ordered_role: None,
        changing: state.is_changing(),
        leaving: state.is_leaving(),
        in_flight: state.in_flight(),
        models: info.models.clone(),
    }
}
