//! Options of an engine stand-in.

use std::net::SocketAddr;

use marigoldlock_wire::engine::EngineRole;
use marigoldlock_wire::ids::{Incarnation, ModelId};

use super::weights::WeightStore;
use crate::faults::FaultPlan;

/// Options of an engine stand-in.
#[derive(Clone, Debug)]
pub struct EngineOptions {
    /// Address to listen on; port 0 picks a free port.
    pub listen: SocketAddr,
    /// Incarnation of the first start; `None` for a random one.
    pub incarnation: Option<Incarnation>,
    /// Prefill speed in prompt tokens per second, shared by all requests.
    pub prefill_tokens_per_s: f64,
    /// Maximum prompt tokens that a step processes in addition to the output of the batch.
    pub prefill_chunk_tokens: u64,
    /// Output tokens per second of a stream that runs alone.
    pub decode_tokens_per_s: f64,
    /// Fraction of a single stream's step time that each further stream adds to a step.
    pub batch_slowdown: f64,
    /// Maximum number of concurrent requests.
    pub slots: u32,
    /// Maximum number of waiting requests.
    pub queue_limit: usize,
    /// KV cache capacity for running requests and cached prefixes, in tokens.
    pub kv_total_tokens: u64,
    /// Maximum tokens of a prompt plus its output.
    pub context_tokens: u64,
    /// Initially loaded models; if empty, the engine serves every model.
    pub models: Vec<ModelId>,
    /// Output tokens of a request without `max_tokens`.
    pub default_tokens: u64,
    /// Initial role.
    pub role: EngineRole,
    /// Factor by which prefill is slower on an engine in the decode role.
    pub decode_prefill_slowdown: f64,
    /// Maximum uncached prompt tokens that an engine in the decode role accepts; `None` for no limit.
    pub decode_prompt_tokens: Option<u64>,
    /// Time for which a change of role or version takes the engine out of service, in milliseconds.
    pub change_ms: u64,
    /// Time to load an adapter, in milliseconds.
    pub adapter_ms: u64,
    /// Store that models are loaded from.
    pub weights: WeightStore,
    /// Whether to refuse an order whose fencing number is below one already seen.
    pub check_fence: bool,
    /// Age of the figures in a load report, in milliseconds.
    pub load_lag_ms: u64,
    /// Delay before cache events are published, in milliseconds.
    pub event_lag_ms: u64,
    /// Every `event_gap`-th cache event is never published; 0 to publish all.
    pub event_gap: u64,
    /// Speed of exporting and importing KV cache, in tokens per second.
    pub kv_tokens_per_s: f64,
    /// Burst mode: sends all output without waiting, with no batch, queue or cache.
    pub burst: bool,
    /// Number of output tokens per write in burst mode.
    pub burst_frame_tokens: u64,
    /// Initial faults.
    pub faults: FaultPlan,
}

impl Default for EngineOptions {
    fn default() -> Self {
        Self {
            listen: SocketAddr::from(([127, 0, 0, 1], 0)),
            incarnation: None,
            prefill_tokens_per_s: 8000.0,
            prefill_chunk_tokens: 512,
            decode_tokens_per_s: 60.0,
            batch_slowdown: 0.05,
            slots: 16,
            queue_limit: 256,
            kv_total_tokens: 200_000,
            context_tokens: 131_072,
            models: Vec::new(),
            default_tokens: 64,
            role: EngineRole::Mixed,
            decode_prefill_slowdown: 4.0,
            decode_prompt_tokens: None,
            change_ms: 3000,
            adapter_ms: 500,
            weights: WeightStore::default(),
            check_fence: true,
            load_lag_ms: 0,
            event_lag_ms: 0,
            event_gap: 0,
            kv_tokens_per_s: 100_000.0,
            burst: false,
            burst_frame_tokens: 1,
            faults: FaultPlan::default(),
        }
    }
}
