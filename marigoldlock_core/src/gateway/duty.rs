//! Leadership over the duties that one instance at a time has, and the records its holder has written.
//!
//! The duties are to report usage, to order upstreams and to change the roles of engines.
//!
//! One stream of the store holds claims of the duties and fixed usage counts. Every append names the end of
//! the stream that its writer has read, so a writer that has missed a claim can't append. The offset of a
//! claim determines its holder's fencing number. The counts of a usage window are appended before they are
//! reported, so that a later holder that reports the window again reports the same counts.

use std::time::Duration;

use marigoldlock_wire::prelude::*;
use serde::{Deserialize, Serialize};

use crate::time::MonoTime;

/// Number of usage windows whose counts are retained.
const RETAINED_WINDOWS: u64 = 32;

/// Record of the duties stream.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub enum DutyRecord {
    /// An instance claims the duties.
    Claim {
        /// The instance.
        holder: InstanceId,
        /// Incarnation of its process.
        incarnation: Incarnation,
    },
    /// The final counts of a usage window.
    Usage {
        /// Index of the window.
        window: u64,
        /// Started requests by customer.
        counts: Vec<(CustomerId, u64)>,
    },
}

/// The latest claim.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct DutyClaim {
    /// The instance that made the claim.
    pub holder: InstanceId,
    /// Incarnation of its process.
    pub incarnation: Incarnation,
    /// Fencing number: the claim's offset, counted from 1.
    pub fence: u64,
    /// When this process first read the claim.
    pub read_at: MonoTime,
}

/// State derived from the records of the duties stream.
#[derive(Clone, Debug, Default)]
pub struct DutyState {
    next_offset: u64,
    claim: Option<DutyClaim>,
    usage: FastMap<u64, Vec<(CustomerId, u64)>>,
}

impl DutyState {
    /// Offset of the next record to read.
    pub fn next_offset(&self) -> u64 {
        self.next_offset
    }

    /// Continues at `offset` after older records have expired.
    pub fn skip_to(&mut self, offset: u64) {
        self.next_offset = self.next_offset.max(offset);
    }

    /// Applies the record at `offset`. Records are applied in order; repeats are ignored.
    pub fn apply(&mut self, offset: u64, record: DutyRecord, now: MonoTime) {
        if offset < self.next_offset {
            return;
        }
        self.next_offset = offset + 1;
        match record {
            DutyRecord::Claim { holder, incarnation } => {
                let fence = offset + 1;
                self.claim = Some(DutyClaim {
                    holder,
                    incarnation,
                    fence,
                    read_at: now,
                });
            }
            DutyRecord::Usage { window, counts } => {
                self.usage.entry(window).or_insert(counts);
                self.usage.retain(|index, _| index + RETAINED_WINDOWS > window);
            }
        }
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

    /// True if the duties may be claimed. The latest claim must be older than `lease`, so that the holder
    /// doesn't change twice within that time.
    pub fn may_claim(&self, now: MonoTime, lease: Duration) -> bool {
        self.claim
            .as_ref()
            .is_none_or(|claim| now.since(claim.read_at) > lease)
    }
}
