//! The gateway: relays opaque HTTP calls between callers and upstreams.
//!
//! The wire is met through the borders of `marigoldlock_core::gateway`; this module does the I/O around its
//! decisions. One task serves each caller's connection; what they share stands in [`GatewayState`] behind one
//! lock that is never held across an await.

mod attempt;
mod capacity;
mod catch_up;
mod codec;
mod cursor;
mod duties;
mod duty_log;
mod follow;
mod front;
mod links;
mod peers;
mod reading;
mod respond;
mod roles;
mod session;
mod state;
mod stream;
mod usage;
mod work;

#[cfg(test)]
mod tests;

use std::net::SocketAddr;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Duration;

use bytes::Bytes;
use eyre::{Result, WrapErr};
use marigoldlock_core::gateway::adapter::{DirectoryProtocol, UpstreamOrders};
use marigoldlock_core::gateway::budget::BudgetLimits;
use marigoldlock_core::gateway::members::{MemberCard, MemberStage};
use marigoldlock_core::gateway::prelude::*;
use marigoldlock_core::prelude::*;
use tokio::net::{TcpListener, UdpSocket};
use tokio::sync::Notify;
use tokio_util::sync::CancellationToken;
use tokio_util::task::TaskTracker;

use crate::clock::TimeSource;

use front::Surface;
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
    /// For other instances.
    pub peer: SocketAddr,
}

/// Bounds that the gateway keeps to.
#[derive(Clone, Copy, Debug, PartialEq)]
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
    bounds: Mutex<GatewayBounds>,
    state: Mutex<GatewayState>,
    links: Mutex<LinkPool>,
    /// Told when work at upstreams has changed.
    work_changed: Notify,
    /// Told when another instance knows something else.
    peer_differs: Notify,
    tracker: TaskTracker,
    closing: CancellationToken,
    /// Cancelled when the instance ends without notice.
    killed: CancellationToken,
}

impl Gateway {
    fn state(&self) -> MutexGuard<'_, GatewayState> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }

    fn links(&self) -> MutexGuard<'_, LinkPool> {
        self.links.lock().unwrap_or_else(PoisonError::into_inner)
    }

    fn bounds(&self) -> GatewayBounds {
        *self.bounds.lock().unwrap_or_else(PoisonError::into_inner)
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
    /// Binds the listeners and starts to follow the store. Port 0 takes a free one.
    ///
    /// # Errors
    ///
    /// Fails if an address can't be listened on.
    pub async fn start(mut parts: GatewayParts) -> Result<Self> {
        let listeners = Listeners::bind(&mut parts).await?;
        let gateway = Arc::new(Gateway {
            bounds: Mutex::new(parts.bounds),
            state: Mutex::new(GatewayState::default()),
            links: Mutex::new(LinkPool::default()),
            work_changed: Notify::new(),
            peer_differs: Notify::new(),
            tracker: TaskTracker::new(),
            closing: CancellationToken::new(),
            killed: CancellationToken::new(),
            parts,
        });
        let background = CancellationToken::new();
        for (listener, surface) in listeners.streams {
            front::spawn(&gateway, listener, surface);
        }
        spawn_until(&background, follow::follow_settings(Arc::clone(&gateway)));
        spawn_until(&background, follow::follow_upstreams(Arc::clone(&gateway)));
        spawn_until(&background, follow::join_members(Arc::clone(&gateway)));
        spawn_until(
            &background,
            peers::exchange(Arc::clone(&gateway), listeners.datagrams),
        );
        spawn_until(&background, duties::run(Arc::clone(&gateway)));
        spawn_until(&background, usage::report_usage(Arc::clone(&gateway)));
        let card = &gateway.parts.card;
        log::info!(
            instance:% = card.id, incarnation:% = card.incarnation, front:% = card.front,
            data_centre:% = card.data_centre;
            "instance started"
        );
        Ok(Self { gateway, background })
    }

    /// Addresses that the instance listens on.
    pub fn addresses(&self) -> GatewayAddresses {
        self.gateway.parts.addresses
    }

    /// True once the instance serves.
    pub fn is_ready(&self) -> bool {
        self.gateway.state().stage == MemberStage::Ready
    }

    /// Version of the settings in force; 0 for none.
    pub fn settings_version(&self) -> u64 {
        self.gateway
            .state()
            .settings
            .as_ref()
            .map_or(0, |settings| settings.version)
    }

    /// Upstreams that take work.
    pub fn usable_upstreams(&self) -> usize {
        self.gateway
            .state()
            .catalog
            .entries()
            .filter(|entry| !entry.is_leaving)
            .count()
    }

    /// Other instances that were heard of lately.
    pub fn live_members(&self) -> usize {
        let now = self.gateway.now();
        self.gateway.state().members.live(now).count()
    }

    /// Puts other bounds in force; the length of usage windows stays, since it numbers them.
    pub fn set_bounds(&self, bounds: GatewayBounds) {
        let mut current = self.gateway.bounds.lock().unwrap_or_else(PoisonError::into_inner);
        let usage_window = current.usage_window;
        if bounds.usage_window != usage_window {
            log::warn!(
                in_force_ms = usage_window.as_millis() as u64, told_ms = bounds.usage_window.as_millis() as u64;
                "another length of usage windows counts from the next start only"
            );
        }
        *current = GatewayBounds {
            usage_window,
            ..bounds
        };
    }

    /// Bounds in force.
    pub fn bounds(&self) -> GatewayBounds {
        self.gateway.bounds()
    }

    /// Takes settings as if the store had sent them.
    pub fn put_settings_from_store(&self, value: &[u8]) {
        follow::apply_settings(&self.gateway, &Bytes::copy_from_slice(value), "store");
    }

    /// Ends at once, as a killed process would; requests are cut.
    pub fn abort(self) {
        self.background.cancel();
        self.gateway.killed.cancel();
        self.gateway.closing.cancel();
    }

    /// Leaves the address answer, lets running requests finish and ends.
    pub async fn close(self) {
        let gateway = self.gateway;
        let grace = gateway.bounds().shutdown_grace.saturating_sub(KILL_MARGIN);
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

struct Listeners {
    streams: Vec<(TcpListener, Surface)>,
    datagrams: UdpSocket,
}

impl Listeners {
    /// Binds all addresses and writes the ports that were taken back into the parts.
    async fn bind(parts: &mut GatewayParts) -> Result<Self> {
        let mut streams = Vec::new();
        let mut open = async |address: &mut SocketAddr, surface| -> Result<()> {
            let listener = bind(*address).await?;
            *address = listener.local_addr()?;
            streams.push((listener, surface));
            Ok(())
        };
        let addresses = &mut parts.addresses;
        open(&mut addresses.readiness, Surface::Instance).await?;
        match &mut addresses.directory {
            Some(address) if *address != addresses.readiness => open(address, Surface::Instance).await?,
            _ => {}
        }
        if let Some(address) = &mut addresses.metrics {
            open(address, Surface::Metrics).await?;
        }
        open(&mut parts.card.peer, Surface::Peer).await?;
        let peer = parts.card.peer;
        let datagrams = UdpSocket::bind(peer)
            .await
            .wrap_err_with(|| format!("bind {peer}"))?;
        open(&mut addresses.front, Surface::Callers).await?;
        addresses.peer = peer;
        parts.card.front = addresses.front;
        Ok(Self { streams, datagrams })
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
