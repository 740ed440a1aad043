//! Refusal of requests that would wait too long.
//!
//! Load pattern: bursts, and callers that come back, ask for more reading than there is. A request that is served late
//! takes as much as one that is served in time, so a queue longer than the objective makes everyone late and
//! serves nobody more. What can't be begun in time is refused at once, with a time to come back.

use std::time::Duration;

/// Weight of the newest sample in the average.
const SAMPLE_WEIGHT: f64 = 0.05;

/// Fewest tokens of a sample: shorter readings measure the fixed cost of a request instead.
const SAMPLE_TOKENS: u64 = 1_000;

/// Smallest rate that is reckoned with, in tokens a millisecond, so that times stay finite.
const RATE_LEAST: f64 = 0.1;

/// Wait for the first token that is still accepted, in latency objectives. A late answer is still worth something to
/// its caller, and the estimate of the wait is rough.
const WAIT_OBJECTIVES: f64 = 1.5;

/// Shortest time after which a caller is asked to come back: a reader's shortest prompts.
const COME_BACK_LEAST: Duration = Duration::from_millis(200);

/// Longest time after which a caller is asked to come back: bursts pass within seconds.
const COME_BACK_MOST: Duration = Duration::from_millis(1_500);

/// Rate at which one reader reads prompts under load, learned from its answers.
#[derive(Clone, Copy, Debug, Default)]
pub struct ReadRate {
    tokens_per_ms: Option<f64>,
}

impl ReadRate {
    /// Notes that a prompt of `tokens` unread tokens took `elapsed` at a reader that had `requests` at once.
    pub fn record(&mut self, tokens: u64, elapsed: Duration, requests: u32) {
        let millis = elapsed.as_secs_f64() * 1e3;
        if tokens < SAMPLE_TOKENS || millis <= 0.0 {
            return;
        }
        let sample = tokens as f64 * f64::from(requests.max(1)) / millis;
        let rate = self.tokens_per_ms.unwrap_or(sample);
        self.tokens_per_ms = Some(rate + SAMPLE_WEIGHT * (sample - rate));
    }

    /// Time to read `tokens`; `None` while the rate isn't known.
    pub fn known_time_for(&self, tokens: u64) -> Option<Duration> {
        let rate = self.tokens_per_ms?.max(RATE_LEAST);
        Some(Duration::from_secs_f64(tokens as f64 / rate / 1e3))
    }

    /// Time to read `tokens`; zero while the rate isn't known.
    pub fn time_for(&self, tokens: u64) -> Duration {
        self.known_time_for(tokens).unwrap_or_default()
    }
}

/// Says when a caller should come back if its request, which has waited for `waited`, would have to wait for
/// `expected` more; `None` if it may wait.
pub fn come_back(waited: Duration, expected: Duration, objective: Duration) -> Option<Duration> {
    let accepted = objective.mul_f64(WAIT_OBJECTIVES);
    let total = waited + expected;
    if total <= accepted {
        return None;
    }
    Some((total - accepted + COME_BACK_LEAST).clamp(COME_BACK_LEAST, COME_BACK_MOST))
}
