//! What control costs an instance without traffic, against instances, upstreams and customers.
//!
//! `cargo bench -p marigoldlock --bench control`. Prints one line of JSON a fleet. The processor time is that of the
//! instances' own threads; bytes are those of messages and bodies, without headers; memory is that of the whole
//! process, stand-ins included, so that only its slopes over the instances count.

use std::time::{Duration, Instant};

use marigoldlock_fleet::process::{resident_bytes, thread_cpu_seconds};
use marigoldlock_fleet::{Fleet, FleetOptions};
use serde_json::json;

/// Time that a fleet settles before it is measured.
const SETTLE: Duration = Duration::from_secs(4);

/// Time that a fleet is measured.
const SPAN: Duration = Duration::from_secs(10);

fn main() {
    let runtime = tokio::runtime::Runtime::new().expect("a runtime");
    runtime.block_on(async {
        for instances in [2, 4, 8, 12, 15] {
            measure(instances, 15, 8).await;
        }
        for upstreams in [24, 48, 96] {
            measure(8, upstreams, 8).await;
        }
        for customers in [100, 400, 1_500] {
            measure(8, 15, customers).await;
        }
    });
}

async fn measure(instances: usize, upstreams: usize, customers: usize) {
    let mut options = FleetOptions::small(instances);
    options.engines = upstreams - 3;
    options.services = 3;
    options.interval_ms = 500;
    options.list_lag_ms = 500;
    let memory_before = resident_bytes();
    let fleet = Fleet::start(options).await.expect("the fleet starts");
    add_customers(&fleet, customers);
    tokio::time::sleep(SETTLE).await;
    let before = Totals::read(&fleet);
    let started = Instant::now();
    tokio::time::sleep(SPAN).await;
    let after = Totals::read(&fleet);
    let per = started.elapsed().as_secs_f64() * instances as f64;
    println!(
        "{}",
        json!({
            "measure": "control", "instances": instances, "upstreams": upstreams, "customers": customers,
            "cpu_percent_of_core": (after.cpu - before.cpu) / per * 100.0,
            "peer_bytes_per_s": (after.peer - before.peer) / per,
            "log_bytes_per_s": (after.log - before.log) / per,
            "list_bytes_per_s": (after.list - before.list) / per,
            "report_bytes_per_s": (after.report - before.report) / per,
            "appends_per_s": (after.appends - before.appends) / started.elapsed().as_secs_f64(),
            "process_mb": (resident_bytes() - memory_before) / 1e6,
        })
    );
    fleet.close().await;
}

fn add_customers(fleet: &Fleet, customers: usize) {
    let team = fleet.options().deployment.team;
    for index in fleet.options().deployment.customers.len()..customers {
        fleet.publish(
            &format!("teams/{team}/customers/customer-{index}"),
            "weight = 1.0\n",
        );
    }
}

#[derive(Default)]
struct Totals {
    cpu: f64,
    peer: f64,
    log: f64,
    list: f64,
    report: f64,
    appends: f64,
}

impl Totals {
    fn read(fleet: &Fleet) -> Self {
        let text = marigoldlock::metrics::render();
        Self {
            cpu: fleet
                .instances
                .iter()
                .map(|instance| thread_cpu_seconds(instance.name()))
                .sum(),
            peer: counter(&text, "marigoldlock_peer_bytes_total"),
            log: counter(&text, "marigoldlock_read_bytes_total{interface=\"log\"}"),
            list: counter(&text, "marigoldlock_read_bytes_total{interface=\"list\"}"),
            report: counter(&text, "marigoldlock_read_bytes_total{interface=\"report\"}"),
            appends: fleet.log.appends() as f64,
        }
    }
}

/// Sum of the metric's values over its labels.
fn counter(text: &str, name: &str) -> f64 {
    let lines = text.lines().filter(|line| line.starts_with(name));
    lines
        .filter_map(|line| line.rsplit_once(' ')?.1.parse::<f64>().ok())
        .sum()
}
