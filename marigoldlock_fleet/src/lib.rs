//! An embedded fleet: entry instances on loopback and stand-ins for all external services, in one process.
//!
//! Each instance has its own tokio runtime. Killing an instance shuts that runtime down, which stops all its
//! tasks and closes its connections at any point of their work, like killing a process.

mod deployment;
mod instance;
pub mod link;
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

/// Token of the administrator of an embedded fleet.
pub const ADMIN_TOKEN: &str = "mgl_embedded_fleet_administrator";

/// Number of other instances up to which every instance receives heartbeats from all others.
const MAX_FULL_MESH_PEERS: usize = 15;

/// Longest wait for an instance to become ready.
const READY_TIMEOUT: Duration = Duration::from_secs(20);

/// Size and behaviour of an embedded fleet.
#[derive(Clone, Debug)]
pub struct FleetOptions {
    /// Services, customers and data centres.
    pub deployment: Deployment,
    /// Number of entry instances.
    pub instances: usize,
    /// Number of model engines.
    pub engines: usize,
    /// Number of upstreams of the plain service.
    pub services: usize,
    /// Behaviour of the engines.
    pub engine: EngineOptions,
    /// Behaviour of the plain service's upstreams.
    pub service: ServiceOptions,
    /// Behaviour of the log.
    pub log: LogOptions,
    /// Behaviour of the ordering interface.
    pub ordering: OrderingOptions,
    /// Delay of updates to the instance list, in milliseconds.
    pub list_lag_ms: u64,
    /// Interval of heartbeats and of polls, in milliseconds.
    pub interval_ms: u64,
    /// Longest pause within a request that a caller is sending, in milliseconds.
    pub send_timeout_ms: u64,
    /// Longest time for which a caller may leave written bytes unread, in milliseconds.
    pub read_timeout_ms: u64,
}

impl FleetOptions {
    /// Returns the options for a deployment at its current size, with `instances` entry instances.
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

    /// Returns the options for a small, fast fleet for tests.
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
    /// Stand-in of the platform's log.
    pub log: LogStandin,
    /// Stand-in of the platform's instance list.
    pub list: ListStandin,
    /// Stand-in of the platform's ordering interface.
    pub ordering: OrderingStandin,
    /// Stand-in of the platform's usage interface.
    pub usage: UsageStandin,
    /// Host that runs the upstreams.
    pub host: Arc<LocalHost>,
    /// The entry instances, including those that have ended.
    pub instances: Vec<FleetInstance>,
    options: FleetOptions,
}

impl Fleet {
    /// Starts the stand-ins, the upstreams and the instances; waits until the instances are connected.
    ///
    /// # Errors
    ///
    /// Fails if an address can't be bound or an instance doesn't become ready in time.
    pub async fn start(options: FleetOptions) -> Result<Self> {
        let log = LogStandin::start(options.log.clone()).await?;
        let list_options = ListOptions {
            lag_ms: options.list_lag_ms,
            ..ListOptions::default()
        };
        let list = ListStandin::start(list_options).await?;
        let usage = UsageStandin::start(UsageOptions::default()).await?;
        let host = Arc::new(LocalHost::new(options.deployment.templates(&options)));
        let list_handle = Arc::new(list.handle().clone());
        let ordering = OrderingStandin::start(options.ordering.clone(), host.clone(), list_handle).await?;
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

    /// Appends a change of the settings to the log, like an operator with access to the log.
    ///
    /// Returns the offset of the record.
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

    /// Starts one more entry instance, waits until it is ready and adds it to the instance list.
    ///
    /// Returns its index.
    ///
    /// # Errors
    ///
    /// Fails if an address can't be bound or the instance doesn't become ready in time.
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

    /// Kills an instance. The instance list keeps showing it until [`Fleet::delist`].
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

    /// Removes an instance from the instance list.
    pub fn delist(&self, index: usize) {
        self.list.remove(self.instances[index].name());
    }

    /// Returns the ids of all upstreams of the service with the given name.
    pub fn upstreams(&self, service: &str) -> Vec<UpstreamId> {
        let upstreams = self.ordering.upstreams().into_iter();
        upstreams
            .filter(|(_, ordered)| ordered.service.as_str() == service)
            .map(|(id, _)| id)
            .collect()
    }

    /// Counts the runs of each idempotency key by the plain service's upstreams, including those that have
    /// ended.
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

    /// Returns the options that the fleet was started with.
    pub fn options(&self) -> &FleetOptions {
        &self.options
    }

    /// Stops everything at once, including requests in flight.
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

    /// Waits until every instance receives heartbeats from the others and load reports from the upstreams.
    async fn wait_connected(&self) {
        // In a larger fleet an instance receives heartbeats from only some of the others.
        let others = self.instances.len().saturating_sub(1).min(MAX_FULL_MESH_PEERS);
        let used_upstreams = |count: usize| count.min(UPSTREAMS_PER_SERVICE);
        let upstreams = used_upstreams(self.options.engines) + used_upstreams(self.options.services);
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
