//! `marigoldctl dev --demo`: a mixed workload of limited size, with injected failures.

use std::sync::Arc;
use std::time::Duration;

use eyre::{Result, bail};
use futures::StreamExt;
use futures::stream;
use marigoldlock_fleet::{Deployment, Fleet};
use marigoldlock_standin::prelude::CallBudget;
use marigoldlock_wire::prelude::*;
use serde_json::json;

use super::checks::{check_calls, check_keys};
use super::summary::DemoSummary;
use super::workload::{DemoCaller, DemoOutcome, DemoRequest, seeded_requests};
use super::{DEMO_TIMEOUT, DevArgs};

/// Maximum number of concurrent requests.
const MAX_CONCURRENT_REQUESTS: usize = 48;

/// Time after which every instance must refuse a withdrawn key.
const MAX_WITHDRAWAL_DELAY: Duration = Duration::from_secs(5);

/// Runs the demo and prints its summary.
///
/// # Errors
///
/// Returns an error if the fleet does not start, the demo times out, or a guarantee was violated.
pub(super) async fn run(args: &DevArgs) -> Result<()> {
    let Ok(result) = tokio::time::timeout(DEMO_TIMEOUT, run_workload(args)).await else {
        bail!("the demo did not finish within {} s", DEMO_TIMEOUT.as_secs());
    };
    let summary = result?;
    println!("{}", serde_json::to_string_pretty(&summary)?);
    if !summary.broken.is_empty() {
        bail!("{} guarantees were violated", summary.broken.len());
    }
    Ok(())
}

async fn run_workload(args: &DevArgs) -> Result<DemoSummary> {
    let mut fleet = Fleet::start(args.fleet_options()).await?;
    let deployment = fleet.options().deployment.clone();
    let mut summary = DemoSummary::default();
    let mut outcomes = Vec::new();
    let requests = seeded_requests(&deployment, args.seed, args.requests);
    let mut parts = requests.chunks(requests.len().div_ceil(4).max(1));

    outcomes.extend(run_part(&fleet, &deployment, parts.next()).await);
    inject_lost_answers(&fleet, &deployment, &mut summary);
    outcomes.extend(run_part(&fleet, &deployment, parts.next()).await);
    let failures = inject_kills(&mut fleet, &deployment, &mut summary);
    outcomes.extend(run_part_with_kill(&fleet, &deployment, parts.next(), failures).await);
    outcomes.extend(replace_rolling(&mut fleet, &deployment, parts.next(), &mut summary).await?);
    withdraw_key(&fleet, &deployment, &mut summary).await;

    summary.count(&outcomes);
    check_calls(&fleet, &outcomes, &mut summary);
    check_keys(&fleet, &mut summary);
    fleet.close().await;
    Ok(summary)
}

fn caller(fleet: &Fleet, deployment: &Deployment) -> Arc<DemoCaller> {
    let running = fleet
        .instances
        .iter()
        .filter(|instance| instance.instance().is_some());
    let entries = running.map(|instance| instance.address().to_string()).collect();
    Arc::new(DemoCaller::new(deployment, entries))
}

async fn run_part(fleet: &Fleet, deployment: &Deployment, part: Option<&[DemoRequest]>) -> Vec<DemoOutcome> {
    run_requests(caller(fleet, deployment), deployment, part.unwrap_or_default()).await
}

async fn run_requests(
    caller: Arc<DemoCaller>,
    deployment: &Deployment,
    requests: &[DemoRequest],
) -> Vec<DemoOutcome> {
    stream::iter(requests)
        .map(|request| {
            let caller = Arc::clone(&caller);
            async move {
                let customer = match request {
                    DemoRequest::Chat { customer, .. } | DemoRequest::Booking { customer, .. } => customer,
                };
                caller.run(request, &deployment.key(customer)).await
            }
        })
        .buffer_unordered(MAX_CONCURRENT_REQUESTS)
        .collect()
        .await
}

/// Makes the plain service drop answers after it has run the call.
fn inject_lost_answers(fleet: &Fleet, deployment: &Deployment, summary: &mut DemoSummary) {
    for upstream in fleet.upstreams(deployment.plain.as_str()) {
        if let Some(faults) = fleet.host.faults(&upstream) {
            faults.update(|plan| {
                // Restricted to bookings, so that load reads don't use up the dropped answers.
                plan.path = Some("/bookings".into());
                plan.drop_answer = CallBudget::Next(3);
            });
        }
    }
    summary.events.push(format!(
        "every {} drops three answers after the call took effect",
        deployment.plain
    ));
}

/// Engine to kill in the middle of the next part.
struct PendingKill {
    engine: Option<UpstreamId>,
}

fn inject_kills(fleet: &mut Fleet, deployment: &Deployment, summary: &mut DemoSummary) -> PendingKill {
    let engine = fleet.upstreams(deployment.chat.as_str()).into_iter().next();
    if let Some(engine) = &engine {
        summary
            .events
            .push(format!("{engine} is killed while it streams"));
    }
    if fleet.instances.len() > 2 {
        summary
            .events
            .push(format!("{} is killed", fleet.instances[1].name()));
        fleet.kill_instance(1);
    }
    PendingKill { engine }
}

async fn run_part_with_kill(
    fleet: &Fleet,
    deployment: &Deployment,
    part: Option<&[DemoRequest]>,
    kill: PendingKill,
) -> Vec<DemoOutcome> {
    let caller = caller(fleet, deployment);
    let vanish = async {
        tokio::time::sleep(Duration::from_millis(300)).await;
        if let Some(faults) = kill.engine.and_then(|engine| fleet.host.faults(&engine)) {
            faults.update(|plan| plan.gone = true);
        }
    };
    let (outcomes, ()) = futures::join!(run_requests(caller, deployment, part.unwrap_or_default()), vanish);
    outcomes
}

/// Replaces every running instance, one after the other, while requests run.
async fn replace_rolling(
    fleet: &mut Fleet,
    deployment: &Deployment,
    part: Option<&[DemoRequest]>,
    summary: &mut DemoSummary,
) -> Result<Vec<DemoOutcome>> {
    let old: Vec<usize> = (0..fleet.instances.len())
        .filter(|index| fleet.instances[*index].instance().is_some())
        .collect();
    let requests = part.unwrap_or_default();
    let mut outcomes = Vec::new();
    for (round, index) in old.iter().enumerate() {
        let share = requests.len().div_ceil(old.len().max(1)).max(1);
        let share = requests.chunks(share).nth(round).unwrap_or_default();
        fleet.add_instance().await?;
        let caller = caller(fleet, deployment);
        let running = run_requests(caller, deployment, share);
        let (finished, part) = futures::join!(fleet.close_instance(*index), running);
        summary.cut_by_replacement += usize::from(!finished);
        outcomes.extend(part);
    }
    summary.events.push(format!(
        "{} instances are replaced, one after the other",
        old.len()
    ));
    if summary.cut_by_replacement > 0 {
        summary.broken.push("a graceful shutdown cut off requests".into());
    }
    Ok(outcomes)
}

/// Withdraws a key and counts the instances that still accept it after [`MAX_WITHDRAWAL_DELAY`].
async fn withdraw_key(fleet: &Fleet, deployment: &Deployment, summary: &mut DemoSummary) {
    let Some((customer, _)) = deployment.customers.last() else {
        return;
    };
    let path = format!("teams/{}/keys/{customer}-1/withdrawn", deployment.team);
    fleet.publish(&path, "value = true");
    summary.events.push(format!("the key of {customer} is withdrawn"));
    tokio::time::sleep(MAX_WITHDRAWAL_DELAY).await;
    let http = reqwest::Client::builder()
        .no_proxy()
        .build()
        .expect("a client without TLS always builds");
    for instance in fleet
        .instances
        .iter()
        .filter(|instance| instance.instance().is_some())
    {
        let request = http
            .post(instance.url("/v1/chat/completions"))
            .bearer_auth(deployment.key(customer));
        let body = json!({"model": deployment.model, "messages": [{"role": "user", "content": "hello"}]});
        let served = request
            .json(&body)
            .send()
            .await
            .is_ok_and(|response| response.status().is_success());
        summary.served_withdrawn += usize::from(served);
    }
    if summary.served_withdrawn > 0 {
        summary
            .broken
            .push("requests with a withdrawn key were served after the allowed delay".into());
    }
}
