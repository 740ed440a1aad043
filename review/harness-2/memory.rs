//! Clients whose prompts name very many parts, each without tokens of its own.
//!
//! Three machines, a model service with two runners of each stage, and the booking application. The platform kills a process
//! that exceeds the memory of its machine and starts it again a second later. Without the disruption the same clients send
//! as many requests with prompts of two parts.

use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::time::{Duration, Instant};

use crate::fleet::{MEMORY_MB, Machine, PlatformAddresses};
use crate::http::Client;
use crate::platform::{Store, start_duties};
use crate::runner::Runner;
use crate::{Run, Verdict, record};

const HOST: &str = "copydesk.example";
const KEY: &str = "key-of-the-agency";

/// Longest run of the clients.
const LENGTH: Duration = Duration::from_secs(85);

/// Connections of unruly clients to each machine, and the pause of each after an answer.
const UNRULY_CONNECTIONS: usize = 6;
const UNRULY_PAUSE: Duration = Duration::from_millis(20);

/// Pause of an ordinary client.
const ORDINARY_PAUSE: Duration = Duration::from_millis(100);

/// Length of the longest field that the clients send, in bytes; the manifest allows heads of 16,384 bytes.
const PREFIX_BYTES: usize = 15_000;

/// Ends of processes that break the rule, and the machines on which they must happen at least.
const ENDS: usize = 3;
const MACHINES: usize = 2;

pub const MANIFEST: &str = r#"{"Version":7,"Routes":[
{"Name":"slogan-draft","Host":"copydesk.example","PathPrefix":"/slogan/","Kind":"stream","TimeoutMs":6000,"TargetLatencyMs":500,"Priority":0,"Service":"copydesk-llm","MaxAttempts":2,"Anonymous":false,"Sticky":true,"Resumable":true,"GapTargetMs":300},
{"Name":"face-booking","Host":"copydesk.example","PathPrefix":"/booking/","Kind":"non_idempotent","TimeoutMs":800,"TargetLatencyMs":100,"Priority":2,"Service":"booking-app","MaxAttempts":1,"Anonymous":false,"Sticky":false,"Resumable":false},
{"Name":"face-lookup","Host":"copydesk.example","PathPrefix":"/lookup/","Kind":"idempotent","TimeoutMs":800,"TargetLatencyMs":100,"Priority":2,"Service":"booking-app","MaxAttempts":2,"Anonymous":false,"Sticky":false,"Resumable":false}],
"Services":[{"Name":"copydesk-llm","HealthPath":"/health","MaxConnections":370,"Protocol":"h1","Tls":false,"Engine":{"Slots":64,"KvTokens":407221,"KvBytes":18432,"LinkMbps":180000.0,"Moves":true,"Backups":true,"Stride":8,"most":12,"HandleTtlS":5.0,"SwitchS":3.0,"PinMs":4000.0,"HoldMs":2000.0,"Models":[{"Name":"m"}]}},
{"Name":"booking-app","HealthPath":"/health","MaxConnections":110,"Protocol":"h1","Tls":false}],
"Limits":{"MaxHeaderBytes":16384,"MaxBodyBytes":4194304,"HeaderTimeoutMs":3000,"IdleTimeoutMs":15000},
"Tenants":[{"Name":"agency","ApiKeys":["key-of-the-agency"],"Priority":1}]}"#;

const ZONES: [&str; 3] = ["pest-a", "pest-b", "pest-c"];

#[derive(Default)]
struct Counts {
    sent: AtomicU64,
    served: AtomicU64,
    refused: AtomicU64,
    failed: AtomicU64,
}

impl Counts {
    fn add(&self, status: Option<u16>) {
        self.sent.fetch_add(1, Ordering::Relaxed);
        let counter = match status {
            Some(200) => &self.served,
            Some(_) => &self.refused,
            None => &self.failed,
        };
        counter.fetch_add(1, Ordering::Relaxed);
    }

    fn text(&self) -> String {
        let number = |counter: &AtomicU64| counter.load(Ordering::Relaxed);
        format!(
            "sent {}, served {}, refused {}, without an answer {}",
            number(&self.sent),
            number(&self.served),
            number(&self.refused),
            number(&self.failed)
        )
    }
}

/// Prompt parts of one request; each names ids that no other request has.
fn prompt(number: u64, is_unruly: bool) -> (String, String) {
    if !is_unruly {
        return ("1460,4".to_owned(), format!("5c1e07a2:1050,{:x}:410", number + 1));
    }
    let mut text = String::with_capacity(PREFIX_BYTES + 16);
    let mut id = number * 4_000;
    while text.len() < PREFIX_BYTES {
        text.push_str(&format!("{id:x}:0,"));
        id += 1;
    }
    text.push_str(&format!("{id:x}:0"));
    ("1000,4".to_owned(), text)
}

fn send_prompts(front: SocketAddr, is_unruly: bool, stop: &AtomicBool, number: &AtomicU64, counts: &Counts) {
    let mut client = Client::new(front, Duration::from_secs(6));
    while !stop.load(Ordering::Relaxed) {
        let number = number.fetch_add(1, Ordering::Relaxed);
        let (tokens, parts) = prompt(number, is_unruly);
        let attempt = format!("p{number}");
        let key = format!("Bearer {KEY}");
        let fields = [
            ("Host", HOST),
            ("Attempt-Id", &attempt),
            ("Authorization", &key),
            ("Deadline-Ms", "6000"),
            ("Model", "m"),
            ("Token-Counts", &tokens),
            ("Prompt-Prefix", &parts),
        ];
        let answer = client.send("POST", "/slogan/x", &fields, b"a prompt");
        counts.add(answer.ok().map(|answer| answer.status));
        std::thread::sleep(UNRULY_PAUSE);
    }
}

fn send_lookups(front: SocketAddr, stop: &AtomicBool, number: &AtomicU64, counts: &Counts) {
    let mut client = Client::new(front, Duration::from_millis(1_500));
    while !stop.load(Ordering::Relaxed) {
        let attempt = format!("l{}", number.fetch_add(1, Ordering::Relaxed));
        let key = format!("Bearer {KEY}");
        let fields = [
            ("Host", HOST),
            ("Attempt-Id", &attempt),
            ("Authorization", &key),
            ("Deadline-Ms", "1500"),
        ];
        let answer = client.send("GET", "/lookup/x", &fields, b"");
        counts.add(answer.ok().map(|answer| answer.status));
        std::thread::sleep(ORDINARY_PAUSE);
    }
}

pub fn run(run: &Run) -> Verdict {
    match play(run) {
        Ok(verdict) => verdict,
        Err(err) => Verdict::NotRun(err.to_string()),
    }
}

fn play(run: &Run) -> std::io::Result<Verdict> {
    let store = Arc::new(Store::default());
    store.put("keyed.op", "config", MANIFEST);
    for (at, stage) in ["prefill", "prefill", "decode", "decode"].into_iter().enumerate() {
        Runner::start(&store, &format!("i-llm{at}"), "copydesk-llm", ZONES[at % 3], Some(stage))?;
    }
    for at in 0..3 {
        Runner::start(&store, &format!("i-app{at}"), "booking-app", ZONES[at % 3], None)?;
    }
    let (store_address, _) = store.listen()?;
    let addresses = PlatformAddresses {
        store: store_address,
        duties: start_duties()?,
    };
    let names = ["edge-pest-a-1", "edge-pest-b-1", "edge-pest-c-1"];
    let mut machines: Vec<Machine> = names
        .iter()
        .enumerate()
        .map(|(at, name)| Machine::new(name, at as u8 + 1, &run.folder))
        .collect();
    let seeds: Vec<_> = machines.iter().map(|machine| machine.ip).collect();
    for (at, machine) in machines.iter_mut().enumerate() {
        machine.start(ZONES[at], &seeds, addresses, true)?;
    }
    if !machines.iter().all(|machine| machine.wait_ready(Duration::from_secs(15))) {
        return Ok(Verdict::NotRun("a machine did not become ready".to_owned()));
    }
    std::thread::sleep(Duration::from_secs(1));
    record::line("all machines are ready; clients begin");

    let stop = Arc::new(AtomicBool::new(false));
    let number = Arc::new(AtomicU64::new(1));
    let prompts: Vec<Arc<Counts>> = machines.iter().map(|_| Arc::default()).collect();
    let lookups: Vec<Arc<Counts>> = machines.iter().map(|_| Arc::default()).collect();
    let mut clients = Vec::new();
    for (at, machine) in machines.iter().enumerate() {
        let front = machine.front();
        for _ in 0..UNRULY_CONNECTIONS {
            let (stop, number, counts) = (Arc::clone(&stop), Arc::clone(&number), Arc::clone(&prompts[at]));
            let is_unruly = run.has_trouble;
            clients.push(std::thread::spawn(move || {
                send_prompts(front, is_unruly, &stop, &number, &counts);
            }));
        }
        let (stop, number, counts) = (Arc::clone(&stop), Arc::clone(&number), Arc::clone(&lookups[at]));
        clients.push(std::thread::spawn(move || send_lookups(front, &stop, &number, &counts)));
    }

    let started = Instant::now();
    let mut ends = vec![0_usize; machines.len()];
    let mut peaks = vec![0_u64; machines.len()];
    let mut due: Vec<Option<Instant>> = vec![None; machines.len()];
    let mut noted_at = Instant::now();
    let is_broken = |ends: &[usize]| {
        ends.iter().sum::<usize>() >= ENDS && ends.iter().filter(|count| **count > 0).count() >= MACHINES
    };
    while started.elapsed() < LENGTH && !is_broken(&ends) {
        std::thread::sleep(Duration::from_millis(20));
        for (at, machine) in machines.iter_mut().enumerate() {
            if let Some(time) = due[at] {
                if Instant::now() >= time {
                    machine.start(ZONES[at], &seeds, addresses, false)?;
                    due[at] = None;
                }
                continue;
            }
            let memory = machine.memory().unwrap_or_default();
            peaks[at] = peaks[at].max(memory);
            let is_over = memory > MEMORY_MB * 1_000_000;
            if is_over || machine.has_ended() {
                ends[at] += 1;
                record::line(&format!(
                    "{}: {} bytes of {MEMORY_MB} MB; the process ends (over the limit: {is_over}); prompts: {}; lookups: {}",
                    machine.name,
                    memory,
                    prompts[at].text(),
                    lookups[at].text()
                ));
                machine.kill();
                due[at] = Some(Instant::now() + Duration::from_secs(1));
            }
        }
        if noted_at.elapsed() >= Duration::from_secs(5) {
            noted_at = Instant::now();
            let memory: Vec<u64> = machines.iter().map(|machine| machine.memory().unwrap_or_default() / 1_000_000).collect();
            record::line(&format!("memory in MB: {memory:?}"));
        }
    }
    stop.store(true, Ordering::Relaxed);
    for client in clients {
        let _ = client.join();
    }
    for at in 0..machines.len() {
        record::line(&format!(
            "{}: ends {}, highest memory {} bytes; prompts: {}; lookups: {}",
            machines[at].name,
            ends[at],
            peaks[at],
            prompts[at].text(),
            lookups[at].text()
        ));
    }
    let served: u64 = prompts.iter().map(|counts| counts.served.load(Ordering::Relaxed)).sum();
    if served < 100 {
        return Ok(Verdict::NotRun("hardly any prompt was served".to_owned()));
    }
    Ok(if is_broken(&ends) { Verdict::Broken } else { Verdict::Held })
}
