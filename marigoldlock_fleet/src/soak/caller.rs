//! Callers of a soak test: they query the addresses to use, reuse their connections and record each outcome.

use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::time::Duration;

use marigoldlock_standin::site::{EVENTS_PER_STREAM, SITE_KEY, SiteCaller};
use rand::rngs::StdRng;
use rand::{Rng, SeedableRng};
use tokio::task::JoinSet;
use tokio::time::Instant;

use super::crashing::{CRASHING_PART, CRASHING_PATH};
use super::{SoakOptions, SoakSite};

/// Longest wait for an answer, above the deadline that the requests carry.
const ANSWER_TIMEOUT: Duration = Duration::from_secs(5);

/// Time for which the queried addresses are used before the next query.
const ADDRESS_CACHE_TTL: Duration = Duration::from_secs(1);

/// Timeout of a query for addresses.
const RESOLVE_TIMEOUT: Duration = Duration::from_millis(800);

/// Key that was never part of the settings.
const UNKNOWN_KEY: &str = "key-stolen";

/// Outcome of a request for its caller.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum CallOutcome {
    /// The complete expected answer.
    Answered,
    /// A success status with an unexpected body.
    Wrong(String),
    /// A refusal that guarantees that the request has not run.
    NotRun(u16),
    /// A refusal because of the key or route.
    Forbidden(u16),
    /// A failure that leaves open whether the request has run.
    Unknown,
}

/// One request of a caller.
#[derive(Clone, Debug)]
pub struct CallRecord {
    /// Id of the attempt.
    pub attempt: String,
    /// Service that serves the request.
    pub service: &'static str,
    /// When the request was sent.
    pub sent_at: Instant,
    /// True if the request may run at most once.
    pub is_booking: bool,
    /// True if the request was sent with `UNKNOWN_KEY`.
    pub has_unknown_key: bool,
    /// True if the request crashes upstreams.
    pub crashes_upstreams: bool,
    /// True if the request was sent after the fleet's time for recovery.
    pub is_after_recovery: bool,
    /// Outcome for the caller.
    pub outcome: CallOutcome,
}

/// The callers of one soak test.
pub struct CallerGroup {
    tasks: JoinSet<Vec<CallRecord>>,
    is_after_recovery: Arc<AtomicBool>,
    is_stopped: Arc<AtomicBool>,
}

impl CallerGroup {
    /// Starts the callers.
    pub fn start(options: &SoakOptions, site: &SoakSite) -> Self {
        let directories: Vec<SocketAddr> = site
            .instances
            .iter()
            .map(|instance| instance.directory_address())
            .collect();
        let mut tasks = JoinSet::new();
        let (is_after_recovery, is_stopped) =
            (Arc::new(AtomicBool::new(false)), Arc::new(AtomicBool::new(false)));
        // One more caller sends the requests that crash upstreams.
        for number in 0..=options.callers {
            let caller = Caller {
                crashes_upstreams: number == options.callers,
                random: StdRng::seed_from_u64(options.seed ^ (number as u64 + 1) << 32),
                number,
                directories: directories.clone(),
                addresses: Vec::new(),
                resolved_at: None,
                is_after_recovery: Arc::clone(&is_after_recovery),
                is_stopped: Arc::clone(&is_stopped),
            };
            tasks.spawn(caller.run());
        }
        Self {
            tasks,
            is_after_recovery,
            is_stopped,
        }
    }

    /// Marks all requests sent from now on as sent after the recovery.
    pub fn mark_recovered(&self) {
        self.is_after_recovery.store(true, Ordering::Relaxed);
    }

    /// Stops the callers and returns the records of their requests.
    pub async fn close(mut self) -> Vec<CallRecord> {
        self.is_stopped.store(true, Ordering::Relaxed);
        let mut records = Vec::new();
        while let Some(ended) = self.tasks.join_next().await {
            match ended {
                Ok(calls) => records.extend(calls),
                Err(err) => log::error!(error:% = err; "a caller's task failed; its records are lost"),
            }
        }
        records
    }
}

struct Caller {
    crashes_upstreams: bool,
    random: StdRng,
    number: usize,
    directories: Vec<SocketAddr>,
    addresses: Vec<SocketAddr>,
    resolved_at: Option<Instant>,
    is_after_recovery: Arc<AtomicBool>,
    is_stopped: Arc<AtomicBool>,
}

impl Caller {
    async fn run(mut self) -> Vec<CallRecord> {
        let mut records = Vec::new();
        let caller = match SiteCaller::new() {
            Ok(caller) => caller,
            Err(err) => {
                log::error!(error:% = err; "failed to create a caller's HTTP client; the caller sends no requests");
                return records;
            }
        };
        while !self.is_stopped.load(Ordering::Relaxed) {
            self.resolve(&caller).await;
            let pauses = if self.crashes_upstreams { 100..500 } else { 5..60 };
            let pause = Duration::from_millis(self.random.random_range(pauses));
            tokio::time::sleep(pause).await;
            let Some(&front) = choose(&mut self.random, &self.addresses) else {
                continue;
            };
            let attempt = format!("c{}-{}", self.number, records.len());
            let has_unknown_key = !self.crashes_upstreams && self.random.random_bool(0.03);
            let paths = [("/draft/x", "llm"), ("/look/x", "app"), ("/book/x", "app")];
            let crashing_paths = [paths[0], (CRASHING_PATH, "app")];
            let (path, service) = if self.crashes_upstreams {
                crashing_paths[self.random.random_range(0..2)]
            } else {
                paths[self.random.random_range(0..3)]
            };
            let key = if has_unknown_key { UNKNOWN_KEY } else { SITE_KEY };
            let is_after_recovery = self.is_after_recovery.load(Ordering::Relaxed);
            let (shared, own) = (self.random.random_range(1..40), records.len());
            let parts = match path {
                CRASHING_PATH => "1:5000".to_owned(),
                _ if self.crashes_upstreams => format!("{shared:x}:4000,{CRASHING_PART}:100,{own:x}:1000"),
                _ => format!("{shared:x}:4000,{own:x}:1000"),
            };
            let sent_at = Instant::now();
            let answer = caller.send_prompt(front, path, &attempt, key, &parts);
            let outcome = match tokio::time::timeout(ANSWER_TIMEOUT, read_outcome(answer, path)).await {
                Ok(outcome) => outcome,
                Err(_) => CallOutcome::Unknown,
            };
            records.push(CallRecord {
                attempt,
                service,
                sent_at,
                is_booking: path.starts_with("/book"),
                has_unknown_key,
                crashes_upstreams: self.crashes_upstreams,
                is_after_recovery,
                outcome,
            });
        }
        records
    }

    /// Queries the addresses to use if the last answer has expired; keeps the old ones if the query fails.
    async fn resolve(&mut self, caller: &SiteCaller) {
        if self
            .resolved_at
            .is_some_and(|at| at.elapsed() < ADDRESS_CACHE_TTL)
        {
            return;
        }
        let Some(&directory) = choose(&mut self.random, &self.directories) else {
            return;
        };
        let answer = tokio::time::timeout(RESOLVE_TIMEOUT, caller.resolve(directory)).await;
        if let Ok(Ok(addresses)) = answer {
            self.addresses = addresses.iter().filter_map(|text| text.parse().ok()).collect();
            self.resolved_at = Some(Instant::now());
        }
    }
}

fn choose<'a, T>(random: &mut StdRng, choices: &'a [T]) -> Option<&'a T> {
    if choices.is_empty() {
        return None;
    }
    choices.get(random.random_range(0..choices.len()))
}

async fn read_outcome(
    answer: impl Future<Output = reqwest::Result<reqwest::Response>>,
    path: &str,
) -> CallOutcome {
    let Ok(answer) = answer.await else {
        return CallOutcome::Unknown;
    };
    match answer.status().as_u16() {
        200 => match answer.text().await {
            Ok(text) if is_expected_body(&text, path) => CallOutcome::Answered,
            Ok(text) => CallOutcome::Wrong(text),
            Err(_) => CallOutcome::Unknown,
        },
        status @ (408 | 421 | 429 | 503) => CallOutcome::NotRun(status),
        status @ (400..=407 | 409..=417) => CallOutcome::Forbidden(status),
        _ => CallOutcome::Unknown,
    }
}

fn is_expected_body(text: &str, path: &str) -> bool {
    if !path.starts_with("/draft") {
        return text == "whole answer";
    }
    let ids = text.lines().filter_map(|line| line.strip_prefix("id: "));
    let ids: Vec<Option<u64>> = ids.map(|id| id.parse().ok()).collect();
    ids == (0..EVENTS_PER_STREAM).map(Some).collect::<Vec<_>>()
}
