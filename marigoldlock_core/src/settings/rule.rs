//! Rules for the use of cheap, interruptible capacity.

use serde::{Deserialize, Serialize};

use crate::prelude::*;
use crate::settings::RequestClass;

/// Which work of a team's services may run on cheap upstreams, and how many of them a service may use.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
#[serde(deny_unknown_fields, default)]
pub struct CapacityRule {
    /// Services of the team that the rule covers; all if empty.
    pub services: Vec<ServiceId>,
    /// Customers that the rule covers, provided that they allow cheap capacity; all such customers if empty.
    pub customers: Vec<CustomerId>,
    /// Request classes that the rule covers.
    pub classes: Vec<RequestClass>,
    /// Data centres where cheap upstreams may run; all if empty.
    pub data_centres: Vec<DataCentre>,
    /// Maximum number of cheap upstreams of a service in one data centre.
    pub cap_per_data_centre: u32,
    /// Minimum number of steady upstreams that a service keeps besides the cheap ones.
    pub steady_floor: u32,
}

impl Default for CapacityRule {
    fn default() -> Self {
        Self {
            services: Vec::new(),
            customers: Vec::new(),
            classes: vec![RequestClass::Long],
            data_centres: Vec::new(),
            cap_per_data_centre: 2,
            steady_floor: 1,
        }
    }
}

impl CapacityRule {
    /// Returns true if the rule covers the service.
    pub fn covers_service(&self, service: &str) -> bool {
        self.services.is_empty() || self.services.iter().any(|name| name.as_str() == service)
    }

    /// Returns true if the rule covers the customer; whether the customer allows cheap capacity is not
    /// checked.
    pub fn covers_customer(&self, customer: &str) -> bool {
        self.customers.is_empty() || self.customers.iter().any(|name| name.as_str() == customer)
    }

    /// Returns true if cheap upstreams may run in the data centre.
    pub fn covers_data_centre(&self, data_centre: &str) -> bool {
        self.data_centres.is_empty() || self.data_centres.iter().any(|name| name.as_str() == data_centre)
    }
}
