//! How an engine stand-in behaves.

use std::net::SocketAddr;

use marigoldlock_wire::engine::EngineRole;
use marigoldlock_wire::ids::{Incarnation, ModelId};

use super::weights::WeightStore;
use crate::faults::FaultPlan;

/// How an engine stand-in behaves.
#[derive(Clone, Debug)]
pub struct EngineOptions {
    /// Address to listen on; port 0 for any.
    pub listen: SocketAddr,
    /// Incarnation of the first start; `None` for a random one.
    pub incarnation: Option<Incarnation>,
    /// Prompt tokens per second, shared by all requests.
    pub prefill_tokens_per_s: f64,
    /// Prompt tokens that one step may take on beside the output of the batch.
    pub prefill_chunk_tokens: u64,
    /// Output tokens per second of a stream that runs alone.
    pub decode_tokens_per_s: f64,
    /// Share of a lone stream's step that each further stream adds.
    pub batch_slowdown: f64,
    /// Requests side by side.
    pub slots: u32,
    /// Requests that may wait.
    pub queue_limit: usize,
    /// Room for running requests and cached prefixes, in tokens.
    pub kv_total_tokens: u64,
    /// Most tokens of a prompt with its output.
    pub context_tokens: u64,
    /// Models loaded from the start; empty if every model is served.
    pub models: Vec<ModelId>,
    /// Output tokens of a request that doesn't say how many.
    pub default_tokens: u64,
    /// Role from the start.
    pub role: EngineRole,
    /// How much slower an engine in the decode role works through prompts.
    pub decode_prefill_slowdown: f64,
    /// Most prompt tokens without cache that an engine in the decode role takes; `None` for any.
    pub decode_prompt_tokens: Option<u64>,
    /// Time that a change of role or version takes the engine away, in milliseconds.
    pub change_ms: u64,
    /// Time that loading an adapter takes, in milliseconds.
    pub adapter_ms: u64,
    /// Where models are loaded from.
    pub weights: WeightStore,
    /// Refuse an order with a fencing number below one already seen.
    pub check_fence: bool,
    /// How old the figures of a load report are, in milliseconds.
    pub load_lag_ms: u64,
    /// How late cache events are published, in milliseconds.
    pub event_lag_ms: u64,
    /// One cache event out of so many is never published; 0 for none.
    pub event_gap: u64,
    /// Speed of exporting and importing KV cache, in tokens per second.
    pub kv_tokens_per_s: f64,
    /// Give every output token at once: no batch, no queue, no cache.
    pub burst: bool,
    /// Output tokens that are written together in burst mode.
    pub burst_frame_tokens: u64,
    /// What goes wrong from the start.
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
