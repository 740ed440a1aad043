//! Event queue of the simulation, and conversions to virtual time.

use std::cmp::Reverse;
use std::collections::BinaryHeap;

use marigoldlock_core::prelude::MonoTime;
use std::time::Duration;

/// Priority queue of events by time; events of the same time are returned in the order they were scheduled.
#[derive(Debug)]
pub(super) struct EventQueue<E> {
    heap: BinaryHeap<Reverse<(u64, u64)>>,
    events: marigoldlock_wire::FastMap<u64, E>,
    next: u64,
}

impl<E> EventQueue<E> {
    pub(super) fn new() -> Self {
        Self {
            heap: BinaryHeap::new(),
            events: Default::default(),
            next: 0,
        }
    }

    /// Schedules an event at virtual time `at`, in microseconds.
    pub(super) fn schedule(&mut self, at: u64, event: E) {
        self.heap.push(Reverse((at, self.next)));
        self.events.insert(self.next, event);
        self.next += 1;
    }

    /// Removes the next event and returns it with its time.
    pub(super) fn pop(&mut self) -> Option<(u64, E)> {
        let Reverse((at, number)) = self.heap.pop()?;
        let event = self.events.remove(&number)?;
        Some((at, event))
    }
}

/// Converts milliseconds to whole microseconds.
pub(super) fn millis_to_micros(millis: f64) -> u64 {
    (millis * 1e3).round() as u64
}

/// Converts seconds to whole microseconds.
pub(super) fn secs_to_micros(seconds: f64) -> u64 {
    (seconds * 1e6).round() as u64
}

/// Converts virtual time in microseconds to a [`MonoTime`].
pub(super) fn mono_time(micros: u64) -> MonoTime {
    MonoTime::from_duration(Duration::from_micros(micros))
}
