//! Stand-in for the platform's append-only log.
//!
//! The first append to a stream creates it. All streams share one append rate limit. Retention by age and by
//! count moves the first offset of a stream forward. A read at the head waits for the next record.

mod rate;
mod stream;

use std::net::SocketAddr;
use std::sync::{Arc, Mutex, MutexGuard};
use std::time::Duration;

use axum::body::Bytes;
use axum::extract::{DefaultBodyLimit, Path, Query, State};
use axum::http::{StatusCode, header};
use axum::response::{IntoResponse, Response};
use axum::routing::post;
use axum::{Json, Router};
use marigoldlock_wire::FastMap;
use marigoldlock_wire::platform::{AppendAnswer, MAX_RECORD_BYTES, ReadAnswer, ReadQuery};
use tokio::sync::watch;
use tokio::time::Instant;

use self::rate::TokenBucket;
use self::stream::LogStream;
use crate::clock::UnixClock;
use crate::faults::{FaultInjector, FaultPlan};
use crate::server::{DisconnectPolicy, StandinServer};

/// Upper limit for the wait of a read, in milliseconds.
const MAX_WAIT_MS: u64 = 60_000;

/// Options of a log stand-in.
#[derive(Clone, Debug)]
pub struct LogOptions {
    /// Address to listen on; port 0 picks a free port.
    pub listen: SocketAddr,
    /// Appends per second over all streams.
    pub appends_per_s: u32,
    /// Burst size of the append rate limit.
    pub append_burst: u32,
    /// Age at which a record expires, in milliseconds.
    pub keep_ms: Option<u64>,
    /// Maximum number of records that a stream keeps.
    pub keep_records: Option<usize>,
    /// Initial faults.
    pub faults: FaultPlan,
}

impl Default for LogOptions {
    fn default() -> Self {
        Self {
            listen: SocketAddr::from(([127, 0, 0, 1], 0)),
            appends_per_s: 400,
            append_burst: 100,
            keep_ms: None,
            keep_records: None,
            faults: FaultPlan::default(),
        }
    }
}

/// Running log stand-in.
#[derive(Debug)]
pub struct LogStandin {
    server: StandinServer,
    faults: FaultInjector,
    shared: Arc<SharedLog>,
}

impl LogStandin {
    /// Starts an empty log.
    ///
    /// # Errors
    ///
    /// If the address can't be bound.
    pub async fn start(options: LogOptions) -> eyre::Result<Self> {
        let faults = FaultInjector::new(options.faults.clone());
        let listen = options.listen;
        let shared = Arc::new(SharedLog::new(options));
        let server = StandinServer::start(
            listen,
            routes(Arc::clone(&shared)),
            &faults,
            DisconnectPolicy::Finish,
        )
        .await?;
        Ok(Self {
            server,
            faults,
            shared,
        })
    }

    /// Address the log listens on.
    pub fn address(&self) -> SocketAddr {
        self.server.address()
    }

    /// Fault injector, which can be changed at any time.
    pub fn faults(&self) -> &FaultInjector {
        &self.faults
    }

    /// Accepted appends over all streams.
    pub fn appends(&self) -> u64 {
        self.shared.state().appends
    }

    /// Appends rejected by the rate limit.
    pub fn rejected_appends(&self) -> u64 {
        self.shared.state().rejected_appends
    }

    /// Retained records of a stream from the given offset.
    pub fn records(&self, stream: &str, from: u64) -> ReadAnswer {
        self.shared.read(stream, from, usize::MAX)
    }

    /// Appends in process, bypassing the rate limit.
    pub fn append(&self, stream: &str, record: &[u8]) -> u64 {
        self.shared.append(stream, record)
    }

    /// Drops the records before the offset as if they had expired.
    pub fn expire(&self, stream: &str, before: u64) {
        let mut state = self.shared.state();
        state.stream(stream).expire_before(before);
    }

    /// Closes the listener and all connections.
    pub async fn close(self) {
        self.server.close().await;
    }
}

#[derive(Debug)]
struct LogState {
    streams: FastMap<String, LogStream>,
    rate: TokenBucket,
    appends: u64,
    rejected_appends: u64,
}

impl LogState {
    fn stream(&mut self, name: &str) -> &mut LogStream {
        self.streams.entry(name.to_owned()).or_default()
    }
}

#[derive(Debug)]
struct SharedLog {
    options: LogOptions,
    clock: UnixClock,
    state: Mutex<LogState>,
}

impl SharedLog {
    fn new(options: LogOptions) -> Self {
        let rate = TokenBucket::new(options.appends_per_s, options.append_burst, Instant::now());
        let state = LogState {
            streams: FastMap::default(),
            rate,
            appends: 0,
            rejected_appends: 0,
        };
        Self {
            options,
            clock: UnixClock::new(),
            state: Mutex::new(state),
        }
    }

    fn state(&self) -> MutexGuard<'_, LogState> {
        self.state.lock().expect("no panic while held")
    }

    fn try_append(&self, stream: &str, record: &[u8]) -> Result<u64, Duration> {
        let mut state = self.state();
        if let Err(wait) = state.rate.try_take(Instant::now()) {
            state.rejected_appends += 1;
            return Err(wait);
        }
        drop(state);
        Ok(self.append(stream, record))
    }

    fn append(&self, stream: &str, record: &[u8]) -> u64 {
        let now_ms = self.clock.now_ms();
        let mut state = self.state();
        state.appends += 1;
        let stream = state.stream(stream);
        let offset = stream.append(now_ms, record);
        stream.retain(now_ms, self.options.keep_ms, self.options.keep_records);
        offset
    }

    fn read(&self, stream: &str, from: u64, max: usize) -> ReadAnswer {
        let now_ms = self.clock.now_ms();
        let mut state = self.state();
        let stream = state.stream(stream);
        stream.retain(now_ms, self.options.keep_ms, self.options.keep_records);
        stream.read(from, max)
    }

    fn watch_head(&self, stream: &str) -> watch::Receiver<u64> {
        self.state().stream(stream).watch_head()
    }
}

fn routes(shared: Arc<SharedLog>) -> Router {
    Router::new()
        .route("/v1/streams/{stream}/records", post(append).get(read))
        .layer(DefaultBodyLimit::max(MAX_RECORD_BYTES))
        .with_state(shared)
}

async fn append(State(log): State<Arc<SharedLog>>, Path(stream): Path<String>, record: Bytes) -> Response {
    match log.try_append(&stream, &record) {
        Ok(offset) => Json(AppendAnswer { offset }).into_response(),
        Err(wait) => {
            let seconds = wait.as_secs_f64().ceil().max(1.0) as u64;
            (
                StatusCode::TOO_MANY_REQUESTS,
                [(header::RETRY_AFTER, seconds.to_string())],
            )
                .into_response()
        }
    }
}

async fn read(
    State(log): State<Arc<SharedLog>>,
    Path(stream): Path<String>,
    Query(query): Query<ReadQuery>,
) -> Json<ReadAnswer> {
    let mut head = log.watch_head(&stream);
    let deadline = Instant::now() + Duration::from_millis(query.wait_ms.min(MAX_WAIT_MS));
    loop {
        let answer = log.read(&stream, query.from, query.max);
        if !answer.records.is_empty() || query.max == 0 || Instant::now() >= deadline {
            return Json(answer);
        }
        tokio::select! {
            _ = head.changed() => {},
            () = tokio::time::sleep_until(deadline) => {},
        }
    }
}
