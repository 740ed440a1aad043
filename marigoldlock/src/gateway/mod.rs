//! The gateway: forwards opaque HTTP requests from callers to upstreams.
//!
//! Wire protocols are implemented by adapters, through the traits in `marigoldlock_core::gateway::adapter`;
//! the decisions are made in `marigoldlock_core::gateway`. This module does the I/O around them. Each caller
//! connection has its own task; the tasks share [`GatewayState`] behind one lock that is never held across an
//! await.

mod allowance;
mod attempt;
mod call;
mod capacity;
mod catch_up;
mod codec;
mod connections;
mod crash_check;
mod crash_log;
mod cursor;
mod duties;
mod duty_log;
mod era;
mod follow;
mod forward;
mod heartbeats;
mod hedge;
mod intake;
mod listener;
mod origin_log;
mod origins;
mod plain;
mod prefill;
mod reach;
mod response;
mod roles;
mod send_right;
mod state;
mod stream;
mod upstream_body;
mod usage;
mod version_log;
mod work;

#[cfg(test)]
mod tests;

use std::net::SocketAddr;
use std::sync::{Arc, Mutex, MutexGuard, OnceLock, PoisonError};
use std::time::Duration;

use bytes::Bytes;
use eyre::{Result, WrapErr};
use marigoldlock_core::gateway::adapter::{DirectoryProtocol, UpstreamOrders};
use marigoldlock_core::gateway::allowance::AllowanceBounds;
use marigoldlock_core::gateway::budget::BudgetLimits;
use marigoldlock_core::gateway::crashes::{BlockChange, CrashTable, FleetTime};
use marigoldlock_core::gateway::demand::CapacityHeadroom;
use marigoldlock_core::gateway::exchange::FleetView;
use marigoldlock_core::gateway::hedge::HedgeShare;
use marigoldlock_core::gateway::intake::{ClientKind, IntakeLimits, MachineSize};
use marigoldlock_core::gateway::leaving::LeavePlan;
use marigoldlock_core::gateway::members::{MemberCard, MemberStage};
use marigoldlock_core::gateway::pace::PaceTurn;
use marigoldlock_core::gateway::prelude::*;
use marigoldlock_core::prelude::*;
use tokio::net::{TcpListener, UdpSocket};
use tokio::sync::Notify;
use tokio_util::sync::CancellationToken;
use tokio_util::task::TaskTracker;

use crate::clock::TimeSource;

use connections::ConnectionPool;
use intake::IntakeControl;
use origin_log::LookupState;
use state::GatewayState;

/// Time after the shutdown signal in which callers may still connect: they use cached addresses for up to
/// three times their lifetime.
const LEAVE_NOTICE: Duration = Duration::from_millis(3_300);

/// How long before the platform's kill the process exits, even if requests are still running.
const KILL_MARGIN: Duration = Duration::from_millis(400);

/// Addresses that an instance listens on.
#[derive(Clone, Copy, Debug)]
pub struct GatewayAddresses {
    /// For callers.
    pub front: SocketAddr,
    /// For readiness checks.
    pub readiness: SocketAddr,
    /// For address queries.
    pub directory: Option<SocketAddr>,
    /// For metrics.
    pub metrics: Option<SocketAddr>,
    /// For other instances.
    pub peer: SocketAddr,
}

/// Limits and durations that the gateway must observe.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct GatewayBounds {
    /// Retry budget of all instances together.
    pub budget: BudgetLimits,
    /// By how much customers' allowances may be exceeded.
    pub allowance: AllowanceBounds,
    /// Time between the shutdown signal and the kill.
    pub shutdown_grace: Duration,
    /// Time within which the holder of the duties must not change twice.
    pub lease: Duration,
    /// True if the receivers of duty calls refuse a fencing number that is too low.
    pub requires_fence: bool,
    /// Length of a usage window.
    pub usage_window: Duration,
    /// Time after the end of a usage window by which it must be reported.
    pub usage_due: Duration,
}

/// Configuration and dependencies of a gateway.
pub struct GatewayParts {
    /// Identity and addresses of the instance.
    pub card: MemberCard,
    /// Addresses to listen on.
    pub addresses: GatewayAddresses,
    /// Peer addresses of some other instances.
    pub seeds: Vec<SocketAddr>,
    /// Limits and durations.
    pub bounds: GatewayBounds,
    /// Capacity to order, relative to the load.
    pub capacity_headroom: CapacityHeadroom,
    /// Size of the machine.
    pub machine: MachineSize,
    /// Hedged requests as a share of the instance's own requests.
    pub hedge_share: HedgeShare,
    /// True only when the whole fleet starts for the first time.
    pub is_first_start: bool,
    /// Callers' protocol.
    pub caller_protocol: Arc<dyn CallerProtocol>,
    /// Upstreams' protocol.
    pub upstream_protocol: Arc<dyn UpstreamProtocol>,
    /// Protocol of address queries and readiness checks.
    pub directory_protocol: Arc<dyn DirectoryProtocol>,
    /// The store.
    pub store: Arc<dyn SharedStore>,
    /// Formats of the store's records.
    pub record_format: Arc<dyn RecordFormat>,
    /// Client of the calls that only the holder of the duties may make; `None` if the instance never takes
    /// the duties.
    pub duty_api: Option<Arc<dyn DutyApi>>,
    /// Client of the upstreams' order interface.
    pub upstream_orders: Arc<dyn UpstreamOrders>,
    /// Source of the current time.
    pub clock: Arc<dyn TimeSource>,
}

/// State shared by the tasks of a gateway.
pub(crate) struct Gateway {
    parts: GatewayParts,
    bounds: Mutex<GatewayBounds>,
    state: Mutex<GatewayState>,
    connections: Mutex<ConnectionPool>,
    /// Notified when work at upstreams has changed.
    work_changed: Notify,
    /// Notified when another instance has different settings or upstreams.
    peer_sync_differs: Notify,
    /// Notified when the store has come back from a copy.
    era_changed: Notify,
    /// Notified when other instances are to be told or asked of streams.
    origins_pending: Notify,
    /// Notified when another instance has told of streams.
    origins_changed: Notify,
    /// Held while the right to send duty calls is renewed, so that calls which are due together share one renewal.
    renewing: tokio::sync::Mutex<()>,
    /// What the store has been asked about streams.
    lookup: tokio::sync::Mutex<LookupState>,
    /// Clients' connections, and what they hold.
    intake: Arc<IntakeControl>,
    /// Tasks of callers' connections and streams.
    tracker: TaskTracker,
    /// Cancelled when callers' listeners and connections shut down.
    closing: CancellationToken,
    /// Times of the shutdown, once it has begun.
    leave: OnceLock<LeavePlan>,
    /// Cancelled when requests that still run have to be answered.
    answers_due: CancellationToken,
    /// Cancelled when the instance is aborted.
    killed: CancellationToken,
}

impl Gateway {
    fn state(&self) -> MutexGuard<'_, GatewayState> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }

    fn connections(&self) -> MutexGuard<'_, ConnectionPool> {
        self.connections.lock().unwrap_or_else(PoisonError::into_inner)
    }

    fn bounds(&self) -> GatewayBounds {
        *self.bounds.lock().unwrap_or_else(PoisonError::into_inner)
    }

    fn now(&self) -> MonoTime {
        self.parts.clock.now()
    }

    /// Waits for work on behalf of a request; `None` if it takes longer than `timeout`, or the process is about to end.
    async fn limit_time<F: Future>(&self, timeout: Duration, work: F) -> Option<F::Output> {
        tokio::select! {
            biased;
            result = tokio::time::timeout(timeout, work) => result.ok(),
            () = self.answers_due.cancelled() => None,
        }
    }

    /// Changes what is known of crashes, and logs what that blocks.
    fn change_crashes(&self, change: impl FnOnce(&mut CrashTable, FleetTime)) {
        let time = FleetTime {
            now: self.now(),
            fleet_ms: self.fleet_unix_ms(),
        };
        let mut state = self.state();
        change(&mut state.crashes, time);
        let changes = state.crashes.take_changes();
        let remembered = state.crashes.remembered_crashes();
        drop(state);
        metrics::gauge!("gateway_crashes_remembered").set(remembered as f64);
        for change in changes {
            match change {
                BlockChange::Blocked(suspects) => {
                    log::warn!(suspects:? = suspects; "requests that crash upstreams are blocked");
                }
                BlockChange::Lifted(suspects) => {
                    log::info!(suspects:? = suspects; "requests that were blamed for crashes are no longer blocked");
                }
            }
        }
    }

    /// Turn of this instance at the upstreams that state a rate limit; `None` if none does.
    fn pace_turn(&self, state: &GatewayState) -> Option<PaceTurn> {
        let is_limited = state
            .upstreams
            .values()
            .any(|upstream| upstream.rate_limit().is_some());
        if !is_limited {
            return None;
        }
        let fleet_ms = state.fleet_clock.unix_ms(self.parts.clock.unix_ms(), self.now());
        Some(PaceTurn::new(&self.fleet_view(state), fleet_ms))
    }

    fn fleet_view<'a>(&'a self, state: &'a GatewayState) -> FleetView<'a> {
        FleetView {
            own: &self.parts.card,
            members: &state.members,
            now: self.now(),
        }
    }
}

/// A running gateway.
pub struct GatewayServer {
    gateway: Arc<Gateway>,
    background: CancellationToken,
}

impl GatewayServer {
    /// Binds the listeners and starts to follow the store. Port 0 selects a free port.
    ///
    /// # Errors
    ///
    /// Fails if an address can't be bound.
    pub async fn start(mut parts: GatewayParts) -> Result<Self> {
        let listeners = Listeners::bind(&mut parts).await?;
        let gateway = Arc::new(Gateway {
            bounds: Mutex::new(parts.bounds),
            state: Mutex::new(GatewayState::new(parts.clock.now())),
            connections: Mutex::new(ConnectionPool::default()),
            work_changed: Notify::new(),
            peer_sync_differs: Notify::new(),
            era_changed: Notify::new(),
            origins_pending: Notify::new(),
            origins_changed: Notify::new(),
            renewing: tokio::sync::Mutex::default(),
            lookup: tokio::sync::Mutex::default(),
            intake: Arc::new(IntakeControl::new(
                IntakeLimits::for_machine(parts.machine),
                Arc::clone(&parts.clock),
            )),
            tracker: TaskTracker::new(),
            closing: CancellationToken::new(),
            leave: OnceLock::new(),
            answers_due: CancellationToken::new(),
            killed: CancellationToken::new(),
            parts,
        });
        let background = CancellationToken::new();
        for (listener, kind) in listeners.streams {
            listener::spawn(&gateway, listener, kind);
        }
        spawn_cancellable(&background, follow::follow_settings(Arc::clone(&gateway)));
        spawn_cancellable(&background, follow::follow_upstreams(Arc::clone(&gateway)));
        spawn_cancellable(&background, follow::join_fleet(Arc::clone(&gateway)));
        spawn_cancellable(
            &background,
            heartbeats::exchange(Arc::clone(&gateway), listeners.datagrams),
        );
        spawn_cancellable(&background, crash_log::keep_blocks(Arc::clone(&gateway)));
        spawn_cancellable(&background, version_log::keep_versions(Arc::clone(&gateway)));
        spawn_cancellable(&background, origin_log::keep_origins(Arc::clone(&gateway)));
        spawn_cancellable(&background, reach::watch_reach(Arc::clone(&gateway)));
        spawn_cancellable(&background, duties::run(Arc::clone(&gateway)));
        spawn_cancellable(&background, usage::report_usage(Arc::clone(&gateway)));
        let card = &gateway.parts.card;
        log::info!(
            instance:% = card.id, incarnation:% = card.incarnation, front:% = card.front,
            data_centre:% = card.data_centre;
            "instance started"
        );
        Ok(Self { gateway, background })
    }

    /// Name of the instance, under which it holds the duties.
    pub fn name(&self) -> &str {
        self.gateway.parts.card.id.as_str()
    }

    /// Addresses that the instance listens on.
    pub fn addresses(&self) -> GatewayAddresses {
        self.gateway.parts.addresses
    }

    /// True once the instance serves requests.
    pub fn is_ready(&self) -> bool {
        self.gateway.state().stage == MemberStage::Ready
    }

    /// True once the instance has read the list of members from the store.
    pub fn has_member_list(&self) -> bool {
        self.gateway.state().has_member_list
    }

    /// Version of the settings in force; 0 for none.
    pub fn settings_version(&self) -> u64 {
        self.gateway
            .state()
            .settings
            .as_ref()
            .map_or(0, |settings| settings.version)
    }

    /// Newest era of the store that the instance knows of.
    pub fn store_era(&self) -> StoreEra {
        self.gateway.store_era()
    }

    /// Number of upstreams that accept requests.
    pub fn usable_upstreams(&self) -> usize {
        self.gateway
            .state()
            .catalog
            .entries()
            .filter(|entry| !entry.is_leaving)
            .count()
    }

    /// Number of other instances with a recent report.
    pub fn live_members(&self) -> usize {
        let now = self.gateway.now();
        self.gateway.state().members.live(now).count()
    }

    /// Applies new bounds. The length of usage windows does not change, because windows are numbered by it.
    pub fn set_bounds(&self, bounds: GatewayBounds) {
        let mut current = self.gateway.bounds.lock().unwrap_or_else(PoisonError::into_inner);
        let usage_window = current.usage_window;
        if bounds.usage_window != usage_window {
            log::warn!(
                in_force_ms = usage_window.as_millis() as u64, told_ms = bounds.usage_window.as_millis() as u64;
                "the length of usage windows can't change while the instance runs; the new one applies after a restart"
            );
        }
        *current = GatewayBounds {
            usage_window,
            ..bounds
        };
    }

    /// Current bounds.
    pub fn bounds(&self) -> GatewayBounds {
        self.gateway.bounds()
    }

    /// Applies settings as if they had been read from the store.
    pub fn put_settings_from_store(&self, value: &[u8]) {
        follow::apply_settings(&self.gateway, &Bytes::copy_from_slice(value), "store");
    }

    /// Stops at once, as a killed process would; running requests are cut off.
    pub fn abort(self) {
        self.background.cancel();
        self.gateway.killed.cancel();
        self.gateway.closing.cancel();
    }

    /// Shuts down gracefully: callers no longer get this instance's address, new connections are refused
    /// after a notice period, and running requests finish.
    pub async fn close(self) {
        let gateway = self.gateway;
        let grace = gateway.bounds().shutdown_grace.saturating_sub(KILL_MARGIN);
        let started = tokio::time::Instant::now();
        let plan = LeavePlan::new(gateway.now(), grace);
        let plan = *gateway.leave.get_or_init(|| plan);
        gateway.state().stage = MemberStage::Leaving;
        log::info!(grace_ms = grace.as_millis() as u64; "instance is leaving");
        tokio::time::sleep(LEAVE_NOTICE.min(grace / 2)).await;
        gateway.closing.cancel();
        gateway.tracker.close();
        let until_answers = plan.answers_at().since(gateway.now());
        if tokio::time::timeout(until_answers, gateway.tracker.wait())
            .await
            .is_err()
        {
            log::info!(requests = gateway.tracker.len(); "the grace ends; answering the requests that still run");
            gateway.answers_due.cancel();
        }
        let left = grace.saturating_sub(started.elapsed());
        let is_clean = tokio::time::timeout(left, gateway.tracker.wait()).await.is_ok();
        self.background.cancel();
        log::info!(clean = is_clean, requests_cut = gateway.tracker.len(); "instance stopped");
    }
}

struct Listeners {
    streams: Vec<(TcpListener, ClientKind)>,
    datagrams: UdpSocket,
}

impl Listeners {
    /// Binds all addresses and stores the selected ports in `parts`.
    async fn bind(parts: &mut GatewayParts) -> Result<Self> {
        let mut streams = Vec::new();
        let mut open = async |address: &mut SocketAddr, kind| -> Result<()> {
            let listener = bind(*address).await?;
            *address = listener.local_addr()?;
            streams.push((listener, kind));
            Ok(())
        };
        let addresses = &mut parts.addresses;
        open(&mut addresses.readiness, ClientKind::Instance).await?;
        match &mut addresses.directory {
            Some(address) if *address != addresses.readiness => open(address, ClientKind::Instance).await?,
            _ => {}
        }
        if let Some(address) = &mut addresses.metrics {
            open(address, ClientKind::Metrics).await?;
        }
        let published = parts.card.peer;
        let is_own = published == addresses.peer;
        open(&mut addresses.peer, ClientKind::Peer).await?;
        let peer = addresses.peer;
        let datagrams = UdpSocket::bind(peer)
            .await
            .wrap_err_with(|| format!("bind {peer}"))?;
        open(&mut addresses.front, ClientKind::Caller).await?;
        parts.card.peer = if is_own { peer } else { published };
        parts.card.front = addresses.front;
        Ok(Self { streams, datagrams })
    }
}

async fn bind(address: SocketAddr) -> Result<TcpListener> {
    TcpListener::bind(address)
        .await
        .wrap_err_with(|| format!("listen on {address}"))
}

fn spawn_cancellable<F>(end: &CancellationToken, task: F)
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
