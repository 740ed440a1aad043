//! What goes into an admission decision and what comes out.

use std::time::Duration;

use crate::prelude::*;
use crate::routing::WorkClass;

/// Request that asks to be run.
#[derive(Clone, Copy, Debug)]
pub struct AdmissionAsk<'a> {
    /// The request.
    pub request: RequestId,
    /// Whose it is.
    pub customer: &'a CustomerId,
    /// Service wanted.
    pub service: &'a ServiceId,
    /// How soon it is needed.
    pub class: WorkClass,
    /// The customer's weight; its due is in proportion to it.
    pub weight: u32,
    /// Prompt tokens; for plain services 0.
    pub prompt_tokens: u64,
    /// Most output tokens.
    pub max_output_tokens: u64,
    /// When the whole answer must be there.
    pub deadline: MonoTime,
    /// The time.
    pub now: MonoTime,
}

/// What happens to a request.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum AdmissionVerdict {
    /// It runs now.
    Start,
    /// It waits; [`AdmissionControl::tick`](super::AdmissionControl::tick) tells how it goes on.
    Queued,
    /// It is not run.
    Refused {
        /// Why.
        code: ResultCode,
        /// Time after which a retry is worth it.
        retry_after: Duration,
    },
}

/// What has become of a request that waited.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum AdmissionEvent {
    /// It runs now.
    Start {
        /// The request.
        request: RequestId,
    },
    /// It is not run.
    Refuse {
        /// The request.
        request: RequestId,
        /// Why.
        code: ResultCode,
        /// Time after which a retry is worth it.
        retry_after: Duration,
    },
}

/// What a finished request took.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub struct FinishedWork {
    /// Prompt tokens read.
    pub prompt_tokens: u64,
    /// Output tokens made.
    pub output_tokens: u64,
}

/// Limits of a customer at a service, over all instances together.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub struct CustomerLimits {
    /// Most requests in flight; `None` sets no limit.
    pub in_flight: Option<u32>,
    /// Most weighted tokens a minute; `None` sets no limit.
    pub tokens_per_minute: Option<u64>,
    /// Most requests waiting at one instance; `None` takes the default.
    pub queued: Option<u32>,
}

/// Requests of one service at this instance.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub struct ServiceCounts {
    /// Requests in flight by class.
    pub in_flight: [u32; 3],
    /// Requests waiting by class.
    pub queued: [u32; 3],
    /// Requests in flight at peers, as last heard.
    pub peers_in_flight: u32,
    /// Slots of the whole fleet.
    pub slots: u32,
}

/// Parameters of admission.
#[derive(Clone, Debug)]
pub struct AdmissionParams {
    /// Weight of a prompt token in a customer's counter.
    pub prompt_weight: u64,
    /// Weight of an output token in a customer's counter.
    pub output_weight: u64,
    /// Requests that one service may have waiting here.
    pub queue_limit: usize,
    /// Requests that one customer may have waiting here, by default.
    pub customer_queue_limit: u32,
    /// Time for one prompt token until it was measured.
    pub prompt_token_time: Duration,
    /// Time for one output token until it was measured.
    pub output_token_time: Duration,
    /// Weighted tokens within which two customers are level and the deadline decides, for long work.
    pub level_window: u64,
    /// Time in which half of a peak of demand is forgotten.
    pub peak_half_life: Duration,
    /// Shortest retry time given with a refusal.
    pub shortest_retry: Duration,
    /// Longest retry time given with a refusal.
    pub longest_retry: Duration,
    /// Time after which a silent peer's counters no longer count.
    pub peer_lifetime: Duration,
    /// Time after which an idle customer is forgotten.
    pub customer_lifetime: Duration,
}

impl Default for AdmissionParams {
    fn default() -> Self {
        Self {
            prompt_weight: 1,
            output_weight: 4,
            queue_limit: 10_000,
            customer_queue_limit: 1_000,
            prompt_token_time: Duration::from_micros(125),
            output_token_time: Duration::from_millis(25),
            level_window: 50_000,
            peak_half_life: Duration::from_secs(30),
            shortest_retry: Duration::from_secs(1),
            longest_retry: Duration::from_secs(60),
            peer_lifetime: Duration::from_secs(5),
            customer_lifetime: Duration::from_secs(600),
        }
    }
}
