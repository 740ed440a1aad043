//! The actor that folds the settings stream.

use std::convert::Infallible;
use std::time::Duration;

use bytes::Bytes;
use kameo::Actor;
use kameo::actor::ActorRef;
use kameo::message::{Context, Message};
use log::{info, warn};
use marigoldlock_core::keys::OutageView;
use marigoldlock_core::settings::{FoldOutcome, SettingsFold, SettingsSnapshot};
use marigoldlock_core::time::MonoTime;
use marigoldlock_wire::codec;
use marigoldlock_wire::peer::SettingsNews;
use marigoldlock_wire::prelude::*;
use marigoldlock_wire::record::Envelope;
use marigoldlock_wire::record::settings::SettingsChange;
use tokio::sync::watch;

use super::handle::SettingsState;
use super::recent::RecentRecords;

/// Age of a peer's evidence up to which it shows that the log can be read.
pub(super) const FRESH_EVIDENCE: Duration = Duration::from_secs(2);

/// Owner of the settings fold.
pub struct SettingsActor {
    fold: SettingsFold,
    recent: RecentRecords,
    state: watch::Sender<SettingsState>,
}

impl Actor for SettingsActor {
    type Args = watch::Sender<SettingsState>;
    type Error = Infallible;

    async fn on_start(state: Self::Args, _: ActorRef<Self>) -> Result<Self, Infallible> {
        Ok(Self {
            fold: SettingsFold::new(),
            recent: RecentRecords::default(),
            state,
        })
    }
}

impl SettingsActor {
    fn fold_record(&mut self, offset: u64, data: &Bytes) {
        if offset < self.fold.version().offset() {
            return;
        }
        match codec::decode::<Envelope<SettingsChange>>(data) {
            Ok(envelope) => self.fold_envelope(offset, &envelope),
            Err(err) => {
                warn!(offset, error:% = err; "settings record skipped");
                self.fold.skip(offset);
            }
        }
        self.recent.push(offset, data.clone());
    }

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
    }

    /// Takes over a whole state, if it is newer than the own one.
    fn adopt(&mut self, fold: SettingsFold) {
        if fold.version() > self.fold.version() {
            info!(version:% = fold.version(); "settings taken from a snapshot");
            self.recent.restart(fold.version().offset());
            self.fold = fold;
        }
    }

    fn adopt_image(&mut self, image: &[u8]) {
        let restored = codec::decode::<SettingsSnapshot>(image).map_err(|err| err.to_string());
        match restored.and_then(|image| image.restore().map_err(|err| err.to_string())) {
            Ok(fold) => self.adopt(fold),
            Err(err) => warn!(error = err; "settings of a peer can't be read"),
        }
    }

    fn publish(&self, note: impl FnOnce(&mut SettingsState)) {
        let version = self.fold.version();
        self.state.send_modify(|state| {
            if state.active.version() != version {
                state.active = self.fold.active();
            }
            note(state);
        });
    }
}

/// Records that were read from the log.
pub struct FoldBatch {
    /// Offset and bytes of each record.
    pub records: Vec<(u64, Bytes)>,
    /// When the read was asked for, if it came up to the log's head.
    pub fresh: Option<MonoTime>,
}

impl Message<FoldBatch> for SettingsActor {
    type Reply = ();

    async fn handle(&mut self, batch: FoldBatch, _: &mut Context<Self, ()>) {
        for (offset, data) in &batch.records {
            self.fold_record(*offset, data);
        }
        self.publish(|state| {
            if let Some(asked) = batch.fresh {
                state.evidence.record_log_read(asked);
            }
            state.log_failing = false;
        });
    }
}

/// State that was read from the log's snapshots.
pub struct AdoptFold(pub Box<SettingsFold>);

impl Message<AdoptFold> for SettingsActor {
    type Reply = ();

    async fn handle(&mut self, adopted: AdoptFold, _: &mut Context<Self, ()>) {
        self.adopt(*adopted.0);
        self.publish(|_| ());
    }
}

/// Answer of a peer that was asked for settings.
pub struct TakeNews {
    /// When the peer was asked.
    pub sent_at: MonoTime,
    /// Its answer.
    pub news: Box<SettingsNews>,
}

impl Message<TakeNews> for SettingsActor {
    type Reply = ();

    async fn handle(&mut self, taken: TakeNews, _: &mut Context<Self, ()>) {
        let news = taken.news;
        if let Some(image) = &news.image {
            self.adopt_image(image);
        }
        for record in &news.records {
            // A peer hands its records on without a gap; one that starts later belongs to another answer.
            if record.offset == self.fold.version().offset() {
                self.fold_record(record.offset, &record.data);
            }
        }
        let own_version = self.fold.version();
        let age = news.age_ms.map(Duration::from_millis);
        self.publish(|state| {
            if let Some(age) = age {
                state
                    .evidence
                    .record_peer(taken.sent_at, age, news.version, own_version);
                if age <= FRESH_EVIDENCE {
                    state.log_failing = false;
                }
            }
        });
    }
}

/// Asks for what this instance has after a version.
pub struct ReadNews {
    /// The version that the asker has.
    pub after: LogPosition,
}

impl Message<ReadNews> for SettingsActor {
    type Reply = NewsReply;

    async fn handle(&mut self, read: ReadNews, _: &mut Context<Self, NewsReply>) -> NewsReply {
        let mut news = SettingsNews {
            version: self.fold.version(),
            ..SettingsNews::default()
        };
        if read.after < news.version {
            match self.recent.after(read.after.offset()) {
                Some(records) => news.records = records,
                None => news.image = Some(codec::encode(&SettingsSnapshot::of(&self.fold)).into()),
            }
        }
        NewsReply(news)
    }
}

/// Settings after a version; the age of the evidence is left to the asker.
#[derive(kameo::Reply)]
pub struct NewsReply(pub SettingsNews);

/// Asks for a copy of the fold.
pub struct CloneFold;

impl Message<CloneFold> for SettingsActor {
    type Reply = FoldCopy;

    async fn handle(&mut self, _: CloneFold, _: &mut Context<Self, FoldCopy>) -> FoldCopy {
        FoldCopy(self.fold.clone())
    }
}

/// Copy of the fold.
#[derive(kameo::Reply)]
pub struct FoldCopy(pub SettingsFold);

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
                .record_peer(note.sent_at, note.age, note.version, own_version);
        });
    }
}

/// What the visible members say about the log, this instance not among them.
pub struct NoteView(pub OutageView);

impl Message<NoteView> for SettingsActor {
    type Reply = ();

    async fn handle(&mut self, note: NoteView, _: &mut Context<Self, ()>) {
        self.state.send_modify(|state| {
            state.view = OutageView {
                behind: state.view.behind,
                ..note.0
            };
            if state.log_failing {
                state.view.confirming += 1;
            } else {
                state.view.denying += 1;
            }
        });
    }
}

/// Newest version that a visible member has.
pub struct NoteNewest(pub LogPosition);

impl Message<NoteNewest> for SettingsActor {
    type Reply = ();

    async fn handle(&mut self, newest: NoteNewest, _: &mut Context<Self, ()>) {
        let behind = self.fold.version() < newest.0;
        self.state.send_if_modified(|state| {
            let changed = state.view.behind != behind;
            state.view.behind = behind;
            changed
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
