//! Records of the settings stream.

use serde::{Deserialize, Serialize};

use crate::prelude::*;

/// One accepted change: the value at a path is replaced or removed.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct SettingsChange {
    /// Path of the changed subtree, such as `teams/copydesk/services/booking-app`.
    pub path: String,
    /// New value as TOML; a scalar is the value of the key `value`. `None` removes the subtree.
    pub body: Option<String>,
    /// Version that the author edited; a later change at or below the path makes this one void.
    pub expect: Option<LogPosition>,
    /// Name of the author.
    pub author: String,
}
