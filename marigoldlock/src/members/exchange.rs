//! Heartbeats between instances.

use std::sync::Arc;
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::time::Duration;

use futures::StreamExt;
use futures::stream::FuturesUnordered;
use kameo::actor::ActorRef;
use log::debug;
use marigoldlock_core::keys::FreshnessVerdict;
use marigoldlock_core::time::MonoTime;
use marigoldlock_wire::peer::{Heartbeat, PeerRequest, PeerResponse};
use marigoldlock_wire::prelude::*;
use tokio::time::MissedTickBehavior;

use super::actor::{ApplyHeartbeat, TickMembers, TickResult};
use super::handle::MemberHandle;
use super::poll::ListReceiver;
use crate::calls::{ClaimHandle, HomeHandle};
use crate::clock::TimeSource;
use crate::control::ControlHandle;
use crate::dispatch::{DispatchHandle, GetLoadSummary, RemovePeer, Tick, UpdatePeer};
use crate::peer::PeerPool;
use crate::settings::{RecordPeerEvidence, RecordPeerLogs, SettingsActor, SettingsHandle};

/// Time limit for the answer to a heartbeat.
const HEARTBEAT_TIMEOUT: Duration = Duration::from_secs(1);

/// Identity and addresses of this instance.
#[derive(Clone, Debug)]
pub struct InstanceInfo {
    /// Name.
    pub instance: InstanceId,
    /// Incarnation of this process.
    pub incarnation: Incarnation,
    /// Start time of the process, in milliseconds since the Unix epoch.
    pub started_ms: u64,
    /// Data centre.
    pub data_centre: DataCentre,
    /// Address for callers.
    pub address: String,
    /// Address for peers.
    pub peer_address: String,
}

/// Builds, sends and receives heartbeats.
pub struct HeartbeatExchange {
    /// Identity and addresses of this instance.
    pub own: InstanceInfo,
    /// Clock of the instance.
    pub clock: Arc<dyn TimeSource>,
    /// The other instances.
    pub members: MemberHandle,
    /// Handle of the dispatch actor.
    pub dispatch: DispatchHandle,
    /// Platform's list as last read.
    pub list: ListReceiver,
    /// Reader of the settings in force.
    pub settings: SettingsHandle,
    /// The settings actor.
    pub settings_actor: ActorRef<SettingsActor>,
    /// Handle of the calls whose keys carry a home token of this instance.
    pub home: HomeHandle,
    /// Handle of the calls that are claimed in the log.
    pub plain: ClaimHandle,
    /// Handle of the control actor, which holds duties and counts usage.
    pub control: ControlHandle,
    /// Connections to peers.
    pub peers: PeerPool,
    /// Set once this instance is shutting down.
    pub leaving: Arc<AtomicBool>,
    /// Sequence number of the last heartbeat.
    pub sequence: AtomicU64,
}

impl HeartbeatExchange {
    /// Exchanges heartbeats until the task is dropped.
    pub async fn run(self: Arc<Self>, interval: Duration) {
        let mut ticks = tokio::time::interval(interval);
        ticks.set_missed_tick_behavior(MissedTickBehavior::Delay);
        loop {
            ticks.tick().await;
            self.run_round().await;
        }
    }

    /// Runs one round: advances time-dependent state, then exchanges heartbeats with all peers concurrently.
    pub async fn run_round(&self) {
        self.dispatch.tell(Tick);
        self.home.tick();
        let Ok(tick) = self.members.actor().ask(TickMembers).await else {
            return;
        };
        self.apply_tick(&tick).await;
        let heartbeat = self.heartbeat(&tick).await;
        let request = PeerRequest::Heartbeat(Box::new(heartbeat));
        let mut answers = FuturesUnordered::new();
        for address in &tick.peers {
            answers.push(self.exchange(address, &request));
        }
        while answers.next().await.is_some() {}
    }

    async fn apply_tick(&self, tick: &TickResult) {
        for instance in &tick.silent {
            self.dispatch.tell(RemovePeer(instance.clone()));
        }
        if tick.listed_as_leaving {
            self.leaving.store(true, Ordering::Relaxed);
        }
        let logs = RecordPeerLogs {
            listed: tick.listed,
            ages: tick.log_ages.clone(),
        };
        if self.settings_actor.tell(logs).send().await.is_err() {
            debug!("the settings actor has stopped");
        }
    }

    /// Sends one heartbeat and processes the answer.
    async fn exchange(&self, address: &str, request: &PeerRequest) {
        let sent_at = self.clock.now();
        match self.peers.request(address, request, HEARTBEAT_TIMEOUT).await {
            Ok(PeerResponse::Heartbeat(heartbeat)) => self.handle_heartbeat(*heartbeat, Some(sent_at)).await,
            Ok(_) => debug!(address; "the peer sent an unexpected answer to a heartbeat"),
            Err(err) => debug!(error:% = err; "heartbeat failed"),
        }
    }

    /// Answers a peer's heartbeat.
    pub async fn answer(&self, heartbeat: Heartbeat) -> PeerResponse {
        self.handle_heartbeat(heartbeat, None).await;
        let tick = self.members.actor().ask(TickMembers).await;
        match tick {
            Ok(tick) => PeerResponse::Heartbeat(Box::new(self.heartbeat(&tick).await)),
            Err(_) => PeerResponse::Refused {
                code: ResultCode::InstanceLeaving,
                detail: String::new(),
            },
        }
    }

    /// Processes a heartbeat; `sent_at` is when this instance sent the request, if the heartbeat is an answer.
    async fn handle_heartbeat(&self, heartbeat: Heartbeat, sent_at: Option<MonoTime>) {
        let heartbeat = Arc::new(heartbeat);
        let is_member = self
            .members
            .actor()
            .ask(ApplyHeartbeat(Arc::clone(&heartbeat)))
            .await;
        if !is_member.unwrap_or(false) {
            return;
        }
        self.control.merge_shares(heartbeat.usage.clone());
        self.dispatch.tell(UpdatePeer {
            instance: InstanceId::from(heartbeat.instance.as_str()),
            incarnation: heartbeat.incarnation,
            loads: heartbeat.in_flight.clone(),
            counters: heartbeat.counters.clone(),
            demand: heartbeat.demand.clone(),
        });
        if let Some(sent_at) = sent_at {
            let message = RecordPeerEvidence {
                sent_at,
                age: Duration::from_millis(heartbeat.log_age_ms),
                version: heartbeat.settings_version,
            };
            if self.settings_actor.tell(message).send().await.is_err() {
                debug!("the settings actor has stopped");
            }
        }
    }

    async fn heartbeat(&self, tick: &TickResult) -> Heartbeat {
        let now = self.clock.now();
        let state = self.settings.state();
        let load = self
            .dispatch
            .actor()
            .ask(GetLoadSummary)
            .await
            .unwrap_or_default();
        let leaving = self.leaving.load(Ordering::Relaxed);
        // Before its first read of the list an instance knows no upstream to send a request to.
        let knows_upstreams = !self.list.borrow().entries.is_empty();
        Heartbeat {
            instance: self.own.instance.as_str().to_owned(),
            incarnation: self.own.incarnation,
            sequence: self.sequence.fetch_add(1, Ordering::Relaxed) + 1,
            data_centre: self.own.data_centre.as_str().to_owned(),
            address: self.own.address.clone(),
            peer_address: self.own.peer_address.clone(),
            leaving,
            ready: !leaving && knows_upstreams && state.verdict(now) == FreshnessVerdict::Serve,
            settings_version: state.active.version(),
            log_age_ms: state.age(now).map_or(u64::MAX, |age| age.as_millis() as u64),
            in_flight: load.loads,
            counters: load.counters,
            demand: load.demand,
            started_ms: self.own.started_ms,
            heard_peers: tick.heard_peers.clone(),
            usage: self.control.shares().await,
            calls_position: self.plain.status().position,
            home: self.home.token().unwrap_or(self.own.incarnation),
        }
    }
}
