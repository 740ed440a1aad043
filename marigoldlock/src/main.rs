//! The entry instance as a process of its own.

use std::process::ExitCode;

use clap::Parser;
use eyre::Result;
use marigoldlock::cli::InstanceOptions;
use marigoldlock::instance::{Instance, wait_for_signal};

/// Entry instance of marigoldlock: takes callers' requests and sends the work to upstreams.
///
/// SIGTERM or SIGINT starts a graceful shutdown: the instance leaves the address answer, lets running
/// requests finish and ends.
#[derive(Debug, Parser)]
#[command(version)]
struct Cli {
    #[command(flatten)]
    instance: InstanceOptions,
}

fn main() -> ExitCode {
    let cli = Cli::parse();
    marigoldlock::logging::init("info");
    match run(cli.instance) {
        Ok(()) => ExitCode::SUCCESS,
        Err(err) => {
            eprintln!("error: {err:#}");
            ExitCode::FAILURE
        }
    }
}

fn run(options: InstanceOptions) -> Result<()> {
    options.check()?;
    let runtime = tokio::runtime::Builder::new_multi_thread().enable_all().build()?;
    runtime.block_on(async {
        let instance = Instance::start(options).await?;
        wait_for_signal().await?;
        instance.close().await;
        Ok(())
    })
}
