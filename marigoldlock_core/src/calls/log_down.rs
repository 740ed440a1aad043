//! What a plain key that this instance does not know can be told while the log does not answer.

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
