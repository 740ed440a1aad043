//! `marigoldctl soak`: runs real processes under random faults and checks the guarantees.

use std::path::PathBuf;
use std::time::Duration;

use clap::Args;
use eyre::{Result, WrapErr, ensure};
use marigoldlock_fleet::soak::{self, FaultMix, RETRY_RATIO, SoakOptions};

/// Arguments of `marigoldctl soak`.
#[derive(Args, Clone, Debug)]
pub struct SoakArgs {
    /// First seed [default: random].
    #[arg(long)]
    seed: Option<u64>,
    /// Number of seeds to run, one after the other.
    #[arg(long, default_value_t = 1)]
    seeds: u64,
    /// Seconds during which faults are injected; each seed takes about twenty seconds more.
    #[arg(long, default_value_t = 15)]
    seconds: u64,
    /// Number of instances.
    #[arg(long, default_value_t = 4, value_parser = clap::value_parser!(u8).range(1..=200))]
    instances: u8,
    /// Number of callers.
    #[arg(long, default_value_t = 8)]
    callers: usize,
    /// Draw only faults that make instances retry.
    #[arg(long)]
    retries: bool,
    /// Path of the marigoldlock binary [default: the one in the folder of this tool].
    #[arg(long)]
    program: Option<PathBuf>,
    /// Folder for the logs of the instances.
    #[arg(long, default_value = "target/soak")]
    folder: PathBuf,
}

/// Runs the seeds.
///
/// # Errors
///
/// Returns an error if a process can't be started or a guarantee was violated.
pub async fn run(args: SoakArgs) -> Result<()> {
    let program = match args.program {
        Some(program) => program,
        None => std::env::current_exe()
            .wrap_err("can't find the folder of this tool")?
            .with_file_name("marigoldlock"),
    };
    ensure!(
        program.is_file(),
        "there is no binary at {}; build it first or pass its path with --program",
        program.display()
    );
    let first = args.seed.unwrap_or_else(|| u64::from(rand::random::<u32>()));
    let mut broken = Vec::new();
    for seed in first..first.saturating_add(args.seeds) {
        let options = SoakOptions {
            names_versions: true,
            program: program.clone(),
            seed,
            instances: args.instances.into(),
            fault_period: Duration::from_secs(args.seconds),
            callers: args.callers,
            fault_mix: if args.retries {
                FaultMix::Retries
            } else {
                FaultMix::Any
            },
            told_retry_ratio: RETRY_RATIO,
            folder: args.folder.join(seed.to_string()),
        };
        let report = soak::run(&options).await?;
        println!("{report}");
        if !report.violations.is_empty() {
            broken.push(seed);
        }
    }
    ensure!(
        broken.is_empty(),
        "guarantees were violated with the seeds {broken:?}"
    );
    Ok(())
}
