//! Checks of the guarantees after a demo.

use marigoldlock_fleet::Fleet;

use super::summary::DemoSummary;
use super::workload::DemoOutcome;

/// Compares the callers' outcomes with the calls that the plain services ran.
pub fn check_calls(fleet: &Fleet, outcomes: &[DemoOutcome], summary: &mut DemoSummary) {
    let runs = fleet.runs_by_key();
    for (key, count) in runs.iter().filter(|(_, count)| **count > 1) {
        summary.duplicates += 1;
        summary.broken.push(format!("the call {key} ran {count} times"));
    }
    for outcome in outcomes {
        match outcome {
            DemoOutcome::Answered { key: Some(key), .. } if !runs.contains_key(key) => {
                summary
                    .broken
                    .push(format!("the call {key} was answered but never ran"));
            }
            DemoOutcome::Refused {
                execution,
                key: Some(key),
                ..
            } if execution == "not_run" && runs.contains_key(key) => {
                summary.false_refusals += 1;
                summary
                    .broken
                    .push(format!("the call {key} was refused as not run but ran"));
            }
            _ => (),
        }
    }
}

/// Checks that no caller's key reached an upstream, and that every resumed text was the engine's own.
pub fn check_keys(fleet: &Fleet, summary: &mut DemoSummary) {
    let deployment = &fleet.options().deployment;
    let secrets: Vec<String> = deployment
        .customers
        .iter()
        .map(|(name, _)| deployment.key(name))
        .collect();
    for upstream in fleet.host.names() {
        let Some(seen) = fleet.host.engine_seen(&upstream) else {
            continue;
        };
        let headers: Vec<&String> = seen
            .recent
            .iter()
            .flat_map(|request| request.headers.values().flatten())
            .collect();
        if headers
            .iter()
            .any(|value| secrets.iter().any(|secret| value.contains(secret.as_str())))
        {
            summary.broken.push(format!("{upstream} received a caller's key"));
        }
        if seen.recent.iter().any(|request| request.resume_differs) {
            summary.broken.push(format!(
                "{upstream} was asked to resume from a text that differs from its own output"
            ));
        }
    }
}
