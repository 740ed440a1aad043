//! Authority over duties, and what its holder has fixed.
//!
//! One stream of the store holds claims and fixed usage figures. Every append names the end of the stream that its
//! writer has read, so a writer that missed a claim can't append. The offset of a claim is the fencing
//! number of its holder. A usage figure is appended before it is reported: whoever reports the window
//! later, reports the same figure.

use std::time::Duration;

use marigoldlock_wire::prelude::*;
use serde::{Deserialize, Serialize};

use crate::time::MonoTime;

/// Windows whose figures are remembered.
const KEPT_WINDOWS: u64 = 32;

/// Record of the duties' stream.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub enum DutyRecord {
    /// An instance takes the duties.
    Claim {
        /// The instance.
        holder: InstanceId,
        /// Start of its process.
        incarnation: Incarnation,
    },
    /// The figures of a window, fixed.
    Usage {
        /// Number of the window.
        window: u64,
        /// Requests that began, by customer.
        counts: Vec<(CustomerId, u64)>,
    },
}

/// The latest claim.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct DutyClaim {
    /// Who claimed.
    pub holder: InstanceId,
    /// Start of its process.
    pub incarnation: Incarnation,
    /// Fencing number: the claim's offset, counted from 1.
    pub fence: u64,
    /// When this process read it first.
    pub read_at: MonoTime,
}

/// State of the duties' stream.
#[derive(Clone, Debug, Default)]
pub struct DutyLedger {
    next_offset: u64,
    claim: Option<DutyClaim>,
    usage: FastMap<u64, Vec<(CustomerId, u64)>>,
}

impl DutyLedger {
    /// Offset of the next record.
    pub fn next_offset(&self) -> u64 {
        self.next_offset
    }

    /// Goes on at `offset` after older records have expired.
    pub fn skip_to(&mut self, offset: u64) {
        self.next_offset = self.next_offset.max(offset);
    }

    /// Takes the record at `offset`; records are taken in order, repeats are ignored.
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
                self.usage.retain(|kept, _| kept + KEPT_WINDOWS > window);
            }
        }
    }

    /// The latest claim.
    pub fn claim(&self) -> Option<&DutyClaim> {
        self.claim.as_ref()
    }

    /// Fencing number of an instance's start, if the latest claim is its own.
    pub fn fence_of(&self, holder: &InstanceId, incarnation: Incarnation) -> Option<u64> {
        let claim = self.claim.as_ref()?;
        (claim.holder == *holder && claim.incarnation == incarnation).then_some(claim.fence)
    }

    /// Figures of a window, if they are fixed.
    pub fn usage(&self, window: u64) -> Option<&[(CustomerId, u64)]> {
        self.usage.get(&window).map(Vec::as_slice)
    }

    /// True if the duties may be claimed: the last claim is older than `lease`, so that holders never take turns
    /// within it.
    pub fn may_claim(&self, now: MonoTime, lease: Duration) -> bool {
        self.claim
            .as_ref()
            .is_none_or(|claim| now.since(claim.read_at) > lease)
    }
}
