//! Asking other instances for settings, and answering them.

use std::sync::Arc;
use std::time::Duration;

use async_trait::async_trait;
use kameo::actor::ActorRef;
use marigoldlock_core::settings::RelayCandidate;
use marigoldlock_wire::peer::{PeerRequest, PeerResponse, SettingsNews};
use marigoldlock_wire::prelude::*;

use super::actor::{ReadNews, SettingsActor};
use super::handle::SettingsHandle;
use crate::clock::TimeSource;
use crate::members::MemberHandle;
use crate::peer::{PeerError, PeerPool};

/// Time that an answer may take beyond the wait that was asked for.
const ANSWER_GRACE: Duration = Duration::from_millis(500);

/// Longest time that a peer's request is kept waiting.
const MAX_WAIT: Duration = Duration::from_secs(5);

/// Silence from which a member is not asked.
const MAX_SILENCE_MS: u64 = 3_000;

/// Another instance, as a source of settings.
#[derive(Clone, Debug)]
pub struct SettingsPeer {
    /// Name and data centre.
    pub member: RelayCandidate,
    /// Version that it was last heard to have.
    pub version: LogPosition,
}

/// The other instances, as sources of settings.
#[async_trait]
pub trait SettingsPeers: Send + Sync {
    /// The instances that were heard lately.
    async fn list(&self) -> Vec<SettingsPeer>;

    /// What an instance has after a version.
    ///
    /// # Errors
    ///
    /// Fails if the instance does not answer within the wait and a little more.
    async fn fetch(
        &self,
        instance: &InstanceId,
        after: LogPosition,
        wait: Duration,
    ) -> Result<Box<SettingsNews>, PeerError>;
}

/// The other instances over the network.
pub struct NetworkPeers {
    members: MemberHandle,
    pool: PeerPool,
}

impl NetworkPeers {
    /// The members, asked over the pool's connections.
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
    ) -> Result<Box<SettingsNews>, PeerError> {
        let address = self.address(instance).await?;
        let wait_ms = wait.as_millis() as u64;
        let request = PeerRequest::FetchSettings { after, wait_ms };
        match self.pool.request(&address, &request, wait + ANSWER_GRACE).await? {
            PeerResponse::Settings(news) => Ok(news),
            other => Err(PeerError::NoAnswer {
                address,
                reason: format!("unexpected answer: {other:?}"),
            }),
        }
    }
}

/// Answers the other instances.
#[derive(Clone)]
pub struct SettingsServer {
    /// Clock of the instance.
    pub clock: Arc<dyn TimeSource>,
    /// Settings in force.
    pub handle: SettingsHandle,
    /// The actor that folds them.
    pub actor: ActorRef<SettingsActor>,
}

impl SettingsServer {
    /// What this instance has after a version, waiting for something newer.
    pub async fn answer(&self, after: LogPosition, wait: Duration) -> Box<SettingsNews> {
        let newer = self.handle.wait_for(|state| state.active.version() > after);
        let _ = tokio::time::timeout(wait.min(MAX_WAIT), newer).await;
        // The evidence is read first: what is folded later can only be newer than it claims.
        let age = self.handle.state().age(self.clock.now());
        let reply = self.actor.ask(ReadNews { after }).await;
        let mut news = reply.map(|reply| reply.0).unwrap_or_default();
        news.age_ms = age.map(|age| age.as_millis() as u64);
        Box::new(news)
    }
}
