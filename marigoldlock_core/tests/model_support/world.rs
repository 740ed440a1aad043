//! Model of the control stream: processes, log, messages and receivers.

use std::time::Duration;

use marigoldlock_core::authority::{ControlFold, ControlProcess, ControlTiming, Fault, LeaseTiming};
use marigoldlock_core::orders::OrderTiming;
use marigoldlock_core::prelude::*;
use marigoldlock_core::usage::{UsageTiming, shard_of};
use marigoldlock_wire::engine::EngineAction;
use marigoldlock_wire::platform::{CapacityKind, OrderAction};
use marigoldlock_wire::record::Envelope;
use marigoldlock_wire::record::authority::{ControlRecord, Duty, HolderId};
use marigoldlock_wire::record::orders::OrderBody;

use super::StateSpace;
use super::draft::Draft;
use super::intern::{PartId, PartStore};
use super::receiver::{Message, MessageBody, Receiver, ReceiverKind};
use super::step::Step;

/// Customer of the usage model.
pub(super) const CUSTOMER: &str = "dairy";

/// Time steps of one usage window.
pub(super) const WINDOW_STEPS: u8 = 1;

/// How often each kind of event may happen.
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
    /// Clocks that start to run ahead.
    pub drifts: u8,
    /// Requests served.
    pub requests: u8,
    /// Appends of all processes.
    pub appends: u8,
    /// Orders proposed by each process.
    pub proposals: u8,
}

/// State space of the control stream with its bounds.
pub struct WorldSpace {
    /// Number of processes.
    pub processes: usize,
    /// Receiver of orders; `None` if only usage or only leases are modelled.
    pub receiver: Option<ReceiverKind>,
    /// The duties.
    pub duties: Vec<Duty>,
    /// Last time step.
    pub last_time: u8,
    /// Limits on failures and other events.
    pub budget: Budget,
    /// Seeded fault.
    pub fault: Option<Fault>,
    pub(super) parts: Parts,
}

#[derive(Default)]
pub(super) struct Parts {
    pub(super) logs: PartStore<Vec<Envelope<ControlRecord>>>,
    pub(super) nodes: PartStore<Node>,
    pub(super) networks: PartStore<Network>,
    pub(super) budgets: PartStore<Budget>,
}

/// One process with its append in flight and its pending sends.
#[derive(Clone, Debug, Eq, Hash, PartialEq)]
pub(super) struct Node {
    pub(super) process: Option<ControlProcess>,
    pub(super) incarnation: Incarnation,
    /// Time steps by which the process's clock is ahead.
    pub(super) clock_lead: u8,
    pub(super) sequence: u64,
    pub(super) outbox: Option<Envelope<ControlRecord>>,
    /// Copy of a stored append that may be stored once more.
    pub(super) delayed_copy: Option<Envelope<ControlRecord>>,
    /// Message whose authority was checked and that is not written yet.
    pub(super) pending_write: Option<MessageBody>,
    pub(super) looking_up: Option<LogPosition>,
    pub(super) proposals: u8,
    pub(super) is_leaving: bool,
}

#[derive(Clone, Debug, Default, Eq, Hash, PartialEq)]
pub(super) struct Network {
    pub(super) messages: Vec<Message>,
    pub(super) receiver: Receiver,
    pub(super) served: u64,
}

/// State of the model.
#[derive(Clone, Debug, Eq, Hash, PartialEq)]
pub struct World {
    pub(super) time: u8,
    pub(super) nodes: Vec<PartId<Node>>,
    pub(super) log: PartId<Vec<Envelope<ControlRecord>>>,
    pub(super) network: PartId<Network>,
    pub(super) budget: PartId<Budget>,
    /// Property that a receiver found violated.
    pub(super) violation: Option<&'static str>,
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
    pub(super) fn now(&self, time: u8) -> MonoTime {
        at(time + self.clock_lead)
    }

    /// Whether the process is running and not paused between check and write.
    pub(super) fn is_free(&self) -> bool {
        self.process.is_some() && self.pending_write.is_none()
    }
}

pub(super) fn name_of(index: usize) -> InstanceId {
    InstanceId::from(format!("i{index}"))
}

impl WorldSpace {
    /// A space without failures and other limited events.
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

    /// The space with limits on failures and other events.
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
            renew_interval: step,
            drift_margin: step * u32::from(self.budget.drifts.min(1)),
            order_lifetime: step,
            rank_delay: Duration::ZERO,
            rebalance_after: never,
        };
        let orders = OrderTiming {
            order_lifetime: step,
            retry_delay: Duration::ZERO,
            replace_timeout: never,
        };
        let usage = UsageTiming {
            order_lifetime: step,
            retry_delay: Duration::ZERO,
        };
        ControlTiming { lease, orders, usage }
    }

    pub(super) fn start_process(&self, index: usize, incarnation: Incarnation) -> ControlProcess {
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
            clock_lead: 0,
            sequence: 0,
            outbox: None,
            delayed_copy: None,
            pending_write: None,
            looking_up: None,
            proposals: self.budget.proposals,
            is_leaving: false,
        };
        self.propose_next(index, &mut node);
        node
    }

    /// Proposes the process's next order once the previous one is an intent.
    pub(super) fn propose_next(&self, index: usize, node: &mut Node) {
        let Some(kind) = self.receiver.filter(|_| node.proposals > 0) else {
            return;
        };
        let Some(process) = node.process.as_mut() else {
            return;
        };
        if process.orders().proposals() == 0 {
            let body = self.order_body(kind, index as u8 * 10 + node.proposals);
            process.orders_mut().propose(orders_duty(), body);
            node.proposals -= 1;
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

impl WorldSpace {
    fn candidates(&self, world: &World) -> Vec<Step> {
        let mut steps = vec![Step::Tick];
        for index in 0..self.processes {
            steps.extend([
                Step::Fold(index),
                Step::Append(index),
                Step::AppendWithList(index),
                Step::StoreAppend(index),
                Step::StoreCopy(index),
                Step::RefuseAppend(index),
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
                steps.extend((0..self.processes).map(|to| Step::ShareCounts(index, to)));
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
            violation: None,
        }
    }

    fn steps(&self, world: &World) -> Vec<(Step, World)> {
        self.candidates(world)
            .into_iter()
            .filter_map(|step| {
                let next = Draft::new(self, world).apply(step)?;
                (next != *world).then_some((step, next))
            })
            .collect()
    }

    fn violation(&self, world: &World) -> Option<String> {
        if let Some(violation) = world.violation {
            return Some(violation.to_owned());
        }
        let has_two_holders = self.duties.iter().any(|duty| self.acting(world, duty) > 1);
        if has_two_holders {
            return Some("two processes act under one duty".to_owned());
        }
        let network = self.parts.networks.get(world.network);
        (network.receiver.reported_requests() > network.served)
            .then(|| "more usage was reported than served".to_owned())
    }
}
