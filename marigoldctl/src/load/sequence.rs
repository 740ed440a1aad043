//! Events in virtual time.

use std::cmp::Reverse;
use std::collections::BinaryHeap;

use marigoldlock_core::prelude::MonoTime;
use std::time::Duration;

/// Events by time; those of the same time keep the order in which they were scheduled.
#[derive(Debug)]
pub(super) struct EventSequence<E> {
    heap: BinaryHeap<Reverse<(u64, u64)>>,
    events: marigoldlock_wire::FastMap<u64, E>,
    next: u64,
}

impl<E> EventSequence<E> {
    pub(super) fn new() -> Self {
        Self {
            heap: BinaryHeap::new(),
            events: Default::default(),
            next: 0,
        }
    }

    /// Schedules an event at a time in microseconds.
    pub(super) fn schedule(&mut self, at: u64, event: E) {
        self.heap.push(Reverse((at, self.next)));
        self.events.insert(self.next, event);
        self.next += 1;
    }

    /// The next event and its time.
    pub(super) fn pop(&mut self) -> Option<(u64, E)> {
        let Reverse((at, number)) = self.heap.pop()?;
        let event = self.events.remove(&number)?;
        Some((at, event))
    }
}

/// Microseconds of a time in milliseconds.
pub(super) fn from_ms(millis: f64) -> u64 {
    (millis * 1e3).round() as u64
}

/// Microseconds of a time in seconds.
pub(super) fn from_s(seconds: f64) -> u64 {
    (seconds * 1e6).round() as u64
}

/// Point in virtual time.
pub(super) fn point(micros: u64) -> MonoTime {
    MonoTime::from_duration(Duration::from_micros(micros))
}
