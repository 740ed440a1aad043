//! Results of the demo.

use std::collections::BTreeMap;
use std::time::Duration;

use hdrhistogram::Histogram;
use serde::Serialize;

use super::workload::DemoOutcome;

/// Summary of a demo.
#[derive(Clone, Debug, Default, Serialize)]
pub struct DemoSummary {
    /// Requests sent.
    pub requests: usize,
    /// Requests answered completely.
    pub whole: usize,
    /// Refusals by result code.
    pub refused: BTreeMap<u16, usize>,
    /// Requests refused with an unknown outcome.
    pub unknown: usize,
    /// Idempotency keys that a plain service ran more than once.
    pub duplicates: usize,
    /// Refusals that said `not run` although the call had run.
    pub false_refusals: usize,
    /// Requests with a withdrawn key that were served after the allowed delay.
    pub served_withdrawn: usize,
    /// Instances that cut off requests when they were replaced.
    pub cut_by_replacement: usize,
    /// Time to the first token in milliseconds, at the median and the 95th and 99th percentile.
    pub first_token_ms: [f64; 3],
    /// Failures and changes that the demo injected.
    pub events: Vec<String>,
    /// Violated guarantees.
    pub broken: Vec<String>,
}

impl DemoSummary {
    /// Adds the outcomes to the counts and records their latencies.
    pub fn count(&mut self, outcomes: &[DemoOutcome]) {
        let mut times = Histogram::<u64>::new(3).expect("three digits are allowed");
        for outcome in outcomes {
            self.requests += 1;
            match outcome {
                DemoOutcome::Answered { first_token, .. } => {
                    self.whole += 1;
                    if let Some(time) = first_token {
                        times
                            .record(micros(*time))
                            .expect("the histogram grows as needed");
                    }
                }
                DemoOutcome::Refused { code, execution, .. } => {
                    *self.refused.entry(*code).or_default() += 1;
                    self.unknown += usize::from(execution == "outcome_unknown");
                }
                DemoOutcome::Invalid(what) => self.broken.push(what.clone()),
            }
        }
        self.first_token_ms = [0.5, 0.95, 0.99].map(|q| times.value_at_quantile(q) as f64 / 1000.0);
    }
}

fn micros(time: Duration) -> u64 {
    u64::try_from(time.as_micros()).unwrap_or(u64::MAX)
}
