//! Actor that applies the settings stream and publishes the settings in force.

use std::convert::Infallible;
use std::time::Duration;

use bytes::Bytes;
use kameo::Actor;
use kameo::actor::ActorRef;
use kameo::message::{Context, Message};
use log::{info, warn};
use marigoldlock_core::keys::{FreshnessRule, OutageView};
use marigoldlock_core::settings::{FoldOutcome, SettingsFold, SettingsSnapshot};
use marigoldlock_core::time::MonoTime;
use marigoldlock_wire::codec;
use marigoldlock_wire::peer::SettingsUpdate;
use marigoldlock_wire::prelude::*;
use marigoldlock_wire::record::Envelope;
use marigoldlock_wire::record::settings::SettingsChange;
use tokio::sync::watch;

use super::handle::SettingsState;
use super::recent::RecentRecords;

/// Maximum age of a peer's evidence that proves that the log is readable.
pub(super) const MAX_FRESH_AGE: Duration = Duration::from_secs(2);

/// Owner of the settings state.
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
    fn apply_record(&mut self, offset: u64, data: &Bytes) {
        if offset < self.fold.version().offset() {
            return;
        }
        match codec::decode::<Envelope<SettingsChange>>(data) {
            Ok(envelope) => self.apply_envelope(offset, &envelope),
            Err(err) => {
                warn!(offset, error:% = err; "skipping a settings record that can't be decoded");
                self.fold.skip(offset);
            }
        }
        self.recent.push(offset, data.clone());
    }

    fn apply_envelope(&mut self, offset: u64, envelope: &Envelope<SettingsChange>) {
        if let FoldOutcome::Folded(verdicts) = self.fold.apply_envelope(offset, envelope) {
            for (change, verdict) in envelope.records.iter().zip(verdicts) {
                match verdict {
                    Ok(()) => {
                        info!(offset, path = change.path, author = change.author; "settings change applied")
                    }
                    Err(err) => warn!(offset, path = change.path, error:% = err; "settings change rejected"),
                }
            }
        }
    }

    /// Replaces the state if the given one is newer.
    fn adopt(&mut self, fold: SettingsFold) {
        if fold.version() > self.fold.version() {
            info!(version:% = fold.version(); "settings loaded from a snapshot");
            self.recent.reset(fold.version().offset());
            self.fold = fold;
        }
    }

    fn adopt_snapshot(&mut self, encoded: &[u8]) {
        let restored = codec::decode::<SettingsSnapshot>(encoded).map_err(|err| err.to_string());
        match restored.and_then(|snapshot| snapshot.restore().map_err(|err| err.to_string())) {
            Ok(fold) => self.adopt(fold),
            Err(err) => warn!(error = err; "the settings snapshot of a peer can't be restored"),
        }
    }

    fn publish(&self, update: impl FnOnce(&mut SettingsState)) {
        let version = self.fold.version();
        self.state.send_modify(|state| {
            if state.active.version() != version {
                state.active = self.fold.active();
            }
            update(state);
        });
    }
}

/// Applies records that were read from the log.
pub struct ApplyBatch {
    /// Offset and bytes of each record.
    pub records: Vec<(u64, Bytes)>,
    /// When the read was requested.
    pub sent_at: MonoTime,
    /// True if the read reached the head of the log.
    pub is_head: bool,
}

impl Message<ApplyBatch> for SettingsActor {
    type Reply = ();

    async fn handle(&mut self, batch: ApplyBatch, _: &mut Context<Self, ()>) {
        for (offset, data) in &batch.records {
            self.apply_record(*offset, data);
        }
        self.publish(|state| {
            if batch.is_head {
                state.evidence.record_log_read(batch.sent_at);
            }
            state.log.record_answer(batch.sent_at);
        });
    }
}

/// Adopts a state that was restored from a snapshot in the log.
pub struct AdoptFold(pub Box<SettingsFold>);

impl Message<AdoptFold> for SettingsActor {
    type Reply = ();

    async fn handle(&mut self, message: AdoptFold, _: &mut Context<Self, ()>) {
        self.adopt(*message.0);
        self.publish(|_| ());
    }
}

/// Applies a peer's answer to a request for settings.
pub struct ApplyPeerAnswer {
    /// When the request was sent.
    pub sent_at: MonoTime,
    /// Answer of the peer.
    pub answer: Box<SettingsUpdate>,
}

impl Message<ApplyPeerAnswer> for SettingsActor {
    type Reply = ();

    async fn handle(&mut self, message: ApplyPeerAnswer, _: &mut Context<Self, ()>) {
        let answer = message.answer;
        if let Some(image) = &answer.image {
            self.adopt_snapshot(image);
        }
        for record in &answer.records {
            // A peer sends its records without gaps, so a record that does not follow the state is outdated.
            if record.offset == self.fold.version().offset() {
                self.apply_record(record.offset, &record.data);
            }
        }
        let own_version = self.fold.version();
        let age = answer.age_ms.map(Duration::from_millis);
        self.publish(|state| {
            if let Some(age) = age {
                state
                    .evidence
                    .record_peer(message.sent_at, age, answer.version, own_version);
                if age <= MAX_FRESH_AGE {
                    state.log.record_answer(message.sent_at - age);
                }
            }
        });
    }
}

/// Requests the changes after a version.
pub struct ReadChanges {
    /// Version that the requester has.
    pub after: LogPosition,
}

impl Message<ReadChanges> for SettingsActor {
    type Reply = ChangesReply;

    async fn handle(&mut self, read: ReadChanges, _: &mut Context<Self, ChangesReply>) -> ChangesReply {
        let mut answer = SettingsUpdate {
            version: self.fold.version(),
            ..SettingsUpdate::default()
        };
        if read.after < answer.version {
            match self.recent.after(read.after.offset()) {
                Some(records) => answer.records = records,
                None => answer.image = Some(codec::encode(&SettingsSnapshot::of(&self.fold)).into()),
            }
        }
        ChangesReply(answer)
    }
}

/// Changes after a version; the handler's caller fills in the age of the evidence.
#[derive(kameo::Reply)]
pub struct ChangesReply(pub SettingsUpdate);

/// Requests a copy of the settings state.
pub struct CloneFold;

impl Message<CloneFold> for SettingsActor {
    type Reply = FoldCopy;

    async fn handle(&mut self, _: CloneFold, _: &mut Context<Self, FoldCopy>) -> FoldCopy {
        FoldCopy(self.fold.clone())
    }
}

/// Copy of the settings state.
#[derive(kameo::Reply)]
pub struct FoldCopy(pub SettingsFold);

/// Records a peer's evidence of how fresh its settings are.
pub struct RecordPeerEvidence {
    /// When the peer was asked.
    pub sent_at: MonoTime,
    /// Age of the peer's evidence.
    pub age: Duration,
    /// Settings version of the peer.
    pub version: LogPosition,
}

impl Message<RecordPeerEvidence> for SettingsActor {
    type Reply = ();

    async fn handle(&mut self, message: RecordPeerEvidence, _: &mut Context<Self, ()>) {
        let own_version = self.fold.version();
        self.state.send_modify(|state| {
            state
                .evidence
                .record_peer(message.sent_at, message.age, message.version, own_version);
        });
    }
}

/// Records how long ago the visible members, without this instance, could read the log.
pub struct RecordPeerLogs {
    /// Entry instances on the platform's list, including this one.
    pub listed: usize,
    /// Age of the evidence of each visible member.
    pub ages: Vec<Duration>,
}

impl Message<RecordPeerLogs> for SettingsActor {
    type Reply = ();

    async fn handle(&mut self, logs: RecordPeerLogs, _: &mut Context<Self, ()>) {
        self.state.send_modify(|state| {
            let rule = FreshnessRule::from(state.active.fleet().freshness);
            state.peers = OutageView {
                behind: state.peers.behind,
                ..OutageView::of_peers(logs.listed, &logs.ages, &rule)
            };
        });
    }
}

/// Records the newest settings version of any visible member.
pub struct RecordNewestVersion(pub LogPosition);

impl Message<RecordNewestVersion> for SettingsActor {
    type Reply = ();

    async fn handle(&mut self, newest: RecordNewestVersion, _: &mut Context<Self, ()>) {
        let behind = self.fold.version() < newest.0;
        self.state.send_if_modified(|state| {
            let changed = state.peers.behind != behind;
            state.peers.behind = behind;
            changed
        });
    }
}

/// Records that reading the log failed.
pub struct RecordLogFailure;

impl Message<RecordLogFailure> for SettingsActor {
    type Reply = ();

    async fn handle(&mut self, _: RecordLogFailure, _: &mut Context<Self, ()>) {
        self.state.send_modify(|state| state.log.record_failure());
    }
}
