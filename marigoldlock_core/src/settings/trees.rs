//! The settings as published, before defaults are filled in.

use std::collections::BTreeMap;
use std::sync::Arc;

use toml::{Table, Value};

use crate::prelude::*;
use crate::settings::SettingsPath;

/// One tree for the fleet and one for each team; versions share unchanged trees.
#[derive(Clone, Debug, Default, PartialEq)]
pub(super) struct SettingsTrees {
    pub(super) fleet: Arc<Table>,
    pub(super) teams: BTreeMap<TeamId, Arc<Table>>,
}

impl SettingsTrees {
    /// Returns the tree of a team, or an empty one if the team has no settings.
    pub(super) fn team(&self, team: &TeamId) -> Arc<Table> {
        self.teams.get(team).cloned().unwrap_or_default()
    }

    /// Replaces a team's tree; an empty tree removes the team.
    pub(super) fn set_team(&mut self, team: TeamId, tree: Table) {
        if tree.is_empty() {
            self.teams.remove(&team);
        } else {
            self.teams.insert(team, Arc::new(tree));
        }
    }

    /// Returns the value at a path, if there is one.
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
