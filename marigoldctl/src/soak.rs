//! `marigoldctl soak`: real processes under random faults.

use std::path::PathBuf;
use std::time::Duration;

use clap::Args;
use eyre::{Result, WrapErr, ensure};
use marigoldlock_fleet::soak::{self, SoakOptions};

/// Flags of a soak.
#[derive(Args, Clone, Debug)]
pub struct SoakArgs {
    /// First seed; drawn at random if it is absent.
    #[arg(long)]
    seed: Option<u64>,
    /// Seeds to play, one after the other.
    #[arg(long, default_value_t = 1)]
    seeds: u64,
    /// Seconds in which faults begin; each seed takes about twenty seconds more.
    #[arg(long, default_value_t = 15)]
    seconds: u64,
    /// Instances.
    #[arg(long, default_value_t = 4, value_parser = clap::value_parser!(u8).range(1..=200))]
    instances: u8,
    /// Callers.
    #[arg(long, default_value_t = 8)]
    callers: usize,
    /// The program; the one beside this tool if it is absent.
    #[arg(long)]
    program: Option<PathBuf>,
    /// Folder for the instances' logs.
    #[arg(long, default_value = "target/soak")]
    folder: PathBuf,
}

/// Plays the seeds.
///
/// # Errors
///
/// Fails if a process can't be started or a promise was broken.
pub async fn run(args: SoakArgs) -> Result<()> {
    let program = match args.program {
        Some(program) => program,
        None => std::env::current_exe()
            .wrap_err("find this tool's folder")?
            .with_file_name("marigoldlock"),
    };
    ensure!(
        program.is_file(),
        "there is no program at {}; build it first or name it with --program",
        program.display()
    );
    let first = args.seed.unwrap_or_else(|| u64::from(rand::random::<u32>()));
    let mut broken = Vec::new();
    for seed in first..first.saturating_add(args.seeds) {
        let options = SoakOptions {
            program: program.clone(),
            seed,
            instances: args.instances.into(),
            fault_period: Duration::from_secs(args.seconds),
            callers: args.callers,
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
        "promises were broken with the seeds {broken:?}"
    );
    Ok(())
}
