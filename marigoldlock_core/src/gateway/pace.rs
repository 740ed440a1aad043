//! Rate limits that upstreams state for all instances together.

use crate::time::MonoTime;

/// Limit that an upstream states in its responses.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct StatedLimit {
    rate: f64,
    stated_at: MonoTime,
}

impl StatedLimit {
    /// Creates a limit of `rate` requests per second that was stated in a response received now.
    pub fn new(rate: f64, now: MonoTime) -> Self {
        Self { rate, stated_at: now }
    }

    /// Requests per second.
    pub fn rate(&self) -> f64 {
        self.rate
    }

    /// True if the limit was stated before `time`.
    pub fn is_older_than(&self, time: MonoTime) -> bool {
        self.stated_at < time
    }
}
