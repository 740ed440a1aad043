//! The entry instance as a process of its own.

use std::process::ExitCode;

use clap::{Parser, Subcommand};
use eyre::{Result, eyre};
use marigoldlock::cli::InstanceOptions;
use marigoldlock::instance::{Instance, wait_for_signal};
use marigoldlock::platform_run::{self, PlatformOptions};

/// Entry instance of marigoldlock: takes callers' requests and sends the work to upstreams.
///
/// SIGTERM or SIGINT starts a graceful shutdown: the instance leaves the address answer, lets running
/// requests finish and ends.
#[derive(Debug, Parser)]
#[command(
    version,
    args_conflicts_with_subcommands = true,
    subcommand_negates_reqs = true
)]
struct Cli {
    #[command(subcommand)]
    command: Option<Command>,
    #[command(flatten)]
    instance: Option<InstanceOptions>,
}

#[derive(Debug, Subcommand)]
enum Command {
    /// Runs on the users' platform, with the platform's settings file.
    Platform(PlatformOptions),
}

fn main() -> ExitCode {
    let cli = Cli::parse();
    marigoldlock::logging::init_process("info");
    match run(cli) {
        Ok(()) => ExitCode::SUCCESS,
        Err(err) => {
            log::error!(error:% = format!("{err:#}"); "the instance can't go on");
            eprintln!("error: {err:#}");
            ExitCode::FAILURE
        }
    }
}

fn run(cli: Cli) -> Result<()> {
    match (cli.command, cli.instance) {
        (Some(Command::Platform(options)), _) => run_platform(options),
        (None, Some(options)) => run_instance(options),
        (None, None) => Err(eyre!("no settings: see --help")),
    }
}

/// One thread is enough for a share of a core and spares wake-ups between threads.
fn run_platform(options: PlatformOptions) -> Result<()> {
    let runtime = tokio::runtime::Builder::new_current_thread()
        .enable_all()
        .build()?;
    runtime.block_on(platform_run::run(options))
}

fn run_instance(options: InstanceOptions) -> Result<()> {
    options.check()?;
    let runtime = tokio::runtime::Builder::new_multi_thread().enable_all().build()?;
    runtime.block_on(async {
        let instance = Instance::start(options).await?;
        wait_for_signal().await?;
        instance.close().await;
        Ok(())
    })
}
