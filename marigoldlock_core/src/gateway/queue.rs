//! Requests that wait for a reader.
//!
//! Load pattern: prompts arrive in bursts. An engine takes every request that it gets at once, and the memory
//! of prompts that are half read evicts the shared parts of those to come. So only a few prompts are at a reader at
//! a time; the others wait here, the most urgent first.

use std::collections::BTreeSet;

use marigoldlock_wire::prelude::*;

use super::state::UpstreamState;

/// Prompts at one reader at a time: one is read while the next is on its way.
const READING_MOST: u32 = 3;

/// Prompt tokens at one reader under which more prompts may be sent, about 100 ms of reading.
const READING_TOKENS: u64 = 4_000;

/// Place in the queue: the smallest goes first.
#[derive(Clone, Copy, Debug, Eq, Ord, PartialEq, PartialOrd)]
pub struct QueueTicket {
    /// Rank of the request; 0 is the most urgent.
    pub rank: u8,
    /// Order of arrival.
    pub number: u64,
}

/// Requests of this instance that wait, by reader.
#[derive(Clone, Debug, Default)]
pub struct ReaderQueue {
    waiting: FastMap<UpstreamId, BTreeSet<QueueTicket>>,
    next_number: u64,
}

impl ReaderQueue {
    /// Number of the next request.
    pub fn ticket(&mut self, rank: u8) -> QueueTicket {
        self.next_number += 1;
        QueueTicket {
            rank,
            number: self.next_number,
        }
    }

    /// Puts a request into a reader's queue.
    pub fn join(&mut self, reader: &UpstreamId, ticket: QueueTicket) {
        self.waiting.entry(reader.clone()).or_default().insert(ticket);
    }

    /// Takes a request out of a reader's queue.
    pub fn leave(&mut self, reader: &UpstreamId, ticket: QueueTicket) {
        if let Some(tickets) = self.waiting.get_mut(reader) {
            tickets.remove(&ticket);
            if tickets.is_empty() {
                self.waiting.remove(reader);
            }
        }
    }

    /// True if no request of this instance goes before.
    pub fn is_first(&self, reader: &UpstreamId, ticket: QueueTicket) -> bool {
        self.waiting
            .get(reader)
            .and_then(BTreeSet::first)
            .is_none_or(|first| *first >= ticket)
    }
}

/// True if a reader can take one more prompt.
pub fn has_room(reader: &UpstreamState) -> bool {
    let requests = reader.own.requests + reader.peers.requests;
    requests < READING_MOST || reader.own.reading_tokens + reader.peers.reading_tokens < READING_TOKENS
}
