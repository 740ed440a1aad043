//! Which requests crash upstreams, derived from the crashes that were seen.
//!
//! A crash breaks all requests at its upstream, so each is only a suspect. What they have in common is told apart by
//! three facts. A run that completes clears whatever its request contains. A request that was sent after a crash was
//! seen, and crashes the next upstream, is worth more than many that were at one upstream together, so only crashes
//! that follow one another in this way are counted. And a crash that a known cause explains says nothing about the
//! other requests that were there.
//!
//! What can't be told apart is blocked only in combination: a request that has just a part of it may be sent, and then
//! either clears that part or leaves fewer suspects.

use std::time::Duration;

use marigoldlock_wire::prelude::*;
use serde::{Deserialize, Serialize};

use super::state::UpstreamKey;

/// Crashes, each of a run that began after the one before, from which on their common suspects are blocked.
const CRASHES_TO_BLOCK: usize = 3;

/// Longest time between two reports of one crash, by the fleet's clock.
const REPORT_SPREAD: Duration = Duration::from_secs(1);

/// Difference between the instances' estimates of the fleet's clock that doesn't change the order of two events.
const CLOCK_TOLERANCE: Duration = Duration::from_millis(50);

/// A property of a request that may make it crash upstreams.
#[derive(Clone, Copy, Debug, Deserialize, Eq, Hash, Ord, PartialEq, PartialOrd, Serialize)]
pub enum SuspectKey {
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
    /// A known cause that the request contains.
    cause: Option<&'a [SuspectKey]>,
}

impl OpenCrash<'_> {
    fn is_same_crash(&self, other: &Self) -> bool {
        let spread = self.record.crashed_ms.abs_diff(other.record.crashed_ms);
        self.record.upstream == other.record.upstream && u128::from(spread) <= REPORT_SPREAD.as_millis()
    }
}

struct CrashEvidence<'a> {
    crashes: Vec<OpenCrash<'a>>,
    completions: &'a CompletionTimes,
}

impl<'a> CrashEvidence<'a> {
    fn new(
        records: &'a [CrashRecord],
        completions: &'a CompletionTimes,
        known: &'a [Vec<SuspectKey>],
    ) -> Self {
        let mut crashes: Vec<OpenCrash<'a>> = records
            .iter()
            .map(|record| OpenCrash {
                record,
                suspects: open_suspects(record, completions),
                cause: known
                    .iter()
                    .find(|cause| contains_all(&record.suspects, cause))
                    .map(Vec::as_slice),
            })
            .collect();
        crashes.sort_by_key(|crash| crash.record.crashed_ms);
        let (explained, mut open): (Vec<_>, Vec<_>) =
            crashes.into_iter().partition(|crash| crash.cause.is_some());
        // The other requests at an upstream that a known cause has crashed were there by chance.
        open.retain(|crash| !explained.iter().any(|known| known.is_same_crash(crash)));
        open.extend(explained);
        open.sort_by_key(|crash| crash.record.crashed_ms);
        Self {
            crashes: open,
            completions,
        }
    }

    /// Suspects that are to be blocked in combination because of `key`.
    fn cause(&self, key: SuspectKey) -> Option<Vec<SuspectKey>> {
        let crashes: Vec<&OpenCrash<'a>> = self
            .crashes
            .iter()
            .filter(|crash| crash.suspects.contains(&key))
            .filter(|crash| crash.cause.is_none_or(|cause| cause.contains(&key)))
            .collect();
        if successive(&crashes) < CRASHES_TO_BLOCK {
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

    fn has_completed(&self, key: SuspectKey) -> bool {
        self.completions.contains_key(&key)
    }

    /// Suspects of all requests that a crash broke.
    fn suspects_at(&self, crash: &OpenCrash<'a>) -> Vec<SuspectKey> {
        let others = self.crashes.iter().filter(|other| other.is_same_crash(crash));
        others.flat_map(|other| other.suspects.iter().copied()).collect()
    }
}

/// Suspects of a record under which no run has completed since.
fn open_suspects(record: &CrashRecord, completions: &CompletionTimes) -> Vec<SuspectKey> {
    let is_open = |key: &SuspectKey| completions.get(key).is_none_or(|&at| at < record.crashed_ms);
    record.suspects.iter().copied().filter(is_open).collect()
}

/// Number of crashes each of which hit a run that began after the one before.
fn successive(crashes: &[&OpenCrash<'_>]) -> usize {
    let tolerance = u64::try_from(CLOCK_TOLERANCE.as_millis()).unwrap_or_default();
    let mut count = 0;
    let mut last_ms = 0;
    for crash in crashes {
        if crash.record.sent_ms + tolerance >= last_ms {
            count += 1;
            last_ms = crash.record.crashed_ms;
        }
    }
    count
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
