//! Cases of the drill in which the store comes back from a copy that is some seconds old.

use std::collections::HashSet;
use std::io;
use std::thread;
use std::time::{Duration, Instant};

use crate::client::{Crowd, Sending};
use crate::fleet::{Fleet, Places};
use crate::platform::{Arrivals, Cloud, Runner, Store, UsageCall, unix_ms, usage_faults};
use crate::{Setup, Verdict};

const KEY: &str = "3fexd9dnn2ctnfzs989a";

const ZONES: [&str; 3] = ["scl-a", "scl-b", "scl-c"];

/// The grace time between SIGTERM and SIGKILL, `GraceS`.
const GRACE: Duration = Duration::from_secs(8);

/// How long the store is away, and how old the copy is from which it comes back.
const AWAY: Duration = Duration::from_secs(1);
const COPY_AGE: Duration = Duration::from_millis(2_500);

const SENDINGS: [Sending; 2] = [
    Sending {
        method: "GET",
        path: "/status/2f",
        key: KEY,
        deadline_ms: 1_500,
    },
    Sending {
        method: "POST",
        path: "/order/2f",
        key: KEY,
        deadline_ms: 1_500,
    },
];

fn manifest(version: u64) -> String {
    let route = |name: &str, prefix: &str, kind: &str, attempts: u32| {
        format!(
            "{{\"Name\":\"{name}\",\"Host\":\"{}\",\"PathPrefix\":\"{prefix}\",\"Kind\":\"{kind}\",\"TimeoutMs\":800,\
             \"TargetLatencyMs\":100,\"Priority\":2,\"Service\":\"taller-api\",\"MaxAttempts\":{attempts},\
             \"Anonymous\":false,\"Resumable\":false}}",
            crate::client::HOST
        )
    };
    format!(
        "{{\"Version\":{version},\"Routes\":[{},{}],\"Services\":[{{\"Name\":\"taller-api\",\"HealthPath\":\"/health\",\
         \"MaxConnections\":96}}],\"Limits\":{{\"MaxHeaderBytes\":16384,\"MaxBodyBytes\":262144,\
         \"HeaderTimeoutMs\":3000,\"IdleTimeoutMs\":15000}},\"Tenants\":[{{\"Name\":\"hule930\",\"ApiKeys\":[\"{KEY}\"]}}]}}",
        route("order-status", "/status/", "idempotent", 2),
        route("print-order", "/order/", "non_idempotent", 1),
    )
}

/// A small deployment: the platform, four plain runners and three machines.
pub struct Site {
    pub store: Store,
    pub cloud: Cloud,
    pub runners: Vec<Runner>,
    pub arrivals: Arrivals,
    pub fleet: Fleet,
    pub crowd: Crowd,
}

impl Site {
    pub fn start(setup: &Setup) -> io::Result<Self> {
        let record = &setup.record;
        let store = Store::start(record)?;
        let cloud = Cloud::start(record)?;
        let arrivals = Arrivals::default();
        let mut runners = Vec::new();
        for (at, zone) in ZONES.iter().chain([&"scl-a"]).enumerate() {
            let id = format!("i-{at:04}");
            runners.push(Runner::start(
                &id,
                "taller-api",
                zone,
                Duration::from_millis(15),
                &arrivals,
                record,
            )?);
        }
        store.put("keyed.op", "config", &manifest(7));
        for runner in &runners {
            store.put("keyed.servers", &runner.id, &runner.entry());
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
        let crowd = Crowd::new(record);
        Ok(Self {
            store,
            cloud,
            runners,
            arrivals,
            fleet,
            crowd,
        })
    }

    /// Starts consumers in each zone, eight requests a second together.
    pub fn start_traffic(&self) {
        let directories: Vec<_> = self
            .fleet
            .instances
            .iter()
            .map(|instance| instance.directory())
            .collect();
        for (at, zone) in ZONES.into_iter().enumerate() {
            let mut asked = directories.clone();
            asked.rotate_left(at);
            self.crowd
                .spawn(asked, zone, SENDINGS.to_vec(), Duration::from_millis(350));
        }
    }

    /// The drill; afterwards the operator and the runners write again what is not there any more.
    pub fn drill(&self) {
        self.store.drill(AWAY, COPY_AGE);
        self.write_again();
    }

    /// The operator and the runners write again what is not there any more.
    fn write_again(&self) {
        let manifest = manifest(7);
        if self.store.value("keyed.op", "config").as_deref() != Some(&manifest) {
            self.store.put("keyed.op", "config", &manifest);
        }
        for runner in &self.runners {
            let entry = runner.entry();
            if self.store.value("keyed.servers", &runner.id).as_deref() != Some(&entry) {
                self.store.put("keyed.servers", &runner.id, &entry);
            }
        }
    }

    /// Waits for a usage call; `None` after `timeout`.
    fn wait_usage(&self, timeout: Duration, wanted: impl Fn(&UsageCall) -> bool) -> Option<UsageCall> {
        let due = Instant::now() + timeout;
        while Instant::now() < due {
            if let Some(call) = self.cloud.usage().iter().find(|call| wanted(call)) {
                return Some(call.clone());
            }
            thread::sleep(Duration::from_millis(10));
        }
        None
    }

    /// SIGTERM, at most the grace time, and a start: one step of a rolling restart.
    fn restart(&mut self, at: usize) -> io::Result<()> {
        self.fleet.terminate(at);
        self.fleet.wait(at, GRACE);
        thread::sleep(Duration::from_millis(500));
        self.fleet.start(at, false)
    }

    fn end(&self) {
        self.crowd
            .is_over
            .store(true, std::sync::atomic::Ordering::SeqCst);
        thread::sleep(Duration::from_millis(500));
    }
}

/// Two machines are restarted one after the other, each once it holds the duties. In between, the store loses the
/// claim of the second.
pub fn same_fence(setup: &Setup) -> io::Result<Verdict> {
    let mut site = Site::start(setup)?;
    let record = &setup.record;
    site.start_traffic();
    let not_seen = |what: &str| io::Error::other(format!("{what} was not seen"));
    let first = site
        .wait_usage(Duration::from_secs(25), |call| call.is_accepted)
        .ok_or_else(|| not_seen("a usage report"))?;
    record.say(format!(
        "{} holds the duties with fence {}",
        first.holder, first.fence
    ));
    // The report of the newest window has just been written and sent, so the next one is due in five seconds: neither
    // holder writes to the store while it is away.
    let begun = site
        .cloud
        .usage()
        .iter()
        .map(|call| call.window)
        .max()
        .unwrap_or(0);
    site.wait_usage(Duration::from_secs(25), |call| {
        call.is_accepted && call.window > begun + 1 && call.window + 1 == unix_ms() / 5_000
    })
    .ok_or_else(|| not_seen("a report of the newest window"))?;
    let at = site
        .fleet
        .position(&first.holder)
        .ok_or_else(|| not_seen("the holder"))?;
    site.fleet.terminate(at);
    let second = site
        .wait_usage(Duration::from_secs(15), |call| call.holder != first.holder)
        .ok_or_else(|| not_seen("a usage report of a second holder"))?;
    record.say(format!(
        "{} holds the duties with fence {}",
        second.holder, second.fence
    ));
    if setup.has_trouble {
        site.drill();
    } else {
        thread::sleep(AWAY);
    }
    site.fleet.wait(at, GRACE);
    thread::sleep(Duration::from_millis(500));
    site.fleet.start(at, false)?;
    if !site.fleet.wait_ready(Duration::from_secs(10)) {
        return Err(io::Error::other("the restarted instance did not become ready"));
    }
    thread::sleep(Duration::from_secs(6));
    let at = site
        .fleet
        .position(&second.holder)
        .ok_or_else(|| not_seen("the holder"))?;
    site.restart(at)?;
    let calls = site.cloud.usage().len();
    let due = Instant::now() + Duration::from_secs(20);
    while Instant::now() < due
        && site.cloud.usage()[calls..]
            .iter()
            .filter(|call| call.is_accepted)
            .count()
            < 5
    {
        thread::sleep(Duration::from_millis(50));
    }
    site.end();
    summary(setup, &site);
    let faults = usage_faults(&site.cloud.usage());
    Ok(if faults.is_empty() {
        Verdict::Held
    } else {
        Verdict::Broken(faults)
    })
}

/// Only the drill. Afterwards each usage window has to be reported as before.
pub fn duty_hangs(setup: &Setup) -> io::Result<Verdict> {
    let site = Site::start(setup)?;
    let record = &setup.record;
    site.start_traffic();
    let not_seen = |what: &str| io::Error::other(format!("{what} was not seen"));
    let first = site
        .wait_usage(Duration::from_secs(25), |call| call.is_accepted)
        .ok_or_else(|| not_seen("a usage report"))?;
    record.say(format!(
        "{} holds the duties with fence {}",
        first.holder, first.fence
    ));
    thread::sleep(Duration::from_secs(5));
    // A report has just been written to the store, as every five seconds.
    let count = site.cloud.usage().len();
    let due = Instant::now() + Duration::from_secs(10);
    while Instant::now() < due && site.cloud.usage().len() == count {
        thread::sleep(Duration::from_millis(10));
    }
    if setup.has_trouble {
        site.drill();
    } else {
        thread::sleep(AWAY);
    }
    let back_at = Instant::now();
    let back_ms = unix_ms();
    let calls_before: u64 = site.store.calls().values().sum();
    thread::sleep(Duration::from_secs(45));
    let calls_after: u64 = site.store.calls().values().sum();
    site.end();
    summary(setup, &site);
    record.say(format!(
        "calls to the store in the 45 s since then: {} ({} a second)",
        calls_after - calls_before,
        (calls_after - calls_before) / 45
    ));
    // Windows that began after the drill and whose report was due before the end.
    let first_window = back_ms / 5_000 + 1;
    let last_window = (back_ms + back_at.elapsed().as_millis() as u64 - 15_000) / 5_000 - 1;
    let usage = site.cloud.usage();
    let faults: Vec<String> = (first_window..=last_window)
        .filter(|window| {
            !usage
                .iter()
                .any(|call| call.is_accepted && call.window == *window)
        })
        .map(|window| format!("window {window}, which began after the store was back, was never reported"))
        .collect();
    Ok(if faults.is_empty() {
        Verdict::Held
    } else {
        Verdict::Broken(faults)
    })
}

/// Interval of the runners' pings, `HeartbeatMs`.
const PING: Duration = Duration::from_millis(1_200);

/// Bound of the rule.
const DRAIN: Duration = Duration::from_millis(2_000);

/// Three runners are added, and the store loses what they wrote. Later one of them leaves. Consumers come in groups, every
/// five seconds.
pub fn unseen_leaving(setup: &Setup) -> io::Result<Verdict> {
    let mut site = Site::start(setup)?;
    let record = &setup.record;
    let directories: Vec<_> = site
        .fleet
        .instances
        .iter()
        .map(|instance| instance.directory())
        .collect();
    let group = |site: &Site| {
        let mut fronts: Vec<_> = Vec::new();
        for (directory, zone) in directories.iter().zip(ZONES) {
            fronts.extend(Crowd::resolve(*directory, zone));
        }
        fronts.sort();
        fronts.dedup();
        if !fronts.is_empty() {
            site.crowd.burst(&fronts, &SENDINGS, 48);
        }
    };
    thread::sleep(Duration::from_secs(4));
    group(&site);
    // The new runners are slow for 3.6 s after their start. Their entries tell how much longer, so they change with each
    // ping.
    let cold = PING * 3;
    let count = site.runners.len();
    for (at, zone) in ZONES.iter().enumerate() {
        let id = format!("i-n{at:03}");
        let work = Duration::from_millis(60);
        let mut runner = Runner::start(&id, "taller-api", zone, work, &site.arrivals, record)?;
        runner.cold_until = Some(Instant::now() + cold);
        site.store.put("keyed.servers", &runner.id, &runner.entry());
        site.runners.push(runner);
    }
    for _ in 0..2 {
        thread::sleep(PING);
        for runner in &site.runners[count..] {
            site.store.put("keyed.servers", &runner.id, &runner.entry());
        }
    }
    thread::sleep(Duration::from_millis(200));
    if setup.has_trouble {
        site.store.drill(AWAY, Duration::from_secs(3));
        site.write_again();
    } else {
        thread::sleep(AWAY);
    }
    // The last change of their entries: they are slow no more.
    thread::sleep(Duration::from_millis(200));
    for runner in &site.runners[count..] {
        if site.store.value("keyed.servers", &runner.id).as_deref() != Some(&runner.entry()) {
            site.store.put("keyed.servers", &runner.id, &runner.entry());
        }
    }
    for _ in 0..2 {
        thread::sleep(Duration::from_secs(5));
        group(&site);
    }
    thread::sleep(Duration::from_millis(2_400));
    let leaver = &site.runners[count];
    leaver.is_leaving.store(true, std::sync::atomic::Ordering::SeqCst);
    site.store.put("keyed.servers", &leaver.id, &leaver.entry());
    let confirmed_at = Instant::now();
    record.say(format!("{} is draining, the store has confirmed it", leaver.id));
    let before_end = site
        .crowd
        .outcomes
        .lock()
        .unwrap_or_else(|err| err.into_inner())
        .len();
    // It serves for `DrainMs` and a little longer, and exits.
    let has_exited = std::sync::Arc::clone(&leaver.has_exited);
    let end = thread::spawn(move || {
        thread::sleep(DRAIN + Duration::from_millis(640));
        has_exited.store(true, std::sync::atomic::Ordering::SeqCst);
    });
    thread::sleep(DRAIN + Duration::from_millis(600));
    group(&site);
    let _ = end.join();
    record.say(format!("{} has exited", leaver.id));
    site.store.put("keyed.servers", &leaver.id, "");
    thread::sleep(Duration::from_secs(1));
    let leaver = leaver.id.clone();
    summary(setup, &site);
    let outcomes = site.crowd.outcomes.lock().unwrap_or_else(|err| err.into_inner());
    let lost = outcomes[before_end..]
        .iter()
        .filter(|status| **status != 200)
        .count();
    record.say(format!(
        "requests of the last group that were not answered 200: {lost} of 48"
    ));
    let arrivals = site.arrivals.lock().unwrap_or_else(|err| err.into_inner());
    let late = arrivals
        .iter()
        .filter(|arrival| arrival.runner == leaver && arrival.has_run);
    let faults: Vec<String> = late
        .filter_map(|arrival| {
            let after = arrival.at.checked_duration_since(confirmed_at)?;
            (after > DRAIN).then(|| {
                format!(
                    "{} reached {leaver} {} ms after it was confirmed to leave",
                    arrival.attempt,
                    after.as_millis()
                )
            })
        })
        .collect();
    let before = arrivals
        .iter()
        .filter(|arrival| arrival.runner == leaver && arrival.at < confirmed_at)
        .count();
    record.say(format!("requests that reached {leaver} before it left: {before}"));
    Ok(if faults.is_empty() {
        Verdict::Held
    } else {
        Verdict::Broken(faults)
    })
}

fn summary(setup: &Setup, site: &Site) {
    let record = &setup.record;
    let outcomes = site.crowd.outcomes.lock().unwrap_or_else(|err| err.into_inner());
    let good = outcomes.iter().filter(|status| **status == 200).count();
    let arrivals = site.arrivals.lock().unwrap_or_else(|err| err.into_inner());
    let runs: Vec<&str> = arrivals
        .iter()
        .filter(|arrival| arrival.has_run)
        .map(|arrival| arrival.attempt.as_str())
        .collect();
    let attempts: HashSet<&str> = runs.iter().copied().collect();
    record.say(format!(
        "requests sent: {}, answered 200: {good}, runs: {}, runs of a request that had run before: {}",
        outcomes.len(),
        runs.len(),
        runs.len() - attempts.len()
    ));
    for (name, count) in site.store.calls() {
        record.line(format!("store calls {name}: {count}"));
    }
    record.say(format!("store calls refused with 429: {}", site.store.refused()));
    for instance in 0..site.fleet.instances.len() {
        for line in site.fleet.log_lines(instance, "duties") {
            record.line(format!("log of {}: {line}", site.fleet.instances[instance].name));
        }
    }
    for call in site.cloud.usage() {
        let accepted = if call.is_accepted { "accepted" } else { "refused" };
        record.line(format!(
            "usage: {} fence {} window {} {} {accepted}",
            call.holder, call.fence, call.window, call.counts
        ));
    }
}
