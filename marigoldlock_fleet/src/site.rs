//! A site of the users' platform: instances in this process, connected to stand-ins of the platform's
//! services.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use eyre::{Result, ensure, eyre};
use marigoldlock::gateway::{GatewayParts, GatewayServer};
use marigoldlock::platform_run::gateway_parts;
use marigoldlock_core::gateway::adapter::FormatError;
use marigoldlock_core::gateway::hedge::HedgeShare;
use marigoldlock_core::gateway::prelude::*;
use marigoldlock_core::prelude::*;
use marigoldlock_platform::ProcessSettings;
use marigoldlock_standin::site::{
    DutyStandin, SiteCaller, StoreStandin, UpstreamOptions, UpstreamStandin, instance_file, site_settings,
};

use crate::link::{LinkMode, LinkProxy, PeerAddress, PeerLink};

/// Longest wait for a condition, far above the time that any of them takes.
const WAIT_TIMEOUT: Duration = Duration::from_secs(30);

/// Interval at which a condition is checked.
const POLL_INTERVAL: Duration = Duration::from_millis(10);

/// Upstreams of the site: id, service and stage.
const UPSTREAMS: [(&str, &str, Option<&str>); 5] = [
    ("p1", "llm", Some("prefill")),
    ("d1", "llm", Some("decode")),
    ("d2", "llm", Some("decode")),
    ("a1", "app", None),
    ("a2", "app", None),
];

/// Software version of the upstreams with which a site starts.
pub const BASE_VERSION: &str = "v1";

/// Links between one instance and the upstreams.
#[derive(Debug, Default)]
pub struct UpstreamLinks {
    links: Vec<(SocketAddr, LinkProxy)>,
}

impl UpstreamLinks {
    /// Sets the mode of all links.
    pub fn set_mode(&self, mode: LinkMode) {
        for (_, link) in &self.links {
            link.set_mode(mode);
        }
    }

    /// Addresses of the links by those of the upstreams.
    fn addresses(&self) -> FastMap<SocketAddr, SocketAddr> {
        let links = self.links.iter();
        links
            .map(|(upstream, link)| (*upstream, link.address()))
            .collect()
    }
}

/// Format of the store's records that replaces the addresses of upstreams by those of links.
struct LinkedFormat {
    format: Arc<dyn RecordFormat>,
    addresses: FastMap<SocketAddr, SocketAddr>,
}

impl RecordFormat for LinkedFormat {
    fn settings(&self, value: &[u8]) -> Result<GatewaySettings, FormatError> {
        self.format.settings(value)
    }

    fn settings_key(&self) -> &str {
        self.format.settings_key()
    }

    fn upstream(&self, id: &str, value: &[u8]) -> Result<UpstreamEntry, FormatError> {
        let mut entry = self.format.upstream(id, value)?;
        if let Some(address) = self.addresses.get(&entry.address) {
            entry.address = *address;
        }
        Ok(entry)
    }

    fn entry_writes(&self, value: &[u8]) -> Option<u64> {
        self.format.entry_writes(value)
    }
}

/// The stand-ins and instances of one site.
pub struct PlatformSite {
    /// Stand-in of the store.
    pub store: StoreStandin,
    /// Stand-in that receives the duty calls.
    pub duties: DutyStandin,
    /// The upstreams: one for prefill, two for decode and two of a plain service.
    pub upstreams: Vec<UpstreamStandin>,
    /// The instances.
    pub instances: Vec<GatewayServer>,
    /// Client that sends requests to the instances.
    pub caller: SiteCaller,
}

impl PlatformSite {
    /// Starts a site and waits until all instances are ready and have discovered each other.
    ///
    /// # Errors
    ///
    /// Fails if a part can't be started or isn't ready in time.
    pub async fn start(instances: usize) -> Result<Self> {
        let store = StoreStandin::start().await?;
        let duties = DutyStandin::start().await?;
        let mut upstreams = Vec::new();
        for (id, service, stage) in UPSTREAMS {
            let options = UpstreamOptions {
                id: id.into(),
                service: service.into(),
                zone: "a".into(),
                stage,
                version: BASE_VERSION.into(),
            };
            let upstream = UpstreamStandin::start(options).await?;
            store.put_upstream(id, Some(&upstream.entry("ready")));
            upstreams.push(upstream);
        }
        store.put_settings(&site_settings(7));
        let mut site = Self {
            store,
            duties,
            upstreams,
            instances: Vec::new(),
            caller: SiteCaller::new()?,
        };
        for number in 0..instances {
            site.start_with(number, true).await?;
        }
        let others = instances.saturating_sub(1);
        until("the instances discover each other", || {
            site.instances
                .iter()
                .all(|instance| instance.live_members() == others)
        })
        .await?;
        Ok(site)
    }

    /// Starts one more instance, which uses its own address of the store, and waits until it is ready.
    ///
    /// # Errors
    ///
    /// Fails if it can't be started or isn't ready in time.
    pub async fn start_instance(&mut self, number: usize) -> Result<()> {
        self.start_with(number, false).await
    }

    async fn start_with(&mut self, number: usize, is_first_start: bool) -> Result<()> {
        let parts = self.instance_parts(number, is_first_start).await?;
        self.start_parts(parts).await
    }

    async fn instance_parts(&mut self, number: usize, is_first_start: bool) -> Result<GatewayParts> {
        let store_address = self.store.open_endpoint().await?;
        let mut file = instance_file(&format!("n{number}"), store_address, self.duties.address());
        file["Bootstrap"] = is_first_start.into();
        let settings = ProcessSettings::parse(file.to_string().as_bytes()).map_err(|reason| eyre!(reason))?;
        gateway_parts(&settings, None)
    }

    async fn start_parts(&mut self, parts: GatewayParts) -> Result<()> {
        let server = GatewayServer::start(parts).await?;
        until("the instance is ready", || {
            server.is_ready() && server.has_member_list() && server.usable_upstreams() == self.upstreams.len()
        })
        .await?;
        self.instances.push(server);
        Ok(())
    }

    /// Starts one more instance that reaches the upstreams over links of its own.
    ///
    /// # Errors
    ///
    /// Fails if it can't be started or isn't ready in time.
    pub async fn start_linked_instance(&mut self, number: usize) -> Result<UpstreamLinks> {
        let mut links = UpstreamLinks::default();
        for upstream in &self.upstreams {
            let link = LinkProxy::start(upstream.address()).await?;
            links.links.push((upstream.address(), link));
        }
        let mut parts = self.instance_parts(number, false).await?;
        parts.record_format = Arc::new(LinkedFormat {
            format: parts.record_format,
            addresses: links.addresses(),
        });
        self.start_parts(parts).await?;
        Ok(links)
    }

    /// Starts one more instance that sends hedged requests, as if it were the first of its fleet.
    ///
    /// # Errors
    ///
    /// Fails if it can't be started or isn't ready in time.
    pub async fn start_hedging_instance(&mut self, number: usize, hedge_share: HedgeShare) -> Result<()> {
        let parts = GatewayParts {
            hedge_share,
            ..self.instance_parts(number, true).await?
        };
        self.start_parts(parts).await
    }

    /// Starts one more instance that can be cut off from what the other instances send.
    ///
    /// # Errors
    ///
    /// Fails if it can't be started or isn't ready in time.
    pub async fn start_separable_instance(&mut self, number: usize) -> Result<PeerLink> {
        let peer = PeerAddress::reserve().await?;
        let mut parts = self.instance_parts(number, false).await?;
        parts.card.peer = peer.address()?;
        self.start_parts(parts).await?;
        let target = self.instances.last().map(|instance| instance.addresses().peer);
        let target = target.ok_or_else(|| eyre!("the instance is gone"))?;
        Ok(peer.forward(target)?)
    }

    /// Starts one more upstream, whether or not instances can learn of it.
    ///
    /// # Errors
    ///
    /// Fails if it can't be started.
    pub async fn start_upstream(&mut self, options: UpstreamOptions) -> Result<()> {
        let upstream = UpstreamStandin::start(options).await?;
        self.store
            .put_upstream(upstream.id(), Some(&upstream.entry("ready")));
        self.upstreams.push(upstream);
        Ok(())
    }

    /// Starts one more upstream and waits until all instances list it.
    ///
    /// # Errors
    ///
    /// Fails if it can't be started or isn't listed in time.
    pub async fn add_upstream(&mut self, options: UpstreamOptions) -> Result<()> {
        self.start_upstream(options).await?;
        until("the instances list the upstream", || {
            self.instances
                .iter()
                .all(|instance| instance.usable_upstreams() == self.upstreams.len())
        })
        .await
    }

    /// Counts how often the upstreams ran an attempt. Prefill runs are not counted.
    pub fn runs_of(&self, attempt: &str) -> usize {
        let runs = self.upstreams.iter().flat_map(UpstreamStandin::runs);
        runs.filter(|run| run.attempt == attempt && !run.is_prefill)
            .count()
    }

    /// Returns the number of requests reported as usage so far.
    pub fn reported_requests(&self) -> u64 {
        self.duties
            .usage()
            .values()
            .flat_map(|usage| usage.counts.values())
            .sum()
    }

    /// Shuts the instances down gracefully, then stops the stand-ins.
    pub async fn close(self) {
        for instance in self.instances {
            instance.close().await;
        }
    }
}

/// Waits until a condition holds. `what` names the condition in the error.
///
/// # Errors
///
/// Fails if the condition doesn't hold in time.
pub async fn until(what: &str, holds: impl Fn() -> bool) -> Result<()> {
    let waited = tokio::time::timeout(WAIT_TIMEOUT, async {
        while !holds() {
            tokio::time::sleep(POLL_INTERVAL).await;
        }
    });
    ensure!(waited.await.is_ok(), "timed out waiting for: {what}");
    Ok(())
}
