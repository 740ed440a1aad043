//! The published interfaces of model engines and plain services.
//!
//! | call | meaning |
//! | --- | --- |
//! | `POST /v1/chat/completions` | chat completion; SSE when `stream` is true, one token a chunk |
//! | `GET /v1/load` | [`LoadReport`]; plain services answer it too |
//! | `GET /v1/cache/events?from=` | [`CacheEvents`]; late and with gaps |
//! | `POST /v1/orders` with [`EngineOrder`] | 200, or 409 where an old fencing number is refused |
//! | `POST /v1/kv/export`, `POST /v1/kv/import` with [`KvTransfer`] | moves the cache of a prefix |
//!
//! A request carries [`REQUEST_ID_HEADER`] and [`ATTEMPT_HEADER`]; a streamed answer repeats both in its
//! headers. Closing the connection cancels the request. A body with `resume` goes on from the tokens that
//! another engine already gave: the stream holds only the tokens after them.

use serde::{Deserialize, Serialize};

use crate::prelude::*;

/// Header with the request's id.
pub const REQUEST_ID_HEADER: &str = "x-request-id";

/// Header with the number of the attempt, counted from 1.
pub const ATTEMPT_HEADER: &str = "x-attempt";

/// Header with the priority: 0 is served first.
pub const PRIORITY_HEADER: &str = "x-priority";

/// Tokens of a prompt that one cache block covers.
pub const CACHE_BLOCK_TOKENS: usize = 64;

/// Work that an engine takes.
#[derive(Clone, Copy, Debug, Default, Deserialize, Eq, Hash, Ord, PartialEq, PartialOrd, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum EngineRole {
    /// Prompts and output.
    #[default]
    Mixed,
    /// Prompts only; the output is made elsewhere from the exported KV cache.
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

/// Tokens already given to the caller.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct ResumePoint {
    /// How many tokens the caller has.
    pub tokens: u64,
    /// Their text.
    pub text: String,
}

/// Chat completion request.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct ChatRequest {
    /// Model wanted.
    pub model: ModelId,
    /// The chat so far.
    pub messages: Vec<ChatMessage>,
    /// Most output tokens.
    #[serde(default)]
    pub max_tokens: Option<u64>,
    /// Answer as an SSE stream.
    #[serde(default)]
    pub stream: bool,
    /// Where to go on; set by this system only.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub resume: Option<ResumePoint>,
}

/// Token counts of an answer.
#[derive(Clone, Copy, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
pub struct ChatUsage {
    /// Prompt tokens.
    pub prompt_tokens: u64,
    /// Output tokens, with those of a resumed stream's earlier part.
    pub completion_tokens: u64,
    /// Prompt tokens found in the prefix cache.
    #[serde(default)]
    pub cached_tokens: u64,
}

/// Load of an upstream, some time ago.
#[derive(Clone, Debug, Default, Deserialize, PartialEq, Serialize)]
pub struct LoadReport {
    /// Start of the upstream; another value means that it was restarted.
    pub incarnation: Incarnation,
    /// Grows with every report.
    pub sequence: u64,
    /// Age of the figures, in milliseconds.
    pub age_ms: u64,
    /// Role, for engines.
    #[serde(default)]
    pub role: EngineRole,
    /// True while a role or model change takes the engine away.
    #[serde(default)]
    pub changing: bool,
    /// Requests in the running batch.
    pub running: u32,
    /// Requests waiting.
    pub queued: u32,
    /// Prompt tokens waiting for prefill.
    #[serde(default)]
    pub prefill_backlog_tokens: u64,
    /// KV cache in use, in tokens.
    #[serde(default)]
    pub kv_used_tokens: u64,
    /// KV cache in all, in tokens.
    #[serde(default)]
    pub kv_total_tokens: u64,
    /// Prefill speed, in tokens per second.
    #[serde(default)]
    pub prefill_tokens_per_s: f64,
    /// Speed of one stream, in tokens per second.
    #[serde(default)]
    pub decode_tokens_per_s: f64,
    /// Requests that the upstream runs side by side.
    pub slots: u32,
    /// Models loaded.
    #[serde(default)]
    pub models: Vec<ModelId>,
}

/// What happened to a cached block.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum CacheChange {
    /// The block is cached now.
    Stored,
    /// The block is gone.
    Evicted,
}

/// Event of an engine's prefix cache.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct CacheEvent {
    /// Number of the event.
    pub sequence: u64,
    /// Stored or evicted.
    pub change: CacheChange,
    /// Hash of the prompt up to and with the block.
    pub prefix: u64,
}

/// Cache events after a sequence number; a jump in the numbers is a gap.
#[derive(Clone, Debug, Default, Deserialize, Serialize)]
pub struct CacheEvents {
    /// Start of the engine.
    pub incarnation: Incarnation,
    /// Number to ask from next time.
    pub next: u64,
    /// The events.
    pub events: Vec<CacheEvent>,
}

/// Order to an engine.
#[derive(Clone, Debug, Deserialize, Eq, Hash, Ord, PartialEq, PartialOrd, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum EngineAction {
    /// Change the role; takes the engine away for seconds.
    SetRole(EngineRole),
    /// Load a model from the weight store.
    LoadModel(ModelId),
    /// Load an adapter.
    LoadAdapter(String),
    /// Change the engine's version.
    SetVersion(String),
    /// Take no new work.
    Drain,
    /// Take new work again.
    Undrain,
}

/// Order with its fencing number.
#[derive(Clone, Debug, Deserialize, Eq, Hash, PartialEq, Serialize)]
pub struct EngineOrder {
    /// The orderer's own reference.
    pub reference: String,
    /// Fencing number of the orderer.
    pub epoch: Epoch,
    /// The orderer.
    pub orderer: InstanceId,
    /// What is asked for.
    pub action: EngineAction,
}

/// KV cache of a prefix to move.
#[derive(Clone, Debug, Deserialize, Serialize)]
pub struct KvTransfer {
    /// Block hashes of the prefix, shortest first.
    pub prefixes: Vec<u64>,
    /// Size, in tokens.
    pub tokens: u64,
}

/// Hashes of a prompt's prefixes, one for each full cache block of [`CACHE_BLOCK_TOKENS`] tokens.
///
/// A token is taken to be a word and the white space before it.
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
