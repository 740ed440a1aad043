//! The operators' tool as a process of its own.

use std::process::ExitCode;

use clap::{Parser, Subcommand};
use eyre::Result;
use marigoldctl::{config, customers, dev, explain, keys, load, soak, standin, status};

/// Operators' tool of marigoldlock.
#[derive(Debug, Parser)]
#[command(version)]
struct Cli {
    #[command(subcommand)]
    command: Command,
}

#[derive(Debug, Subcommand)]
enum Command {
    /// Check, compare, publish and show settings.
    Config(config::ConfigArgs),
    /// Create, withdraw and list keys.
    Keys(keys::KeysArgs),
    /// Create, list and remove customers.
    Customers(customers::CustomersArgs),
    /// Show how the fleet stands and what to do.
    Status(status::StatusArgs),
    /// Tell why a request went where it went, from log lines.
    Explain(explain::ExplainArgs),
    /// Replay workloads and measure.
    Load(load::LoadArgs),
    /// Run a whole fleet in this process, on stand-ins.
    Dev(dev::DevArgs),
    /// Run real processes under random faults and check the promises.
    Soak(soak::SoakArgs),
    /// Run one stand-in as a process of its own.
    Standin(standin::StandinArgs),
}

fn main() -> ExitCode {
    let cli = Cli::parse();
    marigoldlock::logging::init("warn");
    match run(cli) {
        Ok(()) => ExitCode::SUCCESS,
        Err(err) => {
            eprintln!("error: {err:#}");
            ExitCode::FAILURE
        }
    }
}

fn run(cli: Cli) -> Result<()> {
    let runtime = tokio::runtime::Builder::new_multi_thread().enable_all().build()?;
    runtime.block_on(async {
        match cli.command {
            Command::Config(args) => config::run(args).await,
            Command::Keys(args) => keys::run(args).await,
            Command::Customers(args) => customers::run(args).await,
            Command::Status(args) => status::run(args).await,
            Command::Explain(args) => explain::run(&args),
            Command::Load(args) => args.run(),
            Command::Dev(args) => dev::run(args).await,
            Command::Soak(args) => soak::run(args).await,
            Command::Standin(args) => standin::run(args).await,
        }
    })
}
