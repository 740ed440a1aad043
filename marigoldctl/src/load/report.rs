//! Runs all policies of an experiment and reports the results.

use std::fmt::Write;
use std::thread;

use serde::Serialize;

use super::experiment::{Experiment, PolicySpec};
use super::measure::PolicyResult;
use super::replay;
use super::workload;

/// Results of one policy.
#[derive(Clone, Debug, Serialize)]
pub struct PolicyReport {
    /// Name of the policy.
    pub policy: String,
    /// Mean of the results over the seeds.
    pub mean: SummaryRow,
    /// Result for each seed.
    pub runs: Vec<PolicyResult>,
}

/// Results of an experiment.
#[derive(Clone, Debug, Serialize)]
pub struct ExperimentReport {
    /// Name of the experiment.
    pub experiment: String,
    /// Results by policy.
    pub policies: Vec<PolicyReport>,
}

/// Summary over the seeds: means, or the worst value or the total where a mean would hide failures.
#[derive(Clone, Debug, Default, Serialize)]
pub struct SummaryRow {
    /// Share of the requests answered completely within the target.
    pub goodput: f64,
    /// Prompt and output tokens of the requests answered within the target, per second.
    pub tokens_per_s: f64,
    /// Lowest ratio of received to fair share among the customers, in the worst run.
    pub worst_share: f64,
    /// Interactive time to the first token: median, 95th and 99th percentile, in milliseconds.
    pub interactive_first_ms: [f64; 3],
    /// Interactive time between tokens: median, 95th and 99th percentile, in milliseconds.
    pub interactive_between_ms: [f64; 3],
    /// Share of requests refused.
    pub refused: f64,
    /// Requests started but not answered, over all runs.
    pub failed: u64,
    /// Role changes.
    pub role_changes: f64,
    /// Highest number of role changes of a single engine in a run.
    pub role_changes_of_one: u32,
    /// Cost of a million tokens answered within the target.
    pub spending_per_million: f64,
    /// Share of the output tokens produced by cheap upstreams.
    pub cheap_share: f64,
    /// Requests interrupted by the loss of cheap upstreams, over all runs.
    pub cheap_interrupted: u64,
    /// Requests interrupted that way that missed their target or failed, over all runs.
    pub cheap_harmed: u64,
}

/// Runs every policy on every seed; runs of the same seed share their requests.
pub fn run(experiment: &Experiment) -> ExperimentReport {
    let mut policies: Vec<_> = experiment.policy.iter().map(empty_report).collect();
    for &seed in &experiment.seeds {
        let requests = workload::generate(experiment, seed);
        // At most three threads, because the machine is shared.
        for chunk in policies.chunks_mut(3).zip(experiment.policy.chunks(3)) {
            thread::scope(|scope| {
                for (report, policy) in chunk.0.iter_mut().zip(chunk.1) {
                    let requests = &requests;
                    scope.spawn(move || {
                        report
                            .runs
                            .push(replay::replay(experiment, policy, requests, seed));
                    });
                }
            });
        }
    }
    for report in &mut policies {
        report.mean = summarise(&report.runs);
    }
    ExperimentReport {
        experiment: experiment.name.clone(),
        policies,
    }
}

fn empty_report(policy: &PolicySpec) -> PolicyReport {
    PolicyReport {
        policy: policy.name.clone(),
        mean: SummaryRow::default(),
        runs: Vec::new(),
    }
}

fn summarise(runs: &[PolicyResult]) -> SummaryRow {
    let count = runs.len().max(1) as f64;
    let mean = |value: fn(&PolicyResult) -> f64| runs.iter().map(value).sum::<f64>() / count;
    let times = |pick: fn(&super::measure::ClassTimes) -> [f64; 3]| {
        let all = runs
            .iter()
            .filter_map(|run| run.classes.get("interactive"))
            .map(pick);
        all.fold([0.0; 3], |sum, row| {
            std::array::from_fn(|index| sum[index] + row[index] / count)
        })
    };
    SummaryRow {
        goodput: mean(|run| run.goodput),
        tokens_per_s: mean(|run| run.tokens_in_target_per_s),
        worst_share: runs
            .iter()
            .map(|run| run.worst_share)
            .fold(f64::INFINITY, f64::min),
        interactive_first_ms: times(|times| times.first_ms),
        interactive_between_ms: times(|times| times.between_ms),
        refused: mean(|run| run.refused.values().sum::<u64>() as f64 / run.offered.max(1) as f64),
        failed: runs.iter().map(|run| run.failed).sum(),
        role_changes: mean(|run| f64::from(run.role_changes)),
        role_changes_of_one: runs.iter().map(|run| run.role_changes_of_one).max().unwrap_or(0),
        spending_per_million: mean(|run| run.spending_per_million),
        cheap_share: mean(|run| run.cheap_share),
        cheap_interrupted: runs.iter().map(|run| run.cheap_interrupted).sum(),
        cheap_harmed: runs.iter().map(|run| run.cheap_harmed).sum(),
    }
}

impl ExperimentReport {
    /// Formats the summaries as a Markdown table.
    pub fn table(&self) -> String {
        let mut text = format!("\n{}\n\n", self.experiment);
        text += "| policy | goodput | tokens/s in target | worst share | TTFT p50/p95/p99 ms | between p50/p95/p99 ms \
                 | refused | failed | role changes (most of one) | price per M | cheap share (cut, harmed) |\n";
        text += "| --- | --- | --- | --- | --- | --- | --- | --- | --- | --- | --- |\n";
        for report in &self.policies {
            let row = &report.mean;
            let _ = writeln!(
                text,
                "| {} | {:.3} | {:.0} | {:.2} | {} | {} | {:.3} | {} | {:.1} ({}) | {:.3} | {:.2} ({}, {}) |",
                report.policy,
                row.goodput,
                row.tokens_per_s,
                row.worst_share,
                triple(row.interactive_first_ms),
                triple(row.interactive_between_ms),
                row.refused,
                row.failed,
                row.role_changes,
                row.role_changes_of_one,
                row.spending_per_million,
                row.cheap_share,
                row.cheap_interrupted,
                row.cheap_harmed,
            );
        }
        text
    }
}

fn triple(values: [f64; 3]) -> String {
    let [median, high, highest] = values;
    format!("{median:.0}/{high:.0}/{highest:.0}")
}
