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

/// Pause before a part is appended again.
const APPEND_PAUSE: Duration = Duration::from_secs(1);

/// The records at the positions; `None` if one can't be read now.
pub(super) async fn read_records(log: &Arc<dyn LogClient>, places: &[LogPosition]) -> Option<Vec<JobRecord>> {
    let mut records = Vec::with_capacity(places.len());
    for place in places {
        let batch = log
            .read(JOBS_STREAM, place.offset(), 1, Duration::ZERO)
            .await
            .ok()?;
        let (offset, data) = batch.records.into_iter().next()?;
        if offset != place.offset() {
            return None;
        }
        let envelope: Envelope<JobRecord> = codec::decode(&data).ok()?;
        records.push(envelope.records.into_iter().nth(place.index())?);
    }
    Some(records)
}

/// The bytes of parts, joined.
pub(super) fn join(records: &[JobRecord]) -> Bytes {
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

/// The records as copies written now.
pub(super) fn rewritten(mut records: Vec<JobRecord>, now_ms: u64) -> Vec<JobRecord> {
    for record in &mut records {
        match record {
            JobRecord::Input(input) => input.written_ms = now_ms,
            JobRecord::Result(result) => result.written_ms = now_ms,
            JobRecord::Claim(_) => {}
        }
    }
    records
}

/// Appends the records in order, each until the log has it; repeats are void for the readers.
pub(super) async fn append_all(writer: &RecordWriter<JobRecord>, records: Vec<JobRecord>) {
    for record in records {
        while !matches!(writer.append(record.clone()).await, AppendOutcome::Appended(_)) {
            tokio::time::sleep(APPEND_PAUSE).await;
        }
    }
}
