//! Outstanding orders, folded from the control stream.

use std::collections::BTreeMap;

use marigoldlock_wire::record::authority::{Duty, HolderId};
use marigoldlock_wire::record::orders::{OrderBody, OrderReceiver, OrderRecord};
use serde::{Deserialize, Serialize};

use crate::authority::{AuthorityChange, AuthorityFold};
use crate::prelude::*;

/// Order that has an intent and is not settled yet.
#[derive(Clone, Debug, Deserialize, Eq, Hash, PartialEq, Serialize)]
pub struct OutstandingOrder {
    /// Duty under which the order is given.
    pub duty: Duty,
    /// Process that appended the intent.
    pub issuer: HolderId,
    /// Process that may have sent the order and may still be sending it. `None` once that process is known to
    /// have stopped and no process holds the duty.
    pub sender: Option<HolderId>,
    /// Receiver and action.
    pub body: OrderBody,
}

/// Outstanding orders, keyed by the position of their intent.
#[derive(Clone, Debug, Default, Deserialize, Eq, Hash, PartialEq, Serialize)]
pub struct OrderBook {
    outstanding: BTreeMap<LogPosition, OutstandingOrder>,
}

impl OrderBook {
    /// The order at the position, if it is outstanding.
    pub fn get(&self, intent: LogPosition) -> Option<&OutstandingOrder> {
        self.outstanding.get(&intent)
    }

    /// Outstanding orders, oldest first.
    pub fn iter(&self) -> impl Iterator<Item = (LogPosition, &OutstandingOrder)> {
        self.outstanding
            .iter()
            .map(|(position, order)| (*position, order))
    }

    /// The outstanding order of a receiver under a duty.
    pub fn outstanding(
        &self,
        duty: &Duty,
        receiver: &OrderReceiver,
    ) -> Option<(LogPosition, &OutstandingOrder)> {
        self.iter()
            .find(|(_, order)| order.duty == *duty && order.body.receiver() == *receiver)
    }

    /// Applies a record and returns the position of its intent; `None` if the record is void.
    pub(crate) fn apply(
        &mut self,
        position: LogPosition,
        writer: &HolderId,
        record: &OrderRecord,
        authority: &AuthorityFold,
    ) -> Option<LogPosition> {
        match record {
            OrderRecord::Intent { duty, epoch, body } => {
                let is_valid = matches!(duty, Duty::Orders { .. })
                    && authority.is_current(duty, writer, *epoch)
                    && self.outstanding(duty, &body.receiver()).is_none();
                if !is_valid {
                    return None;
                }
                let order = OutstandingOrder {
                    duty: duty.clone(),
                    issuer: writer.clone(),
                    sender: Some(writer.clone()),
                    body: body.clone(),
                };
                self.outstanding.insert(position, order);
                Some(position)
            }
            OrderRecord::Settled { intent, epoch, .. } => {
                let order = self.outstanding.get(intent)?;
                if !authority.is_current(&order.duty, writer, *epoch) {
                    return None;
                }
                self.outstanding.remove(intent);
                Some(*intent)
            }
        }
    }

    /// Makes the duty's holder the sender of orders whose sender has stopped.
    pub(crate) fn apply_authority(&mut self, change: &AuthorityChange, authority: &AuthorityFold) {
        for order in self.outstanding.values_mut() {
            order.sender = next_sender(order.sender.take(), &order.duty, change, authority);
        }
    }
}

/// The process that may send under the duty after the change; `sender` is the one before the change.
pub(crate) fn next_sender(
    sender: Option<HolderId>,
    duty: &Duty,
    change: &AuthorityChange,
    authority: &AuthorityFold,
) -> Option<HolderId> {
    let holder = authority.held(duty).map(|head| &head.holder);
    let is_released = match (&sender, change) {
        (None, _) => true,
        (Some(sender), AuthorityChange::Resigned(resigned)) => {
            resigned == duty && authority.head(duty).is_some_and(|head| head.holder == *sender)
        }
        (Some(sender), AuthorityChange::Stopped(stopped)) => sender == stopped && holder != Some(sender),
        _ => false,
    };
    if is_released { holder.cloned() } else { sender }
}
