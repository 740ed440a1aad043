//! A site of the users' platform on stand-ins, with instances in this process.

use std::time::Duration;

use eyre::{Result, ensure, eyre};
use marigoldlock::gateway::GatewayServer;
use marigoldlock::platform_run::gateway_parts;
use marigoldlock_platform::ProcessSettings;
use marigoldlock_standin::site::{
    DutyStandin, SiteCaller, StoreStandin, UpstreamOptions, UpstreamStandin, instance_file, site_settings,
};

/// Longest wait for something that must happen; far above what it takes.
const WAIT_MOST: Duration = Duration::from_secs(30);

/// Time between two looks.
const LOOK_EVERY: Duration = Duration::from_millis(10);

/// Upstreams of the site: id, service, role.
const RUNNERS: [(&str, &str, Option<&str>); 5] = [
    ("p1", "llm", Some("prefill")),
    ("d1", "llm", Some("decode")),
    ("d2", "llm", Some("decode")),
    ("a1", "app", None),
    ("a2", "app", None),
];

/// Stand-ins and instances of one site.
pub struct PlatformSite {
    /// The store.
    pub store: StoreStandin,
    /// The duty calls.
    pub duties: DutyStandin,
    /// The upstreams: a reader, two generators and two of a plain service.
    pub runners: Vec<UpstreamStandin>,
    /// The instances.
    pub instances: Vec<GatewayServer>,
    /// A caller.
    pub caller: SiteCaller,
}

impl PlatformSite {
    /// Starts a site and waits until all instances serve.
    ///
    /// # Errors
    ///
    /// If something can't be started or isn't ready in time.
    pub async fn start(instances: usize) -> Result<Self> {
        let store = StoreStandin::start().await?;
        let duties = DutyStandin::start().await?;
        let mut runners = Vec::new();
        for (id, service, stage) in RUNNERS {
            let options = UpstreamOptions {
                id: id.into(),
                service: service.into(),
                zone: "a".into(),
                stage,
            };
            let runner = UpstreamStandin::start(options).await?;
            store.put_upstream(id, Some(&runner.entry("ready")));
            runners.push(runner);
        }
        store.put_settings(&site_settings(7));
        let mut site = Self {
            store,
            duties,
            runners,
            instances: Vec::new(),
            caller: SiteCaller::new()?,
        };
        for number in 0..instances {
            site.start_instance(number).await?;
        }
        let others = instances.saturating_sub(1);
        until("instances know each other", || {
            site.instances
                .iter()
                .all(|instance| instance.live_members() == others)
        })
        .await?;
        Ok(site)
    }

    /// Starts one more instance, with an address of the store of its own, and waits until it serves.
    ///
    /// # Errors
    ///
    /// If it can't be started or isn't ready in time.
    pub async fn start_instance(&mut self, number: usize) -> Result<()> {
        let door = self.store.open_endpoint().await?;
        let file = instance_file(&format!("n{number}"), door, self.duties.address());
        let settings = ProcessSettings::parse(file.to_string().as_bytes()).map_err(|reason| eyre!(reason))?;
        let server = GatewayServer::start(gateway_parts(&settings, None)?).await?;
        until("an instance is ready", || {
            server.is_ready() && server.usable_upstreams() == self.runners.len()
        })
        .await?;
        self.instances.push(server);
        Ok(())
    }

    /// Times that an attempt ran at any upstream, readings of its prompt not counted.
    pub fn runs_of(&self, attempt: &str) -> usize {
        let runs = self.runners.iter().flat_map(UpstreamStandin::runs);
        runs.filter(|run| run.attempt == attempt && !run.is_prefill)
            .count()
    }

    /// Requests reported as usage so far.
    pub fn reported(&self) -> u64 {
        self.duties
            .usage()
            .values()
            .flat_map(|usage| usage.counts.values())
            .sum()
    }

    /// Ends the instances gracefully, then the stand-ins.
    pub async fn close(self) {
        for instance in self.instances {
            instance.close().await;
        }
    }
}

/// Waits until something holds.
///
/// # Errors
///
/// If it doesn't hold for long.
pub async fn until(what: &str, holds: impl Fn() -> bool) -> Result<()> {
    let waited = tokio::time::timeout(WAIT_MOST, async {
        while !holds() {
            tokio::time::sleep(LOOK_EVERY).await;
        }
    });
    ensure!(waited.await.is_ok(), "timed out: {what}");
    Ok(())
}
