//! Instances of the fleet, by their heartbeats, and the address answer.

use std::net::SocketAddr;
use std::time::Duration;

use marigoldlock_wire::prelude::*;
use serde::{Deserialize, Serialize};

use crate::time::MonoTime;

use super::windows::WindowCounts;

/// Silence after which an instance is not told to callers: several heartbeats, so that one lost packet harms nothing.
pub const SILENCE: Duration = Duration::from_millis(1_000);

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
}

/// Work at one upstream, as told to other instances.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct ToldWork {
    /// The upstream.
    pub upstream: UpstreamId,
    /// Requests there.
    pub requests: u32,
    /// Prompt tokens still to be read there.
    pub reading_tokens: u64,
    /// Prompt tokens of requests that wait to be sent there.
    pub waiting_tokens: u64,
}

/// Heartbeat between instances.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct Heartbeat {
    /// The sender.
    pub card: MemberCard,
    /// Where it is in its life.
    pub stage: MemberStage,
    /// Its wall clock, in Unix milliseconds.
    pub unix_ms: u64,
    /// Version of the settings that it has in force; 0 for none.
    pub settings_version: u64,
    /// Offset up to which it knows the upstreams.
    pub upstreams_offset: u64,
    /// Fencing number under which it holds the duties.
    pub duty_fence: Option<u64>,
    /// Upstreams that it has ordered to change their role.
    pub changing: Vec<UpstreamId>,
    /// Its work at upstreams.
    pub work: Vec<ToldWork>,
    /// Its usage counts of the latest windows.
    pub usage: Vec<WindowCounts>,
}

/// What is known of another instance.
#[derive(Clone, Debug)]
pub struct MemberState {
    /// Who it is.
    pub card: MemberCard,
    /// Where it is in its life.
    pub stage: MemberStage,
    /// Settings that it has in force.
    pub settings_version: u64,
    /// How far it knows the upstreams.
    pub upstreams_offset: u64,
    /// Fencing number under which it holds the duties.
    pub duty_fence: Option<u64>,
    /// Upstreams that it has ordered to change their role.
    pub changing: Vec<UpstreamId>,
    /// Its work at upstreams.
    pub work: Vec<ToldWork>,
    /// Last heartbeat; `None` if it is only known from the store.
    pub heard_at: Option<MonoTime>,
    known_at: MonoTime,
}

impl MemberState {
    /// True if it was heard of lately.
    pub fn is_live(&self, now: MonoTime) -> bool {
        self.heard_at.is_some_and(|at| now.since(at) < SILENCE)
    }
}

/// All other instances.
#[derive(Clone, Debug, Default)]
pub struct MemberTable {
    members: FastMap<InstanceId, MemberState>,
}

impl MemberTable {
    /// Takes a card from the store or a seed.
    pub fn learn(&mut self, card: MemberCard, now: MonoTime) {
        if self.members.get(&card.id).is_some_and(|known| known.is_live(now)) {
            return;
        }
        let state = MemberState {
            stage: MemberStage::Starting,
            settings_version: 0,
            upstreams_offset: 0,
            duty_fence: None,
            changing: Vec::new(),
            work: Vec::new(),
            heard_at: None,
            known_at: now,
            card,
        };
        self.members.entry(state.card.id.clone()).or_insert(state);
    }

    /// Takes a heartbeat; returns true if the sender was not live before.
    pub fn hear(&mut self, beat: &Heartbeat, now: MonoTime) -> bool {
        let was_live = self
            .members
            .get(&beat.card.id)
            .is_some_and(|known| known.is_live(now));
        let state = MemberState {
            card: beat.card.clone(),
            stage: beat.stage,
            settings_version: beat.settings_version,
            upstreams_offset: beat.upstreams_offset,
            duty_fence: beat.duty_fence,
            changing: beat.changing.clone(),
            work: beat.work.clone(),
            heard_at: Some(now),
            known_at: now,
        };
        self.members.insert(beat.card.id.clone(), state);
        !was_live
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
        self.members.values().filter(move |member| member.is_live(now))
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
            .filter(|member| member.stage == MemberStage::Ready)
            .map(|member| &member.card);
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
