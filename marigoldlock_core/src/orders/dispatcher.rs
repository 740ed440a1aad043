//! What one process sends, looks up and appends for its orders.

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
    /// Longest time from the write of an order to its arrival.
    pub order_lifetime: Duration,
    /// Wait before a failed send or look-up is repeated.
    pub retry_after: Duration,
    /// How long an order may stay outstanding at an engine before the engine is to be replaced.
    pub replace_after: Duration,
}

impl Default for OrderTiming {
    fn default() -> Self {
        Self {
            order_lifetime: ORDER_LIFETIME,
            retry_after: Duration::from_millis(500),
            replace_after: Duration::from_secs(180),
        }
    }
}

/// Which duties the process may act under now.
pub trait AuthorityView {
    /// Leave to act under the duty.
    fn authority(&self, duty: &Duty) -> Option<DutyAuthority>;
}

impl<F: Fn(&Duty) -> Option<DutyAuthority>> AuthorityView for F {
    fn authority(&self, duty: &Duty) -> Option<DutyAuthority> {
        self(duty)
    }
}

/// An order to put on the wire.
#[derive(Clone, Debug, Eq, Hash, PartialEq)]
pub struct SendOrder {
    /// Position of the intent.
    pub intent: LogPosition,
    /// Reference at the receiver, the same for each repeat.
    pub reference: String,
    /// Fencing number.
    pub fence: Epoch,
    /// Duty that gives the order.
    pub duty: Duty,
    /// What is ordered.
    pub body: OrderBody,
    /// The write happens before this moment or not at all; check and write are one step.
    pub not_after: MonoTime,
}

/// What the process has to do.
#[derive(Clone, Debug, Eq, Hash, PartialEq)]
pub enum OrderEffect {
    /// Send an order.
    Send(SendOrder),
    /// Ask the platform for the order with a reference.
    LookUp {
        /// Position of the intent.
        intent: LogPosition,
        /// Reference at the platform.
        reference: String,
    },
    /// The engine can't be given another order safely: drain and replace it.
    Replace {
        /// Position of the intent that can't be settled.
        intent: LogPosition,
        /// The engine.
        upstream: UpstreamId,
    },
}

/// Answer of a receiver to an order.
#[derive(Clone, Debug, Eq, Hash, PartialEq)]
pub enum EngineAnswer {
    /// It carried the order out.
    Done {
        /// Upstream that a platform order started or withdrew.
        upstream: Option<UpstreamId>,
    },
    /// It will not carry the order out.
    Refused,
    /// It has seen a newer fencing number.
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
    /// Handed to the sender; its answer is awaited.
    Sent,
    /// No answer; the write may still arrive before the moment.
    Lost { quiet_at: MonoTime },
    /// A look-up is on the way.
    LookingUp,
    /// A conclusive look-up found nothing, or nothing was ever written.
    Absent,
}

#[derive(Clone, Debug, Eq, Hash, PartialEq)]
struct OrderProgress {
    attempt: Attempt,
    /// No earlier unanswered write of this process arrives after this moment.
    quiet_at: MonoTime,
    retry_at: MonoTime,
    outcome: Option<OrderOutcome>,
    replace_at: MonoTime,
    is_sender: bool,
    is_replaced: bool,
}

/// The part of one process in its duties' orders.
#[derive(Clone, Debug, Eq, Hash, PartialEq)]
pub struct OrderDispatcher {
    me: HolderId,
    timing: OrderTiming,
    wishes: Vec<(Duty, OrderBody)>,
    progress: BTreeMap<LogPosition, OrderProgress>,
    fault: Option<Fault>,
}

impl OrderDispatcher {
    /// A dispatcher without orders.
    pub fn new(me: HolderId, timing: OrderTiming) -> Self {
        Self {
            me,
            timing,
            wishes: Vec::new(),
            progress: BTreeMap::new(),
            fault: None,
        }
    }

    /// Leaves a rule out, for the model check.
    pub fn with_fault(self, fault: Option<Fault>) -> Self {
        Self { fault, ..self }
    }

    /// Asks for an order; a second wish for a receiver replaces one that is not yet an intent.
    pub fn wish(&mut self, duty: Duty, body: OrderBody) {
        let receiver = body.receiver();
        self.wishes
            .retain(|(other, old)| *other != duty || old.receiver() != receiver);
        self.wishes.push((duty, body));
    }

    /// Wishes that are not intents yet.
    pub fn wishes(&self) -> usize {
        self.wishes.len()
    }

    /// Takes note of the book after an append was folded.
    pub fn observe(&mut self, book: &OrderBook, now: MonoTime) {
        self.progress.retain(|intent, _| book.get(*intent).is_some());
        for (intent, order) in book.iter() {
            if self.progress.contains_key(&intent) {
                continue;
            }
            self.progress.insert(intent, self.first_progress(order, now));
            if order.issuer == self.me {
                self.wishes
                    .retain(|(duty, body)| *duty != order.duty || *body != order.body);
            }
        }
        self.follow_senders(book, now);
    }

    fn first_progress(&self, order: &OutstandingOrder, now: MonoTime) -> OrderProgress {
        // Only the issuer knows that nothing was written yet.
        let is_issuer = order.issuer == self.me;
        OrderProgress {
            attempt: if is_issuer {
                Attempt::Absent
            } else {
                Attempt::Lost {
                    quiet_at: MonoTime::ZERO,
                }
            },
            quiet_at: MonoTime::ZERO,
            retry_at: MonoTime::ZERO,
            outcome: None,
            replace_at: now + self.timing.replace_after,
            is_sender: is_issuer,
            is_replaced: false,
        }
    }

    /// Counts the lifetime of a predecessor's last write from the moment when it is known to have stopped.
    fn follow_senders(&mut self, book: &OrderBook, now: MonoTime) {
        let quiet_at = now + self.timing.order_lifetime;
        for (intent, order) in book.iter() {
            let Some(progress) = self.progress.get_mut(&intent) else {
                continue;
            };
            let is_sender = order.sender.as_ref() == Some(&self.me);
            let is_adopted = is_sender && !progress.is_sender && !order.body.is_fenced();
            if is_adopted && self.fault != Some(Fault::AdoptEarly) {
                progress.attempt = Attempt::Lost { quiet_at };
                progress.quiet_at = quiet_at;
                progress.retry_at = quiet_at;
            }
            progress.is_sender = is_sender;
        }
    }

    /// Records to append now, in the same append as the other duties' ones.
    pub fn due_records(
        &self,
        book: &OrderBook,
        view: &impl AuthorityView,
        now: MonoTime,
    ) -> Vec<OrderRecord> {
        let mut records: Vec<_> = self.due_settlements(book, view, now).collect();
        let mut taken: Vec<(&Duty, OrderReceiver)> = Vec::new();
        for (duty, body) in &self.wishes {
            let receiver = body.receiver();
            let is_free =
                book.outstanding(duty, &receiver).is_none() && !taken.contains(&(duty, receiver.clone()));
            let Some(authority) = view.authority(duty).filter(|_| is_free) else {
                continue;
            };
            taken.push((duty, receiver));
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
            let is_quiet =
                order.body.is_fenced() || now >= progress.quiet_at || self.fault == Some(Fault::SettleEarly);
            let is_final = outcome == OrderOutcome::ReceiverGone || (self.may_send(order) && is_quiet);
            is_final.then_some(OrderRecord::Settled {
                intent,
                epoch: authority.epoch,
                outcome,
            })
        })
    }

    /// Sends and look-ups that are due. The caller reports what became of each.
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
            Attempt::Lost { quiet_at } if needs_look_up => (now >= quiet_at || looks_up_early).then(|| {
                progress.attempt = Attempt::LookingUp;
                OrderEffect::LookUp {
                    intent,
                    reference: reference_of(intent),
                }
            }),
            Attempt::Absent | Attempt::Lost { .. } => {
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
        if progress.is_replaced || now < progress.replace_at {
            return None;
        }
        progress.is_replaced = true;
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

    /// Nothing was written: the last moment had passed or no connection came about.
    pub fn not_sent(&mut self, intent: LogPosition, now: MonoTime) {
        let retry_at = now + self.timing.retry_after;
        if let Some(progress) = self.progress.get_mut(&intent) {
            // An earlier write may still be unanswered, so a conclusive look-up is due again.
            progress.attempt = Attempt::Lost {
                quiet_at: progress.quiet_at,
            };
            progress.retry_at = retry_at;
        }
    }

    /// The receiver answered.
    pub fn answered(&mut self, intent: LogPosition, answer: EngineAnswer, now: MonoTime) {
        let retry_at = now + self.timing.retry_after;
        let Some(progress) = self.progress.get_mut(&intent) else {
            return;
        };
        let quiet_at = progress.quiet_at;
        progress.attempt = Attempt::Lost { quiet_at };
        match answer {
            EngineAnswer::Done { upstream } => progress.outcome = Some(OrderOutcome::Done { upstream }),
            EngineAnswer::Refused => progress.outcome = Some(OrderOutcome::Refused),
            EngineAnswer::Fenced => progress.retry_at = retry_at,
        }
    }

    /// The answer was lost, or the connection broke after the write may have begun.
    pub fn answer_lost(&mut self, intent: LogPosition, now: MonoTime) {
        let quiet_at = now + self.timing.order_lifetime;
        let retry_at = now + self.timing.retry_after;
        let Some(progress) = self.progress.get_mut(&intent) else {
            return;
        };
        progress.attempt = Attempt::Lost { quiet_at };
        progress.quiet_at = quiet_at;
        progress.retry_at = retry_at;
    }

    /// A look-up was answered, or failed with `None`.
    pub fn looked_up(&mut self, intent: LogPosition, answer: Option<LookUpAnswer>, now: MonoTime) {
        let retry_at = now + self.timing.retry_after;
        let Some(progress) = self.progress.get_mut(&intent) else {
            return;
        };
        match answer {
            Some(LookUpAnswer::Found { upstream }) => {
                progress.outcome = Some(OrderOutcome::Done { upstream });
            }
            Some(LookUpAnswer::Absent) => progress.attempt = Attempt::Absent,
            None => {
                progress.attempt = Attempt::Lost {
                    quiet_at: progress.quiet_at,
                };
                progress.retry_at = retry_at;
            }
        }
    }

    /// The receiver of an engine order is gone from the platform's list.
    pub fn receiver_gone(&mut self, book: &OrderBook, upstream: &UpstreamId) {
        let receiver = OrderReceiver::Engine(upstream.clone());
        for (intent, _) in book.iter().filter(|(_, order)| order.body.receiver() == receiver) {
            if let Some(progress) = self.progress.get_mut(&intent) {
                progress.outcome = Some(OrderOutcome::ReceiverGone);
            }
        }
    }

    /// Whether a write of the process for the order may still be under way.
    pub fn may_be_sending(&self, intent: LogPosition, now: MonoTime) -> bool {
        self.progress
            .get(&intent)
            .is_some_and(|progress| progress.attempt == Attempt::Sent || now < progress.quiet_at)
    }
}

/// Reference of an order at its receiver.
pub fn reference_of(intent: LogPosition) -> String {
    format!("order-{intent}")
}

fn send_order(intent: LogPosition, order: &OutstandingOrder, authority: DutyAuthority) -> SendOrder {
    SendOrder {
        intent,
        reference: reference_of(intent),
        // The intent's position orders the sends of one holder, the epoch those of successive holders.
        fence: Epoch(intent).max(authority.epoch),
        duty: order.duty.clone(),
        body: order.body.clone(),
        not_after: authority.until,
    }
}
