//! Queue of the waiting customers of one service and class, the least served first.

use std::collections::BTreeSet;

/// Waiting customers in the order of their served tokens; the requests are stored with the customers.
#[derive(Clone, Debug, Default)]
pub struct ClassQueue {
    order: BTreeSet<(u64, u32)>,
    len: usize,
    floor: u64,
}

impl ClassQueue {
    /// Number of waiting requests.
    pub fn len(&self) -> usize {
        self.len
    }

    /// True if no request waits.
    pub fn is_empty(&self) -> bool {
        self.len == 0
    }

    /// Number of waiting customers.
    pub fn customers(&self) -> usize {
        self.order.len()
    }

    /// Waiting customers with their served tokens over weight, the least served first.
    pub fn iter(&self) -> impl Iterator<Item = (u64, u32)> + '_ {
        self.order.iter().copied()
    }

    /// Minimum served tokens that a customer starts to wait with, so that idle customers don't build up
    /// credit.
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

    pub(super) fn increment_len(&mut self) {
        self.len += 1;
    }

    pub(super) fn decrement_len(&mut self) {
        self.len -= 1;
    }

    /// Raises the floor to the served tokens of a customer whose request starts.
    pub(super) fn raise_floor(&mut self, served: u64) {
        self.floor = self.floor.max(served);
    }
}
