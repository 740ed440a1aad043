//! Entry point of `marigoldctl`.

use std::process::ExitCode;

use clap::{Parser, Subcommand};
use eyre::Result;
use marigoldctl::{config, customers, dev, explain, keys, load, soak, standin, status};

/// Command-line tool for operators of marigoldlock.
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
    /// Show the fleet's status and what needs attention.
    Status(status::StatusArgs),
    /// Explain from log lines how a request was routed or why it was refused.
    Explain(explain::ExplainArgs),
    /// Simulate generated workloads and compare policies.
    Load(load::LoadArgs),
    /// Run a complete fleet on stand-ins in this process.
    Dev(dev::DevArgs),
    /// Run real processes under random faults and check the guarantees.
    Soak(soak::SoakArgs),
    /// Run one stand-in in this process.
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
