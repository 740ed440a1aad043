//! State of an engine: batch, cache, role, models, and the orders that change them.
//!
//! Nothing here waits: a change that takes time is completed by the first access after its end time.

use std::time::Duration;

use marigoldlock_wire::engine::{
    CacheEvents, ChatRequest, EngineAction, EngineOrder, EngineRole, KvTransfer, LoadReport, prefix_hashes,
    prompt_tokens,
};
use marigoldlock_wire::ids::Incarnation;
use tokio::sync::mpsc::{self, UnboundedReceiver};
use tokio::time::Instant;

use super::batch::{OutputEvent, RequestBatch, Submission, step_seconds};
use super::cache::PrefixCache;
use super::options::EngineOptions;
use super::refusal::EngineRefusal;
use super::seen::{EngineSeen, RequestOutcome, SeenLog, SeenRequest};
use super::setup::{ChangeQueue, EngineSetup};
use super::text::expected_text;
use crate::load::LoadHistory;

/// State of an engine.
#[derive(Debug)]
pub(super) struct EngineState {
    options: EngineOptions,
    incarnation: Incarnation,
    setup: EngineSetup,
    changes: ChangeQueue,
    batch: RequestBatch,
    cache: PrefixCache,
    load: LoadHistory,
    seen: SeenLog,
}

impl EngineState {
    /// Creates the state of a newly started engine.
    pub(super) fn new(options: EngineOptions) -> Self {
        let incarnation = options.incarnation.unwrap_or_else(|| Incarnation(rand::random()));
        let mut state = Self {
            incarnation,
            setup: EngineSetup::new(&options),
            changes: ChangeQueue::default(),
            batch: RequestBatch::default(),
            cache: PrefixCache::default(),
            load: LoadHistory::new(options.load_lag_ms),
            seen: SeenLog::default(),
            options,
        };
        state.record_load(Instant::now());
        state
    }

    /// Restarts the engine: cuts all requests and resets everything to the options.
    pub(super) fn restart(&mut self, now: Instant) {
        self.batch.cut_all(&mut self.seen);
        self.cache = PrefixCache::default();
        self.incarnation = Incarnation(self.incarnation.0.wrapping_add(1));
        self.setup = EngineSetup::new(&self.options);
        self.changes = ChangeQueue::default();
        self.record_load(now);
    }

    /// Queues a request and returns the channel for its output.
    ///
    /// # Errors
    ///
    /// If the engine refuses the request; nothing has run then.
    pub(super) fn submit(
        &mut self,
        request: &ChatRequest,
        mut record: SeenRequest,
        now: Instant,
    ) -> Result<UnboundedReceiver<OutputEvent>, EngineRefusal> {
        self.finish_due_changes(now);
        let blocks = prefix_hashes(&request.messages);
        let prompt_tokens = prompt_tokens(&request.messages);
        let output_tokens = request.max_tokens.unwrap_or(self.options.default_tokens);
        let resumed_tokens = request.resume.as_ref().map_or(0, |resume| resume.tokens);
        record.model = Some(request.model.clone());
        record.prompt_tokens = prompt_tokens;
        record.output_tokens = output_tokens;
        record.resumed_tokens = resumed_tokens;
        if let Some(refusal) = self.refusal(request, &blocks, prompt_tokens, output_tokens) {
            record.outcome = RequestOutcome::Refused;
            self.seen.add_request(record);
            return Err(refusal);
        }
        if let Some(resume) = &request.resume {
            record.resume_differs = resume.text != expected_text(&request.messages, resume.tokens);
        }
        let priority = record.priority;
        let index = self.seen.add_request(record);
        let (output, events) = mpsc::unbounded_channel();
        self.batch.submit(Submission {
            index,
            priority,
            blocks,
            prompt_tokens,
            resumed_tokens,
            output_tokens,
            output,
        });
        self.record_load(now);
        Ok(events)
    }

    /// Begins a step of the batch and returns its duration; `None` if there is nothing to do.
    pub(super) fn begin_step(&mut self, now: Instant) -> Option<Duration> {
        self.finish_due_changes(now);
        let slowdown = match self.setup.role {
            EngineRole::Mixed | EngineRole::Prefill => 1.0,
            EngineRole::Decode => self.options.decode_prefill_slowdown,
        };
        let step = self
            .batch
            .begin_step(&self.options, slowdown, &mut self.cache, &mut self.seen);
        if step.is_none() {
            self.record_load(now);
        }
        step
    }

    /// Ends the current step.
    pub(super) fn end_step(&mut self, now: Instant) {
        self.batch.end_step(&mut self.cache, &mut self.seen, now);
        let capacity = self
            .options
            .kv_total_tokens
            .saturating_sub(self.batch.kv_tokens());
        self.cache.shrink(capacity, now);
        self.record_load(now);
    }

    /// Handles an order; returns false if its fencing number was refused.
    pub(super) fn order(&mut self, order: EngineOrder, time_ms: u64, now: Instant) -> bool {
        self.finish_due_changes(now);
        let action = order.action.clone();
        let accepted = self.seen.add_order(order, self.options.check_fence, time_ms);
        if accepted {
            self.begin_change(action, now);
            self.record_load(now);
        }
        accepted
    }

    /// Load report as readers currently see it.
    pub(super) fn load_report(&mut self, now: Instant) -> LoadReport {
        self.finish_due_changes(now);
        self.load.report(now)
    }

    /// Cache events as readers currently see them.
    pub(super) fn cache_events(&self, from: u64, now: Instant) -> CacheEvents {
        let lag = Duration::from_millis(self.options.event_lag_ms);
        let (events, next) = self.cache.events(from, lag, self.options.event_gap, now);
        CacheEvents {
            incarnation: self.incarnation,
            next,
            events,
        }
    }

    /// Exports the leading blocks of a prefix that are cached here.
    pub(super) fn export(&mut self, wanted: &KvTransfer) -> KvTransfer {
        let tokens = self.cache.touch_prefix(&wanted.prefixes);
        let cached = self.cache.count_prefix(&wanted.prefixes);
        KvTransfer {
            prefixes: wanted.prefixes[..cached].to_vec(),
            tokens,
        }
    }

    /// Caches blocks that another engine exported.
    pub(super) fn import(&mut self, transfer: &KvTransfer, now: Instant) {
        self.cache.store(&transfer.prefixes, now);
        let capacity = self
            .options
            .kv_total_tokens
            .saturating_sub(self.batch.kv_tokens());
        self.cache.shrink(capacity, now);
        self.record_load(now);
    }

    /// Requests and orders received so far.
    pub(super) fn seen(&self) -> EngineSeen {
        self.seen.seen()
    }

    /// Records a request that is answered outside the batch.
    pub(super) fn record_request(&mut self, record: SeenRequest) -> u64 {
        self.seen.add_request(record)
    }

    /// Role, models, adapters and version, as of now.
    pub(super) fn setup(&mut self, now: Instant) -> EngineSetup {
        self.finish_due_changes(now);
        self.setup.clone()
    }

    fn refusal(
        &self,
        request: &ChatRequest,
        blocks: &[u64],
        prompt_tokens: u64,
        output_tokens: u64,
    ) -> Option<EngineRefusal> {
        let context = prompt_tokens.saturating_add(output_tokens);
        let limit = self.options.context_tokens.min(self.options.kv_total_tokens);
        if context > limit {
            return Some(EngineRefusal::TooLong);
        }
        if !self.setup.serves(&request.model) {
            return Some(EngineRefusal::UnknownModel);
        }
        if self.setup.changing {
            return Some(EngineRefusal::Changing);
        }
        if self.setup.draining {
            return Some(EngineRefusal::Draining);
        }
        if self.batch.queued() >= self.options.queue_limit {
            return Some(EngineRefusal::QueueFull);
        }
        let cached = self.cache.count_prefix(blocks) * marigoldlock_wire::engine::CACHE_BLOCK_TOKENS;
        let uncached = prompt_tokens.saturating_sub(cached as u64);
        let fits = match self.setup.role {
            EngineRole::Mixed => true,
            EngineRole::Prefill => output_tokens <= 1,
            EngineRole::Decode => self
                .options
                .decode_prompt_tokens
                .is_none_or(|limit| uncached <= limit),
        };
        (!fits).then_some(EngineRefusal::WrongRole)
    }

    fn begin_change(&mut self, action: EngineAction, now: Instant) {
        let is_exclusive = self.changes.begin(action, &mut self.setup, &self.options, now);
        if is_exclusive {
            self.batch.cut_all(&mut self.seen);
            self.cache = PrefixCache::default();
        }
    }

    fn finish_due_changes(&mut self, now: Instant) {
        while let Some(ended_at) = self.changes.finish_next(&mut self.setup, now) {
            self.record_load(ended_at);
        }
    }

    fn record_load(&mut self, now: Instant) {
        let running = self.batch.running();
        let speed = 1.0 / step_seconds(&self.options, self.batch.decoding());
        let figures = LoadReport {
            incarnation: self.incarnation,
            role: self.setup.role,
            changing: self.setup.changing,
            running: running as u32,
            queued: self.batch.queued() as u32,
            prefill_backlog_tokens: self.batch.prefill_backlog(),
            kv_used_tokens: self.batch.kv_tokens() + self.cache.tokens(),
            kv_total_tokens: self.options.kv_total_tokens,
            prefill_tokens_per_s: self.options.prefill_tokens_per_s,
            decode_tokens_per_s: speed,
            slots: self.options.slots,
            models: self.setup.models.clone(),
            ..LoadReport::default()
        };
        self.load.record(figures, now);
    }
}
