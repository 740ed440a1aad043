//! Rate-limited store of model weights, which engines may share.

use std::sync::{Arc, Mutex};
use std::time::Duration;

use tokio::time::Instant;

/// Handle on a weight store; loads are served one after another.
#[derive(Clone, Debug)]
pub struct WeightStore {
    load: Duration,
    free_at: Arc<Mutex<Option<Instant>>>,
}

impl WeightStore {
    /// Store that needs `load_ms` milliseconds for a model.
    pub fn new(load_ms: u64) -> Self {
        Self {
            load: Duration::from_millis(load_ms),
            free_at: Arc::default(),
        }
    }

    /// Queues a load, and gives the time at which the model is there.
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
