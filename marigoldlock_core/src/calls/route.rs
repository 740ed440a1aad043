//! Where a call with a home key runs.

use super::home::HomeTable;
use crate::membership::MemberTable;
use crate::prelude::*;

/// Where to take a call with a home key.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum HomeRoute {
    /// This instance is the home.
    Here,
    /// Forward it to the home.
    ///
    /// The home remembers the key, so that a forward may be repeated. Whatever goes wrong on the way, the
    /// outcome is unknown: an earlier request with the key may have run.
    Forward {
        /// The home's instance.
        instance: InstanceId,
        /// Its address for peers.
        peer_address: String,
    },
    /// The home is not known or is gone; [`ResultCode::HomeGone`].
    Gone,
}

impl HomeRoute {
    /// The route to `home`.
    pub fn find(home: Incarnation, table: &HomeTable, members: &MemberTable) -> Self {
        if table.is_home(home) {
            return Self::Here;
        }
        match members.find_home(home) {
            Some(member) => Self::Forward {
                instance: member.instance.clone(),
                peer_address: member.peer_address.clone(),
            },
            None => Self::Gone,
        }
    }
}
