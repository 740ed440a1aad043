//! The gateway: relays opaque HTTP calls between callers and upstreams.
//!
//! The wire is met through the borders of `marigoldlock_core::gateway`; this module does the I/O around its
//! decisions. One task serves each caller's connection; what they share stands in [`GatewayState`] behind one
//! lock that is never held across an await.

mod capacity;
mod duties;
mod follow;
mod front;
mod links;
mod peers;
mod respond;
mod roles;
mod session;
mod state;
mod stream;
mod work;

use std::net::SocketAddr;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Duration;

use eyre::{Result, WrapErr};
use marigoldlock_core::gateway::border::{DirectoryProtocol, UpstreamOrders};
use marigoldlock_core::gateway::budget::BudgetLimits;
use marigoldlock_core::gateway::members::{MemberCard, MemberStage};
use marigoldlock_core::gateway::prelude::*;
use marigoldlock_core::prelude::*;
use tokio::net::{TcpListener, UdpSocket};
use tokio::sync::Notify;
use tokio_util::sync::CancellationToken;
use tokio_util::task::TaskTracker;

use crate::clock::TimeSource;

use links::LinkPool;
use state::GatewayState;

/// Time after the signal to end in which callers may still connect: they keep an address answer for up to three
/// times its lifetime.
const LEAVE_NOTICE: Duration = Duration::from_millis(3_300);

/// Time before the kill at which the process ends, requests or not.
const KILL_MARGIN: Duration = Duration::from_millis(400);

/// Addresses that an instance listens on.
#[derive(Clone, Copy, Debug)]
pub struct GatewayAddresses {
    /// For callers.
    pub front: SocketAddr,
    /// For readiness questions.
    pub readiness: SocketAddr,
    /// For questions about addresses.
    pub directory: Option<SocketAddr>,
    /// For metrics.
    pub metrics: Option<SocketAddr>,
}

/// Bounds that the gateway keeps to.
#[derive(Clone, Copy, Debug)]
pub struct GatewayBounds {
    /// Repeats of requests, over all instances.
    pub budget: BudgetLimits,
    /// Time between the signal to end and the kill.
    pub shutdown_grace: Duration,
    /// Time in which holders of the duties must not take turns.
    pub lease: Duration,
    /// Length of a usage window.
    pub usage_window: Duration,
    /// Time after its end in which a usage window is due.
    pub usage_due: Duration,
}

/// What a gateway is made of.
pub struct GatewayParts {
    /// What the instance says of itself.
    pub card: MemberCard,
    /// Where it listens.
    pub addresses: GatewayAddresses,
    /// Addresses of some other instances.
    pub seeds: Vec<SocketAddr>,
    /// Bounds.
    pub bounds: GatewayBounds,
    /// Callers' protocol.
    pub caller: Arc<dyn CallerProtocol>,
    /// Upstreams' protocol.
    pub upstream: Arc<dyn UpstreamProtocol>,
    /// Protocol of the calls about the instance.
    pub directory: Arc<dyn DirectoryProtocol>,
    /// The store.
    pub store: Arc<dyn SharedStore>,
    /// Formats of the store's records.
    pub format: Arc<dyn RecordFormat>,
    /// The platform's duty calls.
    pub duties: Option<Arc<dyn DutyApi>>,
    /// Orders to upstreams.
    pub orders: Arc<dyn UpstreamOrders>,
    /// Clocks.
    pub clock: Arc<dyn TimeSource>,
}

/// What the tasks of a gateway share.
pub(crate) struct Gateway {
    parts: GatewayParts,
    state: Mutex<GatewayState>,
    links: Mutex<LinkPool>,
    /// Told when work at upstreams has changed.
    work_changed: Notify,
    tracker: TaskTracker,
    closing: CancellationToken,
}

impl Gateway {
    fn state(&self) -> MutexGuard<'_, GatewayState> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }

    fn links(&self) -> MutexGuard<'_, LinkPool> {
        self.links.lock().unwrap_or_else(PoisonError::into_inner)
    }

    fn now(&self) -> MonoTime {
        self.parts.clock.now()
    }
}

/// A running gateway.
pub struct GatewayServer {
    gateway: Arc<Gateway>,
    background: CancellationToken,
}

impl GatewayServer {
    /// Binds the listeners and starts to follow the store.
    ///
    /// # Errors
    ///
    /// Fails if an address can't be listened on.
    pub async fn start(parts: GatewayParts) -> Result<Self> {
        let addresses = parts.addresses;
        let peer_address = parts.card.peer;
        let state = GatewayState::default();
        let gateway = Arc::new(Gateway {
            state: Mutex::new(state),
            links: Mutex::new(LinkPool::default()),
            work_changed: Notify::new(),
            tracker: TaskTracker::new(),
            closing: CancellationToken::new(),
            parts,
        });
        let background = CancellationToken::new();
        let socket = UdpSocket::bind(peer_address)
            .await
            .wrap_err_with(|| format!("bind {peer_address}"))?;
        let peer_listener = bind(peer_address).await?;
        front::spawn(
            &gateway,
            bind(addresses.readiness).await?,
            front::Surface::Instance,
        );
        if let Some(address) = addresses
            .directory
            .filter(|address| *address != addresses.readiness)
        {
            front::spawn(&gateway, bind(address).await?, front::Surface::Instance);
        }
        if let Some(address) = addresses.metrics {
            front::spawn(&gateway, bind(address).await?, front::Surface::Metrics);
        }
        front::spawn(&gateway, peer_listener, front::Surface::Peer);
        front::spawn(&gateway, bind(addresses.front).await?, front::Surface::Callers);
        spawn_until(&background, follow::follow_settings(Arc::clone(&gateway)));
        spawn_until(&background, follow::follow_upstreams(Arc::clone(&gateway)));
        spawn_until(&background, follow::join_members(Arc::clone(&gateway)));
        spawn_until(&background, peers::exchange(Arc::clone(&gateway), socket));
        spawn_until(&background, duties::run(Arc::clone(&gateway)));
        log::info!(
            instance:% = gateway.parts.card.id, incarnation:% = gateway.parts.card.incarnation,
            front:% = addresses.front, data_centre:% = gateway.parts.card.data_centre;
            "instance started"
        );
        Ok(Self { gateway, background })
    }

    /// Leaves the address answer, lets running requests finish and ends.
    pub async fn close(self) {
        let gateway = self.gateway;
        let grace = gateway.parts.bounds.shutdown_grace.saturating_sub(KILL_MARGIN);
        let started = tokio::time::Instant::now();
        gateway.state().stage = MemberStage::Leaving;
        log::info!(grace_ms = grace.as_millis() as u64; "instance is leaving");
        tokio::time::sleep(LEAVE_NOTICE.min(grace / 2)).await;
        gateway.closing.cancel();
        gateway.tracker.close();
        let left = grace.saturating_sub(started.elapsed());
        let is_clean = tokio::time::timeout(left, gateway.tracker.wait()).await.is_ok();
        self.background.cancel();
        log::info!(clean = is_clean, requests_cut = gateway.tracker.len(); "instance stopped");
    }
}

async fn bind(address: SocketAddr) -> Result<TcpListener> {
    TcpListener::bind(address)
        .await
        .wrap_err_with(|| format!("listen on {address}"))
}

fn spawn_until<F>(end: &CancellationToken, task: F)
where
    F: Future<Output = ()> + Send + 'static,
{
    let end = end.clone();
    tokio::spawn(async move {
        tokio::select! {
            () = task => {}
            () = end.cancelled() => {}
        }
    });
}
