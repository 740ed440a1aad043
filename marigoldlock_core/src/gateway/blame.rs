//! Which requests crash upstreams, derived from the crashes that were seen.
//!
//! A crash breaks all requests at its upstream, so each is only a suspect. What they have in common is told apart by
//! three facts. A run that completes clears whatever its request contains. A request that was sent after a crash was
//! seen, and crashes the next upstream, is worth more than many that were at one upstream together, so only crashes
//! that follow one another in this way are counted. And what was only there when a known cause crashed an upstream, but
//! not each time, was there by chance.
//!
//! What can't be told apart is blocked only in combination: a request that has just a part of it may be sent, and then
//! either clears that part or leaves fewer suspects.

use std::time::Duration;

use marigoldlock_wire::prelude::*;
use serde::{Deserialize, Serialize};

use super::state::UpstreamKey;

/// Crashes, each of a run that began after the one before, from which on their common suspects are blocked.
pub(super) const CRASHES_TO_BLOCK: usize = 3;

/// Longest time between two reports of one crash, by the fleet's clock.
pub(super) const REPORT_SPREAD: Duration = Duration::from_secs(1);

/// Difference between the instances' estimates of the fleet's clock that doesn't change the order of two events.
const CLOCK_TOLERANCE: Duration = Duration::from_millis(50);

/// A property of a request that may make it crash upstreams.
#[derive(Clone, Copy, Debug, Deserialize, Eq, Hash, Ord, PartialEq, PartialOrd, Serialize)]
pub enum SuspectKey {
    /// Digest of the whole request, which may come again.
    Request(u64),
    /// A prompt part that other requests may share.
    PromptPart(u64),
}

/// A request that was at an upstream when it crashed. Times are on the fleet's clock.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct CrashRecord {
    /// Hash of the request's id.
    pub request: u64,
    /// The upstream.
    pub upstream: UpstreamKey,
    /// When the request was sent there, in Unix milliseconds.
    pub sent_ms: u64,
    /// When its response broke off, in Unix milliseconds.
    pub crashed_ms: u64,
    /// Properties of the request.
    pub suspects: Vec<SuspectKey>,
}

/// Latest time at which a run of a request with a property was known to complete, in Unix milliseconds.
pub type CompletionTimes = FastMap<SuspectKey, u64>;

/// Returns the sets of suspects that crash upstreams. `known` are those that were found before.
pub fn find_causes(
    records: &[CrashRecord],
    completions: &CompletionTimes,
    known: &[Vec<SuspectKey>],
) -> Vec<Vec<SuspectKey>> {
    let evidence = CrashEvidence::new(records, completions, known);
    let mut keys: Vec<SuspectKey> = evidence
        .crashes
        .iter()
        .flat_map(|crash| crash.suspects.clone())
        .collect();
    keys.sort_unstable();
    keys.dedup();
    let mut causes: Vec<Vec<SuspectKey>> = Vec::new();
    for cause in keys.into_iter().filter_map(|key| evidence.cause(key)) {
        if !causes.contains(&cause) {
            causes.push(cause);
        }
    }
    causes
}

/// True if all of `suspects` are among `keys`.
pub fn contains_all(keys: &[SuspectKey], suspects: &[SuspectKey]) -> bool {
    suspects.iter().all(|suspect| keys.contains(suspect))
}

/// A record without the suspects that have been cleared.
struct OpenCrash<'a> {
    record: &'a CrashRecord,
    suspects: Vec<SuspectKey>,
    /// Index of the crash; records of one crash have the same.
    crash: usize,
}

impl<'a> OpenCrash<'a> {
    /// Returns the records in the order of the crashes.
    fn group(records: &'a [CrashRecord], completions: &CompletionTimes) -> Vec<Self> {
        let mut sorted: Vec<&CrashRecord> = records.iter().collect();
        sorted.sort_by_key(|record| record.crashed_ms);
        let mut crashes: Vec<Self> = Vec::with_capacity(sorted.len());
        for (index, record) in sorted.into_iter().enumerate() {
            let known = crashes.iter().find(|known| is_same_crash(known.record, record));
            crashes.push(Self {
                record,
                suspects: open_suspects(record, completions),
                crash: known.map_or(index, |known| known.crash),
            });
        }
        crashes
    }
}

/// True if both runs were broken by the same crash; one that was sent after it met the upstream's next one.
fn is_same_crash(first: &CrashRecord, later: &CrashRecord) -> bool {
    let spread = u128::from(first.crashed_ms.abs_diff(later.crashed_ms));
    let was_there = later.sent_ms <= first.crashed_ms.saturating_add(tolerance_ms());
    first.upstream == later.upstream && spread <= REPORT_SPREAD.as_millis() && was_there
}

fn tolerance_ms() -> u64 {
    u64::try_from(CLOCK_TOLERANCE.as_millis()).unwrap_or_default()
}

/// Crashes with the suspects that have not been cleared since.
pub(super) struct CrashGroups<'a> {
    crashes: Vec<OpenCrash<'a>>,
}

impl<'a> CrashGroups<'a> {
    pub(super) fn new(records: &'a [CrashRecord], completions: &CompletionTimes) -> Self {
        Self {
            crashes: OpenCrash::group(records, completions),
        }
    }

    /// Time of the crash from which on the suspects are blamed; `None` if there were too few.
    pub(super) fn blamed_ms(&self, suspects: &[SuspectKey]) -> Option<u64> {
        let crashes: Vec<&OpenCrash<'_>> = self.crashes_under(suspects).collect();
        successive_times(&crashes).get(CRASHES_TO_BLOCK - 1).copied()
    }

    /// Number of crashes under runs with the suspects that were sent at `from_ms` or later, without those at which a run
    /// with one of the sets of `others` was there, too.
    pub(super) fn unexplained(
        &self,
        suspects: &[SuspectKey],
        from_ms: u64,
        others: &[&[SuspectKey]],
    ) -> usize {
        let is_explained = |crash: &OpenCrash<'_>| {
            let mut same = self.crashes.iter().filter(|other| other.crash == crash.crash);
            same.any(|other| {
                let mut causes = others.iter();
                causes.any(|cause| contains_all(&other.record.suspects, cause))
            })
        };
        let crashes = self.crashes_under(suspects);
        let unexplained: FastSet<usize> = crashes
            .filter(|crash| crash.record.sent_ms >= from_ms && !is_explained(crash))
            .map(|crash| crash.crash)
            .collect();
        unexplained.len()
    }

    /// Number of crashes under runs with the suspects that were sent before `from_ms`.
    pub(super) fn count_before(&self, suspects: &[SuspectKey], from_ms: u64) -> usize {
        let crashes = self.crashes_under(suspects);
        let earlier = crashes.filter(|crash| crash.record.sent_ms < from_ms);
        earlier.map(|crash| crash.crash).collect::<FastSet<usize>>().len()
    }

    fn crashes_under<'s>(&'s self, suspects: &'s [SuspectKey]) -> impl Iterator<Item = &'s OpenCrash<'a>> {
        let crashes = self.crashes.iter();
        crashes.filter(move |crash| contains_all(&crash.suspects, suspects))
    }
}

struct CrashEvidence<'a> {
    crashes: Vec<OpenCrash<'a>>,
    completions: &'a CompletionTimes,
    /// Known causes, each with the crashes that it explains.
    known: Vec<(&'a [SuspectKey], FastSet<usize>)>,
}

impl<'a> CrashEvidence<'a> {
    fn new(
        records: &'a [CrashRecord],
        completions: &'a CompletionTimes,
        known: &'a [Vec<SuspectKey>],
    ) -> Self {
        let crashes = OpenCrash::group(records, completions);
        let explained = |cause: &[SuspectKey]| {
            let crashes = crashes.iter();
            let explained = crashes.filter(|crash| contains_all(&crash.record.suspects, cause));
            explained.map(|crash| crash.crash).collect()
        };
        let known = known
            .iter()
            .map(|cause| (cause.as_slice(), explained(cause)))
            .collect();
        Self {
            crashes,
            completions,
            known,
        }
    }

    /// Suspects that are to be blocked in combination because of `key`.
    fn cause(&self, key: SuspectKey) -> Option<Vec<SuspectKey>> {
        let crashes = self.crashes.iter();
        let crashes: Vec<&OpenCrash<'a>> = crashes.filter(|crash| crash.suspects.contains(&key)).collect();
        if successive_times(&crashes).len() < CRASHES_TO_BLOCK || self.was_there_by_chance(key, &crashes) {
            return None;
        }
        if !self.has_completed(key) {
            let common = common_suspects(crashes.iter().map(|crash| crash.suspects.clone()));
            return Some(
                common
                    .into_iter()
                    .filter(|other| !self.has_completed(*other))
                    .collect(),
            );
        }
        // Runs with it used to complete, so it is blamed only if nothing else was at the upstream each time that has
        // never completed.
        let common = common_suspects(crashes.iter().map(|crash| self.suspects_at(crash)));
        common
            .iter()
            .all(|other| self.has_completed(*other))
            .then_some(common)
    }

    /// True if a known cause was there at each of these crashes of a suspect.
    fn was_there_by_chance(&self, key: SuspectKey, crashes: &[&OpenCrash<'_>]) -> bool {
        let own: FastSet<usize> = crashes.iter().map(|crash| crash.crash).collect();
        let mut others = self.known.iter().filter(|(cause, _)| !cause.contains(&key));
        others.any(|(_, explained)| own.is_subset(explained))
    }

    fn has_completed(&self, key: SuspectKey) -> bool {
        self.completions.contains_key(&key)
    }

    /// Suspects of all requests that a crash broke.
    fn suspects_at(&self, crash: &OpenCrash<'a>) -> Vec<SuspectKey> {
        let others = self.crashes.iter().filter(|other| other.crash == crash.crash);
        others.flat_map(|other| other.suspects.iter().copied()).collect()
    }
}

/// Suspects of a record under which no run has completed since.
fn open_suspects(record: &CrashRecord, completions: &CompletionTimes) -> Vec<SuspectKey> {
    let is_open = |key: &SuspectKey| completions.get(key).is_none_or(|&at| at < record.crashed_ms);
    record.suspects.iter().copied().filter(is_open).collect()
}

/// Times of the crashes each of which hit a run that began after the one before.
fn successive_times(crashes: &[&OpenCrash<'_>]) -> Vec<u64> {
    let mut times: Vec<u64> = Vec::new();
    let mut counted: Vec<usize> = Vec::new();
    for crash in crashes {
        let last_ms = times.last().copied().unwrap_or_default();
        let is_later = crash.record.sent_ms.saturating_add(tolerance_ms()) >= last_ms;
        if is_later && !counted.contains(&crash.crash) {
            times.push(crash.record.crashed_ms);
            counted.push(crash.crash);
        }
    }
    times
}

/// Suspects that are in each of the sets, in order.
fn common_suspects(mut sets: impl Iterator<Item = Vec<SuspectKey>>) -> Vec<SuspectKey> {
    let mut common = sets.next().unwrap_or_default();
    for set in sets {
        common.retain(|key| set.contains(key));
    }
    common.sort_unstable();
    common.dedup();
    common
}
