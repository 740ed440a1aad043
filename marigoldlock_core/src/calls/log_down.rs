//! What a plain key that this instance does not know can be told while the log does not answer.

use std::time::Duration;

use crate::membership::{MemberState, MemberTable};
use crate::prelude::*;

/// What a member last told about its reading of the calls stream.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct PeerLog {
    /// Position up to which it has read.
    pub position: LogPosition,
    /// True if it is heard now and reads the log no better than this instance.
    pub is_down: bool,
}

/// The code for a call whose key is not in the fold, given up to `position`, while the log is down.
///
/// A claimant sends only after it has read its claim back. The call is thus known not to have run if every
/// member that lived when the log went down is heard, can't read the log either, and has read no further than
/// this instance. Otherwise another instance may have claimed and run it meanwhile.
pub fn log_down_code(position: LogPosition, peers: impl IntoIterator<Item = PeerLog>) -> ResultCode {
    let proven = peers
        .into_iter()
        .all(|peer| peer.is_down && peer.position <= position);
    if proven {
        ResultCode::LogUnavailable
    } else {
        ResultCode::ClaimUnconfirmed
    }
}

/// What the members tell, for [`log_down_code`].
///
/// `fresh` is when this instance last asked the log and was answered in full; `silent` is the age of a member's
/// last read of the log from which the log counts as down for it. A member lost since then may have run calls
/// that this instance can't have read of.
pub fn peer_logs(members: &MemberTable, fresh: MonoTime, silent: Duration) -> Vec<PeerLog> {
    let unproven = PeerLog {
        position: LogPosition(u64::MAX),
        is_down: false,
    };
    let mut logs: Vec<_> = members
        .iter()
        .filter(|member| member.state != MemberState::Gone)
        .map(|member| {
            if !member.is_reachable() {
                return unproven;
            }
            PeerLog {
                position: member.calls_position,
                is_down: u128::from(member.log_age_ms) >= silent.as_millis(),
            }
        })
        .collect();
    logs.push(PeerLog {
        position: members.farthest_calls(),
        is_down: true,
    });
    if members.lost().is_some_and(|lost| lost >= fresh) {
        logs.push(unproven);
    }
    logs
}
