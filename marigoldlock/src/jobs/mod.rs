//! Batch jobs, stored in the log so that they survive the end of an instance.

mod actor;
mod follow;
mod handle;
mod parts;

use async_trait::async_trait;
use bytes::Bytes;
use marigoldlock_wire::prelude::*;
use marigoldlock_wire::record::jobs::JobHead;

pub use actor::{JobActor, JobArgs, JobStatus, JobsStreamStatus};
pub use follow::JobsSink;
pub use handle::{JobHandle, JobRefusal};

/// Runs the input of jobs.
#[async_trait]
pub trait JobRunner: Send + Sync {
    /// Runs the input and returns the whole answer.
    ///
    /// # Errors
    ///
    /// Fails with the result code that explains why there is no answer.
    async fn run(&self, head: &JobHead, input: Bytes) -> Result<Bytes, ResultCode>;
}
