//! Snapshots of the control stream.
//!
//! A snapshot is the folded state of all appends before an offset. A new reader takes the newest complete one
//! whose offset is still retained and folds the appends from there, so it reaches the same state as a reader
//! that has read the stream from its start. Who wrote the snapshot, and when, makes no difference.

use std::collections::BTreeMap;

use derive_more::{Display, Error};
use marigoldlock_wire::codec;
use marigoldlock_wire::record::authority::SnapshotPart;

use super::ControlFold;
use crate::prelude::*;

/// Bytes of state in one part, well below the maximum record size of the log.
const PART_BYTES: usize = 128 << 10;

/// Why no state could be restored.
#[derive(Clone, Copy, Debug, Display, Eq, Error, PartialEq)]
pub enum SnapshotError {
    /// The start of the stream has expired and no complete snapshot covers the expired part.
    #[display(
        "the stream is retained only from offset {first} and no complete snapshot covers what came before"
    )]
    Missing {
        /// Oldest offset retained.
        first: u64,
    },
}

/// Encodes the fold as the parts of a snapshot.
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

/// Collects the parts of snapshots.
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

    /// The newest complete snapshot.
    pub fn newest(&self) -> Option<ControlFold> {
        self.parts.values().rev().find_map(join_parts)
    }
}

fn join_parts(parts: &BTreeMap<u32, SnapshotPart>) -> Option<ControlFold> {
    let expected = parts.first_key_value()?.1.parts;
    if parts.len() as u32 != expected {
        return None;
    }
    let bytes: Vec<u8> = parts
        .values()
        .flat_map(|part| part.data.iter().copied())
        .collect();
    codec::decode(&bytes).ok()
}

/// The state from which a new reader continues, given the oldest retained offset and the snapshot parts among
/// the retained records.
///
/// # Errors
///
/// Fails if the start of the stream has expired and no complete snapshot reaches `first`.
pub fn restore_fold(first: u64, reader: &SnapshotReader) -> Result<ControlFold, SnapshotError> {
    match reader.newest() {
        Some(fold) if fold.next_offset() >= first => Ok(fold),
        _ if first == 0 => Ok(ControlFold::default()),
        _ => Err(SnapshotError::Missing { first }),
    }
}
