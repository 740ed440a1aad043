//! Steps of messages to the receivers.

use marigoldlock_core::orders::{LookUpAnswer, ReceiverAnswer};
use marigoldlock_wire::record::authority::{AuthorityRecord, ControlRecord};

use super::draft::Draft;
use super::receiver::{Message, MessageBody, ReceiverKind, Reply};
use super::world::{CUSTOMER, Node, World};

impl Draft<'_> {
    /// Offset after the newest claim of the process that it has folded, or 0. It serves in place of the epoch,
    /// which a seeded fault may reuse.
    pub(super) fn claim_of(&self, node: &Node) -> u64 {
        let log = self.space.parts.logs.get(self.world.log);
        let folded = node
            .process
            .as_ref()
            .map_or(0, |process| process.fold().next_offset());
        let is_claim = |record: &ControlRecord| {
            matches!(record, ControlRecord::Authority(AuthorityRecord::Claim { .. }))
        };
        let newest = log[..folded as usize].iter().rposition(|envelope| {
            envelope.incarnation == node.incarnation && envelope.records.iter().any(is_claim)
        });
        newest.map_or(0, |offset| offset as u64 + 1)
    }

    pub(super) fn write(mut self, index: usize) -> Option<World> {
        self.peek(index).pending_write.as_ref()?;
        let mut node = self.node(index);
        let body = node.pending_write.take()?;
        let mut network = self.network();
        network.messages.push(Message {
            sender: index,
            incarnation: node.incarnation,
            claim: self.claim_of(&node),
            body,
            is_in_flight: true,
            is_awaited: true,
        });
        network.messages.sort();
        self.set_network(network);
        self.set_node(index, node);
        self.finish()
    }

    pub(super) fn look_up(mut self, index: usize, is_lost: bool) -> Option<World> {
        self.peek(index).looking_up?;
        if is_lost {
            self.spend(|budget| &mut budget.lost_answers)?;
        }
        let mut node = self.node(index);
        let intent = node.looking_up.take()?;
        let now = node.now(self.world.time);
        let has_arrived = self.network().receiver.applied.contains_key(&intent);
        let answer = if has_arrived {
            LookUpAnswer::Found { upstream: None }
        } else {
            LookUpAnswer::Absent
        };
        let answer = (!is_lost).then_some(answer);
        node.process
            .as_mut()?
            .orders_mut()
            .on_look_up(intent, answer, now);
        self.set_node(index, node);
        self.finish()
    }

    pub(super) fn deliver(mut self, number: usize, is_answered: bool) -> Option<World> {
        let mut network = self.network();
        if number >= network.messages.len() {
            return None;
        }
        let message = network.messages.remove(number);
        if !message.is_in_flight || (is_answered && !message.is_awaited) {
            return None;
        }
        // If the sender no longer waits, there is no answer to lose.
        if !is_answered && message.is_awaited {
            self.spend(|budget| &mut budget.lost_answers)?;
        }
        let kind = self.space.receiver.unwrap_or(ReceiverKind::Platform);
        match network.receiver.receive(kind, &message) {
            Err(violation) => self.world.violation = Some(violation),
            Ok(reply) if is_answered => self.answer(&message, Some(reply))?,
            Ok(_) if message.is_awaited => self.answer(&message, None)?,
            Ok(_) => {}
        }
        self.set_network(network);
        self.finish()
    }

    pub(super) fn time_out(mut self, number: usize) -> Option<World> {
        let mut network = self.network();
        let message = network.messages.get_mut(number)?;
        if !message.is_awaited {
            return None;
        }
        if message.is_in_flight {
            self.spend(|budget| &mut budget.lost_answers)?;
        }
        message.is_awaited = false;
        let copy = message.clone();
        if !copy.is_in_flight {
            network.messages.remove(number);
        }
        self.answer(&copy, None)?;
        self.set_network(network);
        self.finish()
    }

    /// Passes the answer to the sender of the message; `None` if the answer was lost.
    pub(super) fn answer(&mut self, message: &Message, reply: Option<Reply>) -> Option<()> {
        let mut node = self.node(message.sender);
        if node.incarnation != message.incarnation || node.process.is_none() {
            return Some(());
        }
        if node.pending_write.is_some() {
            return None;
        }
        let now = node.now(self.world.time);
        let process = node.process.as_mut()?;
        match (&message.body, reply) {
            (MessageBody::Order { intent, .. }, Some(reply)) => {
                let answer = match reply {
                    Reply::Done => ReceiverAnswer::Done { upstream: None },
                    Reply::Fenced => ReceiverAnswer::Fenced,
                };
                process.orders_mut().on_answer(*intent, answer, now);
            }
            (MessageBody::Order { intent, .. }, None) => process.orders_mut().on_answer_lost(*intent, now),
            (MessageBody::Report { window, .. }, Some(_)) => {
                process.usage_mut().on_report_accepted(&CUSTOMER.into(), *window);
            }
            (MessageBody::Report { window, .. }, None) => {
                process
                    .usage_mut()
                    .on_report_failed(&CUSTOMER.into(), *window, now);
            }
        }
        self.set_node(message.sender, node);
        Some(())
    }
}
