//! The settings in force, indexed for lookups on the request path.

use std::collections::BTreeMap;
use std::sync::Arc;

use toml::Value;

use crate::keys::KeyHash;
use crate::prelude::*;
use crate::settings::trees::SettingsTrees;
use crate::settings::{
    CapacityRule, CustomerSettings, FleetSettings, KeySettings, OperatorSettings, RequestClass,
    ServiceSettings, SettingsFold, SettingsPath, TeamSettings,
};

/// Settings in force at one version.
#[derive(Clone, Debug, Default)]
pub struct ActiveSettings {
    version: LogPosition,
    index: Arc<SettingsIndex>,
}

/// Lookup tables over the settings of all teams.
#[derive(Debug, Default)]
pub(super) struct SettingsIndex {
    fleet: Arc<FleetSettings>,
    teams: BTreeMap<TeamId, Arc<TeamSettings>>,
    trees: SettingsTrees,
    services: FastMap<ServiceId, Arc<ServiceSettings>>,
    models: FastMap<ModelId, Arc<ServiceSettings>>,
    customers: FastMap<CustomerId, Arc<CustomerSettings>>,
    keys: FastMap<KeyHash, Arc<KeySettings>>,
}

impl SettingsIndex {
    pub(super) fn build(fold: &SettingsFold) -> Self {
        let mut index = Self {
            fleet: fold.fleet.clone(),
            teams: fold.teams.clone(),
            trees: fold.trees.clone(),
            ..Self::default()
        };
        for team in fold.teams.values() {
            for service in team.services.values() {
                index.services.insert(service.name.clone(), service.clone());
                let models = service
                    .models
                    .iter()
                    .map(|model| (model.clone(), service.clone()));
                index.models.extend(models);
            }
            let customers = team.customers.values();
            index
                .customers
                .extend(customers.map(|customer| (customer.name.clone(), customer.clone())));
            index
                .keys
                .extend(team.keys.values().map(|key| (key.hash, key.clone())));
        }
        index
    }
}

impl ActiveSettings {
    pub(super) fn new(version: LogPosition, index: Arc<SettingsIndex>) -> Self {
        Self { version, index }
    }

    /// Returns the position after the last applied record.
    pub fn version(&self) -> LogPosition {
        self.version
    }

    /// Returns the settings of the whole fleet.
    pub fn fleet(&self) -> &FleetSettings {
        &self.index.fleet
    }

    /// Returns the service with a name.
    pub fn service(&self, name: &str) -> Option<&Arc<ServiceSettings>> {
        self.index.services.get(name)
    }

    /// Iterates over all services in arbitrary order.
    pub fn services(&self) -> impl Iterator<Item = &Arc<ServiceSettings>> {
        self.index.services.values()
    }

    /// Returns the service that offers a model.
    pub fn service_for_model(&self, model: &str) -> Option<&Arc<ServiceSettings>> {
        self.index.models.get(model)
    }

    /// Returns the key with a hash, even if it was withdrawn.
    pub fn key(&self, hash: &KeyHash) -> Option<&Arc<KeySettings>> {
        self.index.keys.get(hash)
    }

    /// Returns the customer with a name.
    pub fn customer(&self, name: &str) -> Option<&Arc<CustomerSettings>> {
        self.index.customers.get(name)
    }

    /// Iterates over all customers in arbitrary order.
    pub fn customers(&self) -> impl Iterator<Item = &Arc<CustomerSettings>> {
        self.index.customers.values()
    }

    /// Returns the value at a path as it was published, if there is one.
    pub fn value(&self, path: &SettingsPath) -> Option<Value> {
        self.index.trees.value(path)
    }

    /// Returns the settings of a team.
    pub fn team(&self, name: &str) -> Option<&Arc<TeamSettings>> {
        self.index.teams.get(name)
    }

    /// Iterates over all teams in order of their names.
    pub fn teams(&self) -> impl Iterator<Item = (&TeamId, &Arc<TeamSettings>)> {
        self.index.teams.iter()
    }

    /// Returns the customer that a key belongs to.
    ///
    /// # Errors
    ///
    /// Fails with [`ResultCode::UnknownKey`] or [`ResultCode::WithdrawnKey`].
    pub fn authenticate(&self, hash: &KeyHash) -> Result<&Arc<CustomerSettings>, ResultCode> {
        let key = self.key(hash).ok_or(ResultCode::UnknownKey)?;
        if key.withdrawn {
            return Err(ResultCode::WithdrawnKey);
        }
        self.customer(key.customer.as_str()).ok_or(ResultCode::UnknownKey)
    }

    /// Returns true if the customer may use the service.
    ///
    /// For a service of another team, that team must share it with the customer's team, and the customer's
    /// settings must list it.
    pub fn allows(&self, customer: &CustomerSettings, service: &ServiceSettings) -> bool {
        let own = customer.team == service.team;
        let listed = customer
            .services
            .as_ref()
            .map(|services| services.contains(&service.name));
        if own {
            listed.unwrap_or(true)
        } else {
            listed == Some(true) && service.shared_with.contains(&customer.team)
        }
    }

    /// Returns the rules that govern cheap upstreams of a service.
    pub fn rules_for_service(&self, service: &ServiceSettings) -> impl Iterator<Item = &Arc<CapacityRule>> {
        let rules = self
            .team(service.team.as_str())
            .into_iter()
            .flat_map(|team| team.rules.values());
        let name = service.name.clone();
        rules.filter(move |rule| rule.covers_service(name.as_str()))
    }

    /// Returns true if a customer's request may run on a cheap upstream of the service in the data centre.
    pub fn allows_cheap(
        &self,
        customer: &CustomerSettings,
        service: &ServiceSettings,
        class: RequestClass,
        data_centre: &str,
    ) -> bool {
        customer.cheap_capacity
            && self.rules_for_service(service).any(|rule| {
                rule.classes.contains(&class)
                    && rule.covers_customer(customer.name.as_str())
                    && rule.covers_data_centre(data_centre)
            })
    }

    /// Returns the operator whose administration token has the hash.
    pub fn operator(&self, hash: &KeyHash) -> Option<KnownOperator<'_>> {
        let of_fleet = self
            .fleet()
            .operators
            .iter()
            .map(|(name, settings)| KnownOperator {
                name,
                team: None,
                settings,
            });
        let of_teams = self.teams().flat_map(|(team, team_settings)| {
            let operators = team_settings.operators.iter();
            operators.map(move |(name, settings)| KnownOperator {
                name,
                team: Some(team),
                settings,
            })
        });
        of_fleet
            .chain(of_teams)
            .find(|operator| operator.settings.hash == *hash)
    }
}

/// Operator defined in the settings of the fleet or of a team.
#[derive(Clone, Copy, Debug)]
pub struct KnownOperator<'a> {
    /// Name within the team or the fleet.
    pub name: &'a str,
    /// The operator's team, or `None` for an operator of the whole fleet.
    pub team: Option<&'a TeamId>,
    /// The operator's settings.
    pub settings: &'a OperatorSettings,
}
