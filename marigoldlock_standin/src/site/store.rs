//! The platform's store: topics with conditional appends, and the newest record of each key.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Duration;

use axum::Router;
use axum::body::Bytes;
use axum::extract::{Query, State};
use axum::http::StatusCode;
use axum::response::{IntoResponse, Response};
use axum::routing::{get, post};
use base64::Engine as _;
use base64::engine::general_purpose::STANDARD as BASE64;
use serde::Deserialize;
use serde_json::json;
use tokio::sync::Notify;

use super::Listening;

/// Items on one page of a listing; small, so that listings have several.
const PAGE_ITEMS: usize = 3;

/// Faults of the store.
#[derive(Clone, Debug, Default)]
pub struct StoreFaults {
    /// Every call is refused with this status.
    pub refuse: Option<u16>,
    /// Appends that take effect and are not answered, from now on.
    pub lost_answers: u32,
    /// Appends that are not answered and take effect later, from now on.
    pub late_appends: u32,
    /// Time after which such an append takes effect, if its condition still holds.
    pub late_by: Duration,
    /// Time that each call takes.
    pub delay: Duration,
    /// Calls that wait are not told of new records; they find them when they are made anew.
    pub deaf_waits: bool,
    /// Listings leave out changes from this offset on.
    pub stale_from: Option<u64>,
}

#[derive(Debug, Default)]
struct Topic {
    first: u64,
    records: Vec<Bytes>,
    newest: BTreeMap<String, (u64, Bytes)>,
}

#[derive(Debug, Default)]
struct StoreState {
    topics: BTreeMap<String, Topic>,
    faults: StoreFaults,
    calls: u64,
    /// Status with which the calls at each door are refused.
    doors: Vec<Option<u16>>,
}

type Shared = Arc<(Mutex<StoreState>, Notify)>;

/// Running stand-in of the store.
#[derive(Debug)]
pub struct StoreStandin {
    shared: Shared,
    listening: Listening,
    doors: Vec<Listening>,
}

/// The store as it is met at one address.
#[derive(Clone)]
struct StoreDoor {
    shared: Shared,
    /// Index of the door; `None` for the main address.
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
        let listening = Listening::start(routes(&shared, None)).await?;
        Ok(Self {
            shared,
            listening,
            doors: Vec::new(),
        })
    }

    /// Opens one more address of the store, at which calls can be refused apart from the others.
    ///
    /// # Errors
    ///
    /// If no address can be bound.
    pub async fn open_door(&mut self) -> std::io::Result<SocketAddr> {
        let number = self.doors.len();
        lock(&self.shared).doors.push(None);
        let door = Listening::start(routes(&self.shared, Some(number))).await?;
        let address = door.address;
        self.doors.push(door);
        Ok(address)
    }

    /// Refuses all calls at a door with a status, or serves them again.
    pub fn set_door(&self, number: usize, refuse: Option<u16>) {
        if let Some(door) = lock(&self.shared).doors.get_mut(number) {
            *door = refuse;
        }
        self.shared.1.notify_waiters();
    }

    /// Address of the store.
    pub fn address(&self) -> SocketAddr {
        self.listening.address
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

    /// Writes bytes under a key, also such that no reader can read.
    pub fn put(&self, topic: &str, key: &str, value: Option<&[u8]>) {
        let mut record = vec![u8::try_from(key.len()).unwrap_or(u8::MAX)];
        record.extend_from_slice(key.as_bytes());
        record.extend_from_slice(value.unwrap_or_default());
        lock(&self.shared)
            .topics
            .entry(topic.to_owned())
            .or_default()
            .push(topic, Bytes::from(record));
        if !lock(&self.shared).faults.deaf_waits {
            self.shared.1.notify_waiters();
        }
    }

    /// Drops all records of a topic but the newest of each key.
    pub fn compact(&self, topic: &str) {
        if let Some(topic) = lock(&self.shared).topics.get_mut(topic) {
            topic.first += topic.records.len() as u64;
            topic.records.clear();
        }
        self.shared.1.notify_waiters();
    }

    /// Records in a topic so far, dropped ones included.
    pub fn end(&self, topic: &str) -> u64 {
        lock(&self.shared).topics.get(topic).map_or(0, Topic::end)
    }

    /// Calls so far.
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

fn lock(shared: &Shared) -> MutexGuard<'_, StoreState> {
    shared.0.lock().unwrap_or_else(PoisonError::into_inner)
}

fn routes(shared: &Shared, number: Option<usize>) -> Router {
    let door = StoreDoor {
        shared: Arc::clone(shared),
        number,
    };
    Router::new()
        .route("/log-append", post(append))
        .route("/log-read", get(read))
        .route("/log-newest", get(newest))
        .with_state(door)
}

impl StoreDoor {
    /// Counts the call and takes its time; gives the refusal if calls are refused.
    async fn enter(&self) -> Option<Response> {
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
        let door = self
            .number
            .and_then(|number| state.doors.get(number).copied().flatten());
        let status = state.faults.refuse.or(door)?;
        let status = StatusCode::from_u16(status).unwrap_or(StatusCode::SERVICE_UNAVAILABLE);
        Some(status.into_response())
    }
}

async fn append(State(door): State<StoreDoor>, Query(query): Query<TopicQuery>, body: Bytes) -> Response {
    if let Some(refusal) = door.enter().await {
        return refusal;
    }
    let shared = Arc::clone(&door.shared);
    let late_by = {
        let mut state = lock(&shared);
        let is_late = state.faults.late_appends > 0;
        state.faults.late_appends = state.faults.late_appends.saturating_sub(1);
        is_late.then_some(state.faults.late_by)
    };
    if let Some(late_by) = late_by {
        tokio::spawn(async move {
            tokio::time::sleep(late_by).await;
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

/// Appends if the condition holds; tells the answer, and whether it is lost.
fn append_now(shared: &Shared, query: &TopicQuery, body: Bytes) -> (Response, bool) {
    let mut state = lock(shared);
    let topic = state.topics.entry(query.topic.clone()).or_default();
    let end = topic.end();
    if query.at.is_some_and(|at| at != end) {
        let told = axum::Json(json!({"EndOffset": end}));
        return ((StatusCode::PRECONDITION_FAILED, told).into_response(), false);
    }
    let mut rest = body;
    while rest.len() >= 4 {
        let length = u32::from_be_bytes([rest[0], rest[1], rest[2], rest[3]]) as usize;
        let record = rest.slice(4..(4 + length).min(rest.len()));
        rest = rest.slice((4 + length).min(rest.len())..);
        topic.push(&query.topic, record);
    }
    let told = json!({"Offset": end, "EndOffset": topic.end()});
    let is_lost = state.faults.lost_answers > 0;
    state.faults.lost_answers = state.faults.lost_answers.saturating_sub(1);
    drop(state);
    shared.1.notify_waiters();
    (axum::Json(told).into_response(), is_lost)
}

async fn read(State(door): State<StoreDoor>, Query(query): Query<TopicQuery>) -> Response {
    if let Some(refusal) = door.enter().await {
        return refusal;
    }
    let shared = Arc::clone(&door.shared);
    let due = tokio::time::Instant::now() + Duration::from_millis(query.wait_ms);
    loop {
        let changed = shared.1.notified();
        if let Some(answer) = read_now(&door, &query, tokio::time::Instant::now() >= due) {
            return answer;
        }
        tokio::select! {
            () = changed => {}
            () = tokio::time::sleep_until(due) => {}
        }
        if tokio::time::Instant::now() >= due && lock(&shared).faults.deaf_waits {
            let end = lock(&shared)
                .topics
                .get(&query.topic)
                .map_or(0, |topic| topic.first);
            return offsets(query.from, end).into_response();
        }
    }
}

/// The two offsets before the records of an answer.
fn offsets(end: u64, first: u64) -> Vec<u8> {
    [end.to_be_bytes(), first.to_be_bytes()].concat()
}

fn read_now(door: &StoreDoor, query: &TopicQuery, is_due: bool) -> Option<Response> {
    let mut state = lock(&door.shared);
    if let Some(refusal) = door.refusal(&state) {
        return Some(refusal);
    }
    let topic = state.topics.entry(query.topic.clone()).or_default();
    if query.from < topic.first {
        let told = axum::Json(json!({"FirstOffset": topic.first}));
        return Some((StatusCode::GONE, told).into_response());
    }
    if query.from >= topic.end() && !is_due {
        return None;
    }
    let skipped = usize::try_from(query.from - topic.first).unwrap_or(usize::MAX);
    let mut body = offsets(topic.end(), topic.first);
    for record in topic.records.iter().skip(skipped) {
        body.extend_from_slice(&u32::try_from(record.len()).unwrap_or(u32::MAX).to_be_bytes());
        body.extend_from_slice(record);
    }
    Some(body.into_response())
}

async fn newest(State(door): State<StoreDoor>, Query(query): Query<TopicQuery>) -> Response {
    if let Some(refusal) = door.enter().await {
        return refusal;
    }
    let shared = Arc::clone(&door.shared);
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
        .take(PAGE_ITEMS)
        .map(|(key, (offset, value))| json!({"Key": key, "Value": BASE64.encode(value), "Offset": offset}))
        .collect();
    axum::Json(json!({"items": page, "HasMore": items.len() > PAGE_ITEMS, "EndOffset": end})).into_response()
}
