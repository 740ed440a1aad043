//! Clients that stall, send in tiny pieces, pipeline or don't read, at all addresses of an instance in a real process
//! with 120 MB, beside ordinary callers.

use std::io::ErrorKind;
use std::net::{IpAddr, Ipv4Addr, SocketAddr};
use std::process::{Child, Command, Stdio};
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, AtomicU8, Ordering};
use std::time::{Duration, Instant};

use futures::future::join_all;
use marigoldlock_fleet::site::until;
use marigoldlock_standin::site::{
    DutyStandin, FRONT_PORT, READINESS_PORT, SITE_HOST, SITE_KEY, SiteCaller, StoreStandin, UpstreamOptions,
    UpstreamStandin, instance_file_at, site_settings,
};
use rand::rngs::StdRng;
use rand::{Rng, SeedableRng};
use serde_json::json;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpStream;
use tokio::task::JoinHandle;

/// Memory limit of the smallest machine, in megabytes.
const MEMORY_MB: u64 = 120;

/// File descriptors of the smallest machine.
const DESCRIPTORS: u64 = 3_075;

/// Largest body that the settings allow, in bytes.
const MAX_BODY_BYTES: usize = 4 << 20;

const METRICS_PORT: u16 = 9464;

const PEER_PORT: u16 = 7780;

/// Interval between two requests of the ordinary callers.
const CALL_INTERVAL: Duration = Duration::from_millis(40);

/// Longest time in which an ordinary request is answered: the deadline of the site's routes.
const CALL_TIMEOUT: Duration = Duration::from_secs(3);

/// An instance in a child process, in front of two upstreams.
struct SmallInstance {
    child: Child,
    ip: IpAddr,
    upstreams: Vec<UpstreamStandin>,
    _store: StoreStandin,
    _duties: DutyStandin,
    folder: std::path::PathBuf,
}

impl SmallInstance {
    async fn start() -> Self {
        static NUMBER: AtomicU8 = AtomicU8::new(1);
        let number = NUMBER.fetch_add(1, Ordering::Relaxed);
        let [a, b, ..] = std::process::id().to_le_bytes();
        let ip = IpAddr::from(Ipv4Addr::new(127, 16 + b % 200, a, number));
        let store = StoreStandin::start().await.unwrap();
        let duties = DutyStandin::start().await.unwrap();
        let mut upstreams = Vec::new();
        for id in ["a1", "a2"] {
            let options = UpstreamOptions {
                id: id.into(),
                service: "app".into(),
                zone: "a".into(),
                stage: None,
                version: "v1".into(),
            };
            let upstream = UpstreamStandin::start(options).await.unwrap();
            store.put_upstream(id, Some(&upstream.entry("ready")));
            upstreams.push(upstream);
        }
        let mut settings = site_settings(7);
        settings["Limits"]["MaxBodyBytes"] = MAX_BODY_BYTES.into();
        store.put_settings(&settings);
        let mut file = instance_file_at("small", ip, store.address(), duties.address());
        file["Bootstrap"] = true.into();
        file["Limits"] = json!({"MemoryMb": MEMORY_MB, "FileDescriptors": DESCRIPTORS, "CpuShare": 0.5});
        let folder =
            std::env::temp_dir().join(format!("marigoldlock-clients-{}-{number}", std::process::id()));
        std::fs::create_dir_all(&folder).unwrap();
        let path = folder.join("boot.json");
        std::fs::write(&path, file.to_string()).unwrap();
        let log = std::fs::File::create(folder.join("log")).unwrap();
        let child = Command::new(env!("CARGO_BIN_EXE_marigoldlock"))
            .args(["platform", "--settings-file"])
            .arg(&path)
            .env("RUST_LOG", "info")
            .stdin(Stdio::null())
            .stderr(log.try_clone().unwrap())
            .stdout(log)
            .spawn()
            .unwrap();
        let instance = Self {
            child,
            ip,
            upstreams,
            _store: store,
            _duties: duties,
            folder,
        };
        let caller = SiteCaller::new().unwrap();
        let started = Instant::now();
        loop {
            let answer = caller.send(instance.at(FRONT_PORT), "/look/x", "warm-up").await;
            if answer.is_ok_and(|answer| answer.status() == 200) {
                return instance;
            }
            assert!(started.elapsed() < Duration::from_secs(20), "the instance serves");
            tokio::time::sleep(Duration::from_millis(20)).await;
        }
    }

    fn at(&self, port: u16) -> SocketAddr {
        SocketAddr::new(self.ip, port)
    }

    /// Highest resident memory of the process so far, in bytes.
    fn peak_bytes(&self) -> u64 {
        let status = std::fs::read_to_string(format!("/proc/{}/status", self.child.id())).unwrap();
        let line = status.lines().find(|line| line.starts_with("VmHWM:"));
        let kilobytes = line.and_then(|line| line.split_whitespace().nth(1)).unwrap();
        kilobytes.parse::<u64>().unwrap() * 1024
    }

    /// Checks the memory, and that the process still runs and is ready.
    async fn assert_within_limits(&mut self, load: &str) {
        let peak = self.peak_bytes();
        println!("{load}: peak {:.1} MB", peak as f64 / 1e6);
        assert!(
            self.child.try_wait().unwrap().is_none(),
            "{load}: the process runs"
        );
        // Half of the memory is for what a small site doesn't have: the tables of a large fleet, many upstreams.
        assert!(peak < MEMORY_MB * 1_000_000 / 2, "{load}: peak {peak} bytes");
        let address = self.at(READINESS_PORT);
        until("the instance is ready", || {
            std::net::TcpStream::connect_timeout(&address, Duration::from_secs(1)).is_ok()
        })
        .await
        .unwrap();
        let url = format!("http://{address}/ready");
        let http = reqwest::Client::builder().no_proxy().build().unwrap();
        assert_eq!(http.get(url).send().await.unwrap().status(), 200);
    }
}

impl Drop for SmallInstance {
    fn drop(&mut self) {
        let _ = self.child.kill();
        let _ = self.child.wait();
        if std::thread::panicking() {
            println!("log of the instance: {}", self.folder.display());
        } else {
            let _ = std::fs::remove_dir_all(&self.folder);
        }
    }
}

/// Ordinary callers: one request per interval until they are stopped.
struct OrdinaryCallers {
    is_stopped: Arc<AtomicBool>,
    task: JoinHandle<(usize, usize, Duration)>,
}

impl OrdinaryCallers {
    fn start(front: SocketAddr) -> Self {
        let is_stopped = Arc::new(AtomicBool::new(false));
        let stopped = Arc::clone(&is_stopped);
        let task = tokio::spawn(async move {
            let caller = Arc::new(SiteCaller::new().unwrap());
            let mut calls = Vec::new();
            while !stopped.load(Ordering::Relaxed) {
                let caller = Arc::clone(&caller);
                let number = calls.len();
                calls.push(tokio::spawn(async move {
                    let started = Instant::now();
                    let path = if number % 2 == 0 { "/look/x" } else { "/book/x" };
                    let attempt = format!("ordinary-{number}");
                    let call = async {
                        let answer = caller.send(front, path, &attempt).await.ok()?;
                        let is_served = answer.status() == 200;
                        answer.bytes().await.ok()?;
                        Some(is_served)
                    };
                    let answer = tokio::time::timeout(CALL_TIMEOUT, call).await;
                    (answer.ok().flatten() == Some(true), started.elapsed())
                }));
                tokio::time::sleep(CALL_INTERVAL).await;
            }
            let sent = calls.len();
            let results: Vec<(bool, Duration)> = join_all(calls).await.into_iter().flatten().collect();
            let served = results.iter().filter(|(is_served, _)| *is_served).count();
            let mut times: Vec<Duration> = results.iter().map(|(_, time)| *time).collect();
            times.sort();
            (sent, served, times[times.len() * 99 / 100])
        });
        Self { is_stopped, task }
    }

    /// Stops the callers and checks that they were served.
    async fn assert_served(self, load: &str) {
        self.is_stopped.store(true, Ordering::Relaxed);
        let (sent, served, p99) = self.task.await.unwrap();
        println!(
            "{load}: {served} of {sent} ordinary requests served, p99 {} ms",
            p99.as_millis()
        );
        assert!(served * 100 >= sent * 95, "{load}: {served} of {sent} served");
    }
}

/// Connects and sends `bytes`; the connection stays open for as long as the result is held.
async fn send(address: SocketAddr, bytes: &[u8]) -> Option<TcpStream> {
    let mut stream = TcpStream::connect(address).await.ok()?;
    let sent = tokio::time::timeout(Duration::from_secs(2), stream.write_all(bytes)).await;
    // A connection that was closed or takes no more bytes stays open here.
    let _ = sent;
    Some(stream)
}

fn call_head(path: &str, key: &str, fields: &str) -> String {
    format!(
        "POST {path} HTTP/1.1\r\nHost: {SITE_HOST}\r\nAttempt-Id: hostile\r\nAuthorization: Bearer {key}\r\n\
         Deadline-Ms: 3000\r\n{fields}\r\n"
    )
}

/// Start of a request head of `bytes` bytes that is never completed.
fn partial_head(bytes: usize) -> Vec<u8> {
    let mut head = format!("GET /look/x HTTP/1.1\r\nHost: {SITE_HOST}\r\nX-Long: ").into_bytes();
    head.resize(bytes, b'a');
    head
}

/// Reads until the connection is closed or the time is over, and returns what arrived.
async fn read_all(stream: &mut TcpStream, timeout: Duration) -> (String, bool) {
    let mut content = Vec::new();
    let mut buffer = [0; 4096];
    let deadline = tokio::time::Instant::now() + timeout;
    loop {
        match tokio::time::timeout_at(deadline, stream.read(&mut buffer)).await {
            Err(_) => return (String::from_utf8_lossy(&content).into_owned(), false),
            Ok(Ok(0) | Err(_)) => return (String::from_utf8_lossy(&content).into_owned(), true),
            Ok(Ok(count)) => content.extend_from_slice(&buffer[..count]),
        }
    }
}

/// Guards against heads that stall and are kept: they grew a process from 9 MB to 168 MB, at any address.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn incomplete_heads_stay_within_the_memory_and_leave_room_for_callers() {
    let mut instance = SmallInstance::start().await;
    let callers = OrdinaryCallers::start(instance.at(FRONT_PORT));
    let head = partial_head(15 << 10);
    let addresses = [
        (FRONT_PORT, 900),
        (READINESS_PORT, 200),
        (METRICS_PORT, 150),
        (PEER_PORT, 150),
    ];
    let mut open = Vec::new();
    for (port, count) in addresses {
        for _ in 0..count / 50 {
            open.extend(join_all((0..50).map(|_| send(instance.at(port), &head))).await);
        }
    }
    tokio::time::sleep(Duration::from_secs(1)).await;
    callers.assert_served("incomplete heads").await;
    instance.assert_within_limits("incomplete heads").await;
}

/// Guards against bodies that stall just before their end, in large and in tiny pieces, and fill the memory.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn incomplete_bodies_stay_within_the_memory_and_leave_room_for_callers() {
    let mut instance = SmallInstance::start().await;
    let callers = OrdinaryCallers::start(instance.at(FRONT_PORT));
    let length = 3 << 20;
    let mut large = call_head("/book/x", SITE_KEY, &format!("Content-Length: {length}\r\n")).into_bytes();
    large.resize(large.len() + length - 1, b'b');
    let mut open = join_all((0..16).map(|_| send(instance.at(FRONT_PORT), &large))).await;
    // Chunks of one byte, many in a packet and over many packets.
    let chunked = call_head("/book/x", SITE_KEY, "Transfer-Encoding: chunked\r\n").into_bytes();
    let chunks = b"1\r\nc\r\n".repeat(500);
    let trickling = (0..300).map(|_| async {
        let mut stream = send(instance.at(FRONT_PORT), &chunked).await?;
        for _ in 0..10 {
            stream.write_all(&chunks).await.ok()?;
            tokio::time::sleep(Duration::from_millis(150)).await;
        }
        Some(stream)
    });
    open.extend(join_all(trickling).await);
    callers.assert_served("incomplete bodies").await;
    instance.assert_within_limits("incomplete bodies").await;
}

/// Guards against responses that pile up for clients that pipeline requests and don't read: 56 MB per connection.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn pipelined_requests_without_reading_stay_within_the_memory() {
    let mut instance = SmallInstance::start().await;
    let callers = OrdinaryCallers::start(instance.at(FRONT_PORT));
    let request = |path: &str| {
        let head =
            format!("GET {path} HTTP/1.1\r\nHost: {SITE_HOST}\r\nAuthorization: Bearer {SITE_KEY}\r\n\r\n");
        head.into_bytes().repeat(1_500)
    };
    let addresses = [
        (FRONT_PORT, "/look/x", 20),
        (FRONT_PORT, "/unknown/x", 60),
        (READINESS_PORT, "/ready", 40),
        (METRICS_PORT, "/metrics", 16),
    ];
    let loads = addresses.map(|(port, path, count)| {
        let (address, bytes) = (instance.at(port), request(path));
        async move { join_all((0..count).map(|_| send(address, &bytes))).await }
    });
    let open = join_all(loads).await;
    tokio::time::sleep(Duration::from_secs(2)).await;
    callers.assert_served("pipelined requests").await;
    instance.assert_within_limits("pipelined requests").await;
    drop(open);
}

/// Guards against limits that refuse what ordinary callers may send.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn a_body_of_the_largest_size_is_served_on_a_calm_small_machine() {
    let mut instance = SmallInstance::start().await;
    let fields = format!("Content-Length: {MAX_BODY_BYTES}\r\nConnection: close\r\n");
    let mut request = call_head("/book/x", SITE_KEY, &fields).into_bytes();
    let head_bytes = request.len();
    request.resize(head_bytes + MAX_BODY_BYTES, b'd');
    let mut stream = send(instance.at(FRONT_PORT), &request).await.unwrap();
    let (response, _) = read_all(&mut stream, Duration::from_secs(5)).await;
    assert!(response.starts_with("HTTP/1.1 200"), "{response}");
    let runs: Vec<_> = instance
        .upstreams
        .iter()
        .flat_map(UpstreamStandin::runs)
        .collect();
    let run = runs.iter().find(|run| run.attempt == "hostile").unwrap();
    assert!(
        run.body == request[head_bytes..],
        "the body arrives as it was sent"
    );
    instance.assert_within_limits("one large body").await;
}

/// Guards against bodies that are read although they can't be forwarded, and against refusals that come late.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn bodies_without_route_or_key_or_above_the_limit_are_refused_unread() {
    let instance = SmallInstance::start().await;
    let front = instance.at(FRONT_PORT);
    let length = format!("Content-Length: {MAX_BODY_BYTES}\r\n");
    let too_long = format!("Content-Length: {}\r\n", MAX_BODY_BYTES + 1);
    for (path, key, fields, status) in [
        ("/unknown/x", SITE_KEY, &length, "404"),
        ("/book/x", "no-such-key", &length, "401"),
        ("/book/x", SITE_KEY, &too_long, "413"),
    ] {
        let mut stream = send(front, call_head(path, key, fields).as_bytes())
            .await
            .unwrap();
        let started = Instant::now();
        let (response, is_closed) = read_all(&mut stream, Duration::from_secs(2)).await;
        assert!(response.starts_with(&format!("HTTP/1.1 {status}")), "{response}");
        assert!(
            is_closed && started.elapsed() < Duration::from_secs(1),
            "{path}: closed at once"
        );
    }
    let fields: String = (0..200).map(|number| format!("A{number}: b\r\n")).collect();
    let mut stream = send(front, call_head("/book/x", SITE_KEY, &fields).as_bytes())
        .await
        .unwrap();
    let (response, is_closed) = read_all(&mut stream, Duration::from_secs(2)).await;
    assert!(response.starts_with("HTTP/1.1 431") && is_closed, "{response}");
}

/// Guards against the wrong timeout: heads that had begun were awaited for three idle timeouts, and a body for ever. A
/// connection without a request stays open.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn stalled_heads_and_bodies_end_in_time_and_idle_connections_stay() {
    let instance = SmallInstance::start().await;
    let front = instance.at(FRONT_PORT);
    let whole =
        format!("GET /look/x HTTP/1.1\r\nHost: {SITE_HOST}\r\nAuthorization: Bearer {SITE_KEY}\r\n\r\n");
    let mut idle = send(front, whole.as_bytes()).await.unwrap();
    let mut silent = TcpStream::connect(front).await.unwrap();
    let mut head = send(front, &partial_head(100)).await.unwrap();
    // A head that begins after a complete request is timed as well.
    let mut second = send(front, whole.as_bytes()).await.unwrap();
    tokio::time::sleep(Duration::from_millis(200)).await;
    second.write_all(&partial_head(100)).await.unwrap();
    let stalled = call_head("/book/x", SITE_KEY, "Content-Length: 100\r\n") + "half";
    let mut body = send(front, stalled.as_bytes()).await.unwrap();
    let limit = Duration::from_millis(4_500);
    let started = Instant::now();
    let ((idle_response, is_idle_closed), (_, is_silent_closed), head, second, body) = tokio::join!(
        read_all(&mut idle, limit),
        read_all(&mut silent, limit),
        async { (read_all(&mut head, limit).await, started.elapsed()) },
        async { (read_all(&mut second, limit).await, started.elapsed()) },
        async { (read_all(&mut body, limit).await, started.elapsed()) },
    );
    assert!(idle_response.starts_with("HTTP/1.1 200"));
    assert!(
        !is_idle_closed && !is_silent_closed,
        "connections without a request stay"
    );
    for (what, ((_, is_closed), elapsed)) in [("head", &head), ("second head", &second), ("body", &body)] {
        assert!(*is_closed, "{what} is closed");
        assert!(
            *elapsed > Duration::from_millis(2_500),
            "{what} had its time: {elapsed:?}"
        );
    }
    assert!(body.0.0.starts_with("HTTP/1.1 503"), "{}", body.0.0);
    assert!(body.0.0.contains("retry-after"), "{}", body.0.0);
    let runs: Vec<_> = instance
        .upstreams
        .iter()
        .flat_map(UpstreamStandin::runs)
        .collect();
    assert!(
        runs.iter().all(|run| run.attempt != "hostile"),
        "the refused request has not run"
    );
    idle.write_all(whole.as_bytes()).await.unwrap();
    let mut start = [0; 12];
    idle.read_exact(&mut start).await.unwrap();
    assert_eq!(&start, b"HTTP/1.1 200");
    match silent.try_read(&mut start) {
        Err(err) => assert_eq!(err.kind(), ErrorKind::WouldBlock),
        Ok(count) => panic!("the silent connection got {count} bytes"),
    }
}

/// Pieces of which the malformed requests are made.
const PIECES: [&str; 24] = [
    "GET /look/x HTTP/1.1\r\n",
    "POST /book/x HTTP/1.1\r\n",
    "POST /draft/x HTTP/1.0\r\n",
    "PRI * HTTP/2.0\r\n\r\nSM\r\n\r\n",
    "Host: site.example\r\n",
    "Authorization: Bearer key-acme\r\n",
    "Attempt-Id: malformed\r\n",
    "Content-Length: 5\r\n",
    "Content-Length: -1\r\n",
    "Content-Length: 99999999999999999999\r\n",
    "Content-Length: 4194305\r\n",
    "Transfer-Encoding: chunked\r\n",
    "Transfer-Encoding: gzip, chunked\r\n",
    "Expect: 100-continue\r\n",
    "Connection: close\r\n",
    "Deadline-Ms: 300\r\n",
    "\r\n",
    "\r\n",
    "5\r\nhello\r\n",
    "0\r\n\r\n",
    "ffffffffffffffff\r\n",
    "5;extension=\r\n",
    "\0\u{7f}: \n",
    "hello",
];

/// Guards against requests whose head, length or chunks are invalid and that end the process or keep a connection open.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn malformed_requests_are_answered_or_closed() {
    const SEED: u64 = 20_261_205;
    const REQUESTS: usize = 400;
    let mut instance = SmallInstance::start().await;
    let mut random = StdRng::seed_from_u64(SEED);
    let ports = [FRONT_PORT, READINESS_PORT, METRICS_PORT, PEER_PORT];
    let requests: Vec<(SocketAddr, String)> = (0..REQUESTS)
        .map(|number| {
            let pieces =
                (0..random.random_range(1..12)).map(|_| PIECES[random.random_range(0..PIECES.len())]);
            // Half of the requests begin as valid ones do.
            let start = if number % 2 == 0 {
                [PIECES[1], PIECES[4], PIECES[5]].concat()
            } else {
                String::new()
            };
            let content = start + &pieces.collect::<Vec<_>>().concat();
            (instance.at(ports[number % ports.len()]), content)
        })
        .collect();
    let results = requests.iter().map(|(address, content)| async move {
        let mut stream = send(*address, content.as_bytes()).await.unwrap();
        let (response, is_closed) = read_all(&mut stream, Duration::from_millis(4_500)).await;
        is_closed || response.starts_with("HTTP/1.")
    });
    let open: Vec<_> = join_all(results)
        .await
        .into_iter()
        .zip(&requests)
        .filter(|(is_over, _)| !is_over)
        .collect();
    assert!(
        open.is_empty(),
        "seed {SEED}: neither answered nor closed: {open:?}"
    );
    let caller = SiteCaller::new().unwrap();
    let answer = caller
        .send(instance.at(FRONT_PORT), "/book/x", "after")
        .await
        .unwrap();
    assert_eq!(answer.status(), 200);
    instance.assert_within_limits("malformed requests").await;
}
