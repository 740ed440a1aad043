//! Crashes of upstreams and the requests that are blocked because of them, as one instance knows them.
//!
//! Requests that crash upstreams come to any instance, so instances exchange what they see: the requests that were at
//! an upstream when it crashed, and when runs with the same properties completed. Each derives the causes from that by
//! itself. A cause that stays the same for a while becomes a block. Blocks are exchanged too, and one instance writes
//! them to the store, so that they outlive all processes. A block lapses after a while; one more crash renews it.

use std::time::Duration;

use marigoldlock_wire::prelude::*;
use serde::{Deserialize, Serialize};

use crate::time::MonoTime;

use super::blame::{CompletionTimes, CrashRecord, REPORT_SPREAD, SuspectKey, contains_all, find_causes};
use super::pace::PaceTurn;
use super::trials::{HeldSet, TrialEvidence, TrialLog};

/// Time for which a crash counts.
const RECORD_LIFETIME: Duration = Duration::from_secs(600);

/// Time for which a block holds.
const BLOCK_LIFETIME: Duration = Duration::from_secs(600);

/// Time after the end of a block in which a single crash renews it.
const RENEWAL_TIME: Duration = Duration::from_secs(600);

/// Time for which a cause must stay the same before it becomes a block: all instances have heard of the crashes, and
/// runs at other upstreams have completed.
const CONFIRMATION_TIME: Duration = Duration::from_secs(2);

/// Largest number of crash records.
const MAX_RECORDS: usize = 128;

/// Largest number of suspects of a record; more are left out, so that a report fits into a datagram.
const MAX_SUSPECTS: usize = 16;

/// Largest number of records in a report.
const MAX_REPORTED_RECORDS: usize = 64;

/// Largest number of completion times of suspects.
const MAX_COMPLETIONS: usize = 512;

/// Largest number of crashes, counted once for each broken request, whose ids are remembered.
pub const MAX_REMEMBERED_CRASHES: usize = 4_096;

/// Largest number of blocks.
const MAX_BLOCKS: usize = 64;

/// Number of properties of completed runs that are remembered at least.
const REMEMBERED_COMPLETIONS: usize = 4_096;

/// A block on requests that contain all of a set of suspects.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(deny_unknown_fields)]
pub struct CrashBlock {
    /// The suspects, in order.
    pub suspects: Vec<SuspectKey>,
    /// When the block began, in Unix milliseconds on the fleet's clock.
    pub blocked_ms: u64,
    /// True once a trial has crashed its upstream, or more crashes than it takes have made it certain.
    #[serde(default)]
    pub is_confirmed: bool,
}

impl CrashBlock {
    /// Time for which the block still holds; zero if it has lapsed.
    pub fn time_left(&self, fleet_ms: u64) -> Duration {
        let end_ms = self.blocked_ms.saturating_add(as_ms(BLOCK_LIFETIME));
        Duration::from_millis(end_ms.saturating_sub(fleet_ms)).min(BLOCK_LIFETIME)
    }

    fn is_expired(&self, fleet_ms: u64) -> bool {
        let end_ms = self
            .blocked_ms
            .saturating_add(as_ms(BLOCK_LIFETIME + RENEWAL_TIME));
        end_ms < fleet_ms
    }

    /// True if the block names suspects and can have begun.
    pub fn is_valid(&self, fleet_ms: u64) -> bool {
        !self.suspects.is_empty() && !is_in_future(self.blocked_ms, fleet_ms)
    }
}

/// True if the time can't have come yet by any clock that is about right.
fn is_in_future(at_ms: u64, fleet_ms: u64) -> bool {
    at_ms > fleet_ms.saturating_add(as_ms(BLOCK_LIFETIME))
}

/// What an instance tells others about crashes.
#[derive(Clone, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
pub struct CrashReport {
    /// Requests that were at upstreams when they crashed.
    pub records: Vec<CrashRecord>,
    /// When runs with the properties of such requests completed, in Unix milliseconds.
    pub completions: Vec<(SuspectKey, u64)>,
    /// Blocks.
    pub blocks: Vec<CrashBlock>,
}

/// What a report contains. Each instance tells the others of what it saw itself, and relays also of what they were told,
/// so that what is seen is sent to each instance a few times and not by each of the others.
#[derive(Clone, Copy, Debug)]
pub struct ReportScope {
    /// True if only what this instance saw itself is told.
    pub is_own_only: bool,
    /// Only what was learned within this time is told; `None` for everything.
    pub news_time: Option<Duration>,
}

/// When an item was learned, and from whom.
#[derive(Clone, Copy, Debug)]
struct ItemSource {
    learned_at: MonoTime,
    is_own: bool,
}

impl ItemSource {
    fn is_told(&self, scope: ReportScope, now: MonoTime) -> bool {
        let is_news = scope
            .news_time
            .is_none_or(|time| now.since(self.learned_at) < time);
        is_news && (self.is_own || !scope.is_own_only)
    }
}

/// Current time on both clocks.
#[derive(Clone, Copy, Debug)]
pub struct FleetTime {
    /// This instance's time.
    pub now: MonoTime,
    /// The fleet's time, in Unix milliseconds.
    pub fleet_ms: u64,
}

/// A change of what is blocked.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum BlockChange {
    /// Requests with all these suspects are blocked.
    Blocked(Vec<SuspectKey>),
    /// They are no longer blocked.
    Lifted(Vec<SuspectKey>),
}

/// A cause that may become a block.
#[derive(Clone, Debug)]
struct OpenCause {
    suspects: Vec<SuspectKey>,
    since: MonoTime,
}

/// Crashes and blocks that an instance knows of.
#[derive(Clone, Debug, Default)]
pub struct CrashTable {
    records: Vec<CrashRecord>,
    completions: CompletionTimes,
    blocks: Vec<CrashBlock>,
    causes: Vec<OpenCause>,
    recent_runs: RunMemory,
    record_sources: FastMap<(u64, u64), ItemSource>,
    completion_sources: FastMap<SuspectKey, ItemSource>,
    block_sources: FastMap<Vec<SuspectKey>, ItemSource>,
    changes: Vec<BlockChange>,
    trials: TrialLog,
}

impl CrashTable {
    /// Records a request whose upstream crashed.
    pub fn record_crash(&mut self, record: CrashRecord, time: FleetTime) {
        if self.add_record(record, time, true) {
            self.update(time);
        }
    }

    /// Records that a run of a request with these properties completed.
    pub fn record_completion(&mut self, keys: &[SuspectKey], time: FleetTime) {
        let mut is_news = false;
        for &key in keys {
            self.recent_runs.record(key, time.fleet_ms);
            is_news |= self.is_suspected_since(key, self.completed_ms(key))
                && self.add_completion(key, time.fleet_ms, time, true);
        }
        if is_news {
            self.update(time);
        }
    }

    /// Merges what another instance reports.
    pub fn merge(&mut self, report: CrashReport, time: FleetTime) {
        let mut is_news = false;
        for record in report.records {
            is_news |= self.add_record(record, time, false);
        }
        for (key, completed_ms) in report.completions {
            is_news |= self.add_completion(key, completed_ms, time, false);
        }
        for block in report.blocks {
            is_news |= self.add_block(block, time);
        }
        if is_news {
            self.update(time);
        }
    }

    /// Adds a block from the store or from another instance; returns true if it is news.
    pub fn add_block(&mut self, mut block: CrashBlock, time: FleetTime) -> bool {
        if !block.is_valid(time.fleet_ms) || block.is_expired(time.fleet_ms) {
            return false;
        }
        block.suspects.sort_unstable();
        self.put_block(block, time, false)
    }

    fn put_block(&mut self, block: CrashBlock, time: FleetTime, is_own: bool) -> bool {
        let was_blocked = self.is_blocked(&block.suspects, time.fleet_ms);
        match self
            .blocks
            .iter_mut()
            .find(|known| known.suspects == block.suspects)
        {
            Some(known)
                if known.blocked_ms >= block.blocked_ms && known.is_confirmed >= block.is_confirmed =>
            {
                return false;
            }
            Some(known) => {
                known.blocked_ms = known.blocked_ms.max(block.blocked_ms);
                known.is_confirmed |= block.is_confirmed;
            }
            None => self.blocks.push(block.clone()),
        }
        if !was_blocked {
            self.changes.push(BlockChange::Blocked(block.suspects.clone()));
        }
        let source = ItemSource {
            learned_at: time.now,
            is_own,
        };
        self.block_sources.insert(block.suspects, source);
        true
    }

    /// Derives the causes anew, makes blocks of those that have stayed the same, and drops what has expired.
    pub fn update(&mut self, time: FleetTime) {
        if self.is_empty() {
            return;
        }
        self.expire(time);
        let known: Vec<Vec<SuspectKey>> = self.blocks.iter().map(|block| self.uncleared(block)).collect();
        let found = find_causes(&self.records, &self.completions, &known);
        let before = std::mem::take(&mut self.causes);
        for suspects in found {
            let known = before.iter().find(|cause| cause.suspects == suspects);
            if known.is_none() && !self.is_blocked(&suspects, time.fleet_ms) {
                self.changes.push(BlockChange::Blocked(suspects.clone()));
            }
            let since = known.map_or(time.now, |cause| cause.since);
            self.causes.push(OpenCause { suspects, since });
        }
        for cause in before {
            if !self.is_blocked(&cause.suspects, time.fleet_ms) {
                self.changes.push(BlockChange::Lifted(cause.suspects));
            }
        }
        self.confirm_causes(time);
        self.confirm_blocks(time);
    }

    /// Makes blocks of the causes that have stayed the same for a while.
    fn confirm_causes(&mut self, time: FleetTime) {
        let stable: Vec<Vec<SuspectKey>> = self
            .causes
            .iter()
            .filter(|cause| time.now.since(cause.since) >= CONFIRMATION_TIME)
            .filter(|cause| !self.has_block_on(&cause.suspects, time.fleet_ms))
            .map(|cause| cause.suspects.clone())
            .collect();
        for suspects in stable {
            let block = CrashBlock {
                suspects,
                blocked_ms: time.fleet_ms,
                is_confirmed: false,
            };
            self.put_block(block, time, true);
        }
    }

    /// Notes the blocks that need no trial any more, so that an instance that knows only the block sends no other.
    fn confirm_blocks(&mut self, time: FleetTime) {
        if self.blocks.iter().all(|block| block.is_confirmed) {
            return;
        }
        let held = self.held_sets(time.fleet_ms);
        // What else was at the upstream may be heard of a little later.
        let is_complete =
            |record: &&CrashRecord| record.crashed_ms.saturating_add(as_ms(REPORT_SPREAD)) <= time.fleet_ms;
        let records: Vec<CrashRecord> = self.records.iter().filter(is_complete).cloned().collect();
        let evidence = TrialEvidence::new(&records, &self.completions, &held);
        let failed = self.blocks.iter().filter(|block| !block.is_confirmed);
        let failed: Vec<CrashBlock> = failed
            .filter(|block| evidence.is_confirmed(&self.uncleared(block)))
            .map(|block| CrashBlock {
                is_confirmed: true,
                ..block.clone()
            })
            .collect();
        for block in failed {
            self.put_block(block, time, true);
        }
    }

    /// Sets of suspects that are blocked now.
    fn held_sets(&self, fleet_ms: u64) -> Vec<HeldSet> {
        let mut sets: Vec<HeldSet> = Vec::new();
        for block in self
            .blocks
            .iter()
            .filter(|block| !block.time_left(fleet_ms).is_zero())
        {
            sets.push(HeldSet {
                suspects: self.uncleared(block),
                blocked_ms: Some(block.blocked_ms),
                is_confirmed: block.is_confirmed,
            });
        }
        for cause in &self.causes {
            if !sets.iter().any(|set| set.suspects == cause.suspects) {
                sets.push(HeldSet {
                    suspects: cause.suspects.clone(),
                    blocked_ms: None,
                    is_confirmed: false,
                });
            }
        }
        sets.retain(|set| !set.suspects.is_empty());
        sets
    }

    /// Time for which requests with these properties are blocked; `None` if they aren't.
    pub fn block_left(&self, keys: &[SuspectKey], fleet_ms: u64) -> Option<Duration> {
        if self
            .causes
            .iter()
            .any(|cause| contains_all(keys, &cause.suspects))
        {
            return Some(BLOCK_LIFETIME);
        }
        let blocks = self.blocks.iter().filter(|block| self.matches(block, keys));
        blocks
            .map(|block| block.time_left(fleet_ms))
            .filter(|left| !left.is_zero())
            .max()
    }

    /// Lets a blocked request through as a trial of what blocks it; returns false if it stays blocked.
    pub fn try_blocked(&mut self, keys: &[SuspectKey], turn: &PaceTurn) -> bool {
        let held = self.held_sets(turn.fleet_ms);
        let evidence = TrialEvidence::new(&self.records, &self.completions, &held);
        evidence.may_try(keys, turn.fleet_ms) && self.trials.use_turn(turn)
    }

    /// Blocks, also those that have lapsed and may be renewed.
    pub fn blocks(&self) -> &[CrashBlock] {
        &self.blocks
    }

    /// Number of crashes, counted once for each broken request, whose ids are remembered.
    pub fn remembered_crashes(&self) -> usize {
        self.record_sources.len()
    }

    /// What to tell others.
    pub fn report(&self, scope: ReportScope, now: MonoTime) -> CrashReport {
        let is_told = |source: Option<&ItemSource>| source.is_some_and(|source| source.is_told(scope, now));
        let newest = self.records.iter().rev();
        let completions = self.completions.iter();
        let blocks = self.blocks.iter();
        CrashReport {
            records: newest
                .filter(|record| is_told(self.record_sources.get(&record_id(record))))
                .take(MAX_REPORTED_RECORDS)
                .cloned()
                .collect(),
            completions: completions
                .filter(|(key, _)| is_told(self.completion_sources.get(key)))
                .map(|(&key, &at)| (key, at))
                .collect(),
            blocks: blocks
                .filter(|block| is_told(self.block_sources.get(&block.suspects)))
                .cloned()
                .collect(),
        }
    }

    /// Returns the changes since the last call.
    pub fn take_changes(&mut self) -> Vec<BlockChange> {
        std::mem::take(&mut self.changes)
    }

    fn is_empty(&self) -> bool {
        self.records.is_empty()
            && self.blocks.is_empty()
            && self.causes.is_empty()
            && self.record_sources.is_empty()
    }

    fn is_blocked(&self, keys: &[SuspectKey], fleet_ms: u64) -> bool {
        self.block_left(keys, fleet_ms).is_some()
    }

    /// True if a block in force covers the requests with these properties.
    fn has_block_on(&self, keys: &[SuspectKey], fleet_ms: u64) -> bool {
        let mut blocks = self.blocks.iter();
        blocks.any(|block| self.matches(block, keys) && !block.time_left(fleet_ms).is_zero())
    }

    fn matches(&self, block: &CrashBlock, keys: &[SuspectKey]) -> bool {
        let open = self.uncleared(block);
        !open.is_empty() && contains_all(keys, &open)
    }

    /// Suspects of a block under which no run has completed since.
    fn uncleared(&self, block: &CrashBlock) -> Vec<SuspectKey> {
        let suspects = block.suspects.iter().copied();
        suspects
            .filter(|&key| self.completed_ms(key).is_none_or(|at| at < block.blocked_ms))
            .collect()
    }

    fn completed_ms(&self, key: SuspectKey) -> Option<u64> {
        self.completions.get(&key).copied()
    }

    /// True if a crash or a block since `completed_ms` involves the property.
    fn is_suspected_since(&self, key: SuspectKey, completed_ms: Option<u64>) -> bool {
        let is_later = |at: u64| completed_ms.is_none_or(|completed| completed < at);
        let mut records = self.records.iter();
        let mut blocks = self.blocks.iter();
        records.any(|record| is_later(record.crashed_ms) && record.suspects.contains(&key))
            || blocks.any(|block| is_later(block.blocked_ms) && block.suspects.contains(&key))
    }

    fn add_record(&mut self, mut record: CrashRecord, time: FleetTime, is_own: bool) -> bool {
        record.suspects.truncate(MAX_SUSPECTS);
        let id = record_id(&record);
        let is_old = record.crashed_ms.saturating_add(as_ms(RECORD_LIFETIME)) < time.fleet_ms;
        let is_impossible =
            record.sent_ms > record.crashed_ms || is_in_future(record.crashed_ms, time.fleet_ms);
        if record.suspects.is_empty() || is_impossible || is_old || self.record_sources.contains_key(&id) {
            return false;
        }
        for &key in &record.suspects {
            if let Some(completed_ms) = self.recent_runs.completed_ms(key) {
                self.add_completion(key, completed_ms, time, true);
            }
        }
        self.renew_blocks(&record, time);
        let source = ItemSource {
            learned_at: time.now,
            is_own,
        };
        self.record_sources.insert(id, source);
        self.records.push(record);
        true
    }

    /// Renews the lapsed blocks that a crash confirms.
    fn renew_blocks(&mut self, record: &CrashRecord, time: FleetTime) {
        let renewed: Vec<CrashBlock> = self
            .blocks
            .iter()
            .filter(|block| {
                block.time_left(record.crashed_ms).is_zero() && self.matches(block, &record.suspects)
            })
            .map(|block| CrashBlock {
                suspects: block.suspects.clone(),
                blocked_ms: record.crashed_ms,
                is_confirmed: true,
            })
            .collect();
        for block in renewed {
            self.add_block(block, time);
        }
    }

    fn add_completion(&mut self, key: SuspectKey, completed_ms: u64, time: FleetTime, is_own: bool) -> bool {
        let is_known = self.completed_ms(key).is_some_and(|known| known >= completed_ms);
        if is_known || is_in_future(completed_ms, time.fleet_ms) {
            return false;
        }
        self.completions.insert(key, completed_ms);
        let source = ItemSource {
            learned_at: time.now,
            is_own,
        };
        self.completion_sources.insert(key, source);
        true
    }

    fn expire(&mut self, time: FleetTime) {
        let oldest_ms = time.fleet_ms.saturating_sub(as_ms(RECORD_LIFETIME));
        let completions = &self.completions;
        let is_open = |record: &CrashRecord| {
            let mut suspects = record.suspects.iter();
            suspects.any(|key| completions.get(key).is_none_or(|&at| at < record.crashed_ms))
        };
        self.records
            .retain(|record| record.crashed_ms >= oldest_ms && is_open(record));
        self.records.sort_by_key(|record| record.crashed_ms);
        let surplus = self.records.len().saturating_sub(MAX_RECORDS);
        self.records.drain(..surplus);
        let lapsed = self
            .blocks
            .iter()
            .filter(|block| block.is_expired(time.fleet_ms) || self.uncleared(block).is_empty());
        let lapsed: Vec<Vec<SuspectKey>> = lapsed.map(|block| block.suspects.clone()).collect();
        self.blocks.retain(|block| !lapsed.contains(&block.suspects));
        self.changes.extend(lapsed.into_iter().map(BlockChange::Lifted));
        self.blocks.sort_by_key(|block| block.blocked_ms);
        let surplus = self.blocks.len().saturating_sub(MAX_BLOCKS);
        self.blocks.drain(..surplus);
        self.completions
            .retain(|_, completed_ms| *completed_ms >= oldest_ms);
        while self.completions.len() > MAX_COMPLETIONS {
            let oldest = self
                .completions
                .iter()
                .min_by_key(|(_, at)| **at)
                .map(|(key, _)| *key);
            let Some(oldest) = oldest else { break };
            self.completions.remove(&oldest);
        }
        // A dropped record must not be learned again from an instance that still has it.
        self.record_sources
            .retain(|_, source| time.now.since(source.learned_at) < RECORD_LIFETIME);
        self.forget_surplus_records();
        let completions = &self.completions;
        self.completion_sources
            .retain(|key, _| completions.contains_key(key));
        let blocks = &self.blocks;
        self.block_sources
            .retain(|suspects, _| blocks.iter().any(|block| block.suspects == *suspects));
    }

    /// Forgets the oldest ids of crashes.
    fn forget_surplus_records(&mut self) {
        let surplus = self.record_sources.len().saturating_sub(MAX_REMEMBERED_CRASHES);
        if surplus == 0 {
            return;
        }
        let sources = self.record_sources.iter();
        let mut ids: Vec<_> = sources.map(|(&id, source)| (source.learned_at, id)).collect();
        ids.sort_unstable();
        for (_, id) in ids.drain(..surplus) {
            self.record_sources.remove(&id);
        }
    }
}

/// Identity of a record: one request can't be at two upstreams at a time.
fn record_id(record: &CrashRecord) -> (u64, u64) {
    (record.request, record.crashed_ms)
}

fn as_ms(duration: Duration) -> u64 {
    u64::try_from(duration.as_millis()).unwrap_or(u64::MAX)
}

/// When runs with a property last completed, for the most recent properties.
#[derive(Clone, Debug, Default)]
struct RunMemory {
    newer: CompletionTimes,
    older: CompletionTimes,
}

impl RunMemory {
    fn record(&mut self, key: SuspectKey, fleet_ms: u64) {
        if self.newer.len() >= REMEMBERED_COMPLETIONS {
            self.older = std::mem::take(&mut self.newer);
        }
        self.newer.insert(key, fleet_ms);
    }

    fn completed_ms(&self, key: SuspectKey) -> Option<u64> {
        self.newer.get(&key).or_else(|| self.older.get(&key)).copied()
    }
}
