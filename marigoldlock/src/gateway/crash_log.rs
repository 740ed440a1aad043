//! Blocks on requests that crash upstreams, as they are kept in the store.
//!
//! Instances tell each other of blocks, so the store is only read by an instance that starts, and written by one
//! instance of the fleet.

use std::hash::{Hash, Hasher};
use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use derive_more::{Display, Error, From};
use marigoldlock_core::gateway::blame::SuspectKey;
use marigoldlock_core::gateway::crashes::CrashBlock;
use marigoldlock_core::gateway::exchange::FleetView;
use marigoldlock_core::gateway::prelude::*;
use marigoldlock_core::prelude::*;

use super::Gateway;
use super::follow::RetryBackoff;

/// Time between two checks for blocks to write.
const CHECK_INTERVAL: Duration = Duration::from_millis(200);

/// Reads the blocks from the store, then keeps them there up to date; never returns.
pub async fn keep_blocks(gateway: Arc<Gateway>) {
    let mut log = CrashLog {
        stored: FastMap::default(),
        era: StoreEra::default(),
        gateway,
    };
    let mut backoff = RetryBackoff::default();
    while let Err(err) = log.read(true).await {
        log::debug!(error:% = err; "reading the blocks from the store failed; retrying");
        backoff.wait().await;
    }
    loop {
        tokio::time::sleep(CHECK_INTERVAL).await;
        match log.write_changes().await {
            Ok(()) => backoff.reset(),
            Err(err) => {
                log::debug!(error:% = err; "writing a block to the store failed; retrying");
                backoff.wait().await;
            }
        }
    }
}

struct CrashLog {
    gateway: Arc<Gateway>,
    /// Blocks in the store by key, as far as this instance knows.
    stored: FastMap<String, CrashBlock>,
    /// Era in which they were read.
    era: StoreEra,
}

impl CrashLog {
    /// Reads what the store holds, and `adopts` it if this instance has just started. Later the instances know better than a
    /// store that has come back from a copy.
    async fn read(&mut self, adopts: bool) -> Result<(), StoreError> {
        let listed = self.gateway.parts.store.list(StoreStream::Crashes).await;
        let listing = self.gateway.check_era(listed)?;
        self.era = listing.era;
        self.stored.clear();
        for record in listing.records {
            if let Some(value) = record.value {
                self.add_stored(record.key, &value, adopts);
            }
        }
        Ok(())
    }

    /// Takes over a block; a damaged one is left alone and affects no other.
    fn add_stored(&mut self, key: String, value: &Bytes, adopts: bool) {
        match parse_block(&key, value, self.gateway.fleet_unix_ms()) {
            Ok(block) => {
                self.stored.insert(key, block.clone());
                if adopts {
                    self.gateway.change_crashes(|table, time| {
                        table.add_block(block, time);
                    });
                }
            }
            Err(err) => log::warn!(key, error:% = err; "a block in the store is damaged; ignored"),
        }
    }

    /// Writes the blocks that differ from those in the store, if that is up to this instance.
    async fn write_changes(&mut self) -> Result<(), StoreError> {
        if !self.is_writer() {
            return Ok(());
        }
        if self.era != self.gateway.store_era() {
            self.read(false).await?;
        }
        let blocks = self.gateway.state().crashes.blocks().to_vec();
        let blocks: FastMap<String, CrashBlock> = blocks
            .into_iter()
            .map(|block| (block_key(&block.suspects), block))
            .collect();
        for (key, block) in &blocks {
            if self.stored.get(key) == Some(block) {
                continue;
            }
            let Ok(value) = serde_json::to_vec(block) else {
                continue;
            };
            self.put(key, &value).await?;
            log::info!(suspects:? = block.suspects; "block written to the store");
            self.stored.insert(key.clone(), block.clone());
        }
        let ended: Vec<String> = self
            .stored
            .keys()
            .filter(|key| !blocks.contains_key(*key))
            .cloned()
            .collect();
        for key in ended {
            self.put(&key, &[]).await?;
            self.stored.remove(&key);
        }
        Ok(())
    }

    async fn put(&self, key: &str, value: &[u8]) -> Result<(), StoreError> {
        let put = self
            .gateway
            .parts
            .store
            .put(StoreStream::Crashes, key, value)
            .await;
        match self.gateway.check_era(put)? {
            era if era == self.era => Ok(()),
            era => Err(StoreError::OtherEra(era)),
        }
    }

    fn is_writer(&self) -> bool {
        let state = self.gateway.state();
        let view = FleetView {
            own: &self.gateway.parts.card,
            members: &state.members,
            now: self.gateway.now(),
        };
        state.store.is_reachable() && view.is_first_successor()
    }
}

/// Why a block in the store is not taken over.
#[derive(Debug, Display, Error, From)]
pub enum BlockError {
    /// Not a block.
    #[display("it can't be parsed: {_0}")]
    Format(serde_json::Error),
    /// The key is that of other suspects.
    #[display("its key does not belong to its suspects")]
    #[from(ignore)]
    OtherKey,
    /// It names no suspects, or a time that has not come.
    #[display("it has no suspects, or begins in the future, at {blocked_ms} ms")]
    #[from(ignore)]
    Impossible {
        /// When the block is said to begin, in Unix milliseconds.
        blocked_ms: u64,
    },
}

/// Reads a block of the store.
///
/// # Errors
///
/// Fails if the value, its key or its times are damaged.
pub fn parse_block(key: &str, value: &[u8], fleet_ms: u64) -> Result<CrashBlock, BlockError> {
    let block: CrashBlock = serde_json::from_slice(value)?;
    if block_key(&block.suspects) != key {
        return Err(BlockError::OtherKey);
    }
    if !block.is_valid(fleet_ms) {
        return Err(BlockError::Impossible {
            blocked_ms: block.blocked_ms,
        });
    }
    Ok(block)
}

/// Key of a block in the store.
pub fn block_key(suspects: &[SuspectKey]) -> String {
    let mut hasher = rustc_hash::FxHasher::default();
    suspects.hash(&mut hasher);
    format!("{:016x}", hasher.finish())
}
