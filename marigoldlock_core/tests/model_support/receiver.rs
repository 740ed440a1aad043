//! Receivers of orders and reports, with the properties that they check.

use std::collections::BTreeMap;

use marigoldlock_core::prelude::*;
use marigoldlock_wire::platform::UsageFigure;

/// Kind of receiver that orders are sent to.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum ReceiverKind {
    /// Engine that refuses old fencing numbers.
    FencedEngine,
    /// Engine that accepts any fencing number.
    UnfencedEngine,
    /// The platform's ordering interface.
    Platform,
}

/// An order or a report in flight.
#[derive(Clone, Debug, Eq, Hash, Ord, PartialEq, PartialOrd)]
pub struct Message {
    /// Process that sent it.
    pub sender: usize,
    /// Incarnation of that process.
    pub incarnation: Incarnation,
    /// The sender's claim, numbered by its position in the log.
    pub claim: u64,
    /// Content.
    pub body: MessageBody,
    /// Whether it can still arrive; its lifetime ends with the time step.
    pub is_in_flight: bool,
    /// Whether the sender still waits for the answer.
    pub is_awaited: bool,
}

/// Content of a message.
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
    /// Orders that took effect, and how often each did, up to 2.
    pub applied: BTreeMap<LogPosition, u8>,
    reports: BTreeMap<u64, (UsageFigure, u64)>,
}

/// Answer of a receiver.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Reply {
    /// The receiver accepted the message.
    Done,
    /// The receiver has seen a newer fencing number.
    Fenced,
}

impl Receiver {
    /// Receives a message; fails with the property that the message violates.
    pub fn receive(&mut self, kind: ReceiverKind, message: &Message) -> Result<Reply, &'static str> {
        match &message.body {
            MessageBody::Order { intent, fence } => self.receive_order(kind, message.claim, *intent, *fence),
            MessageBody::Report { window, figure } => {
                self.receive_report(message.claim, *window, *figure)?;
                Ok(Reply::Done)
            }
        }
    }

    fn receive_order(
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

    fn receive_report(&mut self, claim: u64, window: u64, figure: UsageFigure) -> Result<(), &'static str> {
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

    /// Total requests in all reported windows.
    pub fn reported_requests(&self) -> u64 {
        self.reports.values().map(|(figure, _)| figure.requests).sum()
    }
}
