//! Content of an answer, and its rendering as a stream or a single response.

use axum::Json;
use axum::http::{HeaderMap, HeaderValue};
use axum::response::{IntoResponse, Response};
use marigoldlock_wire::engine::{ATTEMPT_HEADER, ChatRequest, ChatUsage, REQUEST_ID_HEADER, prompt_tokens};

use super::chunk::ChunkTemplate;
use super::text::OutputText;
use crate::headers::header_text;

/// Content of an answer.
#[derive(Clone, Debug)]
pub(super) struct AnswerPlan {
    /// Template for the text around the tokens.
    pub(super) template: ChunkTemplate,
    /// Source of the tokens.
    pub(super) output: OutputText,
    /// Tokens that the caller already has.
    pub(super) resumed_tokens: u64,
    /// Token counts; the cached ones are known only once the request ran.
    pub(super) usage: ChatUsage,
    ids: Vec<(&'static str, HeaderValue)>,
    finish_reason: &'static str,
}

impl AnswerPlan {
    /// Creates the plan of the answer to a request.
    pub(super) fn new(headers: &HeaderMap, request: &ChatRequest, default_tokens: u64, created: u64) -> Self {
        let id = header_text(headers, REQUEST_ID_HEADER).unwrap_or_default();
        let ids = [REQUEST_ID_HEADER, ATTEMPT_HEADER]
            .into_iter()
            .filter_map(|name| Some((name, headers.get(name)?.clone())))
            .collect();
        let usage = ChatUsage {
            prompt_tokens: prompt_tokens(&request.messages),
            completion_tokens: request.max_tokens.unwrap_or(default_tokens),
            cached_tokens: 0,
        };
        Self {
            template: ChunkTemplate::new(&id, &request.model, created),
            output: OutputText::new(&request.messages),
            resumed_tokens: request.resume.as_ref().map_or(0, |resume| resume.tokens),
            usage,
            ids,
            finish_reason: if request.max_tokens.is_some() {
                "length"
            } else {
                "stop"
            },
        }
    }

    /// The last chunk and the `[DONE]` marker.
    pub(super) fn final_chunks(&self, cached_tokens: u64) -> String {
        let usage = ChatUsage {
            cached_tokens,
            ..self.usage
        };
        self.template.final_chunks(self.finish_reason, usage)
    }

    /// The answer as a single response.
    pub(super) fn full_response(&self, cached_tokens: u64) -> Response {
        let mut text = String::new();
        for index in self.resumed_tokens..self.usage.completion_tokens {
            self.output.push_token(index, &mut text);
        }
        let usage = ChatUsage {
            cached_tokens,
            ..self.usage
        };
        Json(self.template.completion(&text, self.finish_reason, usage)).into_response()
    }

    /// Copies the request's id headers to the headers of its answer.
    pub(super) fn copy_ids(&self, headers: &mut HeaderMap) {
        for (name, value) in &self.ids {
            headers.insert(*name, value.clone());
        }
    }
}
