//! Task that fetches settings from the log or from a relay.

use std::sync::Arc;
use std::time::Duration;

use derive_more::{Display, Error, From};
use kameo::actor::ActorRef;
use kameo::message::Message;
use log::{debug, warn};
use marigoldlock_core::settings::{RelayCandidate, SettingsSource, SourceChooser};
use marigoldlock_wire::prelude::*;
use marigoldlock_wire::record::SETTINGS_STREAM;

use super::actor::{
    AdoptFold, ApplyBatch, ApplyPeerAnswer, MAX_FRESH_AGE, RecordLogFailure, RecordNewestVersion,
    SettingsActor,
};
use super::handle::SettingsHandle;
use super::peers::{SettingsPeer, SettingsPeers};
use super::replica::read_start;
use crate::clock::TimeSource;
use crate::peer::PeerError;
use crate::platform::{LogClient, LogError};

/// Maximum number of records per read.
const MAX_READ_RECORDS: usize = 512;

/// Delay before the next attempt after a source failed.
const RETRY_DELAY: Duration = Duration::from_millis(100);

/// Why fetching from a source failed.
#[derive(Debug, Display, Error, From)]
enum PullError {
    #[display("{_0}")]
    Log(LogError),
    #[display("{_0}")]
    Peer(PeerError),
    /// The peer answered, but is itself cut off from the log.
    #[display("the peer's settings are not fresh (age in ms: {age_ms:?})")]
    #[from(ignore)]
    Stale { age_ms: Option<u64> },
    /// Records expired before they were read, and no snapshot covers them.
    #[display("the log keeps settings from offset {first} on, and no snapshot covers the earlier records")]
    #[from(ignore)]
    Expired { first: u64 },
}

/// Task that keeps the settings actor up to date.
///
/// While the log is readable, it asks the sources in the order of [`SourceChooser`].
pub struct SettingsFollower {
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
    pub own: RelayCandidate,
}

impl SettingsFollower {
    /// Runs until the task is dropped.
    pub async fn run(self) {
        let mut chooser = SourceChooser::new(self.own.clone());
        loop {
            self.step(&mut chooser).await;
        }
    }

    /// Fetches once from one source.
    async fn step(&self, chooser: &mut SourceChooser) {
        let peers = self.peers.list().await;
        let newest = peers.iter().max_by_key(|peer| peer.version);
        self.ask_actor(RecordNewestVersion(
            newest.map(|peer| peer.version).unwrap_or_default(),
        ))
        .await;
        let source = self.source(chooser, &peers, newest);
        let now = self.clock.now();
        match self.pull(&source).await {
            Ok(()) => chooser.note_success(&source),
            Err(error) => {
                warn!(source:? = source, error:% = error; "fetching settings from a source failed");
                chooser.note_failure(&source, now);
                if source == SettingsSource::Log {
                    self.ask_actor(RecordLogFailure).await;
                }
                tokio::time::sleep(RETRY_DELAY).await;
            }
        }
    }

    /// Chooses the source; while the log fails, a member with newer settings is preferred to the relays.
    fn source(
        &self,
        chooser: &SourceChooser,
        peers: &[SettingsPeer],
        newest: Option<&SettingsPeer>,
    ) -> SettingsSource {
        let state = self.handle.state();
        let ahead = newest.filter(|peer| state.log.is_failing && peer.version > state.active.version());
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
        let sent_at = self.clock.now();
        let from = self.handle.active().version().offset();
        // Before the first successful read there are no settings to serve with, so the read must not wait.
        let wait = if self.handle.state().age(sent_at).is_none() {
            Duration::ZERO
        } else {
            wait
        };
        let batch = self
            .log
            .read(SETTINGS_STREAM, from, MAX_READ_RECORDS, wait)
            .await?;
        if batch.first > from {
            return self.load_snapshot(batch.first).await;
        }
        let is_head = batch.next_offset(from) >= batch.head;
        self.ask_actor(ApplyBatch {
            records: batch.records,
            sent_at,
            is_head,
        })
        .await;
        Ok(())
    }

    async fn load_snapshot(&self, first: u64) -> Result<(), PullError> {
        let start = read_start(self.log.as_ref(), first).await?;
        let fold = start.ok_or(PullError::Expired { first })?;
        self.ask_actor(AdoptFold(Box::new(fold))).await;
        Ok(())
    }

    async fn pull_peer(&self, instance: &InstanceId, wait: Duration) -> Result<(), PullError> {
        let sent_at = self.clock.now();
        let after = self.handle.active().version();
        let answer = self.peers.fetch(instance, after, wait).await?;
        let age_ms = answer.age_ms;
        self.ask_actor(ApplyPeerAnswer { sent_at, answer }).await;
        let is_fresh = age_ms.is_some_and(|age| Duration::from_millis(age) <= MAX_FRESH_AGE);
        if is_fresh {
            Ok(())
        } else {
            Err(PullError::Stale { age_ms })
        }
    }

    /// Sends a message to the actor and waits until it is handled.
    async fn ask_actor<M: Send + 'static>(&self, message: M)
    where
        SettingsActor: Message<M, Reply = ()>,
    {
        if self.actor.ask(message).await.is_err() {
            debug!("the settings actor has stopped");
        }
    }
}
