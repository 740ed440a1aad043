//! Metrics of a run.

use std::collections::BTreeMap;

use hdrhistogram::Histogram;
use marigoldlock_core::prelude::*;
use marigoldlock_core::routing::WorkClass;
use serde::Serialize;

use super::experiment::{Experiment, TargetSpec};
use super::state::{RequestPhase, RequestState};
use super::workload::Request;

/// Weight of an output token in a customer's share, in prompt tokens.
const OUTPUT_WEIGHT: f64 = 4.0;

/// Counts and latencies of one class, in milliseconds.
#[derive(Clone, Debug, Default, Serialize)]
pub struct ClassTimes {
    /// Requests that arrived.
    pub offered: u64,
    /// Requests answered completely.
    pub answered: u64,
    /// Requests answered completely within the target.
    pub in_target: u64,
    /// Time to the first token: median, 95th and 99th percentile.
    pub first_ms: [f64; 3],
    /// Time between tokens: median, 95th and 99th percentile.
    pub between_ms: [f64; 3],
    /// Total time: median, 95th and 99th percentile.
    pub whole_ms: [f64; 3],
}

/// Result of one policy on one seed.
#[derive(Clone, Debug, Default, Serialize)]
pub struct PolicyResult {
    /// The seed.
    pub seed: u64,
    /// Requests that arrived.
    pub offered: u64,
    /// Share of the requests answered completely within the target.
    pub goodput: f64,
    /// Prompt and output tokens of the requests answered within the target, per second.
    pub tokens_in_target_per_s: f64,
    /// Lowest ratio of received to fair share among the customers.
    pub worst_share: f64,
    /// Customer with that ratio.
    pub worst_customer: String,
    /// Requests refused, by code.
    pub refused: BTreeMap<u16, u64>,
    /// Requests that were started but not answered.
    pub failed: u64,
    /// Failed attempts, after each of which the request was resumed at another upstream.
    pub resumed: u64,
    /// Role changes.
    pub role_changes: u32,
    /// Highest number of role changes of a single engine.
    pub role_changes_of_one: u32,
    /// Upstreams ordered.
    pub ordered: u32,
    /// Upstreams withdrawn.
    pub withdrawn: u32,
    /// Total cost of all upstreams.
    pub spending: f64,
    /// Cost of a million tokens answered within the target.
    pub spending_per_million: f64,
    /// Share of the output tokens produced by cheap upstreams.
    pub cheap_share: f64,
    /// Requests interrupted by the loss of a cheap upstream.
    pub cheap_interrupted: u64,
    /// Requests interrupted that way that missed their target or failed.
    pub cheap_harmed: u64,
    /// Counts and latencies by class, with calls to plain services as `calls`.
    pub classes: BTreeMap<String, ClassTimes>,
    /// Share answered within the target, for each half minute of arrival.
    pub timeline: Vec<f64>,
}

/// Histograms of the time between tokens, by class.
#[derive(Debug)]
pub(super) struct GapRecorder {
    gaps: [Histogram<u64>; 3],
}

impl GapRecorder {
    pub(super) fn new() -> Self {
        Self {
            gaps: std::array::from_fn(|_| histogram()),
        }
    }

    pub(super) fn record(&mut self, class: WorkClass, micros: u64) {
        self.gaps[class.index()].saturating_record(micros);
    }
}

fn histogram() -> Histogram<u64> {
    Histogram::new_with_bounds(1, 3_600_000_000, 3).expect("the bounds are valid")
}

fn percentiles(histogram: &Histogram<u64>) -> [f64; 3] {
    [0.5, 0.95, 0.99].map(|quantile| histogram.value_at_quantile(quantile) as f64 / 1e3)
}

/// True if the request was answered completely within the target of its class.
pub(super) fn in_target(request: &Request, state: &RequestState, targets: &TargetSpec) -> bool {
    let (RequestPhase::Answered, Some(first), Some(done)) = (state.phase, state.first_at, state.done_at)
    else {
        return false;
    };
    let first_ms = (first - request.arrival) as f64 / 1e3;
    let gaps = request.output_tokens.saturating_sub(1).max(1) as f64;
    let between_ms = (done - first) as f64 / 1e3 / gaps;
    match request.class {
        WorkClass::Interactive => {
            first_ms <= targets.interactive_first_ms && between_ms <= targets.interactive_between_ms
        }
        WorkClass::Standard => {
            first_ms <= targets.standard_first_ms && between_ms <= targets.standard_between_ms
        }
        WorkClass::Long => (done - request.arrival) as f64 / 1e6 <= targets.long_whole_s,
    }
}

/// True for a call to a plain service, which has no prompt.
fn is_call(request: &Request) -> bool {
    request.prompt_tokens == 0
}

/// Interval that one point of the timeline covers.
const TIMELINE_STEP_MICROS: u64 = 30_000_000;

/// Calculates the metrics of a run from its requests.
pub(super) fn evaluate(
    experiment: &Experiment,
    requests: &[Request],
    states: &[RequestState],
    gaps: &GapRecorder,
) -> PolicyResult {
    let mut result = PolicyResult::default();
    let mut good_tokens = 0.0;
    let mut output = 0.0;
    let mut cheap = 0.0;
    let mut good = 0u64;
    let steps = (experiment.seconds * 1e6) as u64 / TIMELINE_STEP_MICROS + 1;
    let mut timeline = vec![(0u64, 0u64); steps as usize];
    for (request, state) in requests.iter().zip(states) {
        if is_call(request) {
            continue;
        }
        result.offered += 1;
        let hit = in_target(request, state, &experiment.targets);
        let point = &mut timeline[(request.arrival / TIMELINE_STEP_MICROS) as usize];
        point.1 += 1;
        if hit {
            good += 1;
            point.0 += 1;
            good_tokens += (request.prompt_tokens + request.output_tokens) as f64;
        }
        match state.phase {
            RequestPhase::Refused(code) => *result.refused.entry(code.number()).or_default() += 1,
            RequestPhase::Answered => {}
            _ => result.failed += 1,
        }
        result.resumed += u64::from(state.retries);
        result.cheap_interrupted += u64::from(state.interrupted_on_cheap);
        result.cheap_harmed += u64::from(state.interrupted_on_cheap && !hit);
        output += state.tokens as f64;
        cheap += state.cheap_tokens as f64;
    }
    result.goodput = good as f64 / result.offered.max(1) as f64;
    result.tokens_in_target_per_s = good_tokens / experiment.seconds;
    result.cheap_share = if output > 0.0 { cheap / output } else { 0.0 };
    result.timeline = timeline
        .iter()
        .map(|(good, all)| *good as f64 / (*all).max(1) as f64)
        .collect();
    (result.worst_share, result.worst_customer) = worst_share(experiment, requests, states);
    for class in WorkClass::ALL {
        let of_class = |request: &Request| request.class == class && !is_call(request);
        let mut times = class_times(experiment, requests, states, &of_class);
        times.between_ms = percentiles(&gaps.gaps[class.index()]);
        result.classes.insert(class.to_string(), times);
    }
    let calls = class_times(experiment, requests, states, &is_call);
    result.classes.insert("calls".into(), calls);
    result.classes.retain(|_, times| times.offered > 0);
    result
}

fn class_times(
    experiment: &Experiment,
    requests: &[Request],
    states: &[RequestState],
    belongs: &dyn Fn(&Request) -> bool,
) -> ClassTimes {
    let mut first = histogram();
    let mut whole = histogram();
    let mut times = ClassTimes::default();
    for (request, state) in requests
        .iter()
        .zip(states)
        .filter(|(request, _)| belongs(request))
    {
        times.offered += 1;
        times.answered += u64::from(state.phase == RequestPhase::Answered);
        times.in_target += u64::from(in_target(request, state, &experiment.targets));
        if let Some(at) = state.first_at {
            first.saturating_record(at - request.arrival);
        }
        if let Some(at) = state.done_at {
            whole.saturating_record(at - request.arrival);
        }
    }
    times.first_ms = percentiles(&first);
    times.whole_ms = percentiles(&whole);
    times
}

/// Lowest ratio of received to fair share among the customers, and the customer with that ratio.
///
/// A customer's fair share is its part of all work answered within the target, shared by weight and capped at
/// the work that it asked for.
fn worst_share(experiment: &Experiment, requests: &[Request], states: &[RequestState]) -> (f64, String) {
    let mut customers = BTreeMap::<&str, (f64, f64, f64)>::new();
    for (request, state) in requests.iter().zip(states) {
        let stream = &experiment.stream[request.stream];
        if matches!(state.phase, RequestPhase::Refused(ResultCode::WithdrawnKey)) {
            continue;
        }
        let work = request.prompt_tokens as f64 + OUTPUT_WEIGHT * request.output_tokens as f64;
        let entry = customers
            .entry(&stream.customer)
            .or_insert((0.0, 0.0, f64::from(stream.weight)));
        entry.0 += work;
        if in_target(request, state, &experiment.targets) {
            entry.1 += work;
        }
    }
    let asked: Vec<_> = customers
        .values()
        .map(|(asked, _, weight)| (*asked, *weight))
        .collect();
    let served: f64 = customers.values().map(|(_, served, _)| served).sum();
    let shares = fair_shares(served, &asked);
    let ratios = customers
        .iter()
        .zip(shares)
        .map(|((name, (_, served, _)), fair_share)| {
            (
                if fair_share > 0.0 {
                    served / fair_share
                } else {
                    1.0
                },
                (*name).to_owned(),
            )
        });
    ratios
        .min_by(|left, right| left.0.total_cmp(&right.0))
        .unwrap_or((1.0, String::new()))
}

/// Weighted max-min fair division of `total` among (demand, weight) pairs; no share exceeds its demand.
pub(super) fn fair_shares(total: f64, asked: &[(f64, f64)]) -> Vec<f64> {
    let mut shares = vec![0.0; asked.len()];
    let mut open: Vec<usize> = (0..asked.len()).collect();
    let mut left = total;
    while !open.is_empty() && left > 1e-9 {
        let weights: f64 = open.iter().map(|&index| asked[index].1).sum();
        let level = left / weights;
        let (full, rest): (Vec<usize>, Vec<usize>) = open
            .iter()
            .partition(|&&index| asked[index].0 <= level * asked[index].1);
        if full.is_empty() {
            for &index in &open {
                shares[index] = level * asked[index].1;
            }
            return shares;
        }
        for &index in &full {
            shares[index] = asked[index].0;
            left -= asked[index].0;
        }
        open = rest;
    }
    shares
}
