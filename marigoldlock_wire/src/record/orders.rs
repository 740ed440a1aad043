//! Records of orders.

use serde::{Deserialize, Serialize};

use super::authority::Duty;
use crate::engine::EngineAction;
use crate::platform::OrderAction;
use crate::prelude::*;

/// Receiver of an order. It has at most one outstanding order.
#[derive(Clone, Debug, Deserialize, Eq, Hash, Ord, PartialEq, PartialOrd, Serialize)]
pub enum OrderReceiver {
    /// An engine.
    Engine(UpstreamId),
    /// The platform's ordering interface, for the data centre of the duty.
    Platform,
}

/// Receiver and action of an order.
#[derive(Clone, Debug, Deserialize, Eq, Hash, PartialEq, Serialize)]
pub enum OrderBody {
    /// Order to an engine.
    Engine {
        /// The engine.
        upstream: UpstreamId,
        /// Whether the engine refuses old fencing numbers, according to the settings of its service.
        checks_fence: bool,
        /// Requested action.
        action: EngineAction,
    },
    /// Order to the platform for an upstream.
    Platform {
        /// Service of the upstream.
        service: ServiceId,
        /// Requested action.
        action: OrderAction,
    },
}

impl OrderBody {
    /// Receiver of the order.
    pub fn receiver(&self) -> OrderReceiver {
        match self {
            Self::Engine { upstream, .. } => OrderReceiver::Engine(upstream.clone()),
            Self::Platform { .. } => OrderReceiver::Platform,
        }
    }

    /// Whether the receiver itself refuses old fencing numbers.
    pub fn is_fenced(&self) -> bool {
        matches!(
            self,
            Self::Engine {
                checks_fence: true,
                ..
            }
        )
    }
}

/// How an order ended.
#[derive(Clone, Debug, Deserialize, Eq, Hash, PartialEq, Serialize)]
pub enum OrderOutcome {
    /// The receiver carried it out. For platform orders it names the upstream, if there was capacity.
    Done {
        /// Upstream started or withdrawn.
        upstream: Option<UpstreamId>,
    },
    /// The receiver refused it and will not carry it out.
    Refused,
    /// The receiver is gone.
    ReceiverGone,
}

/// Record of an order.
#[derive(Clone, Debug, Deserialize, Eq, Hash, PartialEq, Serialize)]
pub enum OrderRecord {
    /// The order is about to be sent; void if the epoch is old or the receiver has an outstanding order.
    Intent {
        /// Duty under which the order is given.
        duty: Duty,
        /// Epoch of the writer.
        epoch: Epoch,
        /// Receiver and action.
        body: OrderBody,
    },
    /// The order has ended. No copy of it can still arrive and take effect.
    Settled {
        /// Position of the intent.
        intent: LogPosition,
        /// Epoch of the writer.
        epoch: Epoch,
        /// How it ended.
        outcome: OrderOutcome,
    },
}
