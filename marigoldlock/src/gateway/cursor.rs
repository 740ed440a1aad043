//! Read position of a follower of a store stream.
//!
//! After the store has dropped records, a listing may be stale for a while: it can lack a change although all
//! records after it have been read. So the stream is listed again a few times.

use std::collections::VecDeque;
use std::time::Duration;

use marigoldlock_core::gateway::prelude::*;
use tokio::time::Instant;

/// Period in which each follower ends one long poll, in turn, and starts a new one. Long polls were seen to
/// miss records for seconds, at all instances at once, and a leaving upstream must get no requests two
/// seconds after its notice. Each poll is billed.
const POLL_PERIOD: Duration = Duration::from_millis(1_200);

/// Longest time between the ends of two long polls, over all followers.
const POLL_SLOT: Duration = Duration::from_millis(500);

/// Shortest wait of a long poll.
const MIN_POLL_WAIT: Duration = Duration::from_millis(50);

/// Times after dropped records at which a stream is listed again. A leaving upstream must get no requests two
/// seconds after its notice, and stale listings were seen for up to six seconds.
const RELIST_DELAYS: [Duration; 5] = [
    Duration::from_millis(400),
    Duration::from_millis(900),
    Duration::from_millis(1_500),
    Duration::from_millis(3_000),
    Duration::from_millis(7_000),
];

/// Wait of a long poll that starts at `unix_ms` on the follower with this rank among `count`. The followers
/// end their polls in turn, spread over [`POLL_PERIOD`], and share what they read.
pub fn poll_wait(rank: usize, count: usize, unix_ms: u64) -> Duration {
    let count = count.max(1);
    let period = POLL_PERIOD.min(POLL_SLOT * u32::try_from(count).unwrap_or(u32::MAX));
    let period = u64::try_from(period.as_millis()).unwrap_or(u64::MAX);
    let slot = period * rank as u64 / count as u64;
    let wait = Duration::from_millis((slot + period - unix_ms % period) % period);
    if wait < MIN_POLL_WAIT {
        wait + Duration::from_millis(period)
    } else {
        wait
    }
}

/// Next call of a follower.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum NextCall {
    /// Lists the newest record of each key.
    List,
    /// Reads from a position on and waits this long for a record.
    Follow(StorePosition, Duration),
}

/// Read position of a follower.
#[derive(Debug, Default)]
pub struct FollowCursor {
    era: StoreEra,
    next: Option<u64>,
    relist_at: VecDeque<Instant>,
}

impl FollowCursor {
    /// Enters an era of the store, whose content is listed first; does nothing if the cursor is in this era.
    pub fn enter_era(&mut self, era: StoreEra) {
        if self.era != era {
            *self = Self {
                era,
                ..Self::default()
            };
        }
    }

    /// Returns the next call at `now`; `wait` is the wait of a long poll.
    pub fn next_call(&mut self, now: Instant, wait: Duration) -> NextCall {
        let Some(next) = self.next else {
            return NextCall::List;
        };
        match self.relist_at.front() {
            Some(due) if *due <= now => {
                self.relist_at.pop_front();
                NextCall::List
            }
            Some(due) => NextCall::Follow(StorePosition::new(self.era, next), wait.min(*due - now)),
            None => NextCall::Follow(StorePosition::new(self.era, next), wait),
        }
    }

    /// Records a response that ends at `next_offset`. A listing changes the position only if there is none
    /// yet.
    pub fn advance(&mut self, next_offset: u64, is_listing: bool) {
        self.next = match self.next {
            Some(next) if is_listing => Some(next),
            Some(next) => Some(next.max(next_offset)),
            None => Some(next_offset),
        };
    }

    /// Moves the position to `offset` if other instances have already read that far.
    pub fn skip_to(&mut self, offset: u64) {
        self.next = self.next.map(|next| next.max(offset));
    }

    /// Continues at the first retained record after older ones were dropped.
    pub fn restart(&mut self, first: u64, now: Instant) {
        // An offset that is neither retained nor dropped can't be used to continue.
        self.next = self.next.filter(|next| *next < first).map(|_| first);
        self.relist_at = RELIST_DELAYS.map(|after| now + after).into();
        if self.next.is_some() {
            self.relist_at.push_front(now);
        }
    }
}
