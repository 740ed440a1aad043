//! Soak test: real processes under random faults.
//!
//! Runs `marigoldlock platform` as separate processes against the stand-ins of the users' platform and
//! injects faults from outside: proxies on loopback delay, reset, block in one direction or stall
//! connections; signals pause, terminate and kill processes, which are then restarted; the store and the
//! upstreams misbehave. Faults can follow each other closely and overlap. Callers reuse their connections for
//! as long as the process lives. What callers, upstreams and the platform observed is checked against the
//! system's invariants. Everything random is derived from the seed; only the timing of tasks and processes
//! differs between runs.

mod blocks;
mod budget;
mod caller;
mod crashing;
mod fault;
mod process;
mod record;

#[cfg(test)]
mod tests;

use std::path::PathBuf;
use std::time::{Duration, SystemTime, UNIX_EPOCH};

use derive_more::Display;
use eyre::{Result, WrapErr, eyre};
use marigoldlock_standin::site::{
    DutyStandin, StoreCopy, StoreStandin, UpstreamOptions, UpstreamStandin, instance_file_at, site_settings,
};
use marigoldlock_wire::FastMap;
use rand::SeedableRng;
use rand::rngs::StdRng;
use serde_json::Value;
use tokio::time::Instant;

use crate::link::LinkProxy;
use crate::site::BASE_VERSION;
use blocks::BlockWatch;
use budget::{RETRY_SLACK, RETRY_WINDOW};
use caller::CallerGroup;
use fault::{FaultPlan, PlannedFault};
use process::{InstanceProcess, loopback_address};

pub use budget::RETRY_RATIO;
pub use crashing::CrashCounts;
pub use fault::FaultMix;
pub use record::{BUDGET_INVARIANT, SoakReport, VERSION_INVARIANT};

/// Longest wait until all instances are ready at the start.
const START_TIMEOUT: Duration = Duration::from_secs(30);

/// Time for the fleet to recover after the last fault. The platform's rules allow twelve seconds.
const RECOVERY_TIME: Duration = Duration::from_secs(12);

/// Length of a usage window in the instances' settings.
const USAGE_WINDOW: Duration = Duration::from_secs(1);

/// Time after the recovery in which the share of answered requests is measured.
const MEASUREMENT_TIME: Duration = Duration::from_secs(3);

/// Requests that may fail after the recovery, from the platform's rules: so many, and one more in
/// [`REQUESTS_PER_FAILURE`].
const ALLOWED_FAILURES: usize = 10;

/// See [`ALLOWED_FAILURES`].
const REQUESTS_PER_FAILURE: usize = 50;

/// Upstreams: id, service, stage and software version.
const UPSTREAMS: [(&str, &str, Option<&str>, &str); 9] = [
    ("p1", "llm", Some("prefill"), BASE_VERSION),
    ("p2", "llm", Some("prefill"), NEXT_VERSION),
    ("d1", "llm", Some("decode"), BASE_VERSION),
    ("d2", "llm", Some("decode"), BASE_VERSION),
    ("d3", "llm", Some("decode"), NEXT_VERSION),
    ("d4", "llm", Some("decode"), NEXT_VERSION),
    ("a1", "app", None, BASE_VERSION),
    ("a2", "app", None, BASE_VERSION),
    ("a3", "app", None, BASE_VERSION),
];

/// Software version of the engines that serve side by side with those of [`BASE_VERSION`].
const NEXT_VERSION: &str = "v2";

/// Options of a soak test.
#[derive(Clone, Debug)]
pub struct SoakOptions {
    /// Path of the `marigoldlock` program.
    pub program: PathBuf,
    /// Seed of the faults and the requests.
    pub seed: u64,
    /// Number of instances.
    pub instances: usize,
    /// Time from the start in which faults begin.
    pub fault_period: Duration,
    /// Number of callers.
    pub callers: usize,
    /// Faults to draw from.
    pub fault_mix: FaultMix,
    /// Retries per request that the instances are told they may use. The check allows [`RETRY_RATIO`].
    pub told_retry_ratio: f64,
    /// False if all upstreams' entries name the same software version, so that instances can't tell them apart.
    pub names_versions: bool,
    /// Folder for the instances' settings files and logs.
    pub folder: PathBuf,
}

/// An observed violation of an invariant.
#[derive(Clone, Debug, Display, Eq, PartialEq)]
#[display("{invariant}: {observed}")]
pub struct Violation {
    /// The invariant.
    pub invariant: &'static str,
    /// The observation that contradicts the invariant.
    pub observed: String,
}

/// The processes, stand-ins and proxies that faults act on.
struct SoakSite {
    store: StoreStandin,
    duties: DutyStandin,
    upstreams: Vec<UpstreamStandin>,
    /// Proxy in front of each upstream.
    upstream_links: Vec<LinkProxy>,
    /// Proxy between each instance and the store.
    store_links: Vec<LinkProxy>,
    instances: Vec<InstanceProcess>,
    settings_version: u64,
    names_versions: bool,
    /// The present entry of each upstream.
    entries: FastMap<String, Value>,
    /// Copies from which the store will come back.
    copies: FastMap<usize, StoreCopy>,
    /// Number of upstream starts, published in the entries to tell a new start from a stale entry.
    upstream_starts: u64,
    block_watch: BlockWatch,
}

/// Runs the soak test for one seed.
///
/// # Errors
///
/// Fails if a part can't be started or a fault can't be injected. A violation isn't an error but part of the
/// report.
pub async fn run(options: &SoakOptions) -> Result<SoakReport> {
    std::fs::create_dir_all(&options.folder)
        .wrap_err_with(|| format!("create {}", options.folder.display()))?;
    let mut site = SoakSite::start(options).await?;
    let callers = CallerGroup::start(options, &site);
    let started = Instant::now();
    let result = inject_faults(options, &mut site, started).await;
    callers.mark_recovered();
    let recovered_at = std::time::Instant::now();
    // Usage of a window is due ten seconds after its end, which is less than the recovery takes.
    let recovery_window = usage_window().saturating_sub(RECOVERY_TIME.as_secs() / USAGE_WINDOW.as_secs());
    tokio::time::sleep(MEASUREMENT_TIME).await;
    let calls = callers.close().await;
    let logs = options.folder.display().to_string();
    let record = site.close(recovered_at, recovery_window).await;
    let schedule = result?;
    Ok(SoakReport::new(options.seed, schedule, &calls, record, logs))
}

/// Injects the seed's faults, clears them all and waits for the recovery.
async fn inject_faults(
    options: &SoakOptions,
    site: &mut SoakSite,
    started: Instant,
) -> Result<Vec<PlannedFault>> {
    let mut random = StdRng::seed_from_u64(options.seed);
    let plan = FaultPlan::draw(
        &mut random,
        options.fault_mix,
        options.instances,
        UPSTREAMS.len(),
        options.fault_period,
    );
    for step in plan.steps() {
        let due = started + step.at;
        while Instant::now() < due {
            site.observe()?;
            tokio::time::sleep_until(due.min(Instant::now() + Duration::from_millis(100))).await;
        }
        site.apply(&step.change)
            .wrap_err_with(|| format!("apply {:?}", step.change))?;
    }
    site.clear_faults()?;
    let recovered_at = Instant::now() + RECOVERY_TIME;
    while Instant::now() < recovered_at {
        site.observe()?;
        tokio::time::sleep(Duration::from_millis(100)).await;
    }
    Ok(plan.into_faults())
}

/// Index of the present usage window.
fn usage_window() -> u64 {
    let since_epoch = SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default();
    since_epoch.as_secs() / USAGE_WINDOW.as_secs()
}

impl SoakSite {
    async fn start(options: &SoakOptions) -> Result<Self> {
        let mut store = StoreStandin::start().await?;
        let duties = DutyStandin::start().await?;
        let (mut upstreams, mut upstream_links) = (Vec::new(), Vec::new());
        for (id, service, stage, version) in UPSTREAMS {
            let upstream = UpstreamStandin::start(UpstreamOptions {
                version: version.into(),
                id: id.into(),
                service: service.into(),
                zone: "a".into(),
                stage,
            })
            .await?;
            crashing::arm(&upstream);
            let link = LinkProxy::start(upstream.address()).await?;
            upstreams.push(upstream);
            upstream_links.push(link);
        }
        store.put_settings(&site_settings(1));
        let (mut store_links, mut instances) = (Vec::new(), Vec::new());
        for number in 0..options.instances {
            let link = LinkProxy::start(store.open_endpoint().await?).await?;
            let ip = loopback_address(options.seed, number);
            let name = format!("n{number}");
            let mut file = instance_file_at(&name, ip, link.address(), duties.address());
            file["Bounds"]["RetryRatio"] = options.told_retry_ratio.into();
            file["Bounds"]["RetrySlack"] = RETRY_SLACK.into();
            file["Bounds"]["BudgetWindowS"] = RETRY_WINDOW.as_secs().into();
            let path = options.folder.join(format!("{name}.json"));
            std::fs::write(&path, file.to_string())?;
            let log = options.folder.join(format!("{name}.log"));
            instances.push(InstanceProcess::start(&options.program, path, log, ip)?);
            store_links.push(link);
        }
        let mut site = Self {
            store,
            duties,
            upstreams,
            upstream_links,
            store_links,
            instances,
            settings_version: 1,
            names_versions: options.names_versions,
            entries: FastMap::default(),
            copies: FastMap::default(),
            upstream_starts: 0,
            block_watch: BlockWatch::default(),
        };
        for index in 0..site.upstreams.len() {
            site.publish_upstream_entry(index, false);
        }
        site.wait_until_ready().await?;
        Ok(site)
    }

    async fn wait_until_ready(&self) -> Result<()> {
        let due = Instant::now() + START_TIMEOUT;
        for instance in &self.instances {
            while !instance.is_ready().await {
                if Instant::now() > due {
                    return Err(eyre!("{} did not become ready in time", instance.front_address()));
                }
                tokio::time::sleep(Duration::from_millis(50)).await;
            }
        }
        Ok(())
    }

    /// Reads what is blocked, and restarts processes that have exited after a delay.
    fn observe(&mut self) -> Result<()> {
        self.block_watch.observe(&self.store, Instant::now());
        self.instances
            .iter_mut()
            .try_for_each(InstanceProcess::restart_exited)
    }

    /// Shuts all processes down and returns what the stand-ins and the processes recorded.
    async fn close(self, recovered_at: std::time::Instant, recovery_window: u64) -> record::SiteRecord {
        let usage = self.duties.usage();
        let mut record = record::SiteRecord {
            usage_conflicts: self.duties.conflicts(),
            fence_rivals: self.duties.rivals(),
            windows_reported: usage.len(),
            is_usage_silent: usage.keys().all(|window| *window <= recovery_window),
            store_eras: self.store.era(),
            wrong_blocks: self.block_watch.into_excess(),
            ..record::SiteRecord::default()
        };
        for upstream in &self.upstreams {
            let crashing = record.crashing.entry(upstream.service().to_owned()).or_default();
            crashing.add(upstream, recovered_at);
            for run in upstream.runs() {
                record.record_run(&run);
            }
            let arrivals = record.arrivals.entry(upstream.service().to_owned()).or_default();
            arrivals.extend(upstream.arrivals());
        }
        for instance in self.instances {
            record.unexpected_exits.extend(instance.close().await);
        }
        record
    }
}
