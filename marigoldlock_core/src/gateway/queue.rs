//! Queue of requests that wait for a prefill engine.
//!
//! Prompts arrive in bursts. An engine accepts all requests at once, and the KV cache of half-processed
//! prompts then evicts the shared prefixes that the next requests need. So only a few prompts are sent to an
//! engine at a time; the others wait here, the most urgent first.

use std::collections::BTreeSet;

use marigoldlock_wire::prelude::*;

use super::state::UpstreamState;

/// Prompts at one engine at a time: one is processed while the next ones are in transit.
const MAX_PREFILL_REQUESTS: u32 = 3;

/// Prompt tokens at one engine below which further prompts are sent regardless of their number; about 100 ms
/// of prefill.
const LOW_BACKLOG_TOKENS: u64 = 4_000;

/// Position in the queue; the smallest goes first.
#[derive(Clone, Copy, Debug, Eq, Ord, PartialEq, PartialOrd)]
pub struct QueueTicket {
    /// Priority of the request; 0 is the most urgent.
    pub priority: u8,
    /// Order of arrival.
    pub sequence: u64,
}

/// Waiting requests of this instance, by engine.
#[derive(Clone, Debug, Default)]
pub struct PrefillQueue {
    waiting: FastMap<UpstreamId, BTreeSet<QueueTicket>>,
    next_sequence: u64,
}

impl PrefillQueue {
    /// Issues a ticket for a new request.
    pub fn issue_ticket(&mut self, priority: u8) -> QueueTicket {
        self.next_sequence += 1;
        QueueTicket {
            priority,
            sequence: self.next_sequence,
        }
    }

    /// Adds a request to an engine's queue.
    pub fn insert(&mut self, engine: &UpstreamId, ticket: QueueTicket) {
        self.waiting.entry(engine.clone()).or_default().insert(ticket);
    }

    /// Removes a request from an engine's queue.
    pub fn remove(&mut self, engine: &UpstreamId, ticket: QueueTicket) {
        if let Some(tickets) = self.waiting.get_mut(engine) {
            tickets.remove(&ticket);
            if tickets.is_empty() {
                self.waiting.remove(engine);
            }
        }
    }

    /// True if no request of this instance is ahead of the ticket.
    pub fn is_first(&self, engine: &UpstreamId, ticket: QueueTicket) -> bool {
        self.waiting
            .get(engine)
            .and_then(BTreeSet::first)
            .is_none_or(|first| *first >= ticket)
    }
}

/// True if one more prompt may be sent to the engine.
pub fn can_accept_prompt(engine: &UpstreamState) -> bool {
    let requests = engine.own.requests + engine.peers.requests;
    requests < MAX_PREFILL_REQUESTS
        || engine.own.prefill_tokens + engine.peers.prefill_tokens < LOW_BACKLOG_TOKENS
}
