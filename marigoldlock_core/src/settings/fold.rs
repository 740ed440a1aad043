//! The settings state, built by applying the records of the log in order.

use std::collections::BTreeMap;
use std::sync::{Arc, OnceLock};

use marigoldlock_wire::record::Envelope;
use toml::Value;

use crate::prelude::*;
use crate::settings::active::SettingsIndex;
use crate::settings::check::{check_fleet, check_team, check_unique};
use crate::settings::document::{deserialize_value, edit_tree, parse_body, with_line};
use crate::settings::history::{ChangeHistory, SeenIds};
use crate::settings::trees::SettingsTrees;
use crate::settings::{
    ActiveSettings, FleetSettings, RejectionReason, SettingsChange, SettingsPath, SettingsRejection,
    TeamSettings,
};

/// Result of applying one envelope.
#[derive(Clone, Debug, PartialEq)]
pub enum FoldOutcome {
    /// The records were applied; one result for each, in order.
    Folded(Vec<Result<(), SettingsRejection>>),
    /// The append, or an envelope with the same id, was applied before, so this one was ignored.
    Duplicate,
}

/// State of the settings after the records applied so far.
#[derive(Clone, Debug, Default)]
pub struct SettingsFold {
    pub(super) version: LogPosition,
    pub(super) trees: SettingsTrees,
    pub(super) fleet: Arc<FleetSettings>,
    pub(super) teams: BTreeMap<TeamId, Arc<TeamSettings>>,
    pub(super) changes: ChangeHistory,
    pub(super) seen: SeenIds,
    pub(super) index: OnceLock<Arc<SettingsIndex>>,
}

impl SettingsFold {
    /// Creates the state before the first record.
    pub fn new() -> Self {
        Self::default()
    }

    /// Returns the position after the last applied record, whether it was accepted or not.
    ///
    /// Its offset is the next one to read from the log.
    pub fn version(&self) -> LogPosition {
        self.version
    }

    /// Returns the settings in force.
    pub fn active(&self) -> Arc<ActiveSettings> {
        let index = self.index.get_or_init(|| Arc::new(SettingsIndex::build(self)));
        Arc::new(ActiveSettings::new(self.version, index.clone()))
    }

    /// Applies one record.
    ///
    /// # Errors
    ///
    /// Fails if the change is rejected. The version still advances, but the settings are unchanged. A record
    /// at a position before the version changes nothing at all.
    pub fn apply(&mut self, position: LogPosition, change: &SettingsChange) -> Result<(), SettingsRejection> {
        if position < self.version {
            return Err(SettingsRejection {
                path: change.path.clone(),
                line: None,
                reason: RejectionReason::OutOfOrder {
                    position,
                    version: self.version,
                },
            });
        }
        self.version = LogPosition(position.0 + 1);
        let path: SettingsPath = change.path.parse()?;
        self.changes.check(&path, change.expect)?;
        self.replace(&path, change.body.as_deref())
            .map_err(|rejection| with_line(rejection, &path, change.body.as_deref()))?;
        self.changes.record(path, position);
        self.index.take();
        Ok(())
    }

    /// Applies the records of the append at `offset`, unless it or an envelope with the same id was applied
    /// before.
    pub fn apply_envelope(&mut self, offset: u64, envelope: &Envelope<SettingsChange>) -> FoldOutcome {
        if LogPosition::new(offset, 0) < self.version || !self.seen.insert(envelope.id) {
            self.skip(offset);
            return FoldOutcome::Duplicate;
        }
        let records = envelope.records.iter().enumerate();
        let verdicts = records
            .map(|(index, change)| self.apply(LogPosition::new(offset, index), change))
            .collect();
        self.skip(offset);
        FoldOutcome::Folded(verdicts)
    }

    /// Skips the append at `offset`, whose records can't be decoded.
    pub fn skip(&mut self, offset: u64) {
        self.version = self.version.max(LogPosition::new(offset + 1, 0));
    }

    /// Checks whether a change would be accepted now, without applying it.
    ///
    /// # Errors
    ///
    /// Fails as [`SettingsFold::apply`] would.
    pub fn check(&self, change: &SettingsChange) -> Result<(), SettingsRejection> {
        let mut trial = self.clone();
        trial.apply(self.version, change)
    }

    /// Returns the value at a path as it was published, if there is one.
    pub fn value(&self, path: &SettingsPath) -> Option<Value> {
        self.trees.value(path)
    }

    /// Returns the position of the newest remembered change at, above or below a path.
    pub fn changed_at(&self, path: &SettingsPath) -> Option<LogPosition> {
        self.changes.changed_at(path)
    }

    fn replace(&mut self, path: &SettingsPath, body: Option<&str>) -> Result<(), SettingsRejection> {
        let value = body.map(|body| parse_body(path, body)).transpose()?;
        match path.team_name() {
            Some(team) => self.replace_team(path, TeamId::from(team), value),
            None => self.replace_fleet(path, value),
        }
    }

    fn replace_fleet(&mut self, path: &SettingsPath, value: Option<Value>) -> Result<(), SettingsRejection> {
        let tree = edit_tree(path, &self.trees.fleet, value)?;
        let fleet: FleetSettings = deserialize_value("fleet", &Value::Table(tree.clone()))?;
        check_fleet(&fleet)?;
        self.trees.fleet = Arc::new(tree);
        self.fleet = Arc::new(fleet);
        Ok(())
    }

    fn replace_team(
        &mut self,
        path: &SettingsPath,
        team: TeamId,
        value: Option<Value>,
    ) -> Result<(), SettingsRejection> {
        let before = self.teams.get(&team).cloned().unwrap_or_default();
        let tree = edit_tree(path, &self.trees.team(&team), value)?;
        let settings = before.update(path, &tree)?;
        check_team(&team, &settings)?;
        check_unique(&team, &settings, &self.teams)?;
        if tree.is_empty() {
            self.teams.remove(&team);
        } else {
            self.teams.insert(team.clone(), Arc::new(settings));
        }
        self.trees.set_team(team, tree);
        Ok(())
    }
}
