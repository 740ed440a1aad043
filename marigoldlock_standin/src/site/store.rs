//! Stand-in for the platform's store: topics with conditional appends, and the newest record of each key.
//!
//! The store can come back from a copy: what was written since the copy is gone, offsets are given out again, and the era in
//! all of its answers rises by one. An append that is carried out late may be carried out in a later era.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Duration;

use axum::Router;
use axum::body::Bytes;
use axum::extract::{Query, State};
use axum::http::{HeaderValue, StatusCode};
use axum::response::{IntoResponse, Response};
use axum::routing::{get, post};
use base64::Engine as _;
use base64::engine::general_purpose::STANDARD as BASE64;
use serde::Deserialize;
use serde_json::json;
use tokio::sync::Notify;

use super::RouteServer;

/// Maximum number of items on a page of a listing; small, so that listings have several pages.
const MAX_PAGE_ITEMS: usize = 3;

/// Maximum size of the records in the response to a read, in bytes, unless the first record is larger. The platform's store
/// has the same limit.
const MAX_READ_BYTES: usize = 1_000_000;

/// Header with the era of the store, in all of its answers.
const ERA_HEADER: &str = "store-era";

/// Era of a store that has never come back from a copy.
const FIRST_ERA: u64 = 1;

/// Faults of the store.
#[derive(Clone, Debug, Default)]
pub struct StoreFaults {
    /// Every call is refused with this status.
    pub refuse: Option<u16>,
    /// Number of upcoming appends that take effect but are not answered.
    pub lost_answers: u32,
    /// Number of upcoming appends that are not answered and take effect later.
    pub delayed_appends: u32,
    /// Delay until such an append takes effect, if its condition still holds.
    pub append_delay: Duration,
    /// Duration of each call.
    pub delay: Duration,
    /// Waiting reads are not woken by [`StoreStandin::put`]; only a new read returns its records.
    pub skip_wakeups: bool,
    /// Listings omit changes from this offset on.
    pub stale_from: Option<u64>,
}

#[derive(Clone, Debug, Default)]
struct Topic {
    first: u64,
    records: Vec<Bytes>,
    newest: BTreeMap<String, (u64, Bytes)>,
}

/// A copy of the store's content.
#[derive(Clone, Debug, Default)]
pub struct StoreCopy {
    topics: BTreeMap<String, Topic>,
}

#[derive(Debug, Default)]
struct StoreState {
    topics: BTreeMap<String, Topic>,
    /// How often the store has come back from a copy.
    restores: u64,
    faults: StoreFaults,
    calls: u64,
    /// Listings of each topic, counted by page.
    listings: BTreeMap<String, u64>,
    /// Status with which each endpoint refuses calls, if it does.
    endpoints: Vec<Option<u16>>,
}

type Shared = Arc<(Mutex<StoreState>, Notify)>;

/// Running stand-in for the store.
#[derive(Debug)]
pub struct StoreStandin {
    shared: Shared,
    server: RouteServer,
    endpoints: Vec<RouteServer>,
}

/// The store as served at one address.
#[derive(Clone)]
struct StoreEndpoint {
    shared: Shared,
    /// Index of the endpoint; `None` for the main address.
    number: Option<usize>,
}

#[derive(Deserialize)]
struct TopicQuery {
    #[serde(rename = "Topic")]
    topic: String,
    #[serde(rename = "Source", default)]
    from: u64,
    #[serde(rename = "WaitMs", default)]
    wait_ms: u64,
    #[serde(rename = "At")]
    at: Option<u64>,
    #[serde(default)]
    after: String,
}

impl StoreStandin {
    /// Starts an empty store.
    ///
    /// # Errors
    ///
    /// If no address can be bound.
    pub async fn start() -> std::io::Result<Self> {
        let shared = Shared::default();
        let server = RouteServer::start(routes(&shared, None)).await?;
        Ok(Self {
            shared,
            server,
            endpoints: Vec::new(),
        })
    }

    /// Opens another address of the store, which can refuse calls independently of the others.
    ///
    /// # Errors
    ///
    /// If no address can be bound.
    pub async fn open_endpoint(&mut self) -> std::io::Result<SocketAddr> {
        let number = self.endpoints.len();
        lock(&self.shared).endpoints.push(None);
        let endpoint = RouteServer::start(routes(&self.shared, Some(number))).await?;
        let address = endpoint.address;
        self.endpoints.push(endpoint);
        Ok(address)
    }

    /// Makes an endpoint refuse all calls with a status; `None` serves them again. Refusals with status 502 name no era.
    pub fn set_endpoint_refusal(&self, number: usize, refuse: Option<u16>) {
        if let Some(endpoint) = lock(&self.shared).endpoints.get_mut(number) {
            *endpoint = refuse;
        }
        self.shared.1.notify_waiters();
    }

    /// Main address of the store.
    pub fn address(&self) -> SocketAddr {
        self.server.address
    }

    /// Changes the faults.
    pub fn set_faults(&self, change: impl FnOnce(&mut StoreFaults)) {
        change(&mut lock(&self.shared).faults);
        self.shared.1.notify_waiters();
    }

    /// Writes the settings, as the operator does.
    pub fn put_settings(&self, settings: &serde_json::Value) {
        self.put("keyed.op", "config", Some(settings.to_string().as_bytes()));
    }

    /// Writes an upstream's entry; `None` removes it.
    pub fn put_upstream(&self, id: &str, entry: Option<&serde_json::Value>) {
        let value = entry.map(serde_json::Value::to_string);
        self.put("keyed.servers", id, value.as_deref().map(str::as_bytes));
    }

    /// Writes raw bytes under a key, which may be invalid to readers; `None` removes the key.
    pub fn put(&self, topic: &str, key: &str, value: Option<&[u8]>) {
        let mut record = vec![u8::try_from(key.len()).unwrap_or(u8::MAX)];
        record.extend_from_slice(key.as_bytes());
        record.extend_from_slice(value.unwrap_or_default());
        lock(&self.shared)
            .topics
            .entry(topic.to_owned())
            .or_default()
            .push(topic, Bytes::from(record));
        if !lock(&self.shared).faults.skip_wakeups {
            self.shared.1.notify_waiters();
        }
    }

    /// Copies the content, as a backup does.
    pub fn copy(&self) -> StoreCopy {
        StoreCopy {
            topics: lock(&self.shared).topics.clone(),
        }
    }

    /// Replaces the content by that of a copy and begins a new era. Reads that wait are refused.
    pub fn restore(&self, copy: &StoreCopy) {
        let mut state = lock(&self.shared);
        state.topics.clone_from(&copy.topics);
        state.restores += 1;
        drop(state);
        self.shared.1.notify_waiters();
    }

    /// Era in the store's answers.
    pub fn era(&self) -> u64 {
        lock(&self.shared).era()
    }

    /// Compacts a topic: drops its records, but keeps the newest value of each key.
    pub fn compact(&self, topic: &str) {
        if let Some(topic) = lock(&self.shared).topics.get_mut(topic) {
            topic.first += topic.records.len() as u64;
            topic.records.clear();
        }
        self.shared.1.notify_waiters();
    }

    /// Newest value of each key of a topic.
    pub fn values(&self, topic: &str) -> BTreeMap<String, Bytes> {
        let state = lock(&self.shared);
        let newest = state
            .topics
            .get(topic)
            .into_iter()
            .flat_map(|topic| &topic.newest);
        newest
            .map(|(key, (_, value))| (key.clone(), value.clone()))
            .collect()
    }

    /// Retained records of a topic.
    pub fn records(&self, topic: &str) -> Vec<Bytes> {
        let state = lock(&self.shared);
        let topic = state.topics.get(topic);
        topic.map_or_else(Vec::new, |topic| topic.records.clone())
    }

    /// Offset after the last record of a topic.
    pub fn end(&self, topic: &str) -> u64 {
        lock(&self.shared).topics.get(topic).map_or(0, Topic::end)
    }

    /// Number of pages of listings of a topic that were read so far, refused ones included.
    pub fn listings(&self, topic: &str) -> u64 {
        lock(&self.shared)
            .listings
            .get(topic)
            .copied()
            .unwrap_or_default()
    }

    /// Number of calls received so far.
    pub fn calls(&self) -> u64 {
        lock(&self.shared).calls
    }
}

impl Topic {
    fn end(&self) -> u64 {
        self.first + self.records.len() as u64
    }

    fn push(&mut self, name: &str, record: Bytes) {
        let offset = self.end();
        if name.starts_with("keyed.") && !record.is_empty() {
            let length = usize::from(record[0]).min(record.len() - 1);
            let key = String::from_utf8_lossy(&record[1..=length]).into_owned();
            let value = record.slice(1 + length..);
            if value.is_empty() {
                self.newest.remove(&key);
            } else {
                self.newest.insert(key, (offset, value));
            }
        }
        self.records.push(record);
    }
}

impl StoreState {
    fn era(&self) -> u64 {
        FIRST_ERA + self.restores
    }

    /// Adds the era to an answer.
    fn answer(&self, answer: impl IntoResponse) -> Response {
        let mut response = answer.into_response();
        response
            .headers_mut()
            .insert(ERA_HEADER, HeaderValue::from(self.era()));
        response
    }
}

fn lock(shared: &Shared) -> MutexGuard<'_, StoreState> {
    shared.0.lock().unwrap_or_else(PoisonError::into_inner)
}

fn routes(shared: &Shared, number: Option<usize>) -> Router {
    let endpoint = StoreEndpoint {
        shared: Arc::clone(shared),
        number,
    };
    Router::new()
        .route("/log-append", post(append))
        .route("/log-read", get(read))
        .route("/log-newest", get(newest))
        .with_state(endpoint)
}

impl StoreEndpoint {
    /// Counts the call and applies the delay; returns the refusal if calls are refused.
    async fn begin_call(&self) -> Option<Response> {
        let (delay, refusal) = {
            let mut state = lock(&self.shared);
            state.calls += 1;
            (state.faults.delay, self.refusal(&state))
        };
        if !delay.is_zero() {
            tokio::time::sleep(delay).await;
        }
        refusal
    }

    fn refusal(&self, state: &StoreState) -> Option<Response> {
        let endpoint = self
            .number
            .and_then(|number| state.endpoints.get(number).copied().flatten());
        let status = state.faults.refuse.or(endpoint)?;
        let status = StatusCode::from_u16(status).unwrap_or(StatusCode::SERVICE_UNAVAILABLE);
        // A gateway in front of the store doesn't know its era.
        if status == StatusCode::BAD_GATEWAY {
            return Some(status.into_response());
        }
        Some(state.answer(status))
    }
}

async fn append(
    State(endpoint): State<StoreEndpoint>,
    Query(query): Query<TopicQuery>,
    body: Bytes,
) -> Response {
    if let Some(refusal) = endpoint.begin_call().await {
        return refusal;
    }
    let shared = Arc::clone(&endpoint.shared);
    let append_delay = {
        let mut state = lock(&shared);
        let is_late = state.faults.delayed_appends > 0;
        state.faults.delayed_appends = state.faults.delayed_appends.saturating_sub(1);
        is_late.then_some(state.faults.append_delay)
    };
    if let Some(append_delay) = append_delay {
        tokio::spawn(async move {
            tokio::time::sleep(append_delay).await;
            append_now(&shared, &query, body);
        });
        return std::future::pending().await;
    }
    let (answer, is_lost) = append_now(&shared, &query, body);
    if is_lost {
        std::future::pending::<()>().await;
    }
    answer
}

/// Appends if the condition holds; returns the answer, and whether the answer is to be lost.
fn append_now(shared: &Shared, query: &TopicQuery, body: Bytes) -> (Response, bool) {
    let mut state = lock(shared);
    let topic = state.topics.entry(query.topic.clone()).or_default();
    let end = topic.end();
    if query.at.is_some_and(|at| at != end) {
        let answer = axum::Json(json!({"EndOffset": end}));
        return (state.answer((StatusCode::PRECONDITION_FAILED, answer)), false);
    }
    let mut rest = body;
    while rest.len() >= 4 {
        let length = u32::from_be_bytes([rest[0], rest[1], rest[2], rest[3]]) as usize;
        let record = rest.slice(4..(4 + length).min(rest.len()));
        rest = rest.slice((4 + length).min(rest.len())..);
        topic.push(&query.topic, record);
    }
    let answer = json!({"Offset": end, "EndOffset": topic.end()});
    let is_lost = state.faults.lost_answers > 0;
    state.faults.lost_answers = state.faults.lost_answers.saturating_sub(1);
    let answer = state.answer(axum::Json(answer));
    drop(state);
    shared.1.notify_waiters();
    (answer, is_lost)
}

async fn read(State(endpoint): State<StoreEndpoint>, Query(query): Query<TopicQuery>) -> Response {
    if let Some(refusal) = endpoint.begin_call().await {
        return refusal;
    }
    let shared = Arc::clone(&endpoint.shared);
    let due = tokio::time::Instant::now() + Duration::from_millis(query.wait_ms);
    let restores = lock(&shared).restores;
    loop {
        let changed = shared.1.notified();
        {
            let state = lock(&shared);
            if state.restores != restores {
                return state.answer(StatusCode::SERVICE_UNAVAILABLE);
            }
        }
        if let Some(answer) = read_now(&endpoint, &query, tokio::time::Instant::now() >= due) {
            return answer;
        }
        tokio::select! {
            () = changed => {}
            () = tokio::time::sleep_until(due) => {}
        }
        if tokio::time::Instant::now() >= due && lock(&shared).faults.skip_wakeups {
            let state = lock(&shared);
            let first = state.topics.get(&query.topic).map_or(0, |topic| topic.first);
            return state.answer(offsets(query.from, first));
        }
    }
}

/// Header of a read answer: the topic's end and first offset.
fn offsets(end: u64, first: u64) -> Vec<u8> {
    [end.to_be_bytes(), first.to_be_bytes()].concat()
}

fn read_now(endpoint: &StoreEndpoint, query: &TopicQuery, is_due: bool) -> Option<Response> {
    let mut state = lock(&endpoint.shared);
    if let Some(refusal) = endpoint.refusal(&state) {
        return Some(refusal);
    }
    let topic = state.topics.entry(query.topic.clone()).or_default();
    if query.from < topic.first || query.from > topic.end() {
        let answer = axum::Json(json!({"FirstOffset": topic.first}));
        return Some(state.answer((StatusCode::GONE, answer)));
    }
    if query.from >= topic.end() && !is_due {
        return None;
    }
    let skipped = usize::try_from(query.from - topic.first).unwrap_or(usize::MAX);
    let mut body = offsets(topic.end(), topic.first);
    let mut read_bytes = 0;
    for record in topic.records.iter().skip(skipped) {
        if read_bytes > 0 && read_bytes + record.len() > MAX_READ_BYTES {
            break;
        }
        read_bytes += record.len();
        body.extend_from_slice(&u32::try_from(record.len()).unwrap_or(u32::MAX).to_be_bytes());
        body.extend_from_slice(record);
    }
    Some(state.answer(body))
}

async fn newest(State(endpoint): State<StoreEndpoint>, Query(query): Query<TopicQuery>) -> Response {
    *lock(&endpoint.shared)
        .listings
        .entry(query.topic.clone())
        .or_default() += 1;
    if let Some(refusal) = endpoint.begin_call().await {
        return refusal;
    }
    let shared = Arc::clone(&endpoint.shared);
    let mut state = lock(&shared);
    let stale_from = state.faults.stale_from.unwrap_or(u64::MAX);
    let topic = state.topics.entry(query.topic.clone()).or_default();
    let end = topic.end().min(stale_from);
    let items: Vec<_> = topic
        .newest
        .range::<str, _>((
            std::ops::Bound::Excluded(query.after.as_str()),
            std::ops::Bound::Unbounded,
        ))
        .filter(|(_, (offset, _))| *offset < stale_from)
        .collect();
    let page: Vec<_> = items
        .iter()
        .take(MAX_PAGE_ITEMS)
        .map(|(key, (offset, value))| json!({"Key": key, "Value": BASE64.encode(value), "Offset": offset}))
        .collect();
    let answer = json!({"items": page, "HasMore": items.len() > MAX_PAGE_ITEMS, "EndOffset": end});
    state.answer(axum::Json(answer))
}
