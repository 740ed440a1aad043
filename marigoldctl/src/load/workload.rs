//! Generator of an experiment's requests.

use marigoldlock_core::routing::WorkClass;
use marigoldlock_wire::engine::CACHE_BLOCK_TOKENS;
use rand::rngs::StdRng;
use rand::{Rng, SeedableRng};

use super::experiment::{Experiment, StreamSpec};

/// Standard deviation of the logarithm of the lengths.
const LENGTH_SIGMA: f64 = 0.6;

/// Maximum length, as a multiple of the mean.
const MAX_LENGTH_FACTOR: f64 = 6.0;

/// Ratio of the output limit that a caller requests to the output tokens that it gets.
const MAX_TOKENS_FACTOR: f64 = 1.5;

/// One request.
#[derive(Clone, Debug)]
pub(super) struct Request {
    /// Arrival, in microseconds.
    pub(super) arrival: u64,
    /// Index of the stream.
    pub(super) stream: usize,
    /// Index of the caller in the stream.
    pub(super) caller: usize,
    pub(super) class: WorkClass,
    pub(super) prompt_tokens: u64,
    pub(super) output_tokens: u64,
    pub(super) max_output_tokens: u64,
    pub(super) prefixes: Vec<u64>,
}

/// Generates all requests of a run, in order of arrival.
pub(super) fn generate(experiment: &Experiment, seed: u64) -> Vec<Request> {
    let mut requests = Vec::new();
    for (number, stream) in experiment.stream.iter().enumerate() {
        let mut rng = StdRng::seed_from_u64(seed.wrapping_mul(1_000_003) + number as u64);
        draw_stream(experiment.seconds, number, stream, &mut rng, &mut requests);
    }
    requests.sort_by_key(|request| (request.arrival, request.stream));
    requests
}

fn draw_stream(
    seconds: f64,
    number: usize,
    stream: &StreamSpec,
    rng: &mut StdRng,
    requests: &mut Vec<Request>,
) {
    let peak = stream.shape.iter().map(|(_, factor)| *factor).fold(1.0, f64::max);
    let mut at = 0.0;
    loop {
        // Thinning: draws arrivals at the peak rate and keeps each with probability current rate / peak rate.
        at += -(1.0 - rng.random::<f64>()).ln() / (stream.rate * peak).max(1e-9);
        if at >= seconds {
            return;
        }
        if rng.random::<f64>() * peak < factor_at(stream, at) {
            requests.push(draw_request((at * 1e6) as u64, number, stream, rng));
        }
    }
}

/// Factor of the stream's rate at time `at`, in seconds.
pub(super) fn factor_at(stream: &StreamSpec, at: f64) -> f64 {
    let past = stream.shape.iter().take_while(|(from, _)| *from <= at);
    past.last().map_or(1.0, |(_, factor)| *factor)
}

fn draw_request(arrival: u64, number: usize, stream: &StreamSpec, rng: &mut StdRng) -> Request {
    let prompt = draw_length(stream.prompt_tokens, rng);
    let output_tokens = draw_length(stream.output_tokens, rng).max(1);
    let prompt_tokens = prompt.max(stream.shared_tokens);
    let template = rng.random_range(0..stream.templates.max(1));
    let own = rng.random::<u64>();
    let blocks = prompt_tokens / CACHE_BLOCK_TOKENS as u64;
    let shared = stream.shared_tokens / CACHE_BLOCK_TOKENS as u64;
    let prefixes = (0..blocks).map(|block| {
        let tail = if block < shared { 0 } else { own };
        mix(number as u64 + 1, template + 1, block + 1) ^ tail
    });
    Request {
        arrival,
        stream: number,
        caller: rng.random_range(0..stream.callers.max(1)),
        class: stream.class,
        prompt_tokens,
        output_tokens,
        max_output_tokens: (output_tokens as f64 * MAX_TOKENS_FACTOR).ceil() as u64,
        prefixes: prefixes.collect(),
    }
}

/// Draws a length from a log-normal distribution with the given mean.
fn draw_length(mean: f64, rng: &mut StdRng) -> u64 {
    if mean <= 0.0 {
        return 0;
    }
    let radius = (-2.0 * (1.0 - rng.random::<f64>()).ln()).sqrt();
    let normal = radius * (std::f64::consts::TAU * rng.random::<f64>()).cos();
    let length = mean * (LENGTH_SIGMA * normal - LENGTH_SIGMA * LENGTH_SIGMA / 2.0).exp();
    length.min(mean * MAX_LENGTH_FACTOR).round() as u64
}

fn mix(stream: u64, template: u64, block: u64) -> u64 {
    let mut value = stream.wrapping_mul(0x9E37_79B9_7F4A_7C15) ^ template.wrapping_mul(0xC2B2_AE3D_27D4_EB4F);
    value = (value ^ block.wrapping_mul(0x1656_67B1_9E37_79F9)).wrapping_mul(0xFF51_AFD7_ED55_8CCD);
    value ^ (value >> 33)
}
