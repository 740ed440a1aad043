//! The actor that claims plain keys in the log.

use std::convert::Infallible;
use std::sync::Arc;
use std::time::Duration;

use kameo::Actor;
use kameo::actor::{ActorRef, Spawn as _};
use kameo::message::{Context, Message};
use kameo::reply::{DelegatedReply, ReplySender};
use log::{debug, warn};
use marigoldlock_core::calls::{
    CallOutcome, ClaimLimits, PlainDecision, PlainEffect, PlainLimits, PlainTable,
};
use marigoldlock_core::time::MonoTime;
use marigoldlock_wire::peer::CallAnswer;
use marigoldlock_wire::prelude::*;
use marigoldlock_wire::record::Envelope;
use marigoldlock_wire::record::calls::{CallClaim, CallHash, CallRecord, RequestFingerprint};
use tokio::sync::watch;

use super::gate::SendGate;
use crate::clock::TimeSource;
use crate::log_stream::{AppendOutcome, RecordWriter};

/// Longest wait for a claim to be read back.
const CLAIM_WAIT: Duration = Duration::from_secs(5);

/// From the claim to the send, at most; the log must keep records for much longer.
const SEND_WITHIN: Duration = Duration::from_secs(30);

/// Pause before the append of an outcome is tried again.
const OUTCOME_PAUSE: Duration = Duration::from_secs(1);

/// Time after which an outcome is no longer brought into the log.
const OUTCOME_PATIENCE: Duration = Duration::from_secs(3_600);

/// What the actor starts with.
pub struct PlainSources {
    /// Start of the instance.
    pub incarnation: Incarnation,
    /// Clock of the instance.
    pub clock: Arc<dyn TimeSource>,
    /// Writer of the calls stream.
    pub writer: RecordWriter<CallRecord>,
    /// Told of every change that a waiting request may want to know.
    pub status: watch::Sender<PlainStatus>,
}

/// How the instance stands with the calls stream.
#[derive(Clone, Copy, Debug, Default)]
pub struct PlainStatus {
    /// Position up to which it was read.
    pub position: LogPosition,
    /// When the last read was asked for that reached the head.
    pub fresh: Option<MonoTime>,
    /// True since a read failed.
    pub is_down: bool,
    /// Outcomes and lost claims so far.
    pub changes: u64,
}

/// Owner of the table of plain keys.
pub struct PlainActor {
    table: PlainTable,
    sources: PlainSources,
    actor: ActorRef<Self>,
    claiming: FastMap<CallHash, (RecordId, ReplySender<PlainReply>)>,
}

impl Actor for PlainActor {
    type Args = PlainSources;
    type Error = Infallible;

    async fn on_start(sources: PlainSources, actor: ActorRef<Self>) -> Result<Self, Infallible> {
        let limits = PlainLimits {
            send_within: SEND_WITHIN,
            ..PlainLimits::default()
        };
        Ok(Self {
            table: PlainTable::new(sources.incarnation, limits, ClaimLimits::default()),
            sources,
            actor,
            claiming: FastMap::default(),
        })
    }
}

/// A call whose key is plain.
pub struct BeginPlain {
    /// Which call.
    pub call: CallHash,
    /// What is asked for under the key.
    pub print: RequestFingerprint,
    /// Instances that are heard.
    pub alive: FastSet<Incarnation>,
}

/// What to do with the call.
#[derive(Debug, kameo::Reply)]
pub enum PlainReply {
    /// Send it if the gate is open, then settle it.
    Send(SendGate),
    /// Wait for a change of the status, then ask again.
    Wait,
    /// Give this answer.
    Answer(Arc<CallAnswer>),
    /// Tell the caller.
    Refuse(ResultCode),
    /// The log does not take the claim; nothing was sent by this instance.
    LogDown,
}

impl Message<BeginPlain> for PlainActor {
    type Reply = DelegatedReply<PlainReply>;

    async fn handle(&mut self, begin: BeginPlain, ctx: &mut Context<Self, Self::Reply>) -> Self::Reply {
        let now = self.sources.clock.now();
        let id = RecordId(rand::random());
        let has_ended = |claimant: Incarnation| !begin.alive.contains(&claimant);
        match self.table.begin(begin.call, begin.print, id, now, has_ended) {
            PlainDecision::Replay(answer) => ctx.reply(PlainReply::Answer(answer)),
            PlainDecision::Refuse(code) => ctx.reply(PlainReply::Refuse(code)),
            PlainDecision::Wait { .. } => ctx.reply(PlainReply::Wait),
            PlainDecision::Claim(claim) if self.can_claim() => {
                let (reply, sender) = ctx.reply_sender();
                if let Some(sender) = sender {
                    self.claiming.insert(claim.call, (claim.id, sender));
                }
                self.append_claim(claim);
                reply
            }
            PlainDecision::Claim(claim) => {
                self.table.abandon(claim.call);
                ctx.reply(PlainReply::LogDown)
            }
        }
    }
}

impl PlainActor {
    /// True once the stream has been read to its head and the log answers.
    fn can_claim(&self) -> bool {
        let status = self.sources.status.borrow();
        status.fresh.is_some() && !status.is_down
    }

    fn append_claim(&self, claim: CallClaim) {
        let writer = self.sources.writer.clone();
        let actor = self.actor.clone();
        tokio::spawn(async move {
            let outcome = writer.append(CallRecord::Claim(claim)).await;
            if let AppendOutcome::Appended(_) = outcome {
                tokio::time::sleep(CLAIM_WAIT).await;
            }
            tell(&actor, ClaimLate(claim));
        });
    }

    fn append_outcome(&self, records: Vec<CallRecord>) {
        let writer = self.sources.writer.clone();
        tokio::spawn(async move {
            let patience = tokio::time::timeout(OUTCOME_PATIENCE, append_all(writer, records));
            if patience.await.is_err() {
                warn!("an outcome could not be brought into the log");
            }
        });
    }

    fn apply(&mut self, effect: PlainEffect) {
        match effect {
            PlainEffect::Send(call) => self.on_won(call),
            PlainEffect::Retry(call) => {
                self.answer_claim(call, PlainReply::Wait);
                self.note_change();
            }
            PlainEffect::Settled(_) => self.note_change(),
            PlainEffect::Append(record) => self.append_outcome(vec![record]),
        }
    }

    fn on_won(&mut self, call: CallHash) {
        let now = self.sources.clock.now();
        let send_by = self.table.send_by(call).unwrap_or(now);
        let may_send = self.table.may_send(call, now);
        let gate = SendGate::until(send_by, Arc::clone(&self.sources.clock));
        if !may_send || !self.answer_claim(call, PlainReply::Send(gate)) {
            let records = self.table.settle(call, CallOutcome::NotRun);
            self.append_outcome(records);
        }
    }

    fn answer_claim(&mut self, call: CallHash, reply: PlainReply) -> bool {
        let Some((_, sender)) = self.claiming.remove(&call) else {
            return false;
        };
        sender.send(reply);
        true
    }

    fn note_change(&self) {
        self.sources.status.send_modify(|status| status.changes += 1);
    }
}

/// Appends the records in order, each until the log has it; repeats are void for the readers.
async fn append_all(writer: RecordWriter<CallRecord>, records: Vec<CallRecord>) {
    for record in records {
        while !matches!(writer.append(record.clone()).await, AppendOutcome::Appended(_)) {
            tokio::time::sleep(OUTCOME_PAUSE).await;
        }
    }
}

/// A claim has had its time to be read back.
struct ClaimLate(CallClaim);

impl Message<ClaimLate> for PlainActor {
    type Reply = ();

    async fn handle(&mut self, late: ClaimLate, _: &mut Context<Self, ()>) {
        let ClaimLate(claim) = late;
        let is_open = self
            .claiming
            .get(&claim.call)
            .is_some_and(|(id, _)| *id == claim.id);
        if is_open && self.table.abandon(claim.call) {
            self.answer_claim(claim.call, PlainReply::LogDown);
            self.note_change();
        }
    }
}

/// How a call ended that was sent.
struct SettlePlain {
    call: CallHash,
    outcome: CallOutcome,
}

impl Message<SettlePlain> for PlainActor {
    type Reply = ();

    async fn handle(&mut self, settle: SettlePlain, _: &mut Context<Self, ()>) {
        let records = self.table.settle(settle.call, settle.outcome);
        self.append_outcome(records);
        self.note_change();
    }
}

/// Asks whether a call of this instance has no outcome in the log yet.
struct IsOpen(CallHash);

impl Message<IsOpen> for PlainActor {
    type Reply = bool;

    async fn handle(&mut self, ask: IsOpen, _: &mut Context<Self, bool>) -> bool {
        self.table.is_open(ask.0)
    }
}

/// An append of the calls stream.
pub(super) struct ReadCalls {
    pub(super) offset: u64,
    pub(super) envelope: Envelope<CallRecord>,
}

impl Message<ReadCalls> for PlainActor {
    type Reply = ();

    async fn handle(&mut self, read: ReadCalls, _: &mut Context<Self, ()>) {
        let writer = read.envelope.incarnation;
        for (index, record) in read.envelope.records.iter().enumerate() {
            let position = LogPosition::new(read.offset, index);
            if let Some(effect) = self.table.on_record(position, writer, record) {
                self.apply(effect);
            }
        }
        let position = self.table.fold().position();
        self.sources
            .status
            .send_modify(|status| status.position = position);
    }
}

/// How reading the stream went.
pub(super) enum ReadState {
    Fresh(MonoTime),
    Failed,
    Expired(u64),
}

impl Message<ReadState> for PlainActor {
    type Reply = ();

    async fn handle(&mut self, state: ReadState, _: &mut Context<Self, ()>) {
        match state {
            ReadState::Fresh(asked) => self.sources.status.send_modify(|status| {
                status.fresh = Some(asked);
                status.is_down = false;
            }),
            ReadState::Failed => self.sources.status.send_modify(|status| status.is_down = true),
            ReadState::Expired(first) => self.table.expire(first),
        }
    }
}

/// Way to the actor.
#[derive(Clone)]
pub struct PlainHandle {
    actor: ActorRef<PlainActor>,
    status: watch::Receiver<PlainStatus>,
}

impl PlainHandle {
    /// Starts the actor.
    pub fn start(
        incarnation: Incarnation,
        clock: Arc<dyn TimeSource>,
        writer: RecordWriter<CallRecord>,
    ) -> Self {
        let (sender, status) = watch::channel(PlainStatus::default());
        let sources = PlainSources {
            incarnation,
            clock,
            writer,
            status: sender,
        };
        let actor = PlainActor::spawn_with_mailbox(sources, kameo::mailbox::unbounded());
        Self { actor, status }
    }

    /// How the instance stands with the calls stream.
    pub fn status(&self) -> PlainStatus {
        *self.status.borrow()
    }

    /// Watches the status.
    pub fn watch(&self) -> watch::Receiver<PlainStatus> {
        self.status.clone()
    }

    /// Decides about a call; waits until its claim is read back.
    pub async fn begin(&self, begin: BeginPlain) -> PlainReply {
        // The actor only ends with the instance; a claim that it made is then given up.
        self.actor
            .ask(begin)
            .await
            .unwrap_or(PlainReply::Refuse(ResultCode::OutcomeUnknown))
    }

    /// Ends a call that was sent.
    pub fn settle(&self, call: CallHash, outcome: CallOutcome) {
        tell(&self.actor, SettlePlain { call, outcome });
    }

    /// Waits until the outcome of a settled call has been read back from the log.
    pub async fn recorded(&self, call: CallHash) {
        let mut status = self.watch();
        loop {
            status.mark_unchanged();
            if !self.actor.ask(IsOpen(call)).await.unwrap_or(false) {
                return;
            }
            if status.changed().await.is_err() {
                return;
            }
        }
    }

    pub(super) fn read(&self, read: ReadCalls) {
        tell(&self.actor, read);
    }

    pub(super) fn read_state(&self, state: ReadState) {
        tell(&self.actor, state);
    }
}

fn tell<M: Send + 'static>(actor: &ActorRef<PlainActor>, message: M)
where
    PlainActor: Message<M>,
{
    if actor.tell(message).try_send().is_err() {
        debug!("the actor of plain keys has ended");
    }
}
