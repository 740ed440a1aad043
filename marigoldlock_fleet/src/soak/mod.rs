//! A fault soak of real processes.
//!
//! Runs `marigoldlock platform` as separate processes against the stand-ins of the users' platform and injects faults
//! from outside: proxies on loopback that delay, reset, cut one way or silence connections; processes that are
//! stopped, paused, killed and restarted by signals; a store and upstreams that misbehave. Faults come in series and
//! overlap; callers keep using their connections until the process is gone. What callers, upstreams and the platform
//! saw is checked against the promises. All that is random follows from the seed, but for what the kernel schedules.

mod caller;
mod fault;
mod process;
mod proxy;
mod record;

#[cfg(test)]
mod tests;

use std::path::PathBuf;
use std::time::Duration;

use derive_more::Display;
use eyre::{Result, WrapErr, eyre};
use marigoldlock_standin::site::{
    DutyStandin, StoreStandin, UpstreamOptions, UpstreamStandin, instance_file_at, site_settings,
};
use rand::SeedableRng;
use rand::rngs::StdRng;
use tokio::time::Instant;

use caller::CallerGroup;
use fault::{FaultPlan, PlannedFault};
use process::{InstanceProcess, loopback_address};
use proxy::LinkProxy;

pub use record::SoakReport;

/// Longest wait until the fleet serves at the start.
const START_MOST: Duration = Duration::from_secs(30);

/// Time after the last fault in which the fleet may recover: the platform's pages allow twelve seconds.
const RECOVERY: Duration = Duration::from_secs(12);

/// Time after the recovery in which callers must be served.
const CALM: Duration = Duration::from_secs(3);

/// Least share of requests that must be served in calm times after the faults: a rule of the platform's pages.
const SERVED_LEAST: f64 = 0.25;

/// Upstreams: id, service, role.
const RUNNERS: [(&str, &str, Option<&str>); 7] = [
    ("p1", "llm", Some("prefill")),
    ("p2", "llm", Some("prefill")),
    ("d1", "llm", Some("decode")),
    ("d2", "llm", Some("decode")),
    ("a1", "app", None),
    ("a2", "app", None),
    ("a3", "app", None),
];

/// What a soak is made of.
#[derive(Clone, Debug)]
pub struct SoakOptions {
    /// The program.
    pub program: PathBuf,
    /// Seed of the faults and the requests.
    pub seed: u64,
    /// Instances.
    pub instances: usize,
    /// Time in which faults begin.
    pub faults_for: Duration,
    /// Callers.
    pub callers: usize,
    /// Folder for the instances' settings files and logs.
    pub folder: PathBuf,
}

/// A promise that was broken.
#[derive(Clone, Debug, Display, Eq, PartialEq)]
#[display("{promise}: {seen}")]
pub struct BrokenPromise {
    /// The promise.
    pub promise: &'static str,
    /// What was seen.
    pub seen: String,
}

/// Everything that faults act on.
struct SoakSite {
    store: StoreStandin,
    duties: DutyStandin,
    runners: Vec<UpstreamStandin>,
    /// Before each runner.
    runner_links: Vec<LinkProxy>,
    /// Between each instance and the store.
    store_links: Vec<LinkProxy>,
    instances: Vec<InstanceProcess>,
    settings_version: u64,
    /// Starts of runners, which distinguish a return from a false entry.
    runner_starts: u64,
}

/// Plays one seed.
///
/// # Errors
///
/// Fails if something can't be started; a broken promise is no error but part of the report.
pub async fn run(options: &SoakOptions) -> Result<SoakReport> {
    std::fs::create_dir_all(&options.folder)
        .wrap_err_with(|| format!("make {}", options.folder.display()))?;
    let mut site = SoakSite::start(options).await?;
    let callers = CallerGroup::start(options, &site);
    let started = Instant::now();
    let result = play(options, &mut site, started).await;
    callers.mark_calm();
    tokio::time::sleep(CALM).await;
    let calls = callers.close().await;
    let logs = options.folder.display().to_string();
    let ended = site.close().await;
    let schedule = result?;
    Ok(SoakReport::new(options.seed, schedule, &calls, ended, logs))
}

/// Injects the seed's faults, then heals everything.
async fn play(options: &SoakOptions, site: &mut SoakSite, started: Instant) -> Result<Vec<PlannedFault>> {
    let mut random = StdRng::seed_from_u64(options.seed);
    let plan = FaultPlan::draw(&mut random, options.instances, RUNNERS.len(), options.faults_for);
    for step in plan.steps() {
        let due = started + step.at;
        while Instant::now() < due {
            site.tend()?;
            tokio::time::sleep_until(due.min(Instant::now() + Duration::from_millis(100))).await;
        }
        site.apply(&step.change)
            .wrap_err_with(|| format!("apply {:?}", step.change))?;
    }
    site.heal()?;
    let recovered = Instant::now() + RECOVERY;
    while Instant::now() < recovered {
        site.tend()?;
        tokio::time::sleep(Duration::from_millis(100)).await;
    }
    Ok(plan.into_faults())
}

impl SoakSite {
    async fn start(options: &SoakOptions) -> Result<Self> {
        let mut store = StoreStandin::start().await?;
        let duties = DutyStandin::start().await?;
        let (mut runners, mut runner_links) = (Vec::new(), Vec::new());
        for (id, service, stage) in RUNNERS {
            let runner = UpstreamStandin::start(UpstreamOptions {
                id: id.into(),
                service: service.into(),
                zone: "a".into(),
                stage,
            })
            .await?;
            let link = LinkProxy::start(runner.address()).await?;
            let mut entry = runner.entry("ready");
            entry["Address"] = link.address().to_string().into();
            store.put_upstream(id, Some(&entry));
            runners.push(runner);
            runner_links.push(link);
        }
        store.put_settings(&site_settings(1));
        let (mut store_links, mut instances) = (Vec::new(), Vec::new());
        for number in 0..options.instances {
            let link = LinkProxy::start(store.open_endpoint().await?).await?;
            let ip = loopback_address(options.seed, number);
            let name = format!("n{number}");
            let file = instance_file_at(&name, ip, link.address(), duties.address());
            let path = options.folder.join(format!("{name}.json"));
            std::fs::write(&path, file.to_string())?;
            let log = options.folder.join(format!("{name}.log"));
            instances.push(InstanceProcess::start(&options.program, path, log, ip)?);
            store_links.push(link);
        }
        let site = Self {
            store,
            duties,
            runners,
            runner_links,
            store_links,
            instances,
            settings_version: 1,
            runner_starts: 1,
        };
        site.wait_until_ready().await?;
        Ok(site)
    }

    async fn wait_until_ready(&self) -> Result<()> {
        let due = Instant::now() + START_MOST;
        for instance in &self.instances {
            while !instance.is_ready().await {
                if Instant::now() > due {
                    return Err(eyre!("{} does not serve", instance.front()));
                }
                tokio::time::sleep(Duration::from_millis(50)).await;
            }
        }
        Ok(())
    }

    /// Starts processes again that a fault has ended.
    fn tend(&mut self) -> Result<()> {
        self.instances.iter_mut().try_for_each(InstanceProcess::tend)
    }

    /// Ends all processes and tells what the stand-ins saw.
    async fn close(self) -> record::SiteRecord {
        let mut record = record::SiteRecord {
            usage_conflicts: self.duties.conflicts(),
            windows_reported: self.duties.usage().len(),
            ..record::SiteRecord::default()
        };
        for runner in &self.runners {
            for run in runner.runs() {
                record.note_run(&run);
            }
        }
        for instance in self.instances {
            record.own_ends.extend(instance.close().await);
        }
        record
    }
}
