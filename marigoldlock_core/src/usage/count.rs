//! Counts of finished requests, of this process and of its peers.

use std::collections::BTreeMap;
use std::hash::{Hash, Hasher};

use marigoldlock_wire::peer::UsageShare;
use marigoldlock_wire::platform::UsageFigure;
use marigoldlock_wire::record::authority::HolderId;
use marigoldlock_wire::record::usage::UsageCount;

use super::UsageLedger;
use crate::prelude::*;

/// Number of shards into which the customers are divided.
pub const USAGE_SHARDS: u16 = 32;

/// The shard of a customer.
pub fn shard_of(customer: &CustomerId) -> u16 {
    let mut hasher = rustc_hash::FxHasher::default();
    customer.hash(&mut hasher);
    ((hasher.finish() >> 32) % u64::from(USAGE_SHARDS)) as u16
}

/// The sum of two figures.
pub fn add_figures(a: UsageFigure, b: UsageFigure) -> UsageFigure {
    combine(a, b, u64::saturating_add)
}

/// The larger value of each field.
pub fn max_figures(a: UsageFigure, b: UsageFigure) -> UsageFigure {
    combine(a, b, u64::max)
}

/// The part of `a` that exceeds `b`, by field.
pub fn subtract_figures(a: UsageFigure, b: UsageFigure) -> UsageFigure {
    combine(a, b, u64::saturating_sub)
}

fn combine(a: UsageFigure, b: UsageFigure, op: impl Fn(u64, u64) -> u64) -> UsageFigure {
    UsageFigure {
        requests: op(a.requests, b.requests),
        prompt_tokens: op(a.prompt_tokens, b.prompt_tokens),
        output_tokens: op(a.output_tokens, b.output_tokens),
    }
}

#[derive(Clone, Debug, Eq, Hash, Ord, PartialEq, PartialOrd)]
struct CountKey {
    customer: CustomerId,
    window: u64,
    holder: HolderId,
}

/// All counts known to one process.
#[derive(Clone, Debug, Eq, Hash, PartialEq)]
pub struct UsageCounts {
    me: HolderId,
    figures: BTreeMap<CountKey, UsageFigure>,
}

impl UsageCounts {
    /// No counts.
    pub fn new(me: HolderId) -> Self {
        Self {
            me,
            figures: BTreeMap::new(),
        }
    }

    /// Counts what the process itself served for the customer in the window.
    pub fn count(&mut self, customer: &CustomerId, window: u64, figure: UsageFigure) {
        let key = CountKey {
            customer: customer.clone(),
            window,
            holder: self.me.clone(),
        };
        let total = self.figures.entry(key).or_default();
        *total = add_figures(*total, figure);
    }

    /// Merges a count received from a peer; one older than the known count changes nothing.
    pub fn merge(&mut self, share: &UsageShare) {
        let holder = HolderId {
            instance: share.instance.clone(),
            incarnation: share.incarnation,
        };
        if holder == self.me {
            return;
        }
        let key = CountKey {
            customer: share.customer.clone(),
            window: share.window,
            holder,
        };
        let known = self.figures.entry(key).or_default();
        *known = max_figures(*known, share.figure);
    }

    /// Counts to send to the peers: the process's own and those of processes that are gone.
    pub fn shares(&self, ledger: &UsageLedger, is_gone: impl Fn(&HolderId) -> bool) -> Vec<UsageShare> {
        self.figures
            .iter()
            .filter(|(key, _)| key.holder == self.me || is_gone(&key.holder))
            .filter(|(key, figure)| {
                !ledger.covers(&key.customer, key.holder.incarnation, key.window, **figure)
            })
            .map(|(key, figure)| UsageShare {
                instance: key.holder.instance.clone(),
                incarnation: key.holder.incarnation,
                customer: key.customer.clone(),
                window: key.window,
                figure: *figure,
            })
            .collect()
    }

    /// Drops counts that are frozen, or too old to be frozen any more.
    pub fn prune(&mut self, ledger: &UsageLedger) {
        let me = self.me.clone();
        self.figures.retain(|key, figure| {
            if ledger.is_too_late(&key.customer, key.window) {
                return false;
            }
            // The process's own count is cumulative and must keep growing from its current value.
            key.holder == me || !ledger.covers(&key.customer, key.holder.incarnation, key.window, *figure)
        });
    }

    /// By customer, the newest window that may be frozen while `open` is the open window, with all counts up
    /// to it that aren't frozen yet.
    pub(super) fn due_counts(
        &self,
        ledger: &UsageLedger,
        open: u64,
    ) -> BTreeMap<CustomerId, (u64, Vec<UsageCount>)> {
        let mut due: BTreeMap<CustomerId, (u64, Vec<UsageCount>)> = BTreeMap::new();
        for (key, figure) in self.figures.range(..).filter(|(key, _)| key.window < open) {
            let incarnation = key.holder.incarnation;
            let is_settled = ledger.is_too_late(&key.customer, key.window)
                || ledger.covers(&key.customer, incarnation, key.window, *figure);
            if is_settled {
                continue;
            }
            let (_, counts) = due
                .entry(key.customer.clone())
                .or_insert_with(|| (open - 1, Vec::new()));
            counts.push(UsageCount {
                incarnation,
                window: key.window,
                figure: *figure,
            });
        }
        due
    }
}
