//! State of one member.

use std::time::Duration;

use derive_more::Display;
use marigoldlock_wire::peer::Heartbeat;
use marigoldlock_wire::platform::{ListEntry, ListState};

use crate::prelude::*;

/// Maximum number of home tokens that one incarnation may give out.
pub const MAX_HOME_GENERATIONS: u64 = 1 << 16;

/// Returns the home token of one of an incarnation's key generations.
///
/// An idempotency key starts with a home token, which identifies the incarnation that remembers the key.
pub fn home_token(incarnation: Incarnation, generation: u64) -> Incarnation {
    Incarnation(incarnation.0.wrapping_add(generation))
}

/// Returns the key generation of `incarnation` that `home` belongs to, or `None` for another incarnation's
/// token.
pub fn home_generation(incarnation: Incarnation, home: Incarnation) -> Option<u64> {
    let generation = home.0.wrapping_sub(incarnation.0);
    (generation < MAX_HOME_GENERATIONS).then_some(generation)
}

/// Time limits after which a member's state changes.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct MemberLimits {
    /// Time without a heartbeat after which a member is suspect.
    pub suspect_after: Duration,
    /// Time without a heartbeat after which a member is silent.
    pub silent_after: Duration,
    /// Time without a heartbeat after which a member that was never on the platform's list is gone.
    pub unlisted_gone_after: Duration,
    /// Gap between two ticks from which this instance concludes that it was paused.
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

/// State of a member.
#[derive(Clone, Copy, Debug, Display, Eq, Hash, PartialEq)]
pub enum MemberState {
    /// On the platform's list, but not heard yet.
    Listed,
    /// Heartbeats arrived recently in both directions.
    Live,
    /// Not heard for a short time, or not hearing this instance.
    Suspect,
    /// Not heard for a long time; it may be partitioned or paused and may still be acting.
    Silent,
    /// Shutting down; it finishes its current work first.
    Leaving,
    /// Terminated; this incarnation never returns.
    Gone,
}

/// Member as known to this instance.
#[derive(Clone, Debug)]
pub struct MemberEntry {
    /// Name of the instance.
    pub instance: InstanceId,
    /// Incarnation, or `None` while the member is only listed.
    pub incarnation: Option<Incarnation>,
    /// Data centre.
    pub data_centre: DataCentre,
    /// Address for callers.
    pub address: String,
    /// Address for peers.
    pub peer_address: String,
    /// State as of the last tick, list update or heartbeat.
    pub state: MemberState,
    /// Whether the member reports that it accepts requests.
    pub ready: bool,
    /// Settings version in force at the member.
    pub settings_version: LogPosition,
    /// Age of the member's last read of the settings log when it sent its last heartbeat, in milliseconds.
    pub log_age_ms: u64,
    /// Position up to which the member has read the calls stream.
    pub calls_position: LogPosition,
    /// Home token that the member currently gives out, or `None` while it is only listed.
    pub home: Option<Incarnation>,
    pub(super) started_ms: u64,
    pub(super) sequence: u64,
    pub(super) listed: Option<ListState>,
    pub(super) was_listed: bool,
    pub(super) announced_leaving: bool,
    pub(super) heard: Option<MonoTime>,
    pub(super) last_heard_us: Option<MonoTime>,
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
            announced_leaving: false,
            heard: None,
            last_heard_us: None,
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
            announced_leaving: false,
            heard: None,
            last_heard_us: None,
            first_known: now,
        };
        member.apply_heartbeat(heartbeat, now);
        member
    }

    /// Updates the member from a heartbeat of its incarnation.
    pub(super) fn apply_heartbeat(&mut self, heartbeat: &Heartbeat, now: MonoTime) {
        self.incarnation = Some(heartbeat.incarnation);
        self.started_ms = heartbeat.started_ms;
        self.sequence = heartbeat.sequence;
        self.data_centre = DataCentre::from(heartbeat.data_centre.as_str());
        self.address.clone_from(&heartbeat.address);
        self.peer_address.clone_from(&heartbeat.peer_address);
        self.ready = heartbeat.ready;
        self.announced_leaving |= heartbeat.leaving;
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

    /// Returns true once the member or the platform's list has announced that it is leaving.
    pub fn is_leaving(&self) -> bool {
        self.announced_leaving || self.listed == Some(ListState::Leaving)
    }

    /// Returns the time since the member's last heartbeat, or `None` if there was none.
    pub fn silence(&self, now: MonoTime) -> Option<Duration> {
        self.heard.map(|heard| now.since(heard))
    }

    /// Returns true if heartbeats arrived recently in both directions or the member is leaving and was heard.
    pub fn is_reachable(&self) -> bool {
        self.state == MemberState::Live || (self.state == MemberState::Leaving && self.heard.is_some())
    }

    pub(super) fn next_state(&self, limits: &MemberLimits, now: MonoTime) -> MemberState {
        if self.state == MemberState::Gone {
            return MemberState::Gone;
        }
        let silence = match self.silence(now) {
            Some(silence) => silence,
            None if self.listed.is_none() => return MemberState::Gone,
            None if self.is_leaving() => return MemberState::Leaving,
            None => return MemberState::Listed,
        };
        if silence >= limits.silent_after && self.is_removed(limits, silence) {
            return MemberState::Gone;
        }
        if silence >= limits.silent_after {
            return MemberState::Silent;
        }
        if self.is_leaving() {
            return MemberState::Leaving;
        }
        let does_not_hear_us =
            now.since(self.last_heard_us.unwrap_or(self.first_known)) >= limits.suspect_after;
        if silence >= limits.suspect_after || does_not_hear_us {
            return MemberState::Suspect;
        }
        MemberState::Live
    }

    fn is_removed(&self, limits: &MemberLimits, silence: Duration) -> bool {
        let was_removed = self.was_listed && self.listed.is_none();
        let never_listed = !self.was_listed && silence >= limits.unlisted_gone_after;
        was_removed || never_listed
    }
}
