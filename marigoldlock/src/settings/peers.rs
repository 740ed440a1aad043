//! Exchange of settings with other instances.

use std::sync::Arc;
use std::time::Duration;

use async_trait::async_trait;
use kameo::actor::ActorRef;
use marigoldlock_core::settings::RelayCandidate;
use marigoldlock_wire::peer::{PeerRequest, PeerResponse, SettingsUpdate};
use marigoldlock_wire::prelude::*;

use super::actor::{ReadChanges, SettingsActor};
use super::handle::SettingsHandle;
use crate::clock::TimeSource;
use crate::members::MemberHandle;
use crate::peer::{PeerError, PeerPool};

/// Time added to the requested wait when waiting for a peer's answer.
const ANSWER_MARGIN: Duration = Duration::from_millis(500);

/// Maximum time for which a peer's request is held.
const MAX_WAIT: Duration = Duration::from_secs(5);

/// Silence from which a member is no longer asked, in milliseconds.
const MAX_SILENCE_MS: u64 = 3_000;

/// Another instance, as a source of settings.
#[derive(Clone, Debug)]
pub struct SettingsPeer {
    /// Name and data centre.
    pub member: RelayCandidate,
    /// Settings version in its last heartbeat.
    pub version: LogPosition,
}

/// The other instances, as sources of settings.
#[async_trait]
pub trait SettingsPeers: Send + Sync {
    /// Returns the instances that were heard recently.
    async fn list(&self) -> Vec<SettingsPeer>;

    /// Fetches the changes after a version from an instance, which may hold the request for up to `wait`.
    ///
    /// # Errors
    ///
    /// Fails if the instance does not answer within `wait` plus a margin for the network.
    async fn fetch(
        &self,
        instance: &InstanceId,
        after: LogPosition,
        wait: Duration,
    ) -> Result<Box<SettingsUpdate>, PeerError>;
}

/// The other instances, asked over the network.
pub struct NetworkPeers {
    members: MemberHandle,
    pool: PeerPool,
}

impl NetworkPeers {
    /// Creates the source over the members and a connection pool.
    pub fn new(members: MemberHandle, pool: PeerPool) -> Self {
        Self { members, pool }
    }

    async fn address(&self, instance: &InstanceId) -> Result<String, PeerError> {
        let members = self.members.list().await;
        let found = members.into_iter().find(|member| member.instance == *instance);
        found
            .map(|member| member.peer_address)
            .ok_or_else(|| PeerError::NotSent {
                address: instance.to_string(),
                reason: "it is not a member".to_owned(),
            })
    }
}

#[async_trait]
impl SettingsPeers for NetworkPeers {
    async fn list(&self) -> Vec<SettingsPeer> {
        let members = self.members.list().await.into_iter();
        let heard =
            members.filter(|member| member.silence_ms.is_some_and(|silence| silence < MAX_SILENCE_MS));
        let peers = heard.map(|member| SettingsPeer {
            member: RelayCandidate {
                instance: member.instance,
                data_centre: member.data_centre,
            },
            version: member.settings_version,
        });
        peers.collect()
    }

    async fn fetch(
        &self,
        instance: &InstanceId,
        after: LogPosition,
        wait: Duration,
    ) -> Result<Box<SettingsUpdate>, PeerError> {
        let address = self.address(instance).await?;
        let wait_ms = wait.as_millis() as u64;
        let request = PeerRequest::FetchSettings { after, wait_ms };
        match self
            .pool
            .request(&address, &request, wait + ANSWER_MARGIN)
            .await?
        {
            PeerResponse::Settings(answer) => Ok(answer),
            other => Err(PeerError::NoAnswer {
                address,
                reason: format!("unexpected answer: {other:?}"),
            }),
        }
    }
}

/// Answers the settings requests of other instances.
#[derive(Clone)]
pub struct SettingsServer {
    /// Clock of the instance.
    pub clock: Arc<dyn TimeSource>,
    /// Reader of the settings in force.
    pub handle: SettingsHandle,
    /// The settings actor.
    pub actor: ActorRef<SettingsActor>,
}

impl SettingsServer {
    /// Returns the changes after a version, waiting up to `wait` for newer ones.
    pub async fn answer(&self, after: LogPosition, wait: Duration) -> Box<SettingsUpdate> {
        let newer = self.handle.wait_for(|state| state.active.version() > after);
        let _ = tokio::time::timeout(wait.min(MAX_WAIT), newer).await;
        // The evidence is read before the settings, so the settings are at least as new as it states.
        let age = self.handle.state().age(self.clock.now());
        let reply = self.actor.ask(ReadChanges { after }).await;
        let mut answer = reply.map(|reply| reply.0).unwrap_or_default();
        answer.age_ms = age.map(|age| age.as_millis() as u64);
        Box::new(answer)
    }
}
