//! Buffer of the newest records of the settings stream, for answers to peers.

use std::collections::VecDeque;

use bytes::Bytes;
use marigoldlock_wire::peer::SettingsRecord;

/// Maximum size of the buffered records, in bytes.
const MAX_BYTES: usize = 256 << 10;

/// Records in offset order without gaps, up to the newest applied one.
#[derive(Clone, Debug, Default)]
pub(super) struct RecentRecords {
    // All records from this offset on are buffered.
    from: u64,
    records: VecDeque<SettingsRecord>,
    bytes: usize,
}

impl RecentRecords {
    /// Appends the next record and drops the oldest ones beyond the size limit.
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

    /// Clears the buffer; the next record must have an offset of at least `from`.
    pub(super) fn reset(&mut self, from: u64) {
        *self = Self {
            from,
            ..Self::default()
        };
    }

    /// Returns the records from an offset on, or `None` if some of them are no longer buffered.
    pub(super) fn after(&self, offset: u64) -> Option<Vec<SettingsRecord>> {
        if offset < self.from {
            return None;
        }
        let newer = self.records.iter().filter(|record| record.offset >= offset);
        Some(newer.cloned().collect())
    }
}
