//! Time as the slices see it.

use std::ops::{Add, Sub};
use std::time::Duration;

/// Longest time from the write of an order or report to its arrival at the receiver.
///
/// The shell's timeouts must end a write within it; the waits after a takeover rest on it.
pub const ORDER_LIFETIME: Duration = Duration::from_secs(2);

/// Point on a monotonic clock that also runs while the machine sleeps.
///
/// Points of different processes can't be compared.
#[derive(Clone, Copy, Debug, Default, Eq, Hash, Ord, PartialEq, PartialOrd)]
pub struct MonoTime(Duration);

impl MonoTime {
    /// The clock's start.
    pub const ZERO: Self = Self(Duration::ZERO);

    /// The point `since_start` after the clock's start.
    pub const fn from_duration(since_start: Duration) -> Self {
        Self(since_start)
    }

    /// The point `millis` milliseconds after the clock's start.
    pub const fn from_millis(millis: u64) -> Self {
        Self(Duration::from_millis(millis))
    }

    /// Time since the clock's start.
    pub const fn as_duration(self) -> Duration {
        self.0
    }

    /// Time since `earlier`, zero if that lies ahead.
    pub fn since(self, earlier: Self) -> Duration {
        self.0.saturating_sub(earlier.0)
    }
}

impl Add<Duration> for MonoTime {
    type Output = Self;

    fn add(self, rhs: Duration) -> Self {
        Self(self.0.saturating_add(rhs))
    }
}

impl Sub<Duration> for MonoTime {
    type Output = Self;

    fn sub(self, rhs: Duration) -> Self {
        Self(self.0.saturating_sub(rhs))
    }
}
