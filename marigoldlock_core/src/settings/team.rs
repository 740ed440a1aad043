//! The settings of one team.

use std::collections::BTreeMap;
use std::sync::Arc;

use serde::de::DeserializeOwned;
use toml::{Table, Value};

use crate::prelude::*;
use crate::settings::document::deserialize_value;
use crate::settings::path::is_valid_name;
use crate::settings::{
    CapacityRule, CustomerSettings, KeySettings, OperatorSettings, ServiceSettings, SettingsPath,
    SettingsRejection,
};

/// Typed settings of one team.
///
/// Versions share unchanged items: a change rebuilds only the items at or below its path.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct TeamSettings {
    /// Services by name.
    pub services: BTreeMap<String, Arc<ServiceSettings>>,
    /// Customers by name.
    pub customers: BTreeMap<String, Arc<CustomerSettings>>,
    /// Keys by id.
    pub keys: BTreeMap<String, Arc<KeySettings>>,
    /// Rules for cheap capacity by name.
    pub rules: BTreeMap<String, Arc<CapacityRule>>,
    /// Operators by name.
    pub operators: BTreeMap<String, Arc<OperatorSettings>>,
}

impl TeamSettings {
    /// Returns the settings after a change at `path` turned the tree of the team into `root`.
    pub(super) fn update(&self, path: &SettingsPath, root: &Table) -> Result<Self, SettingsRejection> {
        let team = path.team_name().unwrap_or_default();
        if let Some(section) = root.keys().find(|section| !SECTIONS.contains(&section.as_str())) {
            let reason = format!("unknown section, expected one of: {}", SECTIONS.join(", "));
            return Err(SettingsRejection::invalid(
                format!("teams/{team}/{section}"),
                reason,
            ));
        }
        let change = TeamChange { team, root, path };
        let team_id = TeamId::from(team);
        let services = change.section("services", &self.services, |name, item: &mut ServiceSettings| {
            item.name = name.into();
            item.team = team_id.clone();
        })?;
        let customers = change.section(
            "customers",
            &self.customers,
            |name, item: &mut CustomerSettings| {
                item.name = name.into();
                item.team = team_id.clone();
            },
        )?;
        let keys = change.section("keys", &self.keys, |name, item: &mut KeySettings| {
            item.id = name.to_owned();
        })?;
        let rules = change.section("rules", &self.rules, |_, _| {})?;
        let operators = change.section("operators", &self.operators, |_, _| {})?;
        Ok(Self {
            services,
            customers,
            keys,
            rules,
            operators,
        })
    }
}

/// Sections of a team's subtree.
const SECTIONS: [&str; 5] = ["customers", "keys", "operators", "rules", "services"];

/// A changed tree of a team and the path of the change.
struct TeamChange<'a> {
    team: &'a str,
    root: &'a Table,
    path: &'a SettingsPath,
}

impl TeamChange<'_> {
    /// Returns the items of a section, reusing those that the change does not affect.
    fn section<T: DeserializeOwned>(
        &self,
        section: &str,
        before: &BTreeMap<String, Arc<T>>,
        set_name: impl Fn(&str, &mut T),
    ) -> Result<BTreeMap<String, Arc<T>>, SettingsRejection> {
        let (changed_section, changed_item) = match self.path.below_root() {
            [] => (None, None),
            [section] => (Some(section), None),
            [section, item, ..] => (Some(section), Some(item)),
        };
        if changed_section.is_some_and(|changed| changed != section) {
            return Ok(before.clone());
        }
        let section_path = format!("teams/{}/{section}", self.team);
        let empty = Table::new();
        let table = match self.root.get(section) {
            None => &empty,
            Some(Value::Table(table)) => table,
            Some(_) => return Err(SettingsRejection::invalid(section_path, "must be a table")),
        };
        if let Some(name) = changed_item {
            let mut items = before.clone();
            match table.get(name) {
                Some(value) => items.insert(
                    name.clone(),
                    Arc::new(self.item(&section_path, name, value, &set_name)?),
                ),
                None => items.remove(name),
            };
            return Ok(items);
        }
        table
            .iter()
            .map(|(name, value)| {
                let item = self.item(&section_path, name, value, &set_name)?;
                Ok((name.clone(), Arc::new(item)))
            })
            .collect()
    }

    fn item<T: DeserializeOwned>(
        &self,
        section_path: &str,
        name: &str,
        value: &Value,
        set_name: impl Fn(&str, &mut T),
    ) -> Result<T, SettingsRejection> {
        let path = format!("{section_path}/{name}");
        if !is_valid_name(name) {
            return Err(SettingsRejection::invalid(path, "is not a valid name"));
        }
        let mut item = deserialize_value(&path, value)?;
        set_name(name, &mut item);
        Ok(item)
    }
}

pub(super) fn unnamed_service() -> ServiceId {
    ServiceId::from("")
}

pub(super) fn unnamed_customer() -> CustomerId {
    CustomerId::from("")
}

pub(super) fn unnamed_team() -> TeamId {
    TeamId::from("")
}
