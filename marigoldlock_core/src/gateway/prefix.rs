//! Model of an upstream's prompt cache, derived from the requests sent to it.

use marigoldlock_wire::prelude::*;

use super::call::PromptPart;

/// Prompt parts that one upstream has cached, with least-recently-used eviction.
#[derive(Clone, Debug, Default)]
pub struct PrefixSet {
    parts: FastMap<u64, CachedPart>,
    tokens: u64,
    use_count: u64,
}

#[derive(Clone, Copy, Debug)]
struct CachedPart {
    tokens: u32,
    last_used: u64,
}

impl PrefixSet {
    /// Records that the upstream has processed a prompt; its cache holds at most `capacity` tokens.
    pub fn record(&mut self, parts: &[PromptPart], capacity: u64) {
        for part in parts {
            self.use_count += 1;
            let cached = CachedPart {
                tokens: part.tokens,
                last_used: self.use_count,
            };
            let replaced = self.parts.insert(part.id, cached);
            self.tokens += u64::from(part.tokens);
            self.tokens -= replaced.map_or(0, |replaced| u64::from(replaced.tokens));
        }
        if self.tokens > capacity {
            self.evict(capacity);
        }
    }

    /// Tokens of a prompt that are already cached. A part counts only if all parts before it are cached.
    pub fn cached_tokens(&self, parts: &[PromptPart]) -> u64 {
        parts
            .iter()
            .take_while(|part| self.parts.contains_key(&part.id))
            .map(|part| u64::from(part.tokens))
            .sum()
    }

    fn evict(&mut self, capacity: u64) {
        // Evicts to below the capacity, so that one sort serves many later calls.
        let target = capacity - capacity / 10;
        let mut oldest: Vec<(u64, u64)> = self
            .parts
            .iter()
            .map(|(id, cached)| (cached.last_used, *id))
            .collect();
        oldest.sort_unstable();
        for (_, id) in oldest {
            if self.tokens <= target {
                return;
            }
            if let Some(cached) = self.parts.remove(&id) {
                self.tokens -= u64::from(cached.tokens);
            }
        }
    }
}
