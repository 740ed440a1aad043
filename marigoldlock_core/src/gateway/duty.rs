//! Leadership over the duties that one instance at a time has, and the records its holder has written.
//!
//! The duties are to report usage, to order upstreams and to change the roles of engines.
//!
//! One stream of the store holds claims of the duties and fixed usage counts. Every append names the end of
//! the stream that its writer has read, so a writer that has missed a claim can't append. The era and the offset of a
//! claim determine its holder's fencing number. The counts of a usage window are appended before they are
//! reported, so that a later holder that reports the window again reports the same counts.
//!
//! Receivers that check the fencing number refuse the calls of a former holder. Where they don't, the holder may send only
//! within [`SEND_SHARE`] of the lease after it sent an append that was confirmed; the rest of the lease is for calls in
//! flight. A successor sends nothing until a lease has passed since it read the records before its claim: its claim can't
//! follow a record that it hasn't read, so no append of the former holder is confirmed later. Neither rule depends on when a
//! process runs, so both hold for a holder that was frozen.
//!
//! When the store comes back from a copy, records may be lost and their offsets given out again. A claim names the era that its
//! writer knew and counts in that era only, so the duties are claimed anew and fencing numbers rise. The same holds for counts: a
//! record of an earlier era may be the copy's, or an append that was carried out late where others had stood. Counts that were
//! read in their own era stay known, and the holder writes them again. Counts that were lost and that nobody read may have been reported: a claim names
//! the first window of which that is impossible, and its holder fixes counts from there on only.

use std::time::Duration;

use marigoldlock_wire::prelude::*;
use serde::{Deserialize, Serialize};

use crate::time::MonoTime;

use super::era::{StoreEra, StorePosition};

/// Number of usage windows whose counts are retained.
const RETAINED_WINDOWS: u64 = 32;

/// Share of the lease in which a holder may send calls after it sent an append that was confirmed, where nobody checks its
/// fencing number. The rest is for calls in flight.
pub const SEND_SHARE: f64 = 0.5;

/// Share of the lease after which such a holder renews its right before it sends a call. Appends normally take milliseconds, so
/// the right lasts for the call.
const RENEWAL_SHARE: f64 = 0.25;

/// Factor by which a successor waits longer than the lease. Monotonic clocks of machines differ by well under 1 %.
const WAIT_FACTOR: f64 = 1.05;

/// Record of the duties stream.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub enum DutyRecord {
    /// An instance claims the duties.
    Claim {
        /// The instance.
        holder: InstanceId,
        /// Incarnation of its process.
        incarnation: Incarnation,
        /// Era in which the claim counts.
        era: StoreEra,
        /// First usage window that can't have been reported in an earlier era.
        first_window: u64,
    },
    /// The final counts of a usage window.
    Usage {
        /// Index of the window.
        window: u64,
        /// Started requests by customer.
        counts: Vec<(CustomerId, u64)>,
        /// Era in which the counts are fixed.
        era: StoreEra,
        /// First usage window that can't have been reported in an earlier era.
        first_window: u64,
    },
    /// The holder renews its right to send calls.
    Renewal {
        /// Its fencing number.
        fence: u64,
    },
}

/// The latest claim.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct DutyClaim {
    /// The instance that made the claim.
    pub holder: InstanceId,
    /// Incarnation of its process.
    pub incarnation: Incarnation,
    /// Fencing number, from the era and the offset of the claim.
    pub fence: u64,
    /// When this process first read the claim.
    pub read_at: MonoTime,
}

/// State derived from the records of the duties stream.
#[derive(Clone, Debug, Default)]
pub struct DutyState {
    era: StoreEra,
    next_offset: u64,
    claim: Option<DutyClaim>,
    usage: FastMap<u64, Vec<(CustomerId, u64)>>,
    /// Windows whose counts the stream holds in this era.
    stored: FastSet<u64>,
    /// The first window of the records of this era.
    claimed_window: Option<u64>,
    /// The first window that can't have been reported in an earlier era, as far as this process knows.
    first_window: u64,
    /// When the newest record was read; `None` if records before the next one were skipped.
    newest_read_at: Option<MonoTime>,
    /// When the records before the latest claim had been read; `None` if it is the first record of the stream.
    former_read_at: Option<MonoTime>,
    /// When this process sent its newest append that was confirmed since the latest claim.
    renewed_at: Option<MonoTime>,
}

impl DutyState {
    /// Offset of the next record to read.
    pub fn next_offset(&self) -> u64 {
        self.next_offset
    }

    /// Position of the next record to read.
    pub fn position(&self) -> StorePosition {
        StorePosition::new(self.era, self.next_offset)
    }

    /// Begins to read the stream of a new era. Windows before `first_window` had ended when the process learned of the era; 0 if
    /// the fleet has known no other. Claims of earlier eras are void; counts that were read stay known.
    pub fn enter_era(&mut self, era: StoreEra, first_window: u64, now: MonoTime) {
        self.era = era;
        self.next_offset = 0;
        self.claim = None;
        self.stored.clear();
        self.claimed_window = None;
        self.first_window = first_window;
        // A former holder can't have had an append confirmed after this.
        self.newest_read_at = Some(now);
        self.former_read_at = None;
        self.renewed_at = None;
    }

    /// A claim of the duties in the present era.
    pub fn new_claim(&self, holder: InstanceId, incarnation: Incarnation) -> DutyRecord {
        DutyRecord::Claim {
            holder,
            incarnation,
            era: self.era,
            first_window: self.claimed_window.unwrap_or(self.first_window),
        }
    }

    /// The final counts of a window in the present era.
    pub fn new_counts(&self, window: u64, counts: Vec<(CustomerId, u64)>) -> DutyRecord {
        DutyRecord::Usage {
            window,
            counts,
            era: self.era,
            first_window: self.claimed_window.unwrap_or(self.first_window),
        }
    }

    /// Continues at `offset` after older records have expired.
    pub fn skip_to(&mut self, offset: u64) {
        if offset > self.next_offset {
            self.next_offset = offset;
            self.newest_read_at = None;
        }
    }

    /// Applies the record at `offset`. Records are applied in order; repeats are ignored.
    pub fn apply(&mut self, offset: u64, record: DutyRecord, now: MonoTime) {
        if offset < self.next_offset {
            return;
        }
        self.next_offset = offset + 1;
        match record {
            // A claim of an earlier era was read from a copy, or appended late.
            DutyRecord::Claim { era, .. } if era != self.era => {}
            DutyRecord::Claim {
                holder,
                incarnation,
                first_window,
                ..
            } => {
                let fence = StorePosition::new(self.era, offset).fence();
                let has_former = offset > 0 || first_window > 0;
                self.former_read_at = has_former.then(|| self.newest_read_at.unwrap_or(now));
                self.claimed_window = Some(first_window);
                self.renewed_at = None;
                self.claim = Some(DutyClaim {
                    holder,
                    incarnation,
                    fence,
                    read_at: now,
                });
            }
            // The same: in its own era, other counts may have been fixed at this offset.
            DutyRecord::Usage { era, .. } if era != self.era => {}
            DutyRecord::Usage {
                window,
                counts,
                first_window,
                ..
            } => {
                self.claimed_window = Some(first_window);
                self.usage.entry(window).or_insert(counts);
                self.usage.retain(|index, _| index + RETAINED_WINDOWS > window);
                self.stored.insert(window);
                self.stored.retain(|index| index + RETAINED_WINDOWS > window);
            }
            DutyRecord::Renewal { .. } => {}
        }
        self.newest_read_at = Some(now);
    }

    /// Records that an append which the process sent at `sent_at` is confirmed.
    pub fn confirm(&mut self, holder: &InstanceId, incarnation: Incarnation, sent_at: MonoTime) {
        if self.fence_of(holder, incarnation).is_some() {
            self.renewed_at = self.renewed_at.max(Some(sent_at));
        }
    }

    /// True if the holder with this fencing number may send a call at `now` to a receiver that doesn't check the number.
    pub fn may_send(&self, fence: u64, now: MonoTime, lease: Duration) -> bool {
        let is_latest = self.claim.as_ref().is_some_and(|claim| claim.fence == fence);
        is_latest && self.has_waited(now, lease) && self.is_renewed_within(lease.mul_f64(SEND_SHARE), now)
    }

    /// True if no call of a former holder can be in flight any more.
    pub fn has_waited(&self, now: MonoTime, lease: Duration) -> bool {
        self.former_read_at
            .is_none_or(|at| now.since(at) >= lease.mul_f64(WAIT_FACTOR))
    }

    /// True if the holder should renew its right before it sends a call.
    pub fn needs_renewal(&self, now: MonoTime, lease: Duration) -> bool {
        !self.is_renewed_within(lease.mul_f64(RENEWAL_SHARE), now)
    }

    fn is_renewed_within(&self, max_age: Duration, now: MonoTime) -> bool {
        self.renewed_at.is_some_and(|at| now.since(at) < max_age)
    }

    /// The latest claim.
    pub fn claim(&self) -> Option<&DutyClaim> {
        self.claim.as_ref()
    }

    /// Fencing number of an instance process, if the latest claim is its own.
    pub fn fence_of(&self, holder: &InstanceId, incarnation: Incarnation) -> Option<u64> {
        let claim = self.claim.as_ref()?;
        (claim.holder == *holder && claim.incarnation == incarnation).then_some(claim.fence)
    }

    /// Counts of a window, if they are fixed.
    pub fn usage(&self, window: u64) -> Option<&[(CustomerId, u64)]> {
        self.usage.get(&window).map(Vec::as_slice)
    }

    /// True if the stream holds the counts of a window in this era.
    pub fn is_stored(&self, window: u64) -> bool {
        self.stored.contains(&window)
    }

    /// True if the holder may fix the counts of a window: nobody can have reported it in an earlier era.
    pub fn is_open(&self, window: u64) -> bool {
        self.claimed_window.is_some_and(|first| window >= first)
    }

    /// True if the duties may be claimed. The latest claim must be older than `lease`, so that the holder
    /// doesn't change twice within that time.
    pub fn may_claim(&self, now: MonoTime, lease: Duration) -> bool {
        self.claim
            .as_ref()
            .is_none_or(|claim| now.since(claim.read_at) > lease)
    }
}
