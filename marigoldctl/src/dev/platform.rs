//! `marigoldctl dev --platform`: the complete request path on stand-ins of the users' platform.

use eyre::{Result, bail};
use marigoldlock_fleet::site::{PlatformSite, until};
use serde::Serialize;

use super::DevArgs;

/// Summary of a run on the platform's stand-ins.
#[derive(Debug, Default, Serialize)]
struct PlatformSummary {
    requests: usize,
    answered: usize,
    refused: usize,
    unknown: usize,
    ran_twice: usize,
    falsely_refused: usize,
    requests_reported: u64,
    usage_conflicts: u32,
}

/// Runs a mixed workload of limited size with lost answers and a killed instance, and prints a JSON summary.
///
/// # Errors
///
/// Returns an error if the site doesn't start or a guarantee was violated.
pub async fn run(args: &DevArgs) -> Result<()> {
    let mut site = PlatformSite::start(args.instances.max(2)).await?;
    let mut summary = PlatformSummary::default();
    for number in 0..args.requests {
        if number == args.requests / 3 {
            set_lost_answers(&site, true);
        }
        if number == args.requests / 2 {
            set_lost_answers(&site, false);
            site.instances.remove(0).abort();
        }
        send_request(&site, number, &mut summary).await;
    }
    until("usage is reported", || site.reported_requests() > 0).await?;
    summary.requests_reported = site.reported_requests();
    summary.usage_conflicts = site.duties.conflicts();
    println!("{}", serde_json::to_string_pretty(&summary)?);
    site.close().await;
    if summary.ran_twice + summary.falsely_refused > 0 || summary.usage_conflicts > 0 {
        bail!("a guarantee was violated; see the summary");
    }
    Ok(())
}

fn set_lost_answers(site: &PlatformSite, lost: bool) {
    if let Some(runner) = site.runners.iter().find(|runner| runner.id() == "a1") {
        runner.set_faults(|faults| faults.drops_answers = lost);
    }
}

async fn send_request(site: &PlatformSite, number: usize, summary: &mut PlatformSummary) {
    let instance = &site.instances[number % site.instances.len()];
    let path = ["/draft/x", "/look/x", "/book/x"][number % 3];
    let attempt = format!("demo-{number}");
    summary.requests += 1;
    let status = match site.caller.send(instance.addresses().front, path, &attempt).await {
        Ok(answer) => {
            let status = answer.status().as_u16();
            answer.bytes().await.map_or(0, |_| status)
        }
        Err(_) => 0,
    };
    let runs = site.runs_of(&attempt);
    match status {
        200 => summary.answered += 1,
        503 => {
            summary.refused += 1;
            summary.falsely_refused += usize::from(runs > 0);
        }
        _ => summary.unknown += 1,
    }
    summary.ran_twice += usize::from(path.starts_with("/book") && runs > 1);
}
