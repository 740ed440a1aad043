//! How much a slow upstream's load is multiplied by retries: naive ones beside those of the retry budget.
//!
//! Both policies face a service of their own, alike in every way, at the same time. The service first keeps up
//! with its callers; then it gets more than it can serve, so that answers come after the attempt's timeout.
//! A service finishes what it has begun, also when the caller has gone.

use std::sync::{Arc, Mutex};
use std::time::Duration;

use marigoldlock_core::relay::{BudgetLimits, FailureKind, RetryBudget, RetryRule};
use marigoldlock_core::time::MonoTime;
use marigoldlock_standin::prelude::*;
use tokio::time::Instant;

/// Calls that the service runs side by side.
const SLOTS: u32 = 8;

/// Time of one call; the service can serve 80 a second.
const WORK_MS: u64 = 100;

/// Time after which an attempt counts as timed out.
const ATTEMPT_TIMEOUT: Duration = Duration::from_millis(500);

/// Attempts of one request.
const ATTEMPTS: u32 = 4;

/// Load before, during and after the overload, in requests per second, and how long each lasts.
const PHASES: [(u64, Duration); 3] = [
    (40, Duration::from_secs(5)),
    (100, Duration::from_secs(15)),
    (40, Duration::from_secs(20)),
];

/// Whether a request whose attempt failed is sent again.
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
        requests.push(tokio::spawn(request(
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

async fn request(client: reqwest::Client, url: String, policy: Arc<dyn RetryPolicy>) -> (u32, bool) {
    for attempt in 1..=ATTEMPTS {
        let sent = client.get(&url).timeout(ATTEMPT_TIMEOUT).send().await;
        let kind = match sent {
            Ok(_) => {
                policy.on_success();
                return (attempt, true);
            }
            Err(err) => marigoldlock::upstream::classify_error(&err),
        };
        if attempt == ATTEMPTS || !policy.may_retry(kind) {
            return (attempt, false);
        }
    }
    (ATTEMPTS, false)
}
