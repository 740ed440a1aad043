//! Right of the holder of the duties to send calls, where the receivers check no fencing number.
//!
//! The rule is in `marigoldlock_core::gateway::duty`. Before a call the holder appends a renewal to the duties stream, unless a
//! recent append was confirmed. The call itself checks the right again, right before its bytes are written.

use std::fmt;
use std::sync::Arc;
use std::time::Duration;

use marigoldlock_core::gateway::adapter::SendGuard;
use marigoldlock_core::gateway::duty::{DutyRecord, SEND_SHARE};

use super::Gateway;
use super::duty_log::DutyLog;

/// Reason why a call was not sent.
pub const NO_RIGHT: &str = "the lease is not certain";

/// Guard of the calls of one holder.
struct LeaseGuard {
    gateway: Arc<Gateway>,
    fence: u64,
}

impl fmt::Debug for LeaseGuard {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        formatter
            .debug_struct("LeaseGuard")
            .field("fence", &self.fence)
            .finish_non_exhaustive()
    }
}

impl SendGuard for LeaseGuard {
    fn may_send(&self) -> bool {
        let lease = self.gateway.bounds().lease;
        let state = self.gateway.state();
        // The clock is read last: waiting for the lock may take time.
        let is_holder = state.duty_fence == Some(self.fence);
        is_holder && state.duty_state.may_send(self.fence, self.gateway.now(), lease)
    }

    fn flight_time(&self) -> Duration {
        self.gateway.bounds().lease.mul_f64(1.0 - SEND_SHARE)
    }
}

/// Result of a request for the right to send.
#[derive(Debug)]
pub enum SendRight {
    /// The receivers check the fencing number.
    Unguarded,
    /// The call must be sent under this guard.
    Guarded(Arc<dyn SendGuard>),
    /// The call must not be sent now.
    Denied,
}

impl SendRight {
    /// The guard, if the call needs one.
    pub fn guard(&self) -> Option<&Arc<dyn SendGuard>> {
        match self {
            Self::Guarded(guard) => Some(guard),
            Self::Unguarded | Self::Denied => None,
        }
    }

    /// True if the call must not be sent now.
    pub fn is_denied(&self) -> bool {
        matches!(self, Self::Denied)
    }
}

/// Obtains the right to send a call, and renews it at the store if it ends soon.
pub async fn obtain_right(gateway: &Arc<Gateway>, fence: u64) -> SendRight {
    if gateway.bounds().requires_fence {
        return SendRight::Unguarded;
    }
    let renewing = gateway.renewing.lock().await;
    let (needs_renewal, end) = {
        let now = gateway.now();
        let lease = gateway.bounds().lease;
        let state = gateway.state();
        let duty_state = &state.duty_state;
        let needs_renewal = duty_state.has_waited(now, lease) && duty_state.needs_renewal(now, lease);
        (needs_renewal, duty_state.position())
    };
    if needs_renewal {
        let mut log = DutyLog::new(Arc::clone(gateway));
        log.append(DutyRecord::Renewal { fence }, end).await;
    }
    drop(renewing);
    let guard = LeaseGuard {
        gateway: Arc::clone(gateway),
        fence,
    };
    if guard.may_send() {
        SendRight::Guarded(Arc::new(guard))
    } else {
        metrics::counter!("gateway_duty_calls_withheld_total").increment(1);
        log::info!(fence; "duty call withheld; the lease is not certain");
        SendRight::Denied
    }
}
