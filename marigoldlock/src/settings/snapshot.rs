//! Task that writes snapshots of the settings before their records expire from the log.

use std::sync::Arc;
use std::time::Duration;

use derive_more::{Display, Error, From};
use kameo::actor::ActorRef;
use log::{info, warn};
use marigoldlock_core::keys::FreshnessVerdict;
use marigoldlock_core::membership::rendezvous_weight;
use marigoldlock_core::settings::{SettingsSnapshot, split_snapshot};
use marigoldlock_core::time::MonoTime;
use marigoldlock_wire::codec;
use marigoldlock_wire::prelude::*;
use marigoldlock_wire::record::{Envelope, SETTINGS_SNAPSHOT_STREAM};

use super::actor::{CloneFold, SettingsActor};
use super::handle::SettingsHandle;
use super::peers::SettingsPeers;
use crate::clock::TimeSource;
use crate::platform::{LogClient, LogError};

/// Maximum interval between checks whether a snapshot is due.
const MAX_CHECK_INTERVAL: Duration = Duration::from_secs(60);

/// Number of checks per snapshot interval.
const CHECKS_PER_INTERVAL: u32 = 10;

/// Number of appends to the settings stream after which a snapshot is due regardless of its age.
const MAX_APPENDS: u64 = 512;

/// Key for the rendezvous hash that chooses the writer.
const WRITER_HASH_KEY: &str = "settings-snapshots";

#[derive(Debug, Display, Error, From)]
enum SnapshotFailure {
    #[display("{_0}")]
    Log(LogError),
    #[display("the settings actor has stopped")]
    #[from(ignore)]
    Ended,
}

/// Task that writes snapshots while this instance is the chosen writer.
///
/// All instances choose the same writer by rendezvous hashing. While their member lists differ, two may write,
/// which is harmless: readers accept any complete snapshot.
pub struct SnapshotWriter {
    /// The platform's log.
    pub log: Arc<dyn LogClient>,
    /// The other instances.
    pub peers: Arc<dyn SettingsPeers>,
    /// Clock of the instance.
    pub clock: Arc<dyn TimeSource>,
    /// Reader of the settings in force.
    pub handle: SettingsHandle,
    /// The settings actor.
    pub actor: ActorRef<SettingsActor>,
    /// This instance.
    pub instance: InstanceId,
    /// Incarnation of this instance.
    pub incarnation: Incarnation,
}

impl SnapshotWriter {
    /// Runs until the task is dropped.
    pub async fn run(self) {
        let mut written = None;
        loop {
            let interval = Duration::from_secs(self.handle.active().fleet().spread.snapshot_interval_s);
            tokio::time::sleep((interval / CHECKS_PER_INTERVAL).min(MAX_CHECK_INTERVAL)).await;
            if !self.is_due(written, interval) || !self.is_writer().await {
                continue;
            }
            let now = self.clock.now();
            match self.write().await {
                Ok(version) => written = Some((version, now)),
                Err(error) => warn!(error:% = error; "writing a settings snapshot failed"),
            }
        }
    }

    fn is_due(&self, written: Option<(LogPosition, MonoTime)>, interval: Duration) -> bool {
        let state = self.handle.state();
        let now = self.clock.now();
        if state.log.is_failing || state.verdict(now) != FreshnessVerdict::Serve {
            return false;
        }
        written.is_none_or(|(version, written_at)| {
            let appends = state.active.version().offset().saturating_sub(version.offset());
            now.since(written_at) >= interval || appends >= MAX_APPENDS
        })
    }

    async fn is_writer(&self) -> bool {
        let own = rendezvous_weight(WRITER_HASH_KEY, self.instance.as_str());
        let peers = self.peers.list().await;
        peers
            .iter()
            .all(|peer| rendezvous_weight(WRITER_HASH_KEY, peer.member.instance.as_str()) < own)
    }

    async fn write(&self) -> Result<LogPosition, SnapshotFailure> {
        let fold = self
            .actor
            .ask(CloneFold)
            .await
            .map_err(|_| SnapshotFailure::Ended)?
            .0;
        let snapshot = SettingsSnapshot::of(&fold);
        for part in split_snapshot(&snapshot) {
            let envelope = Envelope {
                id: RecordId(rand::random()),
                writer: self.instance.clone(),
                incarnation: self.incarnation,
                records: vec![part],
            };
            self.log
                .append(SETTINGS_SNAPSHOT_STREAM, codec::encode(&envelope).into())
                .await?;
        }
        info!(version:% = snapshot.version(); "settings snapshot written");
        Ok(snapshot.version())
    }
}
