//! Decides what one process sends, looks up and appends for its orders.

use std::collections::BTreeMap;
use std::time::Duration;

use marigoldlock_wire::record::authority::{Duty, HolderId};
use marigoldlock_wire::record::orders::{OrderBody, OrderOutcome, OrderReceiver, OrderRecord};

use super::{OrderBook, OutstandingOrder};
use crate::authority::{DutyAuthority, Fault};
use crate::prelude::*;
use crate::time::ORDER_LIFETIME;

/// Durations of the orders duty.
#[derive(Clone, Copy, Debug, Eq, Hash, PartialEq)]
pub struct OrderTiming {
    /// Maximum time between writing an order and its arrival.
    pub order_lifetime: Duration,
    /// Delay before a failed send or look-up is repeated.
    pub retry_delay: Duration,
    /// How long an order to an engine may stay outstanding before the engine is replaced.
    pub replace_timeout: Duration,
}

impl Default for OrderTiming {
    fn default() -> Self {
        Self {
            order_lifetime: ORDER_LIFETIME,
            retry_delay: Duration::from_millis(500),
            replace_timeout: Duration::from_secs(180),
        }
    }
}

/// Duties under which the process may act now.
pub trait AuthorityView {
    /// Permission to act under the duty.
    fn authority(&self, duty: &Duty) -> Option<DutyAuthority>;
}

impl<F: Fn(&Duty) -> Option<DutyAuthority>> AuthorityView for F {
    fn authority(&self, duty: &Duty) -> Option<DutyAuthority> {
        self(duty)
    }
}

/// An order to send.
#[derive(Clone, Debug, Eq, Hash, PartialEq)]
pub struct SendOrder {
    /// Position of the intent.
    pub intent: LogPosition,
    /// Reference at the receiver; the same for every repeat.
    pub reference: String,
    /// Fencing number.
    pub fence: Epoch,
    /// Duty under which the order is given.
    pub duty: Duty,
    /// Receiver and action.
    pub body: OrderBody,
    /// The order is written before this time or not at all. Checking the clock and writing are one step.
    pub not_after: MonoTime,
}

/// I/O that the process must carry out.
#[derive(Clone, Debug, Eq, Hash, PartialEq)]
pub enum OrderEffect {
    /// Send an order.
    Send(SendOrder),
    /// Ask the platform whether it has an order with the reference.
    LookUp {
        /// Position of the intent.
        intent: LogPosition,
        /// Reference at the platform.
        reference: String,
    },
    /// No further order can be given to the engine safely; drain and replace it.
    Replace {
        /// Position of the unsettled intent.
        intent: LogPosition,
        /// The engine.
        upstream: UpstreamId,
    },
}

/// Answer of an engine or the platform to an order.
#[derive(Clone, Debug, Eq, Hash, PartialEq)]
pub enum ReceiverAnswer {
    /// The receiver carried the order out.
    Done {
        /// Upstream that a platform order started or withdrew.
        upstream: Option<UpstreamId>,
    },
    /// The receiver will not carry the order out.
    Refused,
    /// The receiver has seen a newer fencing number.
    Fenced,
}

/// Answer to a look-up by reference.
#[derive(Clone, Debug, Eq, Hash, PartialEq)]
pub enum LookUpAnswer {
    /// The order arrived.
    Found {
        /// Upstream started or withdrawn.
        upstream: Option<UpstreamId>,
    },
    /// The order has not arrived.
    Absent,
}

#[derive(Clone, Copy, Debug, Eq, Hash, PartialEq)]
enum Attempt {
    /// Handed over for sending; the answer is pending.
    Sent,
    /// An earlier write has no answer and may still arrive until `latest_arrival`.
    Unanswered { latest_arrival: MonoTime },
    /// A look-up is in flight.
    LookingUp,
    /// The receiver has no copy: a look-up after the latest arrival found none, or nothing was ever written.
    Absent,
}

#[derive(Clone, Debug, Eq, Hash, PartialEq)]
struct OrderProgress {
    attempt: Attempt,
    /// No unanswered write of this process can arrive after this time.
    latest_arrival: MonoTime,
    retry_at: MonoTime,
    outcome: Option<OrderOutcome>,
    replace_at: MonoTime,
    is_sender: bool,
    replace_requested: bool,
}

/// Proposals and outstanding orders of one process.
#[derive(Clone, Debug, Eq, Hash, PartialEq)]
pub struct OrderDispatcher {
    me: HolderId,
    timing: OrderTiming,
    /// Orders whose intent has not been read back yet.
    proposals: Vec<(Duty, OrderBody)>,
    progress: BTreeMap<LogPosition, OrderProgress>,
    fault: Option<Fault>,
}

impl OrderDispatcher {
    /// A dispatcher without orders.
    pub fn new(me: HolderId, timing: OrderTiming) -> Self {
        Self {
            me,
            timing,
            proposals: Vec::new(),
            progress: BTreeMap::new(),
            fault: None,
        }
    }

    /// Disables a rule, for the model checker.
    pub fn with_fault(self, fault: Option<Fault>) -> Self {
        Self { fault, ..self }
    }

    /// Proposes an order. It replaces an earlier proposal for the receiver under the same duty that is not an
    /// intent yet.
    pub fn propose(&mut self, duty: Duty, body: OrderBody) {
        let receiver = body.receiver();
        self.proposals
            .retain(|(other, old)| *other != duty || old.receiver() != receiver);
        self.proposals.push((duty, body));
    }

    /// Number of proposals that are not intents yet.
    pub fn proposals(&self) -> usize {
        self.proposals.len()
    }

    /// Updates the progress of orders after an append was folded.
    pub fn observe(&mut self, book: &OrderBook, now: MonoTime) {
        self.progress.retain(|intent, _| book.get(*intent).is_some());
        for (intent, order) in book.iter() {
            if self.progress.contains_key(&intent) {
                continue;
            }
            self.progress.insert(intent, self.initial_progress(order, now));
            if order.issuer == self.me {
                self.proposals
                    .retain(|(duty, body)| *duty != order.duty || *body != order.body);
            }
        }
        self.update_senders(book, now);
    }

    fn initial_progress(&self, order: &OutstandingOrder, now: MonoTime) -> OrderProgress {
        // Only the issuer knows that nothing has been written yet.
        let is_issuer = order.issuer == self.me;
        OrderProgress {
            attempt: if is_issuer {
                Attempt::Absent
            } else {
                Attempt::Unanswered {
                    latest_arrival: MonoTime::ZERO,
                }
            },
            latest_arrival: MonoTime::ZERO,
            retry_at: MonoTime::ZERO,
            outcome: None,
            replace_at: now + self.timing.replace_timeout,
            is_sender: is_issuer,
            replace_requested: false,
        }
    }

    /// Marks orders that this process takes over as unanswered. The lifetime of the predecessor's last write
    /// counts from when the predecessor is known to have stopped.
    fn update_senders(&mut self, book: &OrderBook, now: MonoTime) {
        let latest_arrival = now + self.timing.order_lifetime;
        for (intent, order) in book.iter() {
            let Some(progress) = self.progress.get_mut(&intent) else {
                continue;
            };
            let is_sender = order.sender.as_ref() == Some(&self.me);
            let is_adopted = is_sender && !progress.is_sender && !order.body.is_fenced();
            if is_adopted && self.fault != Some(Fault::AdoptEarly) {
                progress.attempt = Attempt::Unanswered { latest_arrival };
                progress.latest_arrival = latest_arrival;
                progress.retry_at = latest_arrival;
            }
            progress.is_sender = is_sender;
        }
    }

    /// Records to append now, in the same append as those of the other duties.
    pub fn due_records(
        &self,
        book: &OrderBook,
        view: &impl AuthorityView,
        now: MonoTime,
    ) -> Vec<OrderRecord> {
        let mut records: Vec<_> = self.due_settlements(book, view, now).collect();
        let mut occupied: Vec<(&Duty, OrderReceiver)> = Vec::new();
        for (duty, body) in &self.proposals {
            let receiver = body.receiver();
            let is_free =
                book.outstanding(duty, &receiver).is_none() && !occupied.contains(&(duty, receiver.clone()));
            let Some(authority) = view.authority(duty).filter(|_| is_free) else {
                continue;
            };
            occupied.push((duty, receiver));
            records.push(OrderRecord::Intent {
                duty: duty.clone(),
                epoch: authority.epoch,
                body: body.clone(),
            });
        }
        records
    }

    fn due_settlements(
        &self,
        book: &OrderBook,
        view: &impl AuthorityView,
        now: MonoTime,
    ) -> impl Iterator<Item = OrderRecord> {
        book.iter().filter_map(move |(intent, order)| {
            let progress = self.progress.get(&intent)?;
            let outcome = progress.outcome.clone()?;
            let authority = view.authority(&order.duty)?;
            let is_past_arrival = order.body.is_fenced()
                || now >= progress.latest_arrival
                || self.fault == Some(Fault::SettleEarly);
            let is_final = outcome == OrderOutcome::ReceiverGone || (self.may_send(order) && is_past_arrival);
            is_final.then_some(OrderRecord::Settled {
                intent,
                epoch: authority.epoch,
                outcome,
            })
        })
    }

    /// Sends and look-ups that are due. The caller reports the result of each by an `on_` method.
    pub fn due_effects(
        &mut self,
        book: &OrderBook,
        view: &impl AuthorityView,
        now: MonoTime,
    ) -> Vec<OrderEffect> {
        book.iter()
            .filter_map(|(intent, order)| {
                let authority = view.authority(&order.duty)?;
                self.due_effect(intent, order, authority, now)
            })
            .collect()
    }

    fn due_effect(
        &mut self,
        intent: LogPosition,
        order: &OutstandingOrder,
        authority: DutyAuthority,
        now: MonoTime,
    ) -> Option<OrderEffect> {
        if let Some(effect) = self.due_replacement(intent, order, now) {
            return Some(effect);
        }
        let may_send = self.may_send(order);
        let skips_look_up = self.fault == Some(Fault::SkipLookUp);
        let looks_up_early = self.fault == Some(Fault::EarlyLookUp);
        let progress = self.progress.get_mut(&intent)?;
        if !may_send || progress.outcome.is_some() || now < progress.retry_at {
            return None;
        }
        let needs_look_up = matches!(order.body, OrderBody::Platform { .. }) && !skips_look_up;
        match progress.attempt {
            Attempt::Sent | Attempt::LookingUp => None,
            Attempt::Unanswered { latest_arrival } if needs_look_up => {
                (now >= latest_arrival || looks_up_early).then(|| {
                    progress.attempt = Attempt::LookingUp;
                    OrderEffect::LookUp {
                        intent,
                        reference: order_reference(intent),
                    }
                })
            }
            Attempt::Absent | Attempt::Unanswered { .. } => {
                progress.attempt = Attempt::Sent;
                Some(OrderEffect::Send(send_order(intent, order, authority)))
            }
        }
    }

    fn due_replacement(
        &mut self,
        intent: LogPosition,
        order: &OutstandingOrder,
        now: MonoTime,
    ) -> Option<OrderEffect> {
        let OrderBody::Engine { upstream, .. } = &order.body else {
            return None;
        };
        let progress = self.progress.get_mut(&intent)?;
        if progress.replace_requested || now < progress.replace_at {
            return None;
        }
        progress.replace_requested = true;
        Some(OrderEffect::Replace {
            intent,
            upstream: upstream.clone(),
        })
    }

    fn may_send(&self, order: &OutstandingOrder) -> bool {
        order.body.is_fenced()
            || order.sender.as_ref() == Some(&self.me)
            || self.fault == Some(Fault::IgnoreSender)
    }

    /// Handles an order of which nothing was written: its deadline had passed or no connection was
    /// established.
    pub fn on_not_sent(&mut self, intent: LogPosition, now: MonoTime) {
        let retry_at = now + self.timing.retry_delay;
        if let Some(progress) = self.progress.get_mut(&intent) {
            // An earlier write may still be unanswered, so a look-up after its latest arrival is needed
            // again.
            progress.attempt = Attempt::Unanswered {
                latest_arrival: progress.latest_arrival,
            };
            progress.retry_at = retry_at;
        }
    }

    /// Handles the receiver's answer.
    pub fn on_answer(&mut self, intent: LogPosition, answer: ReceiverAnswer, now: MonoTime) {
        let retry_at = now + self.timing.retry_delay;
        let Some(progress) = self.progress.get_mut(&intent) else {
            return;
        };
        let latest_arrival = progress.latest_arrival;
        progress.attempt = Attempt::Unanswered { latest_arrival };
        match answer {
            ReceiverAnswer::Done { upstream } => progress.outcome = Some(OrderOutcome::Done { upstream }),
            ReceiverAnswer::Refused => progress.outcome = Some(OrderOutcome::Refused),
            ReceiverAnswer::Fenced => progress.retry_at = retry_at,
        }
    }

    /// Handles a lost answer, or a connection that broke after the write may have started.
    pub fn on_answer_lost(&mut self, intent: LogPosition, now: MonoTime) {
        let latest_arrival = now + self.timing.order_lifetime;
        let retry_at = now + self.timing.retry_delay;
        let Some(progress) = self.progress.get_mut(&intent) else {
            return;
        };
        progress.attempt = Attempt::Unanswered { latest_arrival };
        progress.latest_arrival = latest_arrival;
        progress.retry_at = retry_at;
    }

    /// Handles the answer to a look-up; `None` if the look-up failed.
    pub fn on_look_up(&mut self, intent: LogPosition, answer: Option<LookUpAnswer>, now: MonoTime) {
        let retry_at = now + self.timing.retry_delay;
        let Some(progress) = self.progress.get_mut(&intent) else {
            return;
        };
        match answer {
            Some(LookUpAnswer::Found { upstream }) => {
                progress.outcome = Some(OrderOutcome::Done { upstream });
            }
            Some(LookUpAnswer::Absent) => progress.attempt = Attempt::Absent,
            None => {
                progress.attempt = Attempt::Unanswered {
                    latest_arrival: progress.latest_arrival,
                };
                progress.retry_at = retry_at;
            }
        }
    }

    /// Handles an engine that is gone from the platform's list.
    pub fn on_receiver_gone(&mut self, book: &OrderBook, upstream: &UpstreamId) {
        let receiver = OrderReceiver::Engine(upstream.clone());
        for (intent, _) in book.iter().filter(|(_, order)| order.body.receiver() == receiver) {
            if let Some(progress) = self.progress.get_mut(&intent) {
                progress.outcome = Some(OrderOutcome::ReceiverGone);
            }
        }
    }

    /// Whether a write of the process for the order may still be in flight.
    pub fn may_be_in_flight(&self, intent: LogPosition, now: MonoTime) -> bool {
        self.progress
            .get(&intent)
            .is_some_and(|progress| progress.attempt == Attempt::Sent || now < progress.latest_arrival)
    }
}

/// Reference of an order at its receiver.
pub fn order_reference(intent: LogPosition) -> String {
    format!("order-{intent}")
}

fn send_order(intent: LogPosition, order: &OutstandingOrder, authority: DutyAuthority) -> SendOrder {
    SendOrder {
        intent,
        reference: order_reference(intent),
        // The intent's position increases from order to order of one holder, the epoch from holder to holder.
        fence: Epoch(intent).max(authority.epoch),
        duty: order.duty.clone(),
        body: order.body.clone(),
        not_after: authority.until,
    }
}
