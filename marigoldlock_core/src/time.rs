//! Monotonic time as it is passed to the state machines.

use std::ops::{Add, Sub};
use std::time::Duration;

/// Maximum time after which an order or report that was sent can still reach its receiver.
///
/// The client timeouts must abort a send within this time, because the next holder of a duty waits for it
/// after a takeover.
pub const ORDER_LIFETIME: Duration = Duration::from_secs(2);

/// Point in time on a monotonic clock that keeps running while the machine is suspended.
///
/// Values of different processes are not comparable.
#[derive(Clone, Copy, Debug, Default, Eq, Hash, Ord, PartialEq, PartialOrd)]
pub struct MonoTime(Duration);

impl MonoTime {
    /// Start of the clock.
    pub const ZERO: Self = Self(Duration::ZERO);

    /// Creates the point at `since_start` after the start of the clock.
    pub const fn from_duration(since_start: Duration) -> Self {
        Self(since_start)
    }

    /// Creates the point at `millis` milliseconds after the start of the clock.
    pub const fn from_millis(millis: u64) -> Self {
        Self(Duration::from_millis(millis))
    }

    /// Returns the time since the start of the clock.
    pub const fn as_duration(self) -> Duration {
        self.0
    }

    /// Returns the time since `earlier`, or zero if `earlier` is later than this point.
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
