//! Settings files that change while the processes run: the store gets another address.
//!
//! Three machines and the booking application. The store begins to serve at a second address, the settings files of all machines
//! name it, and each process gets SIGHUP. Some seconds later the first address is closed, and later still the operator withdraws a
//! key. Without the disruption the settings files are written again as they were, with the same signals, and the first address
//! stays.

use std::sync::Arc;
use std::time::{Duration, Instant};

use crate::fleet::{Machine, PlatformAddresses};
use crate::http::Client;
use crate::memory::MANIFEST;
use crate::platform::{Store, start_duties};
use crate::runner::Runner;
use crate::{Run, Verdict, record};

/// Time from the signals until the first address is closed.
const OVERLAP: Duration = Duration::from_secs(8);

/// Time from then until the manifest changes: longer than `ContactMs` and `OuterMs` together.
const CALM: Duration = Duration::from_secs(10);

/// Time for which the withdrawn key is tried.
const TRIED: Duration = Duration::from_secs(15);

/// `ConfigMs` of the settings.
const CONFIG: Duration = Duration::from_millis(2_000);

const PAUSE: Duration = Duration::from_millis(200);

const ZONES: [&str; 3] = ["pest-a", "pest-b", "pest-c"];

const KEPT_KEY: &str = "key-of-the-agency";
const WITHDRAWN_KEY: &str = "key-to-withdraw";

fn manifest(version: u32, keys: &str) -> String {
    MANIFEST
        .replace("\"Version\":7", &format!("\"Version\":{version}"))
        .replace("[\"key-of-the-agency\"]", keys)
}

pub fn run(run: &Run) -> Verdict {
    match play(run) {
        Ok(verdict) => verdict,
        Err(err) => Verdict::NotRun(err.to_string()),
    }
}

fn look_up(machine: &Machine, attempt: &str, key: &str) -> Option<u16> {
    let key = format!("Bearer {key}");
    let fields = [
        ("Host", "copydesk.example"),
        ("Attempt-Id", attempt),
        ("Authorization", &key[..]),
        ("Deadline-Ms", "1500"),
    ];
    let mut client = Client::new(machine.front(), Duration::from_millis(1_500));
    let answer = client.send("GET", "/lookup/x", &fields, b"");
    answer.ok().map(|answer| answer.status)
}

fn play(run: &Run) -> std::io::Result<Verdict> {
    let store = Arc::new(Store::default());
    let both = format!("[\"{KEPT_KEY}\",\"{WITHDRAWN_KEY}\"]");
    store.put("keyed.op", "config", &manifest(7, &both));
    let mut runners = Vec::new();
    for at in 0..3 {
        runners.push(Runner::start(&store, &format!("i-app{at}"), "booking-app", ZONES[at], None)?);
    }
    let duties = start_duties()?;
    let (first, first_channels) = store.listen()?;
    let (second, _) = store.listen()?;
    let mut machines: Vec<Machine> = ZONES
        .iter()
        .enumerate()
        .map(|(at, zone)| Machine::new(&format!("edge-{zone}-1"), at as u8 + 1, &run.folder))
        .collect();
    let seeds: Vec<_> = machines.iter().map(|machine| machine.ip).collect();
    for (at, machine) in machines.iter_mut().enumerate() {
        machine.start(ZONES[at], &seeds, PlatformAddresses { store: first, duties }, true)?;
    }
    if !machines.iter().all(|machine| machine.wait_ready(Duration::from_secs(15))) {
        return Ok(Verdict::NotRun("a machine did not become ready".to_owned()));
    }
    std::thread::sleep(Duration::from_secs(4));
    for machine in &machines {
        let statuses = (look_up(machine, "a1", KEPT_KEY), look_up(machine, "a2", WITHDRAWN_KEY));
        if statuses != (Some(200), Some(200)) {
            return Ok(Verdict::NotRun(format!("before: {statuses:?}")));
        }
    }
    let store_address = if run.has_trouble { second } else { first };
    for (at, machine) in machines.iter().enumerate() {
        machine.change_settings(ZONES[at], &seeds, PlatformAddresses { store: store_address, duties })?;
    }
    record::line(&format!("all settings files name the store at {store_address}, before at {first}; SIGHUP was sent to all"));
    std::thread::sleep(OVERLAP);
    if run.has_trouble {
        first_channels.close();
        record::line("the first address of the store is closed");
    }
    std::thread::sleep(CALM);
    let confirmed_at = store.put("keyed.op", "config", &manifest(8, &format!("[\"{KEPT_KEY}\"]")));
    record::line("the store confirms version 8, without the second key");
    let mut late = 0;
    let mut number = 0;
    while confirmed_at.elapsed() < TRIED {
        for machine in &machines {
            number += 1;
            let sent_at = Instant::now();
            let attempt = format!("w{number}");
            let status = look_up(machine, &attempt, WITHDRAWN_KEY);
            let after = sent_at.saturating_duration_since(confirmed_at);
            let has_run = runners.iter().any(|runner| runner.runs().iter().any(|run| run.attempt == attempt));
            if after > CONFIG && has_run {
                late += 1;
            }
            record::line(&format!(
                "request {attempt} with the withdrawn key, sent to {} {} ms after the confirmation: {status:?}, ran at a runner: {has_run}",
                machine.name,
                after.as_millis()
            ));
        }
        std::thread::sleep(PAUSE);
    }
    let kept: Vec<Option<u16>> = machines.iter().map(|machine| look_up(machine, "z1", KEPT_KEY)).collect();
    record::line(&format!("requests with the withdrawn key that ran, sent later than ConfigMs: {late} of {number}; the kept key: {kept:?}"));
    Ok(if late > 0 { Verdict::Broken } else { Verdict::Held })
}
