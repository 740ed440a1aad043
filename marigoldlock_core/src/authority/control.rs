//! Fold of the whole control stream.

use std::collections::BTreeMap;

use marigoldlock_wire::record::Envelope;
use marigoldlock_wire::record::authority::{ControlRecord, HolderId, SnapshotPart, append_sequence};
use serde::{Deserialize, Serialize};

use super::{AuthorityChange, AuthorityFold, Fault};
use crate::orders::OrderBook;
use crate::prelude::*;
use crate::usage::UsageLedger;

/// Appends after which a silent writer's number is forgotten; a delayed copy is dropped long before.
const WRITER_MEMORY_OFFSETS: u64 = 1 << 20;

/// What a valid record changed.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum ControlChange {
    /// Who holds a duty.
    Authority(AuthorityChange),
    /// The order at the position was added or settled.
    Order(LogPosition),
    /// A window of the customer was frozen or reported.
    Usage(CustomerId),
    /// A part of a snapshot; it changes nothing for a reader that is past it.
    Snapshot(SnapshotPart),
}

#[derive(Clone, Copy, Debug, Deserialize, Eq, Hash, PartialEq, Serialize)]
struct WriterSequence {
    sequence: u64,
    offset: u64,
}

/// State of the control stream after the appends before [`ControlFold::next_offset`].
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
    /// A fold of an empty stream with a rule left out, for the model check.
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

    /// Who holds which duty.
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

    /// Applies the append at `offset` and gives the changes of its valid records.
    ///
    /// An append that was folded before and a repeat of one change nothing.
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
            .take(marigoldlock_wire::ids::RECORDS_PER_APPEND)
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
            .retain(|_, known| known.offset + WRITER_MEMORY_OFFSETS > offset);
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
