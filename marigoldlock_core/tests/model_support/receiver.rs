//! The receivers of orders and reports, with the properties that they watch.

use std::collections::BTreeMap;

use marigoldlock_core::prelude::*;
use marigoldlock_wire::platform::UsageFigure;

/// What kind of receiver takes the orders.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum ReceiverKind {
    /// Engine that refuses old fencing numbers.
    FencedEngine,
    /// Engine that takes any order.
    UnfencedEngine,
    /// The platform's ordering interface.
    Platform,
}

/// An order or a report under way.
#[derive(Clone, Debug, Eq, Hash, Ord, PartialEq, PartialOrd)]
pub struct Message {
    /// Process that sent it.
    pub sender: usize,
    /// Incarnation of that process.
    pub incarnation: Incarnation,
    /// The sender's claim, numbered by its place in the log.
    pub claim: u64,
    /// What it carries.
    pub body: MessageBody,
    /// Whether it can still arrive; its lifetime is over when time goes on.
    pub is_alive: bool,
    /// Whether the sender still waits for the answer.
    pub is_awaited: bool,
}

/// What a message carries.
#[derive(Clone, Debug, Eq, Hash, Ord, PartialEq, PartialOrd)]
pub enum MessageBody {
    /// An order.
    Order {
        /// Position of the intent.
        intent: LogPosition,
        /// Fencing number.
        fence: Epoch,
    },
    /// A usage report.
    Report {
        /// The window.
        window: u64,
        /// The figure.
        figure: UsageFigure,
    },
}

/// State of the receivers.
#[derive(Clone, Debug, Default, Eq, Hash, PartialEq)]
pub struct Receiver {
    highest_fence: Epoch,
    highest_claim: u64,
    newest_intent: LogPosition,
    /// Orders that took effect, with how often.
    pub applied: BTreeMap<LogPosition, u8>,
    reports: BTreeMap<u64, (UsageFigure, u64)>,
}

/// What the receiver answers.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Reply {
    /// It took the message.
    Done,
    /// It has seen a newer fencing number.
    Fenced,
}

impl Receiver {
    /// Takes a message; fails with the property that it breaks.
    pub fn take(&mut self, kind: ReceiverKind, message: &Message) -> Result<Reply, &'static str> {
        match &message.body {
            MessageBody::Order { intent, fence } => self.take_order(kind, message.claim, *intent, *fence),
            MessageBody::Report { window, figure } => {
                self.take_report(message.claim, *window, *figure)?;
                Ok(Reply::Done)
            }
        }
    }

    fn take_order(
        &mut self,
        kind: ReceiverKind,
        claim: u64,
        intent: LogPosition,
        fence: Epoch,
    ) -> Result<Reply, &'static str> {
        if kind == ReceiverKind::FencedEngine {
            if fence < self.highest_fence {
                return Ok(Reply::Fenced);
            }
            self.highest_fence = fence;
        }
        if claim < self.highest_claim {
            return Err("an order of a former holder arrived after one of its successor");
        }
        self.highest_claim = claim;
        if intent < self.newest_intent {
            return Err("an older order took effect after a newer one");
        }
        self.newest_intent = intent;
        let count = self.applied.entry(intent).or_default();
        *count = 2.min(*count + 1);
        if kind == ReceiverKind::Platform && *count > 1 {
            return Err("the platform was ordered twice");
        }
        Ok(Reply::Done)
    }

    fn take_report(&mut self, claim: u64, window: u64, figure: UsageFigure) -> Result<(), &'static str> {
        let (first, newest) = self.reports.entry(window).or_insert((figure, claim));
        if *first != figure {
            return Err("a window was reported with different figures");
        }
        if claim < *newest {
            return Err("a former holder reported a window after its successor");
        }
        *newest = claim;
        Ok(())
    }

    /// Requests in all windows reported.
    pub fn reported_requests(&self) -> u64 {
        self.reports.values().map(|(figure, _)| figure.requests).sum()
    }
}
