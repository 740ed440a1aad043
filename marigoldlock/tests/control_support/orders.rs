//! In-memory fake of the order receivers.

use std::sync::{Arc, Mutex};
use std::time::Duration;

use async_trait::async_trait;
use marigoldlock::control::{OrderClient, SendOutcome};
use marigoldlock_core::orders::{LookUpAnswer, ReceiverAnswer};
use marigoldlock_wire::engine::EngineOrder;
use marigoldlock_wire::platform::UpstreamOrder;
use marigoldlock_wire::prelude::*;
use tokio::sync::watch;

use super::wait_for_gate;

/// Fault injected into an order.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum OrderFault {
    /// The order is applied but its response is lost.
    ResponseLost,
    /// The sender gets no response and the order is applied after a delay.
    Delayed(Duration),
    /// The order never arrives and there is no response.
    Dropped,
}

/// An order that was applied.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct AppliedOrder {
    /// Reference of the order.
    pub reference: String,
    /// Fencing number of the order.
    pub fence: Epoch,
    /// Sender of the order.
    pub orderer: InstanceId,
}

/// Applied orders, in the order of their effect.
#[derive(Clone, Default)]
pub struct OrderStore {
    applied: Arc<Mutex<Vec<AppliedOrder>>>,
    faults: Arc<Mutex<Vec<OrderFault>>>,
}

impl OrderStore {
    /// Returns the applied orders.
    pub fn applied(&self) -> Vec<AppliedOrder> {
        self.applied.lock().unwrap().clone()
    }

    /// Returns the distinct references, in the order in which they were first applied.
    pub fn references(&self) -> Vec<String> {
        let mut references = Vec::new();
        for order in self.applied() {
            if !references.contains(&order.reference) {
                references.push(order.reference);
            }
        }
        references
    }

    /// Injects a fault into the next order.
    pub fn fail_next(&self, fault: OrderFault) {
        self.faults.lock().unwrap().push(fault);
    }

    /// Returns an order that was applied after one with a higher fencing number.
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

    /// Creates a process's client.
    pub fn client(&self, gate: watch::Receiver<bool>) -> GatedOrders {
        GatedOrders {
            store: self.clone(),
            gate,
        }
    }

    async fn apply(&self, order: AppliedOrder) -> SendOutcome<ReceiverAnswer> {
        let fault = self.faults.lock().unwrap().pop();
        match fault {
            None => {
                self.applied.lock().unwrap().push(order);
                SendOutcome::Answered(ReceiverAnswer::Done { upstream: None })
            }
            Some(OrderFault::ResponseLost) => {
                self.applied.lock().unwrap().push(order);
                SendOutcome::Unknown
            }
            Some(OrderFault::Dropped) => SendOutcome::Unknown,
            Some(OrderFault::Delayed(delay)) => {
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

/// A process's client of the receivers.
pub struct GatedOrders {
    store: OrderStore,
    gate: watch::Receiver<bool>,
}

#[async_trait]
impl OrderClient for GatedOrders {
    async fn order_engine(&self, _: &str, order: &EngineOrder) -> SendOutcome<ReceiverAnswer> {
        wait_for_gate(&self.gate).await;
        let EngineOrder {
            reference,
            epoch,
            orderer,
            ..
        } = order.clone();
        self.store
            .apply(AppliedOrder {
                reference,
                fence: epoch,
                orderer,
            })
            .await
    }

    async fn order_upstream(&self, order: &UpstreamOrder) -> SendOutcome<ReceiverAnswer> {
        wait_for_gate(&self.gate).await;
        let UpstreamOrder {
            reference,
            epoch,
            orderer,
            ..
        } = order.clone();
        self.store
            .apply(AppliedOrder {
                reference,
                fence: epoch,
                orderer,
            })
            .await
    }

    async fn look_up(&self, reference: &str) -> Option<LookUpAnswer> {
        wait_for_gate(&self.gate).await;
        let is_applied = self
            .store
            .applied()
            .iter()
            .any(|order| order.reference == reference);
        Some(if is_applied {
            LookUpAnswer::Found { upstream: None }
        } else {
            LookUpAnswer::Absent
        })
    }
}
