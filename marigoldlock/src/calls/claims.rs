//! Actor that claims plain keys in the log.

use std::convert::Infallible;
use std::sync::Arc;
use std::time::Duration;

use kameo::Actor;
use kameo::actor::{ActorRef, Spawn as _};
use kameo::message::{Context, Message};
use kameo::reply::{DelegatedReply, ReplySender};
use log::{debug, warn};
use marigoldlock_core::calls::{
    CallOutcome, ClaimAction, ClaimDecision, ClaimFoldLimits, ClaimTable, ClaimTableLimits,
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

/// Maximum time from the append of a claim until it is read back.
const CLAIM_TIMEOUT: Duration = Duration::from_secs(5);

/// Maximum time from the claim until the call is sent; the log must keep records for much longer.
const SEND_TIMEOUT: Duration = Duration::from_secs(30);

/// Time between attempts to append an outcome.
const OUTCOME_RETRY_INTERVAL: Duration = Duration::from_secs(1);

/// Time after which the append of an outcome is given up.
const OUTCOME_TIMEOUT: Duration = Duration::from_secs(3_600);

/// Arguments of the actor.
pub struct ClaimArgs {
    /// Incarnation of the instance.
    pub incarnation: Incarnation,
    /// Clock of the instance.
    pub clock: Arc<dyn TimeSource>,
    /// Writer of the calls stream.
    pub writer: RecordWriter<CallRecord>,
    /// Publishes the status, also to wake waiting requests.
    pub status: watch::Sender<CallsStreamStatus>,
}

/// Progress of the instance on the calls stream.
#[derive(Clone, Copy, Debug, Default)]
pub struct CallsStreamStatus {
    /// Position up to which the stream has been read.
    pub position: LogPosition,
    /// When the last read that reached the head of the stream was requested.
    pub caught_up_at: Option<MonoTime>,
    /// True if the last read failed.
    pub is_down: bool,
    /// Number of changes so far for which a waiting request should ask again.
    pub changes: u64,
}

/// Actor that owns the claim table.
pub struct ClaimActor {
    table: ClaimTable,
    args: ClaimArgs,
    actor: ActorRef<Self>,
    /// Requests that wait for their claim to be read back.
    pending_claims: FastMap<CallHash, (RecordId, ReplySender<ClaimReply>)>,
}

impl Actor for ClaimActor {
    type Args = ClaimArgs;
    type Error = Infallible;

    async fn on_start(args: ClaimArgs, actor: ActorRef<Self>) -> Result<Self, Infallible> {
        let limits = ClaimTableLimits {
            send_timeout: SEND_TIMEOUT,
            ..ClaimTableLimits::default()
        };
        Ok(Self {
            table: ClaimTable::new(args.incarnation, limits, ClaimFoldLimits::default()),
            args,
            actor,
            pending_claims: FastMap::default(),
        })
    }
}

/// Request to begin a call with a plain key.
pub struct BeginClaimedCall {
    /// Hash of the call.
    pub call: CallHash,
    /// Fingerprint of the request sent under the key.
    pub fingerprint: RequestFingerprint,
    /// Incarnations of the reachable instances.
    pub alive: FastSet<Incarnation>,
}

/// Reply to [`BeginClaimedCall`].
#[derive(Debug, kameo::Reply)]
pub enum ClaimReply {
    /// Send the call if the gate is open, then settle it.
    Send(SendGate),
    /// Wait for a change of [`CallsStreamStatus`], then ask again.
    Wait,
    /// Return this answer.
    Answer(Arc<CallAnswer>),
    /// Refuse the request with this code.
    Refuse(ResultCode),
    /// The log is down or the claim was not read back in time; this instance has not sent the call.
    LogDown,
}

impl Message<BeginClaimedCall> for ClaimActor {
    type Reply = DelegatedReply<ClaimReply>;

    async fn handle(&mut self, begin: BeginClaimedCall, ctx: &mut Context<Self, Self::Reply>) -> Self::Reply {
        let now = self.args.clock.now();
        let id = RecordId(rand::random());
        let has_ended = |claimant: Incarnation| !begin.alive.contains(&claimant);
        match self
            .table
            .begin(begin.call, begin.fingerprint, id, now, has_ended)
        {
            ClaimDecision::Replay(answer) => ctx.reply(ClaimReply::Answer(answer)),
            ClaimDecision::Refuse(code) => ctx.reply(ClaimReply::Refuse(code)),
            ClaimDecision::Wait { .. } => ctx.reply(ClaimReply::Wait),
            ClaimDecision::Claim(claim) if self.can_claim() => {
                let (reply, sender) = ctx.reply_sender();
                if let Some(sender) = sender {
                    self.pending_claims.insert(claim.call, (claim.id, sender));
                }
                self.append_claim(claim);
                reply
            }
            ClaimDecision::Claim(claim) => {
                self.table.abandon(claim.call);
                ctx.reply(ClaimReply::LogDown)
            }
        }
    }
}

impl ClaimActor {
    /// Returns true if the stream has been read to its head and the last read succeeded.
    fn can_claim(&self) -> bool {
        let status = self.args.status.borrow();
        status.caught_up_at.is_some() && !status.is_down
    }

    fn append_claim(&self, claim: CallClaim) {
        let writer = self.args.writer.clone();
        let actor = self.actor.clone();
        tokio::spawn(async move {
            let outcome = writer.append(CallRecord::Claim(claim)).await;
            if let AppendOutcome::Appended(_) = outcome {
                tokio::time::sleep(CLAIM_TIMEOUT).await;
            }
            tell(&actor, ClaimTimedOut(claim));
        });
    }

    fn append_outcome(&self, records: Vec<CallRecord>) {
        let writer = self.args.writer.clone();
        tokio::spawn(async move {
            let appended = tokio::time::timeout(OUTCOME_TIMEOUT, append_all(writer, records));
            if appended.await.is_err() {
                warn!("appending the outcome of a call to the log timed out; giving up");
            }
        });
    }

    fn apply(&mut self, action: ClaimAction) {
        match action {
            ClaimAction::Send(call) => self.on_claim_won(call),
            ClaimAction::Retry(call) => {
                self.reply_to_claim(call, ClaimReply::Wait);
                self.signal_change();
            }
            ClaimAction::Settled(_) => self.signal_change(),
            ClaimAction::Append(record) => self.append_outcome(vec![record]),
        }
    }

    fn on_claim_won(&mut self, call: CallHash) {
        let now = self.args.clock.now();
        let send_by = self.table.send_deadline(call).unwrap_or(now);
        let may_send = self.table.try_mark_sent(call, now);
        let gate = SendGate::until(send_by, Arc::clone(&self.args.clock));
        if !may_send || !self.reply_to_claim(call, ClaimReply::Send(gate)) {
            let records = self.table.settle(call, CallOutcome::NotRun);
            self.append_outcome(records);
        }
    }

    fn reply_to_claim(&mut self, call: CallHash, reply: ClaimReply) -> bool {
        let Some((_, sender)) = self.pending_claims.remove(&call) else {
            return false;
        };
        sender.send(reply);
        true
    }

    fn signal_change(&self) {
        self.args.status.send_modify(|status| status.changes += 1);
    }
}

/// Appends the records in order and retries each until it succeeds; readers ignore duplicates.
async fn append_all(writer: RecordWriter<CallRecord>, records: Vec<CallRecord>) {
    for record in records {
        while !matches!(writer.append(record.clone()).await, AppendOutcome::Appended(_)) {
            tokio::time::sleep(OUTCOME_RETRY_INTERVAL).await;
        }
    }
}

/// Sent when the time for reading back a claim is over.
struct ClaimTimedOut(CallClaim);

impl Message<ClaimTimedOut> for ClaimActor {
    type Reply = ();

    async fn handle(&mut self, timed_out: ClaimTimedOut, _: &mut Context<Self, ()>) {
        let ClaimTimedOut(claim) = timed_out;
        let is_open = self
            .pending_claims
            .get(&claim.call)
            .is_some_and(|(id, _)| *id == claim.id);
        if is_open && self.table.abandon(claim.call) {
            self.reply_to_claim(claim.call, ClaimReply::LogDown);
            self.signal_change();
        }
    }
}

/// Ends a call that this instance claimed.
struct SettleCall {
    call: CallHash,
    outcome: CallOutcome,
}

impl Message<SettleCall> for ClaimActor {
    type Reply = ();

    async fn handle(&mut self, settle: SettleCall, _: &mut Context<Self, ()>) {
        let records = self.table.settle(settle.call, settle.outcome);
        self.append_outcome(records);
        self.signal_change();
    }
}

/// Asks whether the outcome of a call claimed by this instance has yet to be read back.
struct IsCallOpen(CallHash);

impl Message<IsCallOpen> for ClaimActor {
    type Reply = bool;

    async fn handle(&mut self, ask: IsCallOpen, _: &mut Context<Self, bool>) -> bool {
        self.table.is_open(ask.0)
    }
}

/// An envelope read from the calls stream.
pub(super) struct CallsEnvelope {
    pub(super) offset: u64,
    pub(super) envelope: Envelope<CallRecord>,
}

impl Message<CallsEnvelope> for ClaimActor {
    type Reply = ();

    async fn handle(&mut self, read: CallsEnvelope, _: &mut Context<Self, ()>) {
        let writer = read.envelope.incarnation;
        for (index, record) in read.envelope.records.iter().enumerate() {
            let position = LogPosition::new(read.offset, index);
            if let Some(action) = self.table.on_record(position, writer, record) {
                self.apply(action);
            }
        }
        let position = self.table.fold().position();
        self.args.status.send_modify(|status| status.position = position);
    }
}

/// Event of reading the calls stream.
pub(super) enum StreamEvent {
    /// A read requested at this time reached the head.
    CaughtUp(MonoTime),
    /// A read failed.
    Failed,
    /// The log keeps no records before this offset.
    Expired(u64),
}

impl Message<StreamEvent> for ClaimActor {
    type Reply = ();

    async fn handle(&mut self, event: StreamEvent, _: &mut Context<Self, ()>) {
        match event {
            StreamEvent::CaughtUp(requested_at) => self.args.status.send_modify(|status| {
                status.caught_up_at = Some(requested_at);
                status.is_down = false;
            }),
            StreamEvent::Failed => self.args.status.send_modify(|status| status.is_down = true),
            StreamEvent::Expired(first) => self.table.expire(first),
        }
    }
}

/// Handle to the claim actor.
#[derive(Clone)]
pub struct ClaimHandle {
    actor: ActorRef<ClaimActor>,
    status: watch::Receiver<CallsStreamStatus>,
}

impl ClaimHandle {
    /// Starts the actor.
    pub fn start(
        incarnation: Incarnation,
        clock: Arc<dyn TimeSource>,
        writer: RecordWriter<CallRecord>,
    ) -> Self {
        let (sender, status) = watch::channel(CallsStreamStatus::default());
        let args = ClaimArgs {
            incarnation,
            clock,
            writer,
            status: sender,
        };
        let actor = ClaimActor::spawn_with_mailbox(args, kameo::mailbox::unbounded());
        Self { actor, status }
    }

    /// Progress of the instance on the calls stream.
    pub fn status(&self) -> CallsStreamStatus {
        *self.status.borrow()
    }

    /// Watches the status.
    pub fn watch(&self) -> watch::Receiver<CallsStreamStatus> {
        self.status.clone()
    }

    /// Decides what to do with a call; if it is claimed, waits until the claim is read back.
    pub async fn begin(&self, begin: BeginClaimedCall) -> ClaimReply {
        // The actor only ends with the instance, which then abandons its claims.
        self.actor
            .ask(begin)
            .await
            .unwrap_or(ClaimReply::Refuse(ResultCode::OutcomeUnknown))
    }

    /// Ends a call that this instance claimed.
    pub fn settle(&self, call: CallHash, outcome: CallOutcome) {
        tell(&self.actor, SettleCall { call, outcome });
    }

    /// Waits until the outcome of a settled call has been read back from the log.
    pub async fn wait_until_recorded(&self, call: CallHash) {
        let mut status = self.watch();
        loop {
            status.mark_unchanged();
            if !self.actor.ask(IsCallOpen(call)).await.unwrap_or(false) {
                return;
            }
            if status.changed().await.is_err() {
                return;
            }
        }
    }

    pub(super) fn on_envelope(&self, envelope: CallsEnvelope) {
        tell(&self.actor, envelope);
    }

    pub(super) fn on_stream_event(&self, event: StreamEvent) {
        tell(&self.actor, event);
    }
}

fn tell<M: Send + 'static>(actor: &ActorRef<ClaimActor>, message: M)
where
    ClaimActor: Message<M>,
{
    if actor.tell(message).try_send().is_err() {
        debug!("the claim actor has ended; message dropped");
    }
}
