//! Changes in progress: an engine is drained, changed and undrained.

use marigoldlock_wire::engine::{EngineAction, EngineRole};

use crate::prelude::*;

use super::types::{EngineView, PlacementReason};

/// Planned change of an engine.
#[derive(Clone, Debug, PartialEq)]
pub(super) enum PlannedChange {
    /// It changes to another role.
    Role(EngineRole),
    /// It loads one more model.
    Model(ModelId),
    /// It is withdrawn.
    Withdraw,
}

/// Progress of a change.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
enum ChangeStep {
    Draining,
    Ordered,
}

/// A change of one engine in progress.
#[derive(Clone, Debug)]
pub(super) struct EngineChange {
    pub(super) upstream: UpstreamId,
    pub(super) planned: PlannedChange,
    step: ChangeStep,
    since: MonoTime,
}

/// Next step of a change.
#[derive(Clone, Debug, PartialEq)]
pub(super) enum NextStep {
    /// Wait; no order yet.
    Wait,
    /// Issue an order to the engine.
    Order(EngineAction, PlacementReason),
    /// Order the platform to withdraw the engine.
    Withdraw,
    /// Issue the last order of the change to the engine.
    Finish(EngineAction, PlacementReason),
    /// The change has ended without another order, or the engine is gone.
    Done,
}

impl EngineChange {
    /// Begins a change with a drain; a model load needs none.
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

    /// Returns the next step; `timeout` is the maximum time to wait for one.
    pub(super) fn advance(
        &mut self,
        engine: Option<&EngineView>,
        timeout: std::time::Duration,
        now: MonoTime,
    ) -> NextStep {
        let Some(engine) = engine.filter(|engine| !engine.leaving) else {
            return NextStep::Done;
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
            (ChangeStep::Draining, _) if waited > timeout => {
                NextStep::Finish(EngineAction::Undrain, PlacementReason::Abandoned)
            }
            (ChangeStep::Ordered, PlannedChange::Role(role)) if engine.role == *role && !engine.changing => {
                NextStep::Finish(EngineAction::Undrain, PlacementReason::Drained)
            }
            (ChangeStep::Ordered, PlannedChange::Model(model)) if engine.models.contains(model) => {
                NextStep::Done
            }
            (ChangeStep::Ordered, PlannedChange::Model(_)) if waited > timeout => NextStep::Done,
            // A lost order is settled by the `orders` module; the engine is undrained after the timeout.
            (ChangeStep::Ordered, PlannedChange::Role(_)) if waited > timeout && !engine.changing => {
                NextStep::Finish(EngineAction::Undrain, PlacementReason::Abandoned)
            }
            _ => NextStep::Wait,
        }
    }
}
