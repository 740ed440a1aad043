//! Receivers of orders in memory.

use std::sync::{Arc, Mutex};
use std::time::Duration;

use async_trait::async_trait;
use marigoldlock::control::{OrderClient, SendOutcome};
use marigoldlock_core::orders::{LookUpAnswer, ReceiverAnswer};
use marigoldlock_wire::engine::EngineOrder;
use marigoldlock_wire::platform::UpstreamOrder;
use marigoldlock_wire::prelude::*;
use tokio::sync::watch;

use super::wait_open;

/// What happens to the next order.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum OrderFault {
    /// It takes effect and its answer is lost.
    AnswerLost,
    /// Its sender gives up, and it takes effect later.
    Late(Duration),
    /// It never arrives and there is no answer.
    Dropped,
}

/// Order that took effect.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct AppliedOrder {
    /// Its reference.
    pub reference: String,
    /// Its fencing number.
    pub fence: Epoch,
    /// Who sent it.
    pub orderer: InstanceId,
}

/// Orders that took effect, in order.
#[derive(Clone, Default)]
pub struct OrderStore {
    applied: Arc<Mutex<Vec<AppliedOrder>>>,
    faults: Arc<Mutex<Vec<OrderFault>>>,
}

impl OrderStore {
    /// The orders that took effect.
    pub fn applied(&self) -> Vec<AppliedOrder> {
        self.applied.lock().unwrap().clone()
    }

    /// Distinct references, in the order in which they first took effect.
    pub fn references(&self) -> Vec<String> {
        let mut references = Vec::new();
        for order in self.applied() {
            if !references.contains(&order.reference) {
                references.push(order.reference);
            }
        }
        references
    }

    /// Lets the next order go wrong.
    pub fn fail_next(&self, fault: OrderFault) {
        self.faults.lock().unwrap().push(fault);
    }

    /// An order that took effect after one with a higher fencing number.
    pub fn late_order(&self) -> Option<AppliedOrder> {
        let applied = self.applied();
        let mut highest = Epoch::default();
        for order in applied {
            if order.fence < highest {
                return Some(order);
            }
            highest = order.fence;
        }
        None
    }

    /// A process's way to the receivers.
    pub fn client(&self, gate: watch::Receiver<bool>) -> GatedOrders {
        GatedOrders {
            store: self.clone(),
            gate,
        }
    }

    async fn take(&self, order: AppliedOrder) -> SendOutcome<ReceiverAnswer> {
        let fault = self.faults.lock().unwrap().pop();
        match fault {
            None => {
                self.applied.lock().unwrap().push(order);
                SendOutcome::Answered(ReceiverAnswer::Done { upstream: None })
            }
            Some(OrderFault::AnswerLost) => {
                self.applied.lock().unwrap().push(order);
                SendOutcome::Unknown
            }
            Some(OrderFault::Dropped) => SendOutcome::Unknown,
            Some(OrderFault::Late(delay)) => {
                let store = self.clone();
                tokio::spawn(async move {
                    tokio::time::sleep(delay).await;
                    store.applied.lock().unwrap().push(order);
                });
                SendOutcome::Unknown
            }
        }
    }
}

/// One process's way to the receivers.
pub struct GatedOrders {
    store: OrderStore,
    gate: watch::Receiver<bool>,
}

#[async_trait]
impl OrderClient for GatedOrders {
    async fn order_engine(&self, _: &str, order: &EngineOrder) -> SendOutcome<ReceiverAnswer> {
        wait_open(&self.gate).await;
        let EngineOrder {
            reference,
            epoch,
            orderer,
            ..
        } = order.clone();
        self.store
            .take(AppliedOrder {
                reference,
                fence: epoch,
                orderer,
            })
            .await
    }

    async fn order_upstream(&self, order: &UpstreamOrder) -> SendOutcome<ReceiverAnswer> {
        wait_open(&self.gate).await;
        let UpstreamOrder {
            reference,
            epoch,
            orderer,
            ..
        } = order.clone();
        self.store
            .take(AppliedOrder {
                reference,
                fence: epoch,
                orderer,
            })
            .await
    }

    async fn look_up(&self, reference: &str) -> Option<LookUpAnswer> {
        wait_open(&self.gate).await;
        let is_there = self
            .store
            .applied()
            .iter()
            .any(|order| order.reference == reference);
        Some(if is_there {
            LookUpAnswer::Found { upstream: None }
        } else {
            LookUpAnswer::Absent
        })
    }
}
