//! Validation of single values and of references between items.

use std::collections::BTreeMap;
use std::ops::RangeInclusive;
use std::sync::Arc;

use crate::keys::KeyHash;
use crate::prelude::*;
use crate::settings::path::is_valid_name;
use crate::settings::{
    CapacityRule, CustomerSettings, FleetSettings, OperatorSettings, ServiceKind, ServiceSettings,
    SettingsRejection, TeamSettings,
};

type CheckResult = Result<(), SettingsRejection>;

/// One hour, in milliseconds.
const HOUR_MS: u64 = 60 * 60 * 1_000;

/// One day, in milliseconds.
const DAY_MS: u64 = 24 * HOUR_MS;

/// Largest request body that may be set, in bytes.
const MAX_BODY_BYTES: u64 = 64 << 20;

/// Validates the settings of the fleet.
pub(super) fn check_fleet(fleet: &FleetSettings) -> CheckResult {
    let path = "fleet";
    let weights = &fleet.weights;
    check_range(path, "weights/goodput", weights.goodput, 0.0..=1_000.0)?;
    check_range(path, "weights/worst_served", weights.worst_served, 0.0..=1_000.0)?;
    check_range(path, "weights/cost", weights.cost, 0.0..=1_000.0)?;
    check_range(
        path,
        "freshness/cut_off_ms",
        fleet.freshness.cut_off_ms,
        1_000..=60_000,
    )?;
    check_range(
        path,
        "freshness/outage_ms",
        fleet.freshness.outage_ms,
        fleet.freshness.cut_off_ms..=DAY_MS,
    )?;
    check_range(
        path,
        "spread/relays_per_data_centre",
        fleet.spread.relays_per_data_centre,
        1..=16,
    )?;
    // An instance's proof that its settings are fresh must outlast two long polls and the undetected crash
    // of a relay.
    check_range(
        path,
        "spread/pull_wait_ms",
        fleet.spread.pull_wait_ms,
        50..=fleet.freshness.cut_off_ms / 5,
    )?;
    check_range(
        path,
        "spread/snapshot_interval_s",
        fleet.spread.snapshot_interval_s,
        10..=DAY_MS / 1_000,
    )?;
    check_range(path, "usage_window_s", fleet.usage_window_s, 1..=DAY_MS / 1_000)?;
    check_range(
        path,
        "heartbeat_interval_ms",
        fleet.heartbeat_interval_ms,
        50..=10_000,
    )?;
    check_range(
        path,
        "address_ttl_ms",
        fleet.address_ttl_ms,
        100..=10 * 60 * 1_000,
    )?;
    for (name, operator) in &fleet.operators {
        check_operator(&format!("{path}/operators/{name}"), operator)?;
    }
    Ok(())
}

/// Validates each item of a team and the references between its items.
pub(super) fn check_team(team: &TeamId, settings: &TeamSettings) -> CheckResult {
    let root = format!("teams/{team}");
    for (name, service) in &settings.services {
        check_service(&format!("{root}/services/{name}"), service)?;
    }
    for (name, customer) in &settings.customers {
        check_customer(&format!("{root}/customers/{name}"), customer)?;
    }
    for (name, rule) in &settings.rules {
        check_rule(&format!("{root}/rules/{name}"), rule, settings)?;
    }
    for (name, operator) in &settings.operators {
        check_operator(&format!("{root}/operators/{name}"), operator)?;
    }
    for (id, key) in &settings.keys {
        let path = format!("{root}/keys/{id}");
        check_hash(&path, &key.hash)?;
        if !settings.customers.contains_key(key.customer.as_str()) {
            let reason = format!("team {team} has no customer {:?}", key.customer.as_str());
            return Err(SettingsRejection::invalid(format!("{path}/customer"), reason));
        }
    }
    Ok(())
}

fn check_service(path: &str, service: &ServiceSettings) -> CheckResult {
    check_range(
        path,
        "body_limit_bytes",
        service.body_limit_bytes,
        1..=MAX_BODY_BYTES,
    )?;
    check_range(path, "queue_limit", service.queue_limit, 1..=100_000)?;
    check_range(
        path,
        "max_streams_per_customer",
        service.max_streams_per_customer,
        1..=100_000,
    )?;
    check_range(
        path,
        "first_token_target_ms",
        service.first_token_target_ms,
        1..=HOUR_MS,
    )?;
    check_range(
        path,
        "token_gap_target_ms",
        service.token_gap_target_ms,
        1..=60_000,
    )?;
    check_range(path, "answer_timeout_ms", service.answer_timeout_ms, 100..=DAY_MS)?;
    check_range(
        path,
        "progress_timeout_ms",
        service.progress_timeout_ms,
        50..=service.answer_timeout_ms,
    )?;
    check_range(
        path,
        "max_output_tokens",
        service.max_output_tokens,
        1..=1_000_000,
    )?;
    check_range(
        path,
        "expected_output_tokens",
        service.expected_output_tokens,
        1..=service.max_output_tokens,
    )?;
    check_range(path, "prefill_weight", service.prefill_weight, 0.001..=1_000.0)?;
    check_range(path, "decode_weight", service.decode_weight, 0.001..=1_000.0)?;
    check_range(path, "upstream_limit", service.upstream_limit, 1..=10_000)?;
    check_range(
        path,
        "steady_floor",
        service.steady_floor,
        0..=service.upstream_limit,
    )?;
    let models = &service.models;
    match service.kind {
        ServiceKind::Chat if models.is_empty() => {
            return Err(SettingsRejection::invalid(
                format!("{path}/models"),
                "a chat service needs a model",
            ));
        }
        ServiceKind::Plain if !models.is_empty() => {
            return Err(SettingsRejection::invalid(
                format!("{path}/models"),
                "a plain service has no models",
            ));
        }
        ServiceKind::Chat | ServiceKind::Plain => {}
    }
    let printable = |model: &ModelId| {
        let text = model.as_str();
        !text.is_empty() && text.len() <= 128 && text.bytes().all(|byte| byte.is_ascii_graphic())
    };
    if let Some(model) = models.iter().find(|model| !printable(model)) {
        let reason = format!(
            "model {:?} is not 1 to 128 printable ASCII characters",
            model.as_str()
        );
        return Err(SettingsRejection::invalid(format!("{path}/models"), reason));
    }
    Ok(())
}

fn check_customer(path: &str, customer: &CustomerSettings) -> CheckResult {
    check_range(path, "weight", customer.weight, 0.001..=1_000.0)?;
    if let Some(rate) = customer.requests_per_s {
        check_range(path, "requests_per_s", rate, 0.001..=1_000_000.0)?;
    }
    if let Some(rate) = customer.tokens_per_s {
        check_range(path, "tokens_per_s", rate, 0.001..=1_000_000_000.0)?;
    }
    if let Some(streams) = customer.streams {
        check_range(path, "streams", streams, 1..=1_000_000)?;
    }
    let services = customer.services.iter().flatten().map(ServiceId::as_str);
    check_names(path, "services", services)?;
    check_names(
        path,
        "data_centres",
        customer.data_centres.iter().map(DataCentre::as_str),
    )
}

fn check_rule(path: &str, rule: &CapacityRule, team: &TeamSettings) -> CheckResult {
    check_range(path, "cap_per_data_centre", rule.cap_per_data_centre, 0..=10_000)?;
    // Without a steady upstream, losing the cheap ones would take the service down.
    check_range(path, "steady_floor", rule.steady_floor, 1..=10_000)?;
    check_names(
        path,
        "data_centres",
        rule.data_centres.iter().map(DataCentre::as_str),
    )?;
    if let Some(name) = rule
        .services
        .iter()
        .find(|name| !team.services.contains_key(name.as_str()))
    {
        let reason = format!("the team has no service {:?}", name.as_str());
        return Err(SettingsRejection::invalid(format!("{path}/services"), reason));
    }
    check_names(path, "customers", rule.customers.iter().map(CustomerId::as_str))
}

fn check_operator(path: &str, operator: &OperatorSettings) -> CheckResult {
    check_hash(path, &operator.hash)
}

fn check_hash(path: &str, hash: &KeyHash) -> CheckResult {
    if *hash == KeyHash::default() {
        return Err(SettingsRejection::invalid(
            format!("{path}/hash"),
            "a hash is needed",
        ));
    }
    Ok(())
}

fn check_names<'a>(path: &str, field: &str, mut names: impl Iterator<Item = &'a str>) -> CheckResult {
    match names.find(|name| !is_valid_name(name)) {
        Some(name) => Err(SettingsRejection::invalid(
            format!("{path}/{field}"),
            format!("{name:?} is not a name"),
        )),
        None => Ok(()),
    }
}

/// Checks that names, models and key hashes that must be unique in the fleet occur in one team only.
pub(super) fn check_unique(
    team: &TeamId,
    settings: &TeamSettings,
    teams: &BTreeMap<TeamId, Arc<TeamSettings>>,
) -> CheckResult {
    let root = format!("teams/{team}");
    let mut models: FastMap<&ModelId, &str> = FastMap::default();
    let mut hashes: FastMap<&KeyHash, &str> = FastMap::default();
    let others = || teams.iter().filter(|(name, _)| *name != team);
    for (_, other) in others() {
        models.extend(
            other
                .services
                .values()
                .flat_map(|service| service.models.iter().map(|model| (model, service.name.as_str()))),
        );
        hashes.extend(other.keys.iter().map(|(id, key)| (&key.hash, id.as_str())));
    }
    for (name, service) in &settings.services {
        let path = format!("{root}/services/{name}");
        if let Some((owner, _)) = others().find(|(_, other)| other.services.contains_key(name)) {
            return Err(SettingsRejection::invalid(
                path,
                format!("team {owner} has a service of this name"),
            ));
        }
        for model in &service.models {
            if let Some(owner) = models.insert(model, name) {
                let reason = format!("model {:?} belongs to service {owner}", model.as_str());
                return Err(SettingsRejection::invalid(format!("{path}/models"), reason));
            }
        }
    }
    for name in settings.customers.keys() {
        if let Some((owner, _)) = others().find(|(_, other)| other.customers.contains_key(name)) {
            let reason = format!("team {owner} has a customer of this name");
            return Err(SettingsRejection::invalid(
                format!("{root}/customers/{name}"),
                reason,
            ));
        }
    }
    for (id, key) in &settings.keys {
        if hashes.insert(&key.hash, id).is_some() {
            let reason = "another key has the same hash";
            return Err(SettingsRejection::invalid(
                format!("{root}/keys/{id}/hash"),
                reason,
            ));
        }
    }
    Ok(())
}

fn check_range<T: PartialOrd + std::fmt::Display>(
    path: &str,
    field: &str,
    value: T,
    bounds: RangeInclusive<T>,
) -> CheckResult {
    if bounds.contains(&value) {
        return Ok(());
    }
    let reason = format!("{value} is not within {} and {}", bounds.start(), bounds.end());
    Err(SettingsRejection::invalid(format!("{path}/{field}"), reason))
}
