//! Replicated state, folded from the whole control stream.

use std::collections::BTreeMap;

use marigoldlock_wire::record::Envelope;
use marigoldlock_wire::record::authority::{ControlRecord, HolderId, SnapshotPart, append_sequence};
use serde::{Deserialize, Serialize};

use super::{AuthorityChange, AuthorityFold, Fault};
use crate::orders::OrderBook;
use crate::prelude::*;
use crate::usage::UsageLedger;

/// Number of offsets after which the last sequence number of an inactive writer is dropped. A delayed copy
/// of an append is dropped long before.
const WRITER_RETENTION_OFFSETS: u64 = 1 << 20;

/// Change that a valid record made.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum ControlChange {
    /// The holder of a duty changed, or a former holder stopped.
    Authority(AuthorityChange),
    /// The order whose intent is at the position was added or settled.
    Order(LogPosition),
    /// A window of the customer was frozen or reported.
    Usage(CustomerId),
    /// Part of a snapshot. A reader that is already past its offset ignores it.
    Snapshot(SnapshotPart),
}

#[derive(Clone, Copy, Debug, Deserialize, Eq, Hash, PartialEq, Serialize)]
struct WriterSequence {
    sequence: u64,
    offset: u64,
}

/// State of the control stream, with all appends before [`ControlFold::next_offset`] applied.
#[derive(Clone, Debug, Default, Deserialize, Eq, Hash, PartialEq, Serialize)]
pub struct ControlFold {
    next: u64,
    writers: BTreeMap<Incarnation, WriterSequence>,
    authority: AuthorityFold,
    orders: OrderBook,
    usage: UsageLedger,
    #[serde(skip)]
    fault: Option<Fault>,
}

impl ControlFold {
    /// Fold of an empty stream with one rule disabled, for the model checker.
    pub fn with_fault(fault: Option<Fault>) -> Self {
        Self {
            fault,
            ..Self::default()
        }
    }

    /// Offset of the append to fold next.
    pub fn next_offset(&self) -> u64 {
        self.next
    }

    /// Duties and their holders.
    pub fn authority(&self) -> &AuthorityFold {
        &self.authority
    }

    /// Outstanding orders.
    pub fn orders(&self) -> &OrderBook {
        &self.orders
    }

    /// Frozen and reported windows.
    pub fn usage(&self) -> &UsageLedger {
        &self.usage
    }

    /// Applies the append at `offset` and returns the changes that its valid records made.
    ///
    /// An append that was folded before, and a duplicate of one, change nothing.
    pub fn apply(&mut self, offset: u64, envelope: &Envelope<ControlRecord>) -> Vec<ControlChange> {
        if offset < self.next {
            return Vec::new();
        }
        self.next = offset + 1;
        if !self.is_new(offset, envelope) {
            return Vec::new();
        }
        let writer = HolderId {
            instance: envelope.writer.clone(),
            incarnation: envelope.incarnation,
        };
        envelope
            .records
            .iter()
            .take(marigoldlock_wire::ids::MAX_RECORDS_PER_APPEND)
            .enumerate()
            .filter_map(|(index, record)| self.apply_record(LogPosition::new(offset, index), &writer, record))
            .collect()
    }

    fn is_new(&mut self, offset: u64, envelope: &Envelope<ControlRecord>) -> bool {
        let sequence = append_sequence(envelope.id);
        let known = self.writers.get(&envelope.incarnation);
        if known.is_some_and(|known| known.sequence >= sequence) {
            return false;
        }
        self.writers
            .insert(envelope.incarnation, WriterSequence { sequence, offset });
        self.writers
            .retain(|_, known| known.offset + WRITER_RETENTION_OFFSETS > offset);
        true
    }

    fn apply_record(
        &mut self,
        position: LogPosition,
        writer: &HolderId,
        record: &ControlRecord,
    ) -> Option<ControlChange> {
        match record {
            ControlRecord::Authority(record) => {
                let change = self.authority.apply(position, writer, record, self.fault)?;
                self.orders.apply_authority(&change, &self.authority);
                self.usage.apply_authority(&change, &self.authority);
                Some(ControlChange::Authority(change))
            }
            ControlRecord::Order(record) => self
                .orders
                .apply(position, writer, record, &self.authority)
                .map(ControlChange::Order),
            ControlRecord::Usage(record) => self
                .usage
                .apply(writer, record, &self.authority, self.fault)
                .map(ControlChange::Usage),
            ControlRecord::Snapshot(part) => Some(ControlChange::Snapshot(part.clone())),
        }
    }
}
