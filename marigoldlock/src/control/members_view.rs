//! The control actor's view of the members: existing duties and live processes.

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
            self.members_known_at.get_or_insert(now);
        }
        for member in &self.members {
            self.last_present.insert(member.instance.clone(), now);
        }
    }

    /// Returns true if a process has terminated.
    ///
    /// That is the case if its instance has been missing from the members for a long time or was restarted. An
    /// instance is restarted under its name only after its old process has terminated.
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
        let last_present = self.last_present.get(&holder.instance).copied();
        last_present
            .max(self.members_known_at)
            .is_some_and(|at| now.since(at) >= self.sources.gone_after)
    }

    pub(super) fn is_heard(&self, holder: &HolderId) -> bool {
        self.members
            .iter()
            .any(|member| member.is_heard && member.incarnation == Some(holder.incarnation))
    }

    /// Returns the senders of outstanding orders and reports that have terminated.
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
