//! Snapshots of the fold.
//!
//! The log keeps a record for a limited time, so the state is written to a stream of its own well before the
//! records that made it expire. A snapshot is the folded state of all appends before an offset, with what
//! the fold remembers against duplicates and conflicts: a fresh reader takes the newest whole one and folds
//! on from there, and comes to the same state as a reader that has followed the stream all along. Who wrote
//! it, and when, makes no difference, and one written twice does no harm.

use std::collections::BTreeMap;
use std::sync::{Arc, OnceLock};

use marigoldlock_wire::codec;
use marigoldlock_wire::record::Envelope;
use marigoldlock_wire::record::authority::SnapshotPart;
use serde::{Deserialize, Serialize};
use toml::{Table, Value};

use crate::prelude::*;
use crate::settings::document::typed;
use crate::settings::history::{ChangeHistory, SeenIds};
use crate::settings::trees::SettingsTrees;
use crate::settings::{SettingsFold, SettingsPath, SettingsRejection, TeamSettings};

/// Bytes of state in one part, well below the log's largest record.
const PART_BYTES: usize = 128 << 10;

/// Whole state of a fold, as it is stored and sent.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct SettingsImage {
    version: LogPosition,
    fleet: String,
    teams: BTreeMap<TeamId, String>,
    changes: ChangeHistory,
    seen: Vec<RecordId>,
}

impl SettingsImage {
    /// The image of a fold.
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

    /// Version of the state.
    pub fn version(&self) -> LogPosition {
        self.version
    }

    /// The fold that the image was made of.
    ///
    /// # Errors
    ///
    /// Fails if the image holds a value that this program does not know.
    pub fn restore(&self) -> Result<SettingsFold, SettingsRejection> {
        let fleet = parse_tree("fleet", &self.fleet)?;
        let mut fold = SettingsFold {
            version: self.version,
            fleet: Arc::new(typed("fleet", &Value::Table(fleet.clone()))?),
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

/// The parts of a snapshot, each for one append.
pub fn split_image(image: &SettingsImage) -> Vec<SnapshotPart> {
    let bytes = codec::encode(image);
    let chunks = bytes.chunks(PART_BYTES);
    let parts = chunks.len() as u32;
    let part = |(data, part): (&[u8], u32)| SnapshotPart {
        through: image.version.offset(),
        part,
        parts,
        data: data.to_vec(),
    };
    chunks.zip(0..).map(part).collect()
}

/// Gathers the parts of snapshots from their stream.
#[derive(Clone, Debug, Default)]
pub struct ImageReader {
    parts: BTreeMap<(u64, Incarnation), BTreeMap<u32, SnapshotPart>>,
}

impl ImageReader {
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

    /// The newest snapshot that is whole and that this program can read.
    pub fn newest(&self) -> Option<SettingsFold> {
        self.parts.values().rev().find_map(join_parts)
    }
}

fn join_parts(parts: &BTreeMap<u32, SnapshotPart>) -> Option<SettingsFold> {
    let wanted = parts.first_key_value()?.1.parts;
    if parts.len() as u32 != wanted {
        return None;
    }
    let bytes: Vec<u8> = parts
        .values()
        .flat_map(|part| part.data.iter().copied())
        .collect();
    codec::decode::<SettingsImage>(&bytes).ok()?.restore().ok()
}

/// Where a fresh reader starts, given the oldest retained offset of the settings stream and the snapshots;
/// `None` if neither reaches back far enough.
pub fn start_fold(first: u64, reader: &ImageReader) -> Option<SettingsFold> {
    match reader.newest() {
        Some(fold) if fold.version().offset() >= first => Some(fold),
        _ if first == 0 => Some(SettingsFold::new()),
        _ => None,
    }
}
