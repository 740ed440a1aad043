//! Settings of the whole fleet.

use std::collections::BTreeMap;

use serde::{Deserialize, Serialize};

use crate::settings::OperatorSettings;

/// Relative weights of the objectives that the fleet optimizes.
#[derive(Clone, Copy, Debug, Deserialize, PartialEq, Serialize)]
#[serde(deny_unknown_fields, default)]
pub struct ObjectiveWeights {
    /// Weight of requests that are answered within their latency targets.
    pub goodput: f64,
    /// Weight of the service level of the worst-served customer.
    pub worst_served: f64,
    /// Weight of the cost of the upstreams.
    pub cost: f64,
}

impl Default for ObjectiveWeights {
    fn default() -> Self {
        Self {
            goodput: 1.0,
            worst_served: 1.0,
            cost: 0.5,
        }
    }
}

/// How long an instance keeps serving with settings that it can't refresh.
#[derive(Clone, Copy, Debug, Deserialize, PartialEq, Serialize)]
#[serde(deny_unknown_fields, default)]
pub struct FreshnessSettings {
    /// Limit for an instance that alone is cut off from the log, in milliseconds.
    pub cut_off_ms: u64,
    /// Limit during an outage of the log that the visible members confirm, in milliseconds.
    pub outage_ms: u64,
}

impl Default for FreshnessSettings {
    fn default() -> Self {
        Self {
            cut_off_ms: 5_000,
            outage_ms: 2 * 60 * 60 * 1_000,
        }
    }
}

/// How settings are distributed to the instances.
#[derive(Clone, Copy, Debug, Deserialize, PartialEq, Serialize)]
#[serde(deny_unknown_fields, default)]
pub struct SpreadSettings {
    /// Number of instances in each data centre that follow the log directly.
    pub relays_per_data_centre: u32,
    /// Time for which a relay holds a request while it has nothing newer to answer, in milliseconds.
    pub pull_wait_ms: u64,
    /// Age of the newest snapshot at which the next one is written, in seconds.
    pub snapshot_interval_s: u64,
}

impl Default for SpreadSettings {
    fn default() -> Self {
        Self {
            relays_per_data_centre: 2,
            pull_wait_ms: 500,
            snapshot_interval_s: 6 * 60 * 60,
        }
    }
}

/// Settings of the whole fleet, at `fleet`.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
#[serde(deny_unknown_fields, default)]
pub struct FleetSettings {
    /// What the fleet is run for.
    pub weights: ObjectiveWeights,
    /// Bounds on stale settings.
    pub freshness: FreshnessSettings,
    /// Distribution of settings between instances.
    pub spread: SpreadSettings,
    /// Length of a usage window, in seconds.
    pub usage_window_s: u64,
    /// Interval between heartbeats, in milliseconds.
    pub heartbeat_interval_ms: u64,
    /// Time for which callers may cache an answer with addresses, in milliseconds.
    pub address_ttl_ms: u64,
    /// Operators of the whole fleet, by name.
    pub operators: BTreeMap<String, OperatorSettings>,
}

impl Default for FleetSettings {
    fn default() -> Self {
        Self {
            weights: ObjectiveWeights::default(),
            freshness: FreshnessSettings::default(),
            spread: SpreadSettings::default(),
            usage_window_s: 60,
            heartbeat_interval_ms: 500,
            address_ttl_ms: 10_000,
            operators: BTreeMap::new(),
        }
    }
}
