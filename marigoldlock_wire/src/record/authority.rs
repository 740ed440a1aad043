//! Records that claim, renew and resign duties, and the record type of the control stream.

use derive_more::Display;
use serde::{Deserialize, Serialize};

use super::orders::OrderRecord;
use super::usage::UsageRecord;
use crate::prelude::*;

/// Record of the control stream.
#[derive(Clone, Debug, Deserialize, Eq, Hash, PartialEq, Serialize)]
pub enum ControlRecord {
    /// Change of a duty's holder.
    Authority(AuthorityRecord),
    /// An order to an engine or to the platform.
    Order(OrderRecord),
    /// Usage of a customer.
    Usage(UsageRecord),
    /// Part of a snapshot of the fold.
    Snapshot(SnapshotPart),
}

/// Task that at most one process may carry out at a time.
#[derive(Clone, Debug, Deserialize, Display, Eq, Hash, Ord, PartialEq, PartialOrd, Serialize)]
pub enum Duty {
    /// Orders to the engines of a data centre, and to the platform for it.
    #[display("orders/{data_centre}")]
    Orders {
        /// The data centre.
        data_centre: DataCentre,
    },
    /// Usage reports for a shard of the customers.
    #[display("usage/{shard}")]
    Usage {
        /// The shard.
        shard: u16,
    },
    /// Snapshots of the control stream.
    #[display("snapshots")]
    Snapshots,
}

/// Process that holds or held a duty.
#[derive(Clone, Debug, Deserialize, Display, Eq, Hash, Ord, PartialEq, PartialOrd, Serialize)]
#[display("{instance}/{incarnation}")]
pub struct HolderId {
    /// Name of the instance.
    pub instance: InstanceId,
    /// Incarnation of the instance.
    pub incarnation: Incarnation,
}

/// Record that changes who holds a duty.
#[derive(Clone, Debug, Deserialize, Eq, Hash, PartialEq, Serialize)]
pub enum AuthorityRecord {
    /// The writer claims the duty; void unless `supersedes` is the duty's newest record.
    Claim {
        /// The duty.
        duty: Duty,
        /// Position of the newest claim, renewal or resignation that the writer has read; `None` if there is
        /// none.
        supersedes: Option<LogPosition>,
    },
    /// The writer renews all duties that it holds.
    Renew,
    /// The writer resigns from the duty; nothing that it sent under the duty is still in flight.
    Resign {
        /// The duty.
        duty: Duty,
    },
    /// The former holder has stopped sending under the duties that it lost.
    Stopped {
        /// The former holder: the writer itself, or one that the platform no longer lists.
        holder: HolderId,
    },
}

/// Part of a snapshot of the control stream.
///
/// The snapshot is the folded state of all appends before `through`. A reader loads it and continues from
/// `through`, whatever the offset of the snapshot itself.
#[derive(Clone, Debug, Deserialize, Eq, Hash, PartialEq, Serialize)]
pub struct SnapshotPart {
    /// First offset that the snapshot does not cover.
    pub through: u64,
    /// Index of this part, from 0.
    pub part: u32,
    /// Number of parts.
    pub parts: u32,
    /// Slice of the encoded state.
    pub data: Vec<u8>,
}

/// Id of a writer's append.
///
/// A writer numbers its appends and has one in flight at a time. Readers skip an append whose number isn't
/// greater than the writer's highest.
pub fn append_id(incarnation: Incarnation, sequence: u64) -> RecordId {
    RecordId((u128::from(incarnation.0) << 64) | u128::from(sequence))
}

/// Sequence number that the writer gave an append.
pub fn append_sequence(id: RecordId) -> u64 {
    id.0 as u64
}
