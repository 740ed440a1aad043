//! Selection of the addresses that callers are told to use.

use super::member::{MemberEntry, MemberState};
use super::rendezvous::rendezvous_weight;
use super::table::MemberTable;
use crate::prelude::*;

/// Query for the addresses that a caller may use.
#[derive(Clone, Copy, Debug)]
pub struct AddressQuery<'a> {
    /// Identifier of the caller, used to spread callers over the instances.
    pub caller: &'a str,
    /// Address of this instance, or `None` while callers should not use it.
    pub own_address: Option<&'a str>,
    /// Maximum number of addresses to return.
    pub max_addresses: usize,
}

/// Address of one instance.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct AddressEntry {
    /// Name of the instance.
    pub instance: InstanceId,
    /// Home token that the instance currently gives out, if known.
    pub home: Option<Incarnation>,
    /// Data centre of the instance.
    pub data_centre: DataCentre,
    /// Address for callers.
    pub address: String,
}

impl MemberTable {
    /// Returns the addresses that a caller may use, best first.
    ///
    /// Instances that are leaving, silent or not ready are excluded. Those of this data centre come first;
    /// within a data centre the order is stable for each caller and differs between callers. If no other
    /// instance is known to be usable, suspect instances and those only known from the list are returned
    /// instead.
    pub fn addresses(&self, query: &AddressQuery<'_>, now: MonoTime) -> Vec<AddressEntry> {
        let mut found: Vec<_> = self.usable().map(entry).collect();
        if found.is_empty() {
            found.extend(self.fallback_candidates().map(entry));
        }
        if let Some(address) = query.own_address
            && (found.is_empty() || self.is_heard(now))
        {
            found.push(self.own_entry(address));
        }
        found.sort_by_cached_key(|entry| {
            let is_remote = entry.data_centre != self.own.data_centre;
            let weight = rendezvous_weight(query.caller, entry.instance.as_str());
            (is_remote, std::cmp::Reverse(weight), entry.instance.clone())
        });
        found.truncate(query.max_addresses);
        found
    }

    fn usable(&self) -> impl Iterator<Item = &MemberEntry> {
        self.members.values().filter(|member| match member.state {
            MemberState::Live => member.ready,
            MemberState::Suspect | MemberState::Listed => self.is_confirmed_by_peer(member),
            MemberState::Silent | MemberState::Leaving | MemberState::Gone => false,
        })
    }

    fn fallback_candidates(&self) -> impl Iterator<Item = &MemberEntry> {
        self.members.values().filter(|member| match member.state {
            MemberState::Suspect => member.ready,
            MemberState::Listed => true,
            MemberState::Live | MemberState::Silent | MemberState::Leaving | MemberState::Gone => false,
        })
    }

    /// Returns true if a live member reports that it hears the member and that the member is usable.
    fn is_confirmed_by_peer(&self, member: &MemberEntry) -> bool {
        let reporters = self.reported_peers.iter().filter(|(reporter, _)| {
            self.members
                .get(*reporter)
                .is_some_and(|reporter| reporter.state == MemberState::Live)
        });
        reporters
            .filter_map(|(_, heard)| heard.get(&member.instance))
            .any(|peer| {
                let is_same = member.incarnation.is_none_or(|known| known == peer.incarnation);
                peer.usable && is_same
            })
    }

    fn own_entry(&self, address: &str) -> AddressEntry {
        AddressEntry {
            instance: self.own.instance.clone(),
            home: Some(self.own.incarnation),
            data_centre: self.own.data_centre.clone(),
            address: address.to_owned(),
        }
    }
}

fn entry(member: &MemberEntry) -> AddressEntry {
    AddressEntry {
        instance: member.instance.clone(),
        home: member.home,
        data_centre: member.data_centre.clone(),
        address: member.address.clone(),
    }
}
