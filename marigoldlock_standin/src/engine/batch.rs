//! Continuous batching: requests join and leave the batch between steps.
//!
//! A step generates one token for every request whose prefill is done, and processes a chunk of the pending
//! prompts. Its duration is the decode time, which grows with the batch, plus the time for the chunk, so
//! prompts slow down running streams, as on a real engine.

use std::collections::BTreeMap;
use std::time::Duration;

use marigoldlock_wire::engine::CACHE_BLOCK_TOKENS;
use tokio::sync::mpsc::UnboundedSender;
use tokio::time::Instant;

use super::cache::PrefixCache;
use super::options::EngineOptions;
use super::seen::{RequestOutcome, SeenLog};

/// Output of a request. If the channel closes without `Done`, the request was cut.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(super) enum OutputEvent {
    /// Token with the given index.
    Token(u64),
    /// End of the answer.
    Done {
        /// Prompt tokens found in the cache.
        cached_tokens: u64,
    },
}

/// Accepted request.
#[derive(Debug)]
pub(super) struct Submission {
    /// Index in the [`SeenLog`].
    pub(super) index: u64,
    /// Priority; 0 is served first.
    pub(super) priority: u8,
    /// Hashes of the prompt's blocks.
    pub(super) blocks: Vec<u64>,
    /// Prompt tokens.
    pub(super) prompt_tokens: u64,
    /// Output tokens that the caller already has.
    pub(super) resumed_tokens: u64,
    /// Total output tokens, including those already resumed.
    pub(super) output_tokens: u64,
    /// Channel for the output.
    pub(super) output: UnboundedSender<OutputEvent>,
}

#[derive(Debug)]
struct RunningRequest {
    submission: Submission,
    cached_tokens: u64,
    prefill_left: u64,
    prefill_assigned: u64,
    next_token: u64,
}

impl RunningRequest {
    fn new(submission: Submission, cached_tokens: u64) -> Self {
        let prompt = submission.prompt_tokens + submission.resumed_tokens;
        let prefill_left = prompt.saturating_sub(cached_tokens).max(1);
        let next_token = submission.resumed_tokens;
        Self {
            submission,
            cached_tokens,
            prefill_left,
            prefill_assigned: 0,
            next_token,
        }
    }

    // After prefill the cache counts the prompt's full blocks, so only the remainder is counted here.
    fn kv_tokens(&self) -> u64 {
        let output = self.next_token - self.submission.resumed_tokens;
        match self.prefill_left {
            0 => self.submission.prompt_tokens % CACHE_BLOCK_TOKENS as u64 + self.next_token,
            left => self.submission.prompt_tokens.saturating_sub(left) + output,
        }
    }

    fn is_finished(&self) -> bool {
        self.prefill_left == 0 && self.next_token >= self.submission.output_tokens
    }

    fn emit_token(&mut self) {
        if self.next_token < self.submission.output_tokens {
            let _ = self.submission.output.send(OutputEvent::Token(self.next_token));
            self.next_token += 1;
        }
    }
}

/// Running and waiting requests.
#[derive(Debug, Default)]
pub(super) struct RequestBatch {
    waiting: BTreeMap<(u8, u64), Submission>,
    running: Vec<RunningRequest>,
    stepping: bool,
}

impl RequestBatch {
    /// Queues a request behind those of the same priority.
    pub(super) fn submit(&mut self, submission: Submission) {
        self.waiting
            .insert((submission.priority, submission.index), submission);
    }

    /// Number of running requests.
    pub(super) fn running(&self) -> usize {
        self.running.len()
    }

    /// Number of waiting requests.
    pub(super) fn queued(&self) -> usize {
        self.waiting.len()
    }

    /// Number of requests that generate output.
    pub(super) fn decoding(&self) -> usize {
        self.running
            .iter()
            .filter(|request| request.prefill_left == 0)
            .count()
    }

    /// Prompt tokens still to be processed.
    pub(super) fn prefill_backlog(&self) -> u64 {
        let running: u64 = self.running.iter().map(|request| request.prefill_left).sum();
        let waiting: u64 = self.waiting.values().map(|request| request.prompt_tokens).sum();
        running + waiting
    }

    /// KV cache that running requests use, in tokens.
    pub(super) fn kv_tokens(&self) -> u64 {
        self.running.iter().map(RunningRequest::kv_tokens).sum()
    }

    /// Ends every request as cut.
    pub(super) fn cut_all(&mut self, seen: &mut SeenLog) {
        let running = self.running.drain(..).map(|request| request.submission);
        let waiting = std::mem::take(&mut self.waiting);
        for submission in running.chain(waiting.into_values()) {
            seen.end_request(submission.index, RequestOutcome::Cut);
        }
        self.stepping = false;
    }

    /// Begins a step and returns its duration; `None` if there is nothing to do.
    pub(super) fn begin_step(
        &mut self,
        options: &EngineOptions,
        prefill_slowdown: f64,
        cache: &mut PrefixCache,
        seen: &mut SeenLog,
    ) -> Option<Duration> {
        self.drop_cancelled(seen);
        self.admit(options, cache);
        if self.running.is_empty() {
            return None;
        }
        self.stepping = true;
        let chunk = self.assign_prefill(options.prefill_chunk_tokens);
        let prefill_s = chunk as f64 * prefill_slowdown / options.prefill_tokens_per_s;
        let decode_s = match self.decoding() {
            0 => 0.0,
            decoding => step_seconds(options, decoding),
        };
        Some(Duration::from_secs_f64(prefill_s + decode_s))
    }

    /// Ends the step: emits its tokens and removes finished requests.
    pub(super) fn end_step(&mut self, cache: &mut PrefixCache, seen: &mut SeenLog, now: Instant) {
        if !std::mem::take(&mut self.stepping) {
            return;
        }
        for request in &mut self.running {
            let was_decoding = request.prefill_left == 0;
            request.prefill_left -= std::mem::take(&mut request.prefill_assigned);
            if request.prefill_left > 0 {
                continue;
            }
            if !was_decoding {
                cache.store(&request.submission.blocks, now);
            }
            request.emit_token();
        }
        for request in self.running.extract_if(.., |request| request.is_finished()) {
            let cached_tokens = request.cached_tokens;
            let _ = request
                .submission
                .output
                .send(OutputEvent::Done { cached_tokens });
            seen.end_request(request.submission.index, RequestOutcome::Finished);
        }
    }

    fn drop_cancelled(&mut self, seen: &mut SeenLog) {
        let running = self
            .running
            .extract_if(.., |request| request.submission.output.is_closed());
        for request in running {
            seen.end_request(request.submission.index, RequestOutcome::Cancelled);
        }
        self.waiting.retain(|_, submission| {
            let cancelled = submission.output.is_closed();
            if cancelled {
                seen.end_request(submission.index, RequestOutcome::Cancelled);
            }
            !cancelled
        });
    }

    fn admit(&mut self, options: &EngineOptions, cache: &mut PrefixCache) {
        while self.running.len() < options.slots as usize {
            let Some(next) = self.waiting.first_entry() else {
                return;
            };
            let used: u64 = self.running.iter().map(RunningRequest::max_kv_tokens).sum();
            let wanted = next.get().prompt_tokens + next.get().output_tokens;
            if !self.running.is_empty() && used + wanted > options.kv_total_tokens {
                return;
            }
            let submission = next.remove();
            let cached_tokens = cache.touch_prefix(&submission.blocks);
            self.running.push(RunningRequest::new(submission, cached_tokens));
        }
    }

    fn assign_prefill(&mut self, chunk: u64) -> u64 {
        let mut left = chunk;
        for request in &mut self.running {
            request.prefill_assigned = request.prefill_left.min(left);
            left -= request.prefill_assigned;
        }
        chunk - left
    }
}

impl RunningRequest {
    // KV cache that the request uses when it finishes.
    fn max_kv_tokens(&self) -> u64 {
        self.submission.prompt_tokens + self.submission.output_tokens
    }
}

/// Duration of a step without prefill, in seconds.
pub(super) fn step_seconds(options: &EngineOptions, decoding: usize) -> f64 {
    let others = decoding.saturating_sub(1) as f64;
    (1.0 + options.batch_slowdown * others) / options.decode_tokens_per_s
}
