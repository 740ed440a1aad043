//! Prefix cache of an engine: an LRU of blocks, and the events about them.

use std::collections::{BTreeMap, VecDeque};
use std::time::Duration;

use marigoldlock_wire::FastMap;
use marigoldlock_wire::engine::{CACHE_BLOCK_TOKENS, CacheChange, CacheEvent};
use tokio::time::Instant;

/// Number of events kept for readers; a reader that falls further behind has a gap.
const MAX_EVENTS: usize = 4096;

/// Cached blocks, keyed by the hash of the prompt up to and including the block.
#[derive(Debug, Default)]
pub(super) struct PrefixCache {
    uses: u64,
    last_use: FastMap<u64, u64>,
    by_use: BTreeMap<u64, u64>,
    events: VecDeque<(Instant, CacheEvent)>,
    next_event: u64,
}

impl PrefixCache {
    /// Number of leading blocks that are cached.
    pub(super) fn count_prefix(&self, blocks: &[u64]) -> usize {
        blocks
            .iter()
            .take_while(|block| self.last_use.contains_key(block))
            .count()
    }

    /// Marks the cached leading blocks as used, and returns their number of tokens.
    pub(super) fn touch_prefix(&mut self, blocks: &[u64]) -> u64 {
        let cached = self.count_prefix(blocks);
        // Mark in reverse, so that the end of a prefix is evicted first.
        for block in blocks[..cached].iter().rev() {
            self.mark_used(*block);
        }
        (cached * CACHE_BLOCK_TOKENS) as u64
    }

    /// Caches the blocks.
    pub(super) fn store(&mut self, blocks: &[u64], now: Instant) {
        for block in blocks.iter().rev() {
            if !self.last_use.contains_key(block) {
                self.add_event(CacheChange::Stored, *block, now);
            }
            self.mark_used(*block);
        }
    }

    /// Evicts the least recently used blocks until the rest fits.
    pub(super) fn shrink(&mut self, capacity_tokens: u64, now: Instant) {
        let capacity = capacity_tokens as usize / CACHE_BLOCK_TOKENS;
        while self.last_use.len() > capacity {
            let Some((_, block)) = self.by_use.pop_first() else {
                return;
            };
            self.last_use.remove(&block);
            self.add_event(CacheChange::Evicted, block, now);
        }
    }

    /// Number of cached tokens.
    pub(super) fn tokens(&self) -> u64 {
        (self.last_use.len() * CACHE_BLOCK_TOKENS) as u64
    }

    /// Events older than the lag, from a sequence number on, and the next sequence number to ask from.
    pub(super) fn events(&self, from: u64, lag: Duration, gap: u64, now: Instant) -> (Vec<CacheEvent>, u64) {
        let published = |(made, _): &&(Instant, CacheEvent)| now.duration_since(*made) >= lag;
        let mut next = from.min(self.next_event);
        let mut events = Vec::new();
        for (_, event) in self.events.iter().take_while(published) {
            if event.sequence < from {
                continue;
            }
            next = event.sequence + 1;
            if gap == 0 || !(event.sequence + 1).is_multiple_of(gap) {
                events.push(*event);
            }
        }
        (events, next)
    }

    fn mark_used(&mut self, block: u64) {
        self.uses += 1;
        if let Some(before) = self.last_use.insert(block, self.uses) {
            self.by_use.remove(&before);
        }
        self.by_use.insert(self.uses, block);
    }

    fn add_event(&mut self, change: CacheChange, prefix: u64, now: Instant) {
        let event = CacheEvent {
            sequence: self.next_event,
            change,
            prefix,
        };
        self.next_event += 1;
        self.events.push_back((now, event));
        if self.events.len() > MAX_EVENTS {
            self.events.pop_front();
        }
    }
}
