//! The newest records of the settings stream, for peers.

use std::collections::VecDeque;

use bytes::Bytes;
use marigoldlock_wire::peer::SettingsRecord;

/// Most bytes that are kept.
const MAX_BYTES: usize = 256 << 10;

/// Records in offset order without a gap, up to the newest one folded.
#[derive(Clone, Debug, Default)]
pub(super) struct RecentRecords {
    // Every record from this offset on is kept.
    from: u64,
    records: VecDeque<SettingsRecord>,
    bytes: usize,
}

impl RecentRecords {
    /// Adds the next record.
    pub(super) fn push(&mut self, offset: u64, data: Bytes) {
        self.bytes += data.len();
        self.records.push_back(SettingsRecord { offset, data });
        while self.bytes > MAX_BYTES {
            let Some(dropped) = self.records.pop_front() else {
                break;
            };
            self.bytes -= dropped.data.len();
            self.from = dropped.offset + 1;
        }
    }

    /// Forgets all; the next record has an offset of at least `from`.
    pub(super) fn restart(&mut self, from: u64) {
        *self = Self {
            from,
            ..Self::default()
        };
    }

    /// The records from an offset on; `None` if some of them are no longer kept.
    pub(super) fn after(&self, offset: u64) -> Option<Vec<SettingsRecord>> {
        if offset < self.from {
            return None;
        }
        let newer = self.records.iter().filter(|record| record.offset >= offset);
        Some(newer.cloned().collect())
    }
}
