//! Memory use of an instance by number of open streams.
//!
//! `cargo bench -p marigoldlock --bench memory` runs an instance in a child process, with slow engines so that the
//! streams stay open, and prints one line of JSON for each number of streams.

#[path = "../tests/support/process.rs"]
mod process;

use std::time::Duration;

use marigoldlock_fleet::{Fleet, FleetOptions};
use marigoldlock_wire::engine::ChatMessage;
use process::ProcessInstance;
use reqwest::{Client, Response};
use serde_json::json;

/// Size of a memory page.
const PAGE_BYTES: f64 = 4096.0;

/// Time for the instance to start serving and, later, for its memory use to settle.
const SETTLE_TIME: Duration = Duration::from_secs(3);

fn main() {
    let runtime = tokio::runtime::Runtime::new().expect("a runtime");
    runtime.block_on(measure());
}

async fn measure() {
    let mut options = FleetOptions::small(0);
    options.engine.decode_tokens_per_s = 1.0;
    options.engine.slots = 2_000;
    options.engine.kv_total_tokens = 100_000_000;
    options.engine.batch_slowdown = 0.0;
    let fleet = Fleet::start(options).await.expect("the stand-ins start");
    let instance = ProcessInstance::start(&fleet, "pest-0");
    tokio::time::sleep(SETTLE_TIME).await;
    let mut open = Vec::new();
    for streams in [0, 100, 250, 500, 1_000] {
        let missing = (open.len()..streams).map(|index| open_stream(&fleet, &instance.address, index));
        open.extend(futures::future::join_all(missing).await);
        tokio::time::sleep(SETTLE_TIME).await;
        println!(
            "{}",
            json!({"measure": "memory", "streams": streams, "resident_mb": resident_mb(instance.id())})
        );
    }
    drop(open);
    instance.kill();
    fleet.close().await;
}

async fn open_stream(fleet: &Fleet, address: &str, index: usize) -> Response {
    let deployment = &fleet.options().deployment;
    let (customer, _) = deployment.customers[index % deployment.customers.len()];
    let messages = [ChatMessage {
        role: "user".into(),
        content: format!("stream {index}"),
    }];
    let body = json!({"model": deployment.model, "messages": messages, "max_tokens": 1_000, "stream": true});
    let http = Client::builder().no_proxy().build().expect("a client");
    let request = http.post(format!("http://{address}/v1/chat/completions"));
    let request = request
        .bearer_auth(deployment.key(customer))
        .header("x-deadline-ms", "86400000")
        .json(&body);
    let mut response = request.send().await.expect("an answer");
    assert!(
        response.status().is_success(),
        "{}",
        response.text().await.unwrap_or_default()
    );
    response.chunk().await.expect("a first token");
    response
}

fn resident_mb(id: u32) -> f64 {
    let statm = std::fs::read_to_string(format!("/proc/{id}/statm")).expect("the process runs");
    let pages = statm
        .split(' ')
        .nth(1)
        .and_then(|pages| pages.parse::<f64>().ok());
    pages.expect("a number of pages") * PAGE_BYTES / 1e6
}
