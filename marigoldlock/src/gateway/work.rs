//! Tracks this instance's work at upstreams while it is queued or running.

use std::sync::Arc;

use marigoldlock_core::gateway::prelude::*;
use marigoldlock_core::gateway::queue::{QueueTicket, can_accept_prompt};
use marigoldlock_core::prelude::*;

use super::Gateway;

/// A request at an upstream; counted until the guard is dropped.
pub struct WorkGuard {
    gateway: Arc<Gateway>,
    upstream: UpstreamId,
    prefill_tokens: u64,
}

impl WorkGuard {
    /// Counts a request that is about to be sent, with the prompt tokens to prefill for it.
    pub fn new(gateway: &Arc<Gateway>, upstream: &UpstreamId, prefill_tokens: u64) -> Self {
        let mut state = gateway.state();
        let own = &mut state.upstream(upstream).own;
        own.requests += 1;
        own.prefill_tokens += prefill_tokens;
        Self {
            gateway: Arc::clone(gateway),
            upstream: upstream.clone(),
            prefill_tokens,
        }
    }

    /// Records that the prefill is done and which prompt parts the upstream has cached.
    pub fn finish_prefill(&mut self, prompt: &PromptShape, capacity: u64) {
        let tokens = std::mem::take(&mut self.prefill_tokens);
        let mut state = self.gateway.state();
        let upstream = state.upstream(&self.upstream);
        upstream.own.prefill_tokens = upstream.own.prefill_tokens.saturating_sub(tokens);
        upstream.prefix.record(&prompt.parts, capacity);
    }
}

impl Drop for WorkGuard {
    fn drop(&mut self) {
        let mut state = self.gateway.state();
        let own = &mut state.upstream(&self.upstream).own;
        own.requests = own.requests.saturating_sub(1);
        own.prefill_tokens = own.prefill_tokens.saturating_sub(self.prefill_tokens);
        drop(state);
        self.gateway.work_changed.notify_waiters();
    }
}

/// A request that waits for a prefill engine; it leaves the queue when the guard is dropped.
pub struct WaitGuard {
    gateway: Arc<Gateway>,
    engine: UpstreamId,
    ticket: QueueTicket,
    tokens: u64,
}

impl WaitGuard {
    /// Adds a request to an engine's queue, with the prompt tokens to prefill for it.
    pub fn new(gateway: &Arc<Gateway>, engine: &UpstreamId, ticket: QueueTicket, tokens: u64) -> Self {
        let mut state = gateway.state();
        state.prefill_queue.insert(engine, ticket);
        state.upstream(engine).own.waiting_tokens += tokens;
        Self {
            gateway: Arc::clone(gateway),
            engine: engine.clone(),
            ticket,
            tokens,
        }
    }

    /// True if the request is the first of this instance and the engine can accept it.
    pub fn may_start(&self) -> bool {
        let state = self.gateway.state();
        let engine = state.upstreams.get(&self.engine);
        state.prefill_queue.is_first(&self.engine, self.ticket) && engine.is_none_or(can_accept_prompt)
    }
}

impl Drop for WaitGuard {
    fn drop(&mut self) {
        let mut state = self.gateway.state();
        state.prefill_queue.remove(&self.engine, self.ticket);
        let own = &mut state.upstream(&self.engine).own;
        own.waiting_tokens = own.waiting_tokens.saturating_sub(self.tokens);
    }
}
