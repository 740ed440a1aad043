//! One member and its state.

use std::time::Duration;

use derive_more::Display;
use marigoldlock_wire::peer::Heartbeat;
use marigoldlock_wire::platform::{ListEntry, ListState};

use crate::prelude::*;

/// Home tokens that one incarnation may give out.
pub const MAX_HOME_GENERATIONS: u64 = 1 << 16;

/// The home token of an incarnation's generation.
pub fn home_token(incarnation: Incarnation, generation: u64) -> Incarnation {
    Incarnation(incarnation.0.wrapping_add(generation))
}

/// Generation that `home` is of `incarnation`; `None` if it is another one's token.
pub fn home_generation(incarnation: Incarnation, home: Incarnation) -> Option<u64> {
    let generation = home.0.wrapping_sub(incarnation.0);
    (generation < MAX_HOME_GENERATIONS).then_some(generation)
}

/// How long silence takes to count.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct MemberLimits {
    /// Silence after which a member is suspect.
    pub suspect_after: Duration,
    /// Silence after which a member is silent.
    pub silent_after: Duration,
    /// Silence after which a member that was never listed is gone.
    pub unlisted_gone_after: Duration,
    /// Gap between two ticks after which this instance takes itself to have been paused.
    pub pause_after: Duration,
}

impl Default for MemberLimits {
    fn default() -> Self {
        Self {
            suspect_after: Duration::from_secs(3),
            silent_after: Duration::from_secs(10),
            unlisted_gone_after: Duration::from_secs(60),
            pause_after: Duration::from_secs(2),
        }
    }
}

/// What is known of a member.
#[derive(Clone, Copy, Debug, Display, Eq, Hash, PartialEq)]
pub enum MemberState {
    /// Listed and not heard yet.
    Listed,
    /// Heard lately, both ways.
    Live,
    /// Not heard for a short while, or it does not hear this instance.
    Suspect,
    /// Not heard for long; it may be cut off or paused and may still act.
    Silent,
    /// Shutting down; it finishes what it has.
    Leaving,
    /// Ended for good.
    Gone,
}

/// One member.
#[derive(Clone, Debug)]
pub struct MemberEntry {
    /// Name.
    pub instance: InstanceId,
    /// Start; `None` while it is only listed.
    pub incarnation: Option<Incarnation>,
    /// Data centre.
    pub data_centre: DataCentre,
    /// Address for callers.
    pub address: String,
    /// Address for peers.
    pub peer_address: String,
    /// State as of the last tick, list or heartbeat.
    pub state: MemberState,
    /// True while it takes requests, as it says itself.
    pub ready: bool,
    /// Settings version in force there.
    pub settings_version: LogPosition,
    /// Age of its last read of the settings log when it said so, in milliseconds.
    pub log_age_ms: u64,
    /// Position up to which it has read the calls stream.
    pub calls_position: LogPosition,
    /// Home token that it gives out now; `None` while it is only listed.
    pub home: Option<Incarnation>,
    pub(super) started_ms: u64,
    pub(super) sequence: u64,
    pub(super) listed: Option<ListState>,
    pub(super) was_listed: bool,
    pub(super) says_leaving: bool,
    pub(super) heard: Option<MonoTime>,
    pub(super) answered: Option<MonoTime>,
    pub(super) first_known: MonoTime,
}

impl MemberEntry {
    pub(super) fn from_list(entry: &ListEntry, now: MonoTime) -> Self {
        Self {
            instance: InstanceId::from(entry.id.as_str()),
            incarnation: None,
            data_centre: entry.data_centre.clone(),
            address: entry.address.clone(),
            peer_address: entry.peer_address.clone().unwrap_or_default(),
            state: MemberState::Listed,
            ready: false,
            settings_version: LogPosition::default(),
            log_age_ms: 0,
            calls_position: LogPosition::default(),
            home: None,
            started_ms: 0,
            sequence: 0,
            listed: Some(entry.state),
            was_listed: true,
            says_leaving: false,
            heard: None,
            answered: None,
            first_known: now,
        }
    }

    pub(super) fn from_heartbeat(heartbeat: &Heartbeat, now: MonoTime) -> Self {
        let mut member = Self {
            instance: InstanceId::from(heartbeat.instance.as_str()),
            incarnation: None,
            data_centre: DataCentre::from(heartbeat.data_centre.as_str()),
            address: String::new(),
            peer_address: String::new(),
            state: MemberState::Live,
            ready: false,
            settings_version: LogPosition::default(),
            log_age_ms: 0,
            calls_position: LogPosition::default(),
            home: None,
            started_ms: 0,
            sequence: 0,
            listed: None,
            was_listed: false,
            says_leaving: false,
            heard: None,
            answered: None,
            first_known: now,
        };
        member.take_heartbeat(heartbeat, now);
        member
    }

    /// Takes what a heartbeat of the member's incarnation says.
    pub(super) fn take_heartbeat(&mut self, heartbeat: &Heartbeat, now: MonoTime) {
        self.incarnation = Some(heartbeat.incarnation);
        self.started_ms = heartbeat.started_ms;
        self.sequence = heartbeat.sequence;
        self.data_centre = DataCentre::from(heartbeat.data_centre.as_str());
        self.address.clone_from(&heartbeat.address);
        self.peer_address.clone_from(&heartbeat.peer_address);
        self.ready = heartbeat.ready;
        self.says_leaving |= heartbeat.leaving;
        self.settings_version = self.settings_version.max(heartbeat.settings_version);
        self.log_age_ms = heartbeat.log_age_ms;
        self.calls_position = self.calls_position.max(heartbeat.calls_position);
        let is_own_token = home_generation(heartbeat.incarnation, heartbeat.home).is_some();
        self.home = Some(if is_own_token {
            heartbeat.home
        } else {
            heartbeat.incarnation
        });
        self.heard = Some(now);
    }

    /// True once the member has said so or the list says so.
    pub fn is_leaving(&self) -> bool {
        self.says_leaving || self.listed == Some(ListState::Leaving)
    }

    /// Time since the member was heard; `None` if it never was.
    pub fn silence(&self, now: MonoTime) -> Option<Duration> {
        self.heard.map(|heard| now.since(heard))
    }

    /// True if the member was heard lately and heard this instance lately.
    pub fn is_reachable(&self) -> bool {
        self.state == MemberState::Live || (self.state == MemberState::Leaving && self.heard.is_some())
    }

    pub(super) fn judge(&self, limits: &MemberLimits, now: MonoTime) -> MemberState {
        if self.state == MemberState::Gone {
            return MemberState::Gone;
        }
        let silence = match self.silence(now) {
            Some(silence) => silence,
            None if self.listed.is_none() => return MemberState::Gone,
            None if self.is_leaving() => return MemberState::Leaving,
            None => return MemberState::Listed,
        };
        if silence >= limits.silent_after && self.is_taken_away(limits, silence) {
            return MemberState::Gone;
        }
        if silence >= limits.silent_after {
            return MemberState::Silent;
        }
        if self.is_leaving() {
            return MemberState::Leaving;
        }
        let is_deaf = now.since(self.answered.unwrap_or(self.first_known)) >= limits.suspect_after;
        if silence >= limits.suspect_after || is_deaf {
            return MemberState::Suspect;
        }
        MemberState::Live
    }

    fn is_taken_away(&self, limits: &MemberLimits, silence: Duration) -> bool {
        let was_removed = self.was_listed && self.listed.is_none();
        let never_listed = !self.was_listed && silence >= limits.unlisted_gone_after;
        was_removed || never_listed
    }
}
