//! State shared by the tasks of a gateway.

use std::hash::{Hash, Hasher};
use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use marigoldlock_core::gateway::admission::PrefillRate;
use marigoldlock_core::gateway::allowance::AllowanceTable;
use marigoldlock_core::gateway::budget::{BudgetStart, RetryBudget};
use marigoldlock_core::gateway::catalog::RECOVERY_WINDOW;
use marigoldlock_core::gateway::choice::Candidate;
use marigoldlock_core::gateway::clock::FleetClock;
use marigoldlock_core::gateway::crashes::CrashTable;
use marigoldlock_core::gateway::duty::DutyState;
use marigoldlock_core::gateway::era::DepartureTable;
use marigoldlock_core::gateway::exchange::FleetView;
use marigoldlock_core::gateway::hedge::HedgeState;
use marigoldlock_core::gateway::members::{MemberCard, MemberStage, MemberTable, SyncState};
use marigoldlock_core::gateway::news::NewsDate;
use marigoldlock_core::gateway::origins::{OriginTable, StreamKey, VersionHistory};
use marigoldlock_core::gateway::pace::PaceTurn;
use marigoldlock_core::gateway::prelude::*;
use marigoldlock_core::gateway::queue::PrefillQueue;
use marigoldlock_core::gateway::reach::ReachState;
use marigoldlock_core::gateway::speed::{SlownessFactor, SpeedBaseline};
use marigoldlock_core::gateway::state::UpstreamState;
use marigoldlock_core::gateway::store_health::StoreHealth;
use marigoldlock_core::gateway::usage::UsageCounts;
use marigoldlock_core::prelude::*;

use crate::logging::DECISION_TARGET;

use super::crash_check::BrokenAttempt;
use super::era::EraChange;

/// Longest time for which a stream may go on, as a multiple of the longest timeout of a route: a caller's time may be
/// longer than the route's.
const STREAM_LIFETIME_FACTOR: u32 = 2;

/// Shortest value of that time: new settings may shorten the timeouts of streams that go on.
const MIN_STREAM_LIFETIME: Duration = Duration::from_secs(30);

/// Record of an upstream as it is in the store, kept for instances that don't read the store.
#[derive(Clone, Debug)]
pub struct RawRecord {
    /// Position in the stream.
    pub position: StorePosition,
    /// Value; `None` if the upstream was removed.
    pub value: Option<Bytes>,
}

/// State shared by a gateway's tasks.
#[derive(Default)]
pub struct GatewayState {
    /// When the instance started.
    started_at: MonoTime,
    /// Lifecycle stage of the instance.
    pub stage: MemberStage,
    /// Settings in force.
    pub settings: Option<Arc<GatewaySettings>>,
    /// The settings record as it is in the store.
    pub settings_raw: Bytes,
    /// Known upstreams.
    pub catalog: UpstreamCatalog,
    /// The upstreams' records as they are in the store.
    pub upstreams_raw: FastMap<String, RawRecord>,
    /// Newest era of the store; `None` before the first contact.
    era: Option<StoreEra>,
    /// When this instance learned that the store had come back from a copy.
    restored_at: Option<MonoTime>,
    /// Offset up to which the settings stream has been read in this era.
    pub settings_offset: u64,
    /// Offset up to which the upstreams stream has been read in this era; 0 before its first listing.
    pub upstreams_offset: u64,
    /// Upstreams that were removed.
    pub departures: DepartureTable,
    /// Digest of the records of the listed upstreams.
    upstreams_digest: u64,
    /// When the listing of upstreams was last known to be complete.
    pub upstreams_date: NewsDate,
    /// Load and health of upstreams.
    pub upstreams: FastMap<UpstreamId, UpstreamState>,
    /// Crashes of upstreams, and the requests that are blocked because of them.
    pub crashes: CrashTable,
    /// Attempts whose responses broke off at an upstream that is being checked for a crash.
    pub broken_attempts: FastMap<UpstreamId, Vec<BrokenAttempt>>,
    /// Versions that began streams.
    pub origins: OriginTable,
    /// Streams about which other instances are to be asked.
    pub origin_queries: Vec<StreamKey>,
    /// Software versions of each service.
    pub version_histories: FastMap<ServiceId, VersionHistory>,
    /// Whether this instance reaches any upstream.
    pub reach: ReachState,
    /// Other instances.
    pub members: MemberTable,
    /// When an instance was last heard that was silent before.
    pub member_heard_at: Option<MonoTime>,
    /// True once the list of members has been read from the store.
    pub has_member_list: bool,
    /// What is known of retries before this instance started.
    pub budget_start: BudgetStart,
    /// Customers' allowances.
    pub allowances: AllowanceTable,
    /// Retry budget of each service.
    pub retry_budgets: FastMap<ServiceId, RetryBudget>,
    /// Latencies and budgets of hedged requests.
    pub hedges: HedgeState,
    /// Estimate of the current time.
    pub fleet_clock: FleetClock,
    /// Usage counts of all instances.
    pub usage: UsageCounts,
    /// State derived from the duties stream.
    pub duty_state: DutyState,
    /// Fencing number, while this instance holds the duties.
    pub duty_fence: Option<u64>,
    /// True if the instance held the duties when a new era began, and nobody else has taken them since.
    pub reclaims_duties: bool,
    /// Upstreams that this instance has ordered to change their role.
    pub changing: FastSet<UpstreamId>,
    /// Requests that wait for a prefill engine.
    pub prefill_queue: PrefillQueue,
    /// Prefill rate of each service's engines.
    pub prefill_rates: FastMap<ServiceId, PrefillRate>,
    /// Mean response times by service and data centre of the upstreams.
    pub speed_baselines: FastMap<(ServiceId, DataCentre), SpeedBaseline>,
    /// Heartbeat rounds since the start; the sequence number of the last report.
    pub reports_sent: u64,
    /// Contact with the store.
    pub store: StoreHealth,
    /// True while other instances have newer settings or upstreams and fetching them from there does not
    /// succeed.
    pub is_sync_stalled: bool,
}

impl GatewayState {
    /// State of an instance that starts now.
    pub fn new(started_at: MonoTime) -> Self {
        Self {
            started_at,
            budget_start: BudgetStart::new(started_at),
            allowances: AllowanceTable::new(started_at),
            ..Self::default()
        }
    }

    /// Upstreams of a service that may be sent a request now, of those that `may_serve` it; if none is healthy, all that
    /// are listed. Upstreams that are changing their role, or that take no request now by their own word, are left
    /// out.
    pub fn candidates<'a>(
        &'a self,
        service: &'a ServiceId,
        may_serve: impl Fn(&UpstreamEntry) -> bool,
        tried: &[UpstreamId],
        now: MonoTime,
        turn: Option<&PaceTurn>,
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
            .filter(|entry| may_serve(entry) && !tried.contains(&entry.id) && !is_changing(&entry.id))
            .filter_map(|entry| {
                let state = self.upstreams.get(&entry.id)?;
                Some(Candidate { entry, state })
            })
            .filter(|candidate| candidate.state.send_wait(now, turn).is_zero())
            .collect();
        let healthy: Vec<Candidate<'a>> = listed
            .iter()
            .copied()
            .filter(|candidate| candidate.state.is_usable(now))
            .collect();
        if healthy.is_empty() { listed } else { healthy }
    }

    /// Longest time for which a stream may go on, also across the attempts of its caller, who waits no longer for them
    /// together than for one that takes all of its time.
    pub fn stream_lifetime(&self) -> Duration {
        let settings = self.settings.as_ref();
        let timeout = settings.map_or(Duration::ZERO, |settings| settings.longest_timeout());
        (timeout * STREAM_LIFETIME_FACTOR).max(MIN_STREAM_LIFETIME)
    }

    /// Records which versions of each service are listed. In a fleet that starts for the first time, no stream has begun
    /// at a version that is not listed any more.
    pub fn update_versions(&mut self, is_first_start: bool, now: MonoTime) {
        let stream_lifetime = self.stream_lifetime();
        let mut has_contested = false;
        let mut listed: FastMap<&ServiceId, Vec<&SoftwareVersion>> = FastMap::default();
        for entry in self.catalog.entries() {
            listed.entry(&entry.service).or_default().push(&entry.version);
        }
        for (service, versions) in listed {
            let history = match self.version_histories.get_mut(service) {
                Some(history) => history,
                None => {
                    let history = self.version_histories.entry(service.clone()).or_default();
                    if is_first_start && let Some(first) = versions.first() {
                        history.adopt((*first).clone());
                    }
                    history
                }
            };
            let before = history.settled().cloned();
            history.update(&versions, stream_lifetime, now);
            if history.settled() != before.as_ref() {
                has_contested |= history.settled().is_none();
                log::info!(service:%, version = history.settled().map(SoftwareVersion::as_str); "the version that serves alone has changed");
            }
        }
        if has_contested {
            self.origins.contest();
        }
    }

    /// Forgets which versions have served alone if changes may have been missed. What is listed now is read without the
    /// changes that led to it.
    pub fn forget_hidden_versions(&mut self, now: MonoTime) {
        if self.upstreams_date.may_hide_changes(now) {
            self.forget_versions(now);
        }
    }

    /// Forgets what was known after a standstill: heartbeats that arrive now may have waited in the socket for as long.
    pub fn handle_standstill(&mut self, now: MonoTime) {
        self.forget_versions(now);
        self.upstreams_date.reset();
    }

    fn forget_versions(&mut self, now: MonoTime) {
        let age_ms = self.upstreams_date.age(now).map(|age| age.as_millis() as u64);
        for (service, history) in &mut self.version_histories {
            if let Some(version) = history.settled() {
                log::info!(service:%, version:%, news_age_ms = age_ms; "upstreams may have come and gone unseen; no version counts as alone");
            }
            history.reset();
        }
        self.origins.contest();
    }

    /// State of an upstream, created if it is new.
    pub fn upstream(&mut self, id: &UpstreamId) -> &mut UpstreamState {
        self.upstreams.entry(id.clone()).or_default()
    }

    /// Slowness of an upstream; normal if it isn't known.
    pub fn slowness(&self, id: &UpstreamId, now: MonoTime) -> SlownessFactor {
        self.upstreams
            .get(id)
            .map_or(SlownessFactor::NORMAL, |upstream| upstream.slowness(now))
    }

    /// Records that work of the given amount took `elapsed` at an upstream.
    pub fn record_time(&mut self, entry: &UpstreamEntry, work: u64, elapsed: Duration, now: MonoTime) {
        let key = (entry.service.clone(), entry.data_centre.clone());
        let baseline = self.speed_baselines.entry(key).or_default();
        let upstream = self.upstreams.entry(entry.id.clone()).or_default();
        let before = upstream.slowness(now);
        upstream.record_time(work, elapsed, baseline, now);
        let slowness = upstream.slowness(now);
        if slowness.is_notable() != before.is_notable() {
            log::info!(
                target: DECISION_TARGET,
                upstream:% = entry.id, slowness_per_mille = slowness.per_mille();
                "the upstream's measured speed changed"
            );
        }
    }

    /// The newest era of the store that this instance knows of; `None` before the first contact.
    pub fn known_era(&self) -> Option<StoreEra> {
        self.era
    }

    /// The same, or the first era.
    pub fn store_era(&self) -> StoreEra {
        self.era.unwrap_or_default()
    }

    /// True if the store has come back from a copy while this instance ran.
    pub fn is_restored(&self) -> bool {
        self.restored_at.is_some()
    }

    /// True while upstreams may be missing whose entries the store has lost, and which have not written them again.
    pub fn lacks_entries(&self, now: MonoTime) -> bool {
        self.restored_at.is_some_and(|at| now.since(at) < RECOVERY_WINDOW)
    }

    /// Position up to which the upstreams stream has been read.
    pub fn upstreams_position(&self) -> StorePosition {
        StorePosition::new(self.store_era(), self.upstreams_offset)
    }

    /// Enters an era of the store if it is newer than the present one. `first_window` is the usage window at `now`.
    pub fn enter_era(
        &mut self,
        era: StoreEra,
        is_first_start: bool,
        first_window: u64,
        now: MonoTime,
    ) -> Option<EraChange> {
        let Some(before) = self.era else {
            self.era = Some(era);
            let first_window = if is_first_start { 0 } else { first_window };
            self.duty_state.enter_era(era, first_window, now);
            return Some(EraChange::First);
        };
        if era <= before {
            return None;
        }
        self.era = Some(era);
        self.restored_at = Some(now);
        self.settings_offset = 0;
        self.upstreams_offset = 0;
        // Upstreams may have come and gone in records that are lost.
        self.forget_versions(now);
        self.origins.store_again();
        self.duty_state.enter_era(era, first_window, now);
        self.reclaims_duties |= self.duty_fence.is_some();
        self.duty_fence = None;
        self.changing.clear();
        Some(EraChange::Later(before))
    }

    /// Versions of the settings and upstreams that this instance has.
    pub fn sync_state(&self) -> SyncState {
        SyncState {
            settings_version: self.settings.as_ref().map_or(0, |settings| settings.version),
            era: self.era,
            settings_offset: self.settings_offset,
            upstreams_offset: self.upstreams_offset,
            upstreams_digest: self.upstreams_digest,
        }
    }

    /// Stores a record of an upstream if it is newer than the known one; returns false if it isn't.
    pub fn put_raw_record(&mut self, key: &str, raw: RawRecord) -> bool {
        let known = self.upstreams_raw.get(key);
        if known.is_some_and(|known| known.position >= raw.position) {
            return false;
        }
        let before = known.map_or(0, |known| digest(key, known));
        self.upstreams_digest ^= before ^ digest(key, &raw);
        self.upstreams_raw.insert(key.to_owned(), raw);
        true
    }

    /// True if this instance should read the store itself.
    pub fn is_follower(&self, own: &MemberCard, now: MonoTime) -> bool {
        let members = &self.members;
        let view = FleetView { own, members, now };
        self.is_sync_stalled
            || self.is_left_behind(&view)
            || view.may_follow(self.started_at) && view.is_follower()
    }

    /// True if the listing of upstreams is too old, although the store responds to others.
    fn is_left_behind(&self, view: &FleetView<'_>) -> bool {
        self.stage == MemberStage::Ready && view.is_left_behind(&self.upstreams_date)
    }

    /// True if this instance has been up for long enough to know its rank.
    pub fn knows_rank(&self, view: &FleetView<'_>) -> bool {
        view.knows_rank(self.started_at)
    }

    /// Time of the store's last recovery as seen by any instance, or of its last return from a copy as seen by this one: entries
    /// that the copy lacks are written again, as those that lapsed in an outage. Each instance learns of a return by itself.
    pub fn last_store_recovery(&self, own: &MemberCard, now: MonoTime) -> Option<MonoTime> {
        let members = &self.members;
        self.store
            .recovered_at()
            .max(self.restored_at)
            .max(FleetView { own, members, now }.store_recovered_at())
    }

    /// Number of instances that share the fixed part of the retry budget.
    pub fn instances(&self) -> usize {
        self.members.all().count() + 1
    }
}

/// Digest of one record; 0 for a removed upstream, as if it had never been listed.
fn digest(key: &str, raw: &RawRecord) -> u64 {
    if raw.value.is_none() {
        return 0;
    }
    let mut hasher = rustc_hash::FxHasher::default();
    (key, raw.position).hash(&mut hasher);
    hasher.finish()
}
