//! Actor that owns the member table.

use std::convert::Infallible;
use std::sync::Arc;
use std::time::Duration;

use kameo::Actor;
use kameo::actor::ActorRef;
use kameo::message::{Context, Message};
use log::{info, warn};
use marigoldlock_core::calls::{log_down_code, peer_logs};
use marigoldlock_core::membership::{
    AddressQuery, ExchangeLimits, HeartbeatOutcome, MemberLimits, MemberState, MemberTable, OwnIdentity,
};
use marigoldlock_core::time::MonoTime;
use marigoldlock_wire::peer::{HeardPeer, Heartbeat};
use marigoldlock_wire::platform::{InstanceList, ListKind, ListState};
use marigoldlock_wire::prelude::*;

use crate::clock::TimeSource;

/// Maximum number of addresses in one answer.
const MAX_ADDRESSES: usize = 8;

/// Age of a member's last log read from which the log counts as down for that member, in milliseconds.
const LOG_DOWN_AFTER_MS: u64 = 4_000;

/// Dependencies of the actor.
pub struct MemberSources {
    /// This instance.
    pub own: OwnIdentity,
    /// Clock of the instance.
    pub clock: Arc<dyn TimeSource>,
    /// Time limits after which a member's state changes.
    pub limits: MemberLimits,
}

/// Owner of the member table.
pub struct MemberActor {
    table: MemberTable,
    clock: Arc<dyn TimeSource>,
    own: OwnIdentity,
    listed: usize,
    listed_as_leaving: bool,
}

impl Actor for MemberActor {
    type Args = MemberSources;
    type Error = Infallible;

    async fn on_start(sources: MemberSources, _: ActorRef<Self>) -> Result<Self, Infallible> {
        let MemberSources { own, clock, limits } = sources;
        let table = MemberTable::new(own.clone(), limits);
        Ok(Self {
            table,
            clock,
            own,
            listed: 1,
            listed_as_leaving: false,
        })
    }
}

/// Applies the platform's list.
pub struct ApplyList(pub Arc<InstanceList>);

impl Message<ApplyList> for MemberActor {
    type Reply = ();

    async fn handle(&mut self, message: ApplyList, _: &mut Context<Self, ()>) {
        let entries = message
            .0
            .entries
            .iter()
            .filter(|entry| entry.kind == ListKind::Entry);
        self.listed = entries.clone().count().max(1);
        self.listed_as_leaving = entries
            .filter(|entry| entry.id == self.own.instance.as_str())
            .any(|entry| entry.state == ListState::Leaving);
        self.table.on_list(&message.0, self.clock.now());
    }
}

/// Applies a heartbeat that a peer sent as a request or as an answer.
pub struct ApplyHeartbeat(pub Arc<Heartbeat>);

impl Message<ApplyHeartbeat> for MemberActor {
    type Reply = bool;

    /// Returns true if the sender is a member, false if its incarnation is gone.
    async fn handle(&mut self, message: ApplyHeartbeat, _: &mut Context<Self, bool>) -> bool {
        let outcome = self.table.on_heartbeat(&message.0, self.clock.now());
        if outcome == HeartbeatOutcome::Joined {
            info!(instance = message.0.instance, incarnation:% = message.0.incarnation; "member joined");
        }
        outcome != HeartbeatOutcome::Ended
    }
}

/// Periodic tick: updates the states of the members.
pub struct TickMembers;

/// Result of a tick.
#[derive(Clone, Debug, kameo::Reply)]
pub struct TickResult {
    /// Addresses of the peers to exchange heartbeats with.
    pub peers: Vec<String>,
    /// Recently heard peers, for this instance's own heartbeat.
    pub heard_peers: Vec<HeardPeer>,
    /// Entry instances on the platform's list, including this one.
    pub listed: usize,
    /// Time since each reachable member, without this instance, last had the newest settings.
    pub log_ages: Vec<Duration>,
    /// Members that are gone or silent.
    pub silent: Vec<InstanceId>,
    /// True once the platform's list marks this instance as leaving.
    pub listed_as_leaving: bool,
}

impl Message<TickMembers> for MemberActor {
    type Reply = TickResult;

    async fn handle(&mut self, _: TickMembers, _: &mut Context<Self, TickResult>) -> TickResult {
        let now = self.clock.now();
        if let Some(paused) = self.table.tick(now) {
            warn!(paused_ms = paused.as_millis() as u64; "this instance was paused; members are suspect until heard");
        }
        let peers = self.table.exchange_peers(&ExchangeLimits::default());
        TickResult {
            peers: peers.iter().map(|member| member.peer_address.clone()).collect(),
            heard_peers: self.table.heard_peers(now),
            listed: self.listed,
            log_ages: self.log_ages(),
            silent: self.silent_members(),
            listed_as_leaving: self.listed_as_leaving,
        }
    }
}

impl MemberActor {
    fn log_ages(&self) -> Vec<Duration> {
        let reachable = self.table.iter().filter(|member| member.is_reachable());
        reachable
            .map(|member| Duration::from_millis(member.log_age_ms))
            .collect()
    }

    fn silent_members(&self) -> Vec<InstanceId> {
        let silent = |state| matches!(state, MemberState::Silent | MemberState::Gone);
        self.table
            .iter()
            .filter(|member| silent(member.state))
            .map(|member| member.instance.clone())
            .collect()
    }
}

/// Requests the addresses that a caller may use.
pub struct GetAddresses {
    /// Identifier of the caller.
    pub caller: String,
    /// Address of this instance, or `None` while callers should not use it.
    pub own_address: Option<String>,
}

/// Address of one instance.
#[derive(Clone, Debug)]
pub struct KnownAddress {
    /// Name.
    pub instance: InstanceId,
    /// Home token that the instance currently gives out, if known.
    pub home: Option<Incarnation>,
    /// Data centre.
    pub data_centre: DataCentre,
    /// Address, as `ip:port`.
    pub address: String,
}

/// Addresses, best first.
#[derive(Clone, Debug, Default, kameo::Reply)]
pub struct KnownAddresses(pub Vec<KnownAddress>);

impl Message<GetAddresses> for MemberActor {
    type Reply = KnownAddresses;

    async fn handle(&mut self, ask: GetAddresses, _: &mut Context<Self, Self::Reply>) -> Self::Reply {
        let view = AddressQuery {
            caller: &ask.caller,
            own_address: ask.own_address.as_deref(),
            max_addresses: MAX_ADDRESSES,
        };
        let entries = self.table.addresses(&view, self.clock.now());
        let addresses = entries.into_iter().map(|entry| KnownAddress {
            instance: entry.instance,
            home: entry.home,
            data_centre: entry.data_centre,
            address: entry.address,
        });
        KnownAddresses(addresses.collect())
    }
}

/// Requests the peer address of the instance that remembers the keys with a home token.
pub struct FindHome(pub Incarnation);

impl Message<FindHome> for MemberActor {
    type Reply = Option<String>;

    async fn handle(&mut self, find: FindHome, _: &mut Context<Self, Self::Reply>) -> Self::Reply {
        self.table
            .find_home(find.0)
            .map(|member| member.peer_address.clone())
    }
}

/// Requests the result code for a call with an unknown plain key during a log outage.
pub struct GetLogDownCode {
    /// Position up to which the calls stream was read.
    pub position: LogPosition,
    /// When the last read that reached the head was requested.
    pub fresh: MonoTime,
}

impl Message<GetLogDownCode> for MemberActor {
    type Reply = Option<ResultCode>;

    async fn handle(&mut self, ask: GetLogDownCode, _: &mut Context<Self, Self::Reply>) -> Self::Reply {
        let down_after = Duration::from_millis(LOG_DOWN_AFTER_MS);
        let peers = peer_logs(&self.table, ask.fresh, down_after);
        Some(log_down_code(ask.position, peers))
    }
}

fn is_heard(state: MemberState) -> bool {
    matches!(
        state,
        MemberState::Live | MemberState::Suspect | MemberState::Leaving
    )
}

/// Status of one member, for the status page.
#[derive(Clone, Debug, serde::Deserialize, serde::Serialize)]
pub struct MemberStatus {
    /// Name.
    pub instance: InstanceId,
    /// Incarnation, if the member was heard.
    pub incarnation: Option<Incarnation>,
    /// Data centre.
    pub data_centre: DataCentre,
    /// Address for callers.
    pub address: String,
    /// Address for peers.
    pub peer_address: String,
    /// State, in lower case.
    pub state: String,
    /// Whether the member was heard and is neither silent nor gone.
    pub is_heard: bool,
    /// Whether the member accepts requests.
    pub ready: bool,
    /// Settings version in force at the member.
    pub settings_version: LogPosition,
    /// Time since the member was last heard, in milliseconds.
    pub silence_ms: Option<u64>,
}

/// Members, sorted by name.
#[derive(Clone, Debug, Default, kameo::Reply)]
pub struct MemberList(pub Vec<MemberStatus>);

/// Requests the status of all members.
pub struct ListMembers;

impl Message<ListMembers> for MemberActor {
    type Reply = MemberList;

    async fn handle(&mut self, _: ListMembers, _: &mut Context<Self, Self::Reply>) -> Self::Reply {
        let now: MonoTime = self.clock.now();
        let mut members: Vec<_> = self
            .table
            .iter()
            .map(|member| MemberStatus {
                instance: member.instance.clone(),
                incarnation: member.incarnation,
                data_centre: member.data_centre.clone(),
                address: member.address.clone(),
                peer_address: member.peer_address.clone(),
                state: member.state.to_string().to_lowercase(),
                is_heard: is_heard(member.state),
                ready: member.ready,
                settings_version: member.settings_version,
                silence_ms: member.silence(now).map(|silence| silence.as_millis() as u64),
            })
            .collect();
        members.sort_by(|a, b| a.instance.cmp(&b.instance));
        MemberList(members)
    }
}
