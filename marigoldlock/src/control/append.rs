//! Appending one envelope until its fate is known.

use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use marigoldlock_wire::record::CONTROL_STREAM;

use crate::platform::{LogClient, LogError};

/// Pause before an append is repeated.
const REPEAT_PAUSE: Duration = Duration::from_millis(200);

/// What became of an append.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum AppendFate {
    /// The log holds it; it counts once it is read back.
    Appended,
    /// The log refused it and will never hold it.
    Refused,
}

/// Appends the bytes, repeating them unchanged while it is unknown whether the log holds them.
pub async fn append_until_known(log: Arc<dyn LogClient>, data: Bytes) -> AppendFate {
    let mut is_unknown = false;
    loop {
        match log.append(CONTROL_STREAM, data.clone()).await {
            Ok(_) => return AppendFate::Appended,
            Err(LogError::Unknown { .. }) => is_unknown = true,
            Err(LogError::Refused { .. } | LogError::Unreachable { .. } | LogError::TooLarge { .. }) => {
                if !is_unknown {
                    return AppendFate::Refused;
                }
            }
        }
        tokio::time::sleep(REPEAT_PAUSE).await;
    }
}
