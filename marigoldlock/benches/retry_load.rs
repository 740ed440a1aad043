//! How much retries multiply the load of an overloaded upstream, with naive retries and with a retry budget.
//!
//! Each policy calls its own instance of the same service, at the same time. The service first keeps up with the
//! load, then gets more than it can serve, so that responses arrive after the attempt's timeout. The service
//! finishes every call that it has started, even after the caller has disconnected.

use std::sync::{Arc, Mutex};
use std::time::Duration;

use marigoldlock_core::relay::{BudgetLimits, FailureKind, RetryBudget, RetryRule};
use marigoldlock_core::time::MonoTime;
use marigoldlock_standin::prelude::*;
use tokio::time::Instant;

/// Calls that the service runs concurrently.
const SLOTS: u32 = 8;

/// Duration of a call; with [`SLOTS`] calls at once the service handles 80 per second.
const WORK_MS: u64 = 100;

/// Timeout of an attempt.
const ATTEMPT_TIMEOUT: Duration = Duration::from_millis(500);

/// Maximum number of attempts per request.
const MAX_ATTEMPTS: u32 = 4;

/// Load in requests per second and duration of the phases before, during and after the overload.
const PHASES: [(u64, Duration); 3] = [
    (40, Duration::from_secs(5)),
    (100, Duration::from_secs(15)),
    (40, Duration::from_secs(20)),
];

/// Decides whether a failed attempt is retried.
trait RetryPolicy: Send + Sync {
    fn on_success(&self);
    fn may_retry(&self, kind: FailureKind) -> bool;
}

struct NaiveRetry;

impl RetryPolicy for NaiveRetry {
    fn on_success(&self) {}

    fn may_retry(&self, _: FailureKind) -> bool {
        true
    }
}

struct BudgetedRetry {
    budget: Mutex<RetryBudget>,
    start: Instant,
}

impl BudgetedRetry {
    fn new() -> Self {
        Self {
            budget: Mutex::new(RetryBudget::new(BudgetLimits::default(), MonoTime::ZERO)),
            start: Instant::now(),
        }
    }
}

impl RetryPolicy for BudgetedRetry {
    fn on_success(&self) {
        self.budget.lock().expect("no panic while held").on_success();
    }

    fn may_retry(&self, kind: FailureKind) -> bool {
        let now = MonoTime::from_duration(self.start.elapsed());
        match kind.retry_rule(true) {
            RetryRule::Free => true,
            RetryRule::Budgeted => self.budget.lock().expect("no panic while held").try_spend(now),
            RetryRule::Never => false,
        }
    }
}

#[derive(Default)]
struct PhaseCount {
    requests: u64,
    answered: u64,
    attempts: u64,
}

fn main() {
    let runtime = tokio::runtime::Runtime::new().expect("a runtime");
    let (naive, budgeted) = runtime
        .block_on(async { tokio::join!(run(Arc::new(NaiveRetry)), run(Arc::new(BudgetedRetry::new()))) });
    println!("policy    load/s  requests  attempts  attempts/request  answered");
    for (name, counts) in [("naive", naive), ("budgeted", budgeted)] {
        for (count, (rate, _)) in counts.iter().zip(PHASES) {
            let ratio = count.attempts as f64 / count.requests as f64;
            let PhaseCount {
                requests,
                answered,
                attempts,
            } = count;
            println!("{name:<9} {rate:>6} {requests:>9} {attempts:>9} {ratio:>17.2} {answered:>9}");
        }
    }
}

async fn run(policy: Arc<dyn RetryPolicy>) -> Vec<PhaseCount> {
    let service = ServiceStandin::start(ServiceOptions {
        work_ms: WORK_MS,
        slots: SLOTS,
        ..ServiceOptions::default()
    })
    .await
    .expect("the service starts");
    let client = reqwest::Client::builder()
        .no_proxy()
        .build()
        .expect("a client without TLS");
    let url = format!("http://{}/work", service.address());
    let mut counts = Vec::new();
    for (rate, length) in PHASES {
        counts.push(run_phase(&client, &url, &policy, rate, length).await);
    }
    service.close().await;
    counts
}

async fn run_phase(
    client: &reqwest::Client,
    url: &str,
    policy: &Arc<dyn RetryPolicy>,
    rate: u64,
    length: Duration,
) -> PhaseCount {
    let mut ticks = tokio::time::interval(Duration::from_secs(1) / rate as u32);
    let end = Instant::now() + length;
    let mut requests = Vec::new();
    while Instant::now() < end {
        ticks.tick().await;
        requests.push(tokio::spawn(send_request(
            client.clone(),
            url.to_owned(),
            Arc::clone(policy),
        )));
    }
    let mut count = PhaseCount::default();
    for request in requests {
        let (attempts, is_answered) = request.await.expect("a request's task ends");
        count.requests += 1;
        count.attempts += u64::from(attempts);
        count.answered += u64::from(is_answered);
    }
    count
}

async fn send_request(client: reqwest::Client, url: String, policy: Arc<dyn RetryPolicy>) -> (u32, bool) {
    for attempt in 1..=MAX_ATTEMPTS {
        let sent = client.get(&url).timeout(ATTEMPT_TIMEOUT).send().await;
        let kind = match sent {
            Ok(_) => {
                policy.on_success();
                return (attempt, true);
            }
            Err(err) => marigoldlock::upstream::classify_error(&err),
        };
        if attempt == MAX_ATTEMPTS || !policy.may_retry(kind) {
            return (attempt, false);
        }
    }
    (MAX_ATTEMPTS, false)
}
