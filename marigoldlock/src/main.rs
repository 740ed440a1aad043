//! Binary of the entry instance.

use std::process::ExitCode;

use clap::{Parser, Subcommand};
use eyre::{Result, eyre};
use marigoldlock::cli::InstanceOptions;
use marigoldlock::instance::{Instance, wait_for_signal};
use marigoldlock::platform_run::{self, PlatformOptions};

/// Entry instance of marigoldlock: accepts callers' requests and routes them to upstreams.
///
/// SIGTERM or SIGINT starts a graceful shutdown: the instance stops being advertised to callers, lets running
/// requests finish and exits.
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
            log::error!(error:% = format!("{err:#}"); "the instance failed and exits");
            eprintln!("error: {err:#}");
            ExitCode::FAILURE
        }
    }
}

fn run(cli: Cli) -> Result<()> {
    match (cli.command, cli.instance) {
        (Some(Command::Platform(options)), _) => run_platform(options),
        (None, Some(options)) => run_instance(options),
        (None, None) => Err(eyre!("missing flags; see --help")),
    }
}

/// Runs on a single thread, which is enough for a share of a core and avoids wake-ups between threads.
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
