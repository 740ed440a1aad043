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

/// Lookups over the settings of all teams.
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

    /// Position after the last record folded.
    pub fn version(&self) -> LogPosition {
        self.version
    }

    /// Settings of the whole fleet.
    pub fn fleet(&self) -> &FleetSettings {
        &self.index.fleet
    }

    /// The service with the name.
    pub fn service(&self, name: &str) -> Option<&Arc<ServiceSettings>> {
        self.index.services.get(name)
    }

    /// All services, in no order.
    pub fn services(&self) -> impl Iterator<Item = &Arc<ServiceSettings>> {
        self.index.services.values()
    }

    /// The service that offers the model.
    pub fn service_for_model(&self, model: &str) -> Option<&Arc<ServiceSettings>> {
        self.index.models.get(model)
    }

    /// The key with the hash, also if it was withdrawn.
    pub fn key(&self, hash: &KeyHash) -> Option<&Arc<KeySettings>> {
        self.index.keys.get(hash)
    }

    /// The customer with the name.
    pub fn customer(&self, name: &str) -> Option<&Arc<CustomerSettings>> {
        self.index.customers.get(name)
    }

    /// All customers, in no order.
    pub fn customers(&self) -> impl Iterator<Item = &Arc<CustomerSettings>> {
        self.index.customers.values()
    }

    /// The value at a path as it was published, `None` if there is none.
    pub fn value(&self, path: &SettingsPath) -> Option<Value> {
        self.index.trees.value(path)
    }

    /// Settings of one team.
    pub fn team(&self, name: &str) -> Option<&Arc<TeamSettings>> {
        self.index.teams.get(name)
    }

    /// All teams, by name.
    pub fn teams(&self) -> impl Iterator<Item = (&TeamId, &Arc<TeamSettings>)> {
        self.index.teams.iter()
    }

    /// The customer whose key it is.
    ///
    /// # Errors
    ///
    /// [`ResultCode::UnknownKey`] or [`ResultCode::WithdrawnKey`].
    pub fn authenticate(&self, hash: &KeyHash) -> Result<&Arc<CustomerSettings>, ResultCode> {
        let key = self.key(hash).ok_or(ResultCode::UnknownKey)?;
        if key.withdrawn {
            return Err(ResultCode::WithdrawnKey);
        }
        self.customer(key.customer.as_str()).ok_or(ResultCode::UnknownKey)
    }

    /// True if the customer may use the service.
    ///
    /// A service of another team must be shared by that team and named by the customer.
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

    /// Rules for cheap upstreams of a service.
    pub fn rules_for_service(&self, service: &ServiceSettings) -> impl Iterator<Item = &Arc<CapacityRule>> {
        let rules = self
            .team(service.team.as_str())
            .into_iter()
            .flat_map(|team| team.rules.values());
        let name = service.name.clone();
        rules.filter(move |rule| rule.covers_service(name.as_str()))
    }

    /// True if a customer's request may run on a cheap upstream of the service in the data centre.
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

    /// The operator with the token's hash.
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

/// Operator that the settings name.
#[derive(Clone, Copy, Debug)]
pub struct KnownOperator<'a> {
    /// Name within the team or the fleet.
    pub name: &'a str,
    /// The operator's team; `None` for one of the fleet.
    pub team: Option<&'a TeamId>,
    /// The operator's settings.
    pub settings: &'a OperatorSettings,
}
