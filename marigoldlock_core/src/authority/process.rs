//! State machine of one process for all duties of the control stream.
//!
//! It does no I/O. The control actor and the model check drive the same type: they pass it the appends read
//! from the log, the clock and the results of its sends, and carry out the appends and sends that it returns.

use marigoldlock_wire::record::Envelope;
use marigoldlock_wire::record::authority::{AuthorityRecord, ControlRecord, Duty, HolderId};

use super::{ControlChange, ControlFold, DutyAuthority, DutyHolder, Fault, LeaseTiming};
use crate::orders::{OrderDispatcher, OrderEffect, OrderTiming};
use crate::prelude::*;
use crate::usage::{SendReport, UsageReporter, UsageTiming};

/// Inputs of the process besides the log.
pub struct ControlView<'a> {
    /// All duties of the fleet.
    pub duties: &'a [Duty],
    /// Live instances, including the process's own.
    pub alive: &'a [InstanceId],
    /// Whether a process has ended according to the platform's list.
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

/// Fold and duties of one process.
#[derive(Clone, Debug, Eq, Hash, PartialEq)]
pub struct ControlProcess {
    fold: ControlFold,
    holder: DutyHolder,
    orders: OrderDispatcher,
    usage: UsageReporter,
}

impl ControlProcess {
    /// A process that continues from a fold.
    pub fn new(me: HolderId, timing: ControlTiming, fold: ControlFold) -> Self {
        Self {
            fold,
            holder: DutyHolder::new(me.clone(), timing.lease),
            orders: OrderDispatcher::new(me.clone(), timing.orders),
            usage: UsageReporter::new(me, timing.usage),
        }
    }

    /// Disables a rule, for the model checker.
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

    /// Leases and claims, to report the results of appends.
    pub fn holder_mut(&mut self) -> &mut DutyHolder {
        &mut self.holder
    }

    /// Orders.
    pub fn orders(&self) -> &OrderDispatcher {
        &self.orders
    }

    /// Orders, to propose one or to report the result of one.
    pub fn orders_mut(&mut self) -> &mut OrderDispatcher {
        &mut self.orders
    }

    /// Usage.
    pub fn usage(&self) -> &UsageReporter {
        &self.usage
    }

    /// Usage, to count requests or to report the result of a usage report.
    pub fn usage_mut(&mut self) -> &mut UsageReporter {
        &mut self.usage
    }

    /// Permission to act under a duty now, if the process has it.
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

    /// Updates the duties after the fold was restored from a snapshot.
    pub fn observe_restored(&mut self, now: MonoTime) {
        self.holder
            .observe(self.fold.authority(), RecordId::default(), now);
        self.orders.observe(self.fold.orders(), now);
        self.usage.observe(self.fold.usage(), now);
    }

    /// Records to append now, all in one append. Called only while no append is in flight.
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

    /// Senders of outstanding orders and reports, each with its duty and whether a write of this process for
    /// it may be in flight.
    fn senders(&self, now: MonoTime) -> impl Iterator<Item = (&HolderId, &Duty, bool)> {
        let orders = self.fold.orders().iter().filter_map(move |(intent, order)| {
            let sender = order.sender.as_ref()?;
            Some((sender, &order.duty, self.orders.may_be_in_flight(intent, now)))
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
                    self.usage.may_be_in_flight(customer, *window, now),
                ))
            });
        orders.chain(reports)
    }

    /// Records that former holders have stopped, due now.
    fn due_stops(&self, view: &ControlView<'_>) -> Vec<AuthorityRecord> {
        let mut stopped: Vec<HolderId> = self
            .senders(view.now)
            .filter(|(sender, duty, _)| self.is_former_holder(sender, duty))
            .map(|(sender, ..)| sender.clone())
            .filter(|sender| self.has_stopped(sender, view))
            .collect();
        stopped.sort();
        stopped.dedup();
        stopped
            .into_iter()
            .map(|holder| AuthorityRecord::Stopped { holder })
            .collect()
    }

    fn is_former_holder(&self, sender: &HolderId, duty: &Duty) -> bool {
        self.fold
            .authority()
            .held(duty)
            .is_some_and(|head| head.holder != *sender)
    }

    /// Whether a former holder sends nothing more. For this process no send may be in flight; another process
    /// must have ended according to the platform's list.
    fn has_stopped(&self, sender: &HolderId, view: &ControlView<'_>) -> bool {
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
