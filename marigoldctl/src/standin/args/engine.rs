//! Arguments for the behaviour of engines.

use clap::{Args, ValueEnum};
use marigoldlock_standin::engine::WeightStore;
use marigoldlock_standin::prelude::*;
use marigoldlock_wire::engine::EngineRole;
use marigoldlock_wire::ids::ModelId;

use super::CommonArgs;

/// Role of an engine.
#[derive(Clone, Copy, Debug, Default, ValueEnum)]
enum RoleArg {
    /// Prefill and decode.
    #[default]
    Mixed,
    /// Prefill only.
    Prefill,
    /// Decode, and prefill of short prompts.
    Decode,
}

impl From<RoleArg> for EngineRole {
    fn from(role: RoleArg) -> Self {
        match role {
            RoleArg::Mixed => Self::Mixed,
            RoleArg::Prefill => Self::Prefill,
            RoleArg::Decode => Self::Decode,
        }
    }
}

/// Behaviour of engines.
#[derive(Args, Clone, Debug)]
#[command(next_help_heading = "Engines")]
pub(super) struct EngineTuning {
    /// Prompt tokens per second, shared by all requests.
    #[arg(long, default_value_t = 8000.0)]
    prefill_tokens_per_s: f64,
    /// Output tokens per second of a stream that runs alone.
    #[arg(long, default_value_t = 60.0)]
    decode_tokens_per_s: f64,
    /// Time that each further stream adds to a step, as a share of the step of a single stream.
    #[arg(long, default_value_t = 0.05)]
    batch_slowdown: f64,
    /// Maximum concurrent requests.
    #[arg(long, default_value_t = 16)]
    slots: u32,
    /// Maximum queued requests.
    #[arg(long, default_value_t = 256)]
    queue_limit: usize,
    /// Capacity for running requests and cached prefixes, in tokens.
    #[arg(long, default_value_t = 200_000)]
    kv_total_tokens: u64,
    /// Model loaded at the start; may be repeated [default: none, so instances route nothing to the engine].
    #[arg(long)]
    model: Vec<ModelId>,
    /// Role at the start.
    #[arg(long, value_enum, default_value_t)]
    role: RoleArg,
    /// Time that a change of role or version takes, in milliseconds.
    #[arg(long, default_value_t = 3000)]
    change_ms: u64,
    /// Time that loading a model takes, in milliseconds.
    #[arg(long, default_value_t = 5000)]
    model_load_ms: u64,
    /// Execute orders with an outdated fencing number too.
    #[arg(long)]
    ignore_fence: bool,
    /// Age of the figures in a load report, in milliseconds.
    #[arg(long, default_value_t = 500)]
    load_lag_ms: u64,
    /// Delay of published cache events, in milliseconds.
    #[arg(long, default_value_t = 500)]
    event_lag_ms: u64,
    /// Drop one cache event out of this many; 0 drops none.
    #[arg(long, default_value_t = 50)]
    event_gap: u64,
    /// Send all output tokens at once, without batching, queue or cache.
    #[arg(long)]
    burst: bool,
}

impl EngineTuning {
    pub(super) fn into_options(self, common: CommonArgs) -> EngineOptions {
        EngineOptions {
            listen: common.listen,
            prefill_tokens_per_s: self.prefill_tokens_per_s,
            decode_tokens_per_s: self.decode_tokens_per_s,
            batch_slowdown: self.batch_slowdown,
            slots: self.slots,
            queue_limit: self.queue_limit,
            kv_total_tokens: self.kv_total_tokens,
            models: self.model,
            role: self.role.into(),
            change_ms: self.change_ms,
            weights: WeightStore::new(self.model_load_ms),
            check_fence: !self.ignore_fence,
            load_lag_ms: self.load_lag_ms,
            event_lag_ms: self.event_lag_ms,
            event_gap: self.event_gap,
            burst: self.burst,
            faults: common.faults.into_plan(),
            ..EngineOptions::default()
        }
    }
}
