//! Stand-ins for the platform: its store, its duty calls and plain runners, as PROTOCOL.md tells them.

use std::collections::{BTreeMap, HashMap};
use std::net::{SocketAddr, TcpListener};
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::{Arc, Condvar, Mutex, MutexGuard};
use std::thread;
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

use crate::http::{Request, respond, serve};
use crate::record::Record;

/// "4 ms an answer" on the sheets.
const STORE_ANSWER: Duration = Duration::from_millis(4);

/// Calls a second that the store takes, as on the sheets.
const READS_PER_S: u64 = 2_000;
const WRITES_PER_S: u64 = 400;

#[derive(Default)]
struct Topic {
    records: Vec<(Instant, Vec<u8>)>,
}

impl Topic {
    fn end(&self) -> u64 {
        self.records.len() as u64
    }
}

struct StoreState {
    topics: BTreeMap<String, Topic>,
    era: u64,
    is_away: bool,
    second: Instant,
    reads: u64,
    writes: u64,
    /// Calls so far by path and topic, for the record.
    calls: BTreeMap<String, u64>,
    refused: u64,
}

/// The platform's store.
#[derive(Clone)]
pub struct Store {
    shared: Arc<(Mutex<StoreState>, Condvar)>,
    pub address: SocketAddr,
    record: Record,
}

impl Store {
    pub fn start(record: &Record) -> std::io::Result<Self> {
        let listener = TcpListener::bind("127.0.0.1:0")?;
        let address = listener.local_addr()?;
        let state = StoreState {
            topics: BTreeMap::new(),
            era: 1,
            is_away: false,
            second: Instant::now(),
            reads: 0,
            writes: 0,
            calls: BTreeMap::new(),
            refused: 0,
        };
        let store = Self {
            shared: Arc::new((Mutex::new(state), Condvar::new())),
            address,
            record: record.clone(),
        };
        let served = store.clone();
        serve(listener, move |request, stream| served.handle(request, stream));
        Ok(store)
    }

    fn lock(&self) -> MutexGuard<'_, StoreState> {
        self.shared.0.lock().unwrap_or_else(|err| err.into_inner())
    }

    fn handle(&self, request: &Request, stream: &mut std::net::TcpStream) -> bool {
        let topic = request.param("Topic").unwrap_or_default();
        let is_write = request.path == "/log-append";
        {
            let mut state = self.lock();
            if state.is_away {
                return false;
            }
            *state
                .calls
                .entry(format!("{} {topic}", request.path))
                .or_default() += 1;
            if state.second.elapsed() >= Duration::from_secs(1) {
                state.second = Instant::now();
                state.reads = 0;
                state.writes = 0;
            }
            let (count, limit) = if is_write {
                (&mut state.writes, WRITES_PER_S)
            } else {
                (&mut state.reads, READS_PER_S)
            };
            *count += 1;
            if *count > limit {
                state.refused += 1;
                let era = state.era.to_string();
                drop(state);
                return respond(stream, "429 Too Many Requests", &[("Store-Era", &era)], b"");
            }
        }
        thread::sleep(STORE_ANSWER);
        match request.path.as_str() {
            "/log-append" => self.append(request, &topic, stream),
            "/log-read" => self.read(request, &topic, stream),
            "/log-newest" => self.newest(request, &topic, stream),
            _ => respond(stream, "404 Not Found", &[], b""),
        }
    }

    fn append(&self, request: &Request, topic: &str, stream: &mut std::net::TcpStream) -> bool {
        if topic == "keyed.op" || topic == "keyed.servers" {
            return respond(stream, "403 Forbidden", &[], b"");
        }
        let mut state = self.lock();
        if state.is_away {
            return false;
        }
        let era = state.era.to_string();
        let known = state.topics.entry(topic.to_owned()).or_default();
        let offset = known.end();
        let mut status = "200 OK";
        if request.number("At").is_some_and(|at| at != offset) {
            status = "412 Precondition Failed";
        } else {
            let mut rest = &request.body[..];
            while rest.len() >= 4 {
                let length = u32::from_be_bytes([rest[0], rest[1], rest[2], rest[3]]) as usize;
                let Some(record) = rest.get(4..4 + length) else {
                    break;
                };
                known.records.push((Instant::now(), record.to_vec()));
                rest = &rest[4 + length..];
            }
        }
        let end = known.end();
        drop(state);
        self.shared.1.notify_all();
        let body = if status.starts_with("200") {
            format!("{{\"Offset\":{offset},\"EndOffset\":{end}}}")
        } else {
            format!("{{\"EndOffset\":{end}}}")
        };
        if topic == "duties" {
            self.record.line(format!(
                "store: append to duties at {:?}: {status} {body}",
                request.number("At")
            ));
        }
        let headers = [("Content-Type", "application/json"), ("Store-Era", era.as_str())];
        respond(stream, status, &headers, body.as_bytes())
    }

    fn read(&self, request: &Request, topic: &str, stream: &mut std::net::TcpStream) -> bool {
        let source = request.number("Source").unwrap_or_default();
        let due =
            Instant::now() + Duration::from_millis(request.number("WaitMs").unwrap_or_default().min(30_000));
        let mut state = self.lock();
        let era = state.era;
        loop {
            if state.is_away || state.era != era {
                return false;
            }
            let end = state.topics.get(topic).map_or(0, Topic::end);
            if source > end {
                let era = state.era.to_string();
                drop(state);
                let headers = [("Content-Type", "application/json"), ("Store-Era", era.as_str())];
                return respond(stream, "410 Gone", &headers, b"{\"FirstOffset\":0}");
            }
            let now = Instant::now();
            if source < end || now >= due {
                break;
            }
            let waited = self.shared.1.wait_timeout(state, due - now);
            state = waited.unwrap_or_else(|err| err.into_inner()).0;
        }
        let era = state.era.to_string();
        let records = state.topics.get(topic).map_or(&[][..], |topic| &topic.records);
        let mut body = Vec::new();
        body.extend_from_slice(&(records.len() as u64).to_be_bytes());
        body.extend_from_slice(&0_u64.to_be_bytes());
        for (_, record) in &records[source as usize..] {
            body.extend_from_slice(&(record.len() as u32).to_be_bytes());
            body.extend_from_slice(record);
        }
        drop(state);
        respond(stream, "200 OK", &[("Store-Era", &era)], &body)
    }

    fn newest(&self, request: &Request, topic: &str, stream: &mut std::net::TcpStream) -> bool {
        let after = request.param("after");
        let state = self.lock();
        if state.is_away {
            return false;
        }
        let era = state.era.to_string();
        let records = state.topics.get(topic).map_or(&[][..], |topic| &topic.records);
        let mut newest: BTreeMap<String, (usize, &[u8])> = BTreeMap::new();
        for (offset, (_, record)) in records.iter().enumerate() {
            let Some((&length, rest)) = record.split_first() else {
                continue;
            };
            let length = usize::from(length).min(rest.len());
            let key = String::from_utf8_lossy(&rest[..length]).into_owned();
            if rest.len() == length {
                newest.remove(&key);
            } else {
                newest.insert(key, (offset, &rest[length..]));
            }
        }
        let items: Vec<String> = newest
            .iter()
            .filter(|(key, _)| after.as_ref().is_none_or(|after| *key > after))
            .map(|(key, (offset, value))| {
                format!(
                    "{{\"Key\":\"{key}\",\"Value\":\"{}\",\"Offset\":{offset}}}",
                    base64(value)
                )
            })
            .collect();
        let body = format!(
            "{{\"items\":[{}],\"HasMore\":false,\"EndOffset\":{}}}",
            items.join(","),
            records.len()
        );
        drop(state);
        let headers = [("Content-Type", "application/json"), ("Store-Era", era.as_str())];
        respond(stream, "200 OK", &headers, body.as_bytes())
    }

    /// Writes a keyed record, as the operator and the runners do; false while the store is away.
    pub fn put(&self, topic: &str, key: &str, value: &str) -> bool {
        let mut record = vec![key.len() as u8];
        record.extend_from_slice(key.as_bytes());
        record.extend_from_slice(value.as_bytes());
        let mut state = self.lock();
        if state.is_away {
            return false;
        }
        let known = state.topics.entry(topic.to_owned()).or_default();
        let offset = known.end();
        known.records.push((Instant::now(), record));
        drop(state);
        self.shared.1.notify_all();
        let shown = if value.is_empty() { "removed" } else { value };
        self.record
            .line(format!("store: {topic} {key} at offset {offset}: {shown}"));
        true
    }

    /// Newest value of a key.
    pub fn value(&self, topic: &str, key: &str) -> Option<String> {
        let state = self.lock();
        let records = &state.topics.get(topic)?.records;
        let found = records.iter().rev().find(|(_, record)| {
            let length = usize::from(record.first().copied().unwrap_or_default());
            record.get(1..=length) == Some(key.as_bytes())
        })?;
        let length = usize::from(found.1[0]);
        Some(String::from_utf8_lossy(&found.1[1 + length..]).into_owned())
    }

    /// Calls so far by path and topic.
    pub fn calls(&self) -> BTreeMap<String, u64> {
        self.lock().calls.clone()
    }

    pub fn refused(&self) -> u64 {
        self.lock().refused
    }

    /// The drill of LETTER-4: the store is away for a moment and comes back from a copy that is some seconds old. Whoever
    /// writes to it again does so after this returns.
    pub fn drill(&self, away: Duration, age: Duration) {
        let copied_at = {
            let mut state = self.lock();
            state.is_away = true;
            Instant::now() - age
        };
        self.shared.1.notify_all();
        self.record
            .say(format!("DRILL: the store is away for {} ms", away.as_millis()));
        thread::sleep(away);
        let mut state = self.lock();
        let mut lost = Vec::new();
        for (name, topic) in &mut state.topics {
            let before = topic.records.len();
            topic.records.retain(|(at, _)| *at <= copied_at);
            if topic.records.len() < before {
                lost.push(format!(
                    "{name} from offset {} to {}",
                    topic.records.len(),
                    before - 1
                ));
            }
        }
        state.era += 1;
        state.is_away = false;
        let era = state.era;
        drop(state);
        self.record.say(format!(
            "DRILL: the store is back from a copy {} ms old, Store-Era {era}; lost: {}",
            age.as_millis(),
            if lost.is_empty() {
                "nothing".to_owned()
            } else {
                lost.join(", ")
            }
        ));
    }
}

fn base64(bytes: &[u8]) -> String {
    const SYMBOLS: &[u8; 64] = b"ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";
    let mut out = String::new();
    for chunk in bytes.chunks(3) {
        let mut word = 0_u32;
        for at in 0..3 {
            word = word << 8 | u32::from(chunk.get(at).copied().unwrap_or_default());
        }
        for at in 0..4 {
            if at <= chunk.len() {
                out.push(char::from(SYMBOLS[(word >> (18 - 6 * at) & 63) as usize]));
            } else {
                out.push('=');
            }
        }
    }
    out
}

/// A usage report that the platform got.
#[derive(Clone, Debug)]
pub struct UsageCall {
    pub holder: String,
    pub fence: u64,
    pub window: u64,
    pub counts: String,
    pub is_accepted: bool,
}

/// The platform's duty calls; a fence number that is too low is refused.
#[derive(Clone)]
pub struct Cloud {
    calls: Arc<Mutex<Vec<UsageCall>>>,
    pub address: SocketAddr,
}

impl Cloud {
    pub fn start(record: &Record) -> std::io::Result<Self> {
        let listener = TcpListener::bind("127.0.0.1:0")?;
        let address = listener.local_addr()?;
        let cloud = Self {
            calls: Arc::default(),
            address,
        };
        let calls = Arc::clone(&cloud.calls);
        let record = record.clone();
        serve(listener, move |request, stream| {
            let holder = request.header("Duty-Holder").unwrap_or_default().to_owned();
            let fence = request
                .header("Fence-Token")
                .and_then(|text| text.parse().ok())
                .unwrap_or(0);
            let body = String::from_utf8_lossy(&request.body).into_owned();
            if request.path != "/usage" {
                record.line(format!(
                    "cloud: {} from {holder} fence {fence}: {body}",
                    request.path
                ));
                return respond(stream, "200 OK", &[], b"{}");
            }
            let window = field(&body, "\"WindowId\":")
                .and_then(|text| text.parse().ok())
                .unwrap_or(0);
            let counts = body
                .split_once("\"Counts\":")
                .map_or("", |(_, rest)| rest)
                .to_owned();
            let mut known = calls.lock().unwrap_or_else(|err| err.into_inner());
            let highest = known.iter().map(|call: &UsageCall| call.fence).max().unwrap_or(0);
            let is_accepted = fence >= highest;
            known.push(UsageCall {
                holder: holder.clone(),
                fence,
                window,
                counts,
                is_accepted,
            });
            drop(known);
            let status = if is_accepted { "200 OK" } else { "409 Conflict" };
            record.line(format!(
                "cloud: usage from {holder} fence {fence}: {body} -> {status}"
            ));
            respond(
                stream,
                status,
                &[],
                if is_accepted {
                    b"{}"
                } else {
                    b"{\"why\":\"fence\"}"
                },
            )
        });
        Ok(cloud)
    }

    pub fn usage(&self) -> Vec<UsageCall> {
        self.calls.lock().unwrap_or_else(|err| err.into_inner()).clone()
    }
}

fn field<'a>(text: &'a str, name: &str) -> Option<&'a str> {
    let (_, rest) = text.split_once(name)?;
    Some(rest.split([',', '}']).next()?.trim())
}

/// A request that a runner got.
#[derive(Clone, Debug)]
pub struct Arrival {
    pub at: Instant,
    pub runner: String,
    pub attempt: String,
    pub has_run: bool,
}

/// A plain runner.
pub struct Runner {
    pub id: String,
    pub service: String,
    pub zone: String,
    pub address: SocketAddr,
    born_ms: u64,
    /// Until when it is slow after its start, which its entry tells.
    pub cold_until: Option<Instant>,
    pub is_leaving: Arc<AtomicBool>,
    /// True once its process has exited: what it was at work on has no answer.
    pub has_exited: Arc<AtomicBool>,
}

/// What runners got, in order.
pub type Arrivals = Arc<Mutex<Vec<Arrival>>>;

impl Runner {
    pub fn start(
        id: &str,
        service: &str,
        zone: &str,
        work: Duration,
        arrivals: &Arrivals,
        record: &Record,
    ) -> std::io::Result<Self> {
        let listener = TcpListener::bind("127.0.0.1:0")?;
        let address = listener.local_addr()?;
        let runner = Self {
            id: id.to_owned(),
            service: service.to_owned(),
            zone: zone.to_owned(),
            address,
            born_ms: unix_ms(),
            cold_until: None,
            is_leaving: Arc::default(),
            has_exited: Arc::default(),
        };
        let (id, arrivals, record) = (runner.id.clone(), Arc::clone(arrivals), record.clone());
        let is_leaving = Arc::clone(&runner.is_leaving);
        let has_exited = Arc::clone(&runner.has_exited);
        let active = AtomicU64::new(0);
        serve(listener, move |request, stream| {
            if has_exited.load(Ordering::SeqCst) {
                return false;
            }
            let attempt = request.header("Attempt-Id").unwrap_or_default().to_owned();
            let mut headers = vec![("Attempt-Id", attempt.as_str())];
            let leaving = is_leaving.load(Ordering::SeqCst);
            if leaving {
                headers.push(("Server-Leaving", "1"));
            }
            let refusal = if request.path == "/health" {
                Some(if leaving {
                    "503 Service Unavailable"
                } else {
                    "200 OK"
                })
            } else if request
                .header("Expect-Instance")
                .is_some_and(|expected| expected != id)
            {
                Some("421 Misdirected Request")
            } else if attempt.is_empty() {
                Some("400 Bad Request")
            } else {
                None
            };
            if request.path != "/health" {
                let mut known = arrivals.lock().unwrap_or_else(|err| err.into_inner());
                known.push(Arrival {
                    at: Instant::now(),
                    runner: id.clone(),
                    attempt: attempt.clone(),
                    has_run: refusal.is_none(),
                });
            }
            if let Some(status) = refusal {
                headers.push(("Instance-Id", id.as_str()));
                headers.push(("Not-Executed", "1"));
                return respond(stream, status, &headers, b"");
            }
            record.line(format!(
                "runner {id}: runs {attempt} ({} {})",
                request.method, request.path
            ));
            active.fetch_add(1, Ordering::SeqCst);
            thread::sleep(work);
            let load = format!("{},0,6", active.fetch_sub(1, Ordering::SeqCst) - 1);
            if has_exited.load(Ordering::SeqCst) {
                record.line(format!("runner {id}: has exited before {attempt} was done"));
                return false;
            }
            let seal = format!("{id}.{attempt}");
            headers.push(("Response-Seal", &seal));
            headers.push(("Instance-Load", &load));
            respond(stream, "200 OK", &headers, seal.as_bytes())
        });
        Ok(runner)
    }

    /// The runner's entry in the store.
    pub fn entry(&self) -> String {
        let state = if self.is_leaving.load(Ordering::SeqCst) {
            "draining"
        } else {
            "ready"
        };
        let cold = self.cold_until.map_or(0, |until| {
            until.saturating_duration_since(Instant::now()).as_millis()
        });
        format!(
            "{{\"Service\":\"{}\",\"Address\":\"{}\",\"Zone\":\"{}\",\"Version\":\"1\",\"Slots\":6,\
             \"State\":\"{state}\",\"ColdLeftMs\":{cold},\"Sequence\":1,\"born\":{}}}",
            self.service, self.address, self.zone, self.born_ms
        )
    }
}

/// Milliseconds since 1970.
pub fn unix_ms() -> u64 {
    SystemTime::now()
        .duration_since(UNIX_EPOCH)
        .map_or(0, |since| since.as_millis() as u64)
}

/// Reports that two holders sent with one fence number, and windows that were accepted with different counts.
pub fn usage_faults(calls: &[UsageCall]) -> Vec<String> {
    let mut faults = Vec::new();
    let mut holders: HashMap<u64, &UsageCall> = HashMap::new();
    let mut windows: HashMap<u64, &UsageCall> = HashMap::new();
    for call in calls {
        match holders.get(&call.fence) {
            Some(first) if first.holder != call.holder => {
                faults.push(format!(
                    "two holders sent fence {}: {} and {} (window {})",
                    call.fence, first.holder, call.holder, call.window
                ));
                holders.insert(call.fence, call);
            }
            Some(_) => {}
            None => {
                holders.insert(call.fence, call);
            }
        }
        if !call.is_accepted {
            continue;
        }
        match windows.get(&call.window) {
            Some(first) if first.counts != call.counts => faults.push(format!(
                "window {} was accepted with {} from {} and with {} from {}",
                call.window, first.counts, first.holder, call.counts, call.holder
            )),
            Some(_) => {}
            None => {
                windows.insert(call.window, call);
            }
        }
    }
    faults
}
