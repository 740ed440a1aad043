//! How old the newest news of a kind is, as of the time at which it was true at its source.
//!
//! An instance that is cut off or stands still keeps what it knew. Whether that may still decide something depends on its
//! age, not on when it arrived. The clock goes on while a machine stands still, so that time counts as well.

use std::time::Duration;

use crate::time::MonoTime;

/// Age above which changes may have been missed that nobody tells later: an upstream that comes and goes is listed for
/// longer than this.
pub const MAX_GAPLESS_AGE: Duration = Duration::from_secs(3);

/// When news of one kind was last known to be complete.
#[derive(Clone, Copy, Debug, Default)]
pub struct NewsDate {
    complete_at: Option<MonoTime>,
}

impl NewsDate {
    /// Records that everything up to `at` is known.
    pub fn confirm(&mut self, at: MonoTime) {
        self.complete_at = self.complete_at.max(Some(at));
    }

    /// Age of the news; `None` if it was never complete.
    pub fn age(&self, now: MonoTime) -> Option<Duration> {
        self.complete_at.map(|at| now.since(at))
    }

    /// Forgets the date: what arrives next may be old, as after a standstill of this process.
    pub fn reset(&mut self) {
        self.complete_at = None;
    }

    /// True if the news is at most this old.
    pub fn is_within(&self, max_age: Duration, now: MonoTime) -> bool {
        self.age(now).is_some_and(|age| age <= max_age)
    }

    /// True if the present state may hide changes since the news was complete, unless each of them is read. News that never was
    /// complete hides nothing: nothing rests on it yet.
    pub fn may_hide_changes(&self, now: MonoTime) -> bool {
        self.age(now).is_some_and(|age| age > MAX_GAPLESS_AGE)
    }
}
