//! Settings of customers, their keys, and operators.

use serde::{Deserialize, Serialize};

use crate::keys::KeyHash;
use crate::prelude::*;

/// Settings of one customer.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
#[serde(deny_unknown_fields, default)]
pub struct CustomerSettings {
    /// Name, from the path.
    #[serde(skip, default = "super::team::unnamed_customer")]
    pub name: CustomerId,
    /// Team that owns the customer, from the path.
    #[serde(skip, default = "super::team::unnamed_team")]
    pub team: TeamId,
    /// Share of a contended service, relative to the other customers.
    pub weight: f64,
    /// Services that the customer may use; by default all of its team.
    pub services: Option<Vec<ServiceId>>,
    /// Most requests per second over the fleet.
    pub requests_per_s: Option<f64>,
    /// Most prompt and output tokens per second over the fleet.
    pub tokens_per_s: Option<f64>,
    /// Most open streams over the fleet.
    pub streams: Option<u32>,
    /// True if the customer's work may run on cheaper capacity.
    pub cheap_capacity: bool,
    /// Data centres where the customer's work may run; empty for all.
    pub data_centres: Vec<DataCentre>,
}

impl Default for CustomerSettings {
    fn default() -> Self {
        Self {
            name: super::team::unnamed_customer(),
            team: super::team::unnamed_team(),
            weight: 1.0,
            services: None,
            requests_per_s: None,
            tokens_per_s: None,
            streams: None,
            cheap_capacity: false,
            data_centres: Vec::new(),
        }
    }
}

/// Settings of one key.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
#[serde(deny_unknown_fields, default)]
pub struct KeySettings {
    /// Id, from the path.
    #[serde(skip)]
    pub id: String,
    /// Hash of the key.
    pub hash: KeyHash,
    /// The key's customer, of the same team.
    #[serde(default = "super::team::unnamed_customer")]
    pub customer: CustomerId,
    /// True once the key no longer works.
    pub withdrawn: bool,
    /// Remark for operators.
    pub note: String,
}

impl Default for KeySettings {
    fn default() -> Self {
        Self {
            id: String::new(),
            hash: KeyHash::default(),
            customer: super::team::unnamed_customer(),
            withdrawn: false,
            note: String::new(),
        }
    }
}

/// Settings of one operator.
#[derive(Clone, Debug, Default, Deserialize, PartialEq, Serialize)]
#[serde(deny_unknown_fields, default)]
pub struct OperatorSettings {
    /// Hash of the operator's administration token.
    pub hash: KeyHash,
    /// True if the operator may only read.
    pub read_only: bool,
    /// Remark for other operators.
    pub note: String,
}
