//! Inputs and results of admission decisions.

use std::time::Duration;

use crate::prelude::*;
use crate::routing::WorkClass;

/// A request to be admitted.
#[derive(Clone, Copy, Debug)]
pub struct AdmissionRequest<'a> {
    /// Request id.
    pub id: RequestId,
    /// Customer that sent the request.
    pub customer: &'a CustomerId,
    /// Requested service.
    pub service: &'a ServiceId,
    /// Urgency of the request.
    pub class: WorkClass,
    /// Weight of the customer; its fair share is proportional to it.
    pub weight: u32,
    /// Length of the prompt, in tokens; 0 for plain services.
    pub prompt_tokens: u64,
    /// Maximum length of the output, in tokens.
    pub max_output_tokens: u64,
    /// Time by which the complete answer is needed.
    pub deadline: MonoTime,
    /// Current time.
    pub now: MonoTime,
}

/// Result of submitting a request.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum AdmissionDecision {
    /// The request starts now.
    Start,
    /// The request waits; a later [`AdmissionEvent`] starts or refuses it.
    Queued,
    /// The request is refused without running.
    Refused {
        /// Result code for the caller.
        code: ResultCode,
        /// Time after which a retry is worthwhile.
        retry_after: Duration,
    },
}

/// End of a request's wait in the queue.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum AdmissionEvent {
    /// The request starts now.
    Start {
        /// Request id.
        request: RequestId,
    },
    /// The request is refused without running.
    Refuse {
        /// Request id.
        request: RequestId,
        /// Result code for the caller.
        code: ResultCode,
        /// Time after which a retry is worthwhile.
        retry_after: Duration,
    },
}

/// Tokens that a finished request used.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub struct FinishedWork {
    /// Prompt tokens processed.
    pub prompt_tokens: u64,
    /// Output tokens generated.
    pub output_tokens: u64,
}

/// Limits of a customer at a service.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub struct CustomerLimits {
    /// Maximum number of requests in flight on all instances; `None` for no limit.
    pub in_flight: Option<u32>,
    /// Maximum number of weighted tokens per minute on all instances; `None` for no limit.
    pub tokens_per_minute: Option<u64>,
    /// Maximum number of requests waiting at one instance; `None` for the default.
    pub queued: Option<u32>,
}

/// Request counts of one service, as this instance knows them.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub struct ServiceCounts {
    /// Requests in flight at this instance, by class.
    pub in_flight: [u32; 3],
    /// Requests waiting at this instance, by class.
    pub queued: [u32; 3],
    /// Requests in flight at peers, as last reported.
    pub peers_in_flight: u32,
    /// Slots of all upstreams of the service.
    pub slots: u32,
}

/// Parameters of admission.
#[derive(Clone, Debug)]
pub struct AdmissionParams {
    /// Weight of a prompt token in weighted tokens.
    pub prompt_weight: u64,
    /// Weight of an output token in weighted tokens.
    pub output_weight: u64,
    /// Maximum number of requests of one service waiting at this instance.
    pub queue_limit: usize,
    /// Default maximum number of requests of one customer waiting at this instance.
    pub customer_queue_limit: u32,
    /// Estimated time per prompt token; scaled by measured service times once there are any.
    pub prompt_token_time: Duration,
    /// Estimated time per output token; scaled by measured service times once there are any.
    pub output_token_time: Duration,
    /// Difference in weighted tokens within which customers tie; among them the earliest deadline of long
    /// work goes first.
    pub tie_window: u64,
    /// Half-life of the peak demand.
    pub peak_half_life: Duration,
    /// Minimum retry time returned with a refusal.
    pub min_retry_after: Duration,
    /// Maximum retry time returned with a refusal.
    pub max_retry_after: Duration,
    /// Time after which the counters of a silent peer expire.
    pub peer_counters_ttl: Duration,
    /// Time after which an idle customer is removed.
    pub customer_ttl: Duration,
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
            tie_window: 50_000,
            peak_half_life: Duration::from_secs(30),
            min_retry_after: Duration::from_secs(1),
            max_retry_after: Duration::from_secs(60),
            peer_counters_ttl: Duration::from_secs(5),
            customer_ttl: Duration::from_secs(600),
        }
    }
}
