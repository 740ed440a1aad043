//! Rendezvous hashing: all instances that know the same names make the same choice.

use std::hash::{Hash, Hasher};

use rustc_hash::FxHasher;

/// Returns the weight of `name` for `key`; the names with the highest weights are chosen.
pub fn rendezvous_weight(key: impl Hash, name: &str) -> u64 {
    let mut hasher = FxHasher::default();
    key.hash(&mut hasher);
    name.hash(&mut hasher);
    mix(hasher.finish())
}

/// Finalizes the hash, so that similar names get unrelated weights.
fn mix(hash: u64) -> u64 {
    let hash = (hash ^ (hash >> 30)).wrapping_mul(0xbf58_476d_1ce4_e5b9);
    let hash = (hash ^ (hash >> 27)).wrapping_mul(0x94d0_49bb_1331_11eb);
    hash ^ (hash >> 31)
}
