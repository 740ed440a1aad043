//! What an operator should look at.

use serde::Serialize;

use super::FleetStatus;

/// Age of the settings' proof from which it is worth a look, in milliseconds.
const STALE_SETTINGS_MS: u64 = 3_000;

/// Age of a load report from which an upstream is worth a look, in milliseconds.
const STALE_REPORT_MS: u64 = 10_000;

/// One thing that is not well, and what to do.
#[derive(Clone, Debug, Eq, PartialEq, Serialize)]
pub struct Finding {
    /// What is seen.
    pub what: String,
    /// What to do.
    pub advice: String,
}

impl Finding {
    fn new(what: String, advice: &str) -> Self {
        Self {
            what,
            advice: advice.to_owned(),
        }
    }
}

/// Everything that is not well.
pub fn findings(fleet: &FleetStatus) -> Vec<Finding> {
    let mut found = Vec::new();
    unreachable(fleet, &mut found);
    instances(fleet, &mut found);
    versions(fleet, &mut found);
    queues(fleet, &mut found);
    upstreams(fleet, &mut found);
    models(fleet, &mut found);
    found
}

fn unreachable(fleet: &FleetStatus, found: &mut Vec<Finding>) {
    for url in &fleet.unreachable {
        let what = format!("{url} does not answer");
        found.push(Finding::new(
            what,
            "check the process and its network; replace the instance if it is gone",
        ));
    }
}

fn instances(fleet: &FleetStatus, found: &mut Vec<Finding>) {
    for status in &fleet.instances {
        let name = &status.instance;
        if let Some(code) = status.refuses {
            let what = format!("{name} refuses requests with code {code}");
            found.push(Finding::new(
                what,
                "check its way to the log and to the other instances",
            ));
        } else if status.log_failing {
            let what = format!("{name} can't read the log");
            found.push(Finding::new(
                what,
                "check the platform's log; requests are served, changes wait",
            ));
        } else if status.settings_age_ms.is_none_or(|age| age > STALE_SETTINGS_MS) {
            let what = format!(
                "{name} has not proved its settings current for {:?} ms",
                status.settings_age_ms
            );
            found.push(Finding::new(what, "check its way to the log"));
        }
    }
}

fn versions(fleet: &FleetStatus, found: &mut Vec<Finding>) {
    let newest = fleet.instances.iter().map(|status| status.settings_version).max();
    for status in fleet
        .instances
        .iter()
        .filter(|status| Some(status.settings_version) != newest)
    {
        let what = format!(
            "{} is behind, at settings version {}",
            status.instance, status.settings_version
        );
        found.push(Finding::new(
            what,
            "look again in seconds; if it stays, check its way to the log",
        ));
    }
}

fn queues(fleet: &FleetStatus, found: &mut Vec<Finding>) {
    for status in &fleet.instances {
        for queue in status.queues.iter().filter(|queue| queue.queued[0] > 0) {
            let what = format!(
                "{} interactive requests wait for {} at {}",
                queue.queued[0], queue.service, status.instance
            );
            found.push(Finding::new(
                what,
                "order more upstreams or lower the limits of the customers that crowd",
            ));
        }
        for queue in status.queues.iter().filter(|queue| queue.slots == 0) {
            let what = format!(
                "{} has no upstream that takes work, seen from {}",
                queue.service, status.instance
            );
            found.push(Finding::new(
                what,
                "order upstreams; check those that leave or change",
            ));
        }
    }
}

fn upstreams(fleet: &FleetStatus, found: &mut Vec<Finding>) {
    let Some(status) = fleet.instances.first() else {
        return;
    };
    let silent = |age: Option<u64>| age.is_none_or(|age| age > STALE_REPORT_MS);
    for upstream in status.upstreams.iter().filter(|upstream| !upstream.leaving) {
        if silent(upstream.report_age_ms) {
            let what = format!("{} has not reported its load for 10 s or more", upstream.upstream);
            found.push(Finding::new(
                what,
                "check the upstream; withdraw it if it is gone",
            ));
        }
    }
}

/// An engine without a model takes no chat, although its slots count.
fn models(fleet: &FleetStatus, found: &mut Vec<Finding>) {
    let Some(status) = fleet.instances.first() else {
        return;
    };
    for queue in &status.queues {
        let of_service = status
            .upstreams
            .iter()
            .filter(|upstream| upstream.service == queue.service);
        let mut engines = of_service
            .filter(|upstream| upstream.is_engine && !upstream.leaving)
            .peekable();
        if engines.peek().is_some() && engines.all(|engine| engine.models.is_empty()) {
            let what = format!(
                "no engine of {} has loaded a model; its chats are refused with 3005",
                queue.service
            );
            found.push(Finding::new(
                what,
                "load a model at the engines, or check what their load reports say",
            ));
        }
    }
}
