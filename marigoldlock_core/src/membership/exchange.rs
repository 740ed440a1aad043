//! Which peers an instance exchanges heartbeats with, and how often.

use std::cmp::Reverse;
use std::hash::Hash;
use std::time::Duration;

use super::member::{MemberEntry, MemberState};
use super::rendezvous::weight;
use super::table::MemberTable;
use crate::prelude::*;

/// Bounds of the exchange between instances.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct ExchangeLimits {
    /// Most instances, this one included, that all talk to each other.
    pub full_mesh: usize,
    /// Members of a data centre for each of its relays.
    pub members_per_relay: usize,
    /// Relays that a member talks to.
    pub relays_per_member: usize,
    /// Links between each two data centres.
    pub links_per_pair: usize,
}

impl Default for ExchangeLimits {
    fn default() -> Self {
        Self {
            full_mesh: 16,
            members_per_relay: 6,
            relays_per_member: 2,
            links_per_pair: 2,
        }
    }
}

/// Shortest interval between heartbeats whose traffic, both ways, stays within the budget.
pub fn heartbeat_interval(
    shortest: Duration,
    peers: usize,
    heartbeat_bytes: usize,
    budget_bytes_per_s: u32,
) -> Duration {
    let bytes = 2 * peers * heartbeat_bytes;
    let needed = Duration::from_secs_f64(bytes as f64 / f64::from(budget_bytes_per_s));
    needed.max(shortest)
}

impl MemberTable {
    /// Peers to exchange heartbeats with, sorted by name.
    ///
    /// Up to [`ExchangeLimits::full_mesh`] instances all talk to each other. Beyond, each member talks to a few
    /// relays of its data centre, and a relay to its members, to the other relays of its data centre and, if
    /// the hash picks it, to one relay of another. All pick by the same hash, without agreement; a difference
    /// in what they know costs a link, not a decision.
    pub fn exchange_peers(&self, limits: &ExchangeLimits) -> Vec<&MemberEntry> {
        let mut peers: Vec<_> = self.present().collect();
        peers.sort_by(|a, b| a.instance.cmp(&b.instance));
        if peers.len() < limits.full_mesh {
            return peers;
        }
        let map = RelayMap::new(self, limits);
        let own = (self.own.data_centre.as_str(), self.own.instance.as_str());
        peers.retain(|peer| map.is_linked(own, (peer.data_centre.as_str(), peer.instance.as_str())));
        peers
    }

    /// True if this instance is one of its data centre's relays.
    pub fn is_relay(&self, limits: &ExchangeLimits) -> bool {
        let own = (self.own.data_centre.as_str(), self.own.instance.as_str());
        RelayMap::new(self, limits).is_relay(own)
    }

    fn present(&self) -> impl Iterator<Item = &MemberEntry> {
        let members = self.members.values();
        members.filter(|member| member.state != MemberState::Gone && !member.peer_address.is_empty())
    }
}

/// An instance with its data centre before it.
type Place<'a> = (&'a str, &'a str);

/// The relays of each data centre, the weightiest first.
struct RelayMap<'a> {
    limits: &'a ExchangeLimits,
    relays: FastMap<&'a str, Vec<&'a str>>,
}

impl<'a> RelayMap<'a> {
    fn new(table: &'a MemberTable, limits: &'a ExchangeLimits) -> Self {
        let own = (table.own.data_centre.as_str(), table.own.instance.as_str());
        let others = table
            .present()
            .map(|peer| (peer.data_centre.as_str(), peer.instance.as_str()));
        let mut names: FastMap<&str, Vec<&str>> = FastMap::default();
        for (data_centre, instance) in others.chain([own]) {
            names.entry(data_centre).or_default().push(instance);
        }
        for (data_centre, names) in &mut names {
            let count = names.len().div_ceil(limits.members_per_relay);
            *names = top(*data_centre, names, count.max(limits.relays_per_member));
        }
        Self {
            limits,
            relays: names,
        }
    }

    fn is_relay(&self, place: Place<'_>) -> bool {
        self.relays[place.0].contains(&place.1)
    }

    fn is_linked(&self, a: Place<'_>, b: Place<'_>) -> bool {
        if a.0 != b.0 {
            return self.is_pair_link(a, b);
        }
        match (self.is_relay(a), self.is_relay(b)) {
            (true, true) => true,
            (true, false) => self.relays_of(b).contains(&a.1),
            (false, true) => self.relays_of(a).contains(&b.1),
            (false, false) => false,
        }
    }

    /// The relays that a member talks to.
    fn relays_of(&self, member: Place<'_>) -> Vec<&str> {
        top(member.1, &self.relays[member.0], self.limits.relays_per_member)
    }

    /// True if the instances hold the same rank for the pair of their data centres.
    fn is_pair_link(&self, a: Place<'_>, b: Place<'_>) -> bool {
        let pair = (a.0.min(b.0), a.0.max(b.0));
        let rank = |place: Place<'_>| {
            let chosen = top(pair, &self.relays[place.0], self.limits.links_per_pair);
            chosen.iter().position(|name| *name == place.1)
        };
        rank(a).is_some_and(|own| Some(own) == rank(b))
    }
}

/// The `count` weightiest names, the weightiest first.
fn top<'a>(key: impl Hash + Copy, names: &[&'a str], count: usize) -> Vec<&'a str> {
    let mut names = names.to_vec();
    names.sort_by_cached_key(|name| (Reverse(weight(key, name)), *name));
    names.truncate(count);
    names
}
