//! Stand-in for a plain service, whose calls may not be repeated.
//!
//! It accepts any method and path, records each call it runs, in order, and echoes the request, so that a
//! test can check what arrived. `GET /_standin/seen` returns the recorded calls.

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
use crate::faults::{FaultInjector, FaultPlan};
use crate::headers::{header_text, header_texts};
use crate::load::LoadHistory;
use crate::server::{DisconnectPolicy, StandinServer};

/// Header with the key of a call that may not be repeated.
pub const IDEMPOTENCY_KEY_HEADER: &str = "idempotency-key";

/// Options of a service stand-in.
#[derive(Clone, Debug)]
pub struct ServiceOptions {
    /// Address to listen on; port 0 picks a free port.
    pub listen: SocketAddr,
    /// Duration of a call, in milliseconds; the call is recorded at its start.
    pub work_ms: u64,
    /// Maximum number of concurrent calls; further calls wait and aren't recorded until they start.
    pub slots: u32,
    /// Age of the figures in a load report, in milliseconds.
    pub load_lag_ms: u64,
    /// Initial faults.
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
    faults: FaultInjector,
    shared: Arc<SharedService>,
}

impl ServiceStandin {
    /// Starts the service.
    ///
    /// # Errors
    ///
    /// If the address can't be bound.
    pub async fn start(options: ServiceOptions) -> eyre::Result<Self> {
        let faults = FaultInjector::new(options.faults.clone());
        let shared = Arc::new(SharedService::new(&options, faults.clone()));
        let routes = routes(Arc::clone(&shared));
        let server = StandinServer::start(options.listen, routes, &faults, DisconnectPolicy::Finish).await?;
        Ok(Self {
            server,
            faults,
            shared,
        })
    }

    /// Address the service listens on.
    pub fn address(&self) -> SocketAddr {
        self.server.address()
    }

    /// Fault injector, which can be changed at any time.
    pub fn faults(&self) -> &FaultInjector {
        &self.faults
    }

    /// Calls that the service has run so far.
    pub fn seen(&self) -> SeenCalls {
        self.shared.seen()
    }

    /// Closes the listener and all connections; the recorded calls stay readable.
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
    calls_by_key: FastMap<String, u64>,
    running: u32,
    queued: u32,
    load: LoadHistory,
}

#[derive(Debug)]
struct SharedService {
    work: Duration,
    slots: u32,
    permits: Semaphore,
    faults: FaultInjector,
    first_incarnation: u64,
    state: Mutex<ServiceState>,
}

impl SharedService {
    fn new(options: &ServiceOptions, faults: FaultInjector) -> Self {
        let state = ServiceState {
            calls: Vec::new(),
            calls_by_key: FastMap::default(),
            running: 0,
            queued: 0,
            load: LoadHistory::new(options.load_lag_ms),
        };
        let service = Self {
            work: Duration::from_millis(options.work_ms),
            slots: options.slots,
            permits: Semaphore::new(options.slots as usize),
            faults,
            first_incarnation: rand::random(),
            state: Mutex::new(state),
        };
        service.record_load(&mut service.state());
        service
    }

    fn state(&self) -> MutexGuard<'_, ServiceState> {
        self.state.lock().expect("no panic while held")
    }

    /// Runs a call once a slot is free, and returns its index among the calls run.
    async fn run(&self, call: &SeenCall) -> u64 {
        let queued = CountGuard::new(self, |state| &mut state.queued);
        let _permit = self.permits.acquire().await;
        drop(queued);
        let _running = CountGuard::new(self, |state| &mut state.running);
        let index = self.change(|state| state.record_call(call));
        if !self.work.is_zero() {
            tokio::time::sleep(self.faults.apply_slowdown(self.work)).await;
        }
        index
    }

    fn change<T>(&self, edit: impl FnOnce(&mut ServiceState) -> T) -> T {
        let mut state = self.state();
        let outcome = edit(&mut state);
        self.record_load(&mut state);
        outcome
    }

    fn seen(&self) -> SeenCalls {
        let state = self.state();
        let duplicates = state
            .calls_by_key
            .iter()
            .filter(|(_, count)| **count > 1)
            .map(|(key, count)| (key.clone(), *count))
            .collect();
        SeenCalls {
            calls: state.calls.clone(),
            duplicates,
        }
    }

    fn record_load(&self, state: &mut ServiceState) {
        let restarts = self.faults.availability().borrow().restart_count;
        let figures = LoadReport {
            incarnation: Incarnation(self.first_incarnation.wrapping_add(restarts)),
            running: state.running,
            queued: state.queued,
            slots: self.slots,
            ..LoadReport::default()
        };
        state.load.record(figures, Instant::now());
    }
}

/// Counts a call until the guard is dropped, so that a call ended early by a restart is no longer counted.
struct CountGuard<'a> {
    service: &'a SharedService,
    count: fn(&mut ServiceState) -> &mut u32,
}

impl<'a> CountGuard<'a> {
    fn new(service: &'a SharedService, count: fn(&mut ServiceState) -> &mut u32) -> Self {
        service.change(|state| *count(state) += 1);
        Self { service, count }
    }
}

impl Drop for CountGuard<'_> {
    fn drop(&mut self) {
        let count = self.count;
        self.service.change(|state| *count(state) -= 1);
    }
}

impl ServiceState {
    fn record_call(&mut self, call: &SeenCall) -> u64 {
        let index = self.calls.len() as u64;
        self.calls.push(call.clone());
        if let Some(key) = &call.key {
            *self.calls_by_key.entry(key.clone()).or_default() += 1;
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
    // A restart doesn't update the load itself; record it here so that the report has the new incarnation.
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
        key: header_text(&headers, IDEMPOTENCY_KEY_HEADER),
        request_id: header_text(&headers, REQUEST_ID_HEADER),
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
