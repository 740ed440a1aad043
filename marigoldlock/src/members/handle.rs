//! Handle of the member actor.

use kameo::actor::{ActorRef, Spawn as _};
use marigoldlock_core::time::MonoTime;
use marigoldlock_wire::prelude::*;

use super::actor::{
    FindHome, GetAddresses, GetLogDownCode, KnownAddress, ListMembers, MemberActor, MemberSources,
    MemberStatus,
};

/// Handle of the member actor, shared by cloning.
#[derive(Clone)]
pub struct MemberHandle {
    actor: ActorRef<MemberActor>,
}

impl MemberHandle {
    /// Starts the actor.
    pub fn start(sources: MemberSources) -> Self {
        Self {
            actor: MemberActor::spawn_with_mailbox(sources, kameo::mailbox::unbounded()),
        }
    }

    /// Returns the actor itself.
    pub fn actor(&self) -> &ActorRef<MemberActor> {
        &self.actor
    }

    /// Returns the addresses that a caller may use, best first.
    pub async fn addresses(&self, caller: &str, own_address: Option<String>) -> Vec<KnownAddress> {
        let ask = GetAddresses {
            caller: caller.to_owned(),
            own_address,
        };
        self.actor.ask(ask).await.map(|known| known.0).unwrap_or_default()
    }

    /// Returns the peer address of the instance that remembers the keys with a home token.
    pub async fn home_address(&self, home: Incarnation) -> Option<String> {
        self.actor.ask(FindHome(home)).await.ok().flatten()
    }

    /// Returns the incarnations of the other instances that are currently heard.
    pub async fn heard_incarnations(&self) -> FastSet<Incarnation> {
        let members = self.list().await;
        let heard = members.iter().filter(|member| member.is_heard);
        heard.filter_map(|member| member.incarnation).collect()
    }

    /// Returns the result code for a call with an unknown plain key during a log outage.
    pub async fn log_down_code(&self, position: LogPosition, fresh: MonoTime) -> ResultCode {
        let code = self.actor.ask(GetLogDownCode { position, fresh }).await;
        code.ok().flatten().unwrap_or(ResultCode::ClaimUnconfirmed)
    }

    /// Returns all members except this instance, sorted by name.
    pub async fn list(&self) -> Vec<MemberStatus> {
        self.actor
            .ask(ListMembers)
            .await
            .map(|list| list.0)
            .unwrap_or_default()
    }
}
