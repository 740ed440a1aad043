//! The settings as they were published, before defaults.

use std::collections::BTreeMap;
use std::sync::Arc;

use toml::{Table, Value};

use crate::prelude::*;
use crate::settings::SettingsPath;

/// One tree for the fleet and one for each team, shared between versions.
#[derive(Clone, Debug, Default, PartialEq)]
pub(super) struct SettingsTrees {
    pub(super) fleet: Arc<Table>,
    pub(super) teams: BTreeMap<TeamId, Arc<Table>>,
}

impl SettingsTrees {
    /// The tree of a team, empty if there is none.
    pub(super) fn team(&self, team: &TeamId) -> Arc<Table> {
        self.teams.get(team).cloned().unwrap_or_default()
    }

    /// Puts a team's tree in place; an empty one ends the team.
    pub(super) fn set_team(&mut self, team: TeamId, tree: Table) {
        if tree.is_empty() {
            self.teams.remove(&team);
        } else {
            self.teams.insert(team, Arc::new(tree));
        }
    }

    /// The value at a path, `None` if there is none.
    pub(super) fn value(&self, path: &SettingsPath) -> Option<Value> {
        let root = match path.team_name() {
            Some(team) => self.teams.get(team)?,
            None => &self.fleet,
        };
        let Some((first, rest)) = path.below_root().split_first() else {
            return Some(Value::Table(Table::clone(root)));
        };
        let mut value = root.get(first)?;
        for segment in rest {
            value = value.as_table()?.get(segment)?;
        }
        Some(value.clone())
    }
}
