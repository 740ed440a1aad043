//! Deadline for sending a call.

use std::fmt;
use std::sync::Arc;

use marigoldlock_core::time::MonoTime;

use crate::clock::TimeSource;

/// Tells whether a call may still be sent; to be checked immediately before each send.
#[derive(Clone, Default)]
pub struct SendGate {
    deadline: Option<(MonoTime, Arc<dyn TimeSource>)>,
}

impl SendGate {
    /// Creates a gate that never closes.
    pub fn open() -> Self {
        Self::default()
    }

    /// Creates a gate that closes at `send_by`.
    pub fn until(send_by: MonoTime, clock: Arc<dyn TimeSource>) -> Self {
        Self {
            deadline: Some((send_by, clock)),
        }
    }

    /// Returns true while the call may be sent.
    pub fn is_open(&self) -> bool {
        self.deadline
            .as_ref()
            .is_none_or(|(send_by, clock)| clock.now() < *send_by)
    }
}

impl fmt::Debug for SendGate {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.debug_struct("SendGate")
            .field("send_by", &self.deadline.as_ref().map(|(send_by, _)| *send_by))
            .finish()
    }
}
