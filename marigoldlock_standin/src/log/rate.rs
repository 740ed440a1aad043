//! Token bucket that limits the rate of appends.

use std::time::Duration;

use tokio::time::Instant;

/// Token bucket; each token allows one append.
#[derive(Debug)]
pub(super) struct TokenBucket {
    rate_per_s: f64,
    burst: f64,
    tokens: f64,
    filled_at: Instant,
}

impl TokenBucket {
    /// Creates a full bucket.
    pub(super) fn new(rate_per_s: u32, burst: u32, now: Instant) -> Self {
        let burst = f64::from(burst.max(1));
        Self {
            rate_per_s: f64::from(rate_per_s.max(1)),
            burst,
            tokens: burst,
            filled_at: now,
        }
    }

    /// Takes a token for one append.
    ///
    /// # Errors
    ///
    /// If the bucket is empty; the error is the time until the next token.
    pub(super) fn try_take(&mut self, now: Instant) -> Result<(), Duration> {
        let gained = now.duration_since(self.filled_at).as_secs_f64() * self.rate_per_s;
        self.tokens = self.burst.min(self.tokens + gained);
        self.filled_at = now;
        if self.tokens < 1.0 {
            return Err(Duration::from_secs_f64((1.0 - self.tokens) / self.rate_per_s));
        }
        self.tokens -= 1.0;
        Ok(())
    }
}
