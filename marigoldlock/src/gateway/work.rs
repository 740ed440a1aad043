//! Accounts for work at upstreams while it runs.

use std::sync::Arc;

use marigoldlock_core::gateway::prelude::*;
use marigoldlock_core::gateway::queue::{QueueTicket, has_room};
use marigoldlock_core::prelude::*;

use super::Gateway;

/// One request at one upstream; counted until it is dropped.
pub struct WorkGuard {
    gateway: Arc<Gateway>,
    upstream: UpstreamId,
    reading_tokens: u64,
}

impl WorkGuard {
    /// Counts a request that is about to be sent, with the prompt tokens to be read for it.
    pub fn open(gateway: &Arc<Gateway>, upstream: &UpstreamId, reading_tokens: u64) -> Self {
        let mut state = gateway.state();
        let own = &mut state.upstream(upstream).own;
        own.requests += 1;
        own.reading_tokens += reading_tokens;
        Self {
            gateway: Arc::clone(gateway),
            upstream: upstream.clone(),
            reading_tokens,
        }
    }

    /// The prompt is read; notes which parts the upstream keeps now.
    pub fn finish_reading(&mut self, prompt: &PromptShape, capacity: u64) {
        let tokens = std::mem::take(&mut self.reading_tokens);
        let mut state = self.gateway.state();
        let upstream = state.upstream(&self.upstream);
        upstream.own.reading_tokens = upstream.own.reading_tokens.saturating_sub(tokens);
        upstream.prefix.record(&prompt.parts, capacity);
    }
}

impl Drop for WorkGuard {
    fn drop(&mut self) {
        let mut state = self.gateway.state();
        let own = &mut state.upstream(&self.upstream).own;
        own.requests = own.requests.saturating_sub(1);
        own.reading_tokens = own.reading_tokens.saturating_sub(self.reading_tokens);
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
        state.queue.join(reader, ticket);
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
        state.queue.is_first(&self.reader, self.ticket) && reader.is_none_or(has_room)
    }
}

impl Drop for WaitGuard {
    fn drop(&mut self) {
        let mut state = self.gateway.state();
        state.queue.leave(&self.reader, self.ticket);
        let own = &mut state.upstream(&self.reader).own;
        own.waiting_tokens = own.waiting_tokens.saturating_sub(self.tokens);
    }
}
