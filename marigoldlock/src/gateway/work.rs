//! Accounts for work at upstreams while it runs.

use std::sync::Arc;

use marigoldlock_core::gateway::prelude::*;
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
    }
}
