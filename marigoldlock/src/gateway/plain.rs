//! Plain services: measurement of their upstreams' speed.

use marigoldlock_core::gateway::prelude::*;

use super::call::Call;

impl Call {
    /// Records how long the upstream took for the request that has just ended there.
    ///
    /// The caller makes sure that the request found a free slot: a wait at the upstream says nothing of its speed.
    pub fn record_service_time(&self, entry: &UpstreamEntry) {
        let now = self.gateway.now();
        let elapsed = now.since(self.sent_at);
        self.gateway.state().record_time(entry, 1, elapsed, now);
    }
}
