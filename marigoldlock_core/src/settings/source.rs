//! Selection of the source from which an instance fetches the settings.
//!
//! A few relays in each data centre follow the log. The other instances poll a relay, which answers as soon
//! as it has something newer, or after a timeout with the age of its settings. Every instance computes the
//! relays from the member names by rendezvous hashing, so they need no election. An outdated member list only
//! adds a hop, because any instance that is asked answers with the settings it has. When a relay does not
//! answer, the instances that poll it read the log at once, so that the limit on stale settings also holds
//! when a relay crashes unnoticed.

use std::time::Duration;

use crate::membership::rendezvous_weight;
use crate::prelude::*;

/// Time for which a failed source is avoided while another one is available.
const FAILED_SOURCE_COOLDOWN: Duration = Duration::from_secs(5);

/// Source of the next settings.
#[derive(Clone, Debug, Eq, Hash, PartialEq)]
pub enum SettingsSource {
    /// The platform's log.
    Log,
    /// Another instance.
    Peer(InstanceId),
}

/// Instance that can be chosen as a relay.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct RelayCandidate {
    /// Name of the instance.
    pub instance: InstanceId,
    /// Data centre of the instance.
    pub data_centre: DataCentre,
}

/// Returns the relays of a data centre, highest rank first.
pub fn choose_relays(members: &[RelayCandidate], data_centre: &DataCentre, count: usize) -> Vec<InstanceId> {
    let subject = format!("settings/{data_centre}");
    let local = members.iter().filter(|member| member.data_centre == *data_centre);
    let mut ranked: Vec<_> = local
        .map(|member| {
            (
                rendezvous_weight(&subject, member.instance.as_str()),
                member.instance.clone(),
            )
        })
        .collect();
    ranked.sort_unstable_by(|left, right| right.cmp(left));
    ranked.truncate(count);
    ranked.into_iter().map(|(_, instance)| instance).collect()
}

/// Chooses the source to ask and avoids those that failed recently.
#[derive(Clone, Debug)]
pub struct SourceChooser {
    own: RelayCandidate,
    failed: FastMap<SettingsSource, MonoTime>,
}

impl SourceChooser {
    /// Creates a chooser for the instance `own`.
    pub fn new(own: RelayCandidate) -> Self {
        Self {
            own,
            failed: FastMap::default(),
        }
    }

    /// Returns the source to ask next, given the live members and the number of relays per data centre.
    pub fn choose(&self, members: &[RelayCandidate], relays: usize, now: MonoTime) -> SettingsSource {
        let candidates = self.candidates(members, relays);
        let usable = candidates.iter().find(|source| !self.is_in_cooldown(source, now));
        let longest_ago = || candidates.iter().min_by_key(|source| self.failed.get(*source));
        usable
            .or_else(longest_ago)
            .cloned()
            .unwrap_or(SettingsSource::Log)
    }

    /// Records that a source did not answer.
    pub fn note_failure(&mut self, source: &SettingsSource, now: MonoTime) {
        self.failed
            .retain(|_, failed_at| now.since(*failed_at) < FAILED_SOURCE_COOLDOWN);
        self.failed.insert(source.clone(), now);
    }

    /// Records that a source answered.
    pub fn note_success(&mut self, source: &SettingsSource) {
        self.failed.remove(source);
    }

    /// Returns the sources in order of preference.
    ///
    /// A relay reads the log and falls back to the other relays. Any other instance asks its preferred relay,
    /// then the log, then the remaining relays.
    fn candidates(&self, members: &[RelayCandidate], relays: usize) -> Vec<SettingsSource> {
        let mut relays = choose_relays(members, &self.own.data_centre, relays);
        let own_rank = relays.iter().position(|relay| *relay == self.own.instance);
        if own_rank.is_some() {
            relays.retain(|relay| *relay != self.own.instance);
            let peers = relays.into_iter().map(SettingsSource::Peer);
            return [SettingsSource::Log].into_iter().chain(peers).collect();
        }
        let own = self.own.instance.as_str();
        relays.sort_unstable_by_key(|relay| std::cmp::Reverse(rendezvous_weight(own, relay.as_str())));
        let mut sources: Vec<_> = relays.into_iter().map(SettingsSource::Peer).collect();
        sources.insert(sources.len().min(1), SettingsSource::Log);
        sources
    }

    fn is_in_cooldown(&self, source: &SettingsSource, now: MonoTime) -> bool {
        self.failed
            .get(source)
            .is_some_and(|failed_at| now.since(*failed_at) < FAILED_SOURCE_COOLDOWN)
    }
}
