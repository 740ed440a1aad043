//! One entry instance of an embedded fleet.

use std::net::SocketAddr;
use std::time::Duration;

use eyre::{Result, ensure};
use marigoldlock::cli::InstanceOptions;
use marigoldlock::instance::Instance;
use tokio::runtime::{Builder, Runtime};

/// Interval at which a condition is checked.
const POLL_INTERVAL: Duration = Duration::from_millis(10);

/// Worker threads of an instance's runtime.
const INSTANCE_THREADS: usize = 2;

/// An entry instance with its own tokio runtime.
pub struct FleetInstance {
    name: String,
    address: SocketAddr,
    peer_address: SocketAddr,
    running: Option<(Runtime, Instance)>,
}

impl FleetInstance {
    /// Starts an instance on a new runtime whose threads have the instance's name.
    ///
    /// # Errors
    ///
    /// Fails if an address can't be bound.
    pub async fn start(options: InstanceOptions) -> Result<Self> {
        let runtime = Builder::new_multi_thread()
            .worker_threads(INSTANCE_THREADS)
            .thread_name(&options.name)
            .enable_all()
            .build()?;
        let name = options.name.clone();
        let instance = runtime.spawn(Instance::start(options)).await??;
        let address = instance.address();
        let peer_address = instance.peer_address();
        Ok(Self {
            name,
            address,
            peer_address,
            running: Some((runtime, instance)),
        })
    }

    /// Returns the name, also after the instance has ended.
    pub fn name(&self) -> &str {
        &self.name
    }

    /// Returns the address that serves callers.
    pub fn address(&self) -> SocketAddr {
        self.address
    }

    /// Returns the address that serves peers.
    pub fn peer_address(&self) -> SocketAddr {
        self.peer_address
    }

    /// Returns the URL of a path at the address that serves callers.
    pub fn url(&self, path: &str) -> String {
        format!("http://{}{path}", self.address)
    }

    /// Returns the instance, or `None` once it has ended.
    pub fn instance(&self) -> Option<&Instance> {
        self.running.as_ref().map(|(_, instance)| instance)
    }

    /// Waits until the instance is ready.
    ///
    /// # Errors
    ///
    /// Fails if that takes longer than `timeout`.
    pub async fn wait_ready(&self, timeout: Duration) -> Result<()> {
        let Some(instance) = self.instance() else {
            return Ok(());
        };
        ensure!(
            instance.wait_ready(timeout).await,
            "instance {} did not become ready in time",
            self.name
        );
        Ok(())
    }

    /// Waits until at least `count` other instances are live and ready; returns false on a timeout.
    pub async fn wait_members(&self, count: usize, timeout: Duration) -> bool {
        wait_until(timeout, async || {
            let Some(instance) = self.instance() else {
                return true;
            };
            let members = instance.context().members.list().await;
            members
                .iter()
                .filter(|member| member.state == "live" && member.ready)
                .count()
                >= count
        })
        .await
    }

    /// Waits until at least `count` upstreams have reported their load; returns false on a timeout.
    pub async fn wait_upstreams(&self, count: usize, timeout: Duration) -> bool {
        wait_until(timeout, async || {
            let Some(instance) = self.instance() else {
                return true;
            };
            let upstreams = instance.context().dispatch.upstreams().await;
            upstreams
                .iter()
                .filter(|upstream| upstream.report_age_ms.is_some())
                .count()
                >= count
        })
        .await
    }

    /// Stops the instance without a graceful shutdown and closes all its connections.
    pub fn kill(&mut self) {
        if let Some((runtime, _)) = self.running.take() {
            runtime.shutdown_background();
        }
    }

    /// Shuts the instance down gracefully; returns whether all its requests finished.
    pub async fn close(&mut self) -> bool {
        let Some((runtime, instance)) = self.running.take() else {
            return true;
        };
        let finished = runtime.spawn(instance.close()).await.unwrap_or(false);
        runtime.shutdown_background();
        finished
    }
}

impl Drop for FleetInstance {
    fn drop(&mut self) {
        // Dropping a runtime in an asynchronous context panics.
        self.kill();
    }
}

/// Polls a condition until it holds; returns false if that takes longer than `timeout`.
pub async fn wait_until(timeout: Duration, mut condition: impl AsyncFnMut() -> bool) -> bool {
    let polls = async {
        while !condition().await {
            tokio::time::sleep(POLL_INTERVAL).await;
        }
    };
    tokio::time::timeout(timeout, polls).await.is_ok()
}
