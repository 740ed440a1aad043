//! Snapshots of the settings state.
//!
//! The log retains a record only for a limited time, so the state is written to a stream of its own well
//! before the underlying records expire. A snapshot holds the state after all appends before an offset,
//! including the history used to detect duplicates and conflicts. A new reader loads the newest complete
//! snapshot, applies the records after it and arrives at the same state as a reader that has followed the
//! stream from its start. It does not matter which instance writes a snapshot or when, and writing one twice
//! is harmless.

use std::collections::BTreeMap;
use std::sync::{Arc, OnceLock};

use marigoldlock_wire::codec;
use marigoldlock_wire::record::Envelope;
use marigoldlock_wire::record::authority::SnapshotPart;
use serde::{Deserialize, Serialize};
use toml::{Table, Value};

use crate::prelude::*;
use crate::settings::document::deserialize_value;
use crate::settings::history::{ChangeHistory, SeenIds};
use crate::settings::trees::SettingsTrees;
use crate::settings::{SettingsFold, SettingsPath, SettingsRejection, TeamSettings};

/// Bytes of state in one part, well below the maximum record size of the log.
const PART_BYTES: usize = 128 << 10;

/// Complete settings state in the form in which it is stored and sent to peers.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct SettingsSnapshot {
    version: LogPosition,
    fleet: String,
    teams: BTreeMap<TeamId, String>,
    changes: ChangeHistory,
    seen: Vec<RecordId>,
}

impl SettingsSnapshot {
    /// Takes a snapshot of the state.
    pub fn of(fold: &SettingsFold) -> Self {
        let teams = fold
            .trees
            .teams
            .iter()
            .map(|(team, tree)| (team.clone(), tree.to_string()));
        Self {
            version: fold.version,
            fleet: fold.trees.fleet.to_string(),
            teams: teams.collect(),
            changes: fold.changes.clone(),
            seen: fold.seen.iter().collect(),
        }
    }

    /// Returns the version of the state.
    pub fn version(&self) -> LogPosition {
        self.version
    }

    /// Restores the state that the snapshot was taken of.
    ///
    /// # Errors
    ///
    /// Fails if the snapshot holds a value that this build does not support.
    pub fn restore(&self) -> Result<SettingsFold, SettingsRejection> {
        let fleet = parse_tree("fleet", &self.fleet)?;
        let mut fold = SettingsFold {
            version: self.version,
            fleet: Arc::new(deserialize_value("fleet", &Value::Table(fleet.clone()))?),
            trees: SettingsTrees {
                fleet: Arc::new(fleet),
                teams: BTreeMap::new(),
            },
            teams: BTreeMap::new(),
            changes: self.changes.clone(),
            seen: self.seen.iter().copied().collect::<SeenIds>(),
            index: OnceLock::new(),
        };
        for (team, text) in &self.teams {
            let path = SettingsPath::team(team.as_str())?;
            let tree = parse_tree(&path.to_string(), text)?;
            let settings = TeamSettings::default().update(&path, &tree)?;
            fold.trees.set_team(team.clone(), tree);
            fold.teams.insert(team.clone(), Arc::new(settings));
        }
        Ok(fold)
    }
}

fn parse_tree(path: &str, text: &str) -> Result<Table, SettingsRejection> {
    text.parse()
        .map_err(|error: toml::de::Error| SettingsRejection::invalid(path, error.message()))
}

/// Splits a snapshot into parts, each of which fits into one append.
pub fn split_snapshot(snapshot: &SettingsSnapshot) -> Vec<SnapshotPart> {
    let bytes = codec::encode(snapshot);
    let chunks = bytes.chunks(PART_BYTES);
    let parts = chunks.len() as u32;
    let part = |(data, part): (&[u8], u32)| SnapshotPart {
        through: snapshot.version.offset(),
        part,
        parts,
        data: data.to_vec(),
    };
    chunks.zip(0..).map(part).collect()
}

/// Collects the parts of snapshots from their stream.
#[derive(Clone, Debug, Default)]
pub struct SnapshotReader {
    parts: BTreeMap<(u64, Incarnation), BTreeMap<u32, SnapshotPart>>,
}

impl SnapshotReader {
    /// Adds the parts of one append.
    pub fn add(&mut self, envelope: &Envelope<SnapshotPart>) {
        for part in &envelope.records {
            let snapshot = self
                .parts
                .entry((part.through, envelope.incarnation))
                .or_default();
            snapshot.insert(part.part, part.clone());
        }
    }

    /// Restores the newest snapshot that is complete and readable by this build.
    pub fn newest(&self) -> Option<SettingsFold> {
        self.parts.values().rev().find_map(restore_parts)
    }
}

fn restore_parts(parts: &BTreeMap<u32, SnapshotPart>) -> Option<SettingsFold> {
    let wanted = parts.first_key_value()?.1.parts;
    if parts.len() as u32 != wanted {
        return None;
    }
    let bytes: Vec<u8> = parts
        .values()
        .flat_map(|part| part.data.iter().copied())
        .collect();
    codec::decode::<SettingsSnapshot>(&bytes).ok()?.restore().ok()
}

/// Returns the state from which a new reader starts, given the oldest retained offset of the settings stream.
///
/// Returns `None` if the start of the stream has expired and no snapshot reaches up to the retained records.
pub fn restore_fold(first: u64, reader: &SnapshotReader) -> Option<SettingsFold> {
    match reader.newest() {
        Some(fold) if fold.version().offset() >= first => Some(fold),
        _ if first == 0 => Some(SettingsFold::new()),
        _ => None,
    }
}
