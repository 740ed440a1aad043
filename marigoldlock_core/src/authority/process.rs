//! One process's part in all duties of the control stream.
//!
//! The shell and the model check drive the same type: they hand it folded appends, the clock and what became
//! of its sends, and carry out the records and effects that it gives.

use marigoldlock_wire::record::Envelope;
use marigoldlock_wire::record::authority::{AuthorityRecord, ControlRecord, Duty, HolderId};

use super::{ControlChange, ControlFold, DutyAuthority, DutyHolder, Fault, LeaseTiming};
use crate::orders::{OrderDispatcher, OrderEffect, OrderTiming};
use crate::prelude::*;
use crate::usage::{SendReport, UsageReporter, UsageTiming};

/// What the process knows besides the log.
pub struct ControlView<'a> {
    /// Duties that there are.
    pub duties: &'a [Duty],
    /// Instances that are alive, the process's own among them.
    pub alive: &'a [InstanceId],
    /// Whether a process has ended, as the platform's list shows.
    pub is_gone: &'a dyn Fn(&HolderId) -> bool,
    /// The usage window that is still open.
    pub open_window: u64,
    /// The process's clock.
    pub now: MonoTime,
}

/// Durations of all control duties.
#[derive(Clone, Copy, Debug, Default, Eq, Hash, PartialEq)]
pub struct ControlTiming {
    /// Leases.
    pub lease: LeaseTiming,
    /// Orders.
    pub orders: OrderTiming,
    /// Usage reports.
    pub usage: UsageTiming,
}

/// State of one process.
#[derive(Clone, Debug, Eq, Hash, PartialEq)]
pub struct ControlProcess {
    fold: ControlFold,
    holder: DutyHolder,
    orders: OrderDispatcher,
    usage: UsageReporter,
}

impl ControlProcess {
    /// A process that goes on from a fold.
    pub fn new(me: HolderId, timing: ControlTiming, fold: ControlFold) -> Self {
        Self {
            fold,
            holder: DutyHolder::new(me.clone(), timing.lease),
            orders: OrderDispatcher::new(me.clone(), timing.orders),
            usage: UsageReporter::new(me, timing.usage),
        }
    }

    /// Leaves a rule out, for the model check.
    pub fn with_fault(self, fault: Option<Fault>) -> Self {
        Self {
            fold: self.fold,
            holder: self.holder.with_fault(fault),
            orders: self.orders.with_fault(fault),
            usage: self.usage.with_fault(fault),
        }
    }

    /// The folded control stream.
    pub fn fold(&self) -> &ControlFold {
        &self.fold
    }

    /// Leases and claims.
    pub fn holder(&self) -> &DutyHolder {
        &self.holder
    }

    /// Leases and claims, to tell what became of appends.
    pub fn holder_mut(&mut self) -> &mut DutyHolder {
        &mut self.holder
    }

    /// Orders.
    pub fn orders(&self) -> &OrderDispatcher {
        &self.orders
    }

    /// Orders, to ask for one or to tell what became of one.
    pub fn orders_mut(&mut self) -> &mut OrderDispatcher {
        &mut self.orders
    }

    /// Usage.
    pub fn usage(&self) -> &UsageReporter {
        &self.usage
    }

    /// Usage, to count or to tell what became of a report.
    pub fn usage_mut(&mut self) -> &mut UsageReporter {
        &mut self.usage
    }

    /// Leave to act under a duty now.
    pub fn authority(&self, duty: &Duty, now: MonoTime) -> Option<DutyAuthority> {
        self.holder.authority(self.fold.authority(), duty, now)
    }

    /// Folds the append at `offset`.
    pub fn fold_append(
        &mut self,
        offset: u64,
        envelope: &Envelope<ControlRecord>,
        now: MonoTime,
    ) -> Vec<ControlChange> {
        let changes = self.fold.apply(offset, envelope);
        self.holder.observe(self.fold.authority(), envelope.id, now);
        self.orders.observe(self.fold.orders(), now);
        self.usage.observe(self.fold.usage(), now);
        changes
    }

    /// Takes note of a fold that was restored from a snapshot.
    pub fn observe_restored(&mut self, now: MonoTime) {
        self.holder
            .observe(self.fold.authority(), RecordId::default(), now);
        self.orders.observe(self.fold.orders(), now);
        self.usage.observe(self.fold.usage(), now);
    }

    /// Records to append now in one append; asked only while none is on the way.
    pub fn due_records(&mut self, view: &ControlView<'_>) -> Vec<ControlRecord> {
        let now = view.now;
        let authority = self
            .holder
            .due_records(self.fold.authority(), view.duties, view.alive, now);
        let stops = self.due_stops(view);
        let may_act = |duty: &Duty| self.authority(duty, now);
        let orders = self.orders.due_records(self.fold.orders(), &may_act, now);
        let usage = self
            .usage
            .due_records(self.fold.usage(), &may_act, view.open_window);
        authority
            .into_iter()
            .chain(stops)
            .map(ControlRecord::Authority)
            .chain(orders.into_iter().map(ControlRecord::Order))
            .chain(usage.into_iter().map(ControlRecord::Usage))
            .collect()
    }

    /// Senders of what is outstanding, with the duty and whether a write of this process may be under way.
    fn senders(&self, now: MonoTime) -> impl Iterator<Item = (&HolderId, &Duty, bool)> {
        let orders = self.fold.orders().iter().filter_map(move |(intent, order)| {
            let sender = order.sender.as_ref()?;
            Some((sender, &order.duty, self.orders.may_be_sending(intent, now)))
        });
        let reports = self
            .fold
            .usage()
            .unreported()
            .filter_map(move |((customer, window), frozen)| {
                let sender = frozen.sender.as_ref()?;
                Some((
                    sender,
                    &frozen.duty,
                    self.usage.may_be_sending(customer, *window, now),
                ))
            });
        orders.chain(reports)
    }

    fn due_stops(&self, view: &ControlView<'_>) -> Vec<AuthorityRecord> {
        let mut stopped: Vec<HolderId> = self
            .senders(view.now)
            .filter(|(sender, duty, _)| self.is_former(sender, duty))
            .map(|(sender, ..)| sender.clone())
            .filter(|sender| self.has_ended(sender, view))
            .collect();
        stopped.sort();
        stopped.dedup();
        stopped
            .into_iter()
            .map(|holder| AuthorityRecord::Stopped { holder })
            .collect()
    }

    fn is_former(&self, sender: &HolderId, duty: &Duty) -> bool {
        self.fold
            .authority()
            .held(duty)
            .is_some_and(|head| head.holder != *sender)
    }

    fn has_ended(&self, sender: &HolderId, view: &ControlView<'_>) -> bool {
        if sender == self.holder.me() {
            return !self
                .senders(view.now)
                .any(|(other, _, is_sending)| other == sender && is_sending);
        }
        let holds_any = view
            .duties
            .iter()
            .any(|duty| self.authority(duty, view.now).is_some());
        holds_any && (view.is_gone)(sender)
    }

    /// Orders and look-ups to send now.
    pub fn due_order_effects(&mut self, now: MonoTime) -> Vec<OrderEffect> {
        let Self {
            fold, holder, orders, ..
        } = self;
        let may_act = |duty: &Duty| holder.authority(fold.authority(), duty, now);
        orders.due_effects(fold.orders(), &may_act, now)
    }

    /// Usage reports to send now.
    pub fn due_reports(&mut self, open_window: u64, now: MonoTime) -> Vec<SendReport> {
        let Self {
            fold, holder, usage, ..
        } = self;
        let may_act = |duty: &Duty| holder.authority(fold.authority(), duty, now);
        usage.due_reports(fold.usage(), &may_act, open_window, now)
    }
}
