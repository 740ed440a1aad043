//! Way to the control actor.

use std::time::Duration;

use kameo::actor::{ActorRef, Spawn as _};
use kameo::message::Message;
use log::debug;
use marigoldlock_wire::peer::UsageShare;
use marigoldlock_wire::prelude::*;
use marigoldlock_wire::record::orders::OrderBody;

use super::actor::{ControlActor, ControlSources};
use super::messages::{AskControl, AskShares, ControlStatus, Leave, MergeShares, Tick, WishOrder};

/// Time between two looks at what is due.
const TICK: Duration = Duration::from_millis(200);

/// Way to the control actor, shared by cloning.
#[derive(Clone)]
pub struct ControlHandle {
    actor: ActorRef<ControlActor>,
}

impl ControlHandle {
    /// Starts the actor.
    pub fn start(sources: ControlSources) -> Self {
        Self {
            actor: ControlActor::spawn_with_mailbox(sources, kameo::mailbox::unbounded()),
        }
    }

    pub(super) fn of(actor: ActorRef<ControlActor>) -> Self {
        Self { actor }
    }

    /// Sends a message that needs no answer.
    pub(super) fn tell<M>(&self, message: M)
    where
        ControlActor: Message<M>,
        M: Send + 'static,
    {
        if self.actor.tell(message).try_send().is_err() {
            debug!("the control actor has ended");
        }
    }

    /// Lets the actor look at what is due, for as long as the task lives.
    pub async fn run_ticks(self) {
        let mut ticks = tokio::time::interval(TICK);
        ticks.set_missed_tick_behavior(tokio::time::MissedTickBehavior::Delay);
        loop {
            ticks.tick().await;
            self.tell(Tick);
        }
    }

    /// Asks for an order; it is sent by whoever holds the orders of the data centre, if that is this process.
    pub fn wish_order(&self, data_centre: DataCentre, body: OrderBody) {
        self.tell(WishOrder { data_centre, body });
    }

    /// Counts to tell the peers.
    pub async fn shares(&self) -> Vec<UsageShare> {
        self.actor
            .ask(AskShares)
            .await
            .map(|list| list.0)
            .unwrap_or_default()
    }

    /// Takes the counts of a peer.
    pub fn merge_shares(&self, shares: Vec<UsageShare>) {
        self.tell(MergeShares(shares));
    }

    /// Who holds what.
    pub async fn status(&self) -> ControlStatus {
        self.actor.ask(AskControl).await.unwrap_or_default()
    }

    /// Ends the actor at once, without giving anything up.
    pub async fn close(self) {
        self.actor.kill();
        self.actor.wait_for_shutdown().await;
    }

    /// Starts to give up all duties.
    pub fn begin_leave(&self) {
        self.tell(Leave);
    }

    /// Gives up all duties and waits until the log says so, up to `timeout`; true if it does.
    pub async fn leave(&self, timeout: Duration) -> bool {
        let left = async {
            while !self.actor.ask(Leave).await.unwrap_or(true) {
                tokio::time::sleep(TICK).await;
            }
        };
        tokio::time::timeout(timeout, left).await.is_ok()
    }
}
