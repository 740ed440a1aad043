//! The fold of settings records.

use std::collections::{BTreeMap, VecDeque};
use std::sync::{Arc, OnceLock};

use marigoldlock_wire::record::Envelope;
use toml::{Table, Value};

use crate::prelude::*;
use crate::settings::active::SettingsIndex;
use crate::settings::check::{check_fleet, check_team, check_unique};
use crate::settings::document::{edit, parse_body, typed, with_line};
use crate::settings::{
    ActiveSettings, FleetSettings, RejectionReason, SettingsChange, SettingsPath, SettingsRejection,
    TeamSettings,
};

/// Record ids that are remembered against duplicates.
const REMEMBERED_IDS: usize = 1_024;

/// Changed paths that are remembered for the `expect` of later changes.
const REMEMBERED_PATHS: usize = 1_024;

/// What the fold of one envelope did.
#[derive(Clone, Debug, PartialEq)]
pub enum FoldOutcome {
    /// The verdict on each record, in order.
    Folded(Vec<Result<(), SettingsRejection>>),
    /// An envelope with the same id was folded before.
    Duplicate,
}

/// State of the settings after the records folded so far.
#[derive(Clone, Debug, Default)]
pub struct SettingsFold {
    version: LogPosition,
    fleet_tree: Table,
    team_trees: BTreeMap<TeamId, Table>,
    fleet: Arc<FleetSettings>,
    teams: BTreeMap<TeamId, Arc<TeamSettings>>,
    changes: ChangeHistory,
    seen: SeenIds,
    index: OnceLock<Arc<SettingsIndex>>,
}

impl SettingsFold {
    /// State before the first record.
    pub fn new() -> Self {
        Self::default()
    }

    /// Position after the last record folded, accepted or not: every record before it is folded.
    ///
    /// The first offset to read next is the version's offset.
    pub fn version(&self) -> LogPosition {
        self.version
    }

    /// The settings in force.
    pub fn active(&self) -> Arc<ActiveSettings> {
        let index = self
            .index
            .get_or_init(|| Arc::new(SettingsIndex::build(&self.fleet, &self.teams)));
        Arc::new(ActiveSettings::new(self.version, index.clone()))
    }

    /// Folds one record.
    ///
    /// # Errors
    ///
    /// Fails if the change is refused; it then leaves all but the version as it was. A position before the
    /// version changes nothing at all.
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

    /// Folds the records of the append at `offset`, unless an envelope with its id was folded before.
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

    /// Moves past the append at `offset`, which holds nothing that can be read.
    pub fn skip(&mut self, offset: u64) {
        self.version = self.version.max(LogPosition::new(offset + 1, 0));
    }

    /// Tells whether a change would be accepted now, without folding it.
    ///
    /// # Errors
    ///
    /// Fails as [`SettingsFold::apply`] would.
    pub fn check(&self, change: &SettingsChange) -> Result<(), SettingsRejection> {
        let mut trial = self.clone();
        trial.apply(self.version, change)
    }

    /// The value at a path as it was published, `None` if there is none.
    pub fn value(&self, path: &SettingsPath) -> Option<Value> {
        let root = match path.team_name() {
            Some(team) => self.team_trees.get(team)?,
            None => &self.fleet_tree,
        };
        let Some((first, rest)) = path.below_root().split_first() else {
            return Some(Value::Table(root.clone()));
        };
        let mut value = root.get(first)?;
        for segment in rest {
            value = value.as_table()?.get(segment)?;
        }
        Some(value.clone())
    }

    fn replace(&mut self, path: &SettingsPath, body: Option<&str>) -> Result<(), SettingsRejection> {
        let value = body.map(|body| parse_body(path, body)).transpose()?;
        match path.team_name() {
            Some(team) => self.replace_team(path, TeamId::from(team), value),
            None => self.replace_fleet(path, value),
        }
    }

    fn replace_fleet(&mut self, path: &SettingsPath, value: Option<Value>) -> Result<(), SettingsRejection> {
        let tree = edit(path, &self.fleet_tree, value)?;
        let fleet: FleetSettings = typed("fleet", &Value::Table(tree.clone()))?;
        check_fleet(&fleet)?;
        self.fleet_tree = tree;
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
        let empty = Table::new();
        let tree = edit(path, self.team_trees.get(&team).unwrap_or(&empty), value)?;
        let settings = before.update(path, &tree)?;
        check_team(&team, &settings)?;
        check_unique(&team, &settings, &self.teams)?;
        if tree.is_empty() {
            self.team_trees.remove(&team);
            self.teams.remove(&team);
        } else {
            self.team_trees.insert(team.clone(), tree);
            self.teams.insert(team, Arc::new(settings));
        }
        Ok(())
    }
}

/// Accepted changes by path, for optimistic concurrency.
#[derive(Clone, Debug, Default)]
struct ChangeHistory {
    changed_at: BTreeMap<SettingsPath, LogPosition>,
    // Newest of the forgotten changes.
    forgotten: Option<LogPosition>,
}

impl ChangeHistory {
    fn check(&self, path: &SettingsPath, expect: Option<LogPosition>) -> Result<(), SettingsRejection> {
        let Some(expected) = expect else { return Ok(()) };
        let conflicts = self
            .changed_at
            .iter()
            .filter(|(changed, _)| changed.overlaps(path));
        let newest = conflicts
            .map(|(_, position)| *position)
            .chain(self.forgotten)
            .max();
        match newest {
            Some(changed_at) if changed_at >= expected => Err(SettingsRejection {
                path: path.to_string(),
                line: None,
                reason: RejectionReason::Conflict { expected, changed_at },
            }),
            _ => Ok(()),
        }
    }

    fn record(&mut self, path: SettingsPath, position: LogPosition) {
        // The new entry is newer than those under its path and overlaps all that they do.
        self.changed_at.retain(|changed, _| !path.contains(changed));
        self.changed_at.insert(path, position);
        if self.changed_at.len() > REMEMBERED_PATHS {
            let oldest = self.changed_at.iter().min_by_key(|(_, position)| **position);
            if let Some((path, position)) = oldest.map(|(path, position)| (path.clone(), *position)) {
                self.changed_at.remove(&path);
                self.forgotten = self.forgotten.max(Some(position));
            }
        }
    }
}

/// Ids of the newest envelopes.
#[derive(Clone, Debug, Default)]
struct SeenIds {
    ids: FastSet<RecordId>,
    order: VecDeque<RecordId>,
}

impl SeenIds {
    /// Remembers an id; false if it was known.
    fn insert(&mut self, id: RecordId) -> bool {
        if !self.ids.insert(id) {
            return false;
        }
        self.order.push_back(id);
        if self.order.len() > REMEMBERED_IDS {
            let oldest = self.order.pop_front();
            oldest.map(|oldest| self.ids.remove(&oldest));
        }
        true
    }
}
