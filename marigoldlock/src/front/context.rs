//! State shared by the request handlers.

use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex, PoisonError};
use std::time::Duration;

use derive_more::Deref;
use marigoldlock_core::keys::FreshnessVerdict;
use marigoldlock_core::relay::{BudgetLimits, RetryBudget};
use marigoldlock_core::settings::ActiveSettings;
use marigoldlock_core::time::MonoTime;
use marigoldlock_wire::prelude::*;

use super::refusals::RefusalCounters;
use super::reject::Rejection;
use crate::calls::CallService;
use crate::clock::TimeSource;
use crate::dispatch::DispatchHandle;
use crate::jobs::JobHandle;
use crate::members::MemberHandle;
use crate::settings::SettingsHandle;
use crate::upstream::UpstreamClient;
use crate::usage::UsageMeter;

/// `Retry-After` while the instance can't serve requests.
const NOT_SERVING_RETRY: Duration = Duration::from_secs(1);

/// Limits on requests.
#[derive(Clone, Copy, Debug)]
pub struct FrontLimits {
    /// Maximum time without receiving any bytes of a request body.
    pub body_idle_timeout: Duration,
}

/// Parts that a [`FrontContext`] is built from.
pub struct FrontParts {
    /// Name of the instance.
    pub name: InstanceId,
    /// Incarnation of the instance.
    pub incarnation: Incarnation,
    /// Data centre of the instance.
    pub data_centre: DataCentre,
    /// Address given out to callers.
    pub address: String,
    /// Clock of the instance.
    pub clock: Arc<dyn TimeSource>,
    /// Settings in force.
    pub settings: SettingsHandle,
    /// Handle to the dispatch actor.
    pub dispatch: DispatchHandle,
    /// The other instances.
    pub members: MemberHandle,
    /// Client for upstreams.
    pub upstreams: UpstreamClient,
    /// Non-idempotent calls.
    pub calls: CallService,
    /// Batch jobs.
    pub jobs: JobHandle,
    /// Meter of the customers' usage.
    pub usage: UsageMeter,
    /// Limits on requests.
    pub limits: FrontLimits,
    /// True once the instance shuts down.
    pub leaving: Arc<AtomicBool>,
}

/// State shared by the request handlers.
#[derive(Deref)]
pub struct FrontContext {
    #[deref]
    parts: FrontParts,
    /// Counters of refused and failed requests.
    pub refusals: RefusalCounters,
    budget: Mutex<RetryBudget>,
}

impl FrontContext {
    /// Creates the context from its parts.
    pub fn new(parts: FrontParts) -> Self {
        let budget = RetryBudget::new(BudgetLimits::default(), parts.clock.now());
        Self {
            parts,
            refusals: RefusalCounters::default(),
            budget: Mutex::new(budget),
        }
    }

    /// Current time.
    pub fn now(&self) -> MonoTime {
        self.clock.now()
    }

    /// The settings in force, if requests may be served now.
    ///
    /// # Errors
    ///
    /// Rejects requests while the settings are not known to be fresh enough.
    pub fn serving_settings(&self) -> Result<Arc<ActiveSettings>, Rejection> {
        if let FreshnessVerdict::Refuse(code) = self.settings.verdict(self.now()) {
            return Err(Rejection::new(code).retry_after(NOT_SERVING_RETRY));
        }
        Ok(self.settings.active())
    }

    /// True once the instance shuts down.
    pub fn is_leaving(&self) -> bool {
        self.leaving.load(Ordering::Relaxed)
    }

    /// Marks the instance as shutting down, which removes it from the address answer.
    pub fn set_leaving(&self) {
        self.leaving.store(true, Ordering::Relaxed);
    }

    /// Calls `use_budget` with the retry budget.
    pub fn with_budget<T>(&self, use_budget: impl FnOnce(&mut RetryBudget) -> T) -> T {
        use_budget(&mut self.budget.lock().unwrap_or_else(PoisonError::into_inner))
    }

    /// Generates a request id.
    pub fn new_request(&self) -> RequestId {
        RequestId(rand::random())
    }
}
