//! Settings of the fleet and its teams, addressed by path and rebuilt from the log.
//!
//! The settings are one tree: `fleet` and one subtree for each team under `teams/<team>`. A
//! [`SettingsChange`] in the log replaces or removes the value at one path. [`SettingsFold`] applies the
//! changes in log order and validates each one completely before it takes effect. Every instance that has
//! applied the log up to the same position therefore holds the same [`ActiveSettings`], and `marigoldctl` can
//! tell before publishing whether a change will be accepted. A rejected change leaves the settings untouched;
//! its [`SettingsRejection`] gives the faulty path and the reason.
//!
//! | path | value |
//! | --- | --- |
//! | `fleet` | [`FleetSettings`] |
//! | `teams/<team>/services/<name>` | [`ServiceSettings`] |
//! | `teams/<team>/customers/<name>` | [`CustomerSettings`] |
//! | `teams/<team>/keys/<id>` | [`KeySettings`] |
//! | `teams/<team>/rules/<name>` | [`CapacityRule`] |
//! | `teams/<team>/operators/<name>` | [`OperatorSettings`] |

mod active;
mod check;
mod customer;
mod document;
mod fleet;
mod fold;
mod history;
mod path;
mod rejection;
mod rule;
mod service;
mod snapshot;
mod source;
mod team;
#[cfg(test)]
mod tests;
mod trees;

pub use marigoldlock_wire::record::settings::SettingsChange;

pub use self::active::{ActiveSettings, KnownOperator};
pub use self::customer::{CustomerSettings, KeySettings, OperatorSettings};
pub use self::fleet::{FleetSettings, FreshnessSettings, ObjectiveWeights, SpreadSettings};
pub use self::fold::{FoldOutcome, SettingsFold};
pub use self::path::SettingsPath;
pub use self::rejection::{RejectionReason, SettingsRejection};
pub use self::rule::CapacityRule;
pub use self::service::{OrderCheck, RequestClass, ServiceKind, ServiceSettings};
pub use self::snapshot::{SettingsSnapshot, SnapshotReader, restore_fold, split_snapshot};
pub use self::source::{RelayCandidate, SettingsSource, SourceChooser, choose_relays};
pub use self::team::TeamSettings;
