//! Time until a published settings change is in force on every instance, and the CPU cost of the control plane.
//!
//! `cargo bench -p marigoldlock --bench settings_spread -- [instances] [changes]` starts the instances in one
//! process on loopback, with stand-ins for the log and the instance list, and publishes changes one after the
//! other. It prints one line of JSON with the distribution of the time for each instance, the distribution of the
//! time until the last instance, and the process's CPU time per instance while idle and while publishing. The CPU
//! time includes the stand-ins, which run in the same process.

use std::sync::Arc;
use std::time::{Duration, Instant};

use clap::Parser;
use futures::future::join_all;
use hdrhistogram::Histogram;
use marigoldlock::cli::InstanceOptions;
use marigoldlock::instance::Instance;
use marigoldlock_core::settings::SettingsChange;
use marigoldlock_standin::prelude::*;
use marigoldlock_wire::codec;
use marigoldlock_wire::platform::{CapacityKind, ListEntry, ListKind, ListState};
use marigoldlock_wire::prelude::*;
use marigoldlock_wire::record::{Envelope, SETTINGS_STREAM};
use rustix::time::{ClockId, clock_gettime};
use serde_json::json;

/// Pause between two changes.
const CHANGE_PAUSE: Duration = Duration::from_millis(100);

/// How long to wait until an instance has applied a change.
const APPLY_TIMEOUT: Duration = Duration::from_secs(30);

/// Duration of the idle measurement.
const IDLE_TIME: Duration = Duration::from_secs(10);

/// Data centres that the instances are spread over.
const DATA_CENTRES: [&str; 4] = ["scl-a", "scl-b", "scl-c", "scl-d"];

/// Parses an instance's flags, to get their defaults.
#[derive(Parser)]
struct Flags {
    #[command(flatten)]
    options: InstanceOptions,
}

fn main() {
    let numbers: Vec<usize> = std::env::args()
        .filter_map(|argument| argument.parse().ok())
        .collect();
    let instances = numbers.first().copied().unwrap_or(8);
    let changes = numbers.get(1).copied().unwrap_or(100);
    let runtime = tokio::runtime::Builder::new_multi_thread()
        .worker_threads(4)
        .enable_all()
        .build();
    runtime.expect("a runtime").block_on(measure(instances, changes));
}

async fn measure(count: usize, changes: usize) {
    marigoldlock::logging::init("off");
    let log = LogStandin::start(LogOptions::default()).await.expect("a log");
    let list = ListStandin::start(ListOptions::default()).await.expect("a list");
    publish(&log, "teams/a/customers/acme", "weight = 1");
    let mut instances = Vec::with_capacity(count);
    for index in 0..count {
        instances.push(Arc::new(start_instance(index, &log, &list).await));
    }
    tokio::time::sleep(Duration::from_secs(5)).await;
    let idle = cpu_share(tokio::time::sleep(IDLE_TIME)).await / count as f64;
    let mut per_instance = Histogram::<u64>::new(3).expect("three digits");
    let mut all_instances = Histogram::<u64>::new(3).expect("three digits");
    let publishing = async {
        for change in 0..changes {
            let times = publish_and_wait(&log, &instances, change).await;
            times
                .iter()
                .for_each(|time| per_instance.record(*time).expect("a time in range"));
            all_instances
                .record(times.iter().copied().max().unwrap_or_default())
                .expect("a time in range");
            tokio::time::sleep(CHANGE_PAUSE).await;
        }
    };
    let busy = cpu_share(publishing).await / count as f64;
    let result = json!({
        "instances": count,
        "changes": changes,
        "in_force_us": quantiles(&per_instance),
        "in_force_on_all_us": quantiles(&all_instances),
        "idle_cpu_percent_of_core_per_instance": idle * 100.0,
        "publishing_cpu_percent_of_core_per_instance": busy * 100.0,
    });
    println!("{result}");
}

async fn start_instance(index: usize, log: &LogStandin, list: &ListStandin) -> Instance {
    let data_centre = DATA_CENTRES[index % DATA_CENTRES.len()];
    let flags = Flags::parse_from([
        "bench".to_owned(),
        format!("--name=entry-{index}"),
        format!("--data-centre={data_centre}"),
        format!("--log-url=http://{}", log.address()),
        format!("--list-url=http://{}", list.address()),
    ]);
    let instance = Instance::start(flags.options).await.expect("an instance");
    assert!(
        instance.wait_ready(APPLY_TIMEOUT).await,
        "instance {index} does not serve"
    );
    list.set(ListEntry {
        id: format!("entry-{index}"),
        kind: ListKind::Entry,
        service: None,
        data_centre: data_centre.into(),
        address: instance.address().to_string(),
        peer_address: Some(instance.peer_address().to_string()),
        capacity: CapacityKind::Steady,
        state: ListState::Live,
    });
    instance
}

fn publish(log: &LogStandin, path: &str, body: &str) -> LogPosition {
    let change = SettingsChange {
        path: path.into(),
        body: Some(body.into()),
        expect: None,
        author: "bench".into(),
    };
    let envelope = Envelope {
        id: RecordId(rand::random()),
        writer: InstanceId::from("bench"),
        incarnation: Incarnation(1),
        records: vec![change],
    };
    let offset = log.append(SETTINGS_STREAM, &codec::encode(&envelope));
    LogPosition::new(offset + 1, 0)
}

/// Publishes a change and returns the time until it is in force on each instance, in microseconds.
async fn publish_and_wait(log: &LogStandin, instances: &[Arc<Instance>], change: usize) -> Vec<u64> {
    let started = Instant::now();
    let version = publish(
        log,
        "teams/a/customers/acme/weight",
        &format!("value = {}", 1 + change % 9),
    );
    let waits = instances.iter().map(|instance| {
        let instance = Arc::clone(instance);
        tokio::spawn(async move {
            let settings = &instance.context().settings;
            let in_force = settings.wait_for(|state| state.active.version() >= version);
            tokio::time::timeout(APPLY_TIMEOUT, in_force)
                .await
                .expect("the change comes into force");
            started.elapsed().as_micros() as u64
        })
    });
    let times = join_all(waits).await.into_iter();
    times.map(|time| time.expect("no panic")).collect()
}

fn quantiles(times: &Histogram<u64>) -> serde_json::Value {
    json!({
        "p50": times.value_at_quantile(0.5),
        "p99": times.value_at_quantile(0.99),
        "max": times.max(),
    })
}

/// Returns the process's CPU time during the work, divided by the elapsed time.
async fn cpu_share(work: impl Future<Output = ()>) -> f64 {
    let (started, cpu) = (Instant::now(), cpu_seconds());
    work.await;
    (cpu_seconds() - cpu) / started.elapsed().as_secs_f64()
}

fn cpu_seconds() -> f64 {
    let time = clock_gettime(ClockId::ProcessCPUTime);
    time.tv_sec as f64 + time.tv_nsec as f64 / 1e9
}
