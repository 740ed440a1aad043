//! What an engine saw: its requests and its orders.

use std::collections::{BTreeMap, VecDeque};

use marigoldlock_wire::engine::EngineOrder;
use marigoldlock_wire::ids::ModelId;
use serde::{Deserialize, Serialize};

use crate::fence::{FenceFinding, FenceWatch};

/// Requests that are kept for checks; older ones are only counted.
const REQUESTS_KEPT: usize = 100_000;

/// What became of a request.
#[derive(Clone, Copy, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum RequestOutcome {
    /// Waiting or running.
    #[default]
    Open,
    /// Answered to the end.
    Finished,
    /// Its caller closed the connection.
    Cancelled,
    /// Cut by a change of role or version, or by a restart.
    Cut,
    /// Turned away before it was queued.
    Refused,
}

/// Request that an engine got.
#[derive(Clone, Debug, Default, Deserialize, PartialEq, Serialize)]
pub struct SeenRequest {
    /// Number of the request, from 0.
    pub index: u64,
    /// Headers in the order of their names; a repeated one keeps all values.
    pub headers: BTreeMap<String, Vec<String>>,
    /// Model wanted.
    pub model: Option<ModelId>,
    /// Priority; 0 is served first.
    pub priority: u8,
    /// Prompt tokens.
    pub prompt_tokens: u64,
    /// Output tokens wanted, with those of an earlier part.
    pub output_tokens: u64,
    /// Tokens that the caller had already.
    pub resumed_tokens: u64,
    /// True if the text of a resume point isn't what the engine would have given.
    pub resume_differs: bool,
    /// What became of it.
    pub outcome: RequestOutcome,
}

/// Order that an engine got.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct SeenOrder {
    /// When it came, in milliseconds since the Unix epoch.
    pub time_ms: u64,
    /// The order.
    pub order: EngineOrder,
    /// True if it was refused for its fencing number.
    pub refused: bool,
    /// What its fencing number says.
    #[serde(flatten)]
    pub finding: FenceFinding,
}

/// What an engine saw so far.
#[derive(Clone, Debug, Default, Deserialize, PartialEq, Serialize)]
pub struct EngineSeen {
    /// Requests in all.
    pub requests: u64,
    /// Requests that were cut by a change or a restart.
    pub cut: u64,
    /// Requests whose caller left.
    pub cancelled: u64,
    /// The newest requests, in order.
    pub recent: Vec<SeenRequest>,
    /// Every order, in order.
    pub orders: Vec<SeenOrder>,
}

/// Keeps what an engine saw.
#[derive(Debug, Default)]
pub(super) struct SeenLog {
    requests: u64,
    cut: u64,
    cancelled: u64,
    recent: VecDeque<SeenRequest>,
    orders: Vec<SeenOrder>,
    fence: FenceWatch<()>,
}

impl SeenLog {
    /// Adds a request and gives its number.
    pub(super) fn add_request(&mut self, mut request: SeenRequest) -> u64 {
        let index = self.requests;
        request.index = index;
        self.requests += 1;
        self.recent.push_back(request);
        if self.recent.len() > REQUESTS_KEPT {
            self.recent.pop_front();
        }
        index
    }

    /// Notes what became of a request.
    pub(super) fn end_request(&mut self, index: u64, outcome: RequestOutcome) {
        match outcome {
            RequestOutcome::Cut => self.cut += 1,
            RequestOutcome::Cancelled => self.cancelled += 1,
            RequestOutcome::Open | RequestOutcome::Finished | RequestOutcome::Refused => {}
        }
        let oldest = self.requests - self.recent.len() as u64;
        let Some(place) = index.checked_sub(oldest) else {
            return;
        };
        if let Some(request) = self.recent.get_mut(place as usize) {
            request.outcome = outcome;
        }
    }

    /// Adds an order; true if it may be carried out.
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

    /// Everything so far.
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
