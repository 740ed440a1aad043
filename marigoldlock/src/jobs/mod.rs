//! Long work that is accepted into the log and outlives instances.

mod actor;
mod follow;
mod handle;
mod parts;

use async_trait::async_trait;
use bytes::Bytes;
use marigoldlock_wire::prelude::*;
use marigoldlock_wire::record::jobs::JobHead;

pub use actor::{JobActor, JobSources, JobStatus, JobsView};
pub use follow::JobsSink;
pub use handle::{JobHandle, JobRefusal};

/// What runs a job's input.
#[async_trait]
pub trait JobWork: Send + Sync {
    /// Runs the input and returns the whole answer.
    ///
    /// # Errors
    ///
    /// Tells why there is no answer.
    async fn run(&self, head: &JobHead, input: Bytes) -> Result<Bytes, ResultCode>;
}
