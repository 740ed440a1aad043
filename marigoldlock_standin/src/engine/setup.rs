//! Role, models, adapters and version of an engine, and pending changes to them.

use std::time::Duration;

use marigoldlock_wire::engine::{EngineAction, EngineRole};
use marigoldlock_wire::ids::ModelId;
use tokio::time::Instant;

use super::options::EngineOptions;

/// Configuration of an engine, which orders can change.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct EngineSetup {
    /// Current role.
    pub role: EngineRole,
    /// Loaded models.
    pub models: Vec<ModelId>,
    /// Loaded adapters.
    pub adapters: Vec<String>,
    /// Version set by the last order, if any.
    pub version: Option<String>,
    /// True while an order keeps the engine from accepting new work.
    pub draining: bool,
    /// True while a change takes the engine out of service.
    pub changing: bool,
}

impl EngineSetup {
    /// Creates the setup that an engine starts with.
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

/// Change that takes effect at a given time.
#[derive(Debug)]
struct PendingChange {
    ends_at: Instant,
    action: EngineAction,
}

/// Pending changes. An `exclusive` one takes the engine out of service.
#[derive(Debug, Default)]
pub(super) struct ChangeQueue {
    exclusive: Option<PendingChange>,
    loading: Vec<PendingChange>,
}

impl ChangeQueue {
    /// Begins a change; returns true if it takes the engine out of service.
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
                self.exclusive = Some(PendingChange { ends_at, action });
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

    /// Applies one change that is due and returns its end time; `None` if none is due.
    pub(super) fn finish_next(&mut self, setup: &mut EngineSetup, now: Instant) -> Option<Instant> {
        let is_due = |change: &PendingChange| change.ends_at <= now;
        if let Some(change) = self.exclusive.take_if(|change| is_due(change)) {
            setup.changing = false;
            setup.apply(change.action);
            return Some(change.ends_at);
        }
        let index = self.loading.iter().position(is_due)?;
        let change = self.loading.remove(index);
        setup.apply(change.action);
        Some(change.ends_at)
    }
}
