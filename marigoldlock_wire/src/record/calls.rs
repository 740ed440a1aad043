//! Records of the calls stream: claims on plain idempotency keys and the outcomes of their calls.

use bytes::Bytes;
use derive_more::{Display, From};
use serde::{Deserialize, Serialize};

use crate::platform::MAX_RECORD_BYTES;
use crate::prelude::*;

/// Maximum part of an answer in one record, in bytes; the rest of [`MAX_RECORD_BYTES`] is for the envelope.
pub const MAX_ANSWER_PART_BYTES: usize = MAX_RECORD_BYTES - (4 << 10);

/// Hash of a call's customer, service and idempotency key.
#[derive(
    Clone, Copy, Debug, Default, Deserialize, Display, Eq, From, Hash, Ord, PartialEq, PartialOrd, Serialize,
)]
#[display("{_0:032x}")]
#[serde(transparent)]
pub struct CallHash(pub u128);

/// Hash of a call's method, path and body. It tells whether two requests with the same key are the same.
#[derive(Clone, Copy, Debug, Default, Deserialize, Display, Eq, From, Hash, PartialEq, Serialize)]
#[display("{_0:032x}")]
#[serde(transparent)]
pub struct RequestFingerprint(pub u128);

/// Record of the calls stream.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub enum CallRecord {
    /// The writer wants to run the call; the first claim in log order wins.
    Claim(CallClaim),
    /// Outcome of the claim's call, or part of it.
    Outcome(ClaimOutcome),
}

/// Claim on a plain idempotency key.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct CallClaim {
    /// Call that is claimed.
    pub call: CallHash,
    /// Fingerprint of the request.
    pub fingerprint: RequestFingerprint,
    /// Id of the claim; the same in a repeated append.
    pub id: RecordId,
}

/// Outcome of a claimed call, or a part of it.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct ClaimOutcome {
    /// Call that is claimed.
    pub call: CallHash,
    /// Fingerprint of the request; needed here once the claim's record has expired.
    pub fingerprint: RequestFingerprint,
    /// Position of the winning claim.
    pub claim: LogPosition,
    /// Index of this part, from 0.
    pub part: u32,
    /// Number of parts.
    pub parts: u32,
    /// The outcome.
    pub outcome: OutcomePart,
}

/// Content of an outcome record.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub enum OutcomePart {
    /// Part of the encoded [`crate::peer::CallAnswer`].
    Answered(Bytes),
    /// The call was answered, but the answer is too large for the log.
    NotKept,
    /// The call was not sent and never will be under this claim.
    NotRun,
    /// The call was sent and no answer came.
    Unknown,
}
