//! What an answer is made from, and its parts in the customary form.

use axum::Json;
use axum::http::{HeaderMap, HeaderValue};
use axum::response::{IntoResponse, Response};
use marigoldlock_wire::engine::{ATTEMPT_HEADER, ChatRequest, ChatUsage, REQUEST_ID_HEADER, prompt_tokens};

use super::chunk::ChunkTemplate;
use super::text::OutputText;
use crate::headers::text_header;

/// What an answer is made from.
#[derive(Clone, Debug)]
pub(super) struct AnswerPlan {
    /// Text around the tokens.
    pub(super) template: ChunkTemplate,
    /// The tokens.
    pub(super) output: OutputText,
    /// Tokens that the caller has already.
    pub(super) resumed_tokens: u64,
    /// Token counts, without those that were cached.
    pub(super) usage: ChatUsage,
    ids: Vec<(&'static str, HeaderValue)>,
    finish_reason: &'static str,
}

impl AnswerPlan {
    /// Plan of the answer to a request.
    pub(super) fn new(headers: &HeaderMap, request: &ChatRequest, default_tokens: u64, created: u64) -> Self {
        let id = text_header(headers, REQUEST_ID_HEADER).unwrap_or_default();
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

    /// The last chunk and the end mark.
    pub(super) fn end(&self, cached_tokens: u64) -> String {
        let usage = ChatUsage {
            cached_tokens,
            ..self.usage
        };
        self.template.end(self.finish_reason, usage)
    }

    /// The answer in one piece.
    pub(super) fn whole(&self, cached_tokens: u64) -> Response {
        let mut text = String::new();
        for index in self.resumed_tokens..self.usage.completion_tokens {
            self.output.push_token(index, &mut text);
        }
        let usage = ChatUsage {
            cached_tokens,
            ..self.usage
        };
        Json(self.template.whole(&text, self.finish_reason, usage)).into_response()
    }

    /// Repeats the request's ids in the headers of its answer.
    pub(super) fn repeat_ids(&self, headers: &mut HeaderMap) {
        for (name, value) in &self.ids {
            headers.insert(*name, value.clone());
        }
    }
}
