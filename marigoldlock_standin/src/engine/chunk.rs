//! Rendering of answers in the usual chat-completions format.

use marigoldlock_wire::engine::ChatUsage;
use marigoldlock_wire::ids::ModelId;
use serde_json::{Value, json};

use super::text::OutputText;

/// Text that surrounds a token in its chunk; the tokens themselves need no escaping.
#[derive(Clone, Debug)]
pub(super) struct ChunkTemplate {
    id: String,
    model: ModelId,
    created: u64,
    before: String,
    after: &'static str,
}

impl ChunkTemplate {
    /// Creates the template for one answer.
    pub(super) fn new(id: &str, model: &ModelId, created: u64) -> Self {
        let id = json!(format!("chatcmpl-{id}")).to_string();
        let name = json!(model).to_string();
        let before = format!(
            "data: {{\"id\":{id},\"object\":\"chat.completion.chunk\",\"created\":{created},\"model\":{name},\
             \"choices\":[{{\"index\":0,\"delta\":{{\"content\":\""
        );
        let after = "\"},\"finish_reason\":null}]}\n\n";
        Self {
            id,
            model: model.clone(),
            created,
            before,
            after,
        }
    }

    /// Upper bound for the size of a token's chunk, in bytes.
    pub(super) fn chunk_bytes(&self) -> usize {
        self.before.len() + self.after.len() + 16
    }

    /// Appends the chunk for a token.
    pub(super) fn push_token(&self, output: OutputText, index: u64, chunks: &mut String) {
        chunks.push_str(&self.before);
        output.push_token(index, chunks);
        chunks.push_str(self.after);
    }

    /// The last chunk and the `[DONE]` marker.
    pub(super) fn final_chunks(&self, finish_reason: &str, usage: ChatUsage) -> String {
        let id: Value = serde_json::from_str(&self.id).unwrap_or_default();
        let chunk = json!({
            "id": id,
            "object": "chat.completion.chunk",
            "created": self.created,
            "model": self.model,
            "choices": [{ "index": 0, "delta": {}, "finish_reason": finish_reason }],
            "usage": usage,
        });
        format!("data: {chunk}\n\ndata: [DONE]\n\n")
    }

    /// The answer as a single JSON object.
    pub(super) fn completion(&self, text: &str, finish_reason: &str, usage: ChatUsage) -> Value {
        let id: Value = serde_json::from_str(&self.id).unwrap_or_default();
        json!({
            "id": id,
            "object": "chat.completion",
            "created": self.created,
            "model": self.model,
            "choices": [{
                "index": 0,
                "message": { "role": "assistant", "content": text },
                "finish_reason": finish_reason,
            }],
            "usage": usage,
        })
    }
}
