//! Rate of appends: a bucket that refills evenly.

use std::time::Duration;

use tokio::time::Instant;

/// Appends that may still come now.
#[derive(Debug)]
pub(super) struct AppendRate {
    per_s: f64,
    burst: f64,
    left: f64,
    filled_at: Instant,
}

impl AppendRate {
    /// Full bucket.
    pub(super) fn new(per_s: u32, burst: u32, now: Instant) -> Self {
        let burst = f64::from(burst.max(1));
        Self {
            per_s: f64::from(per_s.max(1)),
            burst,
            left: burst,
            filled_at: now,
        }
    }

    /// Takes one append; else says after how long to come again.
    pub(super) fn take(&mut self, now: Instant) -> Result<(), Duration> {
        let gained = now.duration_since(self.filled_at).as_secs_f64() * self.per_s;
        self.left = self.burst.min(self.left + gained);
        self.filled_at = now;
        if self.left < 1.0 {
            return Err(Duration::from_secs_f64((1.0 - self.left) / self.per_s));
        }
        self.left -= 1.0;
        Ok(())
    }
}
