//! The published interfaces of model engines and plain services.
//!
//! | call | meaning |
//! | --- | --- |
//! | `POST /v1/chat/completions` | chat completion; SSE if `stream` is true, with one token in each chunk |
//! | `GET /v1/load` | [`LoadReport`]; plain services answer it too |
//! | `GET /v1/cache/events?from=` | [`CacheEvents`]; events may be late or missing |
//! | `POST /v1/orders` with [`EngineOrder`] | 200, or 409 from an engine that refuses an old fencing number |
//! | `POST /v1/kv/export`, `POST /v1/kv/import` with [`KvTransfer`] | moves the cache of a prefix |
//!
//! A request carries [`REQUEST_ID_HEADER`] and [`ATTEMPT_HEADER`]; a streamed answer repeats both in its
//! headers. Closing the connection cancels the request. A body with `resume` continues from the tokens that
//! another engine already generated: the stream holds only the tokens after them.

use serde::{Deserialize, Serialize};

use crate::prelude::*;

/// Header with the request's id.
pub const REQUEST_ID_HEADER: &str = "x-request-id";

/// Header with the number of the attempt, counted from 1.
pub const ATTEMPT_HEADER: &str = "x-attempt";

/// Header with the priority: 0 is served first.
pub const PRIORITY_HEADER: &str = "x-priority";

/// Prompt tokens in one cache block.
pub const CACHE_BLOCK_TOKENS: usize = 64;

/// Kind of work that an engine accepts.
#[derive(Clone, Copy, Debug, Default, Deserialize, Eq, Hash, Ord, PartialEq, PartialOrd, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum EngineRole {
    /// Prompts and output.
    #[default]
    Mixed,
    /// Prompts only; another engine generates the output from the exported KV cache.
    Prefill,
    /// Output only, and short prompts.
    Decode,
}

/// One message of a chat.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct ChatMessage {
    /// `system`, `user` or `assistant`.
    pub role: String,
    /// The text.
    pub content: String,
}

/// Tokens already sent to the caller.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct ResumePoint {
    /// Number of tokens.
    pub tokens: u64,
    /// Their text.
    pub text: String,
}

/// Chat completion request.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct ChatRequest {
    /// Requested model.
    pub model: ModelId,
    /// The chat so far.
    pub messages: Vec<ChatMessage>,
    /// Maximum number of output tokens.
    #[serde(default)]
    pub max_tokens: Option<u64>,
    /// Answer as an SSE stream.
    #[serde(default)]
    pub stream: bool,
    /// Where to continue; set by this system only.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub resume: Option<ResumePoint>,
}

/// Token counts of an answer.
#[derive(Clone, Copy, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
pub struct ChatUsage {
    /// Prompt tokens.
    pub prompt_tokens: u64,
    /// Output tokens, including those before a stream was resumed.
    pub completion_tokens: u64,
    /// Prompt tokens found in the prefix cache.
    #[serde(default)]
    pub cached_tokens: u64,
}

/// Load of an upstream at the time when it was measured.
#[derive(Clone, Debug, Default, Deserialize, PartialEq, Serialize)]
pub struct LoadReport {
    /// Incarnation of the upstream; another value means that it was restarted.
    pub incarnation: Incarnation,
    /// Increases with every report.
    pub sequence: u64,
    /// Age of the figures, in milliseconds.
    pub age_ms: u64,
    /// Role; engines only.
    #[serde(default)]
    pub role: EngineRole,
    /// True while the engine is unavailable because of a role or model change.
    #[serde(default)]
    pub changing: bool,
    /// Requests in the running batch.
    pub running: u32,
    /// Requests in the queue.
    pub queued: u32,
    /// Prompt tokens waiting for prefill.
    #[serde(default)]
    pub prefill_backlog_tokens: u64,
    /// Used KV cache, in tokens.
    #[serde(default)]
    pub kv_used_tokens: u64,
    /// Total KV cache, in tokens.
    #[serde(default)]
    pub kv_total_tokens: u64,
    /// Prefill speed, in tokens per second.
    #[serde(default)]
    pub prefill_tokens_per_s: f64,
    /// Decode speed of one stream, in tokens per second.
    #[serde(default)]
    pub decode_tokens_per_s: f64,
    /// Number of requests that the upstream runs concurrently.
    pub slots: u32,
    /// Models loaded.
    #[serde(default)]
    pub models: Vec<ModelId>,
}

/// What happened to a cached block.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum CacheChange {
    /// The block was cached.
    Stored,
    /// The block was evicted.
    Evicted,
}

/// Event of an engine's prefix cache.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct CacheEvent {
    /// Number of the event.
    pub sequence: u64,
    /// Stored or evicted.
    pub change: CacheChange,
    /// Hash of the prompt up to the end of the block.
    pub prefix: u64,
}

/// Cache events after a sequence number. A jump in the numbers means that events are missing.
#[derive(Clone, Debug, Default, Deserialize, Serialize)]
pub struct CacheEvents {
    /// Incarnation of the engine.
    pub incarnation: Incarnation,
    /// Sequence number to ask from in the next call.
    pub next: u64,
    /// The events.
    pub events: Vec<CacheEvent>,
}

/// Action that an order asks of an engine.
#[derive(Clone, Debug, Deserialize, Eq, Hash, Ord, PartialEq, PartialOrd, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum EngineAction {
    /// Change the role; the engine is unavailable for seconds.
    SetRole(EngineRole),
    /// Load a model from the weight store.
    LoadModel(ModelId),
    /// Load an adapter.
    LoadAdapter(String),
    /// Change the engine's version.
    SetVersion(String),
    /// Accept no new work.
    Drain,
    /// Accept new work again.
    Undrain,
}

/// Order to an engine.
#[derive(Clone, Debug, Deserialize, Eq, Hash, PartialEq, Serialize)]
pub struct EngineOrder {
    /// Reference chosen by the orderer.
    pub reference: String,
    /// Fencing number of the orderer.
    pub epoch: Epoch,
    /// Instance that gives the order.
    pub orderer: InstanceId,
    /// Requested action.
    pub action: EngineAction,
}

/// KV cache of a prefix to transfer.
#[derive(Clone, Debug, Deserialize, Serialize)]
pub struct KvTransfer {
    /// Block hashes of the prefix, shortest first.
    pub prefixes: Vec<u64>,
    /// Size, in tokens.
    pub tokens: u64,
}

/// Hashes of a prompt's prefixes, one for each full cache block of [`CACHE_BLOCK_TOKENS`] tokens.
///
/// A token is approximated as a word and the white space before it.
pub fn prefix_hashes(messages: &[ChatMessage]) -> Vec<u64> {
    let mut hasher = blake3::Hasher::new();
    let mut hashes = Vec::new();
    let mut tokens = 0;
    for word in messages
        .iter()
        .flat_map(|message| message.content.split_whitespace())
    {
        hasher.update(word.as_bytes());
        hasher.update(b" ");
        tokens += 1;
        if tokens % CACHE_BLOCK_TOKENS == 0 {
            let digest = hasher.finalize();
            let (head, _) = digest.as_bytes().split_at(8);
            hashes.push(u64::from_le_bytes(head.try_into().expect("eight bytes")));
        }
    }
    hashes
}

/// Prompt tokens of a chat, estimated as its words.
pub fn prompt_tokens(messages: &[ChatMessage]) -> u64 {
    messages
        .iter()
        .map(|message| message.content.split_whitespace().count() as u64)
        .sum()
}
