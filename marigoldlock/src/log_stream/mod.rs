//! Readers and writers of the streams of the platform's log.
//!
//! A [`StreamFollower`] reads one stream in offset order, passes each record to a [`RecordSink`] and reports when
//! the stream was read up to its head. A [`RecordWriter`] groups records into appends. An append takes effect only
//! once the follower has read it back. If the answer to an append is lost, the append is repeated with the same
//! record id; readers apply the first envelope with an id and ignore the others.

mod follower;
mod writer;

pub use follower::{FollowLimits, RecordSink, StreamFollower};
pub use writer::{AppendOutcome, RecordWriter, WriterLimits};
