//! Refusal of requests that would wait too long for prefill.
//!
//! In a burst, or when many callers retry, more prefill is requested than the engines can do. A request that
//! is served late uses as much capacity as one that is served in time, so a queue longer than the latency
//! objective makes all requests late without serving more of them. Requests that can't start in time are
//! refused at once with a `retry_after` time.

use std::time::Duration;

/// Weight of the newest sample in the moving average.
const SAMPLE_WEIGHT: f64 = 0.05;

/// Smallest sample, in tokens: shorter prompts measure the fixed cost of a request instead of the rate.
pub const MIN_SAMPLE_TOKENS: u64 = 1_000;

/// Lower bound of the rate, in tokens per millisecond, so that estimated times stay finite.
const MIN_RATE: f64 = 0.1;

/// Longest accepted wait for the first token, as a multiple of the latency objective. It is above 1 because a
/// late response is still worth something to its caller and the estimate of the wait is rough.
const MAX_WAIT_FACTOR: f64 = 1.5;

/// Shortest `retry_after` time: about as long as an engine needs for its shortest prompts.
const MIN_RETRY_AFTER: Duration = Duration::from_millis(200);

/// Longest `retry_after` time: bursts pass within seconds.
const MAX_RETRY_AFTER: Duration = Duration::from_millis(1_500);

/// Prefill rate of one engine under load, learned from its responses.
#[derive(Clone, Copy, Debug, Default)]
pub struct PrefillRate {
    tokens_per_ms: Option<f64>,
}

impl PrefillRate {
    /// Records that `tokens` uncached tokens took `elapsed` at an engine that had `requests` concurrent
    /// requests.
    pub fn record(&mut self, tokens: u64, elapsed: Duration, requests: u32) {
        let millis = elapsed.as_secs_f64() * 1e3;
        if tokens < MIN_SAMPLE_TOKENS || millis <= 0.0 {
            return;
        }
        let sample = tokens as f64 * f64::from(requests.max(1)) / millis;
        let rate = self.tokens_per_ms.unwrap_or(sample);
        self.tokens_per_ms = Some(rate + SAMPLE_WEIGHT * (sample - rate));
    }

    /// Estimated time to prefill `tokens`; `None` while the rate isn't known.
    pub fn known_time_for(&self, tokens: u64) -> Option<Duration> {
        let rate = self.tokens_per_ms?.max(MIN_RATE);
        Some(Duration::from_secs_f64(tokens as f64 / rate / 1e3))
    }

    /// Estimated time to prefill `tokens`; zero while the rate isn't known.
    pub fn time_for(&self, tokens: u64) -> Duration {
        self.known_time_for(tokens).unwrap_or_default()
    }
}

/// Returns the time after which the caller should retry if its request has waited for `waited` and would have
/// to wait for `expected` more; `None` if that wait is acceptable.
pub fn retry_after(waited: Duration, expected: Duration, objective: Duration) -> Option<Duration> {
    let max_wait = objective.mul_f64(MAX_WAIT_FACTOR);
    let total = waited + expected;
    if total <= max_wait {
        return None;
    }
    Some((total - max_wait + MIN_RETRY_AFTER).clamp(MIN_RETRY_AFTER, MAX_RETRY_AFTER))
}
