//! What all tasks of a gateway know.

use std::sync::Arc;

use bytes::Bytes;
use marigoldlock_core::gateway::admission::ReadRate;
use marigoldlock_core::gateway::budget::RetryBudget;
use marigoldlock_core::gateway::choice::Candidate;
use marigoldlock_core::gateway::clock::TrueClock;
use marigoldlock_core::gateway::duty::DutyLedger;
use marigoldlock_core::gateway::members::{MemberStage, MemberTable};
use marigoldlock_core::gateway::prelude::*;
use marigoldlock_core::gateway::queue::ReaderQueue;
use marigoldlock_core::gateway::state::UpstreamState;
use marigoldlock_core::gateway::windows::UsageBook;
use marigoldlock_core::prelude::*;

/// Record of an upstream as the store holds it, for instances that can't reach the store.
#[derive(Clone, Debug)]
pub struct RawRecord {
    /// Offset in the stream.
    pub offset: u64,
    /// Value; `None` if the upstream was removed.
    pub value: Option<Bytes>,
}

/// State shared by a gateway's tasks.
#[derive(Default)]
pub struct GatewayState {
    /// Where the instance is in its life.
    pub stage: MemberStage,
    /// Settings in force.
    pub settings: Option<Arc<GatewaySettings>>,
    /// The settings as the store holds them.
    pub settings_raw: Bytes,
    /// Upstreams.
    pub catalog: UpstreamCatalog,
    /// The upstreams' records as the store holds them.
    pub upstreams_raw: FastMap<String, RawRecord>,
    /// Offset up to which the upstreams are known.
    pub upstreams_offset: u64,
    /// Load and health of upstreams.
    pub upstreams: FastMap<UpstreamId, UpstreamState>,
    /// Other instances.
    pub members: MemberTable,
    /// Repeats of requests, by service.
    pub budgets: FastMap<ServiceId, RetryBudget>,
    /// True time.
    pub clock: TrueClock,
    /// Usage counts.
    pub usage: UsageBook,
    /// The duties' stream.
    pub ledger: DutyLedger,
    /// Fencing number, while this instance holds the duties.
    pub duty_fence: Option<u64>,
    /// Upstreams that this instance has ordered to change their role.
    pub changing: FastSet<UpstreamId>,
    /// Requests that wait for a reader.
    pub queue: ReaderQueue,
    /// Reading rate of each service's engines.
    pub rates: FastMap<ServiceId, ReadRate>,
    /// Last return of the store; `None` before the first loss.
    pub store_back: Option<MonoTime>,
    /// False while calls to the store fail.
    pub store_reached: bool,
}

impl GatewayState {
    /// Upstreams of a service that may get work now, with their state; all that are listed if none is healthy.
    pub fn candidates<'a>(
        &'a self,
        service: &'a ServiceId,
        role: impl Fn(UpstreamRole) -> bool,
        tried: &[UpstreamId],
        now: MonoTime,
    ) -> Vec<Candidate<'a>> {
        let is_changing = |id: &UpstreamId| {
            self.changing.contains(id) || self.members.live(now).any(|member| member.changing.contains(id))
        };
        let listed: Vec<Candidate<'a>> = self
            .catalog
            .usable(service)
            .filter(|entry| role(entry.role) && !tried.contains(&entry.id) && !is_changing(&entry.id))
            .filter_map(|entry| {
                let state = self.upstreams.get(&entry.id)?;
                Some(Candidate { entry, state })
            })
            .collect();
        let healthy: Vec<Candidate<'a>> = listed
            .iter()
            .copied()
            .filter(|candidate| candidate.state.is_usable(now))
            .collect();
        if healthy.is_empty() { listed } else { healthy }
    }

    /// State of an upstream, made if it is new.
    pub fn upstream(&mut self, id: &UpstreamId) -> &mut UpstreamState {
        self.upstreams.entry(id.clone()).or_default()
    }

    /// Instances that share the retry budget.
    pub fn instances(&self) -> usize {
        self.members.all().count() + 1
    }
}
