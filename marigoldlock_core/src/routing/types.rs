//! What goes into a routing decision and what comes out.

use std::time::Duration;

use derive_more::Display;
use marigoldlock_wire::platform::CapacityKind;
use serde::{Deserialize, Serialize};
use thiserror::Error;

use crate::prelude::*;

/// How soon an answer is needed.
#[derive(
    Clone, Copy, Debug, Default, Deserialize, Display, Eq, Hash, Ord, PartialEq, PartialOrd, Serialize,
)]
#[serde(rename_all = "snake_case")]
pub enum WorkClass {
    /// Someone waits in front of a screen.
    #[display("interactive")]
    Interactive,
    /// Ordinary requests.
    #[default]
    #[display("standard")]
    Standard,
    /// Long work that may wait until its deadline.
    #[display("long")]
    Long,
}

impl WorkClass {
    /// Every class, the most urgent first.
    pub const ALL: [Self; 3] = [Self::Interactive, Self::Standard, Self::Long];

    /// Place in [`Self::ALL`].
    pub const fn index(self) -> usize {
        self as usize
    }
}

/// Prompt tokens up to which a standard request is read before the larger ones.
const SHORT_PROMPT_TOKENS: u64 = 1_024;

/// Priority that an engine is given with a request; 0 is served first.
///
/// Short standard prompts go before long ones: they delay them little and would wait for them long.
pub const fn engine_priority(class: WorkClass, prompt_tokens: u64) -> u8 {
    match class {
        WorkClass::Interactive => 0,
        WorkClass::Standard if prompt_tokens <= SHORT_PROMPT_TOKENS => 1,
        WorkClass::Standard => 2,
        WorkClass::Long => 3,
    }
}

/// What an upstream is.
#[derive(Clone, Copy, Debug, Default, Deserialize, Eq, Hash, PartialEq, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum UpstreamKind {
    /// A model engine.
    #[default]
    Engine,
    /// A plain service.
    Service,
}

/// What the platform's list and the settings say of an upstream.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct UpstreamFacts {
    /// Its name.
    pub id: UpstreamId,
    /// Its service.
    pub service: ServiceId,
    /// Where it stands.
    pub data_centre: DataCentre,
    /// Address for requests, as `ip:port`.
    pub address: String,
    /// How it is paid for.
    pub capacity: CapacityKind,
    /// Models that it serves; empty for plain services and until the first load report.
    pub models: Vec<ModelId>,
    /// Engine or plain service.
    pub kind: UpstreamKind,
}

/// Request to be routed.
#[derive(Clone, Copy, Debug)]
pub struct RouteAsk<'a> {
    /// Service wanted.
    pub service: &'a ServiceId,
    /// Model wanted; `None` for plain services.
    pub model: Option<&'a ModelId>,
    /// Hashes of the prompt's prefixes, shortest first.
    pub prefixes: &'a [u64],
    /// Prompt tokens.
    pub prompt_tokens: u64,
    /// Output tokens expected.
    pub output_tokens: u64,
    /// How soon it is needed.
    pub class: WorkClass,
    /// True if the customer's and the service's rules allow cheaper capacity.
    pub cheap_allowed: bool,
    /// Data centres allowed; empty allows all.
    pub data_centres: &'a [DataCentre],
    /// Upstreams that have already been tried.
    pub exclude: &'a [UpstreamId],
    /// Data centre of this instance.
    pub local: &'a DataCentre,
}

/// Prefill on another engine before the chosen one makes the output.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct PrefillStep {
    /// Engine that reads the prompt.
    pub upstream: UpstreamId,
    /// Its address.
    pub address: String,
}

/// KV cache to copy to the chosen engine first.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct KvStep {
    /// Engine that holds the prefix.
    pub upstream: UpstreamId,
    /// Its address.
    pub address: String,
    /// Tokens of the prefix.
    pub tokens: u64,
}

/// An upstream and its expected time to the first token.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct RouteScore {
    /// The upstream.
    pub upstream: UpstreamId,
    /// Expected time to the first token.
    pub cost: Duration,
}

/// Why an upstream was chosen.
#[derive(Clone, Copy, Debug, Display, Eq, Hash, PartialEq, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum RouteReason {
    /// Cheapest of the sample.
    #[display("least_cost")]
    LeastCost,
    /// Cheapest, because the prefix is cached there.
    #[display("cached_prefix")]
    CachedPrefix,
    /// Cheapest after a copy of the KV cache.
    #[display("kv_transfer")]
    KvTransfer,
    /// Prompt and output on engines of their own.
    #[display("split_prefill")]
    SplitPrefill,
    /// An ejected upstream is tried again.
    #[display("probation")]
    Probation,
    /// The only one that may take the request.
    #[display("only_choice")]
    OnlyChoice,
    /// A baseline policy picked it.
    #[display("baseline")]
    Baseline,
}

/// Where a request goes.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct RouteDecision {
    /// The upstream.
    pub upstream: UpstreamId,
    /// Its address.
    pub address: String,
    /// How it is paid for.
    pub capacity: CapacityKind,
    /// Expected time to the first token.
    pub cost: Duration,
    /// Prompt tokens believed to be cached there, or after the transfer.
    pub cached_tokens: u64,
    /// Engine that prefills the prompt first.
    pub prefill_at: Option<PrefillStep>,
    /// KV cache to copy first.
    pub kv_from: Option<KvStep>,
    /// The next best ones, cheapest first.
    pub runners_up: Vec<RouteScore>,
    /// Why this one.
    pub reason: RouteReason,
}

/// Why no upstream can take a request.
#[derive(Clone, Copy, Debug, Eq, Error, Hash, PartialEq)]
pub enum RouteRefusal {
    /// No upstream of the service is known.
    #[error("no upstream of the service is known")]
    NoUpstream,
    /// The service has upstreams, but none serves the model.
    #[error("no upstream of the service has loaded the model")]
    NoModel,
    /// Every upstream is leaving, changing, excluded or outside the customer's limits.
    #[error("every upstream is leaving, changing, already tried or not allowed")]
    NoneAllowed,
}

impl RouteRefusal {
    /// Code for the caller.
    pub fn code(self) -> ResultCode {
        ResultCode::NoUpstream
    }
}

/// How an attempt ended.
#[derive(Clone, Copy, Debug, Display, Eq, Hash, PartialEq, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum AttemptOutcome {
    /// The upstream gave its whole answer.
    #[display("answered")]
    Answered,
    /// The upstream refused before running it.
    #[display("refused")]
    Refused,
    /// No answer or progress in time.
    #[display("timed_out")]
    TimedOut,
    /// The connection or stream broke.
    #[display("broken")]
    Broken,
    /// The caller went away or another attempt won.
    #[display("cancelled")]
    Cancelled,
}

/// One attempt in flight; handed back with [`on_done`](super::RouteTable::on_done).
#[derive(Debug, Eq, Hash, PartialEq)]
#[must_use]
pub struct AttemptTicket {
    pub(super) number: u64,
}

/// Parameters of the routing table and its policy.
#[derive(Clone, Debug)]
pub struct RouteParams {
    /// Upstreams looked at for one decision.
    pub sample: usize,
    /// Time to an upstream in another data centre and back.
    pub remote_round_trip: Duration,
    /// Speed of a KV transfer, in tokens per second.
    pub kv_tokens_per_s: f64,
    /// Fixed time of a KV transfer.
    pub kv_setup: Duration,
    /// Least time that a KV transfer must save.
    pub kv_least_gain: Duration,
    /// Largest share of a service's upstreams that may be ejected at once.
    pub ejected_share: f64,
    /// Failures in a row that eject an upstream.
    pub failures_to_eject: u32,
    /// First ejection; doubles each time up to [`Self::longest_ejection`].
    pub first_ejection: Duration,
    /// Longest ejection.
    pub longest_ejection: Duration,
    /// Time without progress after which an upstream with work in flight is suspected.
    pub silence: Duration,
    /// Time after which a peer's last word on its work in flight is dropped.
    pub peer_lifetime: Duration,
    /// Prefill speed taken for an engine that has not reported one, in tokens per second.
    pub default_prefill_tokens_per_s: f64,
    /// Slots taken for an upstream that has not reported them.
    pub default_slots: u32,
}

impl Default for RouteParams {
    fn default() -> Self {
        Self {
            sample: 8,
            remote_round_trip: Duration::from_millis(1),
            kv_tokens_per_s: 100_000.0,
            kv_setup: Duration::from_millis(10),
            kv_least_gain: Duration::from_millis(30),
            ejected_share: 0.3,
            failures_to_eject: 3,
            first_ejection: Duration::from_secs(5),
            longest_ejection: Duration::from_secs(60),
            silence: Duration::from_secs(2),
            peer_lifetime: Duration::from_secs(5),
            default_prefill_tokens_per_s: 8_000.0,
            default_slots: 8,
        }
    }
}
