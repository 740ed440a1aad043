//! Cost of the control plane instance_seconds idle instance, by number of instances, upstreams and customers.
//!
//! `cargo bench -p marigoldlock --bench control` prints one line of JSON instance_seconds fleet. CPU time is that of the
//! instances' own threads. Byte counts cover messages and bodies without headers. Memory is that of the whole process
//! including the stand-ins, so only its growth with the number of instances is meaningful.

use std::time::{Duration, Instant};

use marigoldlock_fleet::process::{resident_bytes, thread_cpu_seconds};
use marigoldlock_fleet::{Fleet, FleetOptions};
use serde_json::json;

/// Time for a fleet to settle before it is measured.
const SETTLE_TIME: Duration = Duration::from_secs(4);

/// Duration of a measurement.
const MEASURE_TIME: Duration = Duration::from_secs(10);

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
    tokio::time::sleep(SETTLE_TIME).await;
    let before = Totals::read(&fleet);
    let started = Instant::now();
    tokio::time::sleep(MEASURE_TIME).await;
    let after = Totals::read(&fleet);
    let instance_seconds = started.elapsed().as_secs_f64() * instances as f64;
    println!(
        "{}",
        json!({
            "measure": "control", "instances": instances, "upstreams": upstreams, "customers": customers,
            "cpu_percent_of_core": (after.cpu - before.cpu) / instance_seconds * 100.0,
            "peer_bytes_per_s": (after.peer - before.peer) / instance_seconds,
            "log_bytes_per_s": (after.log - before.log) / instance_seconds,
            "list_bytes_per_s": (after.list - before.list) / instance_seconds,
            "report_bytes_per_s": (after.report - before.report) / instance_seconds,
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
            peer: read_counter(&text, "marigoldlock_peer_bytes_total"),
            log: read_counter(&text, "marigoldlock_read_bytes_total{interface=\"log\"}"),
            list: read_counter(&text, "marigoldlock_read_bytes_total{interface=\"list\"}"),
            report: read_counter(&text, "marigoldlock_read_bytes_total{interface=\"report\"}"),
            appends: fleet.log.appends() as f64,
        }
    }
}

/// Returns the sum of a metric's values over its labels.
fn read_counter(text: &str, name: &str) -> f64 {
    let lines = text.lines().filter(|line| line.starts_with(name));
    lines
        .filter_map(|line| line.rsplit_once(' ')?.1.parse::<f64>().ok())
        .sum()
}
