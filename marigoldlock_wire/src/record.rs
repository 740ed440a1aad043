//! Records in the platform's log.
//!
//! One append carries an [`Envelope`] with one or more records. If its answer is lost, the append is repeated
//! with the same [`RecordId`]; readers apply the first envelope with an id and skip the others.

use serde::{Deserialize, Serialize};

use crate::prelude::*;

pub mod authority;
pub mod calls;
pub mod jobs;
pub mod orders;
pub mod settings;
pub mod usage;

/// Stream of the settings.
pub const SETTINGS_STREAM: &str = "settings";

/// Stream of snapshots of the folded settings. A snapshot is written before the records that it covers
/// expire.
pub const SETTINGS_SNAPSHOT_STREAM: &str = "settings-snapshots";

/// Stream of duty, order and usage records.
pub const CONTROL_STREAM: &str = "control";

/// Stream of claims on plain idempotency keys.
pub const CALLS_STREAM: &str = "calls";

/// Stream of jobs.
pub const JOBS_STREAM: &str = "jobs";

/// Content of one append.
#[derive(Clone, Debug, Deserialize, Eq, Hash, PartialEq, Serialize)]
pub struct Envelope<R> {
    /// Id of the append; the same for every repeat.
    pub id: RecordId,
    /// Instance that appended it.
    pub writer: InstanceId,
    /// Incarnation of the writer.
    pub incarnation: Incarnation,
    /// The records, in order.
    pub records: Vec<R>,
}
