//! Accounts for work at upstreams while it runs.

use std::sync::Arc;

use marigoldlock_core::gateway::prelude::*;
use marigoldlock_core::gateway::queue::{QueueTicket, can_accept_prompt};
use marigoldlock_core::prelude::*;

use super::Gateway;

/// One request at one upstream; counted until it is dropped.
pub struct WorkGuard {
    gateway: Arc<Gateway>,
    upstream: UpstreamId,
    prefill_tokens: u64,
}

impl WorkGuard {
    /// Counts a request that is about to be sent, with the prompt tokens to be read for it.
    pub fn open(gateway: &Arc<Gateway>, upstream: &UpstreamId, prefill_tokens: u64) -> Self {
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

    /// The prompt is read; notes which parts the upstream keeps now.
    pub fn finish_reading(&mut self, prompt: &PromptShape, capacity: u64) {
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

/// One request that waits for a reader; out of the queue once it is dropped.
pub struct WaitGuard {
    gateway: Arc<Gateway>,
    reader: UpstreamId,
    ticket: QueueTicket,
    tokens: u64,
}

impl WaitGuard {
    /// Puts a request into a reader's queue, with the prompt tokens to be read for it.
    pub fn open(gateway: &Arc<Gateway>, reader: &UpstreamId, ticket: QueueTicket, tokens: u64) -> Self {
        let mut state = gateway.state();
        state.queue.insert(reader, ticket);
        state.upstream(reader).own.waiting_tokens += tokens;
        Self {
            gateway: Arc::clone(gateway),
            reader: reader.clone(),
            ticket,
            tokens,
        }
    }

    /// True if the request is the next of this instance and its reader has room.
    pub fn may_go(&self) -> bool {
        let state = self.gateway.state();
        let reader = state.upstreams.get(&self.reader);
        state.queue.is_first(&self.reader, self.ticket) && reader.is_none_or(can_accept_prompt)
    }
}

impl Drop for WaitGuard {
    fn drop(&mut self) {
        let mut state = self.gateway.state();
        state.queue.remove(&self.reader, self.ticket);
        let own = &mut state.upstream(&self.reader).own;
        own.waiting_tokens = own.waiting_tokens.saturating_sub(self.tokens);
    }
}
