//! Speed of one upstream relative to the others of its service.
//!
//! Load pattern: upstreams share their machines with other workloads. Some are permanently slower than
//! others, and some are slowed for a few hundred milliseconds at a time. Some services report a slowdown with
//! each response.
//!
//! The slowness of an upstream is the product of two factors:
//!
//! - What it reports, smoothed. The value changes many times a second, so it is never extrapolated: with its
//!   age, it decays to the long-term mean of the upstream's reports.
//! - What the reports don't explain, measured from response times and learned slowly. Response times are
//!   divided by the reported slowdown first, so a permanent difference is counted once whether or not the
//!   reports include it. Differences that may be chance count as none.
//!
//! Response times are compared only among upstreams of one data centre, since the others' include the time on
//! the network.

use std::time::Duration;

use crate::time::MonoTime;

/// Time over which reported values are averaged: a slowdown lasts about 600 ms, so it shows within a third of it.
const SMOOTHING_TIME: Duration = Duration::from_millis(200);

/// Time after which a reported value has lost 63 % of its effect: about as long as a slowdown lasts.
const REPORT_DECAY_TIME: Duration = Duration::from_millis(500);

/// Time over which the long-term mean of reported values is taken: dozens of slowdowns.
const REPORT_MEAN_TIME: Duration = Duration::from_secs(30);

/// Time after which a measured difference has lost 63 % of its effect if it isn't measured again, so that an
/// upstream that is avoided for its slowness gets another chance.
const MEASURED_DECAY_TIME: Duration = Duration::from_secs(60);

/// Number of samples over which the mean of one upstream is taken.
const UPSTREAM_SAMPLES: f64 = 50.0;

/// Number of samples over which the mean of a service's upstreams is taken.
const BASELINE_SAMPLES: f64 = 400.0;

/// Smallest number of samples that show a difference.
const MIN_SAMPLES: f64 = 30.0;

/// Smallest measured difference that counts, as a natural logarithm: about 22 %. Smaller ones come from the mix
/// of requests.
const MIN_DIFFERENCE: f64 = 0.2;

/// Smallest measured difference that counts, in standard errors of the mean.
const MIN_STANDARD_ERRORS: f64 = 4.0;

/// Largest difference from normal that counts as none, as a natural logarithm; about 5 %.
const DEAD_BAND: f64 = 0.05;

/// Largest difference from normal that is believed, as a natural logarithm: a factor of 4.
const MAX_DIFFERENCE: f64 = 1.386;

/// How long work takes at an upstream, in thousandths of the normal time.
#[derive(Clone, Copy, Debug, Eq, Ord, PartialEq, PartialOrd)]
pub struct SlownessFactor(u32);

impl SlownessFactor {
    /// Factor of an upstream of normal or unknown speed.
    pub const NORMAL: Self = Self(1_000);

    /// Value in thousandths.
    pub fn per_mille(self) -> u32 {
        self.0
    }

    /// True if the upstream is faster or slower than normal.
    pub fn is_notable(self) -> bool {
        self != Self::NORMAL
    }

    /// Time or cost of work that has the given one at normal speed.
    pub fn scale(self, work: u64) -> u64 {
        work * u64::from(self.0) / u64::from(Self::NORMAL.0)
    }

    /// Difference between the scaled work and the work at normal speed.
    pub fn excess(self, work: u64) -> i64 {
        let excess = i64::from(self.0) - i64::from(Self::NORMAL.0);
        i64::try_from(work).unwrap_or(i64::MAX / 4_000) * excess / i64::from(Self::NORMAL.0)
    }

    fn from_log(log: f64) -> Self {
        if log.abs() < DEAD_BAND {
            return Self::NORMAL;
        }
        let factor = log.clamp(-MAX_DIFFERENCE, MAX_DIFFERENCE).exp();
        Self((factor * f64::from(Self::NORMAL.0)).round() as u32)
    }
}

/// Mean response time of a service's upstreams in one data centre.
#[derive(Clone, Copy, Debug, Default)]
pub struct SpeedBaseline {
    /// Mean of the logarithms of the times per unit of work.
    mean: f64,
    samples: f64,
}

impl SpeedBaseline {
    fn record(&mut self, sample: f64) {
        self.samples = (self.samples + 1.0).min(BASELINE_SAMPLES);
        self.mean += (sample - self.mean) / self.samples;
    }
}

/// Slowdown that an upstream reports.
#[derive(Clone, Copy, Debug)]
struct ReportedSpeed {
    /// Logarithm of the smoothed value.
    smoothed: f64,
    /// Logarithm of the long-term mean.
    mean: f64,
    /// Time over which that mean has been taken.
    span: Duration,
    at: MonoTime,
}

impl ReportedSpeed {
    fn log(&self, now: MonoTime) -> f64 {
        self.mean + (self.smoothed - self.mean) * remaining(REPORT_DECAY_TIME, now.since(self.at))
    }
}

/// Speed of one upstream as one instance knows it.
#[derive(Clone, Copy, Debug, Default)]
pub struct UpstreamSpeed {
    reported: Option<ReportedSpeed>,
    /// Mean difference of the logarithms of response times from the baseline.
    difference: f64,
    /// Variance of those differences.
    variance: f64,
    samples: f64,
    measured_at: MonoTime,
}

impl UpstreamSpeed {
    /// Records a reported slowdown, in percent of the normal time.
    pub fn record_report(&mut self, percent: u32, now: MonoTime) {
        let value = (f64::from(percent.max(1)) / 100.0).ln();
        let Some(reported) = &mut self.reported else {
            self.reported = Some(ReportedSpeed {
                smoothed: value,
                mean: value,
                span: Duration::ZERO,
                at: now,
            });
            return;
        };
        let age = now.since(reported.at);
        reported.smoothed = value + (reported.smoothed - value) * remaining(SMOOTHING_TIME, age);
        reported.span = (reported.span + age).min(REPORT_MEAN_TIME);
        // While the reports span less time than the mean is taken over, each counts by its own time.
        if !reported.span.is_zero() {
            reported.mean += (value - reported.mean) * age.div_duration_f64(reported.span).min(1.0);
        }
        reported.at = now;
    }

    /// True if the upstream has reported a slowdown.
    pub fn has_reports(&self) -> bool {
        self.reported.is_some()
    }

    /// Records that work of the given amount took `elapsed`; the unit of work is the same for all upstreams of
    /// the baseline.
    pub fn record_time(&mut self, work: u64, elapsed: Duration, baseline: &mut SpeedBaseline, now: MonoTime) {
        if work == 0 || elapsed.is_zero() {
            return;
        }
        let sample = (elapsed.as_secs_f64() / work as f64).ln() - self.reported_log(now);
        baseline.record(sample);
        let difference = sample - baseline.mean;
        self.samples = (self.samples + 1.0).min(UPSTREAM_SAMPLES);
        let step = difference - self.difference;
        self.difference += step / self.samples;
        // The first sample has no variance; the later ones have Welford's, with the same weight as the mean.
        self.variance += (step * (difference - self.difference) - self.variance) / self.samples;
        self.measured_at = now;
    }

    /// Slowness of the upstream; normal while nothing is known.
    pub fn slowness(&self, now: MonoTime) -> SlownessFactor {
        SlownessFactor::from_log(self.reported_log(now) + self.measured_log(now))
    }

    fn reported_log(&self, now: MonoTime) -> f64 {
        self.reported.map_or(0.0, |reported| reported.log(now))
    }

    fn measured_log(&self, now: MonoTime) -> f64 {
        if self.samples < MIN_SAMPLES {
            return 0.0;
        }
        let standard_error = (self.variance / self.samples).sqrt();
        let difference = self.difference * remaining(MEASURED_DECAY_TIME, now.since(self.measured_at));
        if difference.abs() < MIN_DIFFERENCE.max(standard_error * MIN_STANDARD_ERRORS) {
            return 0.0;
        }
        difference
    }
}

/// Share of an effect that remains after `age` if it decays exponentially.
fn remaining(decay: Duration, age: Duration) -> f64 {
    (-age.as_secs_f64() / decay.as_secs_f64()).exp()
}
