//! Choice of the peers to exchange heartbeats with, and of the interval.

use std::cmp::Reverse;
use std::hash::Hash;
use std::time::Duration;

use super::member::{MemberEntry, MemberState};
use super::rendezvous::rendezvous_weight;
use super::table::MemberTable;
use crate::prelude::*;

/// Limits of the heartbeat exchange.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct ExchangeLimits {
    /// Largest number of instances, including this one, that form a full mesh.
    pub max_full_mesh: usize,
    /// Number of members of a data centre per relay.
    pub members_per_relay: usize,
    /// Number of relays that a member exchanges heartbeats with.
    pub relays_per_member: usize,
    /// Number of links between each pair of data centres.
    pub links_per_pair: usize,
}

impl Default for ExchangeLimits {
    fn default() -> Self {
        Self {
            max_full_mesh: 16,
            members_per_relay: 6,
            relays_per_member: 2,
            links_per_pair: 2,
        }
    }
}

/// Returns the shortest interval of at least `min_interval` at which heartbeat traffic stays within the
/// budget.
///
/// The traffic counts both directions.
pub fn heartbeat_interval(
    min_interval: Duration,
    peers: usize,
    heartbeat_bytes: usize,
    budget_bytes_per_s: u32,
) -> Duration {
    let bytes = 2 * peers * heartbeat_bytes;
    let needed = Duration::from_secs_f64(bytes as f64 / f64::from(budget_bytes_per_s));
    needed.max(min_interval)
}

impl MemberTable {
    /// Returns the peers to exchange heartbeats with, sorted by name.
    ///
    /// Up to [`ExchangeLimits::max_full_mesh`] instances form a full mesh. In a larger fleet, a member
    /// exchanges heartbeats with a few relays of its data centre. A relay exchanges them with its members,
    /// with the other relays of its data centre and, if chosen by the hash, with one relay of another data
    /// centre. All instances choose by the same hash, without coordination. Different member lists can cost a
    /// link, but no decision depends on agreement.
    pub fn exchange_peers(&self, limits: &ExchangeLimits) -> Vec<&MemberEntry> {
        let mut peers: Vec<_> = self.addressable_members().collect();
        peers.sort_by(|a, b| a.instance.cmp(&b.instance));
        if peers.len() < limits.max_full_mesh {
            return peers;
        }
        let map = RelayMap::new(self, limits);
        let own = (self.own.data_centre.as_str(), self.own.instance.as_str());
        peers.retain(|peer| map.is_linked(own, (peer.data_centre.as_str(), peer.instance.as_str())));
        peers
    }

    /// Returns true if this instance is a relay of its data centre.
    pub fn is_relay(&self, limits: &ExchangeLimits) -> bool {
        let own = (self.own.data_centre.as_str(), self.own.instance.as_str());
        RelayMap::new(self, limits).is_relay(own)
    }

    fn addressable_members(&self) -> impl Iterator<Item = &MemberEntry> {
        let members = self.members.values();
        members.filter(|member| member.state != MemberState::Gone && !member.peer_address.is_empty())
    }
}

/// Data centre and name of an instance.
type NodeId<'a> = (&'a str, &'a str);

/// Relays of each data centre, highest weight first.
struct RelayMap<'a> {
    limits: &'a ExchangeLimits,
    relays: FastMap<&'a str, Vec<&'a str>>,
}

impl<'a> RelayMap<'a> {
    fn new(table: &'a MemberTable, limits: &'a ExchangeLimits) -> Self {
        let own = (table.own.data_centre.as_str(), table.own.instance.as_str());
        let others = table
            .addressable_members()
            .map(|peer| (peer.data_centre.as_str(), peer.instance.as_str()));
        let mut names: FastMap<&str, Vec<&str>> = FastMap::default();
        for (data_centre, instance) in others.chain([own]) {
            names.entry(data_centre).or_default().push(instance);
        }
        for (data_centre, names) in &mut names {
            let count = names.len().div_ceil(limits.members_per_relay);
            *names = top_ranked(*data_centre, names, count.max(limits.relays_per_member));
        }
        Self {
            limits,
            relays: names,
        }
    }

    fn is_relay(&self, node: NodeId<'_>) -> bool {
        self.relays[node.0].contains(&node.1)
    }

    fn is_linked(&self, a: NodeId<'_>, b: NodeId<'_>) -> bool {
        if a.0 != b.0 {
            return self.is_cross_link(a, b);
        }
        match (self.is_relay(a), self.is_relay(b)) {
            (true, true) => true,
            (true, false) => self.relays_of(b).contains(&a.1),
            (false, true) => self.relays_of(a).contains(&b.1),
            (false, false) => false,
        }
    }

    /// Returns the relays that a member exchanges heartbeats with.
    fn relays_of(&self, member: NodeId<'_>) -> Vec<&str> {
        top_ranked(member.1, &self.relays[member.0], self.limits.relays_per_member)
    }

    /// Returns true if both instances have the same rank for the pair of their data centres.
    fn is_cross_link(&self, a: NodeId<'_>, b: NodeId<'_>) -> bool {
        let pair = (a.0.min(b.0), a.0.max(b.0));
        let rank = |node: NodeId<'_>| {
            let chosen = top_ranked(pair, &self.relays[node.0], self.limits.links_per_pair);
            chosen.iter().position(|name| *name == node.1)
        };
        rank(a).is_some_and(|own| Some(own) == rank(b))
    }
}

/// Returns the `count` names with the highest weights, highest first.
fn top_ranked<'a>(key: impl Hash + Copy, names: &[&'a str], count: usize) -> Vec<&'a str> {
    let mut names = names.to_vec();
    names.sort_by_cached_key(|name| (Reverse(rendezvous_weight(key, name)), *name));
    names.truncate(count);
    names
}
