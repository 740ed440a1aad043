//! Checks of the fleet's status for anything that needs an operator's attention.

use serde::Serialize;

use super::FleetStatus;

/// Time since the settings were last confirmed current from which it is reported, in milliseconds.
const STALE_SETTINGS_MS: u64 = 3_000;

/// Age of its last load report from which an upstream is reported, in milliseconds.
const STALE_REPORT_MS: u64 = 10_000;

/// One problem of the fleet and what to do about it.
#[derive(Clone, Debug, Eq, PartialEq, Serialize)]
pub struct Finding {
    /// Description of the problem.
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

/// Finds all problems in the status of a fleet.
pub fn findings(fleet: &FleetStatus) -> Vec<Finding> {
    let mut found = Vec::new();
    check_unreachable(fleet, &mut found);
    check_instances(fleet, &mut found);
    check_versions(fleet, &mut found);
    check_queues(fleet, &mut found);
    check_upstreams(fleet, &mut found);
    check_models(fleet, &mut found);
    found
}

fn check_unreachable(fleet: &FleetStatus, found: &mut Vec<Finding>) {
    for url in &fleet.unreachable {
        let what = format!("{url} does not answer");
        found.push(Finding::new(
            what,
            "check the process and its network; replace the instance if it is gone",
        ));
    }
}

fn check_instances(fleet: &FleetStatus, found: &mut Vec<Finding>) {
    for status in &fleet.instances {
        let name = &status.instance;
        if let Some(code) = status.refuses {
            let what = format!("{name} refuses requests with code {code}");
            found.push(Finding::new(
                what,
                "check its connection to the log and to the other instances",
            ));
        } else if status.log_failing {
            let what = format!("{name} can't read the log");
            found.push(Finding::new(
                what,
                "check the platform's log; requests are served, but settings changes wait",
            ));
        } else if status.settings_age_ms.is_none_or(|age| age > STALE_SETTINGS_MS) {
            let what = format!(
                "{name} has not confirmed that its settings are current for {:?} ms",
                status.settings_age_ms
            );
            found.push(Finding::new(what, "check its connection to the log"));
        }
    }
}

fn check_versions(fleet: &FleetStatus, found: &mut Vec<Finding>) {
    let newest = fleet.instances.iter().map(|status| status.settings_version).max();
    for status in fleet
        .instances
        .iter()
        .filter(|status| Some(status.settings_version) != newest)
    {
        let what = format!(
            "{} is behind the newest settings, at version {}",
            status.instance, status.settings_version
        );
        found.push(Finding::new(
            what,
            "check again in a few seconds; if it stays behind, check its connection to the log",
        ));
    }
}

fn check_queues(fleet: &FleetStatus, found: &mut Vec<Finding>) {
    for status in &fleet.instances {
        for queue in status.queues.iter().filter(|queue| queue.queued[0] > 0) {
            let what = format!(
                "{} interactive requests wait for {} at {}",
                queue.queued[0], queue.service, status.instance
            );
            found.push(Finding::new(
                what,
                "order more upstreams, or lower the limits of the customers that send the most",
            ));
        }
        for queue in status.queues.iter().filter(|queue| queue.slots == 0) {
            let what = format!(
                "{} has no upstream that accepts work, as seen by {}",
                queue.service, status.instance
            );
            found.push(Finding::new(
                what,
                "order upstreams, and check those that are leaving or changing",
            ));
        }
    }
}

fn check_upstreams(fleet: &FleetStatus, found: &mut Vec<Finding>) {
    let Some(status) = fleet.instances.first() else {
        return;
    };
    let is_stale = |age: Option<u64>| age.is_none_or(|age| age > STALE_REPORT_MS);
    for upstream in status.upstreams.iter().filter(|upstream| !upstream.leaving) {
        if is_stale(upstream.report_age_ms) {
            let what = format!("{} has not reported its load for 10 s or more", upstream.upstream);
            found.push(Finding::new(
                what,
                "check the upstream; withdraw it if it is gone",
            ));
        }
    }
}

/// Finds services whose engines have no model loaded: they accept no chats, although their slots count.
fn check_models(fleet: &FleetStatus, found: &mut Vec<Finding>) {
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
                "load a model on the engines, or check the models in their load reports",
            ));
        }
    }
}
