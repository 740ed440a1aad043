//! Which duties there are, and which processes live.

use marigoldlock_core::time::MonoTime;
use marigoldlock_core::usage::USAGE_SHARDS;
use marigoldlock_wire::prelude::*;
use marigoldlock_wire::record::authority::{Duty, HolderId};

use super::actor::ControlActor;

impl ControlActor {
    pub(super) async fn refresh_members(&mut self) {
        let Some(members) = &self.sources.members else {
            return;
        };
        self.members = members.list().await;
        let now = self.now();
        if !self.members.is_empty() {
            self.members_at.get_or_insert(now);
        }
        for member in &self.members {
            self.present_at.insert(member.instance.clone(), now);
        }
    }

    /// Whether a process has ended: its instance has long been neither listed nor heard, or was started
    /// again. A name is started again only after its process has ended.
    pub(super) fn is_gone(&self, holder: &HolderId, now: MonoTime) -> bool {
        let own = &self.sources.own;
        if holder.instance == own.instance {
            return holder.incarnation != own.incarnation;
        }
        let member = self
            .members
            .iter()
            .find(|member| member.instance == holder.instance);
        if let Some(member) = member {
            let other = member.incarnation.filter(|other| *other != holder.incarnation);
            return member.is_heard && other.is_some();
        }
        let present_at = self.present_at.get(&holder.instance).copied();
        present_at
            .max(self.members_at)
            .is_some_and(|at| now.since(at) >= self.sources.gone_after)
    }

    pub(super) fn is_heard(&self, holder: &HolderId) -> bool {
        self.members
            .iter()
            .any(|member| member.is_heard && member.incarnation == Some(holder.incarnation))
    }

    /// Former senders of outstanding work that have ended.
    pub(super) fn gone_senders(&self, now: MonoTime) -> FastSet<HolderId> {
        let Some(process) = &self.process else {
            return FastSet::default();
        };
        let fold = process.fold();
        let orders = fold.orders().iter().filter_map(|(_, order)| order.sender.clone());
        let reports = fold
            .usage()
            .unreported()
            .filter_map(|(_, frozen)| frozen.sender.clone());
        orders
            .chain(reports)
            .filter(|sender| self.is_gone(sender, now))
            .collect()
    }

    pub(super) fn duties(&self) -> Vec<Duty> {
        let own = std::iter::once(&self.sources.data_centre);
        let mut data_centres: Vec<_> = self
            .members
            .iter()
            .map(|member| &member.data_centre)
            .chain(own)
            .collect();
        data_centres.sort();
        data_centres.dedup();
        let orders = data_centres.into_iter().map(|data_centre| Duty::Orders {
            data_centre: data_centre.clone(),
        });
        let has_reports = self.sources.reports.is_some();
        let usage = (0..USAGE_SHARDS)
            .filter(|_| has_reports)
            .map(|shard| Duty::Usage { shard });
        orders.chain(usage).chain([Duty::Snapshots]).collect()
    }

    pub(super) fn alive(&self) -> Vec<InstanceId> {
        let heard = self.members.iter().filter(|member| member.is_heard);
        heard
            .map(|member| member.instance.clone())
            .chain([self.sources.own.instance.clone()])
            .collect()
    }
}
