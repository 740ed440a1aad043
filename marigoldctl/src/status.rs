//! `marigoldctl status`: one screen with the state of the fleet and advice on what needs attention.

mod findings;
mod screen;

use std::time::Duration;

use clap::Args;
use eyre::{Result, WrapErr, bail};
use futures::future::join_all;
use marigoldlock::admin::InstanceStatus;
use serde::Serialize;

pub use findings::{Finding, findings};

/// Timeout of a request to an instance.
const REQUEST_TIMEOUT: Duration = Duration::from_secs(3);

/// Show the fleet's status and what needs attention.
#[derive(Args, Clone, Debug)]
pub struct StatusArgs {
    /// URL of any instance; the others are found through it.
    #[arg(long, env = "MARIGOLDCTL_INSTANCE")]
    instance: String,
    /// Administration token of an operator.
    #[arg(long, env = "MARIGOLDCTL_TOKEN", hide_env_values = true)]
    token: String,
    /// Print JSON.
    #[arg(long)]
    json: bool,
}

/// Status of the fleet as its instances report it.
#[derive(Clone, Debug, Serialize)]
pub struct FleetStatus {
    /// What needs attention; empty if the fleet is healthy.
    pub findings: Vec<Finding>,
    /// Status of each instance that answered.
    pub instances: Vec<InstanceStatus>,
    /// URLs of the instances that did not answer.
    pub unreachable: Vec<String>,
}

/// Reads the status of every instance and prints it.
///
/// # Errors
///
/// Returns an error if the given instance does not answer or refuses the token.
pub async fn run(args: StatusArgs) -> Result<()> {
    let fleet = read_fleet(&args.instance, &args.token).await?;
    if args.json {
        println!("{}", serde_json::to_string_pretty(&fleet)?);
    } else {
        print!("{}", screen::render(&fleet));
    }
    Ok(())
}

/// Reads the status of an instance and of every other instance that it knows.
///
/// # Errors
///
/// Returns an error if the given instance does not answer or refuses the token.
pub async fn read_fleet(instance: &str, token: &str) -> Result<FleetStatus> {
    let http = reqwest::Client::builder()
        .no_proxy()
        .timeout(REQUEST_TIMEOUT)
        .build()?;
    let first = read_status(&http, instance, token).await?;
    let members = first.members.iter().filter(|member| member.state != "gone");
    let addresses: Vec<String> = members
        .map(|member| format!("http://{}", member.address))
        .collect();
    let answers = join_all(addresses.iter().map(|url| read_status(&http, url, token))).await;
    let mut fleet = FleetStatus {
        findings: Vec::new(),
        instances: vec![first],
        unreachable: Vec::new(),
    };
    for (url, answer) in addresses.into_iter().zip(answers) {
        match answer {
            Ok(status) => fleet.instances.push(status),
            Err(_) => fleet.unreachable.push(url),
        }
    }
    fleet.instances.sort_by(|a, b| a.instance.cmp(&b.instance));
    fleet.findings = findings(&fleet);
    Ok(fleet)
}

async fn read_status(http: &reqwest::Client, url: &str, token: &str) -> Result<InstanceStatus> {
    let url = format!("{}/admin/v1/status", url.trim_end_matches('/'));
    let response = http
        .get(&url)
        .bearer_auth(token)
        .send()
        .await
        .wrap_err_with(|| url.clone())?;
    if !response.status().is_success() {
        bail!(
            "{url} answered {}: {}",
            response.status(),
            response.text().await.unwrap_or_default()
        );
    }
    Ok(response.json().await?)
}
