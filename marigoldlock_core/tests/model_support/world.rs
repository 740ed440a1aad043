//! The world of the control stream: processes, log, messages and receivers.

use std::rc::Rc;
use std::time::Duration;

use marigoldlock_core::authority::{
    ControlFold, ControlProcess, ControlTiming, ControlView, Fault, LeaseTiming,
};
use marigoldlock_core::orders::{EngineAnswer, LookUpAnswer, OrderEffect, OrderTiming};
use marigoldlock_core::prelude::*;
use marigoldlock_core::usage::{SendReport, UsageTiming, shard_of};
use marigoldlock_wire::engine::EngineAction;
use marigoldlock_wire::platform::{CapacityKind, OrderAction, UsageFigure};
use marigoldlock_wire::record::Envelope;
use marigoldlock_wire::record::authority::{AuthorityRecord, ControlRecord, Duty, HolderId, append_id};
use marigoldlock_wire::record::orders::OrderBody;

use super::StateSpace;
use super::intern::{PartId, PartStore};
use super::receiver::{Message, MessageBody, Receiver, ReceiverKind, Reply};
use super::step::Step;

/// Customer of the usage model.
const CUSTOMER: &str = "dairy";

/// Time steps of one usage window.
const WINDOW_STEPS: u8 = 1;

/// How often each kind of failure may happen.
#[derive(Clone, Copy, Debug, Default, Eq, Hash, PartialEq)]
pub struct Budget {
    /// Processes killed.
    pub kills: u8,
    /// Restarts of killed processes.
    pub restarts: u8,
    /// Graceful shutdowns.
    pub leaves: u8,
    /// Appends refused.
    pub refusals: u8,
    /// Delayed copies of appends.
    pub copies: u8,
    /// Answers lost and sends that time out.
    pub lost_answers: u8,
    /// Clocks that gain.
    pub drifts: u8,
    /// Requests served.
    pub requests: u8,
    /// Appends of all processes.
    pub appends: u8,
    /// Orders wished by each process.
    pub wishes: u8,
}

/// What is modelled.
pub struct WorldSpace {
    /// Processes.
    pub processes: usize,
    /// Receiver of orders; `None` models usage, or authority alone.
    pub receiver: Option<ReceiverKind>,
    /// The duties.
    pub duties: Vec<Duty>,
    /// Last time step.
    pub last_time: u8,
    /// Failures.
    pub budget: Budget,
    /// Seeded fault.
    pub fault: Option<Fault>,
    parts: Parts,
}

#[derive(Default)]
struct Parts {
    logs: PartStore<Vec<Envelope<ControlRecord>>>,
    nodes: PartStore<Node>,
    networks: PartStore<Network>,
    budgets: PartStore<Budget>,
}

/// One process and what it has on the way.
#[derive(Clone, Debug, Eq, Hash, PartialEq)]
struct Node {
    process: Option<ControlProcess>,
    incarnation: Incarnation,
    gain: u8,
    sequence: u64,
    outbox: Option<Envelope<ControlRecord>>,
    /// Copy of a landed append that may land once more.
    copy: Option<Envelope<ControlRecord>>,
    /// Checked and not yet written.
    armed: Option<MessageBody>,
    looking_up: Option<LogPosition>,
    wishes: u8,
    is_leaving: bool,
}

#[derive(Clone, Debug, Default, Eq, Hash, PartialEq)]
struct Network {
    messages: Vec<Message>,
    receiver: Receiver,
    served: u64,
}

/// State of the world.
#[derive(Clone, Debug, Eq, Hash, PartialEq)]
pub struct World {
    time: u8,
    nodes: Vec<PartId<Node>>,
    log: PartId<Vec<Envelope<ControlRecord>>>,
    network: PartId<Network>,
    budget: PartId<Budget>,
    broken: Option<&'static str>,
}

fn at(step: u8) -> MonoTime {
    MonoTime::from_duration(Duration::from_secs(step.into()))
}

/// The orders duty of the model.
pub fn orders_duty() -> Duty {
    Duty::Orders {
        data_centre: "pest-a".into(),
    }
}

/// The usage duty of the model.
pub fn usage_duty() -> Duty {
    Duty::Usage {
        shard: shard_of(&CUSTOMER.into()),
    }
}

impl Node {
    fn now(&self, time: u8) -> MonoTime {
        at(time + self.gain)
    }

    /// Whether the process lives and is not paused between check and write.
    fn is_free(&self) -> bool {
        self.process.is_some() && self.armed.is_none()
    }
}

fn name_of(index: usize) -> InstanceId {
    InstanceId::from(format!("i{index}"))
}

impl WorldSpace {
    /// A space without failures.
    pub fn new(processes: usize, duties: Vec<Duty>, receiver: Option<ReceiverKind>, last_time: u8) -> Self {
        Self {
            processes,
            receiver,
            duties,
            last_time: last_time + super::extra_bound(),
            budget: Budget::default(),
            fault: None,
            parts: Parts::default(),
        }
    }

    /// The space with the failures.
    pub fn with_budget(self, budget: Budget) -> Self {
        Self { budget, ..self }
    }

    /// The space with a seeded fault.
    pub fn with_fault(self, fault: Fault) -> Self {
        Self {
            fault: Some(fault),
            ..self
        }
    }

    fn timing(&self) -> ControlTiming {
        let step = Duration::from_secs(1);
        let never = Duration::MAX;
        let lease = LeaseTiming {
            lease: step,
            renew_every: step,
            drift_margin: step * u32::from(self.budget.drifts.min(1)),
            order_lifetime: step,
            rank_delay: Duration::ZERO,
            rebalance_after: never,
        };
        let orders = OrderTiming {
            order_lifetime: step,
            retry_after: Duration::ZERO,
            replace_after: never,
        };
        let usage = UsageTiming {
            order_lifetime: step,
            retry_after: Duration::ZERO,
        };
        ControlTiming { lease, orders, usage }
    }

    fn start_process(&self, index: usize, incarnation: Incarnation) -> ControlProcess {
        let me = HolderId {
            instance: name_of(index),
            incarnation,
        };
        ControlProcess::new(me, self.timing(), ControlFold::with_fault(self.fault)).with_fault(self.fault)
    }

    fn start_node(&self, index: usize) -> Node {
        let incarnation = Incarnation(index as u64 + 1);
        let mut node = Node {
            process: Some(self.start_process(index, incarnation)),
            incarnation,
            gain: 0,
            sequence: 0,
            outbox: None,
            copy: None,
            armed: None,
            looking_up: None,
            wishes: self.budget.wishes,
            is_leaving: false,
        };
        self.wish_next(index, &mut node);
        node
    }

    /// Wishes the process's next order once the one before is an intent.
    fn wish_next(&self, index: usize, node: &mut Node) {
        let Some(kind) = self.receiver.filter(|_| node.wishes > 0) else {
            return;
        };
        let Some(process) = node.process.as_mut() else {
            return;
        };
        if process.orders().wishes() == 0 {
            let body = self.order_body(kind, index as u8 * 10 + node.wishes);
            process.orders_mut().wish(orders_duty(), body);
            node.wishes -= 1;
        }
    }

    fn order_body(&self, kind: ReceiverKind, number: u8) -> OrderBody {
        match kind {
            ReceiverKind::Platform => OrderBody::Platform {
                service: ServiceId::from(format!("s{number}")),
                action: OrderAction::Start {
                    capacity: CapacityKind::Steady,
                },
            },
            _ => OrderBody::Engine {
                upstream: "e1".into(),
                checks_fence: kind == ReceiverKind::FencedEngine,
                action: EngineAction::SetVersion(format!("v{number}")),
            },
        }
    }
}

/// Mutable copy of a world while a step is taken.
struct Draft<'a> {
    space: &'a WorldSpace,
    world: World,
}

impl<'a> Draft<'a> {
    fn new(space: &'a WorldSpace, world: &World) -> Self {
        Self {
            space,
            world: world.clone(),
        }
    }

    fn peek(&self, index: usize) -> Rc<Node> {
        self.space.parts.nodes.get(self.world.nodes[index])
    }

    fn node(&self, index: usize) -> Node {
        (*self.peek(index)).clone()
    }

    fn set_node(&mut self, index: usize, node: Node) {
        self.world.nodes[index] = self.space.parts.nodes.put(node);
    }

    fn network(&self) -> Network {
        (*self.space.parts.networks.get(self.world.network)).clone()
    }

    fn set_network(&mut self, network: Network) {
        self.world.network = self.space.parts.networks.put(network);
    }

    fn append_log(&mut self, envelope: Envelope<ControlRecord>) {
        let mut log = (*self.space.parts.logs.get(self.world.log)).clone();
        log.push(envelope);
        self.world.log = self.space.parts.logs.put(log);
    }

    /// Takes one from the budget; `None` if it is used up.
    fn spend(&mut self, part: impl Fn(&mut Budget) -> &mut u8) -> Option<()> {
        let mut budget = *self.space.parts.budgets.get(self.world.budget);
        let left = part(&mut budget);
        *left = left.checked_sub(1)?;
        self.world.budget = self.space.parts.budgets.put(budget);
        Some(())
    }

    fn finish(self) -> Option<World> {
        Some(self.world)
    }

    fn tick(mut self) -> Option<World> {
        if self.world.time >= self.space.last_time {
            return None;
        }
        self.world.time += 1;
        let mut network = self.network();
        network.messages.retain(|message| message.is_awaited);
        for message in &mut network.messages {
            message.is_alive = false;
        }
        self.set_network(network);
        self.finish()
    }

    fn drift(mut self, index: usize) -> Option<World> {
        let is_due = self.peek(index).gain == 0 && self.peek(index).process.is_some();
        is_due.then_some(())?;
        self.spend(|budget| &mut budget.drifts)?;
        let mut node = self.node(index);
        node.gain = 1;
        self.set_node(index, node);
        self.finish()
    }

    fn gone(&self) -> Vec<HolderId> {
        // Incarnations of one process grow by ten.
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

    /// The processes are alike, so that the first one may be the first to append.
    fn may_append(&self, index: usize) -> bool {
        let node = self.peek(index);
        let first = self.peek(0);
        let is_turn = index == 0 || first.sequence > 0 || first.process.is_none() || first.is_leaving;
        is_turn && node.is_free() && node.outbox.is_none()
    }

    fn append(mut self, index: usize, knows_gone: bool) -> Option<World> {
        self.may_append(index).then_some(())?;
        let gone = if knows_gone { self.gone() } else { Vec::new() };
        if knows_gone && gone.is_empty() {
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
        process.holder_mut().append_sent(id, now);
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

    fn is_landed(&self, id: RecordId) -> bool {
        let log = self.space.parts.logs.get(self.world.log);
        log.iter().any(|envelope| envelope.id == id)
    }

    fn land(mut self, index: usize) -> Option<World> {
        let envelope = self.peek(index).outbox.clone()?;
        if self.is_landed(envelope.id) {
            return None;
        }
        let mut node = self.node(index);
        if node.process.is_none() {
            node.outbox = None;
        }
        if self.space.budget.copies > 0 {
            node.copy = Some(envelope.clone());
        }
        self.append_log(envelope);
        self.set_node(index, node);
        self.finish()
    }

    fn land_copy(mut self, index: usize) -> Option<World> {
        self.peek(index).copy.as_ref()?;
        self.spend(|budget| &mut budget.copies)?;
        let mut node = self.node(index);
        let envelope = node.copy.take()?;
        self.append_log(envelope);
        self.set_node(index, node);
        self.finish()
    }

    fn refuse(mut self, index: usize) -> Option<World> {
        let id = self.peek(index).outbox.as_ref()?.id;
        if self.is_landed(id) || !self.peek(index).is_free() {
            return None;
        }
        self.spend(|budget| &mut budget.refusals)?;
        let mut node = self.node(index);
        node.process.as_mut()?.holder_mut().append_refused(id);
        node.outbox = None;
        self.set_node(index, node);
        self.finish()
    }

    fn fold(mut self, index: usize) -> Option<World> {
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
        self.space.wish_next(index, &mut node);
        self.set_node(index, node);
        self.finish()
    }

    fn check(mut self, index: usize) -> Option<World> {
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
                node.armed = Some(MessageBody::Order {
                    intent: order.intent,
                    fence: order.fence,
                });
            }
            Some(OrderEffect::LookUp { intent, .. }) => node.looking_up = Some(intent),
            Some(OrderEffect::Replace { .. }) => return None,
            None => {
                let SendReport { window, figure, .. } = process.due_reports(open, now).into_iter().next()?;
                node.armed = Some(MessageBody::Report { window, figure });
            }
        }
        self.set_node(index, node);
        self.finish()
    }

    /// Offset behind the newest claim of the process that it has folded, whatever epoch it gave.
    fn claim_of(&self, node: &Node) -> u64 {
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

    fn write(mut self, index: usize) -> Option<World> {
        self.peek(index).armed.as_ref()?;
        let mut node = self.node(index);
        let body = node.armed.take()?;
        let mut network = self.network();
        network.messages.push(Message {
            sender: index,
            incarnation: node.incarnation,
            claim: self.claim_of(&node),
            body,
            is_alive: true,
            is_awaited: true,
        });
        network.messages.sort();
        self.set_network(network);
        self.set_node(index, node);
        self.finish()
    }

    fn look_up(mut self, index: usize, is_lost: bool) -> Option<World> {
        self.peek(index).looking_up?;
        if is_lost {
            self.spend(|budget| &mut budget.lost_answers)?;
        }
        let mut node = self.node(index);
        let intent = node.looking_up.take()?;
        let now = node.now(self.world.time);
        let is_there = self.network().receiver.applied.contains_key(&intent);
        let answer = if is_there {
            LookUpAnswer::Found { upstream: None }
        } else {
            LookUpAnswer::Absent
        };
        let answer = (!is_lost).then_some(answer);
        node.process.as_mut()?.orders_mut().looked_up(intent, answer, now);
        self.set_node(index, node);
        self.finish()
    }

    fn deliver(mut self, number: usize, is_answered: bool) -> Option<World> {
        let mut network = self.network();
        if number >= network.messages.len() {
            return None;
        }
        let message = network.messages.remove(number);
        if !message.is_alive || (is_answered && !message.is_awaited) {
            return None;
        }
        // Without a waiting sender there is no answer to lose.
        if !is_answered && message.is_awaited {
            self.spend(|budget| &mut budget.lost_answers)?;
        }
        let kind = self.space.receiver.unwrap_or(ReceiverKind::Platform);
        match network.receiver.take(kind, &message) {
            Err(broken) => self.world.broken = Some(broken),
            Ok(reply) if is_answered => self.answer(&message, Some(reply))?,
            Ok(_) if message.is_awaited => self.answer(&message, None)?,
            Ok(_) => {}
        }
        self.set_network(network);
        self.finish()
    }

    fn time_out(mut self, number: usize) -> Option<World> {
        let mut network = self.network();
        let message = network.messages.get_mut(number)?;
        if !message.is_awaited {
            return None;
        }
        if message.is_alive {
            self.spend(|budget| &mut budget.lost_answers)?;
        }
        message.is_awaited = false;
        let copy = message.clone();
        if !copy.is_alive {
            network.messages.remove(number);
        }
        self.answer(&copy, None)?;
        self.set_network(network);
        self.finish()
    }

    /// Tells the sender what became of its message; `None` is a lost answer.
    fn answer(&mut self, message: &Message, reply: Option<Reply>) -> Option<()> {
        let mut node = self.node(message.sender);
        if node.incarnation != message.incarnation || node.process.is_none() {
            return Some(());
        }
        if node.armed.is_some() {
            return None;
        }
        let now = node.now(self.world.time);
        let process = node.process.as_mut()?;
        match (&message.body, reply) {
            (MessageBody::Order { intent, .. }, Some(reply)) => {
                let answer = match reply {
                    Reply::Done => EngineAnswer::Done { upstream: None },
                    Reply::Fenced => EngineAnswer::Fenced,
                };
                process.orders_mut().answered(*intent, answer, now);
            }
            (MessageBody::Order { intent, .. }, None) => process.orders_mut().answer_lost(*intent, now),
            (MessageBody::Report { window, .. }, Some(_)) => {
                process.usage_mut().report_taken(&CUSTOMER.into(), *window);
            }
            (MessageBody::Report { window, .. }, None) => {
                process.usage_mut().report_lost(&CUSTOMER.into(), *window, now);
            }
        }
        self.set_node(message.sender, node);
        Some(())
    }

    fn kill(mut self, index: usize) -> Option<World> {
        self.peek(index).process.as_ref()?;
        self.spend(|budget| &mut budget.kills)?;
        let mut node = self.node(index);
        node.process = None;
        node.armed = None;
        node.looking_up = None;
        if node.outbox.as_ref().is_some_and(|own| self.is_landed(own.id)) {
            node.outbox = None;
        }
        self.set_node(index, node);
        self.finish()
    }

    fn restart(mut self, index: usize) -> Option<World> {
        if self.peek(index).process.is_some() {
            return None;
        }
        self.spend(|budget| &mut budget.restarts)?;
        let mut node = self.node(index);
        node.incarnation.0 += 10;
        node.process = Some(self.space.start_process(index, node.incarnation));
        // An append of the old process that has not landed by now is a copy of the old process.
        node.copy = node.outbox.take().or(node.copy);
        node.sequence = 0;
        node.wishes = 0;
        self.set_node(index, node);
        self.finish()
    }

    fn leave(mut self, index: usize) -> Option<World> {
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

    fn serve(mut self, index: usize) -> Option<World> {
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

    fn share(mut self, from: usize, to: usize) -> Option<World> {
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

    fn take(self, step: Step) -> Option<World> {
        match step {
            Step::Tick => self.tick(),
            Step::Drift(index) => self.drift(index),
            Step::Append(index) => self.append(index, false),
            Step::AppendKnowing(index) => self.append(index, true),
            Step::Land(index) => self.land(index),
            Step::LandCopy(index) => self.land_copy(index),
            Step::Refuse(index) => self.refuse(index),
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
            Step::Share(from, to) => self.share(from, to),
        }
    }
}

impl WorldSpace {
    fn candidates(&self, world: &World) -> Vec<Step> {
        let mut steps = vec![Step::Tick];
        for index in 0..self.processes {
            steps.extend([
                Step::Fold(index),
                Step::Append(index),
                Step::AppendKnowing(index),
                Step::Land(index),
                Step::LandCopy(index),
                Step::Refuse(index),
                Step::Check(index),
                Step::Write(index),
                Step::LookUp(index),
                Step::LoseLookUp(index),
                Step::Serve(index),
                Step::Kill(index),
                Step::Restart(index),
                Step::Leave(index),
                Step::Drift(index),
            ]);
            if self.budget.requests > 0 {
                steps.extend((0..self.processes).map(|to| Step::Share(index, to)));
            }
        }
        let messages = self.parts.networks.get(world.network).messages.len();
        for number in 0..messages {
            steps.extend([
                Step::Deliver(number),
                Step::DeliverUnanswered(number),
                Step::TimeOut(number),
            ]);
        }
        steps
    }

    /// Processes that may act under the duty now, each by its own clock.
    fn acting(&self, world: &World, duty: &Duty) -> usize {
        world
            .nodes
            .iter()
            .filter(|id| {
                let node = self.parts.nodes.get(**id);
                let now = node.now(world.time);
                node.process
                    .as_ref()
                    .is_some_and(|process| process.authority(duty, now).is_some())
            })
            .count()
    }
}

impl StateSpace for WorldSpace {
    type State = World;
    type Step = Step;

    fn start(&self) -> World {
        World {
            time: 0,
            nodes: (0..self.processes)
                .map(|index| self.parts.nodes.put(self.start_node(index)))
                .collect(),
            log: self.parts.logs.put(Vec::new()),
            network: self.parts.networks.put(Network::default()),
            budget: self.parts.budgets.put(self.budget),
            broken: None,
        }
    }

    fn steps(&self, world: &World) -> Vec<(Step, World)> {
        self.candidates(world)
            .into_iter()
            .filter_map(|step| {
                let next = Draft::new(self, world).take(step)?;
                (next != *world).then_some((step, next))
            })
            .collect()
    }

    fn violation(&self, world: &World) -> Option<String> {
        if let Some(broken) = world.broken {
            return Some(broken.to_owned());
        }
        let is_doubled = self.duties.iter().any(|duty| self.acting(world, duty) > 1);
        if is_doubled {
            return Some("two processes act under one duty".to_owned());
        }
        let network = self.parts.networks.get(world.network);
        (network.receiver.reported_requests() > network.served)
            .then(|| "more usage was reported than served".to_owned())
    }
}
