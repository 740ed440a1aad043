//! Callers of a soak test: they query the addresses to use, reuse their connections and record each outcome.

use std::collections::BTreeSet;
use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::time::Duration;

use marigoldlock_standin::site::{EVENTS_PER_STREAM, SITE_KEY, SiteCaller};
use rand::rngs::StdRng;
use rand::{Rng, SeedableRng};
use reqwest::Response;
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

/// Tries of a stream: the first one, and those that resume it.
const MAX_TRIES: usize = 3;

/// Share of the streams whose caller leaves and resumes them.
const LEAVING_SHARE: f64 = 0.2;

/// Number of events after which such a caller leaves.
const LEAVING_EVENTS: u64 = 2;

/// Error in refusals of requests that crash upstreams.
const BLOCKED_ERROR: &str = "crashes_upstreams";

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
    /// A refusal as not run, because the request crashes upstreams.
    Blocked,
    /// A refusal because of the key or route.
    Forbidden(u16),
    /// The caller left the stream to resume it.
    Left,
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
    /// Software versions of the upstreams that sent events of the stream, over all tries so far.
    pub stream_versions: Vec<String>,
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
            if self.addresses.is_empty() {
                continue;
            }
            let has_unknown_key = !self.crashes_upstreams && self.random.random_bool(0.03);
            let paths = [("/draft/x", "llm"), ("/look/x", "app"), ("/book/x", "app")];
            let crashing_paths = [paths[0], (CRASHING_PATH, "app")];
            let (path, service) = if self.crashes_upstreams {
                crashing_paths[self.random.random_range(0..2)]
            } else {
                paths[self.random.random_range(0..3)]
            };
            let (shared, own) = (self.random.random_range(1..40), records.len());
            let request = SoakRequest {
                path,
                service,
                key: if has_unknown_key { UNKNOWN_KEY } else { SITE_KEY },
                parts: match path {
                    CRASHING_PATH => "1:5000".to_owned(),
                    _ if self.crashes_upstreams => {
                        format!("{shared:x}:4000,{CRASHING_PART}:100,{own:x}:1000")
                    }
                    _ => format!("{shared:x}:4000,{own:x}:1000"),
                },
                leaves: self.random.random_bool(LEAVING_SHARE),
            };
            let mut progress = StreamProgress::default();
            for _ in 0..MAX_TRIES {
                let Some(&front) = choose(&mut self.random, &self.addresses) else {
                    break;
                };
                let attempt = format!("c{}-{}", self.number, records.len());
                let record = self.send(&caller, front, attempt, &request, &mut progress).await;
                let is_over = record.outcome == CallOutcome::Answered || progress.first_attempt.is_none();
                records.push(record);
                if is_over {
                    break;
                }
            }
        }
        records
    }

    /// Sends a request, or resumes its stream if some events have arrived.
    async fn send(
        &self,
        caller: &SiteCaller,
        front: SocketAddr,
        attempt: String,
        request: &SoakRequest,
        progress: &mut StreamProgress,
    ) -> CallRecord {
        let is_after_recovery = self.is_after_recovery.load(Ordering::Relaxed);
        let sent_at = Instant::now();
        let first_attempt = progress.first_attempt.clone();
        let last_event = progress.next_event.saturating_sub(1);
        let read = async {
            let (path, parts) = (request.path, request.parts.as_str());
            let answer = match &first_attempt {
                Some(first) => {
                    caller
                        .resume_prompt(front, path, &attempt, parts, first, last_event)
                        .await
                }
                None => {
                    caller
                        .send_prompt(front, path, &attempt, request.key, parts)
                        .await
                }
            };
            match answer {
                Ok(answer) => read_outcome(answer, &attempt, request, progress).await,
                Err(_) => CallOutcome::Unknown,
            }
        };
        let outcome = match tokio::time::timeout(ANSWER_TIMEOUT, read).await {
            Ok(outcome) => outcome,
            Err(_) => CallOutcome::Unknown,
        };
        CallRecord {
            attempt,
            service: request.service,
            sent_at,
            is_booking: request.path.starts_with("/book"),
            has_unknown_key: request.key == UNKNOWN_KEY,
            crashes_upstreams: self.crashes_upstreams,
            is_after_recovery,
            stream_versions: progress.versions.iter().cloned().collect(),
            outcome,
        }
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
    answer: Response,
    attempt: &str,
    request: &SoakRequest,
    progress: &mut StreamProgress,
) -> CallOutcome {
    match answer.status().as_u16() {
        200 if request.path.starts_with("/draft") => progress.read(answer, attempt, request.leaves).await,
        200 => match answer.text().await {
            Ok(text) if text == "whole answer" => CallOutcome::Answered,
            Ok(text) => CallOutcome::Wrong(text),
            Err(_) => CallOutcome::Unknown,
        },
        status @ (408 | 421 | 429 | 503) => match answer.text().await {
            Ok(text) if text.contains(BLOCKED_ERROR) => CallOutcome::Blocked,
            _ => CallOutcome::NotRun(status),
        },
        status @ (400..=407 | 409..=417) => CallOutcome::Forbidden(status),
        _ => CallOutcome::Unknown,
    }
}

/// What a caller sends, also when it resumes the stream.
struct SoakRequest {
    path: &'static str,
    service: &'static str,
    key: &'static str,
    parts: String,
    /// True if the caller leaves the stream once some events have arrived, and resumes it.
    leaves: bool,
}

/// What a caller has received of a stream, over all tries.
#[derive(Debug, Default)]
struct StreamProgress {
    /// Attempt that brought the first event.
    first_attempt: Option<String>,
    next_event: u64,
    /// Software versions of the upstreams that sent the events.
    versions: BTreeSet<String>,
}

impl StreamProgress {
    /// Reads a stream to its end, or leaves it after a few events if it is the first try.
    async fn read(&mut self, mut answer: Response, attempt: &str, leaves: bool) -> CallOutcome {
        let may_leave = leaves && self.first_attempt.is_none();
        let mut buffer = String::new();
        loop {
            match answer.chunk().await {
                Ok(Some(bytes)) => buffer.push_str(&String::from_utf8_lossy(&bytes)),
                Ok(None) if buffer.is_empty() && self.next_event == EVENTS_PER_STREAM => {
                    return CallOutcome::Answered;
                }
                Ok(None) => return CallOutcome::Wrong(format!("ends before {}: {buffer}", self.next_event)),
                Err(_) => return CallOutcome::Unknown,
            }
            while let Some((event, rest)) = buffer.split_once("\n\n") {
                let parsed = parse_event(event);
                let Some((_, version)) = parsed.filter(|(id, _)| *id == self.next_event) else {
                    return CallOutcome::Wrong(event.to_owned());
                };
                self.versions.insert(version.to_owned());
                self.first_attempt.get_or_insert_with(|| attempt.to_owned());
                self.next_event += 1;
                buffer = rest.to_owned();
            }
            if may_leave && self.next_event >= LEAVING_EVENTS && self.next_event < EVENTS_PER_STREAM {
                return CallOutcome::Left;
            }
        }
    }
}

/// Returns the id of an event and the software version of the upstream that sent it.
fn parse_event(event: &str) -> Option<(u64, &str)> {
    let (id, data) = event.strip_prefix("id: ")?.split_once("\ndata: ")?;
    let (version, _) = data.split_once(' ')?;
    Some((id.parse().ok()?, version))
}
