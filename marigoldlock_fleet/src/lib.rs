//! A fleet in one process: stand-ins for everything outside, and entry instances on loopback.
//!
//! Each instance has a runtime of its own, so that it can be killed as a process is: all its tasks and
//! connections end at once, in the middle of whatever they did.

mod deployment;
mod instance;
pub mod process;
pub mod site;
pub mod soak;

use std::collections::BTreeMap;
use std::sync::Arc;
use std::time::Duration;

use eyre::Result;
use marigoldlock::cli::InstanceOptions;
use marigoldlock_core::keys::hash_key;
use marigoldlock_core::routing::UPSTREAMS_PER_SERVICE;
use marigoldlock_standin::prelude::*;
use marigoldlock_wire::codec;
use marigoldlock_wire::platform::{CapacityKind, ListEntry, ListKind, ListState};
use marigoldlock_wire::prelude::*;
use marigoldlock_wire::record::settings::SettingsChange;
use marigoldlock_wire::record::{Envelope, SETTINGS_STREAM};

pub use deployment::{Deployment, DeploymentName};
pub use instance::{FleetInstance, wait_until};

/// Administration token of an embedded fleet's own operator.
pub const ADMIN_TOKEN: &str = "mgl_embedded_fleet_administrator";

/// Others that every instance hears directly.
const MESH_OTHERS: usize = 15;

/// Longest wait for an instance to serve.
const READY_TIMEOUT: Duration = Duration::from_secs(20);

/// What an embedded fleet is made of.
#[derive(Clone, Debug)]
pub struct FleetOptions {
    /// Services, customers and data centres.
    pub deployment: Deployment,
    /// Entry instances.
    pub instances: usize,
    /// Model engines.
    pub engines: usize,
    /// Plain services.
    pub services: usize,
    /// How the engines behave.
    pub engine: EngineOptions,
    /// How the plain services behave.
    pub service: ServiceOptions,
    /// How the log behaves.
    pub log: LogOptions,
    /// How the ordering interface behaves.
    pub ordering: OrderingOptions,
    /// How far the instance list lags, in milliseconds.
    pub list_lag_ms: u64,
    /// Time between heartbeats and between polls, in milliseconds.
    pub interval_ms: u64,
    /// Longest silence of a caller that sends, in milliseconds.
    pub send_timeout_ms: u64,
    /// Longest time a caller leaves written bytes unread, in milliseconds.
    pub read_timeout_ms: u64,
}

impl FleetOptions {
    /// A deployment at today's size, with `instances` entry instances.
    pub fn new(deployment: Deployment, instances: usize) -> Self {
        Self {
            engines: deployment.engines,
            services: deployment.services,
            deployment,
            instances,
            engine: EngineOptions::default(),
            service: ServiceOptions::default(),
            log: LogOptions::default(),
            ordering: OrderingOptions::default(),
            list_lag_ms: 500,
            interval_ms: 200,
            send_timeout_ms: 10_000,
            read_timeout_ms: 30_000,
        }
    }

    /// A small and quick fleet for tests.
    pub fn small(instances: usize) -> Self {
        let engine = EngineOptions {
            prefill_tokens_per_s: 200_000.0,
            decode_tokens_per_s: 500.0,
            ..EngineOptions::default()
        };
        let service = ServiceOptions {
            work_ms: 5,
            ..ServiceOptions::default()
        };
        Self {
            engines: 3,
            services: 2,
            engine,
            service,
            list_lag_ms: 0,
            interval_ms: 50,
            ..Self::new(Deployment::pest(), instances)
        }
    }
}

/// A running fleet.
pub struct Fleet {
    /// The platform's log.
    pub log: LogStandin,
    /// The platform's instance list.
    pub list: ListStandin,
    /// The platform's ordering interface.
    pub ordering: OrderingStandin,
    /// The platform's usage interface.
    pub usage: UsageStandin,
    /// The upstreams.
    pub host: Arc<LocalHost>,
    /// The entry instances, also those that have ended.
    pub instances: Vec<FleetInstance>,
    options: FleetOptions,
}

impl Fleet {
    /// Starts everything and waits until the instances serve.
    ///
    /// # Errors
    ///
    /// Fails if an address can't be bound or an instance does not come to serve.
    pub async fn start(options: FleetOptions) -> Result<Self> {
        let log = LogStandin::start(options.log.clone()).await?;
        let list_options = ListOptions {
            lag_ms: options.list_lag_ms,
            ..ListOptions::default()
        };
        let list = ListStandin::start(list_options).await?;
        let usage = UsageStandin::start(UsageOptions::default()).await?;
        let host = Arc::new(LocalHost::new(options.deployment.templates(&options)));
        let shown = Arc::new(list.handle().clone());
        let ordering = OrderingStandin::start(options.ordering.clone(), host.clone(), shown).await?;
        let mut fleet = Self {
            log,
            list,
            ordering,
            usage,
            host,
            instances: Vec::new(),
            options,
        };
        fleet.publish_deployment();
        fleet.start_upstreams().await?;
        for _ in 0..fleet.options.instances {
            fleet.add_instance().await?;
        }
        fleet.wait_connected().await;
        Ok(fleet)
    }

    /// Publishes a change of the settings as an operator with access to the log would.
    pub fn publish(&self, path: &str, body: &str) -> u64 {
        let change = SettingsChange {
            path: path.to_owned(),
            body: Some(body.to_owned()),
            expect: None,
            author: "fleet".to_owned(),
        };
        let envelope = Envelope {
            id: RecordId(rand::random()),
            writer: InstanceId::from("fleet"),
            incarnation: Incarnation(0),
            records: vec![change],
        };
        self.log.append(SETTINGS_STREAM, &codec::encode(&envelope))
    }

    /// Starts one more entry instance and waits until it serves.
    ///
    /// # Errors
    ///
    /// Fails if an address can't be bound or the instance does not come to serve.
    pub async fn add_instance(&mut self) -> Result<usize> {
        let index = self.instances.len();
        let data_centres = &self.options.deployment.data_centres;
        let data_centre = &data_centres[index % data_centres.len()];
        let options = self.instance_options(index, data_centre);
        let instance = FleetInstance::start(options).await?;
        instance.wait_ready(READY_TIMEOUT).await?;
        self.list.set(ListEntry {
            id: instance.name().to_owned(),
            kind: ListKind::Entry,
            service: None,
            data_centre: data_centre.clone(),
            address: instance.address().to_string(),
            peer_address: Some(instance.peer_address().to_string()),
            capacity: CapacityKind::Steady,
            state: ListState::Live,
        });
        self.instances.push(instance);
        Ok(index)
    }

    /// Ends an instance at once, as a kill would; the list keeps showing it until [`Fleet::delist`].
    pub fn kill_instance(&mut self, index: usize) {
        self.instances[index].kill();
    }

    /// Shuts an instance down gracefully; returns whether all its requests finished.
    pub async fn close_instance(&mut self, index: usize) -> bool {
        self.list
            .handle()
            .set_state(self.instances[index].name(), ListState::Leaving);
        let finished = self.instances[index].close().await;
        self.delist(index);
        finished
    }

    /// Takes an instance off the list.
    pub fn delist(&self, index: usize) {
        self.list.remove(self.instances[index].name());
    }

    /// Upstreams of a service, by name.
    pub fn upstreams(&self, service: &str) -> Vec<UpstreamId> {
        let upstreams = self.ordering.upstreams().into_iter();
        upstreams
            .filter(|(_, ordered)| ordered.service.as_str() == service)
            .map(|(id, _)| id)
            .collect()
    }

    /// How often the plain services ran each idempotency key, over all upstreams, also those that ended.
    pub fn runs_by_key(&self) -> BTreeMap<String, u64> {
        let mut runs = BTreeMap::new();
        let seen = self
            .host
            .names()
            .into_iter()
            .filter_map(|upstream| self.host.service_seen(&upstream));
        for key in seen.flat_map(|seen| seen.calls).filter_map(|call| call.key) {
            *runs.entry(key).or_default() += 1;
        }
        runs
    }

    /// What the fleet is made of.
    pub fn options(&self) -> &FleetOptions {
        &self.options
    }

    /// Ends everything, requests included.
    pub async fn close(mut self) {
        for instance in &mut self.instances {
            instance.kill();
        }
        self.ordering.close().await;
        self.usage.close().await;
        self.list.close().await;
        self.log.close().await;
    }

    fn publish_deployment(&self) {
        for (path, body) in self.options.deployment.settings() {
            self.publish(&path, &body);
        }
    }

    async fn start_upstreams(&self) -> Result<()> {
        let deployment = &self.options.deployment;
        let data_centres = &deployment.data_centres;
        let groups = [
            (&deployment.chat, self.options.engines),
            (&deployment.plain, self.options.services),
        ];
        for (service, count) in groups {
            for index in 0..count {
                let data_centre = &data_centres[index % data_centres.len()];
                self.ordering
                    .start_now(service, data_centre, CapacityKind::Steady)
                    .await?;
            }
        }
        Ok(())
    }

    /// Waits until every instance hears every other and knows the upstreams.
    async fn wait_connected(&self) {
        // Beyond a full mesh an instance hears only some of the others.
        let others = self.instances.len().saturating_sub(1).min(MESH_OTHERS);
        let used = |count: usize| count.min(UPSTREAMS_PER_SERVICE);
        let upstreams = used(self.options.engines) + used(self.options.services);
        for instance in &self.instances {
            instance.wait_members(others, READY_TIMEOUT).await;
            instance.wait_upstreams(upstreams, READY_TIMEOUT).await;
        }
    }

    fn instance_options(&self, index: usize, data_centre: &DataCentre) -> InstanceOptions {
        let url = |address: std::net::SocketAddr| format!("http://{address}");
        InstanceOptions {
            name: format!("{}-{index}", self.options.deployment.name),
            data_centre: data_centre.as_str().to_owned(),
            listen: ([127, 0, 0, 1], 0).into(),
            peer_listen: ([127, 0, 0, 1], 0).into(),
            advertise: None,
            peer_advertise: None,
            log_url: url(self.log.address()),
            list_url: url(self.list.address()),
            ordering_url: Some(url(self.ordering.address())),
            usage_url: Some(url(self.usage.address())),
            admin_hash: Some(hash_key(ADMIN_TOKEN).to_string()),
            heartbeat_ms: self.options.interval_ms,
            poll_ms: self.options.interval_ms,
            report_bytes_per_s: 10_000_000,
            max_connections: 10_000,
            max_header_bytes: 32 << 10,
            send_timeout_ms: self.options.send_timeout_ms,
            read_timeout_ms: self.options.read_timeout_ms,
            drain_timeout_s: 60,
            leave_notice_ms: self.options.interval_ms * 4,
        }
    }
}
