//! Which prompt parts an upstream probably keeps, by what was sent there.

use marigoldlock_wire::prelude::*;

use super::call::PromptPart;

/// Parts that one upstream keeps, least recently used first out.
#[derive(Clone, Debug, Default)]
pub struct PrefixSet {
    parts: FastMap<u64, KeptPart>,
    tokens: u64,
    clock: u64,
}

#[derive(Clone, Copy, Debug)]
struct KeptPart {
    tokens: u32,
    used: u64,
}

impl PrefixSet {
    /// Notes that the upstream has read a prompt; it keeps at most `capacity` tokens.
    pub fn record(&mut self, parts: &[PromptPart], capacity: u64) {
        for part in parts {
            self.clock += 1;
            let kept = KeptPart {
                tokens: part.tokens,
                used: self.clock,
            };
            let before = self.parts.insert(part.id, kept);
            self.tokens += u64::from(part.tokens);
            self.tokens -= before.map_or(0, |before| u64::from(before.tokens));
        }
        if self.tokens > capacity {
            self.evict(capacity);
        }
    }

    /// Tokens of a prompt that need not be read: parts count only if all before them are kept.
    pub fn kept_tokens(&self, parts: &[PromptPart]) -> u64 {
        parts
            .iter()
            .take_while(|part| self.parts.contains_key(&part.id))
            .map(|part| u64::from(part.tokens))
            .sum()
    }

    fn evict(&mut self, capacity: u64) {
        // Evicts below the capacity, so that the sort is paid for once in many records.
        let goal = capacity - capacity / 10;
        let mut oldest: Vec<(u64, u64)> = self.parts.iter().map(|(id, kept)| (kept.used, *id)).collect();
        oldest.sort_unstable();
        for (_, id) in oldest {
            if self.tokens <= goal {
                return;
            }
            if let Some(kept) = self.parts.remove(&id) {
                self.tokens -= u64::from(kept.tokens);
            }
        }
    }
}
