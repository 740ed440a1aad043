//! Prefixes believed to be in an engine's cache.
//!
//! Events come late and with gaps. After a gap the set is kept, since most of it is still right, but its
//! worth is halved: a lost eviction costs a prefill, a lost store only a chance.

use marigoldlock_wire::engine::{CACHE_BLOCK_TOKENS, CacheChange, CacheEvents};

use crate::prelude::*;

/// Prefixes remembered for one engine.
const PREFIXES_KEPT: usize = 65_536;

/// Share of the trust that is left after a gap.
const TRUST_AFTER_GAP: f64 = 0.5;

/// Share of the lost trust that a batch of events without a gap restores.
const TRUST_REGAINED: f64 = 0.1;

/// The prefixes of one engine.
#[derive(Clone, Debug)]
pub(super) struct PrefixCache {
    incarnation: Incarnation,
    next: u64,
    prefixes: FastSet<u64>,
    trust: f64,
}

/// What a batch of events changed.
#[derive(Debug, Default)]
pub(super) struct CacheDelta {
    pub(super) stored: Vec<u64>,
    pub(super) evicted: Vec<u64>,
}

impl Default for PrefixCache {
    fn default() -> Self {
        Self {
            incarnation: Incarnation::default(),
            next: 0,
            prefixes: FastSet::default(),
            trust: 1.0,
        }
    }
}

impl PrefixCache {
    /// Takes in a batch of events and tells what changed.
    pub(super) fn apply(&mut self, events: &CacheEvents) -> CacheDelta {
        let mut delta = CacheDelta::default();
        if events.incarnation != self.incarnation {
            delta.evicted = self.clear();
            self.incarnation = events.incarnation;
            self.next = events.events.first().map_or(events.next, |event| event.sequence);
        }
        let mut gap = false;
        for event in &events.events {
            if event.sequence < self.next {
                continue;
            }
            gap |= event.sequence > self.next;
            self.next = event.sequence + 1;
            self.change(event.change, event.prefix, &mut delta);
        }
        gap |= events.next > self.next;
        self.next = self.next.max(events.next);
        self.trust = if gap {
            self.trust * TRUST_AFTER_GAP
        } else {
            self.trust + (1.0 - self.trust) * TRUST_REGAINED
        };
        delta
    }

    fn change(&mut self, change: CacheChange, prefix: u64, delta: &mut CacheDelta) {
        match change {
            CacheChange::Stored => {
                if self.prefixes.len() < PREFIXES_KEPT && self.prefixes.insert(prefix) {
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

    /// Adds a prefix that this instance has just sent there.
    pub(super) fn expect(&mut self, prefix: u64) -> bool {
        self.prefixes.len() < PREFIXES_KEPT && self.prefixes.insert(prefix)
    }

    /// Forgets everything and returns what was known.
    pub(super) fn clear(&mut self) -> Vec<u64> {
        self.trust = 1.0;
        std::mem::take(&mut self.prefixes).into_iter().collect()
    }

    /// Prompt tokens likely to be found in the cache.
    ///
    /// Prefixes are nested, so the longest one known is found by bisection.
    pub(super) fn cached_tokens(&self, prefixes: &[u64]) -> u64 {
        if self.prefixes.is_empty() {
            return 0;
        }
        let blocks = prefixes.partition_point(|prefix| self.prefixes.contains(prefix));
        ((blocks * CACHE_BLOCK_TOKENS) as f64 * self.trust) as u64
    }

    /// Prefixes known.
    pub(super) fn len(&self) -> usize {
        self.prefixes.len()
    }
}
