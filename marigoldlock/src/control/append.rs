//! Appending of one envelope with retries until the result is known.

use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use marigoldlock_wire::record::CONTROL_STREAM;

use crate::platform::{LogClient, LogError};

/// Delay before an append is repeated.
const RETRY_DELAY: Duration = Duration::from_millis(200);

/// Result of an append.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum AppendResult {
    /// The log has stored it; it takes effect once it is read back.
    Appended,
    /// The log refused it and will never store it.
    Refused,
}

/// Appends the bytes, repeating the append unchanged while it is unknown whether the log has stored it.
pub async fn append_until_known(log: Arc<dyn LogClient>, data: Bytes) -> AppendResult {
    let mut may_be_stored = false;
    loop {
        match log.append(CONTROL_STREAM, data.clone()).await {
            Ok(_) => return AppendResult::Appended,
            Err(LogError::Unknown { .. }) => may_be_stored = true,
            Err(LogError::Refused { .. } | LogError::Unreachable { .. } | LogError::TooLarge { .. }) => {
                if !may_be_stored {
                    return AppendResult::Refused;
                }
            }
        }
        tokio::time::sleep(RETRY_DELAY).await;
    }
}
