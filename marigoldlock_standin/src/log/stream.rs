//! One stream of records, with retention.

use std::collections::VecDeque;

use base64::Engine;
use base64::engine::general_purpose::STANDARD;
use marigoldlock_wire::platform::{ReadAnswer, StoredRecord};
use tokio::sync::watch;

/// Records of one stream, oldest first.
#[derive(Debug, Default)]
pub(super) struct LogStream {
    first: u64,
    records: VecDeque<StoredRecord>,
    head: watch::Sender<u64>,
}

impl LogStream {
    /// Appends a record and returns its offset.
    pub(super) fn append(&mut self, time_ms: u64, record: &[u8]) -> u64 {
        let offset = self.head();
        self.records.push_back(StoredRecord {
            offset,
            time_ms,
            data: STANDARD.encode(record),
        });
        self.head.send_replace(offset + 1);
        offset
    }

    /// Drops the records that exceed the age or count limit.
    pub(super) fn retain(&mut self, now_ms: u64, keep_ms: Option<u64>, keep_records: Option<usize>) {
        if let Some(keep_ms) = keep_ms {
            let expired = self
                .records
                .partition_point(|record| record.time_ms.saturating_add(keep_ms) <= now_ms);
            self.drop_oldest(expired);
        }
        if let Some(keep_records) = keep_records {
            let surplus = self.records.len().saturating_sub(keep_records);
            self.drop_oldest(surplus);
        }
    }

    /// Drops the records before the offset.
    pub(super) fn expire_before(&mut self, offset: u64) {
        let expired = offset.saturating_sub(self.first) as usize;
        self.drop_oldest(expired.min(self.records.len()));
    }

    /// Records from the offset on, or from the oldest retained one if that is later.
    pub(super) fn read(&self, from: u64, max: usize) -> ReadAnswer {
        let skip = from.saturating_sub(self.first);
        let skip = usize::try_from(skip).unwrap_or(usize::MAX);
        let records = self.records.iter().skip(skip).take(max).cloned().collect();
        ReadAnswer {
            first: self.first,
            head: self.head(),
            records,
        }
    }

    /// Watches the offset that the next append will get.
    pub(super) fn watch_head(&self) -> watch::Receiver<u64> {
        self.head.subscribe()
    }

    fn head(&self) -> u64 {
        self.first + self.records.len() as u64
    }

    fn drop_oldest(&mut self, count: usize) {
        self.records.drain(..count);
        self.first += count as u64;
    }
}
