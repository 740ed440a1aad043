//! Claims of one instance on plain keys.
//!
//! An instance appends its claim and sends the call only after it has read the claim back as the winner. The
//! call is sent at most once, and only before the send deadline of the claim by the instance's own clock. A
//! claimant that was paused beyond the deadline releases the claim instead. Other instances never send a
//! claimed call: if the claimant has ended without recording an outcome, they answer that the outcome is
//! unknown.

use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use marigoldlock_wire::codec;
use marigoldlock_wire::peer::CallAnswer;
use marigoldlock_wire::record::calls::{
    CallClaim, CallHash, CallRecord, ClaimOutcome, MAX_ANSWER_PART_BYTES, OutcomePart, RequestFingerprint,
};

use super::claim_fold::{ClaimChange, ClaimFold, ClaimFoldLimits, ClaimState};
use super::home::CallOutcome;
use crate::prelude::*;

/// Limits of a [`ClaimTable`].
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct ClaimTableLimits {
    /// Maximum time from the decision to claim until the call is sent; far below the retention of the log.
    pub send_timeout: Duration,
    /// Maximum number of open calls: claimed, but their outcome has not been read back.
    pub max_open_calls: usize,
    /// Maximum size of an encoded answer that is appended to the log, in bytes.
    pub max_answer_bytes: usize,
}

impl Default for ClaimTableLimits {
    fn default() -> Self {
        Self {
            send_timeout: Duration::from_secs(5),
            max_open_calls: 4_096,
            max_answer_bytes: 1 << 20,
        }
    }
}

/// Decision about a call with a plain key.
#[derive(Clone, Debug, PartialEq)]
pub enum ClaimDecision {
    /// Append the claim, then wait for [`ClaimAction::Send`] or [`ClaimAction::Retry`].
    Claim(CallClaim),
    /// Another request runs the call, here or on another instance; wait for its outcome and decide again.
    Wait {
        /// Incarnation that claimed the call according to the log; `None` if the call is open in this table.
        claimant: Option<Incarnation>,
    },
    /// Return the stored answer of the call.
    Replay(Arc<CallAnswer>),
    /// Refuse the request with this code.
    Refuse(ResultCode),
}

/// Action that a record requires of this instance.
#[derive(Clone, Debug, PartialEq)]
pub enum ClaimAction {
    /// The claim won: send the call if [`ClaimTable::try_mark_sent`] returns true, then settle it.
    Send(CallHash),
    /// The claim lost: call [`ClaimTable::begin`] again.
    Retry(CallHash),
    /// The outcome of the call is known: wake the requests that wait for it.
    Settled(CallHash),
    /// Append the record; it releases a claim that no request of this instance waits for any more.
    Append(CallRecord),
}

#[derive(Debug)]
enum OpenState {
    Claiming,
    Won { claim: LogPosition },
    Sent { claim: LogPosition },
    Settled(CallOutcome),
}

#[derive(Debug)]
struct OpenCall {
    fingerprint: RequestFingerprint,
    id: RecordId,
    claimed_at: MonoTime,
    state: OpenState,
}

/// Calls with plain keys as seen by one instance.
#[derive(Debug)]
pub struct ClaimTable {
    incarnation: Incarnation,
    limits: ClaimTableLimits,
    fold: ClaimFold,
    /// Calls claimed by this instance whose outcome has not been read back.
    open: FastMap<CallHash, OpenCall>,
}

impl ClaimTable {
    /// Creates the table of an instance that has not read any records yet.
    pub fn new(incarnation: Incarnation, limits: ClaimTableLimits, claims: ClaimFoldLimits) -> Self {
        Self {
            incarnation,
            limits,
            fold: ClaimFold::new(claims),
            open: FastMap::default(),
        }
    }

    /// Incarnation of this instance.
    pub fn incarnation(&self) -> Incarnation {
        self.incarnation
    }

    /// Time after which a call claimed by this instance must not be sent.
    pub fn send_deadline(&self, call: CallHash) -> Option<MonoTime> {
        let open = self.open.get(&call)?;
        Some(open.claimed_at + self.limits.send_timeout)
    }

    /// Returns true if this instance has claimed the call and not read its outcome back yet.
    pub fn is_open(&self, call: CallHash) -> bool {
        self.open.contains_key(&call)
    }

    /// State of all plain keys.
    pub fn fold(&self) -> &ClaimFold {
        &self.fold
    }

    /// Number of calls claimed by this instance whose outcome has not been read back.
    pub fn open_calls(&self) -> usize {
        self.open.len()
    }

    /// Removes the keys whose records all lie before `first`, the oldest offset that the log still keeps.
    pub fn expire(&mut self, first: u64) {
        self.fold.expire(first);
    }

    /// Decides what to do with a call; `id` is the record id of the claim if one is made.
    ///
    /// `has_ended` returns true for an incarnation that has ended or is no longer reachable.
    pub fn begin(
        &mut self,
        call: CallHash,
        fingerprint: RequestFingerprint,
        id: RecordId,
        now: MonoTime,
        has_ended: impl Fn(Incarnation) -> bool,
    ) -> ClaimDecision {
        if let Some(open) = self.open.get(&call) {
            return decide_open(open, fingerprint);
        }
        match self.fold.get(call) {
            None | Some((_, ClaimState::Released(_))) => self.claim(call, fingerprint, id, now),
            Some((known, _)) if known != fingerprint => {
                ClaimDecision::Refuse(ResultCode::IdempotencyKeyReused)
            }
            Some((_, state)) => decide_claimed(state, self.incarnation, has_ended),
        }
    }

    /// Applies a record of the stream.
    pub fn on_record(
        &mut self,
        position: LogPosition,
        writer: Incarnation,
        record: &CallRecord,
    ) -> Option<ClaimAction> {
        match self.fold.apply(position, writer, record) {
            ClaimChange::Won(id) if writer == self.incarnation => {
                Some(self.on_claim_won(position, id, record))
            }
            ClaimChange::Lost(id) if writer == self.incarnation => self.on_claim_lost(id, record),
            ClaimChange::Settled => {
                let call = call_hash(record);
                self.close_settled(call);
                Some(ClaimAction::Settled(call))
            }
            ClaimChange::Won(_) | ClaimChange::Lost(_) | ClaimChange::Unchanged => None,
        }
    }

    /// Marks the call as sent and returns true if it may be sent now; returns true at most once per claim.
    ///
    /// Call this immediately before sending, without awaiting in between. If it returns false, settle the
    /// call as not run.
    pub fn try_mark_sent(&mut self, call: CallHash, now: MonoTime) -> bool {
        let Some(open) = self.open.get_mut(&call) else {
            return false;
        };
        let OpenState::Won { claim } = open.state else {
            return false;
        };
        if now.since(open.claimed_at) >= self.limits.send_timeout {
            return false;
        }
        open.state = OpenState::Sent { claim };
        true
    }

    /// Gives up a claim that was not read back in time; its call won't be sent.
    ///
    /// Returns false if the claim has been read back in the meantime; the call then proceeds.
    pub fn abandon(&mut self, call: CallHash) -> bool {
        let is_claiming = self
            .open
            .get(&call)
            .is_some_and(|open| matches!(open.state, OpenState::Claiming));
        if is_claiming {
            self.open.remove(&call);
        }
        is_claiming
    }

    /// Ends a call that this instance claimed; returns the records to append.
    ///
    /// Until the records are read back, this table holds the outcome.
    pub fn settle(&mut self, call: CallHash, outcome: CallOutcome) -> Vec<CallRecord> {
        let Some(open) = self.open.get_mut(&call) else {
            return Vec::new();
        };
        let (OpenState::Won { claim } | OpenState::Sent { claim }) = open.state else {
            return Vec::new();
        };
        let records = outcome_records(
            call,
            open.fingerprint,
            claim,
            &outcome,
            self.limits.max_answer_bytes,
        );
        open.state = OpenState::Settled(outcome);
        records
    }

    /// Closes a call whose outcome is in the fold, unless this instance has started a newer claim on its key.
    fn close_settled(&mut self, call: CallHash) {
        let is_newer = self
            .open
            .get(&call)
            .is_some_and(|open| matches!(open.state, OpenState::Claiming));
        if !is_newer {
            self.open.remove(&call);
        }
    }

    fn claim(
        &mut self,
        call: CallHash,
        fingerprint: RequestFingerprint,
        id: RecordId,
        now: MonoTime,
    ) -> ClaimDecision {
        if self.fold.is_full() || self.open.len() >= self.limits.max_open_calls {
            return ClaimDecision::Refuse(ResultCode::InstanceOverloaded);
        }
        let open = OpenCall {
            fingerprint,
            id,
            claimed_at: now,
            state: OpenState::Claiming,
        };
        self.open.insert(call, open);
        ClaimDecision::Claim(CallClaim {
            call,
            fingerprint,
            id,
        })
    }

    fn on_claim_won(&mut self, claim: LogPosition, id: RecordId, record: &CallRecord) -> ClaimAction {
        let call = call_hash(record);
        if let Some(open) = self.open.get_mut(&call).filter(|open| open.id == id) {
            open.state = OpenState::Won { claim };
            return ClaimAction::Send(call);
        }
        let fingerprint = self
            .fold
            .get(call)
            .map(|(fingerprint, _)| fingerprint)
            .unwrap_or_default();
        ClaimAction::Append(outcome_record(call, fingerprint, claim, OutcomePart::NotRun))
    }

    fn on_claim_lost(&mut self, id: RecordId, record: &CallRecord) -> Option<ClaimAction> {
        let call = call_hash(record);
        self.open.get(&call).filter(|open| open.id == id)?;
        self.open.remove(&call);
        Some(ClaimAction::Retry(call))
    }
}

/// Encodes an outcome as records; a large answer is split into several.
pub fn outcome_records(
    call: CallHash,
    fingerprint: RequestFingerprint,
    claim: LogPosition,
    outcome: &CallOutcome,
    max_answer_bytes: usize,
) -> Vec<CallRecord> {
    let answer = match outcome {
        CallOutcome::NotRun => return vec![outcome_record(call, fingerprint, claim, OutcomePart::NotRun)],
        CallOutcome::Unknown => return vec![outcome_record(call, fingerprint, claim, OutcomePart::Unknown)],
        CallOutcome::Answered(answer) => Bytes::from(codec::encode(&**answer)),
    };
    if answer.len() > max_answer_bytes {
        return vec![outcome_record(call, fingerprint, claim, OutcomePart::NotKept)];
    }
    let parts = answer.len().div_ceil(MAX_ANSWER_PART_BYTES);
    let records = (0..parts).map(|part| {
        let start = part * MAX_ANSWER_PART_BYTES;
        let end = answer.len().min(start + MAX_ANSWER_PART_BYTES);
        CallRecord::Outcome(ClaimOutcome {
            call,
            fingerprint,
            claim,
            part: part as u32,
            parts: parts as u32,
            outcome: OutcomePart::Answered(answer.slice(start..end)),
        })
    });
    records.collect()
}

fn outcome_record(
    call: CallHash,
    fingerprint: RequestFingerprint,
    claim: LogPosition,
    outcome: OutcomePart,
) -> CallRecord {
    CallRecord::Outcome(ClaimOutcome {
        call,
        fingerprint,
        claim,
        part: 0,
        parts: 1,
        outcome,
    })
}

fn call_hash(record: &CallRecord) -> CallHash {
    match record {
        CallRecord::Claim(claim) => claim.call,
        CallRecord::Outcome(outcome) => outcome.call,
    }
}

fn decide_open(open: &OpenCall, fingerprint: RequestFingerprint) -> ClaimDecision {
    if open.fingerprint != fingerprint {
        return ClaimDecision::Refuse(ResultCode::IdempotencyKeyReused);
    }
    match &open.state {
        OpenState::Claiming | OpenState::Won { .. } | OpenState::Sent { .. } => {
            ClaimDecision::Wait { claimant: None }
        }
        OpenState::Settled(CallOutcome::Answered(answer)) => ClaimDecision::Replay(Arc::clone(answer)),
        OpenState::Settled(CallOutcome::Unknown) => ClaimDecision::Refuse(ResultCode::OutcomeUnknown),
        // The key can be claimed again once the outcome has been read back from the log.
        OpenState::Settled(CallOutcome::NotRun) => ClaimDecision::Refuse(ResultCode::LogUnavailable),
    }
}

fn decide_claimed(
    state: &ClaimState,
    incarnation: Incarnation,
    has_ended: impl Fn(Incarnation) -> bool,
) -> ClaimDecision {
    match state {
        ClaimState::Claimed { claimant, .. } if *claimant != incarnation && has_ended(*claimant) => {
            ClaimDecision::Refuse(ResultCode::OutcomeUnknown)
        }
        ClaimState::Claimed { claimant, .. } => ClaimDecision::Wait {
            claimant: Some(*claimant),
        },
        ClaimState::Answered(answer) => ClaimDecision::Replay(Arc::clone(answer)),
        ClaimState::AnswerDropped => ClaimDecision::Refuse(ResultCode::AnswerNotKept),
        ClaimState::Unknown => ClaimDecision::Refuse(ResultCode::OutcomeUnknown),
        ClaimState::Released(_) => ClaimDecision::Refuse(ResultCode::LogUnavailable),
    }
}
