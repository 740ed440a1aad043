//! Stand-ins of the platform: its store (a log) and its API for duties.

use std::collections::BTreeMap;
use std::ffi::c_int;
use std::io::Result;
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::os::fd::AsRawFd;
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Condvar, Mutex};
use std::time::{Duration, Instant};

use crate::http::{self, Exchange, Request};

unsafe extern "C" {
    fn connect(socket: c_int, address: *const u16, length: u32) -> c_int;
}

/// Resets a TCP connection: a connect to no address family sends RST.
fn reset(stream: &TcpStream) {
    let unspecified = [0_u16; 8];
    // SAFETY: the address is 16 bytes long and outlives the call.
    unsafe { connect(stream.as_raw_fd(), unspecified.as_ptr(), 16) };
}

#[derive(Default)]
struct Topic {
    records: Vec<Vec<u8>>,
    newest: BTreeMap<String, (u64, Vec<u8>)>,
}

impl Topic {
    fn push(&mut self, name: &str, record: Vec<u8>) -> u64 {
        let offset = self.records.len() as u64;
        if name.starts_with("keyed.") && !record.is_empty() {
            let length = usize::from(record[0]).min(record.len() - 1);
            let key = String::from_utf8_lossy(&record[1..=length]).into_owned();
            let value = record[1 + length..].to_vec();
            if value.is_empty() {
                self.newest.remove(&key);
            } else {
                self.newest.insert(key, (offset, value));
            }
        }
        self.records.push(record);
        offset
    }
}

/// The store. Each machine may have an address of its own to it, so that its channels can be reset.
#[derive(Default)]
pub struct Store {
    topics: Mutex<BTreeMap<String, Topic>>,
    changed: Condvar,
}

/// Channels of one machine to the store.
#[derive(Clone, Default)]
pub struct Channels {
    open: Arc<Mutex<Vec<TcpStream>>>,
    is_closed: Arc<AtomicBool>,
}

impl Channels {
    /// Closes the address: open channels are reset, and so are new ones.
    pub fn close(&self) {
        self.is_closed.store(true, Ordering::Relaxed);
        self.reset_all();
    }

    /// Resets all open channels; new ones work.
    pub fn reset_all(&self) -> usize {
        let open = std::mem::take(&mut *self.open.lock().unwrap());
        open.iter().for_each(reset);
        open.len()
    }
}

impl Store {
    /// Opens an address of the store.
    pub fn listen(self: &Arc<Self>) -> Result<(SocketAddr, Channels)> {
        let listener = TcpListener::bind("127.0.0.1:0")?;
        let address = listener.local_addr()?;
        let channels = Channels::default();
        let (store, open) = (Arc::clone(self), channels.clone());
        std::thread::spawn(move || {
            for stream in listener.incoming() {
                let Ok(stream) = stream else { return };
                if open.is_closed.load(Ordering::Relaxed) {
                    reset(&stream);
                    continue;
                }
                if let Ok(copy) = stream.try_clone() {
                    open.open.lock().unwrap().push(copy);
                }
                let store = Arc::clone(&store);
                std::thread::spawn(move || {
                    http::serve_connection(stream, &|request: &Request, exchange: &mut Exchange<'_>| {
                        store.handle(request, exchange)
                    });
                });
            }
        });
        Ok((address, channels))
    }

    /// Writes a keyed record, as the operator and the runners do; an empty value removes the key. Returns when the store
    /// confirms it.
    pub fn put(&self, topic: &str, key: &str, value: &str) -> Instant {
        let mut record = vec![u8::try_from(key.len()).unwrap()];
        record.extend_from_slice(key.as_bytes());
        record.extend_from_slice(value.as_bytes());
        let mut topics = self.topics.lock().unwrap();
        topics.entry(topic.to_owned()).or_default().push(topic, record);
        drop(topics);
        self.changed.notify_all();
        Instant::now()
    }

    fn handle(&self, request: &Request, exchange: &mut Exchange<'_>) -> Result<bool> {
        let topic = request.query("Topic").unwrap_or_default().to_owned();
        let number = |name| request.query(name).and_then(|text| text.parse::<u64>().ok());
        match request.path() {
            "/log-append" => {
                let mut topics = self.topics.lock().unwrap();
                let log = topics.entry(topic.clone()).or_default();
                let end = log.records.len() as u64;
                if number("At").is_some_and(|at| at != end) {
                    drop(topics);
                    return answer(exchange, 412, &format!("{{\"EndOffset\":{end}}}"));
                }
                let mut rest = &request.message.body[..];
                while rest.len() >= 4 {
                    let length = u32::from_be_bytes([rest[0], rest[1], rest[2], rest[3]]) as usize;
                    log.push(&topic, rest[4..4 + length].to_vec());
                    rest = &rest[4 + length..];
                }
                let after = log.records.len();
                drop(topics);
                self.changed.notify_all();
                std::thread::sleep(Duration::from_millis(4));
                answer(exchange, 200, &format!("{{\"Offset\":{end},\"EndOffset\":{after}}}"))
            }
            "/log-read" => {
                let from = number("Source").unwrap_or_default() as usize;
                let due = Instant::now() + Duration::from_millis(number("WaitMs").unwrap_or_default());
                let mut topics = self.topics.lock().unwrap();
                let body = loop {
                    let log = topics.entry(topic.clone()).or_default();
                    let left = due.saturating_duration_since(Instant::now());
                    if from > log.records.len() {
                        drop(topics);
                        return answer(exchange, 410, "{\"FirstOffset\":0}");
                    }
                    if from < log.records.len() || left.is_zero() {
                        let mut body = (log.records.len() as u64).to_be_bytes().to_vec();
                        body.extend_from_slice(&0_u64.to_be_bytes());
                        for record in &log.records[from..] {
                            body.extend_from_slice(&(record.len() as u32).to_be_bytes());
                            body.extend_from_slice(record);
                        }
                        break body;
                    }
                    topics = self.changed.wait_timeout(topics, left).unwrap().0;
                };
                drop(topics);
                exchange.respond(200, &[("Store-Era", "1")], &body)?;
                Ok(true)
            }
            "/log-newest" => {
                let mut topics = self.topics.lock().unwrap();
                let log = topics.entry(topic).or_default();
                let items: Vec<String> = log
                    .newest
                    .iter()
                    .map(|(key, (offset, value))| {
                        format!("{{\"Key\":\"{key}\",\"Value\":\"{}\",\"Offset\":{offset}}}", base64(value))
                    })
                    .collect();
                let items = match request.query("after") {
                    Some(_) => Vec::new(),
                    None => items,
                };
                let end = log.records.len();
                drop(topics);
                let body = format!(
                    "{{\"items\":[{}],\"HasMore\":false,\"EndOffset\":{end}}}",
                    items.join(",")
                );
                answer(exchange, 200, &body)
            }
            _ => answer(exchange, 404, "{}"),
        }
    }
}

fn answer(exchange: &mut Exchange<'_>, status: u16, body: &str) -> Result<bool> {
    let fields = [("Content-Type", "application/json"), ("Store-Era", "1")];
    exchange.respond(status, &fields, body.as_bytes())?;
    Ok(true)
}

fn base64(bytes: &[u8]) -> String {
    const ALPHABET: &[u8; 64] = b"ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";
    let mut text = String::new();
    for group in bytes.chunks(3) {
        let padded = [group[0], *group.get(1).unwrap_or(&0), *group.get(2).unwrap_or(&0)];
        let value = u32::from_be_bytes([0, padded[0], padded[1], padded[2]]);
        for at in 0..4 {
            let is_padding = at > group.len();
            let index = (value >> (18 - 6 * at)) & 63;
            text.push(if is_padding { '=' } else { char::from(ALPHABET[index as usize]) });
        }
    }
    text
}

/// Starts the platform's API for duties, which accepts every call.
pub fn start_duties() -> Result<SocketAddr> {
    let listener = TcpListener::bind("127.0.0.1:0")?;
    let address = listener.local_addr()?;
    http::serve(
        listener,
        Arc::new(|_: &Request, exchange: &mut Exchange<'_>| answer(exchange, 200, "{}")),
    );
    Ok(address)
}
