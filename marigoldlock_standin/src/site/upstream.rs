//! Stand-in for an upstream of the platform: a plain service, or a model engine for prefill or decode.

use std::net::SocketAddr;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::{Duration, Instant};

use axum::Router;
use axum::body::{Body, Bytes};
use axum::extract::{DefaultBodyLimit, Request, State};
use axum::http::{HeaderMap, HeaderValue, Response, StatusCode};
use futures::StreamExt as _;
use serde_json::{Value, json};

use super::server::{CrashPlan, CrashServer, CrashSwitch};

/// Identity of an upstream.
#[derive(Clone, Debug)]
pub struct UpstreamOptions {
    /// Upstream id.
    pub id: String,
    /// Service that the upstream belongs to.
    pub service: String,
    /// Data centre it runs in.
    pub zone: String,
    /// `prefill` or `decode`; a plain service if it is absent.
    pub stage: Option<&'static str>,
    /// Version of its software.
    pub version: String,
}

/// Faults of an upstream.
#[derive(Clone, Debug, Default)]
pub struct UpstreamFaults {
    /// Requests are refused with 503 and marked as not executed.
    pub rejects_requests: bool,
    /// Requests run, but their connection breaks before the answer.
    pub drops_answers: bool,
    /// Requests run and are answered with the upstream's own error, 500.
    pub returns_errors: bool,
    /// Streams break off after this number of events.
    pub cut_stream_after: Option<usize>,
    /// Resumed streams break off as well.
    pub cuts_resumed_streams: bool,
    /// Time between two events of a stream, if it is not the usual one.
    pub event_interval: Option<Duration>,
    /// Streams send this number of events, then single bytes that complete no event.
    pub stall_stream_after: Option<usize>,
    /// Answers carry another request's attempt id.
    pub crosses_answers: bool,
    /// Requests run but are refused with 503, without the header that marks them as not executed.
    pub refuses_after_run: bool,
    /// Every answer says that the upstream is leaving.
    pub says_leaving: bool,
    /// Seconds that a refusal names in `Retry-After`.
    pub retry_after: Option<f64>,
    /// Requests per second that every answer states as the upstream's limit.
    pub rate_limit: Option<f64>,
    /// Id of a prompt part, as callers write it; the upstream crashes when it begins to answer a request with it.
    pub crashing_part: Option<String>,
    /// Path; the upstream crashes when it begins to run a request with it.
    pub crashing_path: Option<String>,
    /// Time for which the upstream is down after a crash.
    pub downtime: Duration,
    /// Time for which a crashed upstream still accepts connections.
    pub listener_lag: Duration,
    /// Duration of a request.
    pub delay: Duration,
}

impl UpstreamFaults {
    /// True if the upstream crashes when it runs the request.
    fn crashes_under(&self, headers: &HeaderMap, path: &str) -> bool {
        if self.crashing_path.as_deref() == Some(path) {
            return true;
        }
        let listed = text(headers, "prompt-prefix").unwrap_or_default();
        self.crashing_part.as_ref().is_some_and(|id| {
            let mut ids = listed.split(',').filter_map(|part| part.split_once(':'));
            ids.any(|(listed, _)| listed == id)
        })
    }
}

/// A request that an upstream ran.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct RunRecord {
    /// Id of the caller's attempt.
    pub attempt: String,
    /// Customer that marigoldlock named.
    pub tenant: Option<String>,
    /// True if only the prompt was processed.
    pub is_prefill: bool,
    /// Source of the prompt's KV cache.
    pub kv_source: Option<String>,
    /// Upstream from which cached parts of the prompt were to be copied.
    pub kv_fetch: Option<String>,
    /// Last event the caller has, if the request resumed a stream.
    pub last_event: Option<u64>,
    /// True if the caller's key was passed on.
    pub has_key: bool,
    /// Request path.
    pub path: String,
    /// Request body.
    pub body: Bytes,
}

/// A request that reached an upstream, whether it ran or not.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct ArrivalRecord {
    /// Id of the caller's attempt.
    pub attempt: String,
    /// True if only the prompt was to be processed.
    pub is_prefill: bool,
    /// True if the upstream did not refuse the request.
    pub is_accepted: bool,
    /// Parts of its prompt, as the caller wrote them.
    pub prompt_parts: String,
    /// Request path.
    pub path: String,
    /// When the request arrived.
    pub at: Instant,
}

#[derive(Debug)]
struct UpstreamState {
    options: UpstreamOptions,
    faults: Mutex<UpstreamFaults>,
    arrivals: Mutex<Vec<ArrivalRecord>>,
    runs: Mutex<Vec<RunRecord>>,
    orders: Mutex<Vec<Value>>,
    crashes: Mutex<Vec<Instant>>,
    /// Requests whose connection was closed before the answer.
    cancelled: Mutex<Vec<String>>,
    crash_switch: CrashSwitch,
}

/// Records a request as cancelled if it is dropped before its answer.
struct CancelRecorder<'a> {
    state: &'a UpstreamState,
    attempt: Option<String>,
}

impl CancelRecorder<'_> {
    /// Ends the watch, since the request is answered.
    fn close(mut self) {
        self.attempt = None;
    }
}

impl Drop for CancelRecorder<'_> {
    fn drop(&mut self) {
        if let Some(attempt) = self.attempt.take() {
            lock(&self.state.cancelled).push(attempt);
        }
    }
}

impl UpstreamState {
    fn crash(&self, plan: CrashPlan) {
        lock(&self.crashes).push(Instant::now());
        self.crash_switch.crash(plan);
    }
}

/// Running stand-in for one upstream.
#[derive(Debug)]
pub struct UpstreamStandin {
    state: Arc<UpstreamState>,
    server: CrashServer,
}

/// Interval between two events of a stream.
const EVENT_INTERVAL: Duration = Duration::from_millis(2);

/// Number of events in every stream.
pub const EVENTS_PER_STREAM: u64 = 6;

impl UpstreamStandin {
    /// Starts an upstream.
    ///
    /// # Errors
    ///
    /// If no address can be bound.
    pub async fn start(options: UpstreamOptions) -> std::io::Result<Self> {
        let mut started = None;
        let server = CrashServer::start(|crash_switch| {
            let state = Arc::new(UpstreamState {
                options,
                faults: Mutex::default(),
                arrivals: Mutex::default(),
                runs: Mutex::default(),
                orders: Mutex::default(),
                crashes: Mutex::default(),
                cancelled: Mutex::default(),
                crash_switch,
            });
            started = Some(Arc::clone(&state));
            Router::new()
                .fallback(serve)
                .layer(DefaultBodyLimit::disable())
                .with_state(state)
        })
        .await?;
        let state = started.ok_or_else(|| std::io::Error::other("the server has no state"))?;
        Ok(Self { state, server })
    }

    /// Entry of the upstream in the store; `state` is `ready` or `draining`.
    pub fn entry(&self, state: &str) -> Value {
        let options = &self.state.options;
        json!({"Service": options.service, "Address": self.server.address.to_string(), "Zone": options.zone,
            "Version": options.version, "Slots": 8, "State": state, "ColdLeftMs": 0, "Stage": options.stage, "Sequence": 1,
            "born": 1})
    }

    /// Address the upstream listens on.
    pub fn address(&self) -> SocketAddr {
        self.server.address
    }

    /// Version of its software.
    pub fn version(&self) -> &str {
        &self.state.options.version
    }

    /// Upstream id.
    pub fn id(&self) -> &str {
        &self.state.options.id
    }

    /// Service that the upstream belongs to.
    pub fn service(&self) -> &str {
        &self.state.options.service
    }

    /// Changes the faults.
    pub fn set_faults(&self, change: impl FnOnce(&mut UpstreamFaults)) {
        change(&mut lock(&self.state.faults));
    }

    /// Requests that ran, in order.
    pub fn runs(&self) -> Vec<RunRecord> {
        lock(&self.state.runs).clone()
    }

    /// Requests that arrived, in order.
    pub fn arrivals(&self) -> Vec<ArrivalRecord> {
        lock(&self.state.arrivals).clone()
    }

    /// Crashes the upstream; it is back after `downtime`.
    pub fn crash(&self, downtime: Duration) {
        self.state.crash(CrashPlan {
            downtime,
            listener_lag: Duration::ZERO,
        });
    }

    /// Times of the crashes, in order.
    pub fn crashes(&self) -> Vec<Instant> {
        lock(&self.state.crashes).clone()
    }

    /// Attempts whose connection was closed before the answer, in order.
    pub fn cancelled(&self) -> Vec<String> {
        lock(&self.state.cancelled).clone()
    }

    /// Orders that were accepted.
    pub fn orders(&self) -> Vec<Value> {
        lock(&self.state.orders).clone()
    }
}

fn lock<T>(shared: &Mutex<T>) -> MutexGuard<'_, T> {
    shared.lock().unwrap_or_else(PoisonError::into_inner)
}

fn text<'a>(headers: &'a HeaderMap, name: &str) -> Option<&'a str> {
    headers.get(name).and_then(|value| value.to_str().ok())
}

fn respond(status: StatusCode, headers: &[(&str, &str)], body: impl Into<Body>) -> Response<Body> {
    let mut builder = Response::builder().status(status);
    for (name, value) in headers {
        builder = builder.header(*name, *value);
    }
    builder.body(body.into()).unwrap_or_default()
}

async fn serve(State(state): State<Arc<UpstreamState>>, request: Request) -> Response<Body> {
    let (parts, body) = request.into_parts();
    let body = axum::body::to_bytes(body, 8 << 20).await.unwrap_or_default();
    let expected = text(&parts.headers, "expect-instance");
    if expected.is_some_and(|expected| expected != state.options.id) {
        return respond(
            StatusCode::MISDIRECTED_REQUEST,
            &[("Instance-Id", &state.options.id)],
            "",
        );
    }
    match (parts.method.as_str(), parts.uri.path()) {
        ("GET", "/report") => report(&state),
        ("POST", "/order") => order(&state, &body),
        ("DELETE", _) => respond(StatusCode::OK, &[], ""),
        _ => run(&state, &parts.headers, parts.uri.path(), body).await,
    }
}

fn report(state: &UpstreamState) -> Response<Body> {
    let answer = json!({"Stage": state.options.stage, "Busy": false, "Sequence": lock(&state.orders).len()});
    respond(
        StatusCode::OK,
        &[("Content-Type", "application/json")],
        answer.to_string(),
    )
}

fn order(state: &UpstreamState, body: &[u8]) -> Response<Body> {
    let Ok(order) = serde_json::from_slice::<Value>(body) else {
        return respond(StatusCode::BAD_REQUEST, &[], "");
    };
    let mut orders = lock(&state.orders);
    let highest = orders
        .iter()
        .filter_map(|order| order["Fence"].as_u64())
        .max()
        .unwrap_or_default();
    if order["Fence"].as_u64().unwrap_or_default() < highest {
        return respond(StatusCode::PRECONDITION_FAILED, &[], "");
    }
    if order["Precondition"]
        .as_u64()
        .is_some_and(|expected| expected != orders.len() as u64)
    {
        return respond(StatusCode::CONFLICT, &[], "");
    }
    orders.push(order);
    respond(StatusCode::ACCEPTED, &[], "")
}

async fn run(state: &UpstreamState, headers: &HeaderMap, path: &str, body: Bytes) -> Response<Body> {
    let UpstreamFaults {
        rate_limit,
        says_leaving,
        ..
    } = lock(&state.faults).clone();
    let mut response = answer(state, headers, path, body).await;
    if says_leaving {
        response
            .headers_mut()
            .insert("server-leaving", HeaderValue::from_static("1"));
    }
    if let Some(value) = rate_limit.and_then(|rate| rate.to_string().parse().ok()) {
        response.headers_mut().insert("server-limit", value);
    }
    response
}

async fn answer(state: &UpstreamState, headers: &HeaderMap, path: &str, body: Bytes) -> Response<Body> {
    let faults = lock(&state.faults).clone();
    let attempt = text(headers, "attempt-id").unwrap_or_default().to_owned();
    let echoed = if faults.crosses_answers {
        "another".to_owned()
    } else {
        attempt.clone()
    };
    let is_prefill = text(headers, "stage") == Some("prefill");
    let is_wrong_stage = match state.options.stage {
        Some("prefill") => !is_prefill,
        Some(_) => is_prefill,
        None => false,
    };
    lock(&state.arrivals).push(ArrivalRecord {
        attempt: attempt.clone(),
        is_prefill,
        is_accepted: !is_wrong_stage && !faults.rejects_requests,
        prompt_parts: text(headers, "prompt-prefix").unwrap_or_default().to_owned(),
        path: path.to_owned(),
        at: Instant::now(),
    });
    if is_wrong_stage {
        return respond(StatusCode::MISDIRECTED_REQUEST, &[("Not-Executed", "1")], "");
    }
    if faults.rejects_requests {
        let mut refusal = respond(StatusCode::SERVICE_UNAVAILABLE, &[("Not-Executed", "1")], "");
        if let Some(value) = faults
            .retry_after
            .and_then(|seconds| seconds.to_string().parse().ok())
        {
            refusal.headers_mut().insert("retry-after", value);
        }
        return refusal;
    }
    let last_event = text(headers, "last-event-id").and_then(|id| id.parse().ok());
    let recorder = CancelRecorder {
        state,
        attempt: Some(attempt.clone()),
    };
    lock(&state.runs).push(RunRecord {
        attempt,
        tenant: text(headers, "tenant").map(str::to_owned),
        is_prefill,
        kv_source: text(headers, "kv-source").map(str::to_owned),
        kv_fetch: text(headers, "kv-fetch").map(str::to_owned),
        last_event,
        has_key: headers.contains_key("authorization"),
        path: path.to_owned(),
        body,
    });
    tokio::time::sleep(faults.delay).await;
    recorder.close();
    if !is_prefill && faults.crashes_under(headers, path) {
        state.crash(CrashPlan {
            downtime: faults.downtime,
            listener_lag: faults.listener_lag,
        });
        // The crash aborts this task.
        std::future::pending::<()>().await;
    }
    if faults.refuses_after_run {
        return respond(StatusCode::SERVICE_UNAVAILABLE, &[("Attempt-Id", &echoed)], "");
    }
    if faults.drops_answers {
        let failing_body = futures::stream::once(async { Err::<Bytes, _>(std::io::Error::other("lost")) });
        return respond(
            StatusCode::OK,
            &[("Attempt-Id", &echoed)],
            Body::from_stream(failing_body),
        );
    }
    let seal = ("Response-Seal", state.options.id.as_str());
    let id = ("Attempt-Id", echoed.as_str());
    if faults.returns_errors {
        return respond(StatusCode::INTERNAL_SERVER_ERROR, &[id, seal], "failed");
    }
    if is_prefill {
        let answer = json!({"KvHandle": "h1", "Tokens": 100, "Version": 1});
        return respond(
            StatusCode::OK,
            &[id, ("Content-Type", "application/json")],
            answer.to_string(),
        );
    }
    if state.options.stage.is_none() {
        return respond(
            StatusCode::OK,
            &[id, seal, ("Instance-Load", "1,0,8")],
            "whole answer",
        );
    }
    let first = last_event.map_or(0, |last| last + 1);
    let version = &state.options.version;
    let events = (first..EVENTS_PER_STREAM)
        .map(|id| Ok(Bytes::from(format!("id: {id}\ndata: {version} piece {id}\n\n"))));
    let cut_stream_after = faults
        .cut_stream_after
        .filter(|_| last_event.is_none() || faults.cuts_resumed_streams);
    let sent: Vec<std::io::Result<Bytes>> = match cut_stream_after {
        Some(count) => {
            let half = Ok(Bytes::from_static(b"id: 99\nda"));
            let end = [half, Err(std::io::Error::other("broken off"))];
            events.take(count).chain(end).collect()
        }
        None => events.collect(),
    };
    // Send each event in its own write, as an engine does. Events written together could all be lost when the
    // stream breaks off.
    let interval = faults.event_interval.unwrap_or(EVENT_INTERVAL);
    let stalled = faults.stall_stream_after.map(|count| {
        let bytes = std::iter::repeat_with(|| Ok(Bytes::from_static(b"d")));
        (count, bytes)
    });
    let sent: Box<dyn Iterator<Item = std::io::Result<Bytes>> + Send> = match stalled {
        Some((count, bytes)) => Box::new(sent.into_iter().take(count).chain(bytes)),
        None => Box::new(sent.into_iter()),
    };
    let paced = futures::stream::iter(sent).then(move |event| async move {
        tokio::time::sleep(interval).await;
        event
    });
    respond(
        StatusCode::OK,
        &[id, seal, ("Content-Type", "text/event-stream")],
        Body::from_stream(paced),
    )
}
