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

use super::actor::{MemberRound, NoteHeartbeat, TickMembers};
use super::handle::MemberHandle;
use super::poll::ListFeed;
use crate::calls::{ClaimHandle, HomeHandle};
use crate::clock::TimeSource;
use crate::control::ControlHandle;
use crate::dispatch::{DispatchHandle, GetLoadSummary, RemovePeer, Tick, UpdatePeer};
use crate::peer::PeerPool;
use crate::settings::{NotePeer, NoteView, SettingsActor, SettingsHandle};

/// Longest wait for the answer to a heartbeat.
const HEARTBEAT_TIMEOUT: Duration = Duration::from_secs(1);

/// Who the sender of the heartbeats is.
#[derive(Clone, Debug)]
pub struct OwnAddresses {
    /// Name.
    pub instance: InstanceId,
    /// Start.
    pub incarnation: Incarnation,
    /// When it started, in milliseconds since the Unix epoch.
    pub started_ms: u64,
    /// Data centre.
    pub data_centre: DataCentre,
    /// Address for callers.
    pub address: String,
    /// Address for peers.
    pub peer_address: String,
}

/// Makes, sends and takes heartbeats.
pub struct HeartbeatExchange {
    /// Who this instance is.
    pub own: OwnAddresses,
    /// Clock of the instance.
    pub clock: Arc<dyn TimeSource>,
    /// The other instances.
    pub members: MemberHandle,
    /// Way to the dispatch actor.
    pub dispatch: DispatchHandle,
    /// The list as last read.
    pub list: ListFeed,
    /// Settings in force.
    pub settings: SettingsHandle,
    /// The actor that folds them.
    pub settings_actor: ActorRef<SettingsActor>,
    /// The calls whose home is here.
    pub home: HomeHandle,
    /// The calls that are claimed in the log.
    pub plain: ClaimHandle,
    /// The duties that at most one process holds, and the usage counts.
    pub control: ControlHandle,
    /// Connections to peers.
    pub peers: PeerPool,
    /// True once this instance shuts down.
    pub leaving: Arc<AtomicBool>,
    /// Number of the last heartbeat.
    pub sequence: AtomicU64,
}

impl HeartbeatExchange {
    /// Exchanges heartbeats for as long as the task lives.
    pub async fn run(self: Arc<Self>, interval: Duration) {
        let mut ticks = tokio::time::interval(interval);
        ticks.set_missed_tick_behavior(MissedTickBehavior::Delay);
        loop {
            ticks.tick().await;
            self.round().await;
        }
    }

    /// One round: lets time pass, then talks to every peer side by side.
    pub async fn round(&self) {
        self.dispatch.tell(Tick);
        self.home.tick();
        let Ok(round) = self.members.actor().ask(TickMembers).await else {
            return;
        };
        self.note_round(&round).await;
        let heartbeat = self.heartbeat(&round).await;
        let request = PeerRequest::Heartbeat(Box::new(heartbeat));
        let mut answers = FuturesUnordered::new();
        for address in &round.peers {
            answers.push(self.exchange(address, &request));
        }
        while answers.next().await.is_some() {}
    }

    async fn note_round(&self, round: &MemberRound) {
        for instance in &round.silent {
            self.dispatch.tell(RemovePeer(instance.clone()));
        }
        if round.own_leaving {
            self.leaving.store(true, Ordering::Relaxed);
        }
        if self
            .settings_actor
            .tell(NoteView(round.view))
            .send()
            .await
            .is_err()
        {
            debug!("the settings actor has ended");
        }
    }

    /// Sends one heartbeat and takes the answer.
    async fn exchange(&self, address: &str, request: &PeerRequest) {
        let sent_at = self.clock.now();
        match self.peers.request(address, request, HEARTBEAT_TIMEOUT).await {
            Ok(PeerResponse::Heartbeat(heartbeat)) => self.take(*heartbeat, Some(sent_at)).await,
            Ok(_) => debug!(address; "unexpected answer to a heartbeat"),
            Err(err) => debug!(error:% = err; "heartbeat failed"),
        }
    }

    /// Answers a peer's heartbeat.
    pub async fn answer(&self, heartbeat: Heartbeat) -> PeerResponse {
        self.take(heartbeat, None).await;
        let round = self.members.actor().ask(TickMembers).await;
        match round {
            Ok(round) => PeerResponse::Heartbeat(Box::new(self.heartbeat(&round).await)),
            Err(_) => PeerResponse::Refused {
                code: ResultCode::InstanceLeaving,
                detail: String::new(),
            },
        }
    }

    /// Takes what a peer says; `sent_at` is when it was asked, if it was.
    async fn take(&self, heartbeat: Heartbeat, sent_at: Option<MonoTime>) {
        let heartbeat = Arc::new(heartbeat);
        let is_member = self
            .members
            .actor()
            .ask(NoteHeartbeat(Arc::clone(&heartbeat)))
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
            let note = NotePeer {
                sent_at,
                age: Duration::from_millis(heartbeat.log_age_ms),
                version: heartbeat.settings_version,
            };
            if self.settings_actor.tell(note).send().await.is_err() {
                debug!("the settings actor has ended");
            }
        }
    }

    async fn heartbeat(&self, round: &MemberRound) -> Heartbeat {
        let now = self.clock.now();
        let state = self.settings.state();
        let load = self
            .dispatch
            .actor()
            .ask(GetLoadSummary)
            .await
            .unwrap_or_default();
        let leaving = self.leaving.load(Ordering::Relaxed);
        // Before its first read of the list an instance has nowhere to send a request.
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
            heard_peers: round.hears.clone(),
            usage: self.control.shares().await,
            calls_position: self.plain.status().position,
            home: self.home.token().unwrap_or(self.own.incarnation),
        }
    }
}
