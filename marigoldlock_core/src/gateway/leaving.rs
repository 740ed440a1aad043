//! Which requests an instance that shuts down still takes, and when it answers those that are left.
//!
//! Load pattern: callers go on to send over open connections and by cached addresses after an instance has been told to stop,
//! and some of their requests take longer than the rest of its grace. What such a request has done is unknown to its caller if
//! the process ends before the response. So one that may not be repeated is refused, as not run, if it comes late and might not
//! end in time, and what still runs shortly before the end is answered with its outcome as far as it is known.

use std::time::Duration;

use super::route::CallKind;
use crate::time::MonoTime;

/// Time after the shutdown signal in which all requests are taken: until then callers may not have learned of it.
const NOTICE_TIME: Duration = Duration::from_secs(3);

/// Part of the grace to which the notice is limited, as a divisor.
const NOTICE_DIVISOR: u32 = 2;

/// Time for the last responses to reach their callers.
const ANSWER_TIME: Duration = Duration::from_millis(300);

/// Times of a shutdown.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct LeavePlan {
    takes_until: MonoTime,
    answers_at: MonoTime,
}

impl LeavePlan {
    /// Plan of an instance that is told to stop at `now` and exits after `grace`.
    pub fn new(now: MonoTime, grace: Duration) -> Self {
        Self {
            takes_until: now + NOTICE_TIME.min(grace / NOTICE_DIVISOR),
            answers_at: now + grace.saturating_sub(ANSWER_TIME),
        }
    }

    /// When requests that still run are answered.
    pub fn answers_at(&self) -> MonoTime {
        self.answers_at
    }

    /// True if a request that arrives at `now` and may take up to `timeout` is taken.
    pub fn may_take(&self, kind: CallKind, timeout: Duration, now: MonoTime) -> bool {
        now <= self.takes_until || kind == CallKind::Idempotent || now + timeout <= self.answers_at
    }
}
