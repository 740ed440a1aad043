//! Prefixes presumed to be in an engine's cache.
//!
//! Cache events arrive late and with gaps. After a gap the set is kept, since most of it is still correct,
//! but the confidence in it is halved: a missed eviction costs an unexpected prefill, a missed store only
//! the chance of a cache hit.

use marigoldlock_wire::engine::{CACHE_BLOCK_TOKENS, CacheChange, CacheEvents};

use crate::prelude::*;

/// Maximum number of prefixes tracked per engine.
const MAX_PREFIXES: usize = 65_536;

/// Factor applied to the confidence after a gap.
const GAP_CONFIDENCE_FACTOR: f64 = 0.5;

/// Share of the lost confidence that each batch of events without a gap restores.
const CONFIDENCE_RECOVERY: f64 = 0.1;

/// Prefixes presumed to be cached by one engine, and the confidence in them.
#[derive(Clone, Debug)]
pub(super) struct PrefixCache {
    incarnation: Incarnation,
    next_sequence: u64,
    prefixes: FastSet<u64>,
    confidence: f64,
}

/// Prefixes added and removed by a batch of events.
#[derive(Debug, Default)]
pub(super) struct CacheDelta {
    pub(super) stored: Vec<u64>,
    pub(super) evicted: Vec<u64>,
}

impl Default for PrefixCache {
    fn default() -> Self {
        Self {
            incarnation: Incarnation::default(),
            next_sequence: 0,
            prefixes: FastSet::default(),
            confidence: 1.0,
        }
    }
}

impl PrefixCache {
    /// Applies a batch of events and returns the changes.
    pub(super) fn apply(&mut self, events: &CacheEvents) -> CacheDelta {
        let mut delta = CacheDelta::default();
        if events.incarnation != self.incarnation {
            delta.evicted = self.clear();
            self.incarnation = events.incarnation;
            self.next_sequence = events.events.first().map_or(events.next, |event| event.sequence);
        }
        let mut gap = false;
        for event in &events.events {
            if event.sequence < self.next_sequence {
                continue;
            }
            gap |= event.sequence > self.next_sequence;
            self.next_sequence = event.sequence + 1;
            self.apply_change(event.change, event.prefix, &mut delta);
        }
        gap |= events.next > self.next_sequence;
        self.next_sequence = self.next_sequence.max(events.next);
        self.confidence = if gap {
            self.confidence * GAP_CONFIDENCE_FACTOR
        } else {
            self.confidence + (1.0 - self.confidence) * CONFIDENCE_RECOVERY
        };
        delta
    }

    fn apply_change(&mut self, change: CacheChange, prefix: u64, delta: &mut CacheDelta) {
        match change {
            CacheChange::Stored => {
                if self.prefixes.len() < MAX_PREFIXES && self.prefixes.insert(prefix) {
                    delta.stored.push(prefix);
                }
            }
            CacheChange::Evicted => {
                if self.prefixes.remove(&prefix) {
                    delta.evicted.push(prefix);
                }
            }
        }
    }

    /// Adds a prefix of a request that this instance has just sent there; true if it was added.
    pub(super) fn insert_sent(&mut self, prefix: u64) -> bool {
        self.prefixes.len() < MAX_PREFIXES && self.prefixes.insert(prefix)
    }

    /// Removes and returns all prefixes.
    pub(super) fn clear(&mut self) -> Vec<u64> {
        self.confidence = 1.0;
        std::mem::take(&mut self.prefixes).into_iter().collect()
    }

    /// Prompt tokens presumed to be cached, scaled by the confidence.
    ///
    /// Prefixes are nested, so the longest known one is found by binary search.
    pub(super) fn cached_tokens(&self, prefixes: &[u64]) -> u64 {
        if self.prefixes.is_empty() {
            return 0;
        }
        let blocks = prefixes.partition_point(|prefix| self.prefixes.contains(prefix));
        ((blocks * CACHE_BLOCK_TOKENS) as f64 * self.confidence) as u64
    }

    /// Number of known prefixes.
    pub(super) fn len(&self) -> usize {
        self.prefixes.len()
    }
}
