//! Paths in the settings tree.

use std::str::FromStr;

use derive_more::Display;
use serde::{Deserialize, Serialize};

use crate::settings::SettingsRejection;

/// Longest segment of a path, in bytes.
const MAX_SEGMENT_BYTES: usize = 64;

/// Most segments of a path.
const MAX_SEGMENTS: usize = 8;

/// Number of segments of a path to one item of a team, such as `teams/copydesk/keys/k1`.
pub(super) const ITEM_SEGMENTS: usize = 4;

/// Valid path of a value or subtree: `fleet...` or `teams/<team>...`.
#[derive(Clone, Debug, Deserialize, Display, Eq, Hash, Ord, PartialEq, PartialOrd, Serialize)]
#[display("{}", segments.join("/"))]
#[serde(into = "String", try_from = "String")]
pub struct SettingsPath {
    segments: Vec<String>,
}

impl SettingsPath {
    /// Returns the path of a team's whole subtree.
    ///
    /// # Errors
    ///
    /// Fails if the name is not a valid path segment.
    pub fn team(team: &str) -> Result<Self, SettingsRejection> {
        format!("teams/{team}").parse()
    }

    /// Returns the segments, root first.
    pub fn segments(&self) -> &[String] {
        &self.segments
    }

    /// Returns the team whose subtree holds the path, or `None` for a path under `fleet`.
    pub fn team_name(&self) -> Option<&str> {
        match self.segments.as_slice() {
            [root, team, ..] if root == "teams" => Some(team),
            _ => None,
        }
    }

    /// Returns the segments below `fleet` or `teams/<team>`, the subtrees that are validated as a whole.
    pub fn below_root(&self) -> &[String] {
        match self.team_name() {
            Some(_) => &self.segments[2..],
            None => &self.segments[1..],
        }
    }

    /// Returns true if one of the paths is equal to or below the other.
    pub fn overlaps(&self, other: &Self) -> bool {
        self.contains(other) || other.contains(self)
    }

    /// Returns true if `other` is equal to or below this path.
    pub fn contains(&self, other: &Self) -> bool {
        other.segments.starts_with(&self.segments)
    }

    /// Returns true if the value at the path may be a scalar.
    pub fn allows_scalar(&self) -> bool {
        match self.team_name() {
            Some(_) => self.segments.len() > ITEM_SEGMENTS,
            None => self.segments.len() > 1,
        }
    }
}

impl From<SettingsPath> for String {
    fn from(path: SettingsPath) -> Self {
        path.to_string()
    }
}

impl TryFrom<String> for SettingsPath {
    type Error = SettingsRejection;

    fn try_from(text: String) -> Result<Self, Self::Error> {
        text.parse()
    }
}

impl FromStr for SettingsPath {
    type Err = SettingsRejection;

    fn from_str(text: &str) -> Result<Self, Self::Err> {
        let segments: Vec<String> = text.split('/').map(str::to_owned).collect();
        if let Some(segment) = segments.iter().find(|segment| !is_valid_name(segment)) {
            let reason = format!(
                "path segment {segment:?} is not 1 to {MAX_SEGMENT_BYTES} characters of a-z, 0-9, '.', '_', '-', \
                 of which the first is a letter or digit"
            );
            return Err(SettingsRejection::invalid(text, reason));
        }
        if segments.len() > MAX_SEGMENTS {
            return Err(SettingsRejection::invalid(
                text,
                format!("path has over {MAX_SEGMENTS} segments"),
            ));
        }
        match segments.iter().map(String::as_str).collect::<Vec<_>>().as_slice() {
            ["fleet", ..] | ["teams", _, ..] => Ok(Self { segments }),
            _ => Err(SettingsRejection::invalid(
                text,
                "path must start with `fleet` or `teams/<team>`",
            )),
        }
    }
}

/// Returns true if the text is a valid segment, and so a valid name of a team or of one of its items.
pub(super) fn is_valid_name(text: &str) -> bool {
    let allowed = |byte: u8| byte.is_ascii_lowercase() || byte.is_ascii_digit() || b"._-".contains(&byte);
    let starts_well = text.starts_with(|first: char| first.is_ascii_lowercase() || first.is_ascii_digit());
    starts_well && text.len() <= MAX_SEGMENT_BYTES && text.bytes().all(allowed)
}
