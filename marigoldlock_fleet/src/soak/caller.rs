//! Callers of a soak: they ask which addresses to use, keep their connections, and note what they got.

use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::time::Duration;

use marigoldlock_standin::site::{EVENTS_PER_STREAM, SITE_KEY, SiteCaller};
use rand::rngs::StdRng;
use rand::{Rng, SeedableRng};
use tokio::task::JoinSet;
use tokio::time::Instant;

use super::{SoakOptions, SoakSite};

/// Longest wait for an answer; the requests' own deadline is shorter.
const ANSWER_MOST: Duration = Duration::from_secs(5);

/// Time for which an address answer is kept.
const ADDRESSES_KEPT: Duration = Duration::from_secs(1);

/// Longest wait for an address answer.
const RESOLVE_MOST: Duration = Duration::from_millis(800);

/// Key that no settings ever held.
const UNKNOWN_KEY: &str = "key-stolen";

/// What a caller got.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum CallOutcome {
    /// A whole answer that is right.
    Answered,
    /// A success whose body is wrong.
    Wrong(String),
    /// A refusal that promises that the request has not run.
    NotRun(u16),
    /// Refused for its key or route.
    Forbidden(u16),
    /// A failure that promises nothing.
    Unknown,
}

/// One request of a caller.
#[derive(Clone, Debug)]
pub struct CallRecord {
    /// Its id.
    pub attempt: String,
    /// True if it may run once at most.
    pub is_booking: bool,
    /// True if its key was never valid.
    pub is_forged: bool,
    /// True if it was sent in the calm after the faults.
    pub is_calm: bool,
    /// What came back.
    pub outcome: CallOutcome,
}

/// The callers of one soak.
pub struct CallerGroup {
    tasks: JoinSet<Vec<CallRecord>>,
    is_calm: Arc<AtomicBool>,
    is_over: Arc<AtomicBool>,
}

impl CallerGroup {
    /// Starts the callers.
    pub fn start(options: &SoakOptions, site: &SoakSite) -> Self {
        let directories: Vec<SocketAddr> = site
            .instances
            .iter()
            .map(|instance| instance.directory())
            .collect();
        let mut tasks = JoinSet::new();
        let (is_calm, is_over) = (Arc::new(AtomicBool::new(false)), Arc::new(AtomicBool::new(false)));
        for number in 0..options.callers {
            let caller = Caller {
                random: StdRng::seed_from_u64(options.seed ^ (number as u64 + 1) << 32),
                number,
                directories: directories.clone(),
                addresses: Vec::new(),
                resolved_at: None,
                is_calm: Arc::clone(&is_calm),
                is_over: Arc::clone(&is_over),
            };
            tasks.spawn(caller.run());
        }
        Self {
            tasks,
            is_calm,
            is_over,
        }
    }

    /// From now on requests count as sent in calm times.
    pub fn mark_calm(&self) {
        self.is_calm.store(true, Ordering::Relaxed);
    }

    /// Ends the callers and tells what they got.
    pub async fn close(mut self) -> Vec<CallRecord> {
        self.is_over.store(true, Ordering::Relaxed);
        let mut records = Vec::new();
        while let Some(ended) = self.tasks.join_next().await {
            match ended {
                Ok(calls) => records.extend(calls),
                Err(err) => log::error!(error:% = err; "a caller's task failed"),
            }
        }
        records
    }
}

struct Caller {
    random: StdRng,
    number: usize,
    directories: Vec<SocketAddr>,
    addresses: Vec<SocketAddr>,
    resolved_at: Option<Instant>,
    is_calm: Arc<AtomicBool>,
    is_over: Arc<AtomicBool>,
}

impl Caller {
    async fn run(mut self) -> Vec<CallRecord> {
        let mut records = Vec::new();
        let caller = match SiteCaller::new() {
            Ok(caller) => caller,
            Err(err) => {
                log::error!(error:% = err; "a caller can't be made");
                return records;
            }
        };
        while !self.is_over.load(Ordering::Relaxed) {
            self.resolve(&caller).await;
            let pause = Duration::from_millis(self.random.random_range(5..60));
            tokio::time::sleep(pause).await;
            let Some(&front) = pick(&mut self.random, &self.addresses) else {
                continue;
            };
            let attempt = format!("c{}-{}", self.number, records.len());
            let is_forged = self.random.random_bool(0.03);
            let path = ["/draft/x", "/look/x", "/book/x"][self.random.random_range(0..3)];
            let key = if is_forged { UNKNOWN_KEY } else { SITE_KEY };
            let is_calm = self.is_calm.load(Ordering::Relaxed);
            let parts = format!(
                "{:x}:4000,{:x}:1000",
                self.random.random_range(1..40),
                records.len()
            );
            let answer = caller.send_prompt(front, path, &attempt, key, &parts);
            let outcome = match tokio::time::timeout(ANSWER_MOST, read(answer, path)).await {
                Ok(outcome) => outcome,
                Err(_) => CallOutcome::Unknown,
            };
            records.push(CallRecord {
                attempt,
                is_booking: path.starts_with("/book"),
                is_forged,
                is_calm,
                outcome,
            });
        }
        records
    }

    /// Asks again which addresses to use if the last answer is old; keeps the old ones if nobody answers.
    async fn resolve(&mut self, caller: &SiteCaller) {
        if self.resolved_at.is_some_and(|at| at.elapsed() < ADDRESSES_KEPT) {
            return;
        }
        let Some(&directory) = pick(&mut self.random, &self.directories) else {
            return;
        };
        let answer = tokio::time::timeout(RESOLVE_MOST, caller.resolve(directory)).await;
        if let Ok(Ok(addresses)) = answer {
            self.addresses = addresses.iter().filter_map(|text| text.parse().ok()).collect();
            self.resolved_at = Some(Instant::now());
        }
    }
}

fn pick<'a, T>(random: &mut StdRng, choices: &'a [T]) -> Option<&'a T> {
    if choices.is_empty() {
        return None;
    }
    choices.get(random.random_range(0..choices.len()))
}

async fn read(answer: impl Future<Output = reqwest::Result<reqwest::Response>>, path: &str) -> CallOutcome {
    let Ok(answer) = answer.await else {
        return CallOutcome::Unknown;
    };
    match answer.status().as_u16() {
        200 => match answer.text().await {
            Ok(text) if is_right(&text, path) => CallOutcome::Answered,
            Ok(text) => CallOutcome::Wrong(text),
            Err(_) => CallOutcome::Unknown,
        },
        status @ (408 | 421 | 429 | 503) => CallOutcome::NotRun(status),
        status @ (400..=407 | 409..=417) => CallOutcome::Forbidden(status),
        _ => CallOutcome::Unknown,
    }
}

fn is_right(text: &str, path: &str) -> bool {
    if !path.starts_with("/draft") {
        return text == "whole answer";
    }
    let ids = text.lines().filter_map(|line| line.strip_prefix("id: "));
    let ids: Vec<Option<u64>> = ids.map(|id| id.parse().ok()).collect();
    ids == (0..EVENTS_PER_STREAM).map(Some).collect::<Vec<_>>()
}
