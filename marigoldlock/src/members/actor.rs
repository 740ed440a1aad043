//! The actor that knows the other instances.

use std::convert::Infallible;
use std::sync::Arc;
use std::time::Duration;

use kameo::Actor;
use kameo::actor::ActorRef;
use kameo::message::{Context, Message};
use log::{info, warn};
use marigoldlock_core::calls::{log_down_code, peer_logs};
use marigoldlock_core::keys::OutageView;
use marigoldlock_core::membership::{
    AddressQuery, ExchangeLimits, HeartbeatOutcome, MemberLimits, MemberState, MemberTable, OwnIdentity,
};
use marigoldlock_core::time::MonoTime;
use marigoldlock_wire::peer::{HeardPeer, Heartbeat};
use marigoldlock_wire::platform::{InstanceList, ListKind, ListState};
use marigoldlock_wire::prelude::*;

use crate::clock::TimeSource;

/// Most addresses in one answer.
const MAX_ADDRESSES: usize = 8;

/// Age of a peer's last log read from which it counts as unable to read the log, in milliseconds.
const LOG_SILENT_MS: u64 = 4_000;

/// What the actor starts with.
pub struct MemberSources {
    /// This instance.
    pub own: OwnIdentity,
    /// Clock of the instance.
    pub clock: Arc<dyn TimeSource>,
    /// Bounds on silence.
    pub limits: MemberLimits,
}

/// Owner of the member table.
pub struct MemberActor {
    table: MemberTable,
    clock: Arc<dyn TimeSource>,
    own: OwnIdentity,
    listed: usize,
    own_leaving: bool,
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
            own_leaving: false,
        })
    }
}

/// The platform's list, as last read.
pub struct NoteList(pub Arc<InstanceList>);

impl Message<NoteList> for MemberActor {
    type Reply = ();

    async fn handle(&mut self, note: NoteList, _: &mut Context<Self, ()>) {
        let entries = note
            .0
            .entries
            .iter()
            .filter(|entry| entry.kind == ListKind::Entry);
        self.listed = entries.clone().count().max(1);
        self.own_leaving = entries
            .filter(|entry| entry.id == self.own.instance.as_str())
            .any(|entry| entry.state == ListState::Leaving);
        self.table.on_list(&note.0, self.clock.now());
    }
}

/// A heartbeat that a peer sent or answered with.
pub struct NoteHeartbeat(pub Arc<Heartbeat>);

impl Message<NoteHeartbeat> for MemberActor {
    type Reply = bool;

    /// Returns whether the sender is a member.
    async fn handle(&mut self, note: NoteHeartbeat, _: &mut Context<Self, bool>) -> bool {
        let step = self.table.on_heartbeat(&note.0, self.clock.now());
        if step == HeartbeatOutcome::Joined {
            info!(instance = note.0.instance, incarnation:% = note.0.incarnation; "member joined");
        }
        step != HeartbeatOutcome::Ended
    }
}

/// Lets time pass.
pub struct TickMembers;

/// What a tick found.
#[derive(Clone, Debug, kameo::Reply)]
pub struct MemberRound {
    /// Addresses of the peers to exchange heartbeats with.
    pub peers: Vec<String>,
    /// What to say about peers that were heard lately.
    pub hears: Vec<HeardPeer>,
    /// Members that can and can't read the log, this one not among them.
    pub view: OutageView,
    /// Members that are gone or silent.
    pub silent: Vec<InstanceId>,
    /// True once the list says that this instance leaves.
    pub own_leaving: bool,
}

impl Message<TickMembers> for MemberActor {
    type Reply = MemberRound;

    async fn handle(&mut self, _: TickMembers, _: &mut Context<Self, MemberRound>) -> MemberRound {
        let now = self.clock.now();
        if let Some(paused) = self.table.tick(now) {
            warn!(paused_ms = paused.as_millis() as u64; "this instance was paused");
        }
        let peers = self.table.exchange_peers(&ExchangeLimits::default());
        MemberRound {
            peers: peers.iter().map(|member| member.peer_address.clone()).collect(),
            hears: self.table.heard_peers(now),
            view: self.outage_view(),
            silent: self.silent_members(),
            own_leaving: self.own_leaving,
        }
    }
}

impl MemberActor {
    fn outage_view(&self) -> OutageView {
        let mut view = OutageView {
            listed: self.listed,
            ..OutageView::default()
        };
        for member in self.table.iter().filter(|member| member.is_reachable()) {
            if member.log_age_ms >= LOG_SILENT_MS {
                view.confirming += 1;
            } else {
                view.denying += 1;
            }
        }
        view
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

/// Asks for the addresses that a caller may use.
pub struct AskAddresses {
    /// The caller's own mark.
    pub caller: String,
    /// Address of this instance; `None` while it should not be used.
    pub own_address: Option<String>,
}

/// Address of one instance.
#[derive(Clone, Debug)]
pub struct KnownAddress {
    /// Name.
    pub instance: InstanceId,
    /// Home token, if known.
    pub home: Option<Incarnation>,
    /// Data centre.
    pub data_centre: DataCentre,
    /// Address, as `ip:port`.
    pub address: String,
}

/// Addresses, best first.
#[derive(Clone, Debug, Default, kameo::Reply)]
pub struct KnownAddresses(pub Vec<KnownAddress>);

impl Message<AskAddresses> for MemberActor {
    type Reply = KnownAddresses;

    async fn handle(&mut self, ask: AskAddresses, _: &mut Context<Self, Self::Reply>) -> Self::Reply {
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

/// Asks which peer's keys have a home token.
pub struct FindHome(pub Incarnation);

impl Message<FindHome> for MemberActor {
    type Reply = Option<String>;

    async fn handle(&mut self, find: FindHome, _: &mut Context<Self, Self::Reply>) -> Self::Reply {
        self.table
            .find_home(find.0)
            .map(|member| member.peer_address.clone())
    }
}

/// Asks what a plain key that is not known may be told while the log is down.
pub struct AskLogDown {
    /// Position up to which the calls stream was read.
    pub position: LogPosition,
    /// When the last read was asked for that reached the head.
    pub fresh: MonoTime,
}

impl Message<AskLogDown> for MemberActor {
    type Reply = Option<ResultCode>;

    async fn handle(&mut self, ask: AskLogDown, _: &mut Context<Self, Self::Reply>) -> Self::Reply {
        let silent = Duration::from_millis(LOG_SILENT_MS);
        let peers = peer_logs(&self.table, ask.fresh, silent);
        Some(log_down_code(ask.position, peers))
    }
}

fn is_heard(state: MemberState) -> bool {
    matches!(
        state,
        MemberState::Live | MemberState::Suspect | MemberState::Leaving
    )
}

/// One member, for the status page.
#[derive(Clone, Debug, serde::Deserialize, serde::Serialize)]
pub struct MemberStatus {
    /// Name.
    pub instance: InstanceId,
    /// Start, if it was heard.
    pub incarnation: Option<Incarnation>,
    /// Data centre.
    pub data_centre: DataCentre,
    /// Address for callers.
    pub address: String,
    /// Address for peers.
    pub peer_address: String,
    /// State, in words.
    pub state: String,
    /// Whether it was heard lately.
    pub is_heard: bool,
    /// Whether it takes requests.
    pub ready: bool,
    /// Settings version in force there.
    pub settings_version: LogPosition,
    /// Time since it was heard, in milliseconds.
    pub silence_ms: Option<u64>,
}

/// Members, by name.
#[derive(Clone, Debug, Default, kameo::Reply)]
pub struct MemberList(pub Vec<MemberStatus>);

/// Asks for all members.
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
