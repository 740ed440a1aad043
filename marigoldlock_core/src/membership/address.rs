//! Which addresses callers are told.

use super::member::{MemberEntry, MemberState};
use super::rendezvous::weight;
use super::table::MemberTable;
use crate::prelude::*;

/// How this instance itself stands, for the address answer.
#[derive(Clone, Copy, Debug)]
pub struct AddressView<'a> {
    /// The caller's own mark, by which callers are spread.
    pub caller: &'a str,
    /// Address of this instance; `None` while it should not be used.
    pub own_address: Option<&'a str>,
    /// Most addresses wanted.
    pub most: usize,
}

/// One address of the answer.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct AddressEntry {
    /// The instance.
    pub instance: InstanceId,
    /// The home token that it gives out, if it is known.
    pub incarnation: Option<Incarnation>,
    /// Its data centre.
    pub data_centre: DataCentre,
    /// Its address for callers.
    pub address: String,
}

impl MemberTable {
    /// Addresses that a caller may use, best first.
    ///
    /// Leaving, silent and unready instances are not in it. Those of this data centre come first; within a
    /// data centre the order is stable for a caller and differs between callers. When no other instance is
    /// known to be usable, suspect and merely listed ones follow.
    pub fn addresses(&self, view: &AddressView<'_>, now: MonoTime) -> Vec<AddressEntry> {
        let mut found: Vec<_> = self.usable().map(entry).collect();
        if found.is_empty() {
            found.extend(self.doubtful().map(entry));
        }
        if let Some(address) = view.own_address
            && (found.is_empty() || self.is_heard(now))
        {
            found.push(self.own_entry(address));
        }
        found.sort_by_cached_key(|entry| {
            let is_far = entry.data_centre != self.own.data_centre;
            let weight = weight(view.caller, entry.instance.as_str());
            (is_far, std::cmp::Reverse(weight), entry.instance.clone())
        });
        found.truncate(view.most);
        found
    }

    fn usable(&self) -> impl Iterator<Item = &MemberEntry> {
        self.members.values().filter(|member| match member.state {
            MemberState::Live => member.ready,
            MemberState::Suspect | MemberState::Listed => self.is_vouched(member),
            MemberState::Silent | MemberState::Leaving | MemberState::Gone => false,
        })
    }

    fn doubtful(&self) -> impl Iterator<Item = &MemberEntry> {
        self.members.values().filter(|member| match member.state {
            MemberState::Suspect => member.ready,
            MemberState::Listed => true,
            MemberState::Live | MemberState::Silent | MemberState::Leaving | MemberState::Gone => false,
        })
    }

    /// True if a live member hears it and calls it usable.
    fn is_vouched(&self, member: &MemberEntry) -> bool {
        let voices = self.vouched.iter().filter(|(voice, _)| {
            self.members
                .get(*voice)
                .is_some_and(|voice| voice.state == MemberState::Live)
        });
        voices
            .filter_map(|(_, heard)| heard.get(&member.instance))
            .any(|peer| {
                let is_same = member.incarnation.is_none_or(|known| known == peer.incarnation);
                peer.usable && is_same
            })
    }

    fn own_entry(&self, address: &str) -> AddressEntry {
        AddressEntry {
            instance: self.own.instance.clone(),
            incarnation: Some(self.own.incarnation),
            data_centre: self.own.data_centre.clone(),
            address: address.to_owned(),
        }
    }
}

fn entry(member: &MemberEntry) -> AddressEntry {
    AddressEntry {
        instance: member.instance.clone(),
        incarnation: member.home,
        data_centre: member.data_centre.clone(),
        address: member.address.clone(),
    }
}
