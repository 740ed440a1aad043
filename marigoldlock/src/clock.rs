//! Monotonic and wall-clock time sources.

use std::time::{Duration, SystemTime, UNIX_EPOCH};

use marigoldlock_core::time::MonoTime;
use rustix::time::{ClockId, clock_gettime};

/// Source of monotonic and wall-clock time.
pub trait TimeSource: Send + Sync {
    /// Monotonic time.
    fn now(&self) -> MonoTime;

    /// Milliseconds since the Unix epoch; used only for log lines and usage windows.
    fn unix_ms(&self) -> u64;
}

/// The machine's clocks.
///
/// Uses `CLOCK_BOOTTIME`, which also advances during suspend, so that a lease expires while the machine sleeps.
#[derive(Clone, Copy, Debug, Default)]
pub struct BootClock;

impl TimeSource for BootClock {
    fn now(&self) -> MonoTime {
        let time = clock_gettime(ClockId::Boottime);
        let seconds = u64::try_from(time.tv_sec).unwrap_or_default();
        let nanos = u32::try_from(time.tv_nsec).unwrap_or_default();
        MonoTime::from_duration(Duration::new(seconds, nanos))
    }

    fn unix_ms(&self) -> u64 {
        let since_epoch = SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default();
        u64::try_from(since_epoch.as_millis()).unwrap_or(u64::MAX)
    }
}

/// Tokio's clock, which tests can pause and advance.
#[derive(Clone, Copy, Debug)]
pub struct TokioClock {
    start: tokio::time::Instant,
}

impl TokioClock {
    /// Starts a clock at zero.
    pub fn start() -> Self {
        Self {
            start: tokio::time::Instant::now(),
        }
    }
}

impl TimeSource for TokioClock {
    fn now(&self) -> MonoTime {
        MonoTime::from_duration(self.start.elapsed())
    }

    fn unix_ms(&self) -> u64 {
        u64::try_from(self.start.elapsed().as_millis()).unwrap_or(u64::MAX)
    }
}
