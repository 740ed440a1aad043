//! The members, from the list and from heartbeats.

use std::collections::VecDeque;
use std::time::Duration;

use marigoldlock_wire::peer::{HeardPeer, Heartbeat};
use marigoldlock_wire::platform::{InstanceList, ListKind};

use super::member::{MemberEntry, MemberLimits, MemberState, home_generation};
use crate::prelude::*;

/// Incarnations remembered as gone.
const GONE_REMEMBERED: usize = 4_096;

/// Who this instance is.
#[derive(Clone, Debug)]
pub struct OwnIdentity {
    /// Name.
    pub instance: InstanceId,
    /// Start.
    pub incarnation: Incarnation,
    /// Data centre.
    pub data_centre: DataCentre,
}

/// What a heartbeat brought.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum HeartbeatStep {
    /// The member's state was renewed.
    Renewed,
    /// The sender is new, or a new start of a known instance.
    Joined,
    /// An older or repeated heartbeat; nothing changed.
    Repeated,
    /// The sender's incarnation has ended; it must not be answered as a member.
    Ended,
}

/// Members as this instance knows them.
#[derive(Debug)]
pub struct MemberTable {
    pub(super) own: OwnIdentity,
    pub(super) limits: MemberLimits,
    pub(super) members: FastMap<InstanceId, MemberEntry>,
    pub(super) vouched: FastMap<InstanceId, FastMap<InstanceId, HeardPeer>>,
    gone: FastSet<Incarnation>,
    gone_order: VecDeque<Incarnation>,
    list_version: Option<u64>,
    ticked: Option<MonoTime>,
    resumed: Option<MonoTime>,
    lost: Option<MonoTime>,
    farthest_calls: LogPosition,
}

impl MemberTable {
    /// An empty table.
    pub fn new(own: OwnIdentity, limits: MemberLimits) -> Self {
        Self {
            own,
            limits,
            members: FastMap::default(),
            vouched: FastMap::default(),
            gone: FastSet::default(),
            gone_order: VecDeque::new(),
            list_version: None,
            ticked: None,
            resumed: None,
            lost: None,
            farthest_calls: LogPosition::default(),
        }
    }

    /// Takes the platform's list; an older one than the last is dropped.
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
        self.judge_all(now);
    }

    /// Takes a heartbeat that a peer sent or answered with.
    pub fn on_heartbeat(&mut self, heartbeat: &Heartbeat, now: MonoTime) -> HeartbeatStep {
        if heartbeat.instance == self.own.instance.as_str() {
            return HeartbeatStep::Repeated;
        }
        if self.gone.contains(&heartbeat.incarnation) {
            return HeartbeatStep::Ended;
        }
        let known = self.members.get(heartbeat.instance.as_str());
        let current = known.and_then(|member| member.incarnation);
        let step = match current {
            Some(incarnation) if incarnation == heartbeat.incarnation => self.renew(heartbeat, now),
            Some(incarnation) if self.is_older(heartbeat) => {
                debug_assert_ne!(incarnation, heartbeat.incarnation);
                self.remember_gone(heartbeat.incarnation);
                HeartbeatStep::Ended
            }
            Some(incarnation) => {
                self.remember_gone(incarnation);
                self.lost = Some(now);
                self.join(heartbeat, now)
            }
            None => self.join(heartbeat, now),
        };
        if matches!(step, HeartbeatStep::Renewed | HeartbeatStep::Joined) {
            self.farthest_calls = self.farthest_calls.max(heartbeat.calls_position);
            self.take_hearing(heartbeat, now);
        }
        step
    }

    /// Brings the states up to date; call it every heartbeat interval.
    ///
    /// Returns how long this instance was paused, if it was. What it knows is then old: its members are suspect
    /// until they are heard again, and none is gone on the ground of the pause.
    pub fn tick(&mut self, now: MonoTime) -> Option<Duration> {
        let gap = self.ticked.map_or(Duration::ZERO, |ticked| now.since(ticked));
        self.ticked = Some(now);
        let paused = (gap >= self.limits.pause_after).then_some(gap);
        if paused.is_some() {
            self.resumed = Some(now);
            self.excuse_silence(now);
        }
        self.judge_all(now);
        paused
    }

    /// When this instance last found that it had been paused.
    pub fn resumed(&self) -> Option<MonoTime> {
        self.resumed
    }

    /// When a member was last found to be silent, gone or restarted.
    pub fn lost(&self) -> Option<MonoTime> {
        self.lost
    }

    /// Farthest position in the calls stream that any member has told of, also one that is gone.
    pub fn farthest_calls(&self) -> LogPosition {
        self.farthest_calls
    }

    /// The member with the name, gone or not.
    pub fn get(&self, instance: &str) -> Option<&MemberEntry> {
        self.members.get(instance)
    }

    /// All members but this instance, in no order; gone ones are included while they are listed.
    pub fn iter(&self) -> impl Iterator<Item = &MemberEntry> {
        self.members.values()
    }

    /// The state of one incarnation; any that was superseded or ended is gone.
    pub fn state_of(&self, incarnation: Incarnation) -> Option<MemberState> {
        if self.gone.contains(&incarnation) {
            return Some(MemberState::Gone);
        }
        self.find_incarnation(incarnation).map(|member| member.state)
    }

    /// The member, not gone, whose keys have the home token.
    pub fn find_home(&self, home: Incarnation) -> Option<&MemberEntry> {
        let is_home = |incarnation| home_generation(incarnation, home).is_some();
        let direct = self
            .members
            .values()
            .find(|member| member.incarnation.is_some_and(is_home) && member.state != MemberState::Gone);
        direct.or_else(|| {
            let peers = self.vouched.values().flat_map(FastMap::values);
            let peer = peers.into_iter().find(|peer| is_home(peer.incarnation))?;
            let member = self.members.get(&peer.instance)?;
            (member.incarnation.is_none() && !self.gone.contains(&peer.incarnation)).then_some(member)
        })
    }

    /// What to say in the own heartbeat about peers that were heard lately.
    pub fn hears(&self, now: MonoTime) -> Vec<HeardPeer> {
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

    /// False if members are heard and none of them hears this instance.
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
                let since = member.answered.unwrap_or(member.first_known);
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

    fn renew(&mut self, heartbeat: &Heartbeat, now: MonoTime) -> HeartbeatStep {
        let limits = self.limits;
        let Some(member) = self.members.get_mut(heartbeat.instance.as_str()) else {
            return HeartbeatStep::Ended;
        };
        if heartbeat.sequence <= member.sequence {
            return HeartbeatStep::Repeated;
        }
        member.take_heartbeat(heartbeat, now);
        member.state = member.judge(&limits, now);
        HeartbeatStep::Renewed
    }

    fn join(&mut self, heartbeat: &Heartbeat, now: MonoTime) -> HeartbeatStep {
        let mut member = MemberEntry::from_heartbeat(heartbeat, now);
        if let Some(old) = self.members.get(heartbeat.instance.as_str()) {
            member.listed = old.listed;
            member.was_listed = old.was_listed;
        }
        member.state = member.judge(&self.limits, now);
        self.members.insert(member.instance.clone(), member);
        HeartbeatStep::Joined
    }

    fn take_hearing(&mut self, heartbeat: &Heartbeat, now: MonoTime) {
        let hears_us = heartbeat
            .heard_peers
            .iter()
            .any(|peer| peer.incarnation == self.own.incarnation);
        let limits = self.limits;
        if let Some(member) = self.members.get_mut(heartbeat.instance.as_str())
            && hears_us
        {
            member.answered = Some(now);
            member.state = member.judge(&limits, now);
        }
        let peers = heartbeat.heard_peers.iter();
        let vouched = peers
            .filter(|peer| peer.instance != self.own.instance)
            .map(|peer| (peer.instance.clone(), peer.clone()))
            .collect();
        self.vouched
            .insert(InstanceId::from(heartbeat.instance.as_str()), vouched);
    }

    /// Moves the moments of last contact up to the edge of suspicion.
    fn excuse_silence(&mut self, now: MonoTime) {
        let edge = now - self.limits.suspect_after;
        for member in self.members.values_mut() {
            member.heard = member.heard.map(|heard| heard.max(edge));
            member.answered = member.answered.map(|answered| answered.max(edge));
        }
    }

    fn judge_all(&mut self, now: MonoTime) {
        let mut ended = Vec::new();
        for member in self.members.values_mut() {
            let before = member.state;
            member.state = member.judge(&self.limits, now);
            let is_lost = matches!(member.state, MemberState::Silent | MemberState::Gone);
            if is_lost && before != member.state {
                self.lost = Some(now);
            }
            if member.state == MemberState::Gone {
                ended.push(member.instance.clone());
            }
            if member.state == MemberState::Gone || member.state == MemberState::Silent {
                self.vouched.remove(&member.instance);
            }
        }
        for instance in ended {
            self.end(&instance);
        }
    }

    /// Remembers the incarnation as gone and forgets the member unless it is still listed.
    fn end(&mut self, instance: &InstanceId) {
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
        if self.gone_order.len() > GONE_REMEMBERED
            && let Some(oldest) = self.gone_order.pop_front()
        {
            self.gone.remove(&oldest);
        }
    }
}
