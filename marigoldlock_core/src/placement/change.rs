//! Changes under way: drain, change, take work again.

use marigoldlock_wire::engine::{EngineAction, EngineRole};

use crate::prelude::*;

use super::types::{EngineView, PlacementReason};

/// What a drained engine is to become.
#[derive(Clone, Debug, PartialEq)]
pub(super) enum PlannedChange {
    /// Another role.
    Role(EngineRole),
    /// One more model.
    Model(ModelId),
    /// Nothing: it is withdrawn.
    Withdraw,
}

/// How far a change has come.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
enum ChangeStep {
    Draining,
    Ordered,
}

/// Change of one engine under way.
#[derive(Clone, Debug)]
pub(super) struct EngineChange {
    pub(super) upstream: UpstreamId,
    pub(super) planned: PlannedChange,
    step: ChangeStep,
    since: MonoTime,
}

/// What a change asks for next.
#[derive(Clone, Debug, PartialEq)]
pub(super) enum NextStep {
    /// Nothing yet.
    Wait,
    /// An order to the engine.
    Order(EngineAction, PlacementReason),
    /// The order to the platform that takes it away.
    Withdraw,
    /// An order to the engine, the last one of the change.
    Finish(EngineAction, PlacementReason),
    /// The engine is gone.
    Gone,
}

impl EngineChange {
    /// Begins with a drain; a model load needs none.
    pub(super) fn begin(upstream: UpstreamId, planned: PlannedChange, now: MonoTime) -> Self {
        let step = match planned {
            PlannedChange::Model(_) => ChangeStep::Ordered,
            _ => ChangeStep::Draining,
        };
        Self {
            upstream,
            planned,
            step,
            since: now,
        }
    }

    /// First order of the change.
    pub(super) fn first_action(&self) -> EngineAction {
        match &self.planned {
            PlannedChange::Model(model) => EngineAction::LoadModel(model.clone()),
            _ => EngineAction::Drain,
        }
    }

    /// The next step; `limit` is the longest time to wait for one.
    pub(super) fn advance(
        &mut self,
        engine: Option<&EngineView>,
        limit: std::time::Duration,
        now: MonoTime,
    ) -> NextStep {
        let Some(engine) = engine.filter(|engine| !engine.leaving) else {
            return NextStep::Gone;
        };
        let waited = now.since(self.since);
        match (self.step, &self.planned) {
            (ChangeStep::Draining, PlannedChange::Role(role)) if engine.in_flight == 0 => {
                let action = EngineAction::SetRole(*role);
                self.step = ChangeStep::Ordered;
                self.since = now;
                NextStep::Order(action, PlacementReason::Drained)
            }
            (ChangeStep::Draining, PlannedChange::Withdraw) if engine.in_flight == 0 => {
                self.step = ChangeStep::Ordered;
                self.since = now;
                NextStep::Withdraw
            }
            (ChangeStep::Draining, _) if waited > limit => {
                NextStep::Finish(EngineAction::Undrain, PlacementReason::Abandoned)
            }
            (ChangeStep::Ordered, PlannedChange::Role(role)) if engine.role == *role && !engine.changing => {
                NextStep::Finish(EngineAction::Undrain, PlacementReason::Drained)
            }
            (ChangeStep::Ordered, PlannedChange::Model(model)) if engine.models.contains(model) => {
                NextStep::Gone
            }
            (ChangeStep::Ordered, PlannedChange::Model(_)) if waited > limit => NextStep::Gone,
            // An order that was lost is settled by the orders slice; the engine is taken back after a while.
            (ChangeStep::Ordered, PlannedChange::Role(_)) if waited > limit && !engine.changing => {
                NextStep::Finish(EngineAction::Undrain, PlacementReason::Abandoned)
            }
            _ => NextStep::Wait,
        }
    }
}
