//! Stand-in for a plain service, whose calls may not be repeated.
//!
//! It takes any method and path, writes down each call that it ran, in order, and answers with what it got,
//! so that a test can check what arrived. `GET /_standin/seen` gives the calls over HTTP.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::sync::{Arc, Mutex, MutexGuard};
use std::time::Duration;

use axum::body::Bytes;
use axum::extract::{DefaultBodyLimit, State};
use axum::http::{HeaderMap, Method, Uri};
use axum::response::Response;
use axum::routing::get;
use axum::{Json, Router};
use marigoldlock_wire::FastMap;
use marigoldlock_wire::engine::{LoadReport, REQUEST_ID_HEADER};
use marigoldlock_wire::ids::Incarnation;
use serde::{Deserialize, Serialize};

use crate::faults::{FaultKnobs, FaultPlan};
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
    /// Calls side by side, as the load report states them.
    pub slots: u32,
    /// What goes wrong from the start.
    pub faults: FaultPlan,
}

impl Default for ServiceOptions {
    fn default() -> Self {
        Self {
            listen: SocketAddr::from(([127, 0, 0, 1], 0)),
            work_ms: 0,
            slots: 32,
            faults: FaultPlan::default(),
        }
    }
}

/// Call that the service ran.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct SeenCall {
    /// Method.
    pub method: String,
    /// Path with its query.
    pub path: String,
    /// `Idempotency-Key`, if there was one.
    pub key: Option<String>,
    /// `x-request-id`, if there was one.
    pub request_id: Option<String>,
    /// Blake3 hash of the body, in hexadecimal.
    pub body_hash: String,
}

/// Calls that the service ran, in order, and the keys that came more than once.
#[derive(Clone, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
pub struct SeenCalls {
    /// The calls.
    pub calls: Vec<SeenCall>,
    /// Keys that came more than once, with the number of their calls.
    pub duplicates: BTreeMap<String, u64>,
}

/// Answer of the service: what it got.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct EchoAnswer {
    /// Place among the calls that the service ran, from 0.
    pub index: u64,
    /// The call.
    pub call: SeenCall,
    /// Headers in the order of their names; a repeated one keeps all values.
    pub headers: BTreeMap<String, Vec<String>>,
    /// The body, as text.
    pub body: String,
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
        let faults = FaultKnobs::new(options.faults);
        let shared = Arc::new(SharedService {
            work: Duration::from_millis(options.work_ms),
            slots: options.slots,
            faults: faults.clone(),
            base: rand::random(),
            state: Mutex::default(),
        });
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

    /// Closes the listener and all connections.
    pub async fn close(self) {
        self.server.close().await;
    }
}

#[derive(Debug, Default)]
struct ServiceState {
    calls: Vec<SeenCall>,
    by_key: FastMap<String, u64>,
    running: u32,
    reports: u64,
}

#[derive(Debug)]
struct SharedService {
    work: Duration,
    slots: u32,
    faults: FaultKnobs,
    base: u64,
    state: Mutex<ServiceState>,
}

impl SharedService {
    fn state(&self) -> MutexGuard<'_, ServiceState> {
        self.state.lock().expect("no panic while held")
    }

    fn begin(&self, call: &SeenCall) -> u64 {
        let mut state = self.state();
        let index = state.calls.len() as u64;
        state.calls.push(call.clone());
        if let Some(key) = &call.key {
            *state.by_key.entry(key.clone()).or_default() += 1;
        }
        state.running += 1;
        index
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

    fn load(&self) -> LoadReport {
        let restarts = self.faults.presence().borrow().restarts;
        let mut state = self.state();
        state.reports += 1;
        LoadReport {
            incarnation: Incarnation(self.base.wrapping_add(restarts)),
            sequence: state.reports,
            running: state.running.min(self.slots),
            queued: state.running.saturating_sub(self.slots),
            slots: self.slots,
            ..LoadReport::default()
        }
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
    Json(service.load())
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
) -> Result<Json<EchoAnswer>, Response> {
    let path = uri.path_and_query().map_or("/", |path| path.as_str());
    let call = SeenCall {
        method: method.to_string(),
        path: path.to_owned(),
        key: text_header(&headers, IDEMPOTENCY_KEY_HEADER),
        request_id: text_header(&headers, REQUEST_ID_HEADER),
        body_hash: blake3::hash(&body).to_hex().to_string(),
    };
    let index = service.begin(&call);
    if !service.work.is_zero() {
        tokio::time::sleep(service.work).await;
    }
    service.state().running -= 1;
    let body = String::from_utf8_lossy(&body).into_owned();
    Ok(Json(EchoAnswer {
        index,
        call,
        headers: header_texts(&headers),
        body,
    }))
}

fn text_header(headers: &HeaderMap, name: &str) -> Option<String> {
    let value = headers.get(name)?;
    Some(String::from_utf8_lossy(value.as_bytes()).into_owned())
}

fn header_texts(headers: &HeaderMap) -> BTreeMap<String, Vec<String>> {
    let mut texts: BTreeMap<String, Vec<String>> = BTreeMap::new();
    for (name, value) in headers {
        let text = String::from_utf8_lossy(value.as_bytes()).into_owned();
        texts.entry(name.to_string()).or_default().push(text);
    }
    texts
}
