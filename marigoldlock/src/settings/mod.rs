//! The settings in force at this instance.
//!
//! The actor folds the settings stream and publishes each new state through a watch channel, so that the
//! request path reads it without a message.

mod actor;
mod follow;
mod handle;
mod peers;
mod recent;
mod replica;
mod snapshot;

pub use actor::{CloneFold, FoldCopy, NotePeer, NoteView, SettingsActor};
pub use follow::SettingsFollower;
pub use handle::{SettingsHandle, SettingsState};
pub use peers::{NetworkPeers, SettingsPeer, SettingsPeers, SettingsServer};
pub use replica::{
    ChangeVerdict, HistoryEntry, PublishError, SettingsReplica, read_history, read_start, settings_text,
    version_after,
};
pub use snapshot::SnapshotWriter;
