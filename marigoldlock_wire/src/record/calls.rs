//! Records of the calls stream: claims on plain idempotency keys, and what became of the calls.

use bytes::Bytes;
use derive_more::{Display, From};
use serde::{Deserialize, Serialize};

use crate::platform::MAX_RECORD_BYTES;
use crate::prelude::*;

/// Largest part of an answer in one record, in bytes; the rest of [`MAX_RECORD_BYTES`] is for the envelope.
pub const ANSWER_PART_BYTES: usize = MAX_RECORD_BYTES - (4 << 10);

/// Hash of a call's customer, service and idempotency key.
#[derive(
    Clone, Copy, Debug, Default, Deserialize, Display, Eq, From, Hash, Ord, PartialEq, PartialOrd, Serialize,
)]
#[display("{_0:032x}")]
#[serde(transparent)]
pub struct CallHash(pub u128);

/// Hash of a call's method, path and body, by which another request under the same key is told.
#[derive(Clone, Copy, Debug, Default, Deserialize, Display, Eq, From, Hash, PartialEq, Serialize)]
#[display("{_0:032x}")]
#[serde(transparent)]
pub struct RequestPrint(pub u128);

/// Record of the calls stream.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub enum CallRecord {
    /// The writer wants to run the call; the first claim in log order wins.
    Claim(CallClaim),
    /// What became of the claim's call.
    Outcome(ClaimOutcome),
}

/// Claim on a plain idempotency key.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct CallClaim {
    /// Which call.
    pub call: CallHash,
    /// Which request under the key.
    pub print: RequestPrint,
    /// Id of the claim; a repeated append carries the same one.
    pub id: RecordId,
}

/// Outcome of a claimed call, or a part of it.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct ClaimOutcome {
    /// Which call.
    pub call: CallHash,
    /// Which request under the key; tells it also after the claim's record has expired.
    pub print: RequestPrint,
    /// Position of the claim that won.
    pub claim: LogPosition,
    /// Number of this part, from 0.
    pub part: u32,
    /// How many parts there are.
    pub parts: u32,
    /// The outcome.
    pub outcome: OutcomePart,
}

/// What an outcome record holds.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub enum OutcomePart {
    /// A part of the encoded [`crate::peer::CallAnswer`].
    Answered(Bytes),
    /// The call was answered; the answer is too large for the log.
    NotKept,
    /// The call was not sent and never will be under this claim.
    NotRun,
    /// The call was sent and no answer came.
    Unknown,
}
