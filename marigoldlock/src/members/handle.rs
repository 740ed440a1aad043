//! Asking about the other instances.

use kameo::actor::{ActorRef, Spawn as _};
use marigoldlock_core::time::MonoTime;
use marigoldlock_wire::prelude::*;

use super::actor::{
    AskAddresses, AskLogDown, FindHome, KnownAddress, ListMembers, MemberActor, MemberSources, MemberStatus,
};

/// Way to the member actor.
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

    /// The actor itself.
    pub fn actor(&self) -> &ActorRef<MemberActor> {
        &self.actor
    }

    /// Addresses that a caller may use, best first.
    pub async fn addresses(&self, caller: &str, own_address: Option<String>) -> Vec<KnownAddress> {
        let ask = AskAddresses {
            caller: caller.to_owned(),
            own_address,
        };
        self.actor.ask(ask).await.map(|known| known.0).unwrap_or_default()
    }

    /// Peer address of the instance whose keys have the home token.
    pub async fn peer_of_home(&self, home: Incarnation) -> Option<String> {
        self.actor.ask(FindHome(home)).await.ok().flatten()
    }

    /// Incarnations that are heard, without this one.
    pub async fn heard(&self) -> FastSet<Incarnation> {
        let members = self.list().await;
        let heard = members.iter().filter(|member| member.is_heard);
        heard.filter_map(|member| member.incarnation).collect()
    }

    /// What a plain key that is not known may be told while the log is down.
    pub async fn log_down_code(&self, position: LogPosition, fresh: MonoTime) -> ResultCode {
        let code = self.actor.ask(AskLogDown { position, fresh }).await;
        code.ok().flatten().unwrap_or(ResultCode::ClaimUnconfirmed)
    }

    /// All members but this instance, by name.
    pub async fn list(&self) -> Vec<MemberStatus> {
        self.actor
            .ask(ListMembers)
            .await
            .map(|list| list.0)
            .unwrap_or_default()
    }
}
