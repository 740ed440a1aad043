//! Records in the platform's log.
//!
//! One append carries an [`Envelope`] with one or more records of a duty. Appends are repeated with the
//! same [`RecordId`] when their answer is lost; a reader takes the first envelope with an id and skips the
//! rest.

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

/// Stream of snapshots of the folded settings, written before the records that made them expire.
pub const SETTINGS_SNAPSHOT_STREAM: &str = "settings-snapshots";

/// Stream of authority, orders and usage.
pub const CONTROL_STREAM: &str = "control";

/// Stream of claims on plain idempotency keys.
pub const CALLS_STREAM: &str = "calls";

/// Stream of jobs.
pub const JOBS_STREAM: &str = "jobs";

/// What one append holds.
#[derive(Clone, Debug, Deserialize, Eq, Hash, PartialEq, Serialize)]
pub struct Envelope<R> {
    /// The same for each repeat of the append.
    pub id: RecordId,
    /// Who appended it.
    pub writer: InstanceId,
    /// Which start of the writer.
    pub incarnation: Incarnation,
    /// The records, in order.
    pub records: Vec<R>,
}
