//! Reading and writing the parts of inputs and results.

use std::sync::Arc;
use std::time::Duration;

use bytes::{Bytes, BytesMut};
use marigoldlock_wire::codec;
use marigoldlock_wire::prelude::*;
use marigoldlock_wire::record::jobs::JobRecord;
use marigoldlock_wire::record::{Envelope, JOBS_STREAM};

use crate::log_stream::{AppendOutcome, RecordWriter};
use crate::platform::LogClient;

/// Time between attempts to append a part.
const APPEND_RETRY_INTERVAL: Duration = Duration::from_secs(1);

/// Reads the records at the positions; `None` if one can't be read now.
pub(super) async fn read_records(
    log: &Arc<dyn LogClient>,
    positions: &[LogPosition],
) -> Option<Vec<JobRecord>> {
    let mut records = Vec::with_capacity(positions.len());
    for position in positions {
        let batch = log
            .read(JOBS_STREAM, position.offset(), 1, Duration::ZERO)
            .await
            .ok()?;
        let (offset, data) = batch.records.into_iter().next()?;
        if offset != position.offset() {
            return None;
        }
        let envelope: Envelope<JobRecord> = codec::decode(&data).ok()?;
        records.push(envelope.records.into_iter().nth(position.index())?);
    }
    Some(records)
}

/// Joins the bytes of the parts.
pub(super) fn join_parts(records: &[JobRecord]) -> Bytes {
    let mut joined = BytesMut::new();
    for record in records {
        match record {
            JobRecord::Input(input) => joined.extend_from_slice(&input.data),
            JobRecord::Result(result) => joined.extend_from_slice(&result.data),
            JobRecord::Claim(_) => {}
        }
    }
    joined.freeze()
}

/// Copies of the records with the time of writing set to `now_ms`.
pub(super) fn copies_written_at(mut records: Vec<JobRecord>, now_ms: u64) -> Vec<JobRecord> {
    for record in &mut records {
        match record {
            JobRecord::Input(input) => input.written_ms = now_ms,
            JobRecord::Result(result) => result.written_ms = now_ms,
            JobRecord::Claim(_) => {}
        }
    }
    records
}

/// Appends the records in order and retries each until it succeeds; readers ignore duplicates.
pub(super) async fn append_all(writer: &RecordWriter<JobRecord>, records: Vec<JobRecord>) {
    for record in records {
        while !matches!(writer.append(record.clone()).await, AppendOutcome::Appended(_)) {
            tokio::time::sleep(APPEND_RETRY_INTERVAL).await;
        }
    }
}
