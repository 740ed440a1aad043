//! A part of prompts that crashes each runner which begins to write an answer on it, far back in long prompts.
//!
//! Three machines and eight model runners as processes of their own: a crash ends the process, and it is started again three
//! seconds later at its address. Sound prompts share their key, their first part and their other parts with those that crash.
//! Without the disruption the same requests come without that part.

use std::io::{BufRead, BufReader, Result};
use std::net::TcpListener;
use std::process::{Child, Command, Stdio};
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

use crate::fleet::{Machine, PlatformAddresses};
use crate::http::Client;
use crate::memory::MANIFEST;
use crate::platform::{Store, start_duties};
use crate::runner::DEADLY_PART;
use crate::{Run, Verdict, record};

const LENGTH: Duration = Duration::from_secs(40);

/// Time for which only sound requests are sent at first.
const CALM: Duration = Duration::from_secs(10);

/// Time for which requests with the part are sent.
const TROUBLED: Duration = Duration::from_secs(20);

/// Time after a crash until the runner is back.
const DOWN: Duration = Duration::from_secs(3);

/// `ContactMs` of the settings.
const CONTACT: Duration = Duration::from_millis(3_000);

/// Crashes after which the rule counts, and the requests that it allows from `ContactMs` after the last of them.
const CRASHES: usize = 5;
const ALLOWED: usize = 3;

/// Shared parts of a prompt, and the place of the one that crashes; `PLACE` in the environment changes it.
const SHARED_PARTS: usize = 20;
const PLACE: usize = 17;

/// Pause between two requests with the part, and between two sound ones, of each machine's clients.
const DEADLY_PAUSE: Duration = Duration::from_millis(4_000);
const SOUND_PAUSE: Duration = Duration::from_millis(100);
const SOUND_CLIENTS: usize = 3;

const ZONES: [&str; 3] = ["pest-a", "pest-b", "pest-c"];

const STAGES: [&str; 8] = [
    "prefill", "prefill", "decode", "decode", "decode", "decode", "decode", "decode",
];

/// What the runners told.
#[derive(Default)]
struct Events {
    crashes: Vec<Instant>,
    /// Runs of requests with the part: the attempt, and when it reached a runner.
    deadly_runs: Vec<(String, Instant)>,
}

/// A runner's process and its entry.
struct Engine {
    id: String,
    zone: &'static str,
    port: u16,
    stage: Mutex<String>,
    sequence: AtomicU64,
    process: Mutex<Option<Child>>,
}

impl Engine {
    fn register(&self, store: &Store, born_ms: u128) {
        let entry = format!(
            "{{\"Service\":\"copydesk-llm\",\"Address\":\"127.0.0.1:{}\",\"Zone\":\"{}\",\"Version\":\"v1\",\"Slots\":64,\
             \"State\":\"ready\",\"ColdLeftMs\":0,\"Sequence\":{},\"born\":{born_ms},\"Stage\":\"{}\"}}",
            self.port,
            self.zone,
            self.sequence.fetch_add(1, Ordering::Relaxed),
            self.stage.lock().unwrap()
        );
        store.put("keyed.servers", &self.id, &entry);
    }

    /// Starts the process and follows what it tells until it ends.
    fn play(&self, store: &Store, events: &Mutex<Events>) -> Result<()> {
        let stage = self.stage.lock().unwrap().clone();
        let mut process = Command::new(std::env::current_exe()?)
            .args(["runner", &self.id, &self.port.to_string(), &stage])
            // The runner ends when this process does.
            .stdin(Stdio::piped())
            .stdout(Stdio::piped())
            .spawn()?;
        let born_ms = SystemTime::now().duration_since(UNIX_EPOCH).unwrap().as_millis();
        let output = process.stdout.take();
        *self.process.lock().unwrap() = Some(process);
        for line in output.into_iter().flat_map(|output| BufReader::new(output).lines()) {
            let line = line?;
            let words: Vec<&str> = line.split(' ').collect();
            match words[..] {
                ["ready"] => self.register(store, born_ms),
                ["stage", stage] => {
                    *self.stage.lock().unwrap() = stage.to_owned();
                    self.register(store, born_ms);
                }
                ["run", attempt, "deadly"] => {
                    record::line(&format!("{} begins to run {attempt}, which has the part", self.id));
                    let mut events = events.lock().unwrap();
                    events.deadly_runs.push((attempt.to_owned(), Instant::now()));
                }
                _ => {}
            }
        }
        Ok(())
    }

    fn kill(&self) {
        if let Some(mut process) = self.process.lock().unwrap().take() {
            let _ = process.kill();
            let _ = process.wait();
        }
    }
}

/// Prompt parts of one request: those that all share, with one that crashes at `place`, and its own.
fn prompt(number: u64, place: Option<usize>) -> String {
    let mut parts: Vec<String> = vec!["5c1e07a2:100".to_owned()];
    // Which of the other parts a request has differs from request to request.
    parts.extend((1..SHARED_PARTS as u64).map(|part| format!("{:x}:50", 0x9000 + part * 16 + number * 7 % 13)));
    if let Some(place) = place {
        parts[place] = format!("{DEADLY_PART}:50");
    }
    parts.push(format!("{:x}:100", 0x1000_0000 + number));
    parts.join(",")
}

#[derive(Default)]
struct Sound {
    sent: AtomicU64,
    whole: AtomicU64,
    refused: AtomicU64,
    cut: AtomicU64,
    /// When each was sent, and whether it was answered with a whole stream.
    results: Mutex<Vec<(Instant, bool)>>,
}

fn send(client: &mut Client, attempt: &str, parts: &str) -> Option<u16> {
    let fields = [
        ("Host", "copydesk.example"),
        ("Attempt-Id", attempt),
        ("Authorization", "Bearer key-of-the-agency"),
        ("Deadline-Ms", "6000"),
        ("Model", "m"),
        ("Token-Counts", "1150,4"),
        ("Prompt-Prefix", parts),
    ];
    let answer = client.send("POST", "/slogan/x", &fields, attempt.as_bytes());
    answer.ok().map(|answer| answer.status)
}

pub fn run(run: &Run) -> Verdict {
    match play(run) {
        Ok(verdict) => verdict,
        Err(err) => Verdict::NotRun(err.to_string()),
    }
}

fn play(run: &Run) -> Result<Verdict> {
    let place = std::env::var("PLACE").ok().and_then(|text| text.parse().ok()).unwrap_or(PLACE);
    let store = Arc::new(Store::default());
    store.put("keyed.op", "config", MANIFEST);
    let events = Arc::new(Mutex::new(Events::default()));
    let stop = Arc::new(AtomicBool::new(false));
    let mut engines = Vec::new();
    for (at, stage) in STAGES.iter().enumerate() {
        let port = TcpListener::bind("127.0.0.1:0")?.local_addr()?.port();
        engines.push(Arc::new(Engine {
            id: format!("i-llm{at}"),
            zone: ZONES[at % 3],
            port,
            stage: Mutex::new((*stage).to_owned()),
            sequence: AtomicU64::new(1),
            process: Mutex::new(None),
        }));
    }
    for (at, engine) in engines.iter().enumerate() {
        let (engine, store, events, stop) = (Arc::clone(engine), Arc::clone(&store), Arc::clone(&events), Arc::clone(&stop));
        std::thread::spawn(move || {
            while !stop.load(Ordering::Relaxed) {
                let _ = engine.play(&store, &events);
                if stop.load(Ordering::Relaxed) {
                    return;
                }
                record::line(&format!("{} crashes", engine.id));
                events.lock().unwrap().crashes.push(Instant::now());
                std::thread::sleep(DOWN);
                *engine.stage.lock().unwrap() = STAGES[at].to_owned();
            }
        });
    }
    let (address, _) = store.listen()?;
    let duties = start_duties()?;
    let mut machines: Vec<Machine> = ZONES
        .iter()
        .enumerate()
        .map(|(at, zone)| Machine::new(&format!("edge-{zone}-1"), at as u8 + 1, &run.folder))
        .collect();
    let seeds: Vec<_> = machines.iter().map(|machine| machine.ip).collect();
    for (at, machine) in machines.iter_mut().enumerate() {
        machine.start(ZONES[at], &seeds, PlatformAddresses { store: address, duties }, true)?;
    }
    let is_ready = machines.iter().all(|machine| machine.wait_ready(Duration::from_secs(15)));
    std::thread::sleep(Duration::from_secs(4));

    let epoch = Instant::now();
    let number = Arc::new(AtomicU64::new(1));
    let sound = Arc::new(Sound::default());
    let mut clients = Vec::new();
    for (at, machine) in machines.iter().enumerate() {
        let front = machine.front();
        for _ in 0..SOUND_CLIENTS {
            let (stop, number, sound) = (Arc::clone(&stop), Arc::clone(&number), Arc::clone(&sound));
            clients.push(std::thread::spawn(move || {
                let mut client = Client::new(front, Duration::from_secs(6));
                while !stop.load(Ordering::Relaxed) {
                    let number = number.fetch_add(1, Ordering::Relaxed);
                    let sent_at = Instant::now();
                    let status = send(&mut client, &format!("s{number}"), &prompt(number, None));
                    sound.sent.fetch_add(1, Ordering::Relaxed);
                    let counter = match status {
                        Some(200) => &sound.whole,
                        Some(_) => &sound.refused,
                        None => &sound.cut,
                    };
                    counter.fetch_add(1, Ordering::Relaxed);
                    sound.results.lock().unwrap().push((sent_at, status == Some(200)));
                    std::thread::sleep(SOUND_PAUSE);
                }
            }));
        }
        let number = Arc::clone(&number);
        let place = run.has_trouble.then_some(place);
        clients.push(std::thread::spawn(move || {
            std::thread::sleep(CALM + DEADLY_PAUSE * at as u32 / 3);
            while epoch.elapsed() < CALM + TROUBLED {
                let number = number.fetch_add(1, Ordering::Relaxed);
                let sent_at = Instant::now();
                let attempt = format!("d{}-{number}", epoch.elapsed().as_millis());
                let mut client = Client::new(front, Duration::from_secs(6));
                let status = send(&mut client, &attempt, &prompt(number, place));
                record::line(&format!("request {attempt} at machine {at}: {status:?}"));
                let due = sent_at + DEADLY_PAUSE;
                std::thread::sleep(due.saturating_duration_since(Instant::now()));
            }
        }));
    }
    if is_ready {
        std::thread::sleep(LENGTH);
    }
    stop.store(true, Ordering::Relaxed);
    for client in clients {
        let _ = client.join();
    }
    engines.iter().for_each(|engine| engine.kill());
    if !is_ready {
        return Ok(Verdict::NotRun("a machine did not become ready".to_owned()));
    }
    let number = |counter: &AtomicU64| counter.load(Ordering::Relaxed);
    record::line(&format!(
        "sound streams: sent {}, whole {}, refused {}, cut or without an answer {}",
        number(&sound.sent),
        number(&sound.whole),
        number(&sound.refused),
        number(&sound.cut)
    ));
    if number(&sound.whole) < 50 {
        return Ok(Verdict::NotRun("hardly any sound stream was served".to_owned()));
    }
    let events = events.lock().unwrap();
    let Some(last) = events.crashes.get(CRASHES - 1).or(events.crashes.last()) else {
        record::line("no crash");
        return Ok(Verdict::Held);
    };
    // BUDGET counts from `ContactMs` after the fifth crash; a request counts if its client sent it later than that.
    let counted_from = *last + CONTACT;
    let late = events.deadly_runs.iter().filter(|(attempt, _)| {
        let sent_ms = attempt[1..].split('-').next().and_then(|text| text.parse().ok()).unwrap_or_default();
        events.crashes.len() >= CRASHES && epoch + Duration::from_millis(sent_ms) > counted_from
    });
    let late = late.count();
    record::line(&format!(
        "{} crashes; from {:.3} on, ContactMs after the fifth (or the last), {late} requests with the part were sent and reached a runner ({ALLOWED} allowed)",
        events.crashes.len(),
        record::seconds(counted_from)
    ));
    // LOST counts from twice `ContactMs` after it, against the time before the first such request.
    let results = sound.results.lock().unwrap();
    let share = |from: Instant, to: Instant| {
        let sent: Vec<bool> = results.iter().filter(|(at, _)| *at >= from && *at < to).map(|(_, is_whole)| *is_whole).collect();
        (sent.len(), sent.iter().filter(|is_whole| **is_whole).count())
    };
    let (sent_before, whole_before) = share(epoch, epoch + CALM);
    let (sent_after, whole_after) = share(*last + CONTACT * 2, epoch + CALM + TROUBLED);
    record::line(&format!(
        "sound streams: {whole_before} of {sent_before} whole before the first crash, {whole_after} of {sent_after} from twice ContactMs after the fifth (or the last)"
    ));
    let is_lost = sent_before >= 20
        && sent_after >= 20
        && whole_after as f64 / (sent_after as f64) < whole_before as f64 / sent_before as f64 / 2.0;
    record::line(&format!("BUDGET broken: {}; LOST broken: {is_lost}", late > ALLOWED));
    Ok(if late > ALLOWED || is_lost { Verdict::Broken } else { Verdict::Held })
}
