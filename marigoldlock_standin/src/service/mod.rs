//! Stand-in for a plain service, whose calls may not be repeated.
//!
//! It takes any method and path, writes down each call that it ran, in order, and answers with what it got,
//! so that a test can check what arrived. `GET /_standin/seen` gives the calls over HTTP.

mod seen;

use std::net::SocketAddr;
use std::sync::{Arc, Mutex, MutexGuard};
use std::time::Duration;

use axum::body::Bytes;
use axum::extract::{DefaultBodyLimit, State};
use axum::http::{HeaderMap, Method, Uri};
use axum::routing::get;
use axum::{Json, Router};
use marigoldlock_wire::FastMap;
use marigoldlock_wire::engine::{LoadReport, REQUEST_ID_HEADER};
use marigoldlock_wire::ids::Incarnation;
use tokio::sync::Semaphore;
use tokio::time::Instant;

pub use self::seen::{EchoAnswer, SeenCall, SeenCalls};
use crate::faults::{FaultKnobs, FaultPlan};
use crate::headers::{header_texts, text_header};
use crate::load::LoadHistory;
use crate::server::{CallerLoss, StandinServer};

/// Header with the key of a call that may not be repeated.
pub const IDEMPOTENCY_KEY_HEADER: &str = "idempotency-key";

/// How a service stand-in behaves.
#[derive(Clone, Debug)]
pub struct ServiceOptions {
    /// Address to listen on; port 0 for any.
    pub listen: SocketAddr,
    /// Time that a call takes, in milliseconds; its effect stands at the start.
    pub work_ms: u64,
    /// Calls side by side; the others wait, without effect.
    pub slots: u32,
    /// How old the figures of a load report are, in milliseconds.
    pub load_lag_ms: u64,
    /// What goes wrong from the start.
    pub faults: FaultPlan,
}

impl Default for ServiceOptions {
    fn default() -> Self {
        Self {
            listen: SocketAddr::from(([127, 0, 0, 1], 0)),
            work_ms: 0,
            slots: 32,
            load_lag_ms: 0,
            faults: FaultPlan::default(),
        }
    }
}

/// Running service stand-in.
#[derive(Debug)]
pub struct ServiceStandin {
    server: StandinServer,
    faults: FaultKnobs,
    shared: Arc<SharedService>,
}

impl ServiceStandin {
    /// Starts the service.
    ///
    /// # Errors
    ///
    /// If the address can't be bound.
    pub async fn start(options: ServiceOptions) -> eyre::Result<Self> {
        let faults = FaultKnobs::new(options.faults.clone());
        let shared = Arc::new(SharedService::new(&options, faults.clone()));
        let routes = routes(Arc::clone(&shared));
        let server = StandinServer::start(options.listen, routes, &faults, CallerLoss::Finish).await?;
        Ok(Self {
            server,
            faults,
            shared,
        })
    }

    /// Address that the service listens on.
    pub fn address(&self) -> SocketAddr {
        self.server.address()
    }

    /// The faults, to be changed at any time.
    pub fn faults(&self) -> &FaultKnobs {
        &self.faults
    }

    /// Calls that the service ran so far.
    pub fn seen(&self) -> SeenCalls {
        self.shared.seen()
    }

    /// Closes the listener and all connections, and keeps what was seen.
    pub async fn stop(&self) {
        self.server.stop().await;
    }

    /// Closes the listener and all connections.
    pub async fn close(self) {
        self.server.close().await;
    }
}

#[derive(Debug)]
struct ServiceState {
    calls: Vec<SeenCall>,
    by_key: FastMap<String, u64>,
    running: u32,
    queued: u32,
    load: LoadHistory,
}

#[derive(Debug)]
struct SharedService {
    work: Duration,
    slots: u32,
    room: Semaphore,
    faults: FaultKnobs,
    base: u64,
    state: Mutex<ServiceState>,
}

impl SharedService {
    fn new(options: &ServiceOptions, faults: FaultKnobs) -> Self {
        let state = ServiceState {
            calls: Vec::new(),
            by_key: FastMap::default(),
            running: 0,
            queued: 0,
            load: LoadHistory::new(options.load_lag_ms),
        };
        let service = Self {
            work: Duration::from_millis(options.work_ms),
            slots: options.slots,
            room: Semaphore::new(options.slots as usize),
            faults,
            base: rand::random(),
            state: Mutex::new(state),
        };
        service.note_load(&mut service.state());
        service
    }

    fn state(&self) -> MutexGuard<'_, ServiceState> {
        self.state.lock().expect("no panic while held")
    }

    /// Runs a call once there is room, and gives its place among those that ran.
    async fn run(&self, call: &SeenCall) -> u64 {
        let queued = CallCount::new(self, |state| &mut state.queued);
        let _room = self.room.acquire().await;
        drop(queued);
        let _running = CallCount::new(self, |state| &mut state.running);
        let index = self.change(|state| state.begin(call));
        if !self.work.is_zero() {
            tokio::time::sleep(self.faults.slow_down(self.work)).await;
        }
        index
    }

    fn change<T>(&self, edit: impl FnOnce(&mut ServiceState) -> T) -> T {
        let mut state = self.state();
        let outcome = edit(&mut state);
        self.note_load(&mut state);
        outcome
    }

    fn seen(&self) -> SeenCalls {
        let state = self.state();
        let duplicates = state
            .by_key
            .iter()
            .filter(|(_, count)| **count > 1)
            .map(|(key, count)| (key.clone(), *count))
            .collect();
        SeenCalls {
            calls: state.calls.clone(),
            duplicates,
        }
    }

    fn note_load(&self, state: &mut ServiceState) {
        let restarts = self.faults.presence().borrow().restarts;
        let figures = LoadReport {
            incarnation: Incarnation(self.base.wrapping_add(restarts)),
            running: state.running,
            queued: state.queued,
            slots: self.slots,
            ..LoadReport::default()
        };
        state.load.note(figures, Instant::now());
    }
}

/// Counts a call for as long as it lives, also if a restart ends it early.
struct CallCount<'a> {
    service: &'a SharedService,
    count: fn(&mut ServiceState) -> &mut u32,
}

impl<'a> CallCount<'a> {
    fn new(service: &'a SharedService, count: fn(&mut ServiceState) -> &mut u32) -> Self {
        service.change(|state| *count(state) += 1);
        Self { service, count }
    }
}

impl Drop for CallCount<'_> {
    fn drop(&mut self) {
        let count = self.count;
        self.service.change(|state| *count(state) -= 1);
    }
}

impl ServiceState {
    fn begin(&mut self, call: &SeenCall) -> u64 {
        let index = self.calls.len() as u64;
        self.calls.push(call.clone());
        if let Some(key) = &call.key {
            *self.by_key.entry(key.clone()).or_default() += 1;
        }
        index
    }
}

fn routes(shared: Arc<SharedService>) -> Router {
    Router::new()
        .route("/v1/load", get(show_load))
        .route("/_standin/seen", get(show_seen))
        .fallback(run_call)
        .layer(DefaultBodyLimit::disable())
        .with_state(shared)
}

async fn show_load(State(service): State<Arc<SharedService>>) -> Json<LoadReport> {
    // A restart shows in the incarnation at the latest when somebody asks.
    service.change(|_| ());
    let report = service.state().load.report(Instant::now());
    Json(report)
}

async fn show_seen(State(service): State<Arc<SharedService>>) -> Json<SeenCalls> {
    Json(service.seen())
}

async fn run_call(
    State(service): State<Arc<SharedService>>,
    method: Method,
    uri: Uri,
    headers: HeaderMap,
    body: Bytes,
) -> Json<EchoAnswer> {
    let path = uri.path_and_query().map_or("/", |path| path.as_str());
    let call = SeenCall {
        method: method.to_string(),
        path: path.to_owned(),
        key: text_header(&headers, IDEMPOTENCY_KEY_HEADER),
        request_id: text_header(&headers, REQUEST_ID_HEADER),
        body_hash: blake3::hash(&body).to_hex().to_string(),
    };
    let index = service.run(&call).await;
    let body = String::from_utf8_lossy(&body).into_owned();
    Json(EchoAnswer {
        index,
        call,
        headers: header_texts(&headers),
        body,
    })
}
