//! Reading, checking and publishing settings straight at the log.
//!
//! A change counts once it is read back and the fold has accepted it. When the answer to an append is lost,
//! the log is read up to its head; only if the change is not there is the append repeated, with the same
//! record id, so that a change that arrives twice takes effect once.

use std::sync::Arc;
use std::time::Duration;

use derive_more::{Display, Error, From};
use marigoldlock_core::settings::{
    FoldOutcome, SettingsChange, SettingsFold, SettingsPath, SettingsRejection, SnapshotReader, restore_fold,
};
use marigoldlock_wire::codec;
use marigoldlock_wire::prelude::*;
use marigoldlock_wire::record::{Envelope, SETTINGS_SNAPSHOT_STREAM, SETTINGS_STREAM};
use tokio::time::Instant;
use toml::{Table, Value};

use crate::platform::{LogClient, LogError, ReadBatch};

/// Most records of one read.
const READ_BATCH: usize = 512;

/// Pause before an append or a read is repeated.
const REPEAT_PAUSE: Duration = Duration::from_millis(100);

/// Time after which a change that was not read back is left unconfirmed.
const GIVE_UP: Duration = Duration::from_secs(6);

/// Verdict of the fold on one change of an append.
pub type ChangeVerdict = Result<LogPosition, SettingsRejection>;

/// Why settings were not read or published.
#[derive(Debug, Display, Error, From)]
pub enum PublishError {
    /// The check refuses the change; nothing was appended.
    #[display("{_0}")]
    Rejected(SettingsRejection),
    /// The log does not answer; nothing was appended.
    #[display("{_0}")]
    Log(LogError),
    /// The change was sent to the log and not read back in time.
    #[display("the change was sent to the log and was not read back within {} s", GIVE_UP.as_secs())]
    Unconfirmed,
    /// The start of the stream has expired and no whole snapshot reaches back to what is kept.
    #[display("the settings are kept from offset {first} on and no snapshot covers what came before")]
    #[from(ignore)]
    Expired {
        /// Oldest offset that is kept.
        first: u64,
    },
}

impl PublishError {
    /// Result code for the operator.
    pub fn code(&self) -> ResultCode {
        match self {
            Self::Rejected(rejection) => rejection.code(),
            Self::Log(_) => ResultCode::LogUnavailable,
            Self::Unconfirmed => ResultCode::ChangeNotConfirmed,
            Self::Expired { .. } => ResultCode::SettingsStale,
        }
    }
}

/// Change as the stream holds it, with what became of it.
#[derive(Clone, Debug)]
pub struct HistoryEntry {
    /// Position of the change.
    pub position: LogPosition,
    /// The change.
    pub change: SettingsChange,
    /// What the fold made of it; `None` for a repeat of an earlier append.
    pub verdict: Option<Result<(), SettingsRejection>>,
}

impl HistoryEntry {
    /// `accepted`, `repeated`, or why the change was refused.
    pub fn verdict_text(&self) -> String {
        match &self.verdict {
            Some(Ok(())) => "accepted".to_owned(),
            Some(Err(rejection)) => rejection.to_string(),
            None => "repeated".to_owned(),
        }
    }
}

/// Version from which on the record at a position is folded.
pub fn version_after(position: LogPosition) -> LogPosition {
    LogPosition::new(position.offset() + 1, 0)
}

/// A value as the TOML of a change's body.
pub fn settings_text(value: Value) -> String {
    match value {
        Value::Table(table) => table.to_string(),
        scalar => Table::from_iter([("value".to_owned(), scalar)]).to_string(),
    }
}

/// Folded settings that follow the log on request.
pub struct SettingsReplica {
    log: Arc<dyn LogClient>,
    fold: SettingsFold,
}

impl SettingsReplica {
    /// Reads the log's snapshots and its stream up to the head.
    ///
    /// # Errors
    ///
    /// Fails if the log does not answer or does not hold the whole settings.
    pub async fn open(log: Arc<dyn LogClient>) -> Result<Self, PublishError> {
        let mut replica = Self {
            log,
            fold: SettingsFold::new(),
        };
        replica.load_start().await?;
        replica.catch_up().await?;
        Ok(replica)
    }

    /// Goes on from a fold that an instance holds.
    pub fn resume(log: Arc<dyn LogClient>, fold: SettingsFold) -> Self {
        Self { log, fold }
    }

    /// The folded settings.
    pub fn fold(&self) -> &SettingsFold {
        &self.fold
    }

    /// Folds up to the head.
    ///
    /// # Errors
    ///
    /// Fails if the log does not answer or has dropped records that were not read.
    pub async fn catch_up(&mut self) -> Result<(), PublishError> {
        self.read_to_head(|_, _, _| ()).await
    }

    /// Tells whether the changes would be accepted one after the other.
    ///
    /// # Errors
    ///
    /// Fails with the first refusal.
    pub fn check(&self, changes: &[SettingsChange]) -> Result<(), SettingsRejection> {
        let mut trial = self.fold.clone();
        for change in changes {
            trial.apply(trial.version(), change)?;
        }
        Ok(())
    }

    /// Checks the changes, appends them as one record and waits until they are read back.
    ///
    /// A change without `expect` gets the version that it was checked against. The verdicts come in the
    /// order of the changes; one may be a refusal if another operator's change came first.
    ///
    /// # Errors
    ///
    /// [`PublishError::Unconfirmed`] leaves open whether the changes take effect; after the others none
    /// does.
    pub async fn publish(
        &mut self,
        mut changes: Vec<SettingsChange>,
        writer: &InstanceId,
        incarnation: Incarnation,
    ) -> Result<Vec<ChangeVerdict>, PublishError> {
        self.catch_up().await?;
        self.check(&changes)?;
        let checked_at = self.fold.version();
        for change in &mut changes {
            change.expect.get_or_insert(checked_at);
        }
        let id = RecordId(rand::random());
        let envelope = Envelope {
            id,
            writer: writer.clone(),
            incarnation,
            records: changes,
        };
        self.append(id, codec::encode(&envelope)).await
    }

    async fn append(&mut self, id: RecordId, data: Vec<u8>) -> Result<Vec<ChangeVerdict>, PublishError> {
        let give_up = Instant::now() + GIVE_UP;
        let mut sent = false;
        let mut answered = false;
        loop {
            let mut refusal = None;
            if !answered {
                match self.log.append(SETTINGS_STREAM, data.clone().into()).await {
                    Ok(_) => answered = true,
                    Err(LogError::Unknown { .. }) => sent = true,
                    Err(error @ LogError::TooLarge { .. }) => return Err(error.into()),
                    Err(error) => refusal = Some(error),
                }
            }
            if answered || sent {
                match self.find(id).await {
                    Ok(Some(verdicts)) => return Ok(verdicts),
                    Ok(None) | Err(PublishError::Log(_)) => (),
                    Err(error) => return Err(error),
                }
            }
            if Instant::now() + REPEAT_PAUSE >= give_up {
                return Err(match refusal {
                    Some(error) if !sent => error.into(),
                    _ => PublishError::Unconfirmed,
                });
            }
            tokio::time::sleep(REPEAT_PAUSE).await;
        }
    }

    /// Folds up to the head and returns the verdicts on the append with the id, if it is there.
    async fn find(&mut self, id: RecordId) -> Result<Option<Vec<ChangeVerdict>>, PublishError> {
        let mut found = None;
        self.read_to_head(|offset, envelope, outcome| {
            if let (true, FoldOutcome::Folded(verdicts)) = (envelope.id == id, outcome) {
                found = Some(with_positions(offset, verdicts));
            }
        })
        .await?;
        Ok(found)
    }

    async fn read_to_head(
        &mut self,
        mut on_fold: impl FnMut(u64, &Envelope<SettingsChange>, &FoldOutcome),
    ) -> Result<(), PublishError> {
        loop {
            let from = self.fold.version().offset();
            let batch = self
                .log
                .read(SETTINGS_STREAM, from, READ_BATCH, Duration::ZERO)
                .await?;
            if batch.first > from {
                return Err(PublishError::Expired { first: batch.first });
            }
            for (offset, data) in &batch.records {
                match codec::decode::<Envelope<SettingsChange>>(data) {
                    Ok(envelope) => {
                        let outcome = self.fold.apply_envelope(*offset, &envelope);
                        on_fold(*offset, &envelope, &outcome);
                    }
                    Err(_) => self.fold.skip(*offset),
                }
            }
            if batch.next_offset(from) >= batch.head {
                return Ok(());
            }
        }
    }

    async fn load_start(&mut self) -> Result<(), PublishError> {
        let probe = self.log.read(SETTINGS_STREAM, 0, 0, Duration::ZERO).await?;
        self.fold = match read_start(self.log.as_ref(), probe.first).await? {
            Some(fold) => fold,
            None => return Err(PublishError::Expired { first: probe.first }),
        };
        Ok(())
    }
}

fn with_positions(offset: u64, verdicts: &[Result<(), SettingsRejection>]) -> Vec<ChangeVerdict> {
    let positioned = verdicts
        .iter()
        .enumerate()
        .map(|(index, verdict)| verdict.clone().map(|()| LogPosition::new(offset, index)));
    positioned.collect()
}

/// The fold that a fresh reader starts from, given the oldest offset kept of the settings stream.
///
/// # Errors
///
/// Fails if the log does not answer.
pub async fn read_start(log: &dyn LogClient, first: u64) -> Result<Option<SettingsFold>, LogError> {
    let mut reader = SnapshotReader::default();
    let mut from = 0;
    loop {
        let batch: ReadBatch = log
            .read(SETTINGS_SNAPSHOT_STREAM, from, READ_BATCH, Duration::ZERO)
            .await?;
        for (_, data) in &batch.records {
            if let Ok(envelope) = codec::decode(data) {
                reader.add(&envelope);
            }
        }
        from = batch.next_offset(from);
        if from >= batch.head {
            return Ok(restore_fold(first, &reader));
        }
    }
}

/// Changes at, above or under a path that the log still keeps, oldest first.
///
/// # Errors
///
/// Fails if the log does not answer or does not hold the whole settings.
pub async fn read_history(
    log: Arc<dyn LogClient>,
    path: &SettingsPath,
) -> Result<Vec<HistoryEntry>, PublishError> {
    let mut replica = SettingsReplica {
        log,
        fold: SettingsFold::new(),
    };
    let probe = replica.log.read(SETTINGS_STREAM, 0, 0, Duration::ZERO).await?;
    if probe.first > 0 {
        replica.load_start().await?;
    }
    let mut entries = Vec::new();
    replica
        .read_to_head(|offset, envelope, outcome| {
            for (index, change) in envelope.records.iter().enumerate() {
                let changed: Result<SettingsPath, _> = change.path.parse();
                if changed.is_ok_and(|changed| changed.overlaps(path)) {
                    let verdict = match outcome {
                        FoldOutcome::Folded(verdicts) => verdicts.get(index).cloned(),
                        FoldOutcome::Duplicate => None,
                    };
                    let position = LogPosition::new(offset, index);
                    entries.push(HistoryEntry {
                        position,
                        change: change.clone(),
                        verdict,
                    });
                }
            }
        })
        .await?;
    Ok(entries)
}
