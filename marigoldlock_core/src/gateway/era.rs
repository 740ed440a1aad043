//! Eras of the store, and what outlasts them.
//!
//! The store may come back from a copy some seconds old. Records that it had acknowledged are gone then, and their offsets are
//! given out again. Each return begins a new era, whose number is in all answers of the store. An offset means nothing outside
//! its era, so positions carry both; a position of a later era is always the newer one.
//!
//! Most of what was read in an earlier era is read again. A removal is different: the copy may still hold the entry of an
//! upstream that this instance has seen leave. [`DepartureTable`] keeps such entries out.

use std::time::Duration;

use derive_more::{Display, From};
use marigoldlock_wire::FastMap;
use serde::{Deserialize, Serialize};

use crate::time::MonoTime;

/// Bits of a fencing number that hold the offset of its claim. Numbers stay below 2^53, which JSON carries exactly, for
/// 2^21 eras.
const FENCE_OFFSET_BITS: u32 = 32;

/// Time for which removals are remembered; a copy of the store is some seconds old.
const DEPARTURE_RETENTION: Duration = Duration::from_secs(60);

/// Number of the store's era; it rises each time the store comes back from a copy.
#[derive(
    Clone, Copy, Debug, Default, Deserialize, Display, Eq, From, Hash, Ord, PartialEq, PartialOrd, Serialize,
)]
pub struct StoreEra(pub u64);

/// Position in a stream of the store.
#[derive(
    Clone, Copy, Debug, Default, Deserialize, Display, Eq, Hash, Ord, PartialEq, PartialOrd, Serialize,
)]
#[display("{era}:{offset}")]
pub struct StorePosition {
    /// Era in which the offset was given out.
    pub era: StoreEra,
    /// Offset in the stream.
    pub offset: u64,
}

impl StorePosition {
    /// Creates a position.
    pub fn new(era: StoreEra, offset: u64) -> Self {
        Self { era, offset }
    }

    /// Position right before this one, at which a listing that ends here shows what is missing. Before the start of an era that is
    /// the end of the one before.
    pub fn before(self) -> Self {
        match self.offset.checked_sub(1) {
            Some(offset) => Self::new(self.era, offset),
            None => Self::new(StoreEra(self.era.0.saturating_sub(1)), u64::MAX),
        }
    }

    /// Position of the next record.
    pub fn next(self) -> Self {
        Self::new(self.era, self.offset + 1)
    }

    /// Fencing number of a claim at this position. Numbers rise within an era and from each era to the next.
    pub fn fence(self) -> u64 {
        (self.era.0 << FENCE_OFFSET_BITS) + self.offset + 1
    }
}

/// What an upstream's entry says of its process.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct EntryDate {
    /// Start of the process, in Unix milliseconds.
    pub started_ms: Option<u64>,
    /// Number of times that the process had written when it wrote the entry.
    pub writes: Option<u64>,
}

#[derive(Clone, Copy, Debug)]
struct Departure {
    era: StoreEra,
    date: EntryDate,
    seen_at: MonoTime,
}

/// Removals that this instance has read, for as long as a copy may lack them.
#[derive(Clone, Debug, Default)]
pub struct DepartureTable {
    departures: FastMap<String, Departure>,
}

impl DepartureTable {
    /// Records that the entry of an upstream was removed; `date` is that of the entry.
    pub fn record(&mut self, id: &str, era: StoreEra, date: EntryDate, now: MonoTime) {
        let departure = Departure {
            era,
            date,
            seen_at: now,
        };
        self.departures.insert(id.to_owned(), departure);
    }

    /// Forgets a removal, since the upstream is in use again.
    pub fn forget(&mut self, id: &str) {
        self.departures.remove(id);
    }

    /// Forgets removals that no copy can lack any more.
    pub fn expire(&mut self, now: MonoTime) {
        self.departures
            .retain(|_, departure| now.since(departure.seen_at) < DEPARTURE_RETENTION);
    }

    /// True if an entry read in `era` is one that was removed in an earlier era: the same process has not written since. Within an
    /// era the order of the records tells. The date is only asked for if there was a removal.
    pub fn is_outdated(&self, id: &str, era: StoreEra, date: impl FnOnce() -> EntryDate) -> bool {
        let earlier = self.departures.get(id).filter(|departure| departure.era < era);
        earlier.is_some_and(|departure| {
            let date = date();
            departure.date.started_ms == date.started_ms && departure.date.writes >= date.writes
        })
    }
}
