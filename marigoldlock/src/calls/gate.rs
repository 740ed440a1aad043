//! Until when a call may be sent.

use std::fmt;
use std::sync::Arc;

use marigoldlock_core::time::MonoTime;

use crate::clock::TimeSource;

/// Checked in the same step as a send.
#[derive(Clone, Default)]
pub struct SendGate {
    limit: Option<(MonoTime, Arc<dyn TimeSource>)>,
}

impl SendGate {
    /// A gate that never closes.
    pub fn open() -> Self {
        Self::default()
    }

    /// A gate that closes at a moment.
    pub fn until(send_by: MonoTime, clock: Arc<dyn TimeSource>) -> Self {
        Self {
            limit: Some((send_by, clock)),
        }
    }

    /// True while the call may be sent.
    pub fn is_open(&self) -> bool {
        self.limit
            .as_ref()
            .is_none_or(|(send_by, clock)| clock.now() < *send_by)
    }
}

impl fmt::Debug for SendGate {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.debug_struct("SendGate")
            .field("send_by", &self.limit.as_ref().map(|(send_by, _)| *send_by))
            .finish()
    }
}
