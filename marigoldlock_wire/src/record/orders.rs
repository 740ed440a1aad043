//! Records of the orders duty.

use serde::{Deserialize, Serialize};

use super::authority::Duty;
use crate::engine::EngineAction;
use crate::platform::OrderAction;
use crate::prelude::*;

/// Who receives an order. A receiver has one outstanding order at a time.
#[derive(Clone, Debug, Deserialize, Eq, Hash, Ord, PartialEq, PartialOrd, Serialize)]
pub enum OrderReceiver {
    /// An engine.
    Engine(UpstreamId),
    /// The platform's ordering interface, for the data centre of the duty.
    Platform,
}

/// What is ordered.
#[derive(Clone, Debug, Deserialize, Eq, Hash, PartialEq, Serialize)]
pub enum OrderBody {
    /// Order to an engine.
    Engine {
        /// The engine.
        upstream: UpstreamId,
        /// Whether the engine refuses old fencing numbers, as its service's settings say.
        checks_fence: bool,
        /// What is asked for.
        action: EngineAction,
    },
    /// Order for an upstream.
    Platform {
        /// Service of the upstream.
        service: ServiceId,
        /// What is asked for.
        action: OrderAction,
    },
}

impl OrderBody {
    /// Who receives the order.
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
    /// The receiver carried it out; platform orders name the upstream, if there was capacity.
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
    /// The order will be sent; void if the epoch is old or the receiver has an outstanding order.
    Intent {
        /// Duty that gives the order.
        duty: Duty,
        /// Epoch of the writer.
        epoch: Epoch,
        /// What is ordered.
        body: OrderBody,
    },
    /// The order has ended, and no copy of it can still arrive and take effect.
    Settled {
        /// Position of the intent.
        intent: LogPosition,
        /// Epoch of the writer.
        epoch: Epoch,
        /// How it ended.
        outcome: OrderOutcome,
    },
}
