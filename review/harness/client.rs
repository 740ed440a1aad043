//! Consumers: they ask a directory node where to connect and send each request on a new channel.

use std::net::SocketAddr;
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::{Duration, Instant};

use crate::http::{self, CallError};
use crate::record::Record;

pub const HOST: &str = "ficu95.example";

/// Shared by all consumers of a run.
#[derive(Clone)]
pub struct Crowd {
    /// Status of each attempt, or 0 for no answer.
    pub outcomes: Arc<Mutex<Vec<u16>>>,
    pub is_over: Arc<AtomicBool>,
    next: Arc<AtomicU64>,
    record: Record,
}

/// A request of a consumer.
#[derive(Clone, Copy)]
pub struct Sending {
    pub method: &'static str,
    pub path: &'static str,
    pub key: &'static str,
    pub deadline_ms: u64,
}

impl Crowd {
    pub fn new(record: &Record) -> Self {
        Self {
            outcomes: Arc::default(),
            is_over: Arc::default(),
            next: Arc::default(),
            record: record.clone(),
        }
    }

    /// Addresses that a directory node names.
    pub fn resolve(directory: SocketAddr, zone: &str) -> Vec<SocketAddr> {
        let target = format!("/resolve?Name={HOST}&Region=chile-central&Zone={zone}");
        let host = directory.to_string();
        let response = http::call(
            directory,
            "GET",
            &target,
            &[("Host", &host)],
            b"",
            Duration::from_secs(1),
        );
        let Ok(response) = response else { return Vec::new() };
        let text = String::from_utf8_lossy(&response.body).into_owned();
        let Some((_, rest)) = text.split_once("\"Addresses\":[") else {
            return Vec::new();
        };
        let list = rest.split(']').next().unwrap_or_default();
        list.split(',')
            .filter_map(|item| item.trim().trim_matches('"').parse().ok())
            .collect()
    }

    /// Sends one request on a new channel, and records how it ended.
    pub fn send(&self, front: SocketAddr, sending: Sending) {
        let number = self.next.fetch_add(1, Ordering::SeqCst);
        let attempt = format!("{:08x}{number:08x}", std::process::id());
        let authorization = format!("Bearer {}", sending.key);
        let deadline = sending.deadline_ms.to_string();
        let headers = [
            ("Host", HOST),
            ("Attempt-Id", attempt.as_str()),
            ("Deadline-Ms", deadline.as_str()),
            ("Authorization", authorization.as_str()),
        ];
        let body: &[u8] = if sending.method == "POST" {
            b"{\"order\":1}"
        } else {
            b""
        };
        self.record.line(format!(
            "client: sends {attempt} {} {} to {front}",
            sending.method, sending.path
        ));
        let timeout = Duration::from_millis(sending.deadline_ms);
        let (status, text) = match http::call(front, sending.method, sending.path, &headers, body, timeout) {
            Ok(response) => {
                let seal = response.header("Response-Seal").unwrap_or("-").to_owned();
                let body = String::from_utf8_lossy(&response.body).into_owned();
                (
                    response.status,
                    format!("{} seal {seal} body {body}", response.status),
                )
            }
            Err(CallError::NotSent(err)) => (0, format!("no connection: {err}")),
            Err(CallError::Lost(err)) => (0, format!("no answer: {err}")),
        };
        self.record.line(format!("client: {attempt} ends: {text}"));
        self.outcomes
            .lock()
            .unwrap_or_else(|err| err.into_inner())
            .push(status);
    }

    /// Sends `count` requests at the same time, each on a channel of its own.
    pub fn burst(&self, fronts: &[SocketAddr], sendings: &[Sending], count: usize) {
        let senders: Vec<_> = (0..count)
            .map(|at| {
                let (crowd, sending) = (self.clone(), sendings[at % sendings.len()]);
                let front = fronts[at % fronts.len()];
                thread::spawn(move || crowd.send(front, sending))
            })
            .collect();
        for sender in senders {
            let _ = sender.join();
        }
    }

    /// Starts a consumer that sends one request each `pause` until the run is over.
    pub fn spawn(
        &self,
        directories: Vec<SocketAddr>,
        zone: &'static str,
        sendings: Vec<Sending>,
        pause: Duration,
    ) {
        let crowd = self.clone();
        thread::spawn(move || {
            let mut addresses: Vec<SocketAddr> = Vec::new();
            let mut asked_at: Option<Instant> = None;
            let mut round = 0;
            while !crowd.is_over.load(Ordering::SeqCst) {
                if asked_at.is_none_or(|at| at.elapsed() > Duration::from_secs(1)) {
                    for step in 0..directories.len().min(3) {
                        let found = Self::resolve(directories[(round + step) % directories.len()], zone);
                        if !found.is_empty() {
                            addresses = found;
                            asked_at = Some(Instant::now());
                            break;
                        }
                    }
                }
                round += 1;
                if let Some(address) = addresses.get(round % addresses.len().max(1)) {
                    crowd.send(*address, sendings[round % sendings.len()]);
                }
                thread::sleep(pause);
            }
        });
    }
}
