//! Frozen and reported windows, folded from the control stream.

use std::collections::BTreeMap;

use marigoldlock_wire::platform::UsageFigure;
use marigoldlock_wire::record::authority::{Duty, HolderId};
use marigoldlock_wire::record::usage::{UsageCount, UsageRecord};
use serde::{Deserialize, Serialize};

use super::{add_figures, max_figures, shard_of, subtract_figures};
use crate::authority::{AuthorityChange, AuthorityFold, Fault};
use crate::orders::next_sender;
use crate::prelude::*;

/// A late count is dropped once its window is this many windows behind the newest frozen one.
pub const MAX_LATE_WINDOWS: u64 = 120;

/// Frozen window whose report the platform is not yet known to have accepted.
#[derive(Clone, Debug, Deserialize, Eq, Hash, PartialEq, Serialize)]
pub struct FrozenWindow {
    /// The figure to report.
    pub figure: UsageFigure,
    /// Duty under which it is reported.
    pub duty: Duty,
    /// Process that may have reported it and may still be reporting it.
    pub sender: Option<HolderId>,
}

#[derive(Clone, Debug, Default, Deserialize, Eq, Hash, PartialEq, Serialize)]
struct CustomerLedger {
    last_frozen: Option<u64>,
    /// Counts included in frozen windows, by window and incarnation.
    counted: BTreeMap<(u64, Incarnation), UsageFigure>,
}

/// Frozen windows and included counts of all customers.
#[derive(Clone, Debug, Default, Deserialize, Eq, Hash, PartialEq, Serialize)]
pub struct UsageLedger {
    customers: BTreeMap<CustomerId, CustomerLedger>,
    unreported: BTreeMap<(CustomerId, u64), FrozenWindow>,
}

impl UsageLedger {
    /// The customer's newest frozen window.
    pub fn last_frozen(&self, customer: &CustomerId) -> Option<u64> {
        self.customers.get(customer)?.last_frozen
    }

    /// Windows that are frozen and not known to be reported.
    pub fn unreported(&self) -> impl Iterator<Item = (&(CustomerId, u64), &FrozenWindow)> {
        self.unreported.iter()
    }

    /// A frozen window that is not known to be reported.
    pub fn frozen(&self, customer: &CustomerId, window: u64) -> Option<&FrozenWindow> {
        self.unreported.get(&(customer.clone(), window))
    }

    /// Whether frozen windows already include the whole count.
    pub fn covers(
        &self,
        customer: &CustomerId,
        incarnation: Incarnation,
        window: u64,
        figure: UsageFigure,
    ) -> bool {
        let counted = self.counted(customer, incarnation, window);
        subtract_figures(figure, counted) == UsageFigure::default()
    }

    /// Whether a count for the window is too late to be frozen.
    pub fn is_too_late(&self, customer: &CustomerId, window: u64) -> bool {
        self.last_frozen(customer)
            .is_some_and(|last| window + MAX_LATE_WINDOWS <= last)
    }

    fn counted(&self, customer: &CustomerId, incarnation: Incarnation, window: u64) -> UsageFigure {
        self.customers
            .get(customer)
            .and_then(|ledger| ledger.counted.get(&(window, incarnation)))
            .copied()
            .unwrap_or_default()
    }

    /// Applies a record and returns its customer; `None` if the record is void.
    pub(crate) fn apply(
        &mut self,
        writer: &HolderId,
        record: &UsageRecord,
        authority: &AuthorityFold,
        fault: Option<Fault>,
    ) -> Option<CustomerId> {
        match record {
            UsageRecord::Freeze {
                customer,
                window,
                epoch,
                counts,
            } => {
                let duty = Duty::Usage {
                    shard: shard_of(customer),
                };
                if !authority.is_current(&duty, writer, *epoch) {
                    return None;
                }
                let figure = self.freeze(customer, *window, counts, fault)?;
                let frozen = FrozenWindow {
                    figure,
                    duty,
                    sender: Some(writer.clone()),
                };
                self.unreported.insert((customer.clone(), *window), frozen);
                Some(customer.clone())
            }
            UsageRecord::Reported { customer, window } => {
                let key = (customer.clone(), *window);
                self.unreported.remove(&key)?;
                Some(customer.clone())
            }
        }
    }

    fn freeze(
        &mut self,
        customer: &CustomerId,
        window: u64,
        counts: &[UsageCount],
        fault: Option<Fault>,
    ) -> Option<UsageFigure> {
        let ledger = self.customers.entry(customer.clone()).or_default();
        if ledger.last_frozen.is_some_and(|last| window <= last) {
            return None;
        }
        let newest_too_late = ledger
            .last_frozen
            .and_then(|last| last.checked_sub(MAX_LATE_WINDOWS));
        let mut total = UsageFigure::default();
        for count in counts {
            let is_outside =
                count.window > window || newest_too_late.is_some_and(|bound| count.window <= bound);
            if is_outside {
                continue;
            }
            let counted = ledger
                .counted
                .entry((count.window, count.incarnation))
                .or_default();
            let included = if fault == Some(Fault::RecountLate) {
                UsageFigure::default()
            } else {
                *counted
            };
            total = add_figures(total, subtract_figures(count.figure, included));
            *counted = max_figures(*counted, count.figure);
        }
        ledger.last_frozen = Some(window);
        ledger
            .counted
            .retain(|(counted, _), _| counted + MAX_LATE_WINDOWS > window);
        Some(total)
    }

    /// Makes the duty's holder the sender of reports whose sender has stopped.
    pub(crate) fn apply_authority(&mut self, change: &AuthorityChange, authority: &AuthorityFold) {
        for frozen in self.unreported.values_mut() {
            frozen.sender = next_sender(frozen.sender.take(), &frozen.duty, change, authority);
        }
    }
}
