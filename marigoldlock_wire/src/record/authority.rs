//! Records of the authority duty, and the record type of the control stream.

use derive_more::Display;
use serde::{Deserialize, Serialize};

use super::orders::OrderRecord;
use super::usage::UsageRecord;
use crate::prelude::*;

/// Record of the control stream.
#[derive(Clone, Debug, Deserialize, Eq, Hash, PartialEq, Serialize)]
pub enum ControlRecord {
    /// Who holds a duty.
    Authority(AuthorityRecord),
    /// An order to an engine or to the platform.
    Order(OrderRecord),
    /// Usage of a customer.
    Usage(UsageRecord),
    /// Part of a snapshot of the folded stream.
    Snapshot(SnapshotPart),
}

/// What at most one process may do at a time.
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
    /// Which start of it.
    pub incarnation: Incarnation,
}

/// Record that changes who holds a duty.
#[derive(Clone, Debug, Deserialize, Eq, Hash, PartialEq, Serialize)]
pub enum AuthorityRecord {
    /// The writer takes the duty; void unless `supersedes` is the duty's newest record.
    Claim {
        /// The duty.
        duty: Duty,
        /// Position of the newest claim, renewal or resignation seen; `None` if there is none.
        supersedes: Option<LogPosition>,
    },
    /// The writer keeps every duty that it holds.
    Renew,
    /// The writer gives the duty up; nothing that it sent under it is still under way.
    Resign {
        /// The duty.
        duty: Duty,
    },
    /// The holder sends nothing more under the duties that it has lost.
    Stopped {
        /// The former holder: the writer itself, or one that the platform no longer lists.
        holder: HolderId,
    },
}

/// Part of a snapshot of the control stream.
///
/// The snapshot is the folded state of all appends before `through`; a reader loads it and goes on from
/// `through`, wherever the snapshot itself stands.
#[derive(Clone, Debug, Deserialize, Eq, Hash, PartialEq, Serialize)]
pub struct SnapshotPart {
    /// First offset that the snapshot does not cover.
    pub through: u64,
    /// Number of this part, from 0.
    pub part: u32,
    /// How many parts there are.
    pub parts: u32,
    /// Slice of the encoded state.
    pub data: Vec<u8>,
}

/// Id of a writer's append.
///
/// A writer numbers its appends and has one on the way at a time; readers skip a number that is not above
/// the writer's highest.
pub fn append_id(incarnation: Incarnation, sequence: u64) -> RecordId {
    RecordId((u128::from(incarnation.0) << 64) | u128::from(sequence))
}

/// The number that the writer gave an append.
pub fn append_sequence(id: RecordId) -> u64 {
    id.0 as u64
}
