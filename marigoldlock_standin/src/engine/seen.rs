//! Records of the requests and orders that an engine received.

use std::collections::{BTreeMap, VecDeque};

use marigoldlock_wire::engine::EngineOrder;
use marigoldlock_wire::ids::ModelId;
use serde::{Deserialize, Serialize};

use crate::fence::{FenceChecker, FenceFinding};

/// Number of requests kept for checks; older ones are only counted.
const MAX_REQUESTS: usize = 100_000;

/// Outcome of a request.
#[derive(Clone, Copy, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum RequestOutcome {
    /// Waiting or running.
    #[default]
    Open,
    /// Answered completely.
    Finished,
    /// Its caller closed the connection.
    Cancelled,
    /// Cut by a change of role or version, or by a restart.
    Cut,
    /// Refused before it was queued.
    Refused,
}

/// Request that an engine received.
#[derive(Clone, Debug, Default, Deserialize, PartialEq, Serialize)]
pub struct SeenRequest {
    /// Index of the request, from 0.
    pub index: u64,
    /// Headers sorted by name; a repeated header keeps all values.
    pub headers: BTreeMap<String, Vec<String>>,
    /// Requested model.
    pub model: Option<ModelId>,
    /// Priority; 0 is served first.
    pub priority: u8,
    /// Prompt tokens.
    pub prompt_tokens: u64,
    /// Requested output tokens, including those of an earlier part.
    pub output_tokens: u64,
    /// Tokens that the caller already had.
    pub resumed_tokens: u64,
    /// True if the text of the resume point differs from what the engine would have generated.
    pub resume_differs: bool,
    /// Outcome so far.
    pub outcome: RequestOutcome,
}

/// Order that an engine received.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct SeenOrder {
    /// Time of arrival, in milliseconds since the Unix epoch.
    pub time_ms: u64,
    /// The order.
    pub order: EngineOrder,
    /// True if it was refused because of its fencing number.
    pub refused: bool,
    /// Check of its fencing number against earlier orders.
    #[serde(flatten)]
    pub finding: FenceFinding,
}

/// Requests and orders that an engine received so far.
#[derive(Clone, Debug, Default, Deserialize, PartialEq, Serialize)]
pub struct EngineSeen {
    /// Total number of requests.
    pub requests: u64,
    /// Number of requests cut by a change or a restart.
    pub cut: u64,
    /// Number of requests whose caller closed the connection.
    pub cancelled: u64,
    /// The newest requests, in the order of arrival.
    pub recent: Vec<SeenRequest>,
    /// Every order, in the order of arrival.
    pub orders: Vec<SeenOrder>,
}

/// Records the requests and orders of an engine.
#[derive(Debug, Default)]
pub(super) struct SeenLog {
    requests: u64,
    cut: u64,
    cancelled: u64,
    recent: VecDeque<SeenRequest>,
    orders: Vec<SeenOrder>,
    fence: FenceChecker<()>,
}

impl SeenLog {
    /// Adds a request and returns its index.
    pub(super) fn add_request(&mut self, mut request: SeenRequest) -> u64 {
        let index = self.requests;
        request.index = index;
        self.requests += 1;
        self.recent.push_back(request);
        if self.recent.len() > MAX_REQUESTS {
            self.recent.pop_front();
        }
        index
    }

    /// Sets the outcome of a request.
    pub(super) fn end_request(&mut self, index: u64, outcome: RequestOutcome) {
        match outcome {
            RequestOutcome::Cut => self.cut += 1,
            RequestOutcome::Cancelled => self.cancelled += 1,
            RequestOutcome::Open | RequestOutcome::Finished | RequestOutcome::Refused => {}
        }
        let oldest = self.requests - self.recent.len() as u64;
        let Some(position) = index.checked_sub(oldest) else {
            return;
        };
        if let Some(request) = self.recent.get_mut(position as usize) {
            request.outcome = outcome;
        }
    }

    /// Adds an order; returns true if it may be executed.
    pub(super) fn add_order(&mut self, order: EngineOrder, check_fence: bool, time_ms: u64) -> bool {
        let finding = self.fence.check((), order.epoch, &order.orderer);
        let refused = check_fence && finding.stale;
        self.orders.push(SeenOrder {
            time_ms,
            order,
            refused,
            finding,
        });
        !refused
    }

    /// Snapshot of all records.
    pub(super) fn seen(&self) -> EngineSeen {
        EngineSeen {
            requests: self.requests,
            cut: self.cut,
            cancelled: self.cancelled,
            recent: self.recent.iter().cloned().collect(),
            orders: self.orders.clone(),
        }
    }
}
