//! Buffer for an answer that is forwarded only when it is complete.

use bytes::{Bytes, BytesMut};
use derive_more::{Display, Error};

use super::step::AttemptId;

/// An answer is larger than the service allows.
#[derive(Clone, Copy, Debug, Display, Eq, Error, PartialEq)]
#[display("the answer is larger than {max_bytes} bytes")]
pub struct BodyTooLarge {
    /// Largest accepted answer, in bytes.
    pub max_bytes: usize,
}

/// Buffer for the answer body of one attempt; a body that arrives in a single chunk is not copied.
#[derive(Debug)]
pub struct BodyBuffer {
    attempt: AttemptId,
    max_bytes: usize,
    first_chunk: Bytes,
    buffer: BytesMut,
}

impl BodyBuffer {
    /// Creates a buffer for a body of at most `max_bytes` bytes.
    pub fn new(attempt: AttemptId, max_bytes: usize) -> Self {
        Self {
            attempt,
            max_bytes,
            first_chunk: Bytes::new(),
            buffer: BytesMut::new(),
        }
    }

    /// Appends a chunk; a chunk of another attempt is dropped.
    ///
    /// # Errors
    ///
    /// Fails if the body would exceed the limit.
    pub fn push(&mut self, attempt: AttemptId, chunk: Bytes) -> Result<(), BodyTooLarge> {
        if attempt != self.attempt {
            return Ok(());
        }
        if self.buffered_bytes() + chunk.len() > self.max_bytes {
            return Err(BodyTooLarge {
                max_bytes: self.max_bytes,
            });
        }
        if self.buffered_bytes() == 0 {
            self.first_chunk = chunk;
            return Ok(());
        }
        self.buffer
            .extend_from_slice(&std::mem::take(&mut self.first_chunk));
        self.buffer.extend_from_slice(&chunk);
        Ok(())
    }

    /// Returns the number of bytes buffered so far.
    pub fn buffered_bytes(&self) -> usize {
        self.first_chunk.len() + self.buffer.len()
    }

    /// Returns the complete body, or `None` if its size differs from `content_length`.
    pub fn finish(self, content_length: Option<u64>) -> Option<Bytes> {
        if content_length.is_some_and(|length| length != self.buffered_bytes() as u64) {
            return None;
        }
        if self.buffer.is_empty() {
            return Some(self.first_chunk);
        }
        Some(self.buffer.freeze())
    }
}
