//! Result code for a call with an unknown plain key during a log outage.

use std::time::Duration;

use crate::membership::{MemberState, MemberTable};
use crate::prelude::*;

/// Progress of a member on the calls stream, as it last reported it.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct PeerLog {
    /// Position up to which the member has read.
    pub position: LogPosition,
    /// True if the member is reachable and can't read the log either.
    pub is_down: bool,
}

/// Result code for a call whose key is not in the fold while the log is down; the fold covers the stream up
/// to `position`.
///
/// A claimant sends a call only after it has read its claim back. The call is therefore known not to have run
/// if every member that was alive when the log went down is reachable, can't read the log either, and has
/// read no further than this instance. Otherwise another instance may have claimed and run it in the
/// meantime.
pub fn log_down_code(position: LogPosition, peers: impl IntoIterator<Item = PeerLog>) -> ResultCode {
    let not_run = peers
        .into_iter()
        .all(|peer| peer.is_down && peer.position <= position);
    if not_run {
        ResultCode::LogUnavailable
    } else {
        ResultCode::ClaimUnconfirmed
    }
}

/// Collects the progress of the members for [`log_down_code`].
///
/// `caught_up_at` is when this instance sent its last read request that reached the head of the log. The log
/// counts as down for a member whose last successful read is at least `down_after` ago. A member lost since
/// `caught_up_at` may have run calls whose records this instance has not read.
pub fn peer_logs(members: &MemberTable, caught_up_at: MonoTime, down_after: Duration) -> Vec<PeerLog> {
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
                is_down: u128::from(member.log_age_ms) >= down_after.as_millis(),
            }
        })
        .collect();
    logs.push(PeerLog {
        position: members.max_calls_position(),
        is_down: true,
    });
    if members.last_loss().is_some_and(|lost| lost >= caught_up_at) {
        logs.push(unproven);
    }
    logs
}
