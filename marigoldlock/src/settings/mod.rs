//! The settings in force at this instance.
//!
//! The actor folds the settings stream and publishes each new state through a watch channel, so that the
//! request path reads it without a message.

mod actor;
mod handle;

pub use actor::{NotePeer, NoteView, SettingsActor, SettingsSink};
pub use handle::{SettingsHandle, SettingsState};
