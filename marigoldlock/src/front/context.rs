//! What the request handlers share.

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

/// Time to come back when the instance can't serve for now.
const NOT_SERVING_RETRY: Duration = Duration::from_secs(1);

/// Bounds on requests.
#[derive(Clone, Copy, Debug)]
pub struct FrontLimits {
    /// Longest silence within a body.
    pub send_silence: Duration,
}

/// What the request handlers are given.
pub struct FrontParts {
    /// Name of the instance.
    pub name: InstanceId,
    /// Start of the instance.
    pub incarnation: Incarnation,
    /// Data centre of the instance.
    pub data_centre: DataCentre,
    /// Address told to callers.
    pub address: String,
    /// Clock of the instance.
    pub clock: Arc<dyn TimeSource>,
    /// Settings in force.
    pub settings: SettingsHandle,
    /// Way to the dispatch actor.
    pub dispatch: DispatchHandle,
    /// The other instances.
    pub members: MemberHandle,
    /// Clients towards upstreams.
    pub upstreams: UpstreamClient,
    /// Calls that may not be repeated.
    pub calls: CallService,
    /// Long work.
    pub jobs: JobHandle,
    /// Usage of customers.
    pub usage: UsageMeter,
    /// Bounds on requests.
    pub limits: FrontLimits,
    /// True once the instance shuts down.
    pub leaving: Arc<AtomicBool>,
}

/// What the request handlers share.
#[derive(Deref)]
pub struct FrontContext {
    #[deref]
    parts: FrontParts,
    /// Refused and failed requests.
    pub refusals: RefusalCounters,
    budget: Mutex<RetryBudget>,
}

impl FrontContext {
    /// A context around the parts.
    pub fn new(parts: FrontParts) -> Self {
        let budget = RetryBudget::new(BudgetLimits::default(), parts.clock.now());
        Self {
            parts,
            refusals: RefusalCounters::default(),
            budget: Mutex::new(budget),
        }
    }

    /// The time.
    pub fn now(&self) -> MonoTime {
        self.clock.now()
    }

    /// The settings in force, if requests may be served now.
    ///
    /// # Errors
    ///
    /// Rejects requests while the instance leaves, or can't prove that its settings are current.
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

    /// Takes the instance out of the address answer.
    pub fn set_leaving(&self) {
        self.leaving.store(true, Ordering::Relaxed);
    }

    /// Uses the retry budget.
    pub fn with_budget<T>(&self, use_budget: impl FnOnce(&mut RetryBudget) -> T) -> T {
        use_budget(&mut self.budget.lock().unwrap_or_else(PoisonError::into_inner))
    }

    /// A new request id.
    pub fn new_request(&self) -> RequestId {
        RequestId(rand::random())
    }
}
