//! Writing snapshots before the records that made the settings expire.

use std::sync::Arc;
use std::time::Duration;

use derive_more::{Display, Error, From};
use kameo::actor::ActorRef;
use log::{info, warn};
use marigoldlock_core::keys::FreshnessVerdict;
use marigoldlock_core::membership::weight;
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

/// Longest time between two looks at whether a snapshot is due.
const MAX_CHECK_INTERVAL: Duration = Duration::from_secs(60);

/// Looks during one snapshot interval.
const CHECKS_PER_INTERVAL: u32 = 10;

/// Appends of settings after which a snapshot is due, whatever its age.
const MAX_APPENDS: u64 = 512;

/// Subject of the choice of the instance that writes.
const SNAPSHOT_SUBJECT: &str = "settings-snapshots";

#[derive(Debug, Display, Error, From)]
enum SnapshotFailure {
    #[display("{_0}")]
    Log(LogError),
    #[display("the settings actor has ended")]
    #[from(ignore)]
    Ended,
}

/// Task that writes snapshots while this instance is the one to do so.
///
/// All instances pick the same one by rendezvous hashing. While their views differ, two may write; readers
/// take any whole snapshot.
pub struct SnapshotWriter {
    /// The platform's log.
    pub log: Arc<dyn LogClient>,
    /// The other instances.
    pub peers: Arc<dyn SettingsPeers>,
    /// Clock of the instance.
    pub clock: Arc<dyn TimeSource>,
    /// Settings in force.
    pub handle: SettingsHandle,
    /// The actor that folds them.
    pub actor: ActorRef<SettingsActor>,
    /// This instance.
    pub instance: InstanceId,
    /// Start of this instance.
    pub incarnation: Incarnation,
}

impl SnapshotWriter {
    /// Looks after snapshots until the task is dropped.
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
                Err(error) => warn!(error:% = error; "settings snapshot not written"),
            }
        }
    }

    fn is_due(&self, written: Option<(LogPosition, MonoTime)>, interval: Duration) -> bool {
        let state = self.handle.state();
        let now = self.clock.now();
        if state.log_failing || state.verdict(now) != FreshnessVerdict::Serve {
            return false;
        }
        written.is_none_or(|(version, written_at)| {
            let appends = state.active.version().offset().saturating_sub(version.offset());
            now.since(written_at) >= interval || appends >= MAX_APPENDS
        })
    }

    async fn is_writer(&self) -> bool {
        let own = weight(SNAPSHOT_SUBJECT, self.instance.as_str());
        let peers = self.peers.list().await;
        peers
            .iter()
            .all(|peer| weight(SNAPSHOT_SUBJECT, peer.member.instance.as_str()) < own)
    }

    async fn write(&self) -> Result<LogPosition, SnapshotFailure> {
        let fold = self
            .actor
            .ask(CloneFold)
            .await
            .map_err(|_| SnapshotFailure::Ended)?
            .0;
        let image = SettingsSnapshot::of(&fold);
        for part in split_snapshot(&image) {
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
        info!(version:% = image.version(); "settings snapshot written");
        Ok(image.version())
    }
}
