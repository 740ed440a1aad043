//! Following the settings, at the log or at a relay.

use std::sync::Arc;
use std::time::Duration;

use derive_more::{Display, Error, From};
use kameo::actor::ActorRef;
use kameo::message::Message;
use log::{debug, warn};
use marigoldlock_core::settings::{RelayCandidate, SettingsSource, SourceChooser};
use marigoldlock_wire::prelude::*;
use marigoldlock_wire::record::SETTINGS_STREAM;

use super::actor::{AdoptFold, FRESH_EVIDENCE, FoldBatch, NoteFailure, NoteNewest, SettingsActor, TakeNews};
use super::handle::SettingsHandle;
use super::peers::{SettingsPeer, SettingsPeers};
use super::replica::read_start;
use crate::clock::TimeSource;
use crate::peer::PeerError;
use crate::platform::{LogClient, LogError};

/// Most records of one read.
const READ_BATCH: usize = 512;

/// Pause after a source failed.
const FAILURE_PAUSE: Duration = Duration::from_millis(100);

/// Why a source gave nothing.
#[derive(Debug, Display, Error, From)]
enum PullError {
    #[display("{_0}")]
    Log(LogError),
    #[display("{_0}")]
    Peer(PeerError),
    /// The peer answers and is itself cut off from the log.
    #[display("the peer has had no fresh settings for {age_ms:?} ms")]
    #[from(ignore)]
    Stale { age_ms: Option<u64> },
    /// Records have expired unread and no snapshot covers them.
    #[display("the settings are kept from offset {first} on and no snapshot covers what came before")]
    #[from(ignore)]
    Expired { first: u64 },
}

/// Task that keeps the settings actor up to date.
pub struct SettingsFollower {
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
    pub own: RelayCandidate,
}

impl SettingsFollower {
    /// Follows until the task is dropped.
    pub async fn run(self) {
        let mut chooser = SourceChooser::new(self.own.clone());
        loop {
            self.step(&mut chooser).await;
        }
    }

    /// Asks one source once.
    async fn step(&self, chooser: &mut SourceChooser) {
        let peers = self.peers.list().await;
        let newest = peers.iter().max_by_key(|peer| peer.version);
        self.tell(NoteNewest(newest.map(|peer| peer.version).unwrap_or_default()))
            .await;
        let source = self.source(chooser, &peers, newest);
        let now = self.clock.now();
        match self.pull(&source).await {
            Ok(()) => chooser.note_success(&source),
            Err(error) => {
                warn!(source:? = source, error:% = error; "no settings from the source");
                chooser.note_failure(&source, now);
                if source == SettingsSource::Log {
                    self.tell(NoteFailure).await;
                }
                tokio::time::sleep(FAILURE_PAUSE).await;
            }
        }
    }

    /// While the log fails, the member that has something newer goes before the relays.
    fn source(
        &self,
        chooser: &SourceChooser,
        peers: &[SettingsPeer],
        newest: Option<&SettingsPeer>,
    ) -> SettingsSource {
        let state = self.handle.state();
        let ahead = newest.filter(|peer| state.log_failing && peer.version > state.active.version());
        if let Some(peer) = ahead {
            return SettingsSource::Peer(peer.member.instance.clone());
        }
        let others = peers.iter().map(|peer| peer.member.clone());
        let members: Vec<_> = others.chain([self.own.clone()]).collect();
        let relays = state.active.fleet().spread.relays_per_data_centre as usize;
        chooser.choose(&members, relays, self.clock.now())
    }

    async fn pull(&self, source: &SettingsSource) -> Result<(), PullError> {
        let wait = Duration::from_millis(self.handle.active().fleet().spread.pull_wait_ms);
        match source {
            SettingsSource::Log => self.pull_log(wait).await,
            SettingsSource::Peer(instance) => self.pull_peer(instance, wait).await,
        }
    }

    async fn pull_log(&self, wait: Duration) -> Result<(), PullError> {
        let asked = self.clock.now();
        let from = self.handle.active().version().offset();
        // Before the first read there is nothing to serve with, so nothing is waited for.
        let wait = if self.handle.state().age(asked).is_none() {
            Duration::ZERO
        } else {
            wait
        };
        let batch = self.log.read(SETTINGS_STREAM, from, READ_BATCH, wait).await?;
        if batch.first > from {
            return self.load_snapshot(batch.first).await;
        }
        let fresh = (batch.next_offset(from) >= batch.head).then_some(asked);
        self.tell(FoldBatch {
            records: batch.records,
            fresh,
        })
        .await;
        Ok(())
    }

    async fn load_snapshot(&self, first: u64) -> Result<(), PullError> {
        let start = read_start(self.log.as_ref(), first).await?;
        let fold = start.ok_or(PullError::Expired { first })?;
        self.tell(AdoptFold(Box::new(fold))).await;
        Ok(())
    }

    async fn pull_peer(&self, instance: &InstanceId, wait: Duration) -> Result<(), PullError> {
        let sent_at = self.clock.now();
        let after = self.handle.active().version();
        let news = self.peers.fetch(instance, after, wait).await?;
        let age_ms = news.age_ms;
        self.tell(TakeNews { sent_at, news }).await;
        let is_fresh = age_ms.is_some_and(|age| Duration::from_millis(age) <= FRESH_EVIDENCE);
        if is_fresh {
            Ok(())
        } else {
            Err(PullError::Stale { age_ms })
        }
    }

    /// Hands a message to the actor and waits until it is handled.
    async fn tell<M: Send + 'static>(&self, message: M)
    where
        SettingsActor: Message<M, Reply = ()>,
    {
        if self.actor.ask(message).await.is_err() {
            debug!("the settings actor has ended");
        }
    }
}
