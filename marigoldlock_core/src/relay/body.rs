//! Collects an answer that is passed on only when it is whole.

use bytes::{Bytes, BytesMut};
use derive_more::{Display, Error};

use super::step::AttemptId;

/// An answer was larger than the service allows.
#[derive(Clone, Copy, Debug, Display, Eq, Error, PartialEq)]
#[display("the answer is larger than {most} bytes")]
pub struct BodyTooLarge {
    /// Largest answer that is taken, in bytes.
    pub most: usize,
}

/// The body of one attempt, until it is whole.
#[derive(Debug)]
pub struct WholeBody {
    attempt: AttemptId,
    most: usize,
    single: Bytes,
    gathered: BytesMut,
}

impl WholeBody {
    /// An empty body of at most `most` bytes.
    pub fn new(attempt: AttemptId, most: usize) -> Self {
        Self {
            attempt,
            most,
            single: Bytes::new(),
            gathered: BytesMut::new(),
        }
    }

    /// Adds a chunk; one of another attempt is dropped.
    ///
    /// # Errors
    ///
    /// Fails when the body grows too large.
    pub fn push(&mut self, attempt: AttemptId, chunk: Bytes) -> Result<(), BodyTooLarge> {
        if attempt != self.attempt {
            return Ok(());
        }
        if self.held_bytes() + chunk.len() > self.most {
            return Err(BodyTooLarge { most: self.most });
        }
        if self.held_bytes() == 0 {
            self.single = chunk;
            return Ok(());
        }
        self.gathered.extend_from_slice(&std::mem::take(&mut self.single));
        self.gathered.extend_from_slice(&chunk);
        Ok(())
    }

    /// Bytes held so far.
    pub fn held_bytes(&self) -> usize {
        self.single.len() + self.gathered.len()
    }

    /// Ends the body; `None` if `declared` says that it is not whole.
    pub fn close(self, declared: Option<u64>) -> Option<Bytes> {
        if declared.is_some_and(|length| length != self.held_bytes() as u64) {
            return None;
        }
        if self.gathered.is_empty() {
            return Some(self.single);
        }
        Some(self.gathered.freeze())
    }
}
