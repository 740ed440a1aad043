//! Earlier records that are remembered to detect conflicts and duplicates.

use std::collections::{BTreeMap, VecDeque};

use serde::{Deserialize, Serialize};

use crate::prelude::*;
use crate::settings::{RejectionReason, SettingsPath, SettingsRejection};

/// Number of record ids remembered to detect duplicates.
const MAX_REMEMBERED_IDS: usize = 1_024;

/// Number of changed paths remembered to check the `expect` of later changes.
const MAX_REMEMBERED_PATHS: usize = 1_024;

/// Accepted changes by path, for optimistic concurrency.
#[derive(Clone, Debug, Default, Deserialize, PartialEq, Serialize)]
pub(super) struct ChangeHistory {
    changed_at: BTreeMap<SettingsPath, LogPosition>,
    // Position of the newest change that was dropped from `changed_at`.
    forgotten: Option<LogPosition>,
}

impl ChangeHistory {
    /// Rejects a change whose path was modified at or after the version that its author saw.
    ///
    /// A version is the position after the last applied record, so the author has not seen a change at it.
    /// Forgotten changes count for every path, since their paths are no longer known.
    pub(super) fn check(
        &self,
        path: &SettingsPath,
        expect: Option<LogPosition>,
    ) -> Result<(), SettingsRejection> {
        let Some(expected) = expect else { return Ok(()) };
        match self.changed_at(path).max(self.forgotten) {
            Some(changed_at) if changed_at >= expected => Err(SettingsRejection {
                path: path.to_string(),
                line: None,
                reason: RejectionReason::Conflict { expected, changed_at },
            }),
            _ => Ok(()),
        }
    }

    /// Returns the position of the newest remembered change at, above or below a path.
    pub(super) fn changed_at(&self, path: &SettingsPath) -> Option<LogPosition> {
        let overlapping = self
            .changed_at
            .iter()
            .filter(|(changed, _)| changed.overlaps(path));
        overlapping.map(|(_, position)| *position).max()
    }

    pub(super) fn record(&mut self, path: SettingsPath, position: LogPosition) {
        // The new entry replaces those below its path: it is newer and overlaps every path that they overlap.
        self.changed_at.retain(|changed, _| !path.contains(changed));
        self.changed_at.insert(path, position);
        if self.changed_at.len() > MAX_REMEMBERED_PATHS {
            let oldest = self.changed_at.iter().min_by_key(|(_, position)| **position);
            if let Some((path, position)) = oldest.map(|(path, position)| (path.clone(), *position)) {
                self.changed_at.remove(&path);
                self.forgotten = self.forgotten.max(Some(position));
            }
        }
    }
}

/// Ids of the most recent envelopes, oldest first.
#[derive(Clone, Debug, Default)]
pub(super) struct SeenIds {
    ids: FastSet<RecordId>,
    order: VecDeque<RecordId>,
}

impl SeenIds {
    /// Remembers an id; returns false if it was already known.
    pub(super) fn insert(&mut self, id: RecordId) -> bool {
        if !self.ids.insert(id) {
            return false;
        }
        self.order.push_back(id);
        if self.order.len() > MAX_REMEMBERED_IDS {
            let oldest = self.order.pop_front();
            oldest.map(|oldest| self.ids.remove(&oldest));
        }
        true
    }

    pub(super) fn iter(&self) -> impl Iterator<Item = RecordId> {
        self.order.iter().copied()
    }
}

impl FromIterator<RecordId> for SeenIds {
    fn from_iter<I: IntoIterator<Item = RecordId>>(ids: I) -> Self {
        let mut seen = Self::default();
        for id in ids {
            seen.insert(id);
        }
        seen
    }
}
