//! Members of the fleet, learned from heartbeats, and the addresses given to callers.

use std::net::SocketAddr;
use std::time::Duration;

use marigoldlock_wire::prelude::*;
use serde::{Deserialize, Serialize};

use crate::time::MonoTime;

use super::allowance::FleetShare;
use super::crashes::CrashReport;
use super::era::{StoreEra, StorePosition};
use super::exchange::heartbeat_interval;
use super::state::UpstreamKey;
use super::usage::WindowCounts;

/// Shortest silence after which an instance counts as dead: callers leave a silent address after a second.
const MIN_LIVENESS_TIMEOUT: Duration = Duration::from_millis(1_000);

/// Heartbeat intervals without a report after which an instance counts as dead: a report takes up to three
/// intervals to arrive through two relays.
const MAX_MISSED_HEARTBEATS: u32 = 6;

/// Silence after which an instance is removed from the table.
const FORGET_TIMEOUT: Duration = Duration::from_secs(60);

/// Maximum number of addresses in one response.
const MAX_ADDRESSES: usize = 64;

/// Ready instances in the caller's data centre with which a response contains only those.
const MIN_LOCAL_INSTANCES: usize = 2;

/// Lifecycle stage of an instance.
#[derive(Clone, Copy, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
pub enum MemberStage {
    /// Has no settings or upstreams yet.
    #[default]
    Starting,
    /// Serves requests.
    Ready,
    /// Finishes its requests and stops.
    Leaving,
}

/// Identity and addresses of an instance, published so that others find it.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct MemberCard {
    /// Name.
    pub id: InstanceId,
    /// Incarnation of its process.
    pub incarnation: Incarnation,
    /// Address for callers.
    pub front: SocketAddr,
    /// Address for other instances.
    pub peer: SocketAddr,
    /// Data centre that it runs in.
    pub data_centre: DataCentre,
    /// CPU share in hundredths of a core; larger instances become relays and followers of the store first.
    #[serde(default)]
    pub weight: u32,
}

/// Work at one upstream, as reported to other instances.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct UpstreamWork {
    /// The upstream.
    pub upstream: UpstreamKey,
    /// Number of requests.
    pub requests: u32,
    /// Prompt tokens sent to the upstream whose prefill has not finished.
    pub prefill_tokens: u64,
    /// Prompt tokens of requests not yet sent to the upstream.
    pub waiting_tokens: u64,
}

/// Versions of the settings and upstreams that an instance has.
#[derive(Clone, Copy, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
pub struct SyncState {
    /// Version of the settings in force; 0 for none.
    pub settings_version: u64,
    /// Era of the store that the offsets belong to; `None` before the first contact.
    pub era: Option<StoreEra>,
    /// Offset up to which the settings stream has been read.
    pub settings_offset: u64,
    /// Offset up to which the upstreams stream has been read.
    pub upstreams_offset: u64,
    /// Digest of the listed upstreams' records; equal for equal listings.
    pub upstreams_digest: u64,
}

impl SyncState {
    /// Position up to which the upstreams stream has been read.
    pub fn upstreams_position(&self) -> StorePosition {
        StorePosition::new(self.era.unwrap_or_default(), self.upstreams_offset)
    }
}

/// An instance's contact with the store. Times are sent as ages, since the clocks of instances can't be
/// compared.
#[derive(Clone, Copy, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
pub struct StoreContact {
    /// Age of the store's last response, in milliseconds; `None` while calls fail.
    pub response_age_ms: Option<u32>,
    /// Time since the store's last recovery from an outage, in milliseconds.
    pub recovery_age_ms: Option<u32>,
}

/// State that an instance reports about itself; relays forward it to other data centres.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct MemberReport {
    /// The instance.
    pub card: MemberCard,
    /// Sequence number of the report since the instance's start.
    pub sequence: u64,
    /// Lifecycle stage.
    pub stage: MemberStage,
    /// Versions of the settings and upstreams that it has.
    pub sync_state: SyncState,
    /// Its contact with the store.
    pub store: StoreContact,
    /// Fencing number, while it holds the duties.
    pub duty_fence: Option<u64>,
    /// Upstreams that it has ordered to change their role.
    pub changing: Vec<UpstreamId>,
    /// Its work at upstreams.
    pub work: Vec<UpstreamWork>,
    /// Upstreams that it has ejected because their address does not respond.
    pub unreachable: Vec<UpstreamKey>,
    /// True while it reaches no upstream.
    pub is_cut_off: bool,
}

impl MemberReport {
    /// Initial report of an instance without settings or upstreams.
    pub fn new(card: MemberCard) -> Self {
        Self {
            card,
            sequence: 0,
            stage: MemberStage::Starting,
            sync_state: SyncState::default(),
            store: StoreContact::default(),
            duty_fence: None,
            changing: Vec::new(),
            work: Vec::new(),
            unreachable: Vec::new(),
            is_cut_off: false,
        }
    }
}

impl MemberReport {
    /// Age up to which an instance that has read the upstreams up to `known` knows all of them by this report: that of
    /// the sender's last response of the store. `None` if the sender knows more, or has not read all of them yet.
    pub fn news_age(&self, known: StorePosition) -> Option<Duration> {
        let position = self.sync_state.upstreams_position();
        let has_read = self.stage != MemberStage::Starting && position.offset > 0;
        let is_covered = has_read && position.era == known.era && position.offset <= known.offset;
        let age_ms = self.store.response_age_ms.filter(|_| is_covered)?;
        Some(Duration::from_millis(u64::from(age_ms)))
    }
}

/// Heartbeat between instances.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct Heartbeat {
    /// The sender's wall clock, in Unix milliseconds.
    pub unix_ms: u64,
    /// True if it is sent only in reply to the receiver's heartbeats; the receiver does not reply to it.
    pub is_answer: bool,
    /// The sender's report.
    pub own: MemberReport,
    /// Reports of other instances that the sender forwards.
    pub forwarded: Vec<MemberReport>,
    /// The sender's usage counts of the latest windows.
    pub usage: Vec<WindowCounts>,
    /// Crashes of upstreams that the sender knows of.
    pub crashes: CrashReport,
}

/// How a report was received.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum ReportPath {
    /// From the instance itself.
    Direct,
    /// From the instance itself, in reply to this instance's heartbeats.
    Answer,
    /// Forwarded by a relay.
    Forwarded,
}

/// Known state of another instance.
#[derive(Clone, Debug)]
pub struct MemberState {
    /// Its latest report; the ages in it are relative to [`Self::reported_at`].
    pub report: MemberReport,
    /// When the latest report arrived; `None` if the instance is known only from the store.
    pub reported_at: Option<MonoTime>,
    /// When it last sent a heartbeat on its own initiative, not as a reply.
    pub direct_at: Option<MonoTime>,
    updated_at: MonoTime,
}

impl MemberState {
    /// The instance.
    pub fn card(&self) -> &MemberCard {
        &self.report.card
    }

    /// When the store last responded to it; `None` while its calls fail.
    pub fn store_response_at(&self) -> Option<MonoTime> {
        subtract_age(self.reported_at?, self.report.store.response_age_ms)
    }

    /// When the store last recovered from an outage, as the instance saw it.
    pub fn store_recovered_at(&self) -> Option<MonoTime> {
        subtract_age(self.reported_at?, self.report.store.recovery_age_ms)
    }

    /// Its report as forwarded at `now`: the ages are increased by the time since it arrived.
    pub fn forwarded(&self, now: MonoTime) -> MemberReport {
        let mut report = self.report.clone();
        report.store = StoreContact {
            response_age_ms: age_ms(self.store_response_at(), now),
            recovery_age_ms: age_ms(self.store_recovered_at(), now),
        };
        report
    }
}

fn subtract_age(at: MonoTime, age_ms: Option<u32>) -> Option<MonoTime> {
    age_ms.map(|age| at - Duration::from_millis(u64::from(age)))
}

/// Age of a point in time, as used in reports.
pub fn age_ms(at: Option<MonoTime>, now: MonoTime) -> Option<u32> {
    at.map(|at| u32::try_from(now.since(at).as_millis()).unwrap_or(u32::MAX))
}

/// This instance, as it may be named to callers.
#[derive(Clone, Copy, Debug)]
pub struct OwnAddress<'a> {
    /// The instance.
    pub card: &'a MemberCard,
    /// True while it reaches no upstream.
    pub is_cut_off: bool,
}

/// All other instances.
#[derive(Clone, Debug, Default)]
pub struct MemberTable {
    members: FastMap<InstanceId, MemberState>,
}

impl MemberTable {
    /// Adds a card from the store or a seed, unless the instance is known.
    pub fn add_card(&mut self, card: MemberCard, now: MonoTime) {
        let id = card.id.clone();
        self.members.entry(id).or_insert_with(|| MemberState {
            report: MemberReport::new(card),
            reported_at: None,
            direct_at: None,
            updated_at: now,
        });
    }

    /// Records a report; returns true if the instance was not live before.
    ///
    /// Ignores a forwarded report that is not newer than the known one. While the instance is live, also ignores
    /// a forwarded report of another incarnation, which may be an earlier one.
    pub fn record_report(&mut self, report: MemberReport, path: ReportPath, now: MonoTime) -> bool {
        let liveness_timeout = self.liveness_timeout();
        let known = self.members.get(&report.card.id);
        let was_live = known.is_some_and(|known| is_live(known, liveness_timeout, now));
        let is_forwarded = path == ReportPath::Forwarded;
        if let Some(known) = known {
            let is_same_incarnation = known.report.card.incarnation == report.card.incarnation;
            let is_older = is_same_incarnation && known.report.sequence >= report.sequence;
            if is_forwarded && (is_older || was_live && !is_same_incarnation) {
                return false;
            }
        }
        let direct_before = known.and_then(|known| known.direct_at);
        let state = MemberState {
            reported_at: Some(now),
            direct_at: if path == ReportPath::Direct {
                Some(now)
            } else {
                direct_before
            },
            updated_at: now,
            report,
        };
        self.members.insert(state.report.card.id.clone(), state);
        !was_live
    }

    /// Silence after which an instance counts as dead: several heartbeat intervals, including the delay
    /// through two relays, so that a lost packet has no effect.
    pub fn liveness_timeout(&self) -> Duration {
        MIN_LIVENESS_TIMEOUT.max(heartbeat_interval(self.members.len() + 1) * MAX_MISSED_HEARTBEATS)
    }

    /// Removes instances that have been silent for a minute.
    pub fn expire(&mut self, now: MonoTime) {
        self.members
            .retain(|_, member| now.since(member.updated_at) < FORGET_TIMEOUT);
    }

    /// All known instances.
    pub fn all(&self) -> impl Iterator<Item = &MemberState> {
        self.members.values()
    }

    /// Instances with a recent report.
    pub fn live(&self, now: MonoTime) -> impl Iterator<Item = &MemberState> {
        let liveness_timeout = self.liveness_timeout();
        self.members
            .values()
            .filter(move |member| is_live(member, liveness_timeout, now))
    }

    /// One of the addresses in each data centre, another one in each round.
    pub fn in_turn(&self, addresses: &[SocketAddr], round: u64) -> Vec<SocketAddr> {
        let mut by_data_centre: FastMap<&DataCentre, Vec<SocketAddr>> = FastMap::default();
        for member in self.members.values() {
            let card = member.card();
            if addresses.contains(&card.peer) {
                by_data_centre
                    .entry(&card.data_centre)
                    .or_default()
                    .push(card.peer);
            }
        }
        by_data_centre
            .into_values()
            .filter_map(|mut peers| {
                peers.sort_unstable();
                let turn = usize::try_from(round % peers.len() as u64).ok()?;
                peers.get(turn).copied()
            })
            .collect()
    }

    /// Part of the fleet that this instance hears. It is empty until the instance has read the list of members or heard
    /// another one. Instances that are listed but were never heard count until most of the fleet is.
    pub fn share(&self, has_list: bool, now: MonoTime) -> FleetShare {
        let heard = self.live(now).count();
        if heard == 0 && !has_list {
            return FleetShare::default();
        }
        let listed = self.members.len();
        let lately = self
            .members
            .values()
            .filter(|member| member.reported_at.is_some());
        let known = if heard * 2 < listed {
            listed
        } else {
            lately.count()
        };
        FleetShare {
            heard: heard + 1,
            known: known + 1,
        }
    }

    /// Addresses for a caller in `data_centre`; `own` is this instance's card if it serves requests. Instances that reach no
    /// upstream are left out, unless all are cut off.
    pub fn addresses(
        &self,
        own: Option<OwnAddress<'_>>,
        data_centre: Option<&str>,
        now: MonoTime,
    ) -> Vec<SocketAddr> {
        let others = self
            .live(now)
            .filter(|member| member.report.stage == MemberStage::Ready)
            .map(|member| (member.card(), member.report.is_cut_off));
        let own = own.map(|own| (own.card, own.is_cut_off));
        let serving: Vec<(&MemberCard, bool)> = others.chain(own).collect();
        let all_cut_off = serving.iter().all(|(_, is_cut_off)| *is_cut_off);
        let mut cards: Vec<&MemberCard> = serving
            .into_iter()
            .filter(|(_, is_cut_off)| all_cut_off || !is_cut_off)
            .map(|(card, _)| card)
            .collect();
        cards.sort_by(|a, b| a.id.cmp(&b.id));
        let local: Vec<&MemberCard> = cards
            .iter()
            .copied()
            .filter(|card| Some(card.data_centre.as_str()) == data_centre)
            .collect();
        let chosen = if local.len() >= MIN_LOCAL_INSTANCES {
            local
        } else {
            cards
        };
        chosen
            .into_iter()
            .map(|card| card.front)
            .take(MAX_ADDRESSES)
            .collect()
    }
}

fn is_live(member: &MemberState, liveness_timeout: Duration, now: MonoTime) -> bool {
    member
        .reported_at
        .is_some_and(|at| now.since(at) < liveness_timeout)
}
