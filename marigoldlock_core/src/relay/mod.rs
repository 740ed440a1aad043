//! Relaying of answers from upstreams to callers, across retries.
//!
//! A caller gets exactly one answer, regardless of how many attempts it takes. Each attempt has an id, and
//! input that arrives from an earlier attempt is dropped. [`StreamRelay`] tracks one streamed answer: it
//! counts the tokens delivered so far and keeps their text, so that a broken stream can be resumed at another
//! engine. [`BodyBuffer`] collects an answer that is not streamed. [`FailureKind`] distinguishes a rejection,
//! after which no upstream holds the request, from a timeout, after which the upstream may still be running
//! it. [`RetryBudget`] limits retries to a share of the recent successes.

mod body;
mod budget;
mod event;
mod failure;
mod splitter;
mod step;
mod stream;

#[cfg(test)]
mod tests;

pub use body::{BodyBuffer, BodyTooLarge};
pub use budget::{BudgetLimits, RetryBudget};
pub use event::{ChunkView, EventError, StreamEvent, parse_event};
pub use failure::{FailureKind, RetryRule};
pub use splitter::{EventTooLarge, MAX_EVENT_BYTES, SseSplitter};
pub use step::{
    Attempt, AttemptId, EchoedIds, ProgressLimits, RecoveryStep, RelayLimits, RelayStep, StreamTotals,
};
pub use stream::StreamRelay;
