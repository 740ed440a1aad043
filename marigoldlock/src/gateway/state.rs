//! What all tasks of a gateway know.

use std::hash::{Hash, Hasher};
use std::sync::Arc;

use bytes::Bytes;
use marigoldlock_core::gateway::admission::PrefillRate;
use marigoldlock_core::gateway::budget::RetryBudget;
use marigoldlock_core::gateway::choice::Candidate;
use marigoldlock_core::gateway::clock::FleetClock;
use marigoldlock_core::gateway::duty::DutyState;
use marigoldlock_core::gateway::exchange::FleetView;
use marigoldlock_core::gateway::members::{MemberCard, MemberStage, MemberTable, SyncState};
use marigoldlock_core::gateway::prelude::*;
use marigoldlock_core::gateway::queue::PrefillQueue;
use marigoldlock_core::gateway::state::UpstreamState;
use marigoldlock_core::gateway::usage::UsageCounts;
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
    /// Offset up to which the stream of settings is read.
    pub settings_offset: u64,
    /// Offset up to which the upstreams are known.
    pub upstreams_offset: u64,
    /// Digest of the records of the listed upstreams.
    upstreams_digest: u64,
    /// Load and health of upstreams.
    pub upstreams: FastMap<UpstreamId, UpstreamState>,
    /// Other instances.
    pub members: MemberTable,
    /// Repeats of requests, by service.
    pub budgets: FastMap<ServiceId, RetryBudget>,
    /// True time.
    pub clock: FleetClock,
    /// Usage counts.
    pub usage: UsageCounts,
    /// The duties' stream.
    pub ledger: DutyState,
    /// Fencing number, while this instance holds the duties.
    pub duty_fence: Option<u64>,
    /// Upstreams that this instance has ordered to change their role.
    pub changing: FastSet<UpstreamId>,
    /// Requests that wait for a reader.
    pub queue: PrefillQueue,
    /// Reading rate of each service's engines.
    pub rates: FastMap<ServiceId, PrefillRate>,
    /// Heartbeats sent since the start.
    pub reports_sent: u64,
    /// Last answer of the store.
    pub store_response_at: Option<MonoTime>,
    /// Last return of the store; `None` before the first loss.
    pub store_recovered_at: Option<MonoTime>,
    /// True while the other instances know more and don't tell it.
    pub is_stuck: bool,
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
            self.changing.contains(id)
                || self
                    .members
                    .live(now)
                    .any(|member| member.report.changing.contains(id))
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

    /// How far this instance knows settings and upstreams.
    pub fn sync_state(&self) -> SyncState {
        SyncState {
            settings_version: self.settings.as_ref().map_or(0, |settings| settings.version),
            settings_offset: self.settings_offset,
            upstreams_offset: self.upstreams_offset,
            upstreams_digest: self.upstreams_digest,
        }
    }

    /// Takes a record of an upstream if it is newer than what is known; returns false if not.
    pub fn put_raw(&mut self, key: &str, raw: RawRecord) -> bool {
        let known = self.upstreams_raw.get(key);
        if known.is_some_and(|known| known.offset >= raw.offset) {
            return false;
        }
        let before = known.map_or(0, |known| digest(key, known));
        self.upstreams_digest ^= before ^ digest(key, &raw);
        self.upstreams_raw.insert(key.to_owned(), raw);
        true
    }

    /// True if this instance reads the store itself.
    pub fn is_follower(&self, own: &MemberCard, now: MonoTime) -> bool {
        let members = &self.members;
        self.is_stuck || FleetView { own, members, now }.is_follower()
    }

    /// Last return of the store, as this instance or another saw it.
    pub fn store_recovered_at(&self, own: &MemberCard, now: MonoTime) -> Option<MonoTime> {
        let members = &self.members;
        self.store_recovered_at
            .max(FleetView { own, members, now }.store_recovered_at())
    }

    /// Instances that share the retry budget.
    pub fn instances(&self) -> usize {
        self.members.all().count() + 1
    }
}

/// Digest of one record; removed upstreams count as never listed.
fn digest(key: &str, raw: &RawRecord) -> u64 {
    if raw.value.is_none() {
        return 0;
    }
    let mut hasher = rustc_hash::FxHasher::default();
    (key, raw.offset).hash(&mut hasher);
    hasher.finish()
}
