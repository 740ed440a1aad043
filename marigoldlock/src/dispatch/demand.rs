//! Work that callers ask of the fleet, and the engines that it is planned for.

use kameo::message::{Context, Message};
use marigoldlock_core::placement::EngineView;
use marigoldlock_core::routing::UpstreamState;
use marigoldlock_wire::peer::ServiceDemand;
use marigoldlock_wire::prelude::*;

use super::actor::DispatchActor;
use super::work::WorkItem;

/// Work asked of one instance since its start.
#[derive(Clone, Debug)]
pub struct InstanceDemand {
    /// Start of the instance.
    pub incarnation: Incarnation,
    /// Work by service.
    pub services: Vec<ServiceDemand>,
}

impl DispatchActor {
    /// Counts a request that asks to be run, whether or not it is admitted.
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

/// Asks for what a service's placement is planned from.
pub struct AskPlanning {
    /// The service.
    pub service: ServiceId,
    /// Start of this instance.
    pub incarnation: Incarnation,
}

/// What a service's placement is planned from.
#[derive(Clone, Debug, Default, kameo::Reply)]
pub struct PlanningView {
    /// The service's engines.
    pub engines: Vec<EngineView>,
    /// Prompt tokens that wait at engines, as last reported.
    pub prefill_backlog: u64,
    /// Requests that wait at this instance.
    pub queued: u32,
    /// Work asked of each instance.
    pub demand: Vec<(Incarnation, ServiceDemand)>,
}

impl Message<AskPlanning> for DispatchActor {
    type Reply = PlanningView;

    async fn handle(&mut self, ask: AskPlanning, _: &mut Context<Self, Self::Reply>) -> Self::Reply {
        let states = || {
            self.table
                .states()
                .filter(|state| state.info().service == ask.service)
        };
        let own = self
            .demand
            .get(&ask.service)
            .map(|demand| (ask.incarnation, demand.clone()));
        let peers = self.peer_demand.values().flat_map(|peer| {
            let of_service = peer
                .services
                .iter()
                .filter(|demand| demand.service == ask.service);
            of_service.map(|demand| (peer.incarnation, demand.clone()))
        });
        PlanningView {
            engines: states().map(engine_view).collect(),
            prefill_backlog: states().map(UpstreamState::reported_backlog).sum(),
            queued: self.admission.counts(&ask.service).queued.iter().sum(),
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
