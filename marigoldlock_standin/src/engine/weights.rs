//! Store of model weights with limited throughput, which engines may share.

use std::sync::{Arc, Mutex};
use std::time::Duration;

use tokio::time::Instant;

/// Handle to a weight store; it serves one load at a time.
#[derive(Clone, Debug)]
pub struct WeightStore {
    load: Duration,
    free_at: Arc<Mutex<Option<Instant>>>,
}

impl WeightStore {
    /// Creates a store that takes `load_ms` milliseconds to load a model.
    pub fn new(load_ms: u64) -> Self {
        Self {
            load: Duration::from_millis(load_ms),
            free_at: Arc::default(),
        }
    }

    /// Queues a load and returns the time at which it is done.
    pub(super) fn load(&self, now: Instant) -> Instant {
        let mut free_at = self.free_at.lock().expect("no panic while held");
        let start = free_at.map_or(now, |free_at| free_at.max(now));
        let end = start + self.load;
        *free_at = Some(end);
        end
    }
}

impl Default for WeightStore {
    fn default() -> Self {
        Self::new(5000)
    }
}
