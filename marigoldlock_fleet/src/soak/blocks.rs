//! The check that only requests which crash upstreams are blocked.

use std::time::Duration;

use marigoldlock_core::gateway::blame::SuspectKey;
use marigoldlock_core::gateway::crashes::CrashBlock;
use marigoldlock_core::gateway::prelude::*;
use marigoldlock_standin::site::{SITE_HOST, SITE_TENANT, StoreStandin};
use marigoldlock_wire::prelude::*;
use tokio::time::Instant;

use super::crashing::{CRASHING_PART, CRASHING_PATH};

/// Stream of the store in which instances keep blocks.
const BLOCKS_TOPIC: &str = "keyed.crashes";

/// Time within which instances must agree that a block is wrong: twice the platform's contact time, after which its rules
/// count sound requests that are refused.
const AGREEMENT_TIME: Duration = Duration::from_secs(6);

/// Sound requests that may be refused as crashing upstreams, from the platform's rules.
pub const ALLOWED_REFUSALS: usize = 20;

/// Watches the blocks in the store.
#[derive(Debug, Default)]
pub struct BlockWatch {
    /// Wrong blocks in the store, and since when.
    since: FastMap<String, Instant>,
    /// Wrong blocks that stayed for too long.
    excess: FastMap<String, CrashBlock>,
}

impl BlockWatch {
    /// Reads the blocks that are in the store now.
    pub fn observe(&mut self, store: &StoreStandin, now: Instant) {
        let values = store.values(BLOCKS_TOPIC);
        self.since.retain(|key, _| values.contains_key(key));
        for (key, value) in values {
            let Ok(block) = serde_json::from_slice::<CrashBlock>(&value) else {
                continue;
            };
            if crashes_upstreams(&block.suspects) {
                continue;
            }
            let since = *self.since.entry(key.clone()).or_insert(now);
            if now.duration_since(since) > AGREEMENT_TIME {
                self.excess.insert(key, block);
            }
        }
    }

    /// Wrong blocks that stayed for too long.
    pub fn into_excess(self) -> Vec<CrashBlock> {
        self.excess.into_values().collect()
    }
}

/// True if a request with one of these properties does crash upstreams.
fn crashes_upstreams(suspects: &[SuspectKey]) -> bool {
    let part = u64::from_str_radix(CRASHING_PART, 16).ok();
    let customer = CustomerId::from(SITE_TENANT);
    let request = RequestIdentity {
        customer: Some(&customer),
        host: SITE_HOST,
        method: "GET",
        path: CRASHING_PATH,
        body: b"",
    };
    let request = SuspectKey::Request(request.digest());
    suspects
        .iter()
        .any(|suspect| *suspect == request || part.map(SuspectKey::PromptPart) == Some(*suspect))
}
