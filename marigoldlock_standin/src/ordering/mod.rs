//! Stand-in for the platform's interface for ordering upstreams.
//!
//! Neither a start nor a withdrawal is idempotent, and fencing numbers are noted but not checked; what went
//! wrong stands in [`SeenUpstreamOrder`]. A started upstream shows up in the list after its start time, a
//! withdrawn one is listed as leaving and then stopped. Cheap upstreams can be reclaimed, singly or by data
//! centre, with or without notice.

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
use crate::faults::{FaultKnobs, FaultPlan};
use crate::list::ListTarget;
use crate::server::{CallerLoss, StandinServer};

/// How an ordering stand-in behaves.
#[derive(Clone, Debug)]
pub struct OrderingOptions {
    /// Address to listen on; port 0 for any.
    pub listen: SocketAddr,
    /// Time from a start order until the upstream runs and is listed, in milliseconds.
    pub start_ms: u64,
    /// Time that a withdrawn upstream is listed as leaving before it is stopped, in milliseconds.
    pub leave_ms: u64,
    /// What goes wrong from the start.
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

/// Upstreams to be reclaimed.
#[derive(Clone, Debug, Default, Deserialize, Serialize)]
#[serde(default, deny_unknown_fields)]
pub struct ReclaimRequest {
    /// Only those in this data centre.
    pub data_centre: Option<DataCentre>,
    /// Only this one.
    pub upstream: Option<UpstreamId>,
    /// How long they are listed as leaving before they stop, in milliseconds; 0 for no notice at all.
    pub notice_ms: u64,
}

/// Running ordering stand-in.
#[derive(Debug)]
pub struct OrderingStandin {
    server: StandinServer,
    faults: FaultKnobs,
    shared: Arc<SharedOrdering>,
}

impl OrderingStandin {
    /// Starts the interface; `host` runs what is ordered, and `list` shows it.
    ///
    /// # Errors
    ///
    /// If the address can't be bound.
    pub async fn start(
        options: OrderingOptions,
        host: Arc<dyn UpstreamHost>,
        list: Arc<dyn ListTarget>,
    ) -> eyre::Result<Self> {
        let faults = FaultKnobs::new(options.faults.clone());
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
        let server = StandinServer::start(listen, routes, &faults, CallerLoss::Finish).await?;
        Ok(Self {
            server,
            faults,
            shared,
        })
    }

    /// Address that the interface listens on.
    pub fn address(&self) -> SocketAddr {
        self.server.address()
    }

    /// The faults, to be changed at any time.
    pub fn faults(&self) -> &FaultKnobs {
        &self.faults
    }

    /// Every order, in the order of arrival.
    pub fn seen(&self) -> Vec<SeenUpstreamOrder> {
        self.shared.state().seen.clone()
    }

    /// Upstreams that start, run or leave, by name.
    pub fn upstreams(&self) -> Vec<(UpstreamId, OrderedUpstream)> {
        self.shared.upstreams()
    }

    /// Starts an upstream at once and without an order, as if it had been there before.
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
    pub fn set_capacity(&self, data_centre: &DataCentre, capacity: CapacityKind, left: Option<u32>) {
        self.shared.state().set_left(data_centre.clone(), capacity, left);
    }

    /// Lets the next start orders be accepted and their upstreams never come up.
    pub fn lose_starts(&self, count: u32) {
        self.shared.state().lose_starts(count);
    }

    /// Reclaims cheap upstreams, and gives their names.
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

    fn take(self: &Arc<Self>, order: UpstreamOrder) -> OrderAnswer {
        let (answer, effect) = self.state().take(order, self.clock.now_ms());
        match effect {
            OrderEffect::Start(upstream) => {
                if !self.state().take_lost_start() {
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
        let hit = state.reclaimable(request.data_centre.as_ref(), request.upstream.as_ref());
        for upstream in &hit {
            state.begin_leave(upstream);
        }
        drop(state);
        for upstream in &hit {
            self.spawn_leave(upstream.clone(), request.notice_ms);
        }
        hit
    }

    fn spawn_start(self: &Arc<Self>, upstream: UpstreamId) {
        let shared = Arc::clone(self);
        self.spawn(async move {
            tokio::time::sleep(Duration::from_millis(shared.options.start_ms)).await;
            if let Err(error) = shared.run_upstream(&upstream).await {
                log::warn!(upstream:% = upstream, error:% = error; "upstream did not start");
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
                log::warn!(upstream:% = upstream, error:% = error; "stopped upstream stays in the list");
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
        if !self.state().end_start(upstream) {
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
            log::warn!(upstream:% = upstream, error:% = error; "upstream's state is not in the list");
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
