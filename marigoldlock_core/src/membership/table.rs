//! Table of members, built from the platform's list and from heartbeats.

use std::collections::VecDeque;
use std::time::Duration;

use marigoldlock_wire::peer::{HeardPeer, Heartbeat};
use marigoldlock_wire::platform::{InstanceList, ListKind};

use super::member::{MemberEntry, MemberLimits, MemberState, home_generation};
use crate::prelude::*;

/// Number of gone incarnations that are remembered.
const MAX_GONE_INCARNATIONS: usize = 4_096;

/// Identity of this instance.
#[derive(Clone, Debug)]
pub struct OwnIdentity {
    /// Name of the instance.
    pub instance: InstanceId,
    /// Incarnation of this process.
    pub incarnation: Incarnation,
    /// Data centre.
    pub data_centre: DataCentre,
}

/// Result of processing a heartbeat.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum HeartbeatOutcome {
    /// The member's entry was updated.
    Renewed,
    /// The sender is a new instance or a new incarnation of a known one.
    Joined,
    /// The heartbeat is outdated, repeated or this instance's own; nothing changed.
    Ignored,
    /// The sender's incarnation is gone; it must not be treated as a member.
    Ended,
}

/// Members as known to this instance.
#[derive(Debug)]
pub struct MemberTable {
    pub(super) own: OwnIdentity,
    pub(super) limits: MemberLimits,
    pub(super) members: FastMap<InstanceId, MemberEntry>,
    pub(super) reported_peers: FastMap<InstanceId, FastMap<InstanceId, HeardPeer>>,
    gone: FastSet<Incarnation>,
    gone_order: VecDeque<Incarnation>,
    list_version: Option<u64>,
    last_tick: Option<MonoTime>,
    last_resume: Option<MonoTime>,
    last_loss: Option<MonoTime>,
    max_calls_position: LogPosition,
}

impl MemberTable {
    /// Creates an empty table.
    pub fn new(own: OwnIdentity, limits: MemberLimits) -> Self {
        Self {
            own,
            limits,
            members: FastMap::default(),
            reported_peers: FastMap::default(),
            gone: FastSet::default(),
            gone_order: VecDeque::new(),
            list_version: None,
            last_tick: None,
            last_resume: None,
            last_loss: None,
            max_calls_position: LogPosition::default(),
        }
    }

    /// Applies the platform's list; a list older than the last one is ignored.
    pub fn on_list(&mut self, list: &InstanceList, now: MonoTime) {
        if self.list_version.is_some_and(|known| list.version < known) {
            return;
        }
        self.list_version = Some(list.version);
        for member in self.members.values_mut() {
            member.listed = None;
        }
        let entries = list.entries.iter().filter(|entry| entry.kind == ListKind::Entry);
        for entry in entries.filter(|entry| entry.id != self.own.instance.as_str()) {
            let member = self
                .members
                .entry(InstanceId::from(entry.id.as_str()))
                .or_insert_with(|| MemberEntry::from_list(entry, now));
            if member.state == MemberState::Gone && member.address != entry.address {
                *member = MemberEntry::from_list(entry, now);
            }
            member.listed = Some(entry.state);
            member.was_listed = true;
        }
        self.update_states(now);
    }

    /// Applies a heartbeat that a peer sent as a request or as an answer.
    pub fn on_heartbeat(&mut self, heartbeat: &Heartbeat, now: MonoTime) -> HeartbeatOutcome {
        if heartbeat.instance == self.own.instance.as_str() {
            return HeartbeatOutcome::Ignored;
        }
        if self.gone.contains(&heartbeat.incarnation) {
            return HeartbeatOutcome::Ended;
        }
        let known = self.members.get(heartbeat.instance.as_str());
        let current = known.and_then(|member| member.incarnation);
        let outcome = match current {
            Some(incarnation) if incarnation == heartbeat.incarnation => self.renew(heartbeat, now),
            Some(incarnation) if self.is_older(heartbeat) => {
                debug_assert_ne!(incarnation, heartbeat.incarnation);
                self.remember_gone(heartbeat.incarnation);
                HeartbeatOutcome::Ended
            }
            Some(incarnation) => {
                self.remember_gone(incarnation);
                self.last_loss = Some(now);
                self.join(heartbeat, now)
            }
            None => self.join(heartbeat, now),
        };
        if matches!(outcome, HeartbeatOutcome::Renewed | HeartbeatOutcome::Joined) {
            self.max_calls_position = self.max_calls_position.max(heartbeat.calls_position);
            self.apply_heard_peers(heartbeat, now);
        }
        outcome
    }

    /// Updates the states of all members; must be called once per heartbeat interval.
    ///
    /// Returns the duration of the pause if this instance was paused since the last tick. Its knowledge is
    /// then outdated: members are suspect until they are heard again. The pause counts as silence only up to
    /// the threshold of suspicion, so that it alone makes no member silent or gone.
    pub fn tick(&mut self, now: MonoTime) -> Option<Duration> {
        let gap = self
            .last_tick
            .map_or(Duration::ZERO, |last_tick| now.since(last_tick));
        self.last_tick = Some(now);
        let paused = (gap >= self.limits.pause_after).then_some(gap);
        if paused.is_some() {
            self.last_resume = Some(now);
            self.limit_silence(now);
        }
        self.update_states(now);
        paused
    }

    /// Returns the time at which this instance last detected that it had been paused.
    pub fn last_resume(&self) -> Option<MonoTime> {
        self.last_resume
    }

    /// Returns the time at which a member was last found to be silent, gone or restarted.
    pub fn last_loss(&self) -> Option<MonoTime> {
        self.last_loss
    }

    /// Returns the highest position in the calls stream that any member has reported, including gone members.
    pub fn max_calls_position(&self) -> LogPosition {
        self.max_calls_position
    }

    /// Returns the member with a name, whether gone or not.
    pub fn get(&self, instance: &str) -> Option<&MemberEntry> {
        self.members.get(instance)
    }

    /// Iterates over all members except this instance, in arbitrary order.
    ///
    /// Gone members are included while they are on the platform's list.
    pub fn iter(&self) -> impl Iterator<Item = &MemberEntry> {
        self.members.values()
    }

    /// Returns the state of an incarnation; a superseded or terminated one is gone.
    pub fn state_of(&self, incarnation: Incarnation) -> Option<MemberState> {
        if self.gone.contains(&incarnation) {
            return Some(MemberState::Gone);
        }
        self.find_incarnation(incarnation).map(|member| member.state)
    }

    /// Returns the member that remembers the keys with a home token, unless it is gone.
    ///
    /// Incarnations that are known only from the heartbeats of other members are searched, too.
    pub fn find_home(&self, home: Incarnation) -> Option<&MemberEntry> {
        let is_home = |incarnation| home_generation(incarnation, home).is_some();
        let direct = self
            .members
            .values()
            .find(|member| member.incarnation.is_some_and(is_home) && member.state != MemberState::Gone);
        direct.or_else(|| {
            let peers = self.reported_peers.values().flat_map(FastMap::values);
            let peer = peers.into_iter().find(|peer| is_home(peer.incarnation))?;
            let member = self.members.get(&peer.instance)?;
            (member.incarnation.is_none() && !self.gone.contains(&peer.incarnation)).then_some(member)
        })
    }

    /// Returns the recently heard peers, for this instance's own heartbeat.
    pub fn heard_peers(&self, now: MonoTime) -> Vec<HeardPeer> {
        let heard = self.members.values().filter(|member| {
            member.state != MemberState::Gone
                && member
                    .silence(now)
                    .is_some_and(|silence| silence < self.limits.suspect_after)
        });
        heard
            .filter_map(|member| {
                Some(HeardPeer {
                    instance: member.instance.clone(),
                    incarnation: member.incarnation?,
                    usable: member.ready && !member.is_leaving(),
                })
            })
            .collect()
    }

    /// Returns false if this instance hears members but none of them hears this instance.
    pub fn is_heard(&self, now: MonoTime) -> bool {
        let mut heard = self
            .members
            .values()
            .filter(|member| {
                member
                    .silence(now)
                    .is_some_and(|silence| silence < self.limits.suspect_after)
            })
            .peekable();
        heard.peek().is_none()
            || heard.any(|member| {
                let since = member.last_heard_us.unwrap_or(member.first_known);
                now.since(since) < self.limits.suspect_after
            })
    }

    fn find_incarnation(&self, incarnation: Incarnation) -> Option<&MemberEntry> {
        self.members
            .values()
            .find(|member| member.incarnation == Some(incarnation))
    }

    fn is_older(&self, heartbeat: &Heartbeat) -> bool {
        self.members
            .get(heartbeat.instance.as_str())
            .is_some_and(|member| heartbeat.started_ms < member.started_ms)
    }

    fn renew(&mut self, heartbeat: &Heartbeat, now: MonoTime) -> HeartbeatOutcome {
        let limits = self.limits;
        let Some(member) = self.members.get_mut(heartbeat.instance.as_str()) else {
            return HeartbeatOutcome::Ended;
        };
        if heartbeat.sequence <= member.sequence {
            return HeartbeatOutcome::Ignored;
        }
        member.apply_heartbeat(heartbeat, now);
        member.state = member.next_state(&limits, now);
        HeartbeatOutcome::Renewed
    }

    fn join(&mut self, heartbeat: &Heartbeat, now: MonoTime) -> HeartbeatOutcome {
        let mut member = MemberEntry::from_heartbeat(heartbeat, now);
        if let Some(old) = self.members.get(heartbeat.instance.as_str()) {
            member.listed = old.listed;
            member.was_listed = old.was_listed;
        }
        member.state = member.next_state(&self.limits, now);
        self.members.insert(member.instance.clone(), member);
        HeartbeatOutcome::Joined
    }

    fn apply_heard_peers(&mut self, heartbeat: &Heartbeat, now: MonoTime) {
        let hears_us = heartbeat
            .heard_peers
            .iter()
            .any(|peer| peer.incarnation == self.own.incarnation);
        let limits = self.limits;
        if let Some(member) = self.members.get_mut(heartbeat.instance.as_str())
            && hears_us
        {
            member.last_heard_us = Some(now);
            member.state = member.next_state(&limits, now);
        }
        let peers = heartbeat.heard_peers.iter();
        let reported_peers = peers
            .filter(|peer| peer.instance != self.own.instance)
            .map(|peer| (peer.instance.clone(), peer.clone()))
            .collect();
        self.reported_peers
            .insert(InstanceId::from(heartbeat.instance.as_str()), reported_peers);
    }

    /// Shortens each member's silence to the threshold at which it is suspect.
    fn limit_silence(&mut self, now: MonoTime) {
        let threshold = now - self.limits.suspect_after;
        for member in self.members.values_mut() {
            member.heard = member.heard.map(|heard| heard.max(threshold));
            member.last_heard_us = member
                .last_heard_us
                .map(|last_heard_us| last_heard_us.max(threshold));
        }
    }

    fn update_states(&mut self, now: MonoTime) {
        let mut ended = Vec::new();
        for member in self.members.values_mut() {
            let before = member.state;
            member.state = member.next_state(&self.limits, now);
            let is_lost = matches!(member.state, MemberState::Silent | MemberState::Gone);
            if is_lost && before != member.state {
                self.last_loss = Some(now);
            }
            if member.state == MemberState::Gone {
                ended.push(member.instance.clone());
            }
            if member.state == MemberState::Gone || member.state == MemberState::Silent {
                self.reported_peers.remove(&member.instance);
            }
        }
        for instance in ended {
            self.remove_ended(&instance);
        }
    }

    /// Remembers the member's incarnation as gone and removes the member unless it is still listed.
    fn remove_ended(&mut self, instance: &InstanceId) {
        let Some(member) = self.members.get(instance) else {
            return;
        };
        let incarnation = member.incarnation;
        if member.listed.is_none() {
            self.members.remove(instance);
        }
        if let Some(incarnation) = incarnation {
            self.remember_gone(incarnation);
        }
    }

    fn remember_gone(&mut self, incarnation: Incarnation) {
        if !self.gone.insert(incarnation) {
            return;
        }
        self.gone_order.push_back(incarnation);
        if self.gone_order.len() > MAX_GONE_INCARNATIONS
            && let Some(oldest) = self.gone_order.pop_front()
        {
            self.gone.remove(&oldest);
        }
    }
}
