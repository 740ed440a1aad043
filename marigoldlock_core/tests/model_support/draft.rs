//! Steps of the log and of the processes.

use std::rc::Rc;

use marigoldlock_core::authority::ControlView;
use marigoldlock_core::orders::OrderEffect;
use marigoldlock_core::prelude::*;
use marigoldlock_core::usage::SendReport;
use marigoldlock_wire::platform::UsageFigure;
use marigoldlock_wire::record::Envelope;
use marigoldlock_wire::record::authority::{ControlRecord, HolderId, append_id};

use super::receiver::MessageBody;
use super::step::Step;
use super::world::{Budget, CUSTOMER, Network, Node, WINDOW_STEPS, World, WorldSpace, name_of};

/// Mutable copy of a model state while a step is applied.
pub(super) struct Draft<'a> {
    pub(super) space: &'a WorldSpace,
    pub(super) world: World,
}

impl<'a> Draft<'a> {
    pub(super) fn new(space: &'a WorldSpace, world: &World) -> Self {
        Self {
            space,
            world: world.clone(),
        }
    }

    pub(super) fn peek(&self, index: usize) -> Rc<Node> {
        self.space.parts.nodes.get(self.world.nodes[index])
    }

    pub(super) fn node(&self, index: usize) -> Node {
        (*self.peek(index)).clone()
    }

    pub(super) fn set_node(&mut self, index: usize, node: Node) {
        self.world.nodes[index] = self.space.parts.nodes.put(node);
    }

    pub(super) fn network(&self) -> Network {
        (*self.space.parts.networks.get(self.world.network)).clone()
    }

    pub(super) fn set_network(&mut self, network: Network) {
        self.world.network = self.space.parts.networks.put(network);
    }

    pub(super) fn append_log(&mut self, envelope: Envelope<ControlRecord>) {
        let mut log = (*self.space.parts.logs.get(self.world.log)).clone();
        log.push(envelope);
        self.world.log = self.space.parts.logs.put(log);
    }

    /// Takes one event from the budget; `None` if the budget is used up.
    pub(super) fn spend(&mut self, part: impl Fn(&mut Budget) -> &mut u8) -> Option<()> {
        let mut budget = *self.space.parts.budgets.get(self.world.budget);
        let left = part(&mut budget);
        *left = left.checked_sub(1)?;
        self.world.budget = self.space.parts.budgets.put(budget);
        Some(())
    }

    pub(super) fn finish(self) -> Option<World> {
        Some(self.world)
    }

    pub(super) fn tick(mut self) -> Option<World> {
        if self.world.time >= self.space.last_time {
            return None;
        }
        self.world.time += 1;
        let mut network = self.network();
        network.messages.retain(|message| message.is_awaited);
        for message in &mut network.messages {
            message.is_in_flight = false;
        }
        self.set_network(network);
        self.finish()
    }

    pub(super) fn drift(mut self, index: usize) -> Option<World> {
        let is_due = self.peek(index).clock_lead == 0 && self.peek(index).process.is_some();
        is_due.then_some(())?;
        self.spend(|budget| &mut budget.drifts)?;
        let mut node = self.node(index);
        node.clock_lead = 1;
        self.set_node(index, node);
        self.finish()
    }

    /// Incarnations that have ended.
    pub(super) fn gone(&self) -> Vec<HolderId> {
        // A restart increases the incarnation of a process by ten.
        (0..self.world.nodes.len())
            .flat_map(|index| {
                let node = self.peek(index);
                let newest = node.incarnation.0;
                let is_dead = node.process.is_none();
                (index as u64 + 1..=newest)
                    .step_by(10)
                    .filter(move |incarnation| is_dead || *incarnation != newest)
                    .map(move |incarnation| HolderId {
                        instance: name_of(index),
                        incarnation: Incarnation(incarnation),
                    })
            })
            .collect()
    }

    /// Whether the process may append. The processes are interchangeable, so only runs in which the first one
    /// appends first are explored.
    pub(super) fn may_append(&self, index: usize) -> bool {
        let node = self.peek(index);
        let first = self.peek(0);
        let may_be_first = index == 0 || first.sequence > 0 || first.process.is_none() || first.is_leaving;
        may_be_first && node.is_free() && node.outbox.is_none()
    }

    pub(super) fn append(mut self, index: usize, reads_list: bool) -> Option<World> {
        self.may_append(index).then_some(())?;
        let gone = if reads_list { self.gone() } else { Vec::new() };
        if reads_list && gone.is_empty() {
            return None;
        }
        let mut node = self.node(index);
        let now = node.now(self.world.time);
        let alive: Vec<_> = (0..self.world.nodes.len()).map(name_of).collect();
        let view = ControlView {
            duties: &self.space.duties,
            alive: &alive,
            is_gone: &|holder| gone.contains(holder),
            open_window: u64::from(self.world.time / WINDOW_STEPS),
            now,
        };
        let process = node.process.as_mut()?;
        let records = process.due_records(&view);
        if records.is_empty() {
            return None;
        }
        node.sequence += 1;
        self.spend(|budget| &mut budget.appends)?;
        let id = append_id(node.incarnation, node.sequence);
        process.holder_mut().on_append_sent(id, now);
        let envelope = Envelope {
            id,
            writer: name_of(index),
            incarnation: node.incarnation,
            records,
        };
        node.outbox = Some(envelope);
        self.set_node(index, node);
        self.finish()
    }

    pub(super) fn is_stored(&self, id: RecordId) -> bool {
        let log = self.space.parts.logs.get(self.world.log);
        log.iter().any(|envelope| envelope.id == id)
    }

    pub(super) fn store_append(mut self, index: usize) -> Option<World> {
        let envelope = self.peek(index).outbox.clone()?;
        if self.is_stored(envelope.id) {
            return None;
        }
        let mut node = self.node(index);
        if node.process.is_none() {
            node.outbox = None;
        }
        if self.space.budget.copies > 0 {
            node.delayed_copy = Some(envelope.clone());
        }
        self.append_log(envelope);
        self.set_node(index, node);
        self.finish()
    }

    pub(super) fn store_copy(mut self, index: usize) -> Option<World> {
        self.peek(index).delayed_copy.as_ref()?;
        self.spend(|budget| &mut budget.copies)?;
        let mut node = self.node(index);
        let envelope = node.delayed_copy.take()?;
        self.append_log(envelope);
        self.set_node(index, node);
        self.finish()
    }

    pub(super) fn refuse_append(mut self, index: usize) -> Option<World> {
        let id = self.peek(index).outbox.as_ref()?.id;
        if self.is_stored(id) || !self.peek(index).is_free() {
            return None;
        }
        self.spend(|budget| &mut budget.refusals)?;
        let mut node = self.node(index);
        node.process.as_mut()?.holder_mut().on_append_refused(id);
        node.outbox = None;
        self.set_node(index, node);
        self.finish()
    }

    pub(super) fn fold(mut self, index: usize) -> Option<World> {
        self.peek(index).is_free().then_some(())?;
        let offset = self.peek(index).process.as_ref()?.fold().next_offset();
        let log = self.space.parts.logs.get(self.world.log);
        let unread = log.get(offset as usize..).filter(|unread| !unread.is_empty())?;
        let mut node = self.node(index);
        let now = node.now(self.world.time);
        for (offset, envelope) in (offset..).zip(unread) {
            node.process.as_mut()?.fold_append(offset, envelope, now);
            node.outbox.take_if(|own| own.id == envelope.id);
        }
        self.space.propose_next(index, &mut node);
        self.set_node(index, node);
        self.finish()
    }

    pub(super) fn check(mut self, index: usize) -> Option<World> {
        let peek = self.peek(index);
        let holds_any = peek.process.as_ref().is_some_and(|process| {
            let now = peek.now(self.world.time);
            self.space
                .duties
                .iter()
                .any(|duty| process.authority(duty, now).is_some())
        });
        if !holds_any || !peek.is_free() || peek.looking_up.is_some() {
            return None;
        }
        let mut node = self.node(index);
        let now = node.now(self.world.time);
        let open = u64::from(self.world.time / WINDOW_STEPS);
        let process = node.process.as_mut()?;
        let effect = process.due_order_effects(now).into_iter().next();
        match effect {
            Some(OrderEffect::Send(order)) => {
                node.pending_write = Some(MessageBody::Order {
                    intent: order.intent,
                    fence: order.fence,
                });
            }
            Some(OrderEffect::LookUp { intent, .. }) => node.looking_up = Some(intent),
            Some(OrderEffect::Replace { .. }) => return None,
            None => {
                let SendReport { window, figure, .. } = process.due_reports(open, now).into_iter().next()?;
                node.pending_write = Some(MessageBody::Report { window, figure });
            }
        }
        self.set_node(index, node);
        self.finish()
    }

    pub(super) fn kill(mut self, index: usize) -> Option<World> {
        self.peek(index).process.as_ref()?;
        self.spend(|budget| &mut budget.kills)?;
        let mut node = self.node(index);
        node.process = None;
        node.pending_write = None;
        node.looking_up = None;
        if node.outbox.as_ref().is_some_and(|own| self.is_stored(own.id)) {
            node.outbox = None;
        }
        self.set_node(index, node);
        self.finish()
    }

    pub(super) fn restart(mut self, index: usize) -> Option<World> {
        if self.peek(index).process.is_some() {
            return None;
        }
        self.spend(|budget| &mut budget.restarts)?;
        let mut node = self.node(index);
        node.incarnation.0 += 10;
        node.process = Some(self.space.start_process(index, node.incarnation));
        // An unstored append of the old process may still arrive as a delayed copy.
        node.delayed_copy = node.outbox.take().or(node.delayed_copy);
        node.sequence = 0;
        node.proposals = 0;
        self.set_node(index, node);
        self.finish()
    }

    pub(super) fn leave(mut self, index: usize) -> Option<World> {
        if self.peek(index).is_leaving || !self.peek(index).is_free() {
            return None;
        }
        self.spend(|budget| &mut budget.leaves)?;
        let mut node = self.node(index);
        let now = node.now(self.world.time);
        node.process.as_mut()?.holder_mut().leave(now);
        node.is_leaving = true;
        self.set_node(index, node);
        self.finish()
    }

    pub(super) fn serve(mut self, index: usize) -> Option<World> {
        self.peek(index).is_free().then_some(())?;
        self.spend(|budget| &mut budget.requests)?;
        let mut node = self.node(index);
        let window = u64::from(self.world.time / WINDOW_STEPS);
        let figure = UsageFigure {
            requests: 1,
            prompt_tokens: 0,
            output_tokens: 0,
        };
        node.process
            .as_mut()?
            .usage_mut()
            .counts_mut()
            .count(&CUSTOMER.into(), window, figure);
        let mut network = self.network();
        network.served += 1;
        self.set_network(network);
        self.set_node(index, node);
        self.finish()
    }

    pub(super) fn share_counts(mut self, from: usize, to: usize) -> Option<World> {
        let sender = self.peek(from);
        if from == to || !self.peek(to).is_free() || !sender.is_free() {
            return None;
        }
        let mut node = self.node(to);
        let gone = self.gone();
        let process = sender.process.as_ref()?;
        let shares = process
            .usage()
            .counts()
            .shares(process.fold().usage(), |holder| gone.contains(holder));
        let counts = node.process.as_mut()?.usage_mut().counts_mut();
        for share in &shares {
            counts.merge(share);
        }
        self.set_node(to, node);
        self.finish()
    }

    pub(super) fn apply(self, step: Step) -> Option<World> {
        match step {
            Step::Tick => self.tick(),
            Step::Drift(index) => self.drift(index),
            Step::Append(index) => self.append(index, false),
            Step::AppendWithList(index) => self.append(index, true),
            Step::StoreAppend(index) => self.store_append(index),
            Step::StoreCopy(index) => self.store_copy(index),
            Step::RefuseAppend(index) => self.refuse_append(index),
            Step::Fold(index) => self.fold(index),
            Step::Check(index) => self.check(index),
            Step::Write(index) => self.write(index),
            Step::LookUp(index) => self.look_up(index, false),
            Step::LoseLookUp(index) => self.look_up(index, true),
            Step::Deliver(number) => self.deliver(number, true),
            Step::DeliverUnanswered(number) => self.deliver(number, false),
            Step::TimeOut(number) => self.time_out(number),
            Step::Kill(index) => self.kill(index),
            Step::Restart(index) => self.restart(index),
            Step::Leave(index) => self.leave(index),
            Step::Serve(index) => self.serve(index),
            Step::ShareCounts(from, to) => self.share_counts(from, to),
        }
    }
}
