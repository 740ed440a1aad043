//! What the calls stream says about plain keys.

use std::collections::VecDeque;
use std::sync::Arc;

use bytes::Bytes;
use marigoldlock_wire::codec;
use marigoldlock_wire::peer::CallAnswer;
use marigoldlock_wire::record::calls::{
    CallClaim, CallHash, CallRecord, ClaimOutcome, OutcomePart, RequestFingerprint,
};

use super::home::answer_bytes;
use crate::prelude::*;

/// Bounds of the fold.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct ClaimLimits {
    /// Keys after which no new claims are made.
    pub keys: usize,
    /// Most bytes of answers kept.
    pub answer_bytes: usize,
}

impl Default for ClaimLimits {
    fn default() -> Self {
        Self {
            keys: 300_000,
            answer_bytes: 16 << 20,
        }
    }
}

/// What is known of a plain key.
#[derive(Clone, Debug, PartialEq)]
pub enum ClaimState {
    /// Claimed; the claimant may have sent it.
    Claimed {
        /// Position of the claim.
        claim: LogPosition,
        /// Start of the claimant.
        claimant: Incarnation,
    },
    /// Answered.
    Answered(Arc<CallAnswer>),
    /// Answered; the answer is not kept.
    AnswerDropped,
    /// Sent, and no answer came.
    Unknown,
    /// Not sent under the claim with this id; it may be claimed again.
    Released(RecordId),
}

#[derive(Debug)]
struct ClaimEntry {
    print: RequestFingerprint,
    id: RecordId,
    state: ClaimState,
    parts: Vec<Option<Bytes>>,
    /// Offset of the newest record about the key; the key is forgotten when that has expired.
    newest: u64,
}

/// What a record changed.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum FoldStep {
    /// The claim with the id holds the key.
    Won(RecordId),
    /// The claim with the id came too late.
    Lost(RecordId),
    /// The key has its outcome.
    Settled,
    /// Nothing that matters.
    Nothing,
}

/// State of all plain keys, the same at every reader of the stream.
#[derive(Debug, Default)]
pub struct ClaimFold {
    limits: ClaimLimits,
    position: LogPosition,
    entries: FastMap<CallHash, ClaimEntry>,
    kept: VecDeque<CallHash>,
    kept_bytes: usize,
}

impl ClaimFold {
    /// The fold of an empty stream.
    pub fn new(limits: ClaimLimits) -> Self {
        Self {
            limits,
            ..Self::default()
        }
    }

    /// Takes the record at `position`, appended by the incarnation `writer`.
    pub fn apply(&mut self, position: LogPosition, writer: Incarnation, record: &CallRecord) -> FoldStep {
        self.position = self.position.max(position);
        match record {
            CallRecord::Claim(claim) => self.apply_claim(position, writer, claim),
            CallRecord::Outcome(outcome) => self.apply_outcome(position, writer, outcome),
        }
    }

    /// Position of the newest record taken.
    pub fn position(&self) -> LogPosition {
        self.position
    }

    /// State of a key and which request it stands for.
    pub fn get(&self, call: CallHash) -> Option<(RequestFingerprint, &ClaimState)> {
        let entry = self.entries.get(&call)?;
        Some((entry.print, &entry.state))
    }

    /// Forgets the keys all of whose records lie before `first`, the oldest offset that the log still keeps.
    pub fn expire(&mut self, first: u64) {
        let kept_bytes = &mut self.kept_bytes;
        self.entries.retain(|_, entry| {
            let is_kept = entry.newest >= first;
            if let (false, ClaimState::Answered(answer)) = (is_kept, &entry.state) {
                *kept_bytes -= answer_bytes(answer);
            }
            is_kept
        });
        let entries = &self.entries;
        self.kept.retain(|call| entries.contains_key(call));
    }

    /// True when no new claims should be made.
    pub fn is_full(&self) -> bool {
        self.entries.len() >= self.limits.keys
    }

    /// Keys remembered.
    pub fn len(&self) -> usize {
        self.entries.len()
    }

    /// True if no key is remembered.
    pub fn is_empty(&self) -> bool {
        self.entries.is_empty()
    }

    fn apply_claim(&mut self, position: LogPosition, claimant: Incarnation, claim: &CallClaim) -> FoldStep {
        if let Some(entry) = self.entries.get(&claim.call) {
            match entry.state {
                ClaimState::Released(id) if id != claim.id => {}
                // A repeated append of the claim that holds the key, or held it, changes nothing.
                _ if entry.id == claim.id => return FoldStep::Nothing,
                _ => return FoldStep::Lost(claim.id),
            }
        }
        let entry = ClaimEntry {
            print: claim.fingerprint,
            id: claim.id,
            state: ClaimState::Claimed {
                claim: position,
                claimant,
            },
            parts: Vec::new(),
            newest: position.offset(),
        };
        self.entries.insert(claim.call, entry);
        FoldStep::Won(claim.id)
    }

    fn apply_outcome(
        &mut self,
        position: LogPosition,
        writer: Incarnation,
        outcome: &ClaimOutcome,
    ) -> FoldStep {
        let expected = ClaimState::Claimed {
            claim: outcome.claim,
            claimant: writer,
        };
        // The claim's own record may have expired for a fresh reader; the outcome stands for it.
        let entry = self.entries.entry(outcome.call).or_insert_with(|| ClaimEntry {
            print: outcome.fingerprint,
            id: RecordId::default(),
            state: expected.clone(),
            parts: Vec::new(),
            newest: position.offset(),
        });
        if entry.state != expected {
            return FoldStep::Nothing;
        }
        entry.newest = position.offset();
        let Some(state) = entry.take_part(outcome) else {
            return FoldStep::Nothing;
        };
        entry.state = state;
        entry.parts = Vec::new();
        if let ClaimState::Answered(answer) = &entry.state {
            self.kept_bytes += answer_bytes(answer);
            self.kept.push_back(outcome.call);
            self.drop_old_answers();
        }
        FoldStep::Settled
    }

    fn drop_old_answers(&mut self) {
        while self.kept_bytes > self.limits.answer_bytes {
            let Some(call) = self.kept.pop_front() else {
                return;
            };
            let Some(entry) = self.entries.get_mut(&call) else {
                continue;
            };
            if let ClaimState::Answered(answer) = &entry.state {
                self.kept_bytes -= answer_bytes(answer);
                entry.state = ClaimState::AnswerDropped;
            }
        }
    }
}

impl ClaimEntry {
    /// The state once the outcome is whole.
    fn take_part(&mut self, outcome: &ClaimOutcome) -> Option<ClaimState> {
        match &outcome.outcome {
            OutcomePart::NotKept => Some(ClaimState::AnswerDropped),
            OutcomePart::NotRun => Some(ClaimState::Released(self.id)),
            OutcomePart::Unknown => Some(ClaimState::Unknown),
            OutcomePart::Answered(data) => self.take_answer(outcome, data),
        }
    }

    fn take_answer(&mut self, outcome: &ClaimOutcome, data: &Bytes) -> Option<ClaimState> {
        let (part, parts) = (outcome.part as usize, outcome.parts as usize);
        if self.parts.len() != parts {
            self.parts = vec![None; parts.min(codec::MAX_MESSAGE_BYTES)];
        }
        *self.parts.get_mut(part)? = Some(data.clone());
        if part + 1 < parts {
            return None;
        }
        // Parts come in order, so that one missing now has expired.
        let whole: Option<Vec<Bytes>> = std::mem::take(&mut self.parts).into_iter().collect();
        let answer = whole.and_then(|parts| codec::decode(&parts.concat()).ok());
        Some(answer.map_or(ClaimState::AnswerDropped, |answer| {
            ClaimState::Answered(Arc::new(answer))
        }))
    }
}
