//! Rules for the use of cheaper capacity.

use serde::{Deserialize, Serialize};

use crate::prelude::*;
use crate::settings::RequestClass;

/// Which work of a team's services may run on cheaper capacity, and how much.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
#[serde(deny_unknown_fields, default)]
pub struct CapacityRule {
    /// Services of the team that the rule covers; empty for all.
    pub services: Vec<ServiceId>,
    /// Customers that the rule covers, among those that allow it; empty for all of these.
    pub customers: Vec<CustomerId>,
    /// Classes of requests that the rule covers.
    pub classes: Vec<RequestClass>,
    /// Data centres where cheap upstreams may stand; empty for all.
    pub data_centres: Vec<DataCentre>,
    /// Most cheap upstreams of a service in one data centre.
    pub cap_per_data_centre: u32,
    /// Fewest steady upstreams that a service keeps beside the cheap ones.
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
    /// True if the rule covers the service.
    pub fn covers_service(&self, service: &str) -> bool {
        self.services.is_empty() || self.services.iter().any(|name| name.as_str() == service)
    }

    /// True if the rule covers the customer, provided that the customer allows it.
    pub fn covers_customer(&self, customer: &str) -> bool {
        self.customers.is_empty() || self.customers.iter().any(|name| name.as_str() == customer)
    }

    /// True if cheap upstreams may stand in the data centre.
    pub fn covers_data_centre(&self, data_centre: &str) -> bool {
        self.data_centres.is_empty() || self.data_centres.iter().any(|name| name.as_str() == data_centre)
    }
}
