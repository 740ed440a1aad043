//! Settings of customers, their keys, and operators.

use serde::{Deserialize, Serialize};

use crate::keys::KeyHash;
use crate::prelude::*;

/// Settings of one customer.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
#[serde(deny_unknown_fields, default)]
pub struct CustomerSettings {
    /// Name, taken from the path.
    #[serde(skip, default = "super::team::unnamed_customer")]
    pub name: CustomerId,
    /// Team that owns the customer, taken from the path.
    #[serde(skip, default = "super::team::unnamed_team")]
    pub team: TeamId,
    /// Share of a contended service, relative to the weights of the other customers.
    pub weight: f64,
    /// Services that the customer may use; all services of its team if unset.
    pub services: Option<Vec<ServiceId>>,
    /// Limit on requests per second across the fleet.
    pub requests_per_s: Option<f64>,
    /// Limit on prompt and output tokens per second across the fleet.
    pub tokens_per_s: Option<f64>,
    /// Limit on open streams across the fleet.
    pub streams: Option<u32>,
    /// Whether the customer's work may run on cheap, interruptible capacity.
    pub cheap_capacity: bool,
    /// Data centres where the customer's work may run; all if empty.
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
    /// Id, taken from the path.
    #[serde(skip)]
    pub id: String,
    /// Hash of the key.
    pub hash: KeyHash,
    /// Customer that the key belongs to, in the same team.
    #[serde(default = "super::team::unnamed_customer")]
    pub customer: CustomerId,
    /// Whether the key has been withdrawn and is no longer accepted.
    pub withdrawn: bool,
    /// Note for operators.
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
    /// Whether the operator may only read.
    pub read_only: bool,
    /// Note for other operators.
    pub note: String,
}
