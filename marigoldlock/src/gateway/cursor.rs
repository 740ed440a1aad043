//! Where a follower of a store's stream goes on.
//!
//! After the store has dropped records, a listing may be stale for a while: it can miss a change although the
//! records after it are all read. So the stream is listed again a few times.

use std::collections::VecDeque;
use std::time::Duration;

use tokio::time::Instant;

/// Time in which each follower ends one long poll, in turn, and learns that nothing has changed. A long poll was seen
/// to miss records for seconds, at all instances at once, and a leaving upstream must get no work two seconds
/// after its notice; each poll is billed.
const POLL_PERIOD: Duration = Duration::from_millis(1_200);

/// Longest time between two polls that end, over all followers.
const POLL_SLOT: Duration = Duration::from_millis(500);

/// Shortest wait of a long poll.
const POLL_LEAST: Duration = Duration::from_millis(50);

/// When a stream is listed again after records were dropped. A leaving upstream must get no work two seconds after
/// its notice; stale listings were seen for up to six seconds.
const LIST_AGAIN: [Duration; 5] = [
    Duration::from_millis(400),
    Duration::from_millis(900),
    Duration::from_millis(1_500),
    Duration::from_millis(3_000),
    Duration::from_millis(7_000),
];

/// Wait of the long poll that starts at `unix_ms` at the follower with this rank among `count`: the followers end
/// theirs in turn, spread over [`POLL_PERIOD`], and tell the others what they find.
pub fn poll_wait(rank: usize, count: usize, unix_ms: u64) -> Duration {
    let count = count.max(1);
    let period = POLL_PERIOD.min(POLL_SLOT * u32::try_from(count).unwrap_or(u32::MAX));
    let period = u64::try_from(period.as_millis()).unwrap_or(u64::MAX);
    let own = period * rank as u64 / count as u64;
    let wait = Duration::from_millis((own + period - unix_ms % period) % period);
    if wait < POLL_LEAST {
        wait + Duration::from_millis(period)
    } else {
        wait
    }
}

/// What a follower does next.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum NextCall {
    /// Lists the newest record of each key.
    List,
    /// Reads on from an offset and waits this long for a record.
    Follow(u64, Duration),
}

/// Position of a follower.
#[derive(Debug, Default)]
pub struct FollowCursor {
    next: Option<u64>,
    list_at: VecDeque<Instant>,
}

impl FollowCursor {
    /// What to call at `now`, with the wait of a long poll.
    pub fn next_call(&mut self, now: Instant, wait: Duration) -> NextCall {
        let Some(next) = self.next else {
            return NextCall::List;
        };
        match self.list_at.front() {
            Some(due) if *due <= now => {
                self.list_at.pop_front();
                NextCall::List
            }
            Some(due) => NextCall::Follow(next, wait.min(*due - now)),
            None => NextCall::Follow(next, wait),
        }
    }

    /// Notes an answer that ended at `next_offset`; a listing moves the position only if there is none yet.
    pub fn advance(&mut self, next_offset: u64, is_listing: bool) {
        self.next = match self.next {
            Some(next) if is_listing => Some(next),
            Some(next) => Some(next.max(next_offset)),
            None => Some(next_offset),
        };
    }

    /// Goes on at `offset` if others have read that far meanwhile.
    pub fn skip_to(&mut self, offset: u64) {
        self.next = self.next.map(|next| next.max(offset));
    }

    /// Goes on at the first record that is kept, after older ones were dropped.
    pub fn restart(&mut self, first: u64, now: Instant) {
        // An offset that is neither kept nor dropped can't be read on from.
        self.next = self.next.filter(|next| *next < first).map(|_| first);
        self.list_at = LIST_AGAIN.map(|after| now + after).into();
        if self.next.is_some() {
            self.list_at.push_front(now);
        }
    }
}
