//! Stand-in for the platform's interface for ordering upstreams.
//!
//! Neither a start nor a withdrawal is idempotent, and orders with an old fencing number are accepted;
//! violations are recorded in [`SeenUpstreamOrder`]. A started upstream is listed after its start time, a
//! withdrawn one is listed as leaving and then stopped. Cheap upstreams can be reclaimed, one by one or by
//! data centre, with or without notice.

mod host;
mod routes;
mod state;

use std::net::SocketAddr;
use std::sync::{Arc, Mutex, MutexGuard};
use std::time::Duration;

use marigoldlock_wire::ids::{DataCentre, ServiceId, UpstreamId};
use marigoldlock_wire::platform::{CapacityKind, ListEntry, ListState, OrderAnswer, UpstreamOrder};
use serde::{Deserialize, Serialize};
use tokio_util::sync::CancellationToken;
use tokio_util::task::TaskTracker;

pub use self::host::{HostedUpstream, LocalHost, UpstreamHost, UpstreamTemplate};
use self::state::{OrderEffect, OrderingState};
pub use self::state::{OrderedUpstream, SeenUpstreamOrder, UpstreamPhase};
use crate::clock::UnixClock;
use crate::faults::{FaultInjector, FaultPlan};
use crate::list::ListTarget;
use crate::server::{DisconnectPolicy, StandinServer};

/// Options of an ordering stand-in.
#[derive(Clone, Debug)]
pub struct OrderingOptions {
    /// Address to listen on; port 0 picks a free port.
    pub listen: SocketAddr,
    /// Time from a start order until the upstream runs and is listed, in milliseconds.
    pub start_ms: u64,
    /// Time for which a withdrawn upstream is listed as leaving before it stops, in milliseconds.
    pub leave_ms: u64,
    /// Initial faults.
    pub faults: FaultPlan,
}

impl Default for OrderingOptions {
    fn default() -> Self {
        Self {
            listen: SocketAddr::from(([127, 0, 0, 1], 0)),
            start_ms: 20_000,
            leave_ms: 30_000,
            faults: FaultPlan::default(),
        }
    }
}

/// Selects the cheap upstreams to reclaim.
#[derive(Clone, Debug, Default, Deserialize, Serialize)]
#[serde(default, deny_unknown_fields)]
pub struct ReclaimRequest {
    /// Reclaims only upstreams in this data centre, if set.
    pub data_centre: Option<DataCentre>,
    /// Reclaims only this upstream, if set.
    pub upstream: Option<UpstreamId>,
    /// Time for which they are listed as leaving before they stop, in milliseconds; 0 for no notice.
    pub notice_ms: u64,
}

/// Running ordering stand-in.
#[derive(Debug)]
pub struct OrderingStandin {
    server: StandinServer,
    faults: FaultInjector,
    shared: Arc<SharedOrdering>,
}

impl OrderingStandin {
    /// Starts the interface; `host` runs the ordered upstreams, and `list` receives their entries.
    ///
    /// # Errors
    ///
    /// If the address can't be bound.
    pub async fn start(
        options: OrderingOptions,
        host: Arc<dyn UpstreamHost>,
        list: Arc<dyn ListTarget>,
    ) -> eyre::Result<Self> {
        let faults = FaultInjector::new(options.faults.clone());
        let listen = options.listen;
        let shared = Arc::new(SharedOrdering {
            options,
            host,
            list,
            clock: UnixClock::new(),
            state: Mutex::default(),
            stop: CancellationToken::new(),
            tasks: TaskTracker::new(),
        });
        let routes = routes::routes(Arc::clone(&shared));
        let server = StandinServer::start(listen, routes, &faults, DisconnectPolicy::Finish).await?;
        Ok(Self {
            server,
            faults,
            shared,
        })
    }

    /// Address the interface listens on.
    pub fn address(&self) -> SocketAddr {
        self.server.address()
    }

    /// Fault injector, which can be changed at any time.
    pub fn faults(&self) -> &FaultInjector {
        &self.faults
    }

    /// Every order, in the order of arrival.
    pub fn seen(&self) -> Vec<SeenUpstreamOrder> {
        self.shared.state().seen.clone()
    }

    /// Upstreams that are starting, live or leaving, sorted by name.
    pub fn upstreams(&self) -> Vec<(UpstreamId, OrderedUpstream)> {
        self.shared.upstreams()
    }

    /// Starts an upstream immediately, without an order or a start delay.
    ///
    /// # Errors
    ///
    /// If there is no capacity, or the host can't start it.
    pub async fn start_now(
        &self,
        service: &ServiceId,
        data_centre: &DataCentre,
        capacity: CapacityKind,
    ) -> eyre::Result<UpstreamId> {
        let effect = self.shared.state().begin_start(service, data_centre, capacity);
        let OrderEffect::Start(upstream) = effect else {
            eyre::bail!("no {capacity:?} capacity left in {data_centre}");
        };
        self.shared.run_upstream(&upstream).await?;
        Ok(upstream)
    }

    /// Limits how many more upstreams can be started; `None` removes the limit.
    pub fn set_capacity(&self, data_centre: &DataCentre, capacity: CapacityKind, remaining: Option<u32>) {
        self.shared
            .state()
            .set_remaining(data_centre.clone(), capacity, remaining);
    }

    /// Makes the next `count` start orders be accepted without starting their upstreams.
    pub fn lose_starts(&self, count: u32) {
        self.shared.state().lose_starts(count);
    }

    /// Reclaims cheap upstreams and returns their names.
    pub fn reclaim(&self, request: &ReclaimRequest) -> Vec<UpstreamId> {
        self.shared.reclaim(request)
    }

    /// Stops every upstream, then closes the listener and all connections.
    pub async fn close(self) {
        self.shared.stop.cancel();
        self.shared.tasks.close();
        self.shared.tasks.wait().await;
        for (upstream, _) in self.shared.upstreams() {
            self.shared.host.stop(&upstream).await;
        }
        self.server.close().await;
    }
}

#[derive(Debug)]
struct SharedOrdering {
    options: OrderingOptions,
    host: Arc<dyn UpstreamHost>,
    list: Arc<dyn ListTarget>,
    clock: UnixClock,
    state: Mutex<OrderingState>,
    stop: CancellationToken,
    tasks: TaskTracker,
}

impl SharedOrdering {
    fn state(&self) -> MutexGuard<'_, OrderingState> {
        self.state.lock().expect("no panic while held")
    }

    fn upstreams(&self) -> Vec<(UpstreamId, OrderedUpstream)> {
        let state = self.state();
        let mut upstreams: Vec<_> = state
            .upstreams
            .iter()
            .map(|(name, upstream)| (name.clone(), upstream.clone()))
            .collect();
        upstreams.sort_unstable_by(|(one, _), (other, _)| one.cmp(other));
        upstreams
    }

    fn handle_order(self: &Arc<Self>, order: UpstreamOrder) -> OrderAnswer {
        let (answer, effect) = self.state().record_order(order, self.clock.now_ms());
        match effect {
            OrderEffect::Start(upstream) => {
                if !self.state().consume_lost_start() {
                    self.spawn_start(upstream);
                }
            }
            OrderEffect::Leave(upstream) => self.spawn_leave(upstream, self.options.leave_ms),
            OrderEffect::None => {}
        }
        answer
    }

    fn reclaim(self: &Arc<Self>, request: &ReclaimRequest) -> Vec<UpstreamId> {
        let mut state = self.state();
        let reclaimed = state.reclaimable(request.data_centre.as_ref(), request.upstream.as_ref());
        for upstream in &reclaimed {
            state.begin_withdrawal(upstream);
        }
        drop(state);
        for upstream in &reclaimed {
            self.spawn_leave(upstream.clone(), request.notice_ms);
        }
        reclaimed
    }

    fn spawn_start(self: &Arc<Self>, upstream: UpstreamId) {
        let shared = Arc::clone(self);
        self.spawn(async move {
            tokio::time::sleep(Duration::from_millis(shared.options.start_ms)).await;
            if let Err(error) = shared.run_upstream(&upstream).await {
                log::warn!(upstream:% = upstream, error:% = error; "upstream did not start; removing it");
                shared.state().remove(&upstream);
            }
        });
    }

    fn spawn_leave(self: &Arc<Self>, upstream: UpstreamId, notice_ms: u64) {
        let shared = Arc::clone(self);
        self.spawn(async move {
            if notice_ms > 0 {
                shared.list_upstream(&upstream, ListState::Leaving).await;
                tokio::time::sleep(Duration::from_millis(notice_ms)).await;
            }
            shared.host.stop(&upstream).await;
            shared.state().remove(&upstream);
            if let Err(error) = shared.list.remove(upstream.as_str()).await {
                log::warn!(upstream:% = upstream, error:% = error; "stopped upstream remains in the list");
            }
        });
    }

    fn spawn(&self, work: impl Future<Output = ()> + Send + 'static) {
        let stop = self.stop.clone();
        self.tasks.spawn(async move {
            tokio::select! {
                () = stop.cancelled() => {},
                () = work => {},
            }
        });
    }

    async fn run_upstream(&self, upstream: &UpstreamId) -> eyre::Result<()> {
        if !self.state().finish_start(upstream) {
            return Ok(());
        }
        let Some(ordered) = self.state().upstreams.get(upstream).cloned() else {
            return Ok(());
        };
        let hosted = self.host.start(upstream, &ordered.service).await?;
        let entry = list_entry(upstream, &ordered, hosted);
        let Some(state) = self.state().set_listed(upstream, entry.clone()) else {
            self.host.stop(upstream).await;
            return Ok(());
        };
        self.list.set(ListEntry { state, ..entry }).await
    }

    async fn list_upstream(&self, upstream: &UpstreamId, state: ListState) {
        let Some(entry) = self.state().listed(upstream) else {
            return;
        };
        if let Err(error) = self.list.set(ListEntry { state, ..entry }).await {
            log::warn!(upstream:% = upstream, error:% = error; "cannot list the upstream's state");
        }
    }
}

fn list_entry(upstream: &UpstreamId, ordered: &OrderedUpstream, hosted: HostedUpstream) -> ListEntry {
    ListEntry {
        id: upstream.to_string(),
        kind: hosted.kind,
        service: Some(ordered.service.clone()),
        data_centre: ordered.data_centre.clone(),
        address: hosted.address.to_string(),
        peer_address: None,
        capacity: ordered.capacity,
        state: ListState::Live,
    }
}
