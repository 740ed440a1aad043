//! Role, models, adapters and version of an engine, and the changes of them that are under way.

use std::time::Duration;

use marigoldlock_wire::engine::{EngineAction, EngineRole};
use marigoldlock_wire::ids::ModelId;
use tokio::time::Instant;

use super::options::EngineOptions;

/// What an engine is set up for.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct EngineSetup {
    /// Role.
    pub role: EngineRole,
    /// Models loaded.
    pub models: Vec<ModelId>,
    /// Adapters loaded.
    pub adapters: Vec<String>,
    /// Version, once one was ordered.
    pub version: Option<String>,
    /// True while no new work is taken by order.
    pub draining: bool,
    /// True while a change takes the engine away.
    pub changing: bool,
}

impl EngineSetup {
    /// Setup that an engine starts with.
    pub(super) fn new(options: &EngineOptions) -> Self {
        Self {
            role: options.role,
            models: options.models.clone(),
            ..Self::default()
        }
    }

    /// True if the model is served.
    pub(super) fn serves(&self, model: &ModelId) -> bool {
        self.models.is_empty() || self.models.contains(model)
    }

    fn apply(&mut self, action: EngineAction) {
        match action {
            EngineAction::SetRole(role) => self.role = role,
            EngineAction::SetVersion(version) => self.version = Some(version),
            EngineAction::LoadModel(model) if !self.models.contains(&model) => self.models.push(model),
            EngineAction::LoadAdapter(adapter) if !self.adapters.contains(&adapter) => {
                self.adapters.push(adapter);
            }
            EngineAction::LoadModel(_) | EngineAction::LoadAdapter(_) => {}
            EngineAction::Drain => self.draining = true,
            EngineAction::Undrain => self.draining = false,
        }
    }
}

/// Change that ends at a time.
#[derive(Debug)]
struct PendingChange {
    ends_at: Instant,
    action: EngineAction,
}

/// Changes that are under way.
#[derive(Debug, Default)]
pub(super) struct ChangeQueue {
    away: Option<PendingChange>,
    loading: Vec<PendingChange>,
}

impl ChangeQueue {
    /// Begins a change; true if it takes the engine away.
    pub(super) fn begin(
        &mut self,
        action: EngineAction,
        setup: &mut EngineSetup,
        options: &EngineOptions,
        now: Instant,
    ) -> bool {
        match action {
            EngineAction::SetRole(_) | EngineAction::SetVersion(_) => {
                let ends_at = now + Duration::from_millis(options.change_ms);
                self.away = Some(PendingChange { ends_at, action });
                setup.changing = true;
                return true;
            }
            EngineAction::LoadModel(_) => {
                let ends_at = options.weights.load(now);
                self.loading.push(PendingChange { ends_at, action });
            }
            EngineAction::LoadAdapter(_) => {
                let ends_at = now + Duration::from_millis(options.adapter_ms);
                self.loading.push(PendingChange { ends_at, action });
            }
            EngineAction::Drain | EngineAction::Undrain => setup.apply(action),
        }
        false
    }

    /// Ends one change whose time has come, and gives that time; `None` if there is none left.
    pub(super) fn end_next(&mut self, setup: &mut EngineSetup, now: Instant) -> Option<Instant> {
        let is_due = |change: &PendingChange| change.ends_at <= now;
        if let Some(change) = self.away.take_if(|change| is_due(change)) {
            setup.changing = false;
            setup.apply(change.action);
            return Some(change.ends_at);
        }
        let place = self.loading.iter().position(is_due)?;
        let change = self.loading.remove(place);
        setup.apply(change.action);
        Some(change.ends_at)
    }
}
