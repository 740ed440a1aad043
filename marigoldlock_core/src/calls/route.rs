//! Routing of calls with a home key.

use super::home::HomeTable;
use crate::membership::MemberTable;
use crate::prelude::*;

/// Route of a call with a home key.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum HomeRoute {
    /// This instance is the home.
    Local,
    /// Another instance is the home; forward the call to it.
    ///
    /// The home remembers the key, so a forward may be repeated. If forwarding fails, the outcome is unknown:
    /// an earlier request with the key may have run.
    Forward {
        /// Name of the home instance.
        instance: InstanceId,
        /// Address at which the home accepts peer connections.
        peer_address: String,
    },
    /// The home is unknown or has ended; the call is refused with [`ResultCode::HomeGone`].
    Gone,
}

impl HomeRoute {
    /// Finds the route to the home that issued the token `home`.
    pub fn find(home: Incarnation, table: &HomeTable, members: &MemberTable) -> Self {
        if table.is_home(home) {
            return Self::Local;
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
