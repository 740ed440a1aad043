//! Records of the settings duty.

use serde::{Deserialize, Serialize};

use crate::prelude::*;

/// One accepted change: the value at a path is replaced or removed.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct SettingsChange {
    /// Path of the changed subtree, such as `teams/copydesk/services/booking-app`.
    pub path: String,
    /// New value as TOML; a scalar stands behind the key `value`. `None` removes the subtree.
    pub body: Option<String>,
    /// Version that the author saw; a change since then at or under the path voids this one.
    pub expect: Option<LogPosition>,
    /// Who published it.
    pub author: String,
}
