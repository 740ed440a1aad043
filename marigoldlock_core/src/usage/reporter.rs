//! Decides what one process freezes and reports.

use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

use marigoldlock_wire::platform::UsageFigure;
use marigoldlock_wire::record::authority::{Duty, HolderId};
use marigoldlock_wire::record::usage::UsageRecord;

use super::{UsageCounts, UsageLedger, add_figures, shard_of};
use crate::authority::Fault;
use crate::orders::AuthorityView;
use crate::prelude::*;
use crate::time::ORDER_LIFETIME;

/// Durations of the usage duty.
#[derive(Clone, Copy, Debug, Eq, Hash, PartialEq)]
pub struct UsageTiming {
    /// Delay before a failed report is repeated.
    pub retry_delay: Duration,
    /// Maximum time between writing a report and its arrival.
    pub order_lifetime: Duration,
}

impl Default for UsageTiming {
    fn default() -> Self {
        Self {
            retry_delay: Duration::from_secs(1),
            order_lifetime: ORDER_LIFETIME,
        }
    }
}

/// A report to send.
#[derive(Clone, Debug, Eq, Hash, PartialEq)]
pub struct SendReport {
    /// The customer.
    pub customer: CustomerId,
    /// The window.
    pub window: u64,
    /// The frozen figure.
    pub figure: UsageFigure,
    /// Epoch of the reporter.
    pub epoch: Epoch,
    /// The report is written before this time or not at all. Checking the clock and writing are one step.
    pub not_after: MonoTime,
}

#[derive(Clone, Copy, Debug, Eq, Hash, PartialEq)]
enum ReportProgress {
    Sent,
    Unanswered {
        retry_at: MonoTime,
        latest_arrival: MonoTime,
    },
    Accepted,
}

/// Counts and reports of one process.
#[derive(Clone, Debug, Eq, Hash, PartialEq)]
pub struct UsageReporter {
    me: HolderId,
    timing: UsageTiming,
    counts: UsageCounts,
    progress: BTreeMap<(CustomerId, u64), ReportProgress>,
    /// Windows that another process may be reporting.
    sent_by_others: BTreeSet<(CustomerId, u64)>,
    fault: Option<Fault>,
}

impl UsageReporter {
    /// A reporter without counts.
    pub fn new(me: HolderId, timing: UsageTiming) -> Self {
        let counts = UsageCounts::new(me.clone());
        Self {
            me,
            timing,
            counts,
            progress: BTreeMap::new(),
            sent_by_others: BTreeSet::new(),
            fault: None,
        }
    }

    /// Disables a rule, for the model checker.
    pub fn with_fault(self, fault: Option<Fault>) -> Self {
        Self { fault, ..self }
    }

    /// The counts.
    pub fn counts(&self) -> &UsageCounts {
        &self.counts
    }

    /// The counts, to add to.
    pub fn counts_mut(&mut self) -> &mut UsageCounts {
        &mut self.counts
    }

    /// Updates reports and counts after an append was folded.
    pub fn observe(&mut self, ledger: &UsageLedger, now: MonoTime) {
        self.update_senders(ledger, now);
        self.progress
            .retain(|(customer, window), _| ledger.frozen(customer, *window).is_some());
        self.counts.prune(ledger);
    }

    /// Marks reports that this process takes over as unanswered. The lifetime of the predecessor's last write
    /// counts from when the predecessor is known to have stopped.
    fn update_senders(&mut self, ledger: &UsageLedger, now: MonoTime) {
        let latest_arrival = now + self.timing.order_lifetime;
        for (key, frozen) in ledger.unreported() {
            if frozen.sender.as_ref() != Some(&self.me) {
                self.sent_by_others.insert(key.clone());
                continue;
            }
            if self.sent_by_others.remove(key) && self.fault != Some(Fault::AdoptEarly) {
                let unanswered = ReportProgress::Unanswered {
                    retry_at: latest_arrival,
                    latest_arrival,
                };
                self.progress.insert(key.clone(), unanswered);
            }
        }
        self.sent_by_others
            .retain(|(customer, window)| ledger.frozen(customer, *window).is_some());
    }

    /// Records to append now; windows before `open` have ended.
    pub fn due_records(
        &self,
        ledger: &UsageLedger,
        view: &impl AuthorityView,
        open: u64,
    ) -> Vec<UsageRecord> {
        let reported = self
            .progress
            .iter()
            .filter(|((customer, window), progress)| {
                **progress == ReportProgress::Accepted && ledger.frozen(customer, *window).is_some()
            })
            .map(|((customer, window), _)| UsageRecord::Reported {
                customer: customer.clone(),
                window: *window,
            });
        let freezes = self.due_freezes(ledger, view, open);
        reported.chain(freezes).collect()
    }

    fn due_freezes(
        &self,
        ledger: &UsageLedger,
        view: &impl AuthorityView,
        open: u64,
    ) -> impl Iterator<Item = UsageRecord> {
        self.counts
            .due_counts(ledger, open)
            .into_iter()
            .filter(|(customer, (window, _))| ledger.last_frozen(customer).is_none_or(|last| last < *window))
            .filter_map(|(customer, (window, counts))| {
                let duty = Duty::Usage {
                    shard: shard_of(&customer),
                };
                let epoch = view.authority(&duty)?.epoch;
                Some(UsageRecord::Freeze {
                    customer,
                    window,
                    epoch,
                    counts,
                })
            })
    }

    /// Reports to send now. The caller reports the result of each by an `on_` method.
    pub fn due_reports(
        &mut self,
        ledger: &UsageLedger,
        view: &impl AuthorityView,
        open: u64,
        now: MonoTime,
    ) -> Vec<SendReport> {
        let mut reports = Vec::new();
        for ((customer, window), frozen) in ledger.unreported() {
            let may_send =
                frozen.sender.as_ref() == Some(&self.me) || self.fault == Some(Fault::IgnoreSender);
            let Some(authority) = view.authority(&frozen.duty).filter(|_| may_send) else {
                continue;
            };
            let key = (customer.clone(), *window);
            let is_due = match self.progress.get(&key) {
                None => true,
                Some(ReportProgress::Unanswered { retry_at, .. }) => now >= *retry_at,
                Some(ReportProgress::Sent | ReportProgress::Accepted) => false,
            };
            if !is_due {
                continue;
            }
            self.progress.insert(key, ReportProgress::Sent);
            reports.push(SendReport {
                customer: customer.clone(),
                window: *window,
                figure: frozen.figure,
                epoch: authority.epoch,
                not_after: authority.until,
            });
        }
        if self.fault == Some(Fault::ReportBeforeFreeze) {
            reports.extend(self.unfrozen_reports(ledger, view, open));
        }
        reports
    }

    /// Reports of windows that aren't frozen, for [`Fault::ReportBeforeFreeze`].
    fn unfrozen_reports(
        &self,
        ledger: &UsageLedger,
        view: &impl AuthorityView,
        open: u64,
    ) -> Vec<SendReport> {
        self.counts
            .due_counts(ledger, open)
            .into_iter()
            .filter_map(|(customer, (window, counts))| {
                let duty = Duty::Usage {
                    shard: shard_of(&customer),
                };
                let authority = view.authority(&duty)?;
                let figure = counts.iter().fold(UsageFigure::default(), |sum, count| {
                    add_figures(sum, count.figure)
                });
                Some(SendReport {
                    customer,
                    window,
                    figure,
                    epoch: authority.epoch,
                    not_after: authority.until,
                })
            })
            .collect()
    }

    /// Handles a report that the platform accepted.
    pub fn on_report_accepted(&mut self, customer: &CustomerId, window: u64) {
        self.progress
            .insert((customer.clone(), window), ReportProgress::Accepted);
    }

    /// Handles a report that was not answered or not sent.
    pub fn on_report_failed(&mut self, customer: &CustomerId, window: u64, now: MonoTime) {
        let unanswered = ReportProgress::Unanswered {
            retry_at: now + self.timing.retry_delay,
            latest_arrival: now + self.timing.order_lifetime,
        };
        self.progress.insert((customer.clone(), window), unanswered);
    }

    /// Whether a report of the process for the window may still be in flight.
    pub fn may_be_in_flight(&self, customer: &CustomerId, window: u64, now: MonoTime) -> bool {
        match self.progress.get(&(customer.clone(), window)) {
            Some(ReportProgress::Sent) => true,
            Some(ReportProgress::Unanswered { latest_arrival, .. }) => now < *latest_arrival,
            Some(ReportProgress::Accepted) | None => false,
        }
    }
}
