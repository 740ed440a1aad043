//! From whom an instance takes the settings.
//!
//! A few relays in each data centre follow the log; the others ask a relay, which answers as soon as it has
//! something newer, or after a while with how fresh it is. Everyone computes the relays from the names of
//! the members by rendezvous hashing, so nobody appoints them, and a wrong view costs only a longer way: an
//! instance that is asked answers with what it has. When a relay does not answer, its follower reads the log
//! at once, so that the bound on stale settings holds through a relay's silent death.

use std::time::Duration;

use crate::membership::weight;
use crate::prelude::*;

/// Time for which a source that failed is not chosen if another is left.
const COOL_DOWN: Duration = Duration::from_secs(5);

/// Where the next settings come from.
#[derive(Clone, Debug, Eq, Hash, PartialEq)]
pub enum SettingsSource {
    /// The platform's log.
    Log,
    /// Another instance.
    Peer(InstanceId),
}

/// An instance that may be a relay.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct SpreadMember {
    /// Its name.
    pub instance: InstanceId,
    /// Its data centre.
    pub data_centre: DataCentre,
}

/// The relays of a data centre, highest rank first.
pub fn choose_relays(members: &[SpreadMember], data_centre: &DataCentre, count: usize) -> Vec<InstanceId> {
    let subject = format!("settings/{data_centre}");
    let local = members.iter().filter(|member| member.data_centre == *data_centre);
    let mut ranked: Vec<_> = local
        .map(|member| {
            (
                weight(&subject, member.instance.as_str()),
                member.instance.clone(),
            )
        })
        .collect();
    ranked.sort_unstable_by(|left, right| right.cmp(left));
    ranked.truncate(count);
    ranked.into_iter().map(|(_, instance)| instance).collect()
}

/// Chooses the source and remembers which ones failed.
#[derive(Clone, Debug)]
pub struct SourceChooser {
    own: SpreadMember,
    failed: FastMap<SettingsSource, MonoTime>,
}

impl SourceChooser {
    /// A chooser for the instance `own`.
    pub fn new(own: SpreadMember) -> Self {
        Self {
            own,
            failed: FastMap::default(),
        }
    }

    /// The source to ask next, given the live members and the number of relays.
    pub fn choose(&self, members: &[SpreadMember], relays: usize, now: MonoTime) -> SettingsSource {
        let candidates = self.candidates(members, relays);
        let usable = candidates.iter().find(|source| !self.is_cooling(source, now));
        let longest_ago = || candidates.iter().min_by_key(|source| self.failed.get(*source));
        usable
            .or_else(longest_ago)
            .cloned()
            .unwrap_or(SettingsSource::Log)
    }

    /// Notes that a source did not answer.
    pub fn note_failure(&mut self, source: &SettingsSource, now: MonoTime) {
        self.failed
            .retain(|_, failed_at| now.since(*failed_at) < COOL_DOWN);
        self.failed.insert(source.clone(), now);
    }

    /// Notes that a source answered.
    pub fn note_success(&mut self, source: &SettingsSource) {
        self.failed.remove(source);
    }

    /// The own relay of the data centre, then the log, then the other relays.
    fn candidates(&self, members: &[SpreadMember], relays: usize) -> Vec<SettingsSource> {
        let mut relays = choose_relays(members, &self.own.data_centre, relays);
        let own_rank = relays.iter().position(|relay| *relay == self.own.instance);
        if own_rank.is_some() {
            relays.retain(|relay| *relay != self.own.instance);
            let peers = relays.into_iter().map(SettingsSource::Peer);
            return [SettingsSource::Log].into_iter().chain(peers).collect();
        }
        let own = self.own.instance.as_str();
        relays.sort_unstable_by_key(|relay| std::cmp::Reverse(weight(own, relay.as_str())));
        let mut sources: Vec<_> = relays.into_iter().map(SettingsSource::Peer).collect();
        sources.insert(sources.len().min(1), SettingsSource::Log);
        sources
    }

    fn is_cooling(&self, source: &SettingsSource, now: MonoTime) -> bool {
        self.failed
            .get(source)
            .is_some_and(|failed_at| now.since(*failed_at) < COOL_DOWN)
    }
}
