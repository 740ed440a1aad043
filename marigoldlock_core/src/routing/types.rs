//! Inputs and results of routing decisions.

use std::time::Duration;

use derive_more::Display;
use marigoldlock_wire::platform::CapacityKind;
use serde::{Deserialize, Serialize};
use thiserror::Error;

use crate::prelude::*;

/// Urgency of a request.
#[derive(
    Clone, Copy, Debug, Default, Deserialize, Display, Eq, Hash, Ord, PartialEq, PartialOrd, Serialize,
)]
#[serde(rename_all = "snake_case")]
pub enum WorkClass {
    /// A user is waiting for the answer.
    #[display("interactive")]
    Interactive,
    /// Ordinary requests.
    #[default]
    #[display("standard")]
    Standard,
    /// Batch work that may be delayed up to its deadline.
    #[display("long")]
    Long,
}

impl WorkClass {
    /// All classes, most urgent first.
    pub const ALL: [Self; 3] = [Self::Interactive, Self::Standard, Self::Long];

    /// Index in [`Self::ALL`].
    pub const fn index(self) -> usize {
        self as usize
    }
}

/// Largest prompt, in tokens, of a standard request that is given priority over larger ones.
const MAX_SHORT_PROMPT_TOKENS: u64 = 1_024;

/// Priority of a request at an engine; 0 is the highest.
///
/// Short standard prompts go before long ones: they delay a long prompt only a little, but would wait long
/// behind it.
pub const fn engine_priority(class: WorkClass, prompt_tokens: u64) -> u8 {
    match class {
        WorkClass::Interactive => 0,
        WorkClass::Standard if prompt_tokens <= MAX_SHORT_PROMPT_TOKENS => 1,
        WorkClass::Standard => 2,
        WorkClass::Long => 3,
    }
}

/// Kind of an upstream.
#[derive(Clone, Copy, Debug, Default, Deserialize, Eq, Hash, PartialEq, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum UpstreamKind {
    /// A model engine.
    #[default]
    Engine,
    /// A plain service.
    Service,
}

/// Static data of an upstream, from the platform's list and its load reports.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct UpstreamInfo {
    /// Name of the upstream.
    pub id: UpstreamId,
    /// Service that it belongs to.
    pub service: ServiceId,
    /// Data centre that it runs in.
    pub data_centre: DataCentre,
    /// Address for requests, as `ip:port`.
    pub address: String,
    /// Capacity kind: steady, or cheap and reclaimable.
    pub capacity: CapacityKind,
    /// Loaded models; empty for plain services and until the first load report.
    pub models: Vec<ModelId>,
    /// Engine or plain service.
    pub kind: UpstreamKind,
}

/// A request to be routed.
#[derive(Clone, Copy, Debug)]
pub struct RouteRequest<'a> {
    /// Requested service.
    pub service: &'a ServiceId,
    /// Requested model; `None` for plain services.
    pub model: Option<&'a ModelId>,
    /// Hashes of the prompt's prefixes, shortest first.
    pub prefixes: &'a [u64],
    /// Length of the prompt, in tokens.
    pub prompt_tokens: u64,
    /// Expected length of the output, in tokens.
    pub output_tokens: u64,
    /// Urgency of the request.
    pub class: WorkClass,
    /// True if the rules of the customer and the service allow cheap capacity.
    pub cheap_allowed: bool,
    /// Allowed data centres; empty allows all.
    pub data_centres: &'a [DataCentre],
    /// Upstreams to leave out because they have been tried already.
    pub exclude: &'a [UpstreamId],
    /// Data centre of this instance.
    pub local: &'a DataCentre,
}

/// Prefill on another engine before the chosen one generates the output.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct PrefillStep {
    /// Engine that runs the prefill.
    pub upstream: UpstreamId,
    /// Address of that engine.
    pub address: String,
}

/// Copy of a cached prefix from another engine to the chosen one.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct KvStep {
    /// Engine that has the prefix in its KV cache.
    pub upstream: UpstreamId,
    /// Address of that engine.
    pub address: String,
    /// Length of the prefix, in tokens.
    pub tokens: u64,
}

/// Cost estimate of one upstream.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct RouteScore {
    /// The upstream.
    pub upstream: UpstreamId,
    /// Expected time to the first token, with penalties.
    pub cost: Duration,
}

/// Why an upstream was chosen.
#[derive(Clone, Copy, Debug, Display, Eq, Hash, PartialEq, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum RouteReason {
    /// Lowest cost in the sample, or a tie with it.
    #[display("least_cost")]
    LeastCost,
    /// Lowest cost, with a cached prefix.
    #[display("cached_prefix")]
    CachedPrefix,
    /// Lowest cost, with a KV cache copied from another engine.
    #[display("kv_transfer")]
    KvTransfer,
    /// Lowest cost, with prefill and decode on separate engines.
    #[display("split_prefill")]
    SplitPrefill,
    /// The request probes an upstream that was ejected.
    #[display("probation")]
    Probation,
    /// Only one upstream could take the request.
    #[display("only_choice")]
    OnlyChoice,
    /// Picked by a baseline policy.
    #[display("baseline")]
    Baseline,
}

/// Result of routing a request.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct RouteDecision {
    /// Chosen upstream.
    pub upstream: UpstreamId,
    /// Address of the upstream.
    pub address: String,
    /// Capacity kind of the upstream.
    pub capacity: CapacityKind,
    /// Expected time to the first token, with penalties.
    pub cost: Duration,
    /// Prompt tokens presumed to be cached there, including those copied by `kv_from`.
    pub cached_tokens: u64,
    /// Separate engine for the prefill, if any.
    pub prefill_at: Option<PrefillStep>,
    /// KV cache to copy before the request is sent, if any.
    pub kv_from: Option<KvStep>,
    /// Next best upstreams, lowest cost first.
    pub runners_up: Vec<RouteScore>,
    /// Why this upstream was chosen.
    pub reason: RouteReason,
}

/// Error returned when no upstream can take a request.
#[derive(Clone, Copy, Debug, Eq, Error, Hash, PartialEq)]
pub enum RouteRefusal {
    /// No upstream of the service is known.
    #[error("no upstream of the service is known")]
    NoUpstream,
    /// The service has upstreams, but none serves the model.
    #[error("no upstream of the service has loaded the model")]
    NoModel,
    /// Every upstream is leaving, changing, excluded or ruled out by the request's restrictions.
    #[error("every upstream is leaving, changing, already tried or not allowed")]
    NoneAllowed,
}

impl RouteRefusal {
    /// Result code returned to the caller.
    pub fn code(self) -> ResultCode {
        ResultCode::NoUpstream
    }
}

/// How an attempt ended.
#[derive(Clone, Copy, Debug, Display, Eq, Hash, PartialEq, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum AttemptOutcome {
    /// The upstream sent its complete answer.
    #[display("answered")]
    Answered,
    /// The upstream refused the request without running it.
    #[display("refused")]
    Refused,
    /// No answer or no progress within the time limit.
    #[display("timed_out")]
    TimedOut,
    /// The connection or stream broke.
    #[display("broken")]
    Broken,
    /// The caller disconnected, or another attempt answered first.
    #[display("cancelled")]
    Cancelled,
}

/// Handle of an attempt in flight; returned to the table by
/// [`on_finished`](super::RouteTable::on_finished).
#[derive(Debug, Eq, Hash, PartialEq)]
#[must_use]
pub struct AttemptTicket {
    pub(super) number: u64,
}

/// Parameters of the routing table and its policy.
#[derive(Clone, Debug)]
pub struct RouteParams {
    /// Number of upstreams compared in one decision.
    pub sample_size: usize,
    /// Round-trip time to an upstream in another data centre.
    pub remote_round_trip: Duration,
    /// Throughput of a KV transfer, in tokens per second.
    pub kv_tokens_per_s: f64,
    /// Fixed overhead of a KV transfer.
    pub kv_setup: Duration,
    /// Minimum time that a KV transfer must save.
    pub min_kv_gain: Duration,
    /// Maximum share of a service's upstreams that may be ejected at the same time.
    pub max_ejected_share: f64,
    /// Consecutive failures after which an upstream is ejected.
    pub failures_to_eject: u32,
    /// Duration of the first ejection; doubles with each further one up to [`Self::max_ejection`].
    pub base_ejection: Duration,
    /// Maximum duration of an ejection.
    pub max_ejection: Duration,
    /// Time without progress after which an upstream with requests in flight is penalised.
    pub silence_timeout: Duration,
    /// Time after which a peer's report of its requests in flight expires.
    pub peer_load_ttl: Duration,
    /// Prefill speed assumed until an engine reports one, in tokens per second.
    pub default_prefill_tokens_per_s: f64,
    /// Slots assumed until an upstream reports its own.
    pub default_slots: u32,
}

impl Default for RouteParams {
    fn default() -> Self {
        Self {
            sample_size: 8,
            remote_round_trip: Duration::from_millis(1),
            kv_tokens_per_s: 100_000.0,
            kv_setup: Duration::from_millis(10),
            min_kv_gain: Duration::from_millis(30),
            max_ejected_share: 0.3,
            failures_to_eject: 3,
            base_ejection: Duration::from_secs(5),
            max_ejection: Duration::from_secs(60),
            silence_timeout: Duration::from_secs(2),
            peer_load_ttl: Duration::from_secs(5),
            default_prefill_tokens_per_s: 8_000.0,
            default_slots: 8,
        }
    }
}
