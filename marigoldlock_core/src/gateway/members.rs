//! Instances of the fleet, by their heartbeats, and the address answer.

use std::net::SocketAddr;
use std::time::Duration;

use marigoldlock_wire::prelude::*;
use serde::{Deserialize, Serialize};

use crate::time::MonoTime;

use super::exchange::interval;
use super::state::UpstreamKey;
use super::windows::WindowCounts;

/// Shortest silence after which an instance counts as dead: callers leave a silent address after a second.
const SILENCE_LEAST: Duration = Duration::from_millis(1_000);

/// Heartbeats that may be missed: a report takes up to three on its way through two relays.
const SILENCE_BEATS: u32 = 6;

/// Silence after which an instance is forgotten.
const FORGET: Duration = Duration::from_secs(60);

/// Addresses in one answer.
const MOST_ADDRESSES: usize = 64;

/// Instances of the caller's data centre that suffice for an answer without others.
const ENOUGH_NEAR: usize = 2;

/// Where an instance is in its life.
#[derive(Clone, Copy, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
pub enum MemberStage {
    /// Has no settings or upstreams yet.
    #[default]
    Starting,
    /// Serves.
    Ready,
    /// Finishes its requests and ends.
    Leaving,
}

/// What an instance says of itself to find others.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct MemberCard {
    /// Name.
    pub id: InstanceId,
    /// Start of its process.
    pub incarnation: Incarnation,
    /// Where callers connect.
    pub front: SocketAddr,
    /// Where other instances send to.
    pub peer: SocketAddr,
    /// Where it stands.
    pub data_centre: DataCentre,
    /// Share of a core that it may use, in hundredths; larger instances relay and follow the store first.
    #[serde(default)]
    pub weight: u32,
}

/// Work at one upstream, as told to other instances.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct ToldWork {
    /// The upstream.
    pub upstream: UpstreamKey,
    /// Requests there.
    pub requests: u32,
    /// Prompt tokens still to be read there.
    pub reading_tokens: u64,
    /// Prompt tokens of requests that wait to be sent there.
    pub waiting_tokens: u64,
}

/// How far an instance knows settings and upstreams.
#[derive(Clone, Copy, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
pub struct KnowledgeMark {
    /// Version of the settings in force; 0 for none.
    pub settings_version: u64,
    /// Offset up to which the stream of settings is read.
    pub settings_offset: u64,
    /// Offset up to which the stream of upstreams is read.
    pub upstreams_offset: u64,
    /// Digest of the listed upstreams' records; equal for equal listings.
    pub upstreams_digest: u64,
}

/// When an instance last heard from the store, as ages, since clocks of instances can't be compared.
#[derive(Clone, Copy, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
pub struct StoreContact {
    /// Age of the last answer, in milliseconds; `None` while calls fail.
    pub answer_age_ms: Option<u32>,
    /// Time since the store came back after a loss, in milliseconds.
    pub back_age_ms: Option<u32>,
}

/// What an instance tells of itself; relays pass it on to other data centres.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct MemberReport {
    /// The instance.
    pub card: MemberCard,
    /// Number of the report since the instance's start.
    pub sequence: u64,
    /// Where it is in its life.
    pub stage: MemberStage,
    /// How far it knows settings and upstreams.
    pub knowledge: KnowledgeMark,
    /// Its contact with the store.
    pub store: StoreContact,
    /// Fencing number under which it holds the duties.
    pub duty_fence: Option<u64>,
    /// Upstreams that it has ordered to change their role.
    pub changing: Vec<UpstreamId>,
    /// Its work at upstreams.
    pub work: Vec<ToldWork>,
    /// Upstreams that it has set aside since nobody answers there.
    pub unreachable: Vec<UpstreamKey>,
}

impl MemberReport {
    /// Report of an instance that knows nothing yet.
    pub fn new(card: MemberCard) -> Self {
        Self {
            card,
            sequence: 0,
            stage: MemberStage::Starting,
            knowledge: KnowledgeMark::default(),
            store: StoreContact::default(),
            duty_fence: None,
            changing: Vec::new(),
            work: Vec::new(),
            unreachable: Vec::new(),
        }
    }
}

/// Heartbeat between instances.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct Heartbeat {
    /// The sender's wall clock, in Unix milliseconds.
    pub unix_ms: u64,
    /// True if it is only sent since the other sends; it is not answered then.
    pub is_answer: bool,
    /// The sender's report.
    pub own: MemberReport,
    /// Reports of other instances that the sender passes on.
    pub forwarded: Vec<MemberReport>,
    /// The sender's usage counts of the latest windows.
    pub usage: Vec<WindowCounts>,
}

/// How a report came here.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum ReportPath {
    /// From the instance itself.
    Direct,
    /// From the instance itself, since it was sent to.
    Answer,
    /// Through a relay.
    Forwarded,
}

/// What is known of another instance.
#[derive(Clone, Debug)]
pub struct MemberState {
    /// Its latest report; its ages count from [`Self::reported_at`].
    pub report: MemberReport,
    /// When the latest report came; `None` if it is only known from the store.
    pub reported_at: Option<MonoTime>,
    /// When it last sent by itself and not as an answer.
    pub direct_at: Option<MonoTime>,
    known_at: MonoTime,
}

impl MemberState {
    /// The instance.
    pub fn card(&self) -> &MemberCard {
        &self.report.card
    }

    /// When the store last answered it; `None` while its calls fail.
    pub fn store_answer_at(&self) -> Option<MonoTime> {
        earlier(self.reported_at?, self.report.store.answer_age_ms)
    }

    /// When the store last came back after a loss, as the instance saw it.
    pub fn store_back_at(&self) -> Option<MonoTime> {
        earlier(self.reported_at?, self.report.store.back_age_ms)
    }

    /// Its report as it is passed on at `now`: the ages have grown since it came.
    pub fn forwarded(&self, now: MonoTime) -> MemberReport {
        let mut report = self.report.clone();
        report.store = StoreContact {
            answer_age_ms: age_ms(self.store_answer_at(), now),
            back_age_ms: age_ms(self.store_back_at(), now),
        };
        report
    }
}

fn earlier(at: MonoTime, age_ms: Option<u32>) -> Option<MonoTime> {
    age_ms.map(|age| at - Duration::from_millis(u64::from(age)))
}

/// Age of a point in time as reports tell it.
pub fn age_ms(at: Option<MonoTime>, now: MonoTime) -> Option<u32> {
    at.map(|at| u32::try_from(now.since(at).as_millis()).unwrap_or(u32::MAX))
}

/// All other instances.
#[derive(Clone, Debug, Default)]
pub struct MemberTable {
    members: FastMap<InstanceId, MemberState>,
}

impl MemberTable {
    /// Takes a card from the store or a seed.
    pub fn learn(&mut self, card: MemberCard, now: MonoTime) {
        let id = card.id.clone();
        self.members.entry(id).or_insert_with(|| MemberState {
            report: MemberReport::new(card),
            reported_at: None,
            direct_at: None,
            known_at: now,
        });
    }

    /// Takes a report; returns true if the instance was not live before.
    ///
    /// A relay may pass on a report that is older than what is known, or one of an earlier start.
    pub fn hear(&mut self, report: MemberReport, path: ReportPath, now: MonoTime) -> bool {
        let silence = self.silence();
        let known = self.members.get(&report.card.id);
        let was_live = known.is_some_and(|known| is_live(known, silence, now));
        let is_forwarded = path == ReportPath::Forwarded;
        if let Some(known) = known {
            let is_same_start = known.report.card.incarnation == report.card.incarnation;
            let is_older = is_same_start && known.report.sequence >= report.sequence;
            if is_forwarded && (is_older || was_live && !is_same_start) {
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
            known_at: now,
            report,
        };
        self.members.insert(state.report.card.id.clone(), state);
        !was_live
    }

    /// Silence after which an instance counts as dead: several heartbeats on the way through two relays, so
    /// that a lost packet harms nothing.
    pub fn silence(&self) -> Duration {
        SILENCE_LEAST.max(interval(self.members.len() + 1) * SILENCE_BEATS)
    }

    /// Forgets instances that have been silent for long.
    pub fn expire(&mut self, now: MonoTime) {
        self.members
            .retain(|_, member| now.since(member.known_at) < FORGET);
    }

    /// All instances that are known.
    pub fn all(&self) -> impl Iterator<Item = &MemberState> {
        self.members.values()
    }

    /// Instances that were heard of lately.
    pub fn live(&self, now: MonoTime) -> impl Iterator<Item = &MemberState> {
        let silence = self.silence();
        self.members
            .values()
            .filter(move |member| is_live(member, silence, now))
    }

    /// Addresses for a caller in `data_centre`; `own` is this instance's card if it serves.
    pub fn addresses(
        &self,
        own: Option<&MemberCard>,
        data_centre: Option<&str>,
        now: MonoTime,
    ) -> Vec<SocketAddr> {
        let others = self
            .live(now)
            .filter(|member| member.report.stage == MemberStage::Ready)
            .map(MemberState::card);
        let mut cards: Vec<&MemberCard> = others.chain(own).collect();
        cards.sort_by(|a, b| a.id.cmp(&b.id));
        let near: Vec<&MemberCard> = cards
            .iter()
            .copied()
            .filter(|card| Some(card.data_centre.as_str()) == data_centre)
            .collect();
        let chosen = if near.len() >= ENOUGH_NEAR { near } else { cards };
        chosen
            .into_iter()
            .map(|card| card.front)
            .take(MOST_ADDRESSES)
            .collect()
    }
}

fn is_live(member: &MemberState, silence: Duration, now: MonoTime) -> bool {
    member.reported_at.is_some_and(|at| now.since(at) < silence)
}
