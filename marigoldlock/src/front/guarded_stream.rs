//! Caller connection with a timeout for unread answers and with result codes in protocol errors.
//!
//! The HTTP library answers a malformed or oversized header section by itself: with an empty body, and
//! without passing the request to the service. Only such an answer lacks a request id. It is replaced here by
//! an answer that carries a result code.

use std::io::{self, ErrorKind, IoSlice};
use std::pin::Pin;
use std::task::{Context, Poll, ready};
use std::time::Duration;

use marigoldlock_wire::engine::REQUEST_ID_HEADER;
use marigoldlock_wire::prelude::*;
use tokio::io::{AsyncRead, AsyncWrite, ReadBuf};
use tokio::net::TcpStream;
use tokio::time::{Instant, Sleep};

use super::reject::{CODE_HEADER, EXECUTION_HEADER, Rejection};

/// Maximum size of an answer that the HTTP library writes by itself, in bytes.
const MAX_LIBRARY_ANSWER_BYTES: usize = 256;

/// TCP stream of a caller.
pub struct GuardedStream {
    inner: TcpStream,
    timeout: Duration,
    stall: Pin<Box<Sleep>>,
    stalled: bool,
    replacement: Option<Replacement>,
}

/// Answer with a result code that is being written instead of the one of the HTTP library.
struct Replacement {
    bytes: Vec<u8>,
    written: usize,
    /// Size of the replaced answer, in bytes; reported to the HTTP library as written.
    replaced: usize,
}

impl GuardedStream {
    /// Wraps a stream; a write fails if the caller reads nothing for `timeout`.
    pub fn new(inner: TcpStream, timeout: Duration) -> Self {
        let stall = Box::pin(tokio::time::sleep(timeout));
        Self {
            inner,
            timeout,
            stall,
            stalled: false,
            replacement: None,
        }
    }

    fn poll_stall(&mut self, cx: &mut Context<'_>) -> Poll<io::Error> {
        if !self.stalled {
            self.stalled = true;
            self.stall.as_mut().reset(Instant::now() + self.timeout);
        }
        ready!(self.stall.as_mut().poll(cx));
        Poll::Ready(io::Error::new(
            ErrorKind::TimedOut,
            "the caller stopped reading its answer",
        ))
    }

    fn guard_write(
        &mut self,
        cx: &mut Context<'_>,
        result: Poll<io::Result<usize>>,
    ) -> Poll<io::Result<usize>> {
        if result.is_ready() {
            self.stalled = false;
            return result;
        }
        self.poll_stall(cx).map(Err)
    }

    fn poll_replacement(&mut self, cx: &mut Context<'_>) -> Poll<io::Result<usize>> {
        while let Some(replacement) = &mut self.replacement {
            let rest = &replacement.bytes[replacement.written..];
            if rest.is_empty() {
                let replaced = replacement.replaced;
                self.replacement = None;
                return Poll::Ready(Ok(replaced));
            }
            let result = Pin::new(&mut self.inner).poll_write(cx, rest);
            match ready!(self.guard_write(cx, result)) {
                Ok(count) => self.advance_replacement(count),
                Err(err) => return Poll::Ready(Err(err)),
            }
        }
        Poll::Ready(Ok(0))
    }

    fn advance_replacement(&mut self, count: usize) {
        if let Some(replacement) = &mut self.replacement {
            replacement.written += count;
        }
    }

    fn start_replacement(&mut self, first: &[u8], replaced: usize) -> bool {
        if self.replacement.is_none() {
            self.replacement = library_rejection(first).map(|rejection| Replacement {
                bytes: render(&rejection),
                written: 0,
                replaced,
            });
        }
        self.replacement.is_some()
    }
}

/// Returns the rejection that replaces an answer written by the HTTP library itself; `None` for any other
/// answer.
fn library_rejection(answer: &[u8]) -> Option<Rejection> {
    if answer.len() > MAX_LIBRARY_ANSWER_BYTES || !answer.starts_with(b"HTTP/1.1 4") {
        return None;
    }
    let text = std::str::from_utf8(answer).ok()?;
    if text.contains(REQUEST_ID_HEADER) {
        return None;
    }
    let code = match text.get(9..12)? {
        "431" | "414" => ResultCode::HeadersTooLarge,
        _ => ResultCode::AmbiguousFraming,
    };
    Some(Rejection::new(code))
}

fn render(rejection: &Rejection) -> Vec<u8> {
    let body = serde_json::to_string(&rejection.body()).expect("a rejection is plain JSON");
    let status = rejection.code.status();
    let reason = http::StatusCode::from_u16(status)
        .ok()
        .and_then(|status| status.canonical_reason());
    format!(
        "HTTP/1.1 {status} {}\r\ncontent-type: application/json\r\n{CODE_HEADER}: {}\r\n{EXECUTION_HEADER}: not_run\r\n\
         connection: close\r\ncontent-length: {}\r\n\r\n{body}",
        reason.unwrap_or("Bad Request"),
        rejection.code.number(),
        body.len(),
    )
    .into_bytes()
}

impl AsyncRead for GuardedStream {
    fn poll_read(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        Pin::new(&mut self.inner).poll_read(cx, buf)
    }
}

impl AsyncWrite for GuardedStream {
    fn poll_write(mut self: Pin<&mut Self>, cx: &mut Context<'_>, buf: &[u8]) -> Poll<io::Result<usize>> {
        if self.start_replacement(buf, buf.len()) {
            return self.poll_replacement(cx);
        }
        let result = Pin::new(&mut self.inner).poll_write(cx, buf);
        self.guard_write(cx, result)
    }

    fn poll_write_vectored(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        bufs: &[IoSlice<'_>],
    ) -> Poll<io::Result<usize>> {
        let total = bufs.iter().map(|buf| buf.len()).sum();
        let first = bufs.first().map_or(&[][..], |buf| &buf[..]);
        if self.start_replacement(first, total) {
            return self.poll_replacement(cx);
        }
        let result = Pin::new(&mut self.inner).poll_write_vectored(cx, bufs);
        self.guard_write(cx, result)
    }

    fn is_write_vectored(&self) -> bool {
        self.inner.is_write_vectored()
    }

    fn poll_flush(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.inner).poll_flush(cx)
    }

    fn poll_shutdown(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.inner).poll_shutdown(cx)
    }
}
