//! Settings of the whole fleet.

use std::collections::BTreeMap;

use serde::{Deserialize, Serialize};

use crate::settings::OperatorSettings;

/// What the fleet is run for: how much each aim counts against the others.
#[derive(Clone, Copy, Debug, Deserialize, PartialEq, Serialize)]
#[serde(deny_unknown_fields, default)]
pub struct ObjectiveWeights {
    /// Requests answered within their targets.
    pub goodput: f64,
    /// How the worst-served customer fares.
    pub worst_served: f64,
    /// Upstream spending.
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

/// How long an instance serves with settings that it can't refresh.
#[derive(Clone, Copy, Debug, Deserialize, PartialEq, Serialize)]
#[serde(deny_unknown_fields, default)]
pub struct FreshnessSettings {
    /// Bound for an instance that is cut off, in milliseconds.
    pub cut_off_ms: u64,
    /// Bound in an outage of the log that the visible members confirm, in milliseconds.
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

/// How settings reach the instances.
#[derive(Clone, Copy, Debug, Deserialize, PartialEq, Serialize)]
#[serde(deny_unknown_fields, default)]
pub struct SpreadSettings {
    /// Instances of a data centre that follow the log directly.
    pub relays_per_data_centre: u32,
    /// Time for which a relay keeps a request that it has nothing new for, in milliseconds.
    pub pull_wait_ms: u64,
    /// Age of the newest snapshot at which another is written, in seconds.
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
    /// Spread of settings between instances.
    pub spread: SpreadSettings,
    /// Length of a usage window, in seconds.
    pub usage_window_s: u64,
    /// Time between two heartbeats, in milliseconds.
    pub heartbeat_interval_ms: u64,
    /// Time that callers may keep an address answer, in milliseconds.
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
