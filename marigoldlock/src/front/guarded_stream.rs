//! Caller connection with a bound on unread bytes and numbered protocol errors.
//!
//! The HTTP library answers a malformed or oversized header section by itself, with an empty body and
//! without the service seeing the request. Such an answer is the only one without a request id; it is
//! replaced here by one that carries a result code.

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

/// Largest answer that the HTTP library writes by itself, in bytes.
const LIBRARY_ANSWER_BYTES: usize = 256;

/// TCP stream of a caller.
pub struct GuardedStream {
    inner: TcpStream,
    timeout: Duration,
    stall: Pin<Box<Sleep>>,
    stalled: bool,
    replacement: Option<Replacement>,
}

/// Numbered answer that is being written in place of the library's.
struct Replacement {
    bytes: Vec<u8>,
    written: usize,
    replaced: usize,
}

impl GuardedStream {
    /// Guards a stream; `timeout` bounds how long written bytes stay unread.
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
            "the caller does not read its answer",
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

/// The rejection that stands for an answer of the HTTP library's own.
fn library_rejection(answer: &[u8]) -> Option<Rejection> {
    if answer.len() > LIBRARY_ANSWER_BYTES || !answer.starts_with(b"HTTP/1.1 4") {
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
