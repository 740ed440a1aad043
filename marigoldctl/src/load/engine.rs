//! Model of one upstream with continuous batching, chunked prefill, priorities and a prefix cache.
//!
//! Each step decodes one token for every running stream and prefills one chunk of the first waiting prompt. A
//! plain service is modelled as an engine whose requests have no prompt and one output token.

use std::collections::{BTreeMap, VecDeque};

use marigoldlock_core::prelude::*;
use marigoldlock_wire::engine::{
    CACHE_BLOCK_TOKENS, CacheChange, CacheEvent, CacheEvents, EngineRole, LoadReport,
};

use super::experiment::ServiceSpec;

/// How many times larger the chunk of a prefill engine is than that of a mixed engine.
const PREFILL_CHUNK_FACTOR: u64 = 8;

/// How many times smaller the chunk of a decode engine is than that of a mixed engine.
const DECODE_CHUNK_DIVISOR: u64 = 4;

/// Cache events retained for readers; older ones are dropped.
const MAX_CACHE_EVENTS: usize = 4_096;

/// Work of one attempt at an engine.
#[derive(Clone, Debug)]
pub(super) struct EngineWork {
    /// Number of the attempt.
    pub(super) attempt: u64,
    pub(super) priority: usize,
    pub(super) prompt_tokens: u64,
    /// Prompt tokens whose KV cache was copied from another engine.
    pub(super) imported_tokens: u64,
    /// Output tokens to produce; 0 for a prefill whose output another engine decodes.
    pub(super) output_tokens: u64,
    pub(super) prefixes: std::rc::Rc<[u64]>,
    /// True while the stream is stalled: it produces no tokens but keeps its slot.
    pub(super) stalled: bool,
}

/// Event that a step produced.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(super) enum EngineOutput {
    /// The attempt produced a token; `first` marks its first one.
    Token { attempt: u64, first: bool },
    /// The attempt is complete.
    Finished { attempt: u64 },
}

#[derive(Clone, Debug)]
struct RunningStream {
    work: EngineWork,
    produced: u64,
}

#[derive(Clone, Debug)]
struct PromptState {
    work: EngineWork,
    /// Tokens left to prefill; `None` before the first chunk.
    remaining: Option<u64>,
}

/// Simulated engine.
#[derive(Debug)]
pub(super) struct EngineModel {
    spec: ServiceSpec,
    pub(super) role: EngineRole,
    pub(super) incarnation: u64,
    /// Prompts not prefilled yet or only in part, by priority and arrival; the next step continues the first.
    prompts: BTreeMap<(usize, u64), PromptState>,
    running: Vec<RunningStream>,
    arrivals: u64,
    sequence: u64,
    step_chunk: Option<u64>,
    step_prompt: (usize, u64),
    cache: FastMap<u64, u64>,
    cache_order: VecDeque<(u64, u64)>,
    events: VecDeque<CacheEvent>,
    next_event: u64,
    pub(super) slowdown: f64,
    pub(super) silent: bool,
    pub(super) draining: bool,
    pub(super) changing: bool,
    pub(super) stepping: bool,
}

impl EngineModel {
    pub(super) fn new(spec: &ServiceSpec, role: EngineRole, incarnation: u64) -> Self {
        Self {
            spec: spec.clone(),
            role,
            incarnation,
            prompts: BTreeMap::new(),
            running: Vec::new(),
            arrivals: 0,
            sequence: 0,
            step_chunk: None,
            step_prompt: (0, 0),
            cache: FastMap::default(),
            cache_order: VecDeque::new(),
            events: VecDeque::new(),
            next_event: 0,
            slowdown: 1.0,
            silent: false,
            draining: false,
            changing: false,
            stepping: false,
        }
    }

    /// Queues work behind earlier work of the same priority.
    pub(super) fn accept(&mut self, work: EngineWork) {
        self.arrivals += 1;
        let key = (work.priority, self.arrivals);
        self.prompts.insert(
            key,
            PromptState {
                work,
                remaining: None,
            },
        );
    }

    /// Removes an attempt and returns true if the engine had it.
    pub(super) fn cancel(&mut self, attempt: u64) -> bool {
        let before = self.load();
        self.prompts.retain(|_, prompt| prompt.work.attempt != attempt);
        self.running.retain(|stream| stream.work.attempt != attempt);
        self.load() < before
    }

    /// Stalls an attempt's stream, or lets it continue.
    pub(super) fn set_stalled(&mut self, attempt: u64, stalled: bool) {
        let waiting = self.prompts.values_mut().map(|prompt| &mut prompt.work);
        let running = self.running.iter_mut().map(|stream| &mut stream.work);
        for work in waiting.chain(running).filter(|work| work.attempt == attempt) {
            work.stalled = stalled;
        }
    }

    /// Number of requests waiting and running.
    pub(super) fn load(&self) -> usize {
        self.prompts.len() + self.running.len()
    }

    /// Restarts the engine, which loses its requests, cache and events.
    pub(super) fn restart(&mut self) {
        self.incarnation += 1;
        self.prompts.clear();
        self.running.clear();
        self.cache.clear();
        self.cache_order.clear();
        self.events.clear();
        self.next_event = 0;
        self.sequence = 0;
    }

    /// Maximum number of concurrent streams in the current role.
    pub(super) fn slots(&self) -> u32 {
        match self.role {
            EngineRole::Decode => (f64::from(self.spec.slots) * self.spec.role_gain) as u32,
            _ => self.spec.slots,
        }
    }

    fn prefill_rate(&self) -> f64 {
        match self.role {
            EngineRole::Prefill => self.spec.prefill_tokens_per_s * self.spec.role_gain,
            _ => self.spec.prefill_tokens_per_s,
        }
    }

    fn chunk(&self) -> u64 {
        match self.role {
            EngineRole::Prefill => self.spec.chunk_tokens * PREFILL_CHUNK_FACTOR,
            EngineRole::Decode => self.spec.chunk_tokens / DECODE_CHUNK_DIVISOR,
            // Without running streams to delay, a larger chunk costs nothing.
            EngineRole::Mixed if self.running.is_empty() => self.spec.chunk_tokens * 2,
            EngineRole::Mixed => self.spec.chunk_tokens,
        }
    }

    /// Begins a step and returns its duration in microseconds; `None` if there is nothing to do.
    pub(super) fn begin_step(&mut self) -> Option<u64> {
        if self.silent || self.changing {
            return None;
        }
        let streams = self.running.iter().filter(|stream| !stream.work.stalled).count();
        self.step_chunk = self.next_chunk();
        if streams == 0 && self.step_chunk.is_none() {
            return None;
        }
        let mut step_s = 0.0;
        if streams > 0 {
            step_s += (self.spec.step_ms + self.spec.step_per_stream_ms * streams as f64) / 1e3;
        }
        if let Some(chunk) = self.step_chunk {
            step_s += (chunk as f64 / self.prefill_rate()).max(1e-3);
        }
        Some((step_s * self.slowdown * 1e6) as u64)
    }

    /// Tokens of the first prompt that the next step prefills; `None` without a prompt or a free slot.
    fn next_chunk(&mut self) -> Option<u64> {
        if self.running.len() >= self.slots() as usize {
            return None;
        }
        let (&key, prompt) = self.prompts.first_key_value()?;
        let remaining = match prompt.remaining {
            Some(remaining) => remaining,
            None => {
                let cached = self
                    .cached_tokens(&prompt.work.prefixes)
                    .max(prompt.work.imported_tokens);
                prompt.work.prompt_tokens.saturating_sub(cached)
            }
        };
        let chunk = remaining.min(self.chunk());
        if let Some(prompt) = self.prompts.get_mut(&key) {
            prompt.remaining = Some(remaining);
        }
        self.step_prompt = key;
        Some(chunk)
    }

    /// Ends a step and returns what it produced.
    pub(super) fn end_step(&mut self) -> Vec<EngineOutput> {
        let mut outputs = Vec::new();
        for stream in self.running.iter_mut().filter(|stream| !stream.work.stalled) {
            stream.produced += 1;
            let attempt = stream.work.attempt;
            outputs.push(EngineOutput::Token {
                attempt,
                first: false,
            });
            if stream.produced >= stream.work.output_tokens {
                outputs.push(EngineOutput::Finished { attempt });
            }
        }
        self.running
            .retain(|stream| stream.produced < stream.work.output_tokens);
        if let Some(chunk) = self.step_chunk.take() {
            self.end_chunk(chunk, &mut outputs);
        }
        outputs
    }

    fn end_chunk(&mut self, chunk: u64, outputs: &mut Vec<EngineOutput>) {
        // The prompt may have been cancelled during the step.
        let Some(prompt) = self.prompts.get_mut(&self.step_prompt) else {
            return;
        };
        let remaining = prompt.remaining.unwrap_or(0).saturating_sub(chunk);
        prompt.remaining = Some(remaining);
        if remaining > 0 {
            return;
        }
        let Some(PromptState { work, .. }) = self.prompts.remove(&self.step_prompt) else {
            return;
        };
        let attempt = work.attempt;
        self.store(&work.prefixes);
        if work.output_tokens == 0 {
            outputs.push(EngineOutput::Finished { attempt });
            return;
        }
        outputs.push(EngineOutput::Token { attempt, first: true });
        if work.output_tokens == 1 {
            outputs.push(EngineOutput::Finished { attempt });
            return;
        }
        self.running.push(RunningStream { work, produced: 1 });
    }

    /// Number of prompt tokens that are in the prefix cache.
    pub(super) fn cached_tokens(&self, prefixes: &[u64]) -> u64 {
        let blocks = prefixes
            .iter()
            .take_while(|prefix| self.cache.contains_key(prefix))
            .count();
        (blocks * CACHE_BLOCK_TOKENS) as u64
    }

    /// Stores prefixes in the cache and evicts the least recently used ones.
    fn store(&mut self, prefixes: &[u64]) {
        let capacity = self.spec.cache_tokens / CACHE_BLOCK_TOKENS as u64;
        for &prefix in prefixes {
            self.arrivals += 1;
            if self.cache.insert(prefix, self.arrivals).is_none() {
                self.record_cache_event(CacheChange::Stored, prefix);
            }
            self.cache_order.push_back((prefix, self.arrivals));
        }
        while self.cache.len() as u64 > capacity {
            let Some((prefix, used)) = self.cache_order.pop_front() else {
                break;
            };
            if self.cache.get(&prefix) == Some(&used) {
                self.cache.remove(&prefix);
                self.record_cache_event(CacheChange::Evicted, prefix);
            }
        }
    }

    fn record_cache_event(&mut self, change: CacheChange, prefix: u64) {
        let sequence = self.next_event;
        self.next_event += 1;
        self.events.push_back(CacheEvent {
            sequence,
            change,
            prefix,
        });
        if self.events.len() > MAX_CACHE_EVENTS {
            self.events.pop_front();
        }
    }

    /// Cache events from sequence number `from` on; dropped events leave a gap.
    pub(super) fn cache_events(&self, from: u64) -> CacheEvents {
        let events = self.events.iter().filter(|event| event.sequence >= from);
        CacheEvents {
            incarnation: Incarnation(self.incarnation),
            next: self.next_event,
            events: events.copied().collect(),
        }
    }

    /// Creates the next load report.
    pub(super) fn report(&mut self, age_ms: u64) -> LoadReport {
        self.sequence += 1;
        let remaining = |prompt: &PromptState| prompt.remaining.unwrap_or(prompt.work.prompt_tokens);
        let backlog = self.prompts.values().map(remaining).sum();
        let streams = self.running.len().max(1) as f64;
        let step_ms = self.spec.step_ms + self.spec.step_per_stream_ms * streams;
        LoadReport {
            incarnation: Incarnation(self.incarnation),
            sequence: self.sequence,
            age_ms,
            role: self.role,
            changing: self.changing || self.draining,
            running: self.running.len() as u32,
            queued: self.prompts.len() as u32,
            prefill_backlog_tokens: backlog,
            kv_used_tokens: 0,
            kv_total_tokens: self.spec.cache_tokens,
            prefill_tokens_per_s: self.prefill_rate(),
            decode_tokens_per_s: 1e3 / step_ms,
            slots: self.slots(),
            models: Vec::new(),
        }
    }
}
