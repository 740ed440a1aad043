//! Reasons for rejecting a change of the settings.

use derive_more::{Display, Error};

use crate::prelude::*;

/// Reason for rejecting a change.
#[derive(Clone, Debug, Display, Eq, PartialEq)]
pub enum RejectionReason {
    /// The change fails validation.
    #[display("{_0}")]
    Invalid(String),
    /// Another change, which the author had not seen, modified the path at or after the expected version.
    #[display("changed at position {changed_at}, not before the expected version {expected}")]
    Conflict {
        /// Version that the author saw.
        expected: LogPosition,
        /// Position of the conflicting change, or of the newest forgotten change if that is higher.
        changed_at: LogPosition,
    },
    /// The position was applied before.
    #[display("position {position} lies before version {version}")]
    OutOfOrder {
        /// Position of the record.
        position: LogPosition,
        /// Version that the state has reached.
        version: LogPosition,
    },
}

/// Rejection of a whole change, with the location of the fault.
#[derive(Clone, Debug, Display, Error, Eq, PartialEq)]
#[display("{path}{}: {reason}", line.map(|line| format!(" (line {line})")).unwrap_or_default())]
pub struct SettingsRejection {
    /// Path of the faulty value, at or below the path of the change.
    pub path: String,
    /// Line in the change's body, counted from 1, if the fault is in the body.
    pub line: Option<usize>,
    /// Reason for the rejection.
    pub reason: RejectionReason,
}

impl SettingsRejection {
    /// Creates a rejection of an invalid value whose line is not known yet.
    pub fn invalid(path: impl Into<String>, reason: impl Into<String>) -> Self {
        Self {
            path: path.into(),
            line: None,
            reason: RejectionReason::Invalid(reason.into()),
        }
    }

    /// Returns the result code for the author of the change.
    pub fn code(&self) -> ResultCode {
        match self.reason {
            RejectionReason::Invalid(_) => ResultCode::InvalidSettings,
            RejectionReason::Conflict { .. } | RejectionReason::OutOfOrder { .. } => {
                ResultCode::VersionConflict
            }
        }
    }
}
