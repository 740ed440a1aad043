//! Settings in force at this instance.
//!
//! The settings actor applies the records of the settings stream and publishes each new state through a watch
//! channel, so that the request path can read it without sending a message.

mod actor;
mod follower;
mod handle;
mod peers;
mod recent;
mod replica;
mod snapshot;

pub use actor::{CloneFold, FoldCopy, RecordPeerEvidence, RecordPeerLogs, SettingsActor};
pub use follower::SettingsFollower;
pub use handle::{SettingsHandle, SettingsState};
pub use peers::{NetworkPeers, SettingsPeer, SettingsPeers, SettingsServer};
pub use replica::{
    ChangeVerdict, HistoryEntry, PublishError, SettingsReplica, read_history, read_start, settings_text,
    version_after,
};
pub use snapshot::SnapshotWriter;
