//! Whether the store answers an instance, and when it last recovered from an outage.

use crate::time::MonoTime;

/// Contact of an instance with the store.
#[derive(Clone, Copy, Debug, Default)]
pub struct StoreHealth {
    response_at: Option<MonoTime>,
    recovered_at: Option<MonoTime>,
    is_reachable: bool,
    has_failed: bool,
}

impl StoreHealth {
    /// Records a response; returns true if the store was not reachable before. The first response to a new process is
    /// no recovery of the store, unless calls have failed before it.
    pub fn record_response(&mut self, now: MonoTime) -> bool {
        self.response_at = Some(now);
        if std::mem::take(&mut self.has_failed) {
            self.recovered_at = Some(now);
        }
        !std::mem::replace(&mut self.is_reachable, true)
    }

    /// Records a failed call; returns true if the store was reachable before.
    pub fn record_failure(&mut self) -> bool {
        self.has_failed = true;
        std::mem::replace(&mut self.is_reachable, false)
    }

    /// Time of the last response.
    pub fn response_at(&self) -> Option<MonoTime> {
        self.response_at
    }

    /// Time of the last recovery from an outage; `None` before the first one.
    pub fn recovered_at(&self) -> Option<MonoTime> {
        self.recovered_at
    }

    /// False while calls fail, and before the first response.
    pub fn is_reachable(&self) -> bool {
        self.is_reachable
    }
}
