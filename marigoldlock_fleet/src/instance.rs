//! One entry instance of an embedded fleet.

use std::net::SocketAddr;
use std::time::Duration;

use eyre::{Result, ensure};
use marigoldlock::cli::InstanceOptions;
use marigoldlock::instance::Instance;
use tokio::runtime::{Builder, Runtime};

/// Time between two looks at a condition.
const LOOK_INTERVAL: Duration = Duration::from_millis(10);

/// Threads of an instance.
const INSTANCE_THREADS: usize = 2;

/// An entry instance with a runtime of its own.
pub struct FleetInstance {
    name: String,
    address: SocketAddr,
    peer_address: SocketAddr,
    running: Option<(Runtime, Instance)>,
}

impl FleetInstance {
    /// Starts an instance.
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

    /// Name of the instance.
    pub fn name(&self) -> &str {
        &self.name
    }

    /// Address for callers.
    pub fn address(&self) -> SocketAddr {
        self.address
    }

    /// Address for peers.
    pub fn peer_address(&self) -> SocketAddr {
        self.peer_address
    }

    /// URL for callers.
    pub fn url(&self, path: &str) -> String {
        format!("http://{}{path}", self.address)
    }

    /// The instance; `None` once it has ended.
    pub fn instance(&self) -> Option<&Instance> {
        self.running.as_ref().map(|(_, instance)| instance)
    }

    /// Waits until the instance serves.
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
            "instance {} does not come to serve",
            self.name
        );
        Ok(())
    }

    /// Waits until that many other instances are live and ready; false if that takes too long.
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

    /// Waits until that many upstreams have reported their load; false if that takes too long.
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

    /// Ends the instance at once, with all its connections.
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
        // A runtime may not be dropped within another one.
        self.kill();
    }
}

/// Looks at a condition until it holds; false if that takes longer than `timeout`.
pub async fn wait_until(timeout: Duration, mut condition: impl AsyncFnMut() -> bool) -> bool {
    let looks = async {
        while !condition().await {
            tokio::time::sleep(LOOK_INTERVAL).await;
        }
    };
    tokio::time::timeout(timeout, looks).await.is_ok()
}
