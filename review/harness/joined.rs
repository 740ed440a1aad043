//! Case of a stream route that is split between two services of different software versions, while all instances are killed at the same
//! moment.

use std::collections::BTreeMap;
use std::io::{self, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::{Duration, Instant};

use crate::client::{Crowd, HOST};
use crate::fleet::{Fleet, Places};
use crate::http::{self, Channel};
use crate::platform::{Cloud, Store, unix_ms};
use crate::record::Record;
use crate::{Setup, Verdict};

const KEY: &str = "3fexd9dnn2ctnfzs989a";
const ZONES: [&str; 3] = ["scl-a", "scl-b", "scl-c"];

/// Events of each stream by the version that writes it: what two versions write doesn't fit together.
fn pieces_of(version: &str) -> u64 {
    if version == "1" { 20 } else { 12 }
}

/// The pause between two events, which is within the sheet's 300 ms.
const PAUSE: Duration = Duration::from_millis(100);

/// `Deadline-Ms` and `TimeoutMs` of the route, as on the sheet.
const DEADLINE: Duration = Duration::from_millis(6_000);

/// Consumers, each with one stream at a time.
const CONSUMERS: usize = 30;

fn manifest() -> String {
    let service =
        |name: &str| format!("{{\"Name\":\"{name}\",\"HealthPath\":\"/health\",\"MaxConnections\":360}}");
    format!(
        "{{\"Version\":7,\"Routes\":[{{\"Name\":\"template-audit\",\"Host\":\"{HOST}\",\"PathPrefix\":\"/audit/\",\
         \"Kind\":\"stream\",\"TimeoutMs\":6000,\"TargetLatencyMs\":800,\"Priority\":2,\
         \"TrafficSplit\":[{{\"Service\":\"lienzo-lm\",\"Weight\":50}},{{\"Service\":\"lienzo-lm-next\",\"Weight\":50}}],\
         \"MaxAttempts\":2,\"Anonymous\":false,\"Sticky\":true,\"Resumable\":true,\"GapTargetMs\":300}}],\
         \"Services\":[{},{}],\"Limits\":{{\"MaxHeaderBytes\":16384,\"MaxBodyBytes\":262144,\
         \"HeaderTimeoutMs\":3000,\"IdleTimeoutMs\":15000}},\"Tenants\":[{{\"Name\":\"hule930\",\"ApiKeys\":[\"{KEY}\"]}}]}}",
        service("lienzo-lm"),
        service("lienzo-lm-next"),
    )
}

/// Starts a runner that answers each request with a stream of numbered pieces; a request with `Last-Event-Id` gets those
/// after it.
fn start_runner(id: &str, version: &'static str, record: &Record) -> io::Result<SocketAddr> {
    let listener = TcpListener::bind("127.0.0.1:0")?;
    let address = listener.local_addr()?;
    let (id, record) = (id.to_owned(), record.clone());
    http::serve(listener, move |request, stream| {
        let attempt = request.header("Attempt-Id").unwrap_or_default().to_owned();
        let headers = [("Attempt-Id", attempt.as_str()), ("Instance-Id", id.as_str())];
        if request.path == "/health" {
            return http::respond(stream, "200 OK", &headers, b"");
        }
        let not_executed = [headers[0], headers[1], ("Not-Executed", "1")];
        if request
            .header("Expect-Instance")
            .is_some_and(|expected| expected != id)
        {
            return http::respond(stream, "421 Misdirected Request", &not_executed, b"");
        }
        if attempt.is_empty() {
            return http::respond(stream, "400 Bad Request", &not_executed, b"");
        }
        let last: u64 = request
            .header("Last-Event-Id")
            .and_then(|text| text.parse().ok())
            .unwrap_or(0);
        record.line(format!(
            "runner {id} (version {version}): runs {attempt} after event {last}"
        ));
        let head = format!(
            "HTTP/1.1 200 OK\r\nAttempt-Id: {attempt}\r\nResponse-Seal: {id}.{attempt}\r\n\
             Content-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n"
        );
        if stream.write_all(head.as_bytes()).is_err() {
            return false;
        }
        for piece in last + 1..=pieces_of(version) {
            thread::sleep(PAUSE);
            let event = format!("id: {piece}\ndata: piece {piece} of version {version}\n\n");
            let chunk = format!("{:x}\r\n{event}\r\n", event.len());
            if stream.write_all(chunk.as_bytes()).is_err() {
                record.line(format!(
                    "runner {id}: {attempt} is dropped, its channel has closed"
                ));
                return false;
            }
        }
        stream.write_all(b"0\r\n\r\n").is_ok()
    });
    Ok(address)
}

/// One stream as its consumer has it, over all attempts.
#[derive(Debug, Default)]
struct Heard {
    attempts: Vec<String>,
    /// Number of each piece, and the version that its text names.
    pieces: Vec<(u64, String)>,
    is_complete: bool,
}

/// Reads events until the stream ends; true if it ends as complete.
fn read_events(channel: &mut Channel, heard: &mut Heard) -> io::Result<bool> {
    let mut text = String::new();
    loop {
        let Some(chunk) = channel.chunk()? else {
            return Ok(true);
        };
        text.push_str(&String::from_utf8_lossy(&chunk));
        while let Some((event, rest)) = text.split_once("\n\n") {
            let field = |name: &str| event.lines().find_map(|line| line.strip_prefix(name));
            let id = field("id: ").and_then(|id| id.parse().ok()).unwrap_or(0);
            let version = field("data: ")
                .and_then(|data| data.rsplit(' ').next())
                .unwrap_or("-");
            heard.pieces.push((id, version.to_owned()));
            text = rest.to_owned();
        }
    }
}

/// Sends one attempt and reads its answer; true if the stream is complete.
fn attempt(front: SocketAddr, attempt: &str, time_left: Duration, heard: &mut Heard) -> io::Result<bool> {
    let stream = TcpStream::connect_timeout(&front, time_left.min(Duration::from_secs(1)))?;
    stream.set_nodelay(true)?;
    // A consumer leaves a stream after a gap of four times the objective.
    stream.set_read_timeout(Some(time_left.min(Duration::from_millis(3_200))))?;
    let last = heard.pieces.last().map(|(id, _)| *id);
    // `Resumes` names the attempt that brought the first event, as the bench's consumers tell it.
    let first = heard.attempts.first().map_or("", String::as_str);
    let resumed = last.map_or_else(String::new, |id| {
        format!("Last-Event-Id: {id}\r\nResumes: {first}\r\n")
    });
    let body = "{\"prompt\":\"check the template\"}";
    let head = format!(
        "POST /audit/2f HTTP/1.1\r\nHost: {HOST}\r\nAttempt-Id: {attempt}\r\n{resumed}Model: m\r\n\
         Token-Counts: 400,80\r\nPrompt-Prefix: 5c1e07a2:300,{attempt}:100\r\nDeadline-Ms: {}\r\n\
         Authorization: Bearer {KEY}\r\nContent-Length: {}\r\n\r\n{body}",
        time_left.as_millis(),
        body.len()
    );
    let mut channel = Channel::new(stream);
    channel.stream.write_all(head.as_bytes())?;
    let (status, _) = channel.response_head()?;
    if status != 200 {
        return Err(io::Error::other(format!("status {status}")));
    }
    read_events(&mut channel, heard)
}

/// Streams until the run is over; a broken stream is taken up again once.
fn consume(
    directories: &[SocketAddr],
    zone: &str,
    next: &AtomicU64,
    is_over: &AtomicBool,
    record: &Record,
) -> Vec<Heard> {
    let mut all = Vec::new();
    let mut round = next.fetch_add(1, Ordering::SeqCst) as usize;
    let mut failed: Vec<SocketAddr> = Vec::new();
    while !is_over.load(Ordering::SeqCst) {
        let started = Instant::now();
        let mut heard = Heard::default();
        let mut tries = 0;
        while tries < 2 && started.elapsed() < DEADLINE {
            round += 1;
            let found = (0..directories.len())
                .map(|step| Crowd::resolve(directories[(round + step) % directories.len()], zone))
                .find(|found| !found.is_empty())
                .unwrap_or_default();
            let fresh: Vec<_> = found
                .into_iter()
                .filter(|address| !failed.contains(address))
                .collect();
            let Some(front) = fresh.get(round % fresh.len().max(1)) else {
                failed.clear();
                thread::sleep(Duration::from_millis(100));
                continue;
            };
            tries += 1;
            let id = format!(
                "{:08x}{:08x}",
                std::process::id(),
                next.fetch_add(1, Ordering::SeqCst)
            );
            heard.attempts.push(id.clone());
            let after = heard.pieces.last().map_or(0, |(id, _)| *id);
            record.line(format!("client: sends {id} to {front}, after event {after}"));
            let time_left = DEADLINE.saturating_sub(started.elapsed());
            let result = attempt(*front, &id, time_left, &mut heard);
            record.line(format!(
                "client: {id} ends: {result:?}, has {} pieces",
                heard.pieces.len()
            ));
            match result {
                Ok(is_complete) => {
                    heard.is_complete = is_complete;
                    break;
                }
                Err(_) => {
                    if failed.len() + 1 < directories.len() {
                        failed.push(*front);
                    }
                }
            }
        }
        if heard.is_complete {
            failed.clear();
        }
        all.push(heard);
    }
    all
}

/// All instances are killed at the same moment and start again. The consumers take up their streams.
pub fn joined(setup: &Setup) -> io::Result<Verdict> {
    let record = &setup.record;
    let store = Store::start(record)?;
    let cloud = Cloud::start(record)?;
    store.put("keyed.op", "config", &manifest());
    for (service, version) in [("lienzo-lm", "1"), ("lienzo-lm-next", "2")] {
        for (at, zone) in ZONES.iter().enumerate() {
            let id = format!("i-{version}{at:03}");
            let address = start_runner(&id, version, record)?;
            let entry = format!(
                "{{\"Service\":\"{service}\",\"Address\":\"{address}\",\"Zone\":\"{zone}\",\"Version\":\"{version}\",\
                 \"Slots\":64,\"State\":\"ready\",\"ColdLeftMs\":0,\"Sequence\":1,\"born\":{}}}",
                unix_ms()
            );
            store.put("keyed.servers", &id, &entry);
        }
    }
    let places = Places {
        store: store.address,
        cloud: cloud.address,
    };
    let names = [
        ("edge-scl-a-1", ZONES[0]),
        ("edge-scl-b-1", ZONES[1]),
        ("edge-scl-c-1", ZONES[2]),
    ];
    let mut fleet = Fleet::new(&setup.program, &names, places, record)?;
    for at in 0..names.len() {
        fleet.start(at, true)?;
    }
    if !fleet.wait_ready(Duration::from_secs(10)) {
        return Err(io::Error::other("the instances did not become ready"));
    }
    thread::sleep(Duration::from_secs(5));
    let directories: Vec<SocketAddr> = fleet
        .instances
        .iter()
        .map(|instance| instance.directory())
        .collect();
    let (next, is_over) = (Arc::new(AtomicU64::new(0)), Arc::new(AtomicBool::new(false)));
    let heard: Arc<Mutex<Vec<Heard>>> = Arc::default();
    let mut consumers = Vec::new();
    for at in 0..CONSUMERS {
        let (next, is_over, heard) = (Arc::clone(&next), Arc::clone(&is_over), Arc::clone(&heard));
        let (directories, record) = (directories.clone(), record.clone());
        consumers.push(thread::spawn(move || {
            let own = consume(&directories, ZONES[at % ZONES.len()], &next, &is_over, &record);
            heard.lock().unwrap_or_else(|err| err.into_inner()).extend(own);
        }));
        thread::sleep(Duration::from_millis(70));
    }
    thread::sleep(Duration::from_secs(6));
    if setup.has_trouble {
        for at in 0..names.len() {
            fleet.kill(at);
        }
        thread::sleep(Duration::from_secs(1));
        for at in 0..names.len() {
            fleet.start(at, false)?;
        }
    }
    thread::sleep(Duration::from_secs(8));
    is_over.store(true, Ordering::SeqCst);
    for consumer in consumers {
        let _ = consumer.join();
    }
    let heard = heard.lock().unwrap_or_else(|err| err.into_inner());
    let mut faults = Vec::new();
    let (mut complete, mut taken_up) = (0, 0);
    for stream in heard.iter() {
        let mut versions: BTreeMap<&str, Vec<u64>> = BTreeMap::new();
        for (id, version) in &stream.pieces {
            versions.entry(version).or_default().push(*id);
        }
        taken_up += u64::from(stream.attempts.len() > 1 && stream.is_complete);
        complete += u64::from(stream.is_complete);
        let is_ordered = stream
            .pieces
            .iter()
            .enumerate()
            .all(|(at, (id, _))| *id == at as u64 + 1);
        if !is_ordered {
            faults.push(format!("a piece is missing or comes twice: {stream:?}"));
        }
        let Some((_, began_at)) = stream.pieces.first().filter(|_| stream.is_complete) else {
            continue;
        };
        let (has, wanted) = (stream.pieces.len() as u64, pieces_of(began_at));
        let attempts = stream.attempts.join(" then ");
        if has < wanted {
            faults.push(format!(
                "{attempts} began at version {began_at} and ended as complete after {has} of its {wanted} pieces"
            ));
        }
        if stream.is_complete && versions.len() > 1 {
            let parts: Vec<String> = versions
                .iter()
                .map(|(version, ids)| {
                    format!("pieces {} to {} of version {version}", ids[0], ids[ids.len() - 1])
                })
                .collect();
            faults.push(format!(
                "{attempts} was answered 200 and joined of {}",
                parts.join(" and ")
            ));
        }
    }
    record.say(format!(
        "streams: {}, complete: {complete}, complete after a take-up: {taken_up}, faults: {}",
        heard.len(),
        faults.len()
    ));
    Ok(if faults.is_empty() {
        Verdict::Held
    } else {
        Verdict::Broken(faults)
    })
}
