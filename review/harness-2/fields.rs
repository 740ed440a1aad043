//! A client whose requests have many short fields, well inside the size that the manifest allows, in calm.

use std::sync::Arc;
use std::time::Duration;

use crate::fleet::{Machine, PlatformAddresses};
use crate::http::Client;
use crate::memory::MANIFEST;
use crate::platform::{Store, start_duties};
use crate::runner::Runner;
use crate::{Run, Verdict, record};

const REQUESTS: usize = 60;
const PAUSE: Duration = Duration::from_millis(100);

/// Fields besides the client's own ones, with the disruption and without it.
const MANY_FIELDS: usize = 120;
const FEW_FIELDS: usize = 20;

const ZONES: [&str; 3] = ["pest-a", "pest-b", "pest-c"];

pub fn run(run: &Run) -> Verdict {
    match play(run) {
        Ok(verdict) => verdict,
        Err(err) => Verdict::NotRun(err.to_string()),
    }
}

fn play(run: &Run) -> std::io::Result<Verdict> {
    let store = Arc::new(Store::default());
    store.put("keyed.op", "config", MANIFEST);
    for at in 0..3 {
        Runner::start(&store, &format!("i-app{at}"), "booking-app", ZONES[at], None)?;
    }
    let duties = start_duties()?;
    let mut machines: Vec<Machine> = ZONES
        .iter()
        .enumerate()
        .map(|(at, zone)| Machine::new(&format!("edge-{zone}-1"), at as u8 + 1, &run.folder))
        .collect();
    let seeds: Vec<_> = machines.iter().map(|machine| machine.ip).collect();
    let (address, _) = store.listen()?;
    for (at, machine) in machines.iter_mut().enumerate() {
        machine.start(ZONES[at], &seeds, PlatformAddresses { store: address, duties }, true)?;
    }
    if !machines.iter().all(|machine| machine.wait_ready(Duration::from_secs(15))) {
        return Ok(Verdict::NotRun("a machine did not become ready".to_owned()));
    }
    std::thread::sleep(Duration::from_secs(4));
    let count = if run.has_trouble { MANY_FIELDS } else { FEW_FIELDS };
    let names: Vec<String> = (0..count).map(|number| format!("x-{number}")).collect();
    let mut sent = 0;
    let mut denied = 0;
    let mut served = 0;
    for number in 0..REQUESTS {
        for (kind, has_fields) in [("ordinary", false), ("many fields", true)] {
            let attempt = format!("{number}-{has_fields}");
            let mut fields = vec![
                ("Host", "copydesk.example"),
                ("Attempt-Id", &attempt[..]),
                ("Authorization", "Bearer key-of-the-agency"),
                ("Deadline-Ms", "1500"),
            ];
            if has_fields {
                fields.extend(names.iter().map(|name| (name.as_str(), "1")));
            }
            let head_bytes: usize = fields.iter().map(|(name, value)| name.len() + value.len() + 4).sum();
            let machine = &machines[number % machines.len()];
            let mut client = Client::new(machine.front(), Duration::from_millis(1_500));
            let answer = client.send("GET", "/lookup/x", &fields, b"");
            let status = answer.map(|answer| answer.status).unwrap_or_default();
            sent += 1;
            denied += usize::from(matches!(status, 300..=499) && !matches!(status, 408 | 421 | 429));
            served += usize::from(status == 200);
            record::line(&format!(
                "request {attempt} ({kind}: {} fields, {head_bytes} bytes) to {}: {status}",
                fields.len(),
                machine.name
            ));
            std::thread::sleep(PAUSE);
        }
    }
    record::line(&format!("sent {sent}, served {served}, ended with a 4xx of the system's own {denied}"));
    if served < REQUESTS / 2 {
        return Ok(Verdict::NotRun("ordinary requests were not served".to_owned()));
    }
    Ok(if denied as f64 > 5.0 + sent as f64 / 500.0 { Verdict::Broken } else { Verdict::Held })
}
