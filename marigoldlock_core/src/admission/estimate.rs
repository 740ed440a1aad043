//! Service times learned from answered requests.
//!
//! A service time has a part that every request has, such as a connection or a slow start, and one that grows
//! with the tokens of the request. Both are corrected by each sample, in proportion to the sample's size: a
//! short request says little about the time per token, and a long one little about the fixed part. A single
//! ratio of the actual to the estimated time would multiply the fixed part of short requests by the length of
//! long ones.

use std::time::Duration;

/// Part of the error of a sample by which the model is corrected.
const SAMPLE_WEIGHT: f64 = 0.1;

/// Estimated service time, in seconds, at which a sample corrects both parts equally.
const EVEN_S: f64 = 10.0;

/// Bounds of the ratio of the actual to the estimated time per token.
const RATIO_BOUNDS: (f64, f64) = (0.1, 20.0);

/// Actual service time as a function of the estimated one.
#[derive(Clone, Copy, Debug)]
pub(super) struct TimeModel {
    /// Part that does not depend on the estimate, in seconds.
    fixed_s: f64,
    /// Ratio of the rest to the estimate.
    ratio: f64,
}

impl Default for TimeModel {
    fn default() -> Self {
        Self {
            fixed_s: 0.0,
            ratio: 1.0,
        }
    }
}

impl TimeModel {
    /// Corrects the model by an answered request.
    pub(super) fn record(&mut self, elapsed: Duration, estimated: Duration) {
        let estimated_s = estimated.as_secs_f64();
        let error_s = elapsed.as_secs_f64() - self.predict_s(estimated_s);
        let correction = SAMPLE_WEIGHT * error_s / (estimated_s + EVEN_S);
        let (low, high) = RATIO_BOUNDS;
        self.ratio = (self.ratio + correction).clamp(low, high);
        self.fixed_s = (self.fixed_s + correction * EVEN_S).max(0.0);
    }

    /// Expected service time of a request.
    pub(super) fn predict(&self, estimated: Duration) -> Duration {
        let predicted_s = self.predict_s(estimated.as_secs_f64());
        Duration::try_from_secs_f64(predicted_s).unwrap_or(Duration::MAX)
    }

    fn predict_s(&self, estimated_s: f64) -> f64 {
        self.fixed_s + self.ratio * estimated_s
    }
}
