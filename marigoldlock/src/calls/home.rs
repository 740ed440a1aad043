//! The actor that remembers the calls whose home is this instance.

use std::convert::Infallible;
use std::sync::Arc;

use kameo::Actor;
use kameo::actor::ActorRef;
use kameo::message::{Context, Message};
use kameo::reply::{DelegatedReply, ReplySender};
use marigoldlock_core::calls::{CallName, CallOutcome, CallTicket, HomeDecision, HomeLimits, HomeTable};
use marigoldlock_wire::peer::CallAnswer;
use marigoldlock_wire::prelude::*;
use marigoldlock_wire::record::calls::RequestFingerprint;
use tokio::sync::watch;

use crate::clock::TimeSource;

/// Home tokens of an instance, the one to give out last.
pub type HomeTokens = Arc<Vec<Incarnation>>;

/// Owner of the home table.
pub struct HomeActor {
    table: HomeTable,
    clock: Arc<dyn TimeSource>,
    joined: FastMap<CallTicket, Vec<ReplySender<BeginReply>>>,
    tokens: watch::Sender<HomeTokens>,
}

/// What the actor starts with.
pub struct HomeSources {
    /// First home token.
    pub home: Incarnation,
    /// Clock of the instance.
    pub clock: Arc<dyn TimeSource>,
    /// Where the tokens are published.
    pub tokens: watch::Sender<HomeTokens>,
}

impl Actor for HomeActor {
    type Args = HomeSources;
    type Error = Infallible;

    async fn on_start(sources: HomeSources, _: ActorRef<Self>) -> Result<Self, Infallible> {
        let HomeSources { home, clock, tokens } = sources;
        let table = HomeTable::new(home, HomeLimits::default(), clock.now());
        let actor = Self {
            table,
            clock,
            joined: FastMap::default(),
            tokens,
        };
        actor.publish_tokens();
        Ok(actor)
    }
}

impl HomeActor {
    fn publish_tokens(&self) {
        self.tokens.send_replace(Arc::new(self.table.homes().collect()));
    }
}

/// A call whose key names a home of this instance.
pub struct BeginCall {
    /// Home that the key names.
    pub home: Incarnation,
    /// Customer; `None` on an open route.
    pub customer: Option<CustomerId>,
    /// Service.
    pub service: ServiceId,
    /// The whole key.
    pub key: String,
    /// What is asked for under the key.
    pub print: RequestFingerprint,
}

/// What to do with the call.
#[derive(Clone, Debug, kameo::Reply)]
pub enum BeginReply {
    /// Run it, then settle the ticket.
    Run(CallTicket),
    /// Give this answer.
    Answer(Arc<CallAnswer>),
    /// Tell the caller.
    Refuse(ResultCode),
}

impl Message<BeginCall> for HomeActor {
    type Reply = DelegatedReply<BeginReply>;

    async fn handle(&mut self, begin: BeginCall, ctx: &mut Context<Self, Self::Reply>) -> Self::Reply {
        let name = CallName {
            customer: begin.customer.as_ref().map(CustomerId::as_str),
            service: begin.service.as_str(),
            key: &begin.key,
        };
        match self.table.begin(begin.home, &name, begin.print) {
            HomeDecision::Run(ticket) => ctx.reply(BeginReply::Run(ticket)),
            HomeDecision::Replay(answer) => ctx.reply(BeginReply::Answer(answer)),
            HomeDecision::Refuse(code) => ctx.reply(BeginReply::Refuse(code)),
            HomeDecision::Join(ticket) => {
                let (reply, sender) = ctx.reply_sender();
                self.joined.entry(ticket).or_default().extend(sender);
                reply
            }
        }
    }
}

/// How a call that was run ended.
struct SettleCall {
    ticket: CallTicket,
    outcome: CallOutcome,
}

impl Message<SettleCall> for HomeActor {
    type Reply = ();

    async fn handle(&mut self, settle: SettleCall, _: &mut Context<Self, ()>) {
        let reply = match &settle.outcome {
            CallOutcome::Answered(answer) => BeginReply::Answer(Arc::clone(answer)),
            CallOutcome::NotRun => BeginReply::Refuse(ResultCode::NoUpstream),
            CallOutcome::Unknown => BeginReply::Refuse(ResultCode::OutcomeUnknown),
        };
        self.table.settle(settle.ticket, settle.outcome);
        for sender in self.joined.remove(&settle.ticket).unwrap_or_default() {
            sender.send(reply.clone());
        }
    }
}

/// Lets time pass: draws a new home token when it is due and forgets old ones.
struct Tick;

impl Message<Tick> for HomeActor {
    type Reply = ();

    async fn handle(&mut self, _: Tick, _: &mut Context<Self, ()>) {
        self.table.tick(self.clock.now());
        self.publish_tokens();
    }
}

/// Takes no new keys from now on.
struct Leave;

impl Message<Leave> for HomeActor {
    type Reply = ();

    async fn handle(&mut self, _: Leave, _: &mut Context<Self, ()>) {
        self.table.leave();
    }
}

/// Way to the home actor.
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
        let sources = HomeSources {
            home,
            clock,
            tokens: sender,
        };
        let actor = HomeActor::spawn_with_mailbox(sources, kameo::mailbox::unbounded());
        Self { actor, tokens }
    }

    /// The token to give out with addresses.
    pub fn token(&self) -> Option<Incarnation> {
        self.tokens.borrow().last().copied()
    }

    /// All tokens whose keys run here.
    pub fn tokens(&self) -> HomeTokens {
        Arc::clone(&self.tokens.borrow())
    }

    /// Whether keys of the token run here.
    pub fn is_home(&self, home: Incarnation) -> bool {
        self.tokens.borrow().contains(&home)
    }

    /// Decides about a call; waits while another request runs it.
    pub async fn begin(&self, call: BeginCall) -> BeginReply {
        // The actor only ends with the instance, which has then forgotten the key.
        self.actor
            .ask(call)
            .await
            .unwrap_or(BeginReply::Refuse(ResultCode::HomeGone))
    }

    /// Ends a run.
    pub fn settle(&self, ticket: CallTicket, outcome: CallOutcome) {
        self.tell(SettleCall { ticket, outcome });
    }

    /// Lets time pass.
    pub fn tick(&self) {
        self.tell(Tick);
    }

    /// Takes no new keys from now on.
    pub fn leave(&self) {
        self.tell(Leave);
    }

    fn tell<M: Send + 'static>(&self, message: M)
    where
        HomeActor: Message<M>,
    {
        if self.actor.tell(message).try_send().is_err() {
            log::debug!("the home actor has ended");
        }
    }
}
