//! State of plain keys, as folded from the calls stream.

use std::collections::VecDeque;
use std::sync::Arc;

use bytes::Bytes;
use marigoldlock_wire::codec;
use marigoldlock_wire::peer::CallAnswer;
use marigoldlock_wire::record::calls::{
    CallClaim, CallHash, CallRecord, ClaimOutcome, OutcomePart, RequestFingerprint,
};

use super::home::answer_size;
use crate::prelude::*;

/// Limits of a [`ClaimFold`].
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct ClaimFoldLimits {
    /// Number of keys at which no new claims are made.
    pub max_keys: usize,
    /// Maximum total size of the stored answers, in bytes.
    pub max_stored_bytes: usize,
}

impl Default for ClaimFoldLimits {
    fn default() -> Self {
        Self {
            max_keys: 300_000,
            max_stored_bytes: 16 << 20,
        }
    }
}

/// State of a plain key.
#[derive(Clone, Debug, PartialEq)]
pub enum ClaimState {
    /// Claimed; the claimant may have sent the call.
    Claimed {
        /// Position of the claim.
        claim: LogPosition,
        /// Incarnation of the claimant.
        claimant: Incarnation,
    },
    /// Answered, and the answer is stored.
    Answered(Arc<CallAnswer>),
    /// Answered, but the answer is not stored.
    AnswerDropped,
    /// Sent, but no answer was received.
    Unknown,
    /// Released by the claim with this id, which did not send the call; the key may be claimed again.
    Released(RecordId),
}

#[derive(Debug)]
struct ClaimEntry {
    fingerprint: RequestFingerprint,
    id: RecordId,
    state: ClaimState,
    answer_parts: Vec<Option<Bytes>>,
    /// Offset of the newest record about the key. The key is removed once the log has expired that record.
    newest_offset: u64,
}

/// Change that a record made to the state of its key.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum ClaimChange {
    /// The claim with this id now holds the key.
    Won(RecordId),
    /// The claim with this id lost: another claim came first in the log.
    Lost(RecordId),
    /// The outcome of the call is now known.
    Settled,
    /// The state did not change in a way that matters to a claimant.
    Unchanged,
}

/// State of all plain keys, the same for every reader of the stream.
#[derive(Debug, Default)]
pub struct ClaimFold {
    limits: ClaimFoldLimits,
    position: LogPosition,
    entries: FastMap<CallHash, ClaimEntry>,
    /// Calls with a stored answer, oldest first.
    stored: VecDeque<CallHash>,
    stored_bytes: usize,
}

impl ClaimFold {
    /// Creates the fold of an empty stream.
    pub fn new(limits: ClaimFoldLimits) -> Self {
        Self {
            limits,
            ..Self::default()
        }
    }

    /// Applies the record at `position`, appended by the incarnation `writer`.
    pub fn apply(&mut self, position: LogPosition, writer: Incarnation, record: &CallRecord) -> ClaimChange {
        self.position = self.position.max(position);
        match record {
            CallRecord::Claim(claim) => self.apply_claim(position, writer, claim),
            CallRecord::Outcome(outcome) => self.apply_outcome(position, writer, outcome),
        }
    }

    /// Position of the newest record applied.
    pub fn position(&self) -> LogPosition {
        self.position
    }

    /// Fingerprint of the request under a key, and the state of the key.
    pub fn get(&self, call: CallHash) -> Option<(RequestFingerprint, &ClaimState)> {
        let entry = self.entries.get(&call)?;
        Some((entry.fingerprint, &entry.state))
    }

    /// Removes the keys whose records all lie before `first`, the oldest offset that the log still keeps.
    pub fn expire(&mut self, first: u64) {
        let stored_bytes = &mut self.stored_bytes;
        self.entries.retain(|_, entry| {
            let is_kept = entry.newest_offset >= first;
            if let (false, ClaimState::Answered(answer)) = (is_kept, &entry.state) {
                *stored_bytes -= answer_size(answer);
            }
            is_kept
        });
        let entries = &self.entries;
        self.stored.retain(|call| entries.contains_key(call));
    }

    /// Returns true if no new claims should be made.
    pub fn is_full(&self) -> bool {
        self.entries.len() >= self.limits.max_keys
    }

    /// Number of keys in the fold.
    pub fn len(&self) -> usize {
        self.entries.len()
    }

    /// Returns true if the fold holds no keys.
    pub fn is_empty(&self) -> bool {
        self.entries.is_empty()
    }

    fn apply_claim(
        &mut self,
        position: LogPosition,
        claimant: Incarnation,
        claim: &CallClaim,
    ) -> ClaimChange {
        if let Some(entry) = self.entries.get(&claim.call) {
            match entry.state {
                ClaimState::Released(id) if id != claim.id => {}
                // A duplicate of the claim that holds or held the key changes nothing.
                _ if entry.id == claim.id => return ClaimChange::Unchanged,
                _ => return ClaimChange::Lost(claim.id),
            }
        }
        let entry = ClaimEntry {
            fingerprint: claim.fingerprint,
            id: claim.id,
            state: ClaimState::Claimed {
                claim: position,
                claimant,
            },
            answer_parts: Vec::new(),
            newest_offset: position.offset(),
        };
        self.entries.insert(claim.call, entry);
        ClaimChange::Won(claim.id)
    }

    fn apply_outcome(
        &mut self,
        position: LogPosition,
        writer: Incarnation,
        outcome: &ClaimOutcome,
    ) -> ClaimChange {
        let expected = ClaimState::Claimed {
            claim: outcome.claim,
            claimant: writer,
        };
        // A reader that has just started may find the claim record expired; the outcome record replaces it.
        let entry = self.entries.entry(outcome.call).or_insert_with(|| ClaimEntry {
            fingerprint: outcome.fingerprint,
            id: RecordId::default(),
            state: expected.clone(),
            answer_parts: Vec::new(),
            newest_offset: position.offset(),
        });
        if entry.state != expected {
            return ClaimChange::Unchanged;
        }
        entry.newest_offset = position.offset();
        let Some(state) = entry.add_part(outcome) else {
            return ClaimChange::Unchanged;
        };
        entry.state = state;
        entry.answer_parts = Vec::new();
        if let ClaimState::Answered(answer) = &entry.state {
            self.stored_bytes += answer_size(answer);
            self.stored.push_back(outcome.call);
            self.evict_answers();
        }
        ClaimChange::Settled
    }

    fn evict_answers(&mut self) {
        while self.stored_bytes > self.limits.max_stored_bytes {
            let Some(call) = self.stored.pop_front() else {
                return;
            };
            let Some(entry) = self.entries.get_mut(&call) else {
                continue;
            };
            if let ClaimState::Answered(answer) = &entry.state {
                self.stored_bytes -= answer_size(answer);
                entry.state = ClaimState::AnswerDropped;
            }
        }
    }
}

impl ClaimEntry {
    /// Adds one part of the outcome; returns the new state once all parts are there.
    fn add_part(&mut self, outcome: &ClaimOutcome) -> Option<ClaimState> {
        match &outcome.outcome {
            OutcomePart::NotKept => Some(ClaimState::AnswerDropped),
            OutcomePart::NotRun => Some(ClaimState::Released(self.id)),
            OutcomePart::Unknown => Some(ClaimState::Unknown),
            OutcomePart::Answered(data) => self.add_answer_part(outcome, data),
        }
    }

    fn add_answer_part(&mut self, outcome: &ClaimOutcome, data: &Bytes) -> Option<ClaimState> {
        let (part, parts) = (outcome.part as usize, outcome.parts as usize);
        if self.answer_parts.len() != parts {
            self.answer_parts = vec![None; parts.min(codec::MAX_MESSAGE_BYTES)];
        }
        *self.answer_parts.get_mut(part)? = Some(data.clone());
        if part + 1 < parts {
            return None;
        }
        // Parts are appended in order, so a part that is missing now has expired from the log.
        let parts: Option<Vec<Bytes>> = std::mem::take(&mut self.answer_parts).into_iter().collect();
        let answer = parts.and_then(|parts| codec::decode(&parts.concat()).ok());
        Some(answer.map_or(ClaimState::AnswerDropped, |answer| {
            ClaimState::Answered(Arc::new(answer))
        }))
    }
}
