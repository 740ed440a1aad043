//! The actor that folds the settings stream.

use std::convert::Infallible;
use std::time::Duration;

use async_trait::async_trait;
use bytes::Bytes;
use kameo::Actor;
use kameo::actor::ActorRef;
use kameo::message::{Context, Message};
use log::{info, warn};
use marigoldlock_core::keys::OutageView;
use marigoldlock_core::settings::{FoldOutcome, SettingsFold};
use marigoldlock_core::time::MonoTime;
use marigoldlock_wire::codec;
use marigoldlock_wire::prelude::*;
use marigoldlock_wire::record::Envelope;
use marigoldlock_wire::record::settings::SettingsChange;
use tokio::sync::watch;

use super::handle::SettingsState;
use crate::log_stream::RecordSink;
use crate::platform::LogError;

/// Owner of the settings fold.
pub struct SettingsActor {
    fold: SettingsFold,
    state: watch::Sender<SettingsState>,
}

impl Actor for SettingsActor {
    type Args = watch::Sender<SettingsState>;
    type Error = Infallible;

    async fn on_start(state: Self::Args, _: ActorRef<Self>) -> Result<Self, Infallible> {
        Ok(Self {
            fold: SettingsFold::new(),
            state,
        })
    }
}

/// A record of the settings stream.
pub struct FoldRecord {
    /// Offset in the stream.
    pub offset: u64,
    /// The stored bytes.
    pub data: Bytes,
}

impl Message<FoldRecord> for SettingsActor {
    type Reply = ();

    async fn handle(&mut self, record: FoldRecord, _: &mut Context<Self, ()>) {
        match codec::decode::<Envelope<SettingsChange>>(&record.data) {
            Ok(envelope) => self.fold_envelope(record.offset, &envelope),
            Err(err) => warn!(offset = record.offset, error:% = err; "settings record skipped"),
        }
    }
}

impl SettingsActor {
    fn fold_envelope(&mut self, offset: u64, envelope: &Envelope<SettingsChange>) {
        if let FoldOutcome::Folded(verdicts) = self.fold.apply_envelope(offset, envelope) {
            for (change, verdict) in envelope.records.iter().zip(verdicts) {
                match verdict {
                    Ok(()) => {
                        info!(offset, path = change.path, author = change.author; "settings change in force")
                    }
                    Err(err) => warn!(offset, path = change.path, error:% = err; "settings change refused"),
                }
            }
        }
        let active = self.fold.active();
        self.state.send_modify(|state| state.active = active);
    }
}

/// The log was read to its head.
pub struct NoteFresh {
    /// When the read was asked for.
    pub asked: MonoTime,
}

impl Message<NoteFresh> for SettingsActor {
    type Reply = ();

    async fn handle(&mut self, note: NoteFresh, _: &mut Context<Self, ()>) {
        self.state.send_modify(|state| {
            state.evidence.note_log_read(note.asked);
            state.log_read = Some(note.asked);
            state.log_failing = false;
        });
    }
}

/// A peer's word on how fresh its settings are.
pub struct NotePeer {
    /// When the peer was asked.
    pub sent_at: MonoTime,
    /// Age of the peer's own evidence.
    pub age: Duration,
    /// Its settings version.
    pub version: LogPosition,
}

impl Message<NotePeer> for SettingsActor {
    type Reply = ();

    async fn handle(&mut self, note: NotePeer, _: &mut Context<Self, ()>) {
        let own_version = self.fold.version();
        self.state.send_modify(|state| {
            state
                .evidence
                .note_peer(note.sent_at, note.age, note.version, own_version);
        });
    }
}

/// What the visible members say about the log, this instance not among them.
pub struct NoteView(pub OutageView);

impl Message<NoteView> for SettingsActor {
    type Reply = ();

    async fn handle(&mut self, note: NoteView, _: &mut Context<Self, ()>) {
        self.state.send_modify(|state| {
            state.view = note.0;
            if state.log_failing {
                state.view.confirming += 1;
            } else {
                state.view.denying += 1;
            }
        });
    }
}

/// The log could not be read.
pub struct NoteFailure;

impl Message<NoteFailure> for SettingsActor {
    type Reply = ();

    async fn handle(&mut self, _: NoteFailure, _: &mut Context<Self, ()>) {
        self.state.send_modify(|state| state.log_failing = true);
    }
}

/// Hands the stream's records to the actor.
pub struct SettingsSink {
    actor: ActorRef<SettingsActor>,
}

impl SettingsSink {
    /// A sink in front of the actor.
    pub fn new(actor: ActorRef<SettingsActor>) -> Self {
        Self { actor }
    }

    async fn tell<M: Send + 'static>(&self, message: M)
    where
        SettingsActor: Message<M>,
    {
        if self.actor.tell(message).send().await.is_err() {
            log::debug!("the settings actor has ended");
        }
    }
}

#[async_trait]
impl RecordSink for SettingsSink {
    async fn on_record(&mut self, offset: u64, data: Bytes) {
        self.tell(FoldRecord { offset, data }).await;
    }

    async fn on_fresh(&mut self, asked: MonoTime, _head: u64) {
        self.tell(NoteFresh { asked }).await;
    }

    async fn on_gap(&mut self, first: u64) {
        warn!(first; "settings records expired before they were read");
    }

    async fn on_failure(&mut self, error: &LogError) {
        warn!(error:% = error; "the settings stream can't be read");
        self.tell(NoteFailure).await;
    }
}
