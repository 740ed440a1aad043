//! Why a change of the settings is refused.

use derive_more::{Display, Error};

use crate::prelude::*;

/// What is wrong with a change.
#[derive(Clone, Debug, Display, Eq, PartialEq)]
pub enum RejectionReason {
    /// The change does not pass a check.
    #[display("{_0}")]
    Invalid(String),
    /// Another change since the expected version touched the path.
    #[display("changed at position {changed_at}, not before the expected version {expected}")]
    Conflict {
        /// Version that the author saw.
        expected: LogPosition,
        /// Position of the conflicting change.
        changed_at: LogPosition,
    },
    /// The position was folded before.
    #[display("position {position} lies before version {version}")]
    OutOfOrder {
        /// Position of the record.
        position: LogPosition,
        /// Version already folded.
        version: LogPosition,
    },
}

/// Refusal of a whole change, with its place.
#[derive(Clone, Debug, Display, Error, Eq, PartialEq)]
#[display("{path}{}: {reason}", line.map(|line| format!(" (line {line})")).unwrap_or_default())]
pub struct SettingsRejection {
    /// Path of the faulty value; it may lie under the path of the change.
    pub path: String,
    /// Line in the change's body, counted from 1, where the fault lies in the body.
    pub line: Option<usize>,
    /// What is wrong.
    pub reason: RejectionReason,
}

impl SettingsRejection {
    /// Refusal of an invalid value at a path, its line not yet known.
    pub fn invalid(path: impl Into<String>, reason: impl Into<String>) -> Self {
        Self {
            path: path.into(),
            line: None,
            reason: RejectionReason::Invalid(reason.into()),
        }
    }

    /// Result code for the author.
    pub fn code(&self) -> ResultCode {
        match self.reason {
            RejectionReason::Invalid(_) => ResultCode::InvalidSettings,
            RejectionReason::Conflict { .. } | RejectionReason::OutOfOrder { .. } => {
                ResultCode::VersionConflict
            }
        }
    }
}
