//! An instance's part in calls with plain keys.
//!
//! The claim is appended, read back as the winner, and only then is the call sent, at most once and before
//! the claim's send-by moment on this instance's own clock. A claimant that was paused beyond that moment
//! gives the claim back instead. Others never send a claimed call: when its claimant has ended without an
//! outcome, they answer that the outcome is unknown.

use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use marigoldlock_wire::codec;
use marigoldlock_wire::peer::CallAnswer;
use marigoldlock_wire::record::calls::{
    CallClaim, CallHash, CallRecord, ClaimOutcome, MAX_ANSWER_PART_BYTES, OutcomePart, RequestFingerprint,
};

use super::claim::{ClaimFold, ClaimLimits, ClaimState, FoldStep};
use super::home::CallOutcome;
use crate::prelude::*;

/// Bounds of an instance's part.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct PlainLimits {
    /// From the claim's append to the send, at most; far below the time that the log keeps records.
    pub send_within: Duration,
    /// Calls between their claim and the read-back of their outcome, at most.
    pub open_calls: usize,
    /// Largest encoded answer that goes into the log, in bytes.
    pub largest_answer: usize,
}

impl Default for PlainLimits {
    fn default() -> Self {
        Self {
            send_within: Duration::from_secs(5),
            open_calls: 4_096,
            largest_answer: 1 << 20,
        }
    }
}

/// What to do with a call whose key is plain.
#[derive(Clone, Debug, PartialEq)]
pub enum PlainDecision {
    /// Append the claim and wait for [`PlainEffect::Send`] or [`PlainEffect::Retry`].
    Claim(CallClaim),
    /// Wait for the call's outcome and decide again; another request here or elsewhere runs it.
    Wait {
        /// Start of the claimant, if it is another instance.
        claimant: Option<Incarnation>,
    },
    /// Give the answer that the call had.
    Replay(Arc<CallAnswer>),
    /// Tell the caller.
    Refuse(ResultCode),
}

/// What a record asks of this instance.
#[derive(Clone, Debug, PartialEq)]
pub enum PlainEffect {
    /// The claim won: send the call if [`PlainTable::may_send`] allows it, then settle.
    Send(CallHash),
    /// The claim lost: decide again.
    Retry(CallHash),
    /// The call has its outcome: wake those who wait.
    Settled(CallHash),
    /// Append the record; it gives back a claim that nobody here waits for any more.
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
    print: RequestFingerprint,
    id: RecordId,
    claimed: MonoTime,
    state: OpenState,
}

/// The calls with plain keys, as one instance sees them.
#[derive(Debug)]
pub struct PlainTable {
    own: Incarnation,
    limits: PlainLimits,
    fold: ClaimFold,
    open: FastMap<CallHash, OpenCall>,
}

impl PlainTable {
    /// The table of an instance that has read nothing yet.
    pub fn new(own: Incarnation, limits: PlainLimits, claims: ClaimLimits) -> Self {
        Self {
            own,
            limits,
            fold: ClaimFold::new(claims),
            open: FastMap::default(),
        }
    }

    /// Start of the instance.
    pub fn own(&self) -> Incarnation {
        self.own
    }

    /// When a call that this instance claimed may still be sent, at the latest.
    pub fn send_by(&self, call: CallHash) -> Option<MonoTime> {
        let open = self.open.get(&call)?;
        Some(open.claimed + self.limits.send_within)
    }

    /// True from the claim until the outcome has been read back.
    pub fn is_open(&self, call: CallHash) -> bool {
        self.open.contains_key(&call)
    }

    /// What the stream says.
    pub fn fold(&self) -> &ClaimFold {
        &self.fold
    }

    /// Calls between their claim and the read-back of their outcome.
    pub fn open_calls(&self) -> usize {
        self.open.len()
    }

    /// Forgets the keys that the log no longer keeps.
    pub fn expire(&mut self, first: u64) {
        self.fold.expire(first);
    }

    /// Decides about a call; `id` names the claim, should there be one.
    ///
    /// `has_ended` tells whether an incarnation has ended for good or is silent.
    pub fn begin(
        &mut self,
        call: CallHash,
        print: RequestFingerprint,
        id: RecordId,
        now: MonoTime,
        has_ended: impl Fn(Incarnation) -> bool,
    ) -> PlainDecision {
        if let Some(open) = self.open.get(&call) {
            return decide_open(open, print);
        }
        match self.fold.get(call) {
            None | Some((_, ClaimState::Released(_))) => self.claim(call, print, id, now),
            Some((known, _)) if known != print => PlainDecision::Refuse(ResultCode::IdempotencyKeyReused),
            Some((_, state)) => decide_claimed(state, self.own, has_ended),
        }
    }

    /// Takes a record of the stream.
    pub fn on_record(
        &mut self,
        position: LogPosition,
        writer: Incarnation,
        record: &CallRecord,
    ) -> Option<PlainEffect> {
        match self.fold.apply(position, writer, record) {
            FoldStep::Won(id) if writer == self.own => Some(self.on_won(position, id, record)),
            FoldStep::Lost(id) if writer == self.own => self.on_lost(id, record),
            FoldStep::Settled => {
                let call = call_of(record);
                self.close_settled(call);
                Some(PlainEffect::Settled(call))
            }
            FoldStep::Won(_) | FoldStep::Lost(_) | FoldStep::Nothing => None,
        }
    }

    /// True once, if the call may be sent now.
    ///
    /// Ask in the same step as the send, without waiting between the two. After false, settle the call as not
    /// run.
    pub fn may_send(&mut self, call: CallHash, now: MonoTime) -> bool {
        let Some(open) = self.open.get_mut(&call) else {
            return false;
        };
        let OpenState::Won { claim } = open.state else {
            return false;
        };
        if now.since(open.claimed) >= self.limits.send_within {
            return false;
        }
        open.state = OpenState::Sent { claim };
        true
    }

    /// The claim was not read back in time and its call won't be sent.
    ///
    /// False if the claim has been read back meanwhile; the call then goes its way.
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
    /// Until they are read back, the outcome is known here.
    pub fn settle(&mut self, call: CallHash, outcome: CallOutcome) -> Vec<CallRecord> {
        let Some(open) = self.open.get_mut(&call) else {
            return Vec::new();
        };
        let (OpenState::Won { claim } | OpenState::Sent { claim }) = open.state else {
            return Vec::new();
        };
        let records = outcome_records(call, open.print, claim, &outcome, self.limits.largest_answer);
        open.state = OpenState::Settled(outcome);
        records
    }

    /// The fold knows the outcome now; a newer claim of this instance stays open.
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
        print: RequestFingerprint,
        id: RecordId,
        now: MonoTime,
    ) -> PlainDecision {
        if self.fold.is_full() || self.open.len() >= self.limits.open_calls {
            return PlainDecision::Refuse(ResultCode::InstanceOverloaded);
        }
        let open = OpenCall {
            print,
            id,
            claimed: now,
            state: OpenState::Claiming,
        };
        self.open.insert(call, open);
        PlainDecision::Claim(CallClaim {
            call,
            fingerprint: print,
            id,
        })
    }

    fn on_won(&mut self, claim: LogPosition, id: RecordId, record: &CallRecord) -> PlainEffect {
        let call = call_of(record);
        if let Some(open) = self.open.get_mut(&call).filter(|open| open.id == id) {
            open.state = OpenState::Won { claim };
            return PlainEffect::Send(call);
        }
        let print = self.fold.get(call).map(|(print, _)| print).unwrap_or_default();
        PlainEffect::Append(outcome_record(call, print, claim, OutcomePart::NotRun))
    }

    fn on_lost(&mut self, id: RecordId, record: &CallRecord) -> Option<PlainEffect> {
        let call = call_of(record);
        self.open.get(&call).filter(|open| open.id == id)?;
        self.open.remove(&call);
        Some(PlainEffect::Retry(call))
    }
}

/// Records that tell of an outcome, a large answer split over several.
pub fn outcome_records(
    call: CallHash,
    print: RequestFingerprint,
    claim: LogPosition,
    outcome: &CallOutcome,
    largest: usize,
) -> Vec<CallRecord> {
    let answer = match outcome {
        CallOutcome::NotRun => return vec![outcome_record(call, print, claim, OutcomePart::NotRun)],
        CallOutcome::Unknown => return vec![outcome_record(call, print, claim, OutcomePart::Unknown)],
        CallOutcome::Answered(answer) => Bytes::from(codec::encode(&**answer)),
    };
    if answer.len() > largest {
        return vec![outcome_record(call, print, claim, OutcomePart::NotKept)];
    }
    let parts = answer.len().div_ceil(MAX_ANSWER_PART_BYTES);
    let records = (0..parts).map(|part| {
        let start = part * MAX_ANSWER_PART_BYTES;
        let end = answer.len().min(start + MAX_ANSWER_PART_BYTES);
        CallRecord::Outcome(ClaimOutcome {
            call,
            fingerprint: print,
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
    print: RequestFingerprint,
    claim: LogPosition,
    outcome: OutcomePart,
) -> CallRecord {
    CallRecord::Outcome(ClaimOutcome {
        call,
        fingerprint: print,
        claim,
        part: 0,
        parts: 1,
        outcome,
    })
}

fn call_of(record: &CallRecord) -> CallHash {
    match record {
        CallRecord::Claim(claim) => claim.call,
        CallRecord::Outcome(outcome) => outcome.call,
    }
}

fn decide_open(open: &OpenCall, print: RequestFingerprint) -> PlainDecision {
    if open.print != print {
        return PlainDecision::Refuse(ResultCode::IdempotencyKeyReused);
    }
    match &open.state {
        OpenState::Claiming | OpenState::Won { .. } | OpenState::Sent { .. } => {
            PlainDecision::Wait { claimant: None }
        }
        OpenState::Settled(CallOutcome::Answered(answer)) => PlainDecision::Replay(Arc::clone(answer)),
        OpenState::Settled(CallOutcome::Unknown) => PlainDecision::Refuse(ResultCode::OutcomeUnknown),
        // The key can be claimed again once the log has taken the outcome.
        OpenState::Settled(CallOutcome::NotRun) => PlainDecision::Refuse(ResultCode::LogUnavailable),
    }
}

fn decide_claimed(
    state: &ClaimState,
    own: Incarnation,
    has_ended: impl Fn(Incarnation) -> bool,
) -> PlainDecision {
    match state {
        ClaimState::Claimed { claimant, .. } if *claimant != own && has_ended(*claimant) => {
            PlainDecision::Refuse(ResultCode::OutcomeUnknown)
        }
        ClaimState::Claimed { claimant, .. } => PlainDecision::Wait {
            claimant: Some(*claimant),
        },
        ClaimState::Answered(answer) => PlainDecision::Replay(Arc::clone(answer)),
        ClaimState::AnswerDropped => PlainDecision::Refuse(ResultCode::AnswerNotKept),
        ClaimState::Unknown => PlainDecision::Refuse(ResultCode::OutcomeUnknown),
        ClaimState::Released(_) => PlainDecision::Refuse(ResultCode::LogUnavailable),
    }
}
