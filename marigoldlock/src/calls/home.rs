//! Actor that owns the table of the calls whose home is this instance.

use std::convert::Infallible;
use std::sync::Arc;

use kameo::Actor;
use kameo::actor::ActorRef;
use kameo::message::{Context, Message};
use kameo::reply::{DelegatedReply, ReplySender};
use marigoldlock_core::calls::{CallIdentity, CallOutcome, CallTicket, HomeDecision, HomeLimits, HomeTable};
use marigoldlock_wire::peer::CallAnswer;
use marigoldlock_wire::prelude::*;
use marigoldlock_wire::record::calls::RequestFingerprint;
use tokio::sync::watch;

use crate::clock::TimeSource;

/// Home tokens of an instance, oldest first; the address answer contains the last one.
pub type HomeTokens = Arc<Vec<Incarnation>>;

/// Actor that owns the home table.
pub struct HomeActor {
    table: HomeTable,
    clock: Arc<dyn TimeSource>,
    waiters: FastMap<CallTicket, Vec<ReplySender<HomeReply>>>,
    tokens: watch::Sender<HomeTokens>,
}

/// Arguments of the actor.
pub struct HomeArgs {
    /// First home token.
    pub home: Incarnation,
    /// Clock of the instance.
    pub clock: Arc<dyn TimeSource>,
    /// Publishes the home tokens.
    pub tokens: watch::Sender<HomeTokens>,
}

impl Actor for HomeActor {
    type Args = HomeArgs;
    type Error = Infallible;

    async fn on_start(args: HomeArgs, _: ActorRef<Self>) -> Result<Self, Infallible> {
        let HomeArgs { home, clock, tokens } = args;
        let table = HomeTable::new(home, HomeLimits::default(), clock.now());
        let actor = Self {
            table,
            clock,
            waiters: FastMap::default(),
            tokens,
        };
        actor.publish_tokens();
        Ok(actor)
    }
}

impl HomeActor {
    fn publish_tokens(&self) {
        self.tokens.send_replace(Arc::new(self.table.tokens().collect()));
    }
}

/// Request to begin a call whose key names a home token of this instance.
pub struct BeginHomeCall {
    /// Home token in the key.
    pub home: Incarnation,
    /// Customer; `None` for a service that needs no customer key.
    pub customer: Option<CustomerId>,
    /// Service.
    pub service: ServiceId,
    /// The whole key.
    pub key: String,
    /// Fingerprint of the request sent under the key.
    pub fingerprint: RequestFingerprint,
}

/// Reply to [`BeginHomeCall`].
#[derive(Clone, Debug, kameo::Reply)]
pub enum HomeReply {
    /// Run the call, then settle the ticket.
    Run(CallTicket),
    /// Return this answer.
    Answer(Arc<CallAnswer>),
    /// Refuse the request with this code.
    Refuse(ResultCode),
}

impl Message<BeginHomeCall> for HomeActor {
    type Reply = DelegatedReply<HomeReply>;

    async fn handle(&mut self, begin: BeginHomeCall, ctx: &mut Context<Self, Self::Reply>) -> Self::Reply {
        let name = CallIdentity {
            customer: begin.customer.as_ref().map(CustomerId::as_str),
            service: begin.service.as_str(),
            key: &begin.key,
        };
        match self.table.begin(begin.home, &name, begin.fingerprint) {
            HomeDecision::Run(ticket) => ctx.reply(HomeReply::Run(ticket)),
            HomeDecision::Replay(answer) => ctx.reply(HomeReply::Answer(answer)),
            HomeDecision::Refuse(code) => ctx.reply(HomeReply::Refuse(code)),
            HomeDecision::Join(ticket) => {
                let (reply, sender) = ctx.reply_sender();
                self.waiters.entry(ticket).or_default().extend(sender);
                reply
            }
        }
    }
}

/// Ends the run of a call.
struct SettleCall {
    ticket: CallTicket,
    outcome: CallOutcome,
}

impl Message<SettleCall> for HomeActor {
    type Reply = ();

    async fn handle(&mut self, settle: SettleCall, _: &mut Context<Self, ()>) {
        let reply = match &settle.outcome {
            CallOutcome::Answered(answer) => HomeReply::Answer(Arc::clone(answer)),
            CallOutcome::NotRun => HomeReply::Refuse(ResultCode::NoUpstream),
            CallOutcome::Unknown => HomeReply::Refuse(ResultCode::OutcomeUnknown),
        };
        self.table.settle(settle.ticket, settle.outcome);
        for sender in self.waiters.remove(&settle.ticket).unwrap_or_default() {
            sender.send(reply.clone());
        }
    }
}

/// Periodic tick: issues a new home token when it is due and removes expired ones.
struct Tick;

impl Message<Tick> for HomeActor {
    type Reply = ();

    async fn handle(&mut self, _: Tick, _: &mut Context<Self, ()>) {
        self.table.tick(self.clock.now());
        self.publish_tokens();
    }
}

/// Stops accepting new keys.
struct Leave;

impl Message<Leave> for HomeActor {
    type Reply = ();

    async fn handle(&mut self, _: Leave, _: &mut Context<Self, ()>) {
        self.table.leave();
    }
}

/// Handle to the home actor.
#[derive(Clone)]
pub struct HomeHandle {
    actor: ActorRef<HomeActor>,
    tokens: watch::Receiver<HomeTokens>,
}

impl HomeHandle {
    /// Starts the actor with its first home token.
    pub fn start(home: Incarnation, clock: Arc<dyn TimeSource>) -> Self {
        use kameo::actor::Spawn as _;

        let (sender, tokens) = watch::channel(Arc::new(vec![home]));
        let args = HomeArgs {
            home,
            clock,
            tokens: sender,
        };
        let actor = HomeActor::spawn_with_mailbox(args, kameo::mailbox::unbounded());
        Self { actor, tokens }
    }

    /// The home token for the address answer.
    pub fn token(&self) -> Option<Incarnation> {
        self.tokens.borrow().last().copied()
    }

    /// All tokens whose keys run here.
    pub fn tokens(&self) -> HomeTokens {
        Arc::clone(&self.tokens.borrow())
    }

    /// Returns true if calls with keys of this token run here.
    pub fn is_home(&self, home: Incarnation) -> bool {
        self.tokens.borrow().contains(&home)
    }

    /// Decides what to do with a call; waits while another request runs it.
    pub async fn begin(&self, call: BeginHomeCall) -> HomeReply {
        // The actor only ends with the instance, and the table with the key ends with it.
        self.actor
            .ask(call)
            .await
            .unwrap_or(HomeReply::Refuse(ResultCode::HomeGone))
    }

    /// Ends the run of a call.
    pub fn settle(&self, ticket: CallTicket, outcome: CallOutcome) {
        self.tell(SettleCall { ticket, outcome });
    }

    /// Issues a new home token when it is due and removes expired ones.
    pub fn tick(&self) {
        self.tell(Tick);
    }

    /// Stops accepting new keys.
    pub fn leave(&self) {
        self.tell(Leave);
    }

    fn tell<M: Send + 'static>(&self, message: M)
    where
        HomeActor: Message<M>,
    {
        if self.actor.tell(message).try_send().is_err() {
            log::debug!("the home actor has ended; message dropped");
        }
    }
}
