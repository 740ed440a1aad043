//! Settings by path, folded from the log.
//!
//! The settings are one tree: `fleet` and one subtree for each team under `teams/<team>`. A
//! [`SettingsChange`] in the log replaces or removes the value at one path. [`SettingsFold`] applies the
//! changes in log order and checks each one whole before it takes effect, so that every instance that has
//! folded up to the same position holds the same [`ActiveSettings`], and the operators' tool can tell before
//! publishing whether a change will be accepted. A refused change leaves everything as it was and says
//! where and why in a [`SettingsRejection`].
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
mod image;
mod path;
mod rejection;
mod rule;
mod service;
mod spread;
mod team;
#[cfg(test)]
mod tests;
mod trees;

pub use marigoldlock_wire::record::settings::SettingsChange;

pub use self::active::{ActiveSettings, KnownOperator};
pub use self::customer::{CustomerSettings, KeySettings, OperatorSettings};
pub use self::fleet::{FleetSettings, FreshnessSettings, ObjectiveWeights, SpreadSettings};
pub use self::fold::{FoldOutcome, SettingsFold};
pub use self::image::{ImageReader, SettingsImage, split_image, start_fold};
pub use self::path::SettingsPath;
pub use self::rejection::{RejectionReason, SettingsRejection};
pub use self::rule::CapacityRule;
pub use self::service::{OrderCheck, RequestClass, ServiceKind, ServiceSettings};
pub use self::spread::{SettingsSource, SourceChooser, SpreadMember, choose_relays};
pub use self::team::TeamSettings;
