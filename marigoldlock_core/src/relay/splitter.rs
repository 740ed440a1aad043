//! Splitting of the bytes of an SSE body into events.

use std::ops::Range;

use bytes::{Bytes, BytesMut};
use derive_more::{Display, Error};

/// Largest event that an upstream may send, in bytes.
pub const MAX_EVENT_BYTES: usize = 64 << 10;

/// An upstream sent an event larger than [`MAX_EVENT_BYTES`].
#[derive(Clone, Copy, Debug, Display, Eq, Error, PartialEq)]
#[display("the upstream sent an event larger than {MAX_EVENT_BYTES} bytes")]
pub struct EventTooLarge;

/// Splits a body that arrives in chunks of any size into events.
///
/// An event that lies within one chunk is returned as a range of it and never copied. Only an event that
/// spans chunks is assembled in a buffer first.
#[derive(Debug, Default)]
pub struct SseSplitter {
    block: Bytes,
    next: usize,
    carry: BytesMut,
    scanned: usize,
}

impl SseSplitter {
    /// Adds the next chunk. All events of the previous chunk must have been read before.
    ///
    /// # Errors
    ///
    /// Fails if an event that spans chunks is too large.
    pub fn push(&mut self, chunk: Bytes) -> Result<(), EventTooLarge> {
        self.carry_over_rest()?;
        if self.carry.is_empty() {
            self.block = chunk;
            self.next = 0;
            return Ok(());
        }
        self.carry.extend_from_slice(&chunk);
        match event_end(&self.carry, self.scanned) {
            Ok(_) => {
                self.block = self.carry.split().freeze();
                self.next = 0;
                self.scanned = 0;
                Ok(())
            }
            Err(scanned) => {
                self.scanned = scanned;
                check_size(self.carry.len())
            }
        }
    }

    /// Returns the range of the next complete event in the current block, including its final blank line.
    pub fn next_range(&mut self) -> Option<Range<usize>> {
        let end = event_end(&self.block, self.next).ok()?;
        let range = self.next..end;
        self.next = end;
        Some(range)
    }

    /// Returns the next complete event, including its final blank line.
    pub fn next_event(&mut self) -> Option<Bytes> {
        self.next_range().map(|range| self.block.slice(range))
    }

    /// Returns the block that the ranges refer to.
    pub fn block(&self) -> &Bytes {
        &self.block
    }

    /// Returns the number of buffered bytes that were not returned as an event yet.
    pub fn buffered_bytes(&self) -> usize {
        self.carry.len() + (self.block.len() - self.next)
    }

    fn carry_over_rest(&mut self) -> Result<(), EventTooLarge> {
        let rest = self.block.split_off(self.next);
        self.block = Bytes::new();
        self.next = 0;
        if rest.is_empty() {
            return Ok(());
        }
        check_size(rest.len())?;
        self.carry.extend_from_slice(&rest);
        self.scanned = event_end(&self.carry, 0).err().unwrap_or(0);
        Ok(())
    }
}

fn check_size(bytes: usize) -> Result<(), EventTooLarge> {
    if bytes > MAX_EVENT_BYTES {
        return Err(EventTooLarge);
    }
    Ok(())
}

/// Returns the end of the first event in `bytes`, searching from `from`.
///
/// If there is no complete event, the error is the offset at which to continue once more bytes have arrived.
fn event_end(bytes: &[u8], from: usize) -> Result<usize, usize> {
    let mut at = from;
    while let Some(step) = bytes[at..].iter().position(|&byte| byte == b'\n') {
        let line_end = at + step;
        match bytes[line_end + 1..] {
            [b'\n', ..] => return Ok(line_end + 2),
            [b'\r', b'\n', ..] => return Ok(line_end + 3),
            [] | [b'\r'] => return Err(line_end),
            _ => at = line_end + 1,
        }
    }
    Err(bytes.len())
}
