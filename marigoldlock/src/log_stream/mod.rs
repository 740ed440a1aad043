//! Following and writing the streams of the platform's log.
//!
//! A [`StreamFollower`] reads one stream in offset order and hands each record to a [`RecordSink`], together
//! with how fresh the read was. A [`RecordWriter`] groups records into appends. An append counts only once
//! the follower has read it back: a lost answer is repeated with the same record id, and a reader takes the
//! first envelope with an id and skips the rest.

mod follower;
mod writer;

pub use follower::{FollowLimits, RecordSink, StreamFollower};
pub use writer::{AppendOutcome, RecordWriter, WriterLimits};
