//! Reading, checking and publishing of settings directly at the log.
//!
//! A change takes effect once it is read back from the log and accepted. If the answer to an append is lost, the
//! log is read up to its head. The append is repeated only if the change is not there, and with the same record
//! id, so that a change that is stored twice takes effect once.

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

/// Maximum number of records per read.
const MAX_READ_RECORDS: usize = 512;

/// Delay before an append or a read is repeated.
const RETRY_DELAY: Duration = Duration::from_millis(100);

/// Time after which a change that was not read back is reported as unconfirmed.
const CONFIRM_TIMEOUT: Duration = Duration::from_secs(6);

/// Position of an accepted change, or the reason for its rejection.
pub type ChangeVerdict = Result<LogPosition, SettingsRejection>;

/// Why reading or publishing settings failed.
#[derive(Debug, Display, Error, From)]
pub enum PublishError {
    /// The change is invalid; nothing was appended.
    #[display("{_0}")]
    Rejected(SettingsRejection),
    /// The log is unavailable; nothing was appended.
    #[display("{_0}")]
    Log(LogError),
    /// The change was sent to the log, but not read back in time.
    #[display(
        "the change was sent to the log and was not read back within {} s",
        CONFIRM_TIMEOUT.as_secs()
    )]
    Unconfirmed,
    /// The start of the stream has expired, and no complete snapshot covers the expired records.
    #[display("the settings are kept from offset {first} on and no snapshot covers what came before")]
    #[from(ignore)]
    Expired {
        /// Oldest offset that the log keeps.
        first: u64,
    },
}

impl PublishError {
    /// Returns the result code for the operator.
    pub fn code(&self) -> ResultCode {
        match self {
            Self::Rejected(rejection) => rejection.code(),
            Self::Log(_) => ResultCode::LogUnavailable,
            Self::Unconfirmed => ResultCode::ChangeNotConfirmed,
            Self::Expired { .. } => ResultCode::SettingsStale,
        }
    }
}

/// Change in the settings stream and its outcome.
#[derive(Clone, Debug)]
pub struct HistoryEntry {
    /// Position of the change.
    pub position: LogPosition,
    /// The change.
    pub change: SettingsChange,
    /// Whether the change was accepted; `None` if it belongs to a repeated append, which is ignored.
    pub verdict: Option<Result<(), SettingsRejection>>,
}

impl HistoryEntry {
    /// Returns `accepted`, `repeated` or the reason for the rejection.
    pub fn verdict_text(&self) -> String {
        match &self.verdict {
            Some(Ok(())) => "accepted".to_owned(),
            Some(Err(rejection)) => rejection.to_string(),
            None => "repeated".to_owned(),
        }
    }
}

/// Returns the first version that includes the record at a position.
pub fn version_after(position: LogPosition) -> LogPosition {
    LogPosition::new(position.offset() + 1, 0)
}

/// Formats a value as the TOML body of a change.
pub fn settings_text(value: Value) -> String {
    match value {
        Value::Table(table) => table.to_string(),
        scalar => Table::from_iter([("value".to_owned(), scalar)]).to_string(),
    }
}

/// Copy of the settings state that is updated from the log on request.
pub struct SettingsReplica {
    log: Arc<dyn LogClient>,
    fold: SettingsFold,
}

impl SettingsReplica {
    /// Builds the state from the snapshots in the log and the settings stream up to its head.
    ///
    /// # Errors
    ///
    /// Fails if the log does not answer or no longer holds the complete settings.
    pub async fn open(log: Arc<dyn LogClient>) -> Result<Self, PublishError> {
        let mut replica = Self {
            log,
            fold: SettingsFold::new(),
        };
        replica.load_snapshot().await?;
        replica.catch_up().await?;
        Ok(replica)
    }

    /// Creates a replica that continues from an existing state.
    pub fn resume(log: Arc<dyn LogClient>, fold: SettingsFold) -> Self {
        Self { log, fold }
    }

    /// Returns the settings state.
    pub fn fold(&self) -> &SettingsFold {
        &self.fold
    }

    /// Applies the records up to the head of the log.
    ///
    /// # Errors
    ///
    /// Fails if the log does not answer or has dropped records that were not read yet.
    pub async fn catch_up(&mut self) -> Result<(), PublishError> {
        self.read_to_head(|_, _, _| ()).await
    }

    /// Checks whether the changes would be accepted if applied in order.
    ///
    /// # Errors
    ///
    /// Fails with the first rejection.
    pub fn check(&self, changes: &[SettingsChange]) -> Result<(), SettingsRejection> {
        let mut trial = self.fold.clone();
        for change in changes {
            trial.apply(trial.version(), change)?;
        }
        Ok(())
    }

    /// Checks the changes, appends them as one record and waits until they are read back.
    ///
    /// A change without `expect` gets the version that it was checked against. The verdicts are in the order of
    /// the changes; a change may be rejected if another operator's change was stored first.
    ///
    /// # Errors
    ///
    /// After [`PublishError::Unconfirmed`] the changes may or may not take effect. After any other error none of
    /// them does.
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
        let deadline = Instant::now() + CONFIRM_TIMEOUT;
        let mut outcome_unknown = false;
        let mut acknowledged = false;
        loop {
            let mut refusal = None;
            if !acknowledged {
                match self.log.append(SETTINGS_STREAM, data.clone().into()).await {
                    Ok(_) => acknowledged = true,
                    Err(LogError::Unknown { .. }) => outcome_unknown = true,
                    Err(error @ LogError::TooLarge { .. }) => return Err(error.into()),
                    Err(error) => refusal = Some(error),
                }
            }
            if acknowledged || outcome_unknown {
                match self.find_verdicts(id).await {
                    Ok(Some(verdicts)) => return Ok(verdicts),
                    Ok(None) | Err(PublishError::Log(_)) => (),
                    Err(error) => return Err(error),
                }
            }
            if Instant::now() + RETRY_DELAY >= deadline {
                return Err(match refusal {
                    Some(error) if !outcome_unknown => error.into(),
                    _ => PublishError::Unconfirmed,
                });
            }
            tokio::time::sleep(RETRY_DELAY).await;
        }
    }

    /// Applies the records up to the head and returns the verdicts on the append with the id, if it is stored.
    async fn find_verdicts(&mut self, id: RecordId) -> Result<Option<Vec<ChangeVerdict>>, PublishError> {
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
        mut on_envelope: impl FnMut(u64, &Envelope<SettingsChange>, &FoldOutcome),
    ) -> Result<(), PublishError> {
        loop {
            let from = self.fold.version().offset();
            let batch = self
                .log
                .read(SETTINGS_STREAM, from, MAX_READ_RECORDS, Duration::ZERO)
                .await?;
            if batch.first > from {
                return Err(PublishError::Expired { first: batch.first });
            }
            for (offset, data) in &batch.records {
                match codec::decode::<Envelope<SettingsChange>>(data) {
                    Ok(envelope) => {
                        let outcome = self.fold.apply_envelope(*offset, &envelope);
                        on_envelope(*offset, &envelope, &outcome);
                    }
                    Err(_) => self.fold.skip(*offset),
                }
            }
            if batch.next_offset(from) >= batch.head {
                return Ok(());
            }
        }
    }

    async fn load_snapshot(&mut self) -> Result<(), PublishError> {
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

/// Returns the state from which a new reader starts, given the oldest retained offset of the settings stream.
///
/// Returns `None` if records before that offset have expired and no snapshot covers them.
///
/// # Errors
///
/// Fails if the log does not answer.
pub async fn read_start(log: &dyn LogClient, first: u64) -> Result<Option<SettingsFold>, LogError> {
    let mut reader = SnapshotReader::default();
    let mut from = 0;
    loop {
        let batch: ReadBatch = log
            .read(SETTINGS_SNAPSHOT_STREAM, from, MAX_READ_RECORDS, Duration::ZERO)
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

/// Returns the retained changes at, above or below a path, oldest first.
///
/// # Errors
///
/// Fails if the log does not answer or no longer holds the complete settings.
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
        replica.load_snapshot().await?;
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
