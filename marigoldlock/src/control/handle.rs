//! Handle of the control actor.

use std::time::Duration;

use kameo::actor::{ActorRef, Spawn as _};
use kameo::message::Message;
use log::debug;
use marigoldlock_wire::peer::UsageShare;
use marigoldlock_wire::prelude::*;
use marigoldlock_wire::record::orders::OrderBody;

use super::actor::{ControlActor, ControlSources};
use super::messages::{ControlStatus, GetShares, GetStatus, Leave, MergeShares, ProposeOrder, Tick};

/// Interval at which the actor checks what is due.
const TICK_INTERVAL: Duration = Duration::from_millis(200);

/// Handle of the control actor, shared by cloning.
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

    /// Sends a message without waiting for it to be handled.
    pub(super) fn tell<M>(&self, message: M)
    where
        ControlActor: Message<M>,
        M: Send + 'static,
    {
        if self.actor.tell(message).try_send().is_err() {
            debug!("the control actor has stopped");
        }
    }

    /// Sends ticks to the actor until the task is dropped.
    pub async fn run_ticks(self) {
        let mut ticks = tokio::time::interval(TICK_INTERVAL);
        ticks.set_missed_tick_behavior(tokio::time::MissedTickBehavior::Delay);
        loop {
            ticks.tick().await;
            self.tell(Tick);
        }
    }

    /// Proposes an order; it is ignored unless this process holds the orders duty of the data centre.
    pub fn propose_order(&self, data_centre: DataCentre, body: OrderBody) {
        self.tell(ProposeOrder { data_centre, body });
    }

    /// Returns the usage counts to send to the peers.
    pub async fn shares(&self) -> Vec<UsageShare> {
        self.actor
            .ask(GetShares)
            .await
            .map(|list| list.0)
            .unwrap_or_default()
    }

    /// Merges the usage counts of a peer.
    pub fn merge_shares(&self, shares: Vec<UsageShare>) {
        self.tell(MergeShares(shares));
    }

    /// Returns the status of the control duties.
    pub async fn status(&self) -> ControlStatus {
        self.actor.ask(GetStatus).await.unwrap_or_default()
    }

    /// Stops the actor at once, without resigning its duties.
    pub async fn close(self) {
        self.actor.kill();
        self.actor.wait_for_shutdown().await;
    }

    /// Starts to resign all duties, without waiting.
    pub fn begin_leave(&self) {
        self.tell(Leave);
    }

    /// Resigns all duties and waits up to `timeout` until the log shows it; returns true if it does.
    pub async fn leave(&self, timeout: Duration) -> bool {
        let left = async {
            while !self.actor.ask(Leave).await.unwrap_or(true) {
                tokio::time::sleep(TICK_INTERVAL).await;
            }
        };
        tokio::time::timeout(timeout, left).await.is_ok()
    }
}
