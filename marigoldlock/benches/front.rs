//! Latency that an instance adds to direct calls of an upstream, and relayed tokens per core.
//!
//! `cargo bench -p marigoldlock --bench front` prints one line of JSON per measurement. CPU time is that of the
//! instance's own threads, which are named after it.

use std::time::{Duration, Instant};

use futures::{StreamExt, stream};
use hdrhistogram::Histogram;
use marigoldlock_fleet::process::thread_cpu_seconds;
use marigoldlock_fleet::{Fleet, FleetOptions};
use marigoldlock_wire::engine::ChatMessage;
use reqwest::Client;
use serde_json::json;

/// Number of calls in a latency measurement.
const CALLS: usize = 4_000;

/// Number of calls before a latency measurement.
const WARM_UP_CALLS: usize = 500;

/// Number of streams in a relay measurement.
const STREAMS: usize = 48;

/// Tokens per stream.
const STREAM_TOKENS: u64 = 8_192;

fn main() {
    let runtime = tokio::runtime::Runtime::new().expect("a runtime");
    runtime.block_on(async {
        measure_latency().await;
        for frame_tokens in [1, 8, 64] {
            measure_relay(frame_tokens).await;
        }
    });
}

async fn measure_latency() {
    let mut options = FleetOptions::small(1);
    options.service.work_ms = 0;
    options.service.slots = 1_000;
    let fleet = Fleet::start(options).await.expect("the fleet starts");
    let deployment = fleet.options().deployment.clone();
    let key = deployment.key("dairy-north");
    let upstreams = fleet.instances[0]
        .instance()
        .expect("a running instance")
        .context()
        .dispatch
        .upstreams()
        .await;
    let direct = upstreams
        .iter()
        .find(|one| one.service == deployment.plain)
        .expect("a plain service");
    let direct = format!("http://{}/faces", direct.address);
    let through = fleet.instances[0].url(&format!("/services/{}/faces", deployment.plain));
    for concurrency in [1, 8, 64] {
        let direct_times = measure_calls(&direct, &key, concurrency).await;
        let through_times = measure_calls(&through, &key, concurrency).await;
        println!(
            "{}",
            json!({
                "measure": "latency_us", "concurrency": concurrency, "calls": CALLS,
                "direct_p50": direct_times.0, "direct_p99": direct_times.1,
                "through_p50": through_times.0, "through_p99": through_times.1,
                "added_p50": through_times.0.saturating_sub(direct_times.0),
                "added_p99": through_times.1.saturating_sub(direct_times.1),
                "through_per_s": through_times.2,
            })
        );
    }
    fleet.close().await;
}

/// Returns the median and 99th percentile in microseconds, and the calls per second.
async fn measure_calls(url: &str, key: &str, concurrency: usize) -> (u64, u64, f64) {
    let http = Client::builder()
        .no_proxy()
        .pool_max_idle_per_host(concurrency)
        .build()
        .expect("a client");
    run_calls(&http, url, key, concurrency, WARM_UP_CALLS).await;
    let started = Instant::now();
    let times = run_calls(&http, url, key, concurrency, CALLS).await;
    let rate = CALLS as f64 / started.elapsed().as_secs_f64();
    (
        times.value_at_quantile(0.5),
        times.value_at_quantile(0.99),
        rate.round(),
    )
}

async fn run_calls(http: &Client, url: &str, key: &str, concurrency: usize, calls: usize) -> Histogram<u64> {
    let calls_per_worker = calls / concurrency;
    let workers = (0..concurrency).map(|_| {
        let (http, url, key) = (http.clone(), url.to_owned(), key.to_owned());
        tokio::spawn(async move {
            let mut times = Vec::with_capacity(calls_per_worker);
            for _ in 0..calls_per_worker {
                let started = Instant::now();
                let response = http.get(&url).bearer_auth(&key).send().await.expect("an answer");
                assert!(response.status().is_success(), "{}", response.status());
                response.bytes().await.expect("a body");
                times.push(started.elapsed());
            }
            times
        })
    });
    let mut histogram = Histogram::new(3).expect("three digits are allowed");
    for times in futures::future::join_all(workers).await {
        for time in times.expect("no worker fails") {
            histogram.record(micros(time)).expect("the histogram grows");
        }
    }
    histogram
}

fn micros(time: Duration) -> u64 {
    u64::try_from(time.as_micros()).unwrap_or(u64::MAX)
}

async fn measure_relay(frame_tokens: u64) {
    let mut options = FleetOptions::small(1);
    options.engine.burst = true;
    options.engine.burst_frame_tokens = frame_tokens;
    let fleet = Fleet::start(options).await.expect("the fleet starts");
    let deployment = fleet.options().deployment.clone();
    let key = deployment.key("dairy-north");
    let url = fleet.instances[0].url("/v1/chat/completions");
    let http = Client::builder().no_proxy().build().expect("a client");
    let before = thread_cpu_seconds(fleet.instances[0].name());
    let started = Instant::now();
    let bytes: usize = stream::iter(0..STREAMS)
        .map(|index| read_stream(&http, &url, &key, &deployment.model, index))
        .buffer_unordered(8)
        .fold(0, |sum, bytes| async move { sum + bytes })
        .await;
    let elapsed = started.elapsed().as_secs_f64();
    let cpu = thread_cpu_seconds(fleet.instances[0].name()) - before;
    let tokens = (STREAMS as u64 * STREAM_TOKENS) as f64;
    println!(
        "{}",
        json!({
            "measure": "relay", "tokens_per_read": frame_tokens, "tokens": tokens, "bytes": bytes,
            "tokens_per_s": (tokens / elapsed).round(), "instance_cpu_s": cpu,
            "tokens_per_s_per_core": (tokens / cpu).round(),
        })
    );
    fleet.close().await;
}

async fn read_stream(
    http: &Client,
    url: &str,
    key: &str,
    model: &marigoldlock_wire::prelude::ModelId,
    index: usize,
) -> usize {
    let messages = [ChatMessage {
        role: "user".into(),
        content: format!("stream {index}"),
    }];
    let body = json!({"model": model, "messages": messages, "max_tokens": STREAM_TOKENS, "stream": true});
    let request = http
        .post(url)
        .bearer_auth(key)
        .header("x-deadline-ms", "3600000")
        .json(&body);
    let response = request.send().await.expect("an answer");
    assert!(response.status().is_success(), "{}", response.status());
    let mut chunks = response.bytes_stream();
    let mut bytes = 0;
    while let Some(chunk) = chunks.next().await {
        bytes += chunk.expect("a whole stream").len();
    }
    bytes
}
