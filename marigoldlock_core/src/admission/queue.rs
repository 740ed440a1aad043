//! Waiting customers of one service and class, the one with the least received first.

use std::collections::BTreeSet;

/// Order of the waiting customers; the requests themselves are kept with the customer.
#[derive(Clone, Debug, Default)]
pub struct ClassQueue {
    order: BTreeSet<(u64, u32)>,
    len: usize,
    floor: u64,
}

impl ClassQueue {
    /// Requests waiting.
    pub fn len(&self) -> usize {
        self.len
    }

    /// True if nothing waits.
    pub fn is_empty(&self) -> bool {
        self.len == 0
    }

    /// Customers waiting.
    pub fn customers(&self) -> usize {
        self.order.len()
    }

    /// Waiting customers with what they have received, the least first.
    pub fn iter(&self) -> impl Iterator<Item = (u64, u32)> + '_ {
        self.order.iter().copied()
    }

    /// What a customer that begins to wait is taken to have received at least, so that no one saves up.
    pub(super) fn floor(&self) -> u64 {
        self.order
            .first()
            .map_or(self.floor, |(served, _)| (*served).max(self.floor))
    }

    pub(super) fn insert(&mut self, served: u64, customer: u32) {
        self.order.insert((served, customer));
    }

    pub(super) fn remove(&mut self, served: u64, customer: u32) {
        self.order.remove(&(served, customer));
    }

    pub(super) fn count_in(&mut self) {
        self.len += 1;
    }

    pub(super) fn count_out(&mut self) {
        self.len -= 1;
    }

    /// Notes what the customer had received whose request was started.
    pub(super) fn raise_floor(&mut self, served: u64) {
        self.floor = self.floor.max(served);
    }
}
