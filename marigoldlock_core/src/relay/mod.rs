//! Relaying answers whole.
//!
//! A caller gets one answer, however many attempts it takes. Each send has an attempt id, and whatever an
//! older attempt still delivers is dropped. [`StreamRelay`] follows one streamed answer: it counts the
//! tokens given so far and keeps their text, so that a stream that breaks goes on at another engine from
//! there. [`WholeBody`] collects an answer that is not streamed. [`FailureKind`] tells a rejection, after
//! which nobody holds the request, from a timeout, after which the callee may still hold it;
//! [`RetryBudget`] keeps retries to a share of recent successes.

mod body;
mod budget;
mod event;
mod failure;
mod splitter;
mod step;
mod stream;

#[cfg(test)]
mod tests;

pub use body::{BodyTooLarge, WholeBody};
pub use budget::{BudgetLimits, RetryBudget};
pub use event::{ChunkView, EventError, StreamEvent, parse_event};
pub use failure::{FailureKind, ResendRule};
pub use splitter::{EventTooLarge, MAX_EVENT_BYTES, SseSplitter};
pub use step::{
    Attempt, AttemptId, BreakStep, HeadEcho, ProgressLimits, RelayLimits, RelayStep, StreamTotals,
};
pub use stream::StreamRelay;
