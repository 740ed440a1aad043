//! Wall clock that follows tokio's clock.

use std::time::{Duration, SystemTime, UNIX_EPOCH};

use tokio::time::Instant;

/// Unix time that starts at the system time on creation and advances with tokio's clock.
#[derive(Clone, Copy, Debug)]
pub struct UnixClock {
    started: Instant,
    origin: Duration,
}

impl UnixClock {
    /// Creates a clock that starts at the current system time.
    pub fn new() -> Self {
        let origin = SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default();
        Self {
            started: Instant::now(),
            origin,
        }
    }

    /// Milliseconds since the Unix epoch.
    pub fn now_ms(&self) -> u64 {
        let now = self.origin + self.started.elapsed();
        now.as_millis() as u64
    }

    /// Milliseconds since the clock's creation.
    pub fn elapsed_ms(&self) -> u64 {
        self.started.elapsed().as_millis() as u64
    }
}

impl Default for UnixClock {
    fn default() -> Self {
        Self::new()
    }
}
