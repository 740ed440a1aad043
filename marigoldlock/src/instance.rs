//! Startup and shutdown of an entry instance.

mod handler;
mod parts;

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use eyre::{Result, bail};
use log::{info, warn};
use marigoldlock_core::keys::FreshnessVerdict;
use marigoldlock_wire::platform::InstanceList;
use marigoldlock_wire::prelude::*;
use tokio::sync::watch;
use tokio::task::AbortHandle;
use tokio_util::task::TaskTracker;

use self::handler::InstanceHandler;
use self::parts::{InstanceParts, spawn};
use crate::admin::{AdminContext, admin_router};
use crate::cli::InstanceOptions;
use crate::clock::{BootClock, TimeSource};
use crate::control::ControlHandle;
use crate::front::{ConnectionLimits, FrontContext, FrontServer, front_router};
use crate::members::{HeartbeatExchange, InstanceInfo, PollLimits, poll_list, poll_upstreams};
use crate::peer::PeerServer;
use crate::platform::{HttpListClient, HttpLogClient, ListClient, LogClient};
use crate::settings::SettingsServer;

/// How long a shutdown waits for running peer requests.
const PEER_DRAIN_TIMEOUT: Duration = Duration::from_secs(5);

/// How long a shutdown waits until this instance has resigned its duties.
const RESIGN_TIMEOUT: Duration = Duration::from_secs(5);

/// A running entry instance.
pub struct Instance {
    options: InstanceOptions,
    context: Arc<FrontContext>,
    front: FrontServer,
    peer_server: PeerServer,
    peer_address: SocketAddr,
    calls: TaskTracker,
    control: ControlHandle,
    exchange: Arc<HeartbeatExchange>,
    tasks: Vec<AbortHandle>,
}

impl Instance {
    /// Starts an instance. It serves requests once it has loaded the settings.
    ///
    /// # Errors
    ///
    /// Fails if a flag has an invalid value or an address can't be bound.
    pub async fn start(options: InstanceOptions) -> Result<Self> {
        options.check()?;
        let log = Arc::new(HttpLogClient::new(&options.log_url));
        let list = Arc::new(HttpListClient::new(&options.list_url));
        Self::start_with(options, log, list, Arc::new(BootClock)).await
    }

    /// Starts an instance with the given platform clients and clock.
    ///
    /// # Errors
    ///
    /// Fails if an address can't be bound.
    pub async fn start_with(
        options: InstanceOptions,
        log: Arc<dyn LogClient>,
        list: Arc<dyn ListClient>,
        clock: Arc<dyn TimeSource>,
    ) -> Result<Self> {
        crate::metrics::init();
        let listener = std::net::TcpListener::bind(options.listen);
        let listener = match listener {
            Ok(listener) => listener,
            Err(err) => bail!("--listen {}: {err}", options.listen),
        };
        let address = options.advertise.unwrap_or(listener.local_addr()?);
        let (peer_server, peer_listener) = PeerServer::bind(options.peer_listen).await?;
        let peer_address = options.peer_advertise.unwrap_or(peer_server.address());
        let own = instance_info(&options, clock.as_ref(), address, peer_address);
        let (feed, list_feed) = watch::channel(Arc::new(InstanceList::default()));
        let parts = InstanceParts::build(&options, &own, Arc::clone(&log), clock, &list_feed);
        let admin = admin_context(&options, &own, &parts, log);
        let mut tasks = parts.tasks;
        let control = parts.exchange.control.clone();
        let exchange = Arc::clone(&parts.exchange);
        let dispatch = parts.dispatch.clone();
        tasks.push(spawn(poll_list(
            list,
            options.poll(),
            feed,
            dispatch.clone(),
            parts.members.clone(),
        )));
        tasks.push(spawn(poll_upstreams(
            list_feed,
            upstream_poll_limits(&options),
            own.instance.clone(),
            own.data_centre.clone(),
            dispatch,
        )));
        tasks.push(spawn(Arc::clone(&parts.exchange).run(options.heartbeat())));
        let settings = SettingsServer {
            clock: Arc::clone(&parts.context.clock),
            handle: parts.context.settings.clone(),
            actor: parts.exchange.settings_actor.clone(),
        };
        let handler = InstanceHandler {
            context: Arc::clone(&parts.context),
            exchange: parts.exchange,
            settings,
        };
        peer_server.serve(peer_listener, Arc::new(handler));
        let router = front_router(Arc::clone(&parts.context)).merge(admin_router(Arc::new(admin)));
        let front = FrontServer::start(listener, connection_limits(&options), router)?;
        info!(instance = options.name, address:%, peer_address:%; "instance started");
        let calls = parts.context.calls.tracker.clone();
        Ok(Self {
            options,
            context: parts.context,
            front,
            peer_server,
            peer_address,
            calls,
            control,
            exchange,
            tasks,
        })
    }

    /// Address for callers.
    pub fn address(&self) -> SocketAddr {
        self.front.address()
    }

    /// Address for peers.
    pub fn peer_address(&self) -> SocketAddr {
        self.peer_address
    }

    /// State shared by the request handlers.
    pub fn context(&self) -> &Arc<FrontContext> {
        &self.context
    }

    /// Waits until the settings are loaded and fresh enough to serve; returns false on timeout.
    pub async fn wait_ready(&self, timeout: Duration) -> bool {
        let settings = self.context.settings.clone();
        let clock = &self.context.clock;
        let ready = settings.wait_for(|state| state.verdict(clock.now()) == FreshnessVerdict::Serve);
        tokio::time::timeout(timeout, ready).await.unwrap_or(false)
    }

    /// Shuts down gracefully: stops being advertised to callers, waits for running requests, then stops.
    ///
    /// Returns whether all running requests finished before the drain timeout.
    pub async fn close(self) -> bool {
        info!(instance = self.options.name; "shutting down");
        self.context.set_leaving();
        self.context.calls.home.leave();
        self.control.begin_leave();
        tokio::time::sleep(Duration::from_millis(self.options.leave_notice_ms)).await;
        let finished = self
            .front
            .close(Duration::from_secs(self.options.drain_timeout_s))
            .await;
        self.calls.close();
        let calls = tokio::time::timeout(
            Duration::from_secs(self.options.drain_timeout_s),
            self.calls.wait(),
        );
        let finished = finished && calls.await.is_ok();
        // Sends the usage counted during the drain to the peers before this instance stops.
        self.exchange.run_round().await;
        if !self.control.leave(RESIGN_TIMEOUT).await {
            warn!(instance = self.options.name; "duties were not resigned in time; other instances take over when the leases expire");
        }
        let finished = self.peer_server.close(PEER_DRAIN_TIMEOUT).await && finished;
        for task in &self.tasks {
            task.abort();
        }
        if !finished {
            warn!(instance = self.options.name; "drain timeout reached; dropping the requests that are still running");
        }
        finished
    }
}

fn instance_info(
    options: &InstanceOptions,
    clock: &dyn TimeSource,
    address: SocketAddr,
    peer_address: SocketAddr,
) -> InstanceInfo {
    InstanceInfo {
        instance: InstanceId::from(options.name.as_str()),
        incarnation: Incarnation(rand::random()),
        started_ms: clock.unix_ms(),
        data_centre: options.data_centre_id(),
        address: address.to_string(),
        peer_address: peer_address.to_string(),
    }
}

fn admin_context(
    options: &InstanceOptions,
    own: &InstanceInfo,
    parts: &InstanceParts,
    log: Arc<dyn LogClient>,
) -> AdminContext {
    AdminContext {
        instance: own.instance.clone(),
        incarnation: own.incarnation,
        clock: Arc::clone(&parts.context.clock),
        settings: parts.context.settings.clone(),
        settings_actor: parts.exchange.settings_actor.clone(),
        log,
        front: Arc::clone(&parts.context),
        control: parts.exchange.control.clone(),
        root_hash: options.admin_hash.as_deref().and_then(|hash| hash.parse().ok()),
    }
}

fn upstream_poll_limits(options: &InstanceOptions) -> PollLimits {
    PollLimits {
        min_interval: options.poll(),
        bytes_per_s: options.report_bytes_per_s,
    }
}

fn connection_limits(options: &InstanceOptions) -> ConnectionLimits {
    ConnectionLimits {
        max_connections: options.max_connections,
        max_header_bytes: options.max_header_bytes,
        header_timeout: options.send_timeout(),
        read_timeout: options.read_timeout(),
    }
}

/// Waits for SIGTERM or SIGINT.
///
/// # Errors
///
/// Fails if the signal handlers can't be installed.
pub async fn wait_for_signal() -> Result<()> {
    use tokio::signal::unix::{SignalKind, signal};

    let mut terminate = signal(SignalKind::terminate())?;
    let mut interrupt = signal(SignalKind::interrupt())?;
    tokio::select! {
        _ = terminate.recv() => (),
        _ = interrupt.recv() => (),
    }
    Ok(())
}
