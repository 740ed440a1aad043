//! `marigoldctl dev`: a complete fleet in one process, for trials and demos.

mod checks;
mod demo;
mod platform;
mod summary;
mod workload;

use std::time::Duration;

use clap::Args;
use eyre::{Result, bail};
use marigoldlock::instance::wait_for_signal;
use marigoldlock_fleet::{ADMIN_TOKEN, Deployment, DeploymentName, Fleet, FleetOptions};

pub use summary::DemoSummary;

/// Run stand-ins and several instances in this process, on the loopback interface.
#[derive(Args, Clone, Debug)]
pub struct DevArgs {
    /// Deployment whose services, customers and data centres are used.
    #[arg(long, value_enum, default_value_t)]
    deployment: DeploymentName,
    /// Number of entry instances.
    #[arg(long, default_value_t = 6)]
    instances: usize,
    /// Factor on the number of the deployment's engines and plain services that are started.
    #[arg(long, default_value_t = 1.0)]
    scale: f64,
    /// Run a mixed workload of limited size with failures, print a JSON summary and exit.
    #[arg(long)]
    demo: bool,
    /// Run a workload of limited size on stand-ins of the users' platform, print a JSON summary and exit.
    #[arg(long, conflicts_with = "demo")]
    platform: bool,
    /// Seed of the demo's workload.
    #[arg(long, default_value_t = 1)]
    seed: u64,
    /// Number of requests in the demo's workload.
    #[arg(long, default_value_t = 400)]
    requests: usize,
}

/// Runs the fleet until a signal arrives, or a demo until it finishes.
///
/// # Errors
///
/// Returns an error if an argument is out of range, if the fleet does not start, or if a demo found a
/// violated guarantee.
pub async fn run(args: DevArgs) -> Result<()> {
    if !(args.scale > 0.0 && args.scale <= 10.0) {
        bail!("--scale must be greater than 0 and at most 10");
    }
    if args.instances == 0 || args.instances > 64 {
        bail!("--instances must be from 1 to 64");
    }
    if args.platform {
        return platform::run(&args).await;
    }
    if args.demo {
        return demo::run(&args).await;
    }
    let fleet = Fleet::start(args.fleet_options()).await?;
    print_endpoints(&fleet);
    wait_for_signal().await?;
    fleet.close().await;
    Ok(())
}

impl DevArgs {
    fn fleet_options(&self) -> FleetOptions {
        let mut options = FleetOptions::new(Deployment::named(self.deployment), self.instances);
        options.engines = scaled(options.engines, self.scale);
        options.services = scaled(options.services, self.scale);
        options
    }
}

fn scaled(count: usize, scale: f64) -> usize {
    ((count as f64 * scale).round() as usize).max(1)
}

fn print_endpoints(fleet: &Fleet) {
    let deployment = &fleet.options().deployment;
    println!("stand-ins");
    println!("  log       http://{}", fleet.log.address());
    println!("  list      http://{}", fleet.list.address());
    println!("  ordering  http://{}", fleet.ordering.address());
    println!("  usage     http://{}", fleet.usage.address());
    println!("instances");
    for instance in &fleet.instances {
        println!("  {:<12} http://{}", instance.name(), instance.address());
    }
    println!("keys");
    for (customer, _) in &deployment.customers {
        println!("  {customer:<16} {}", deployment.key(customer));
    }
    println!("administration token\n  {ADMIN_TOKEN}");
    if let (Some(instance), Some((customer, _))) = (fleet.instances.first(), deployment.customers.first()) {
        println!("try\n  curl -N {} \\", instance.url("/v1/chat/completions"));
        println!("    -H 'Authorization: Bearer {}' \\", deployment.key(customer));
        println!("    -H 'Content-Type: application/json' \\");
        let body = r#""messages": [{"role": "user", "content": "Write a slogan"}], "max_tokens": 20, "stream": true"#;
        println!("    -d '{{\"model\": \"{}\", {body}}}'", deployment.model);
    }
    println!("Ctrl-C stops the fleet");
}

/// Time after which a demo is aborted.
const DEMO_TIMEOUT: Duration = Duration::from_secs(300);
