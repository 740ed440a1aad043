//! Runners that leave without a report, right after the store's channels of one machine were reset.
//!
//! Eight machines and the booking application. In each round the channels of one machine to the store are reset; new ones work
//! at once. Then two runners leave: their entries are removed from the store, and they serve on. What counts is a request that a
//! client sent, to another machine, later than `DrainMs` after the store had confirmed the removal, and that such a runner ran.

use std::sync::Arc;
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::time::{Duration, Instant};

use crate::fleet::{Machine, PlatformAddresses};
use crate::http::Client;
use crate::memory::MANIFEST;
use crate::platform::{Store, start_duties};
use crate::runner::Runner;
use crate::{Run, Verdict, record};

const ROUNDS: usize = 20;
const ROUND: Duration = Duration::from_millis(5_200);

/// Shortest time between the reset and the first removal, and by how much it is longer from round to round, five times.
const MIN_GAP: Duration = Duration::from_millis(140);
const GAP_STEP: Duration = Duration::from_millis(20);

/// `DrainMs` of the settings.
const DRAIN: Duration = Duration::from_millis(2_000);

/// Time after `DrainMs` for which a runner that leaves serves on.
const LINGER: Duration = Duration::from_millis(1_000);

/// Time for which a machine whose channels were reset is out of touch.
const CONTACT: Duration = Duration::from_millis(3_000);

const CLIENTS: usize = 4;
const PAUSE: Duration = Duration::from_millis(25);

const ZONES: [&str; 8] = [
    "pest-a", "pest-a", "pest-a", "pest-b", "pest-b", "pest-b", "pest-c", "pest-c",
];

pub fn run(run: &Run) -> Verdict {
    match play(run) {
        Ok(verdict) => verdict,
        Err(err) => Verdict::NotRun(err.to_string()),
    }
}

fn play(run: &Run) -> std::io::Result<Verdict> {
    let store = Arc::new(Store::default());
    store.put("keyed.op", "config", MANIFEST);
    let mut number = 0;
    let mut start_runner = || {
        number += 1;
        Runner::start(&store, &format!("i-app{number}"), "booking-app", ZONES[number % 8], None)
    };
    let _steady = [start_runner()?, start_runner()?];
    let duties = start_duties()?;
    let mut machines = Vec::new();
    let mut channels = Vec::new();
    for (at, zone) in ZONES.iter().enumerate() {
        let place = ZONES[..at].iter().filter(|other| *other == zone).count() + 1;
        machines.push(Machine::new(&format!("edge-{zone}-{place}"), at as u8 + 1, &run.folder));
    }
    let seeds: Vec<_> = machines.iter().step_by(3).take(3).map(|machine| machine.ip).collect();
    for (at, machine) in machines.iter_mut().enumerate() {
        let (address, own) = store.listen()?;
        channels.push(own);
        machine.start(ZONES[at], &seeds, PlatformAddresses { store: address, duties }, true)?;
    }
    if !machines.iter().all(|machine| machine.wait_ready(Duration::from_secs(15))) {
        return Ok(Verdict::NotRun("a machine did not become ready".to_owned()));
    }
    std::thread::sleep(Duration::from_secs(4));

    let epoch = Instant::now();
    let stop = Arc::new(AtomicBool::new(false));
    let served = Arc::new(AtomicU64::new(0));
    let mut clients = Vec::new();
    for (at, machine) in machines.iter().enumerate() {
        for client in 0..CLIENTS {
            let (front, stop, served) = (machine.front(), Arc::clone(&stop), Arc::clone(&served));
            clients.push(std::thread::spawn(move || {
                let mut connection = Client::new(front, Duration::from_millis(1_500));
                while !stop.load(Ordering::Relaxed) {
                    let attempt = format!("{at}-{}-{client}", epoch.elapsed().as_micros());
                    let fields = [
                        ("Host", "copydesk.example"),
                        ("Attempt-Id", &attempt[..]),
                        ("Authorization", "Bearer key-of-the-agency"),
                        ("Deadline-Ms", "1500"),
                    ];
                    let answer = connection.send("GET", "/lookup/x", &fields, b"");
                    if answer.is_ok_and(|answer| answer.status == 200) {
                        served.fetch_add(1, Ordering::Relaxed);
                    }
                    std::thread::sleep(PAUSE);
                }
            }));
        }
    }

    let mut late = 0;
    let mut latest = Duration::ZERO;
    for round in 0..ROUNDS {
        let started = Instant::now();
        let leaving = [start_runner()?, start_runner()?];
        std::thread::sleep(Duration::from_millis(900));
        let machine = round % machines.len();
        if run.has_trouble {
            let count = channels[machine].reset_all();
            record::line(&format!("round {round}: {} loses {count} channels to the store", machines[machine].name));
        }
        std::thread::sleep(MIN_GAP + GAP_STEP * (round % 5) as u32);
        let mut removals = Vec::new();
        for runner in &leaving {
            removals.push(runner.leave_silently());
            std::thread::sleep(Duration::from_millis(10));
        }
        std::thread::sleep(DRAIN + LINGER);
        for (runner, removed_at) in leaving.iter().zip(removals) {
            runner.exit();
            let mut last = Duration::ZERO;
            for run_of in runner.runs() {
                let mut parts = run_of.attempt.split('-');
                let sender: usize = parts.next().and_then(|text| text.parse().ok()).unwrap_or_default();
                let sent: u64 = parts.next().and_then(|text| text.parse().ok()).unwrap_or_default();
                let sent_at = epoch + Duration::from_micros(sent);
                let after = sent_at.saturating_duration_since(removed_at);
                last = last.max(after);
                let is_out_of_touch = run.has_trouble && sender == machine && after < CONTACT;
                if after > DRAIN && !is_out_of_touch {
                    late += 1;
                    record::line(&format!(
                        "round {round}: request {} was sent to {} {} ms after the store confirmed that {} is gone, and ran there at {:.3}",
                        run_of.attempt,
                        machines[sender].name,
                        after.as_millis(),
                        runner.id,
                        record::seconds(run_of.at)
                    ));
                }
            }
            latest = latest.max(last);
            record::line(&format!(
                "round {round}: {} left at {:.3}; its last request was sent {} ms later",
                runner.id,
                record::seconds(removed_at),
                last.as_millis()
            ));
        }
        std::thread::sleep(ROUND.saturating_sub(started.elapsed()));
    }
    stop.store(true, Ordering::Relaxed);
    for client in clients {
        let _ = client.join();
    }
    record::line(&format!(
        "requests served {}, sent too late {late}, latest {} ms",
        served.load(Ordering::Relaxed),
        latest.as_millis()
    ));
    if served.load(Ordering::Relaxed) < 1_000 {
        return Ok(Verdict::NotRun("hardly any request was served".to_owned()));
    }
    Ok(if late > 0 { Verdict::Broken } else { Verdict::Held })
}
