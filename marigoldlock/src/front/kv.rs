//! Transfer of KV cache to the engine that a chat was routed to.
//!
//! Transfers are best effort: an engine without the cache computes the prefill itself.

use std::time::Duration;

use axum::http::{HeaderMap, HeaderValue, Method, header};
use bytes::Bytes;
use log::debug;
use marigoldlock_core::relay::{AttemptId, FailureKind};
use marigoldlock_core::routing::RouteDecision;
use marigoldlock_wire::engine::{CACHE_BLOCK_TOKENS, KvTransfer};
use serde_json::json;

use super::chat::with_field;
use crate::dispatch::WorkItem;
use crate::upstream::{UpstreamCall, UpstreamClient};

/// Path of chat completions at an engine.
pub(super) const CHAT_PATH: &str = "/v1/chat/completions";

/// Maximum time for a transfer of KV cache.
const TRANSFER_TIMEOUT: Duration = Duration::from_secs(5);

/// Maximum time for the prefill of a prompt at another engine.
const PREFILL_TIMEOUT: Duration = Duration::from_secs(30);

/// Moves the KV cache of a prompt to the engine of an attempt, as decided by routing.
pub(super) struct KvMover<'a> {
    /// Client for upstreams.
    pub upstreams: &'a UpstreamClient,
    /// The chat.
    pub work: &'a WorkItem,
    /// Body of the chat.
    pub body: &'a Bytes,
    /// Headers of the chat.
    pub headers: &'a HeaderMap,
    /// The attempt.
    pub attempt: AttemptId,
}

impl KvMover<'_> {
    /// Carries out the prefill and the transfer that the route asks for before the chat is sent.
    pub(super) async fn prepare(&self, decision: &RouteDecision) {
        if let Some(step) = &decision.prefill_at {
            let prefill = tokio::time::timeout(PREFILL_TIMEOUT, self.prefill(&step.address)).await;
            if matches!(prefill, Ok(Ok(()))) {
                self.transfer(&step.address, &decision.address, self.work.prefixes.len())
                    .await;
            }
        } else if let Some(step) = &decision.kv_from {
            let blocks = step.tokens as usize / CACHE_BLOCK_TOKENS;
            self.transfer(&step.address, &decision.address, blocks).await;
        }
    }

    /// Runs the prefill of the prompt at an engine; the one output token is discarded.
    async fn prefill(&self, address: &str) -> Result<(), FailureKind> {
        let body = with_field(self.body, "max_tokens", json!(1)).map_err(|_| FailureKind::Broken)?;
        let body = with_field(&body, "stream", json!(false)).map_err(|_| FailureKind::Broken)?;
        let response = self.post(address, CHAT_PATH, body).await?;
        response.bytes().await.map_err(|_| FailureKind::Broken)?;
        Ok(())
    }

    async fn transfer(&self, from: &str, to: &str, blocks: usize) {
        let prefixes: Vec<u64> = self.work.prefixes.iter().take(blocks).copied().collect();
        if prefixes.is_empty() {
            return;
        }
        let tokens = (prefixes.len() * CACHE_BLOCK_TOKENS) as u64;
        let wanted = KvTransfer { prefixes, tokens };
        let moved = tokio::time::timeout(TRANSFER_TIMEOUT, self.copy(from, to, &wanted)).await;
        if !matches!(moved, Ok(Ok(()))) {
            debug!(
                request:% = self.work.request, from, to;
                "KV cache transfer failed; the engine computes the prefill itself"
            );
        }
    }

    async fn copy(&self, from: &str, to: &str, wanted: &KvTransfer) -> Result<(), FailureKind> {
        let body = serde_json::to_vec(wanted).map_err(|_| FailureKind::Broken)?;
        let exported = self.post(from, "/v1/kv/export", body.into()).await?;
        let exported = exported.bytes().await.map_err(|_| FailureKind::Broken)?;
        self.post(to, "/v1/kv/import", exported).await?;
        Ok(())
    }

    async fn post(&self, address: &str, path: &str, body: Bytes) -> Result<reqwest::Response, FailureKind> {
        let mut headers = self.headers.clone();
        headers.insert(header::CONTENT_TYPE, HeaderValue::from_static("application/json"));
        let call = UpstreamCall {
            address,
            method: &Method::POST,
            path,
            headers: &headers,
            body,
            request: self.work.request,
            attempt: self.attempt,
        };
        let response = self.upstreams.send_repeatable(call).await?;
        if response.status().is_success() {
            Ok(response)
        } else {
            Err(FailureKind::Refused)
        }
    }
}
