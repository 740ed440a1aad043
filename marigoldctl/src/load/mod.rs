//! Seeded open-loop workloads and experiments.
//!
//! `marigoldctl load replay` is a discrete-event simulation: it runs the decision code of `marigoldlock_core`
//! on generated requests in virtual time. It simulates several instances, each with its own routing table and
//! admission control, load reports that arrive late, delayed heartbeats between the peers, and simple models
//! of the engines. It starts no processes and uses no network, so it compares the decisions alone. Every
//! policy of an experiment gets the same requests and faults, generated from the same seeds.

mod attempts;
mod control;
mod engine;
mod event_queue;
mod experiment;
mod fault_effects;
mod fault_schedule;
mod fleet;
mod instance;
mod measure;
mod placement;
mod plot;
mod replay;
mod report;
mod state;
mod workload;

#[cfg(test)]
mod tests;

use std::path::{Path, PathBuf};

use clap::{Args, Subcommand};
use eyre::{Context, Result};

pub use experiment::{Experiment, PolicySpec};
pub use measure::PolicyResult;
pub use report::ExperimentReport;

/// Arguments of `marigoldctl load`.
#[derive(Args, Clone, Debug)]
pub struct LoadArgs {
    /// The subcommand.
    #[command(subcommand)]
    command: LoadCommand,
}

#[derive(Clone, Debug, Subcommand)]
enum LoadCommand {
    /// Replay experiments in virtual time.
    Replay(ReplayArgs),
}

/// Arguments of `marigoldctl load replay`.
#[derive(Args, Clone, Debug)]
pub struct ReplayArgs {
    /// Experiment files in TOML.
    #[arg(required = true)]
    experiments: Vec<PathBuf>,
    /// Directory for the results, as JSON and SVG.
    #[arg(long, default_value = "target/experiments")]
    out: PathBuf,
    /// Run only the policy with this name; may be repeated.
    #[arg(long)]
    policy: Vec<String>,
    /// Run only this many of the experiment's seeds, from the first on.
    #[arg(long)]
    seeds: Option<usize>,
}

impl LoadArgs {
    /// Runs the subcommand.
    ///
    /// # Errors
    ///
    /// Returns an error if an experiment can't be read or a result can't be written.
    pub fn run(&self) -> Result<()> {
        match &self.command {
            LoadCommand::Replay(args) => args.run(),
        }
    }
}

impl ReplayArgs {
    fn run(&self) -> Result<()> {
        std::fs::create_dir_all(&self.out).wrap_err_with(|| format!("creating {}", self.out.display()))?;
        for path in &self.experiments {
            let report = self.replay(path)?;
            let name = &report.experiment;
            let file = self.out.join(format!("{name}.json"));
            std::fs::write(&file, serde_json::to_vec_pretty(&report)?)
                .wrap_err_with(|| format!("writing {}", file.display()))?;
            plot::write(&report, &self.out.join(format!("{name}.svg")))?;
            print!("{}", report.table());
        }
        Ok(())
    }

    fn replay(&self, path: &Path) -> Result<ExperimentReport> {
        let text = std::fs::read_to_string(path).wrap_err_with(|| format!("reading {}", path.display()))?;
        let mut experiment = Experiment::parse(&text).wrap_err_with(|| format!("in {}", path.display()))?;
        if !self.policy.is_empty() {
            experiment
                .policy
                .retain(|policy| self.policy.contains(&policy.name));
        }
        if let Some(count) = self.seeds {
            experiment.seeds.truncate(count);
        }
        Ok(report::run(&experiment))
    }
}
