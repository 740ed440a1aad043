//! Snapshots of the control stream.
//!
//! A snapshot is the folded state of all appends before an offset. A fresh reader takes the newest whole one
//! whose offset is still retained and folds on from there, so it comes to the same state as a reader that
//! has followed the stream all along. Who wrote the snapshot, and when, makes no difference.

use std::collections::BTreeMap;

use derive_more::{Display, Error};
use marigoldlock_wire::codec;
use marigoldlock_wire::record::authority::SnapshotPart;

use super::ControlFold;
use crate::prelude::*;

/// Bytes of state in one part, well below the log's largest record.
const PART_BYTES: usize = 128 << 10;

/// Why there is no state to start from.
#[derive(Clone, Copy, Debug, Display, Eq, Error, PartialEq)]
pub enum SnapshotError {
    /// The start of the stream has expired and no whole snapshot reaches back to what is retained.
    #[display("the stream is retained from offset {first} and no whole snapshot covers what came before")]
    Missing {
        /// Oldest offset retained.
        first: u64,
    },
}

/// The parts of a snapshot of the fold.
pub fn split_snapshot(fold: &ControlFold) -> Vec<SnapshotPart> {
    let bytes = codec::encode(fold);
    let chunks: Vec<_> = bytes.chunks(PART_BYTES).collect();
    let parts = chunks.len() as u32;
    chunks
        .into_iter()
        .zip(0..)
        .map(|(data, part)| SnapshotPart {
            through: fold.next_offset(),
            part,
            parts,
            data: data.to_vec(),
        })
        .collect()
}

/// Gathers the parts of snapshots.
#[derive(Clone, Debug, Default)]
pub struct SnapshotReader {
    parts: BTreeMap<(u64, Incarnation), BTreeMap<u32, SnapshotPart>>,
}

impl SnapshotReader {
    /// Adds a part that `writer` appended.
    pub fn add(&mut self, writer: Incarnation, part: &SnapshotPart) {
        self.parts
            .entry((part.through, writer))
            .or_default()
            .insert(part.part, part.clone());
    }

    /// The newest whole snapshot.
    pub fn newest(&self) -> Option<ControlFold> {
        self.parts.values().rev().find_map(join_parts)
    }
}

fn join_parts(parts: &BTreeMap<u32, SnapshotPart>) -> Option<ControlFold> {
    let wanted = parts.first_key_value()?.1.parts;
    if parts.len() as u32 != wanted {
        return None;
    }
    let bytes: Vec<u8> = parts
        .values()
        .flat_map(|part| part.data.iter().copied())
        .collect();
    codec::decode(&bytes).ok()
}

/// The state from which a fresh reader folds on, given the oldest retained offset and the snapshot parts
/// among the retained records.
///
/// # Errors
///
/// Fails if the stream's start has expired and no whole snapshot reaches back to `first`.
pub fn restore_fold(first: u64, reader: &SnapshotReader) -> Result<ControlFold, SnapshotError> {
    match reader.newest() {
        Some(fold) if fold.next_offset() >= first => Ok(fold),
        _ if first == 0 => Ok(ControlFold::default()),
        _ => Err(SnapshotError::Missing { first }),
    }
}
