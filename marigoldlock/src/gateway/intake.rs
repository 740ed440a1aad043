//! Connections of clients, and what they hold of the process.
//!
//! The decisions are made in `marigoldlock_core::gateway::intake`. Here each connection is admitted, its head, body and
//! response are timed and charged, and connections that have to make room for others are closed.

use std::net::IpAddr;
use std::pin::Pin;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::task::{Context, Poll, Waker};
use std::time::Duration;

use bytes::{Bytes, BytesMut};
use http::request;
use http_body_util::BodyExt;
use hyper::body::{Body, Frame, Incoming, SizeHint};
use marigoldlock_core::gateway::intake::{
    ByteClass, ClientKind, ConnectionId, ConnectionPhase, IntakeDecision, IntakeLedger, IntakeLimits,
    REQUEST_BYTES, TransferWatch,
};
use marigoldlock_core::prelude::*;
use tokio::io::{AsyncRead, AsyncWrite, ReadBuf};
use tokio::net::TcpStream;
use tokio::sync::Notify;
use tokio::time::{Instant, Sleep};
use tokio_util::sync::CancellationToken;

use crate::clock::TimeSource;

use super::response::{BodyError, ResponseBody};

/// Longest wait for connections that were told to close to make room. It covers the time in which a busy machine runs
/// their tasks.
const ROOM_TIMEOUT: Duration = Duration::from_millis(200);

/// Interval at which room is looked for again if no connection has reported its end.
const ROOM_POLL_INTERVAL: Duration = Duration::from_millis(20);

/// Bytes that a body or a response must bring in each window. Ordinary callers send megabytes per second.
const MIN_WINDOW_BYTES: u64 = 4 << 10;

/// First allocation for a body, in bytes.
const FIRST_BODY_BYTES: usize = 4 << 10;

/// Maximum number of requests in succession that were received before the response to the one before was sent. Ordinary
/// callers don't pipeline.
const MAX_PIPELINED_REQUESTS: u32 = 16;

/// Interval between two log lines about dropped or refused clients.
const LOG_INTERVAL: Duration = Duration::from_secs(1);

/// Why a client was dropped or refused.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum IntakeEvent {
    /// A new connection was closed, because there is no room.
    ConnectionRefused,
    /// A connection was closed to make room for another.
    ConnectionDropped,
    /// A request was refused, because there is no room for it or its body.
    RequestRefused,
    /// A request head was not complete in time.
    HeadTimeout,
    /// A body was too slow.
    BodyTimeout,
    /// A client did not read its response.
    ReadTimeout,
    /// A client sent too many requests ahead.
    Pipelined,
}

impl IntakeEvent {
    /// Name in logs and metrics.
    fn as_str(self) -> &'static str {
        match self {
            Self::ConnectionRefused => "connection_refused",
            Self::ConnectionDropped => "connection_dropped",
            Self::RequestRefused => "request_refused",
            Self::HeadTimeout => "head_timeout",
            Self::BodyTimeout => "body_timeout",
            Self::ReadTimeout => "read_timeout",
            Self::Pipelined => "pipelined",
        }
    }
}

/// Why a body was not read.
#[derive(Debug)]
pub enum BodyFailure {
    /// It is larger than allowed.
    TooLarge,
    /// There is no room for it.
    NoRoom,
    /// It was too slow, or not complete by the deadline.
    TimedOut,
    /// The connection failed or the encoding is invalid.
    Broken(hyper::Error),
}

/// Limits on one body.
#[derive(Clone, Copy, Debug)]
pub struct BodyLimits {
    /// Largest body, in bytes.
    pub max_bytes: usize,
    /// Time in which it must bring [`MIN_WINDOW_BYTES`].
    pub window: Duration,
    /// Time within which it must be complete.
    pub timeout: Duration,
}

/// Log lines about clients are limited to one per interval; this counts the events since the last one.
#[derive(Debug, Default)]
struct EventLog {
    last: Option<MonoTime>,
    unlogged: u64,
}

/// Admits clients and counts what they hold.
pub struct IntakeControl {
    ledger: Mutex<IntakeLedger>,
    /// Tokens that close the connections.
    tokens: Mutex<FastMap<ConnectionId, (ClientKind, CancellationToken)>>,
    events: Mutex<EventLog>,
    /// Notified when a connection has ended or bytes were released.
    released: Notify,
    clock: Arc<dyn TimeSource>,
}

impl IntakeControl {
    /// Creates the control of a process.
    pub fn new(limits: IntakeLimits, clock: Arc<dyn TimeSource>) -> Self {
        log::info!(
            pool_bytes = limits.pool_bytes, caller_connections = limits.caller_connections,
            peer_connections = limits.peer_connections;
            "limits on clients"
        );
        Self {
            ledger: Mutex::new(IntakeLedger::new(limits)),
            tokens: Mutex::default(),
            events: Mutex::default(),
            released: Notify::new(),
            clock,
        }
    }

    /// Admits a connection; `None` if there is no room.
    pub async fn admit(self: &Arc<Self>, kind: ClientKind, address: IpAddr) -> Option<Arc<ClientConnection>> {
        let granted = self
            .make_room(|ledger, now| ledger.admit(kind, address, now))
            .await;
        let Some(id) = granted else {
            self.record(IntakeEvent::ConnectionRefused, kind);
            return None;
        };
        let closed = CancellationToken::new();
        lock(&self.tokens).insert(id, (kind, closed.clone()));
        self.publish();
        Some(Arc::new(ClientConnection {
            control: Arc::clone(self),
            id,
            kind,
            closed,
            output: Mutex::default(),
        }))
    }

    /// Asks the ledger until it grants or refuses, and closes the connections that it names.
    async fn make_room<T>(
        &self,
        mut ask: impl FnMut(&mut IntakeLedger, MonoTime) -> IntakeDecision<T>,
    ) -> Option<T> {
        let deadline = Instant::now() + ROOM_TIMEOUT;
        loop {
            let released = self.released.notified();
            let decision = ask(&mut lock(&self.ledger), self.clock.now());
            match decision {
                IntakeDecision::Granted(granted) => return Some(granted),
                IntakeDecision::Refused => return None,
                IntakeDecision::Drop(victims) => self.close_connections(&victims),
                IntakeDecision::Wait => {}
            }
            if Instant::now() >= deadline {
                return None;
            }
            // The timeout covers a notification that another waiter has consumed.
            let _ = tokio::time::timeout(ROOM_POLL_INTERVAL, released).await;
        }
    }

    fn close_connections(&self, victims: &[ConnectionId]) {
        for victim in victims {
            let token = lock(&self.tokens).get(victim).cloned();
            if let Some((kind, token)) = token {
                token.cancel();
                self.record(IntakeEvent::ConnectionDropped, kind);
            }
        }
    }

    fn release(&self, id: ConnectionId, bytes: u64) {
        lock(&self.ledger).release(id, bytes);
        self.released.notify_waiters();
    }

    fn publish(&self) {
        let ledger = lock(&self.ledger);
        let (used, open) = (ledger.used_bytes(), ledger.open_connections());
        drop(ledger);
        metrics::gauge!("gateway_client_bytes").set(used as f64);
        metrics::gauge!("gateway_client_connections").set(open as f64);
    }

    /// Counts an event, and logs it unless one was logged shortly before.
    pub fn record(&self, event: IntakeEvent, kind: ClientKind) {
        metrics::counter!("gateway_client_limits_total", "event" => event.as_str(), "address" => kind.as_str())
            .increment(1);
        let now = self.clock.now();
        let mut events = lock(&self.events);
        events.unlogged += 1;
        if events.last.is_some_and(|last| now.since(last) < LOG_INTERVAL) {
            return;
        }
        events.last = Some(now);
        let count = std::mem::take(&mut events.unlogged);
        drop(events);
        let ledger = lock(&self.ledger);
        let (used, open) = (ledger.used_bytes(), ledger.open_connections());
        drop(ledger);
        log::warn!(
            event = event.as_str(), surface = kind.as_str(), count, client_bytes = used, connections = open;
            "clients reached a limit"
        );
    }
}

fn lock<T>(mutex: &Mutex<T>) -> MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(PoisonError::into_inner)
}

/// Bytes charged to a connection; released when dropped.
pub struct ByteCharge {
    control: Arc<IntakeControl>,
    id: ConnectionId,
    bytes: u64,
}

impl Drop for ByteCharge {
    fn drop(&mut self) {
        self.control.release(self.id, self.bytes);
    }
}

/// Bytes that stay charged for as long as any part of them is held.
struct ChargedBytes {
    bytes: Bytes,
    _charge: ByteCharge,
}

impl AsRef<[u8]> for ChargedBytes {
    fn as_ref(&self) -> &[u8] {
        &self.bytes
    }
}

/// Whether responses wait for the client to read.
#[derive(Debug, Default)]
struct OutputState {
    is_running: bool,
    /// Number of requests received.
    requests: u64,
    /// True if bytes were received since the last request.
    has_new_bytes: bool,
    /// Number of requests in succession that were received ahead.
    pipelined: u32,
    is_blocked: bool,
    waker: Option<Waker>,
}

/// An admitted connection.
pub struct ClientConnection {
    control: Arc<IntakeControl>,
    id: ConnectionId,
    kind: ClientKind,
    closed: CancellationToken,
    output: Mutex<OutputState>,
}

impl Drop for ClientConnection {
    fn drop(&mut self) {
        lock(&self.control.tokens).remove(&self.id);
        lock(&self.control.ledger).remove(self.id);
        self.control.released.notify_waiters();
        self.control.publish();
    }
}

impl ClientConnection {
    /// Completes when the connection has to make room for another.
    pub async fn dropped(&self) {
        self.closed.cancelled().await;
    }

    /// Records that a request was received, once it is its turn; it ends with the returned guard.
    pub async fn start_request(self: &Arc<Self>) -> RequestGuard {
        self.output_drained().await;
        let pipelined = self.count_request();
        self.set_phase(ConnectionPhase::Running);
        if pipelined > 0 {
            // Other connections are served before the next request of this one.
            tokio::task::yield_now().await;
        }
        let is_last = pipelined >= MAX_PIPELINED_REQUESTS;
        if is_last {
            self.control.record(IntakeEvent::Pipelined, self.kind);
        }
        RequestGuard {
            connection: Arc::clone(self),
            is_last,
        }
    }

    /// Counts a request, and returns how many in succession were received ahead.
    fn count_request(&self) -> u32 {
        let mut output = lock(&self.output);
        output.is_running = true;
        output.requests += 1;
        output.pipelined = if std::mem::take(&mut output.has_new_bytes) {
            0
        } else {
            output.pipelined + 1
        };
        output.pipelined
    }

    /// Waits until the client has read the responses to earlier requests.
    ///
    /// Without this, the responses to pipelined requests pile up for a client that doesn't read them.
    async fn output_drained(&self) {
        std::future::poll_fn(|context| {
            let mut output = lock(&self.output);
            if !output.is_blocked {
                return Poll::Ready(());
            }
            output.waker = Some(context.waker().clone());
            Poll::Pending
        })
        .await;
    }

    /// Charges a request without its body.
    pub async fn charge_request(&self) -> Option<ByteCharge> {
        let charge = self.charge(REQUEST_BYTES, self.kind.small_class()).await;
        if charge.is_none() {
            self.control.record(IntakeEvent::RequestRefused, self.kind);
        }
        charge
    }

    /// Charges a part of a response that has run, if there is room without dropping anything else. It may fill what callers'
    /// bodies may not, but not the part for peers and readiness checks.
    pub fn charge_free(&self, bytes: u64) -> Option<ByteCharge> {
        let is_charged = lock(&self.control.ledger).charge_free(self.id, bytes, ByteClass::Small);
        is_charged.then(|| ByteCharge {
            control: Arc::clone(&self.control),
            id: self.id,
            bytes,
        })
    }

    /// Charges a response that is complete in memory, and returns it; `None` if there is no room.
    pub async fn charge_response(&self, bytes: Bytes) -> Option<Bytes> {
        let charge = self.charge(bytes.len() as u64, ByteClass::Reserved).await?;
        Some(Bytes::from_owner(ChargedBytes {
            bytes,
            _charge: charge,
        }))
    }

    /// Charges a response that an upstream has sent in any case.
    pub fn charge_arrived(&self, bytes: Bytes) -> Bytes {
        let length = bytes.len() as u64;
        let now = self.control.clock.now();
        let victims = lock(&self.control.ledger).charge_arrived(self.id, length, now);
        self.control.close_connections(&victims);
        let charge = ByteCharge {
            control: Arc::clone(&self.control),
            id: self.id,
            bytes: length,
        };
        Bytes::from_owner(ChargedBytes {
            bytes,
            _charge: charge,
        })
    }

    async fn charge(&self, bytes: u64, class: ByteClass) -> Option<ByteCharge> {
        self.control
            .make_room(|ledger, now| ledger.charge(self.id, bytes, class, now))
            .await?;
        Some(ByteCharge {
            control: Arc::clone(&self.control),
            id: self.id,
            bytes,
        })
    }

    /// Reads a body whose bytes are charged before they are read. Small pieces are copied together, since each would
    /// otherwise keep a buffer of its own.
    pub async fn read_body(&self, body: Incoming, limits: BodyLimits) -> Result<Bytes, BodyFailure> {
        self.set_phase(ConnectionPhase::Body);
        let result = self.read_charged(body, limits).await;
        self.set_phase(ConnectionPhase::Running);
        match &result {
            Err(BodyFailure::NoRoom) => self.control.record(IntakeEvent::RequestRefused, self.kind),
            Err(BodyFailure::TimedOut) => self.control.record(IntakeEvent::BodyTimeout, self.kind),
            _ => {}
        }
        result
    }

    async fn read_charged(&self, mut body: Incoming, limits: BodyLimits) -> Result<Bytes, BodyFailure> {
        let max_bytes = limits.max_bytes as u64;
        if body.size_hint().lower() > max_bytes {
            return Err(BodyFailure::TooLarge);
        }
        // The declared length bounds the buffer, but is allocated only as bytes arrive.
        let full_bytes = body.size_hint().exact().unwrap_or(max_bytes).min(max_bytes) as usize;
        let mut content = BytesMut::new();
        let mut charges = Vec::new();
        let started = self.control.clock.now();
        let deadline = started + limits.timeout;
        let mut watch = TransferWatch::new(limits.window, MIN_WINDOW_BYTES, started);
        while !body.is_end_stream() {
            let now = self.control.clock.now();
            let left = watch.deadline().min(deadline).since(now);
            let frame = match tokio::time::timeout(left, body.frame()).await {
                Err(_) => return Err(BodyFailure::TimedOut),
                Ok(None) => break,
                Ok(Some(Err(err))) => return Err(BodyFailure::Broken(err)),
                Ok(Some(Ok(frame))) => frame,
            };
            let data = frame.into_data().unwrap_or_default();
            let length = content.len() + data.len();
            if length > limits.max_bytes {
                return Err(BodyFailure::TooLarge);
            }
            if length > content.capacity() {
                let capacity = (content.capacity() * 2)
                    .max(FIRST_BODY_BYTES)
                    .min(full_bytes)
                    .max(length);
                let more = (capacity - content.capacity()) as u64;
                let class = ByteClass::of_body(self.kind, capacity as u64);
                charges.push(self.charge(more, class).await.ok_or(BodyFailure::NoRoom)?);
                content.reserve(capacity - content.len());
            }
            content.extend_from_slice(&data);
            watch.record(data.len() as u64, self.control.clock.now());
        }
        if content.is_empty() {
            return Ok(Bytes::new());
        }
        let owned = charges.into_iter().reduce(ByteCharge::join);
        let bytes = content.freeze();
        Ok(match owned {
            Some(charge) => Bytes::from_owner(ChargedBytes {
                bytes,
                _charge: charge,
            }),
            None => bytes,
        })
    }

    fn set_phase(&self, phase: ConnectionPhase) {
        let now = self.control.clock.now();
        lock(&self.control.ledger).set_phase(self.id, phase, now);
    }

    /// Records that the client has to read before more can be sent.
    fn block_output(&self) {
        if std::mem::replace(&mut lock(&self.output).is_blocked, true) {
            return;
        }
        self.set_phase(ConnectionPhase::Unread);
    }

    fn unblock_output(&self) {
        let mut output = lock(&self.output);
        if !std::mem::take(&mut output.is_blocked) {
            return;
        }
        let waker = output.waker.take();
        let phase = if output.is_running {
            ConnectionPhase::Running
        } else {
            ConnectionPhase::Idle
        };
        drop(output);
        self.set_phase(phase);
        if let Some(waker) = waker {
            waker.wake();
        }
    }
}

/// Reads the body of a request after its route and key were checked, and charges both.
///
/// # Errors
///
/// Fails if there is no room, or the body is too large, too slow or invalid. Nothing was sent.
pub async fn receive(
    parts: &request::Parts,
    body: Incoming,
    limits: BodyLimits,
) -> Result<(Bytes, ByteCharge), BodyFailure> {
    let connection = parts
        .extensions
        .get::<Arc<ClientConnection>>()
        .ok_or(BodyFailure::NoRoom)?;
    let charge = connection.charge_request().await.ok_or(BodyFailure::NoRoom)?;
    Ok((connection.read_body(body, limits).await?, charge))
}

/// Charges a complete response of an upstream until the client has read it.
pub fn charge_arrived(parts: &request::Parts, response: Bytes) -> Bytes {
    match parts.extensions.get::<Arc<ClientConnection>>() {
        Some(connection) => connection.charge_arrived(response),
        None => response,
    }
}

impl ByteCharge {
    fn join(mut self, mut other: Self) -> Self {
        self.bytes += std::mem::take(&mut other.bytes);
        self
    }
}

/// A request of a connection, until its response has been handed over.
pub struct RequestGuard {
    connection: Arc<ClientConnection>,
    is_last: bool,
}

impl RequestGuard {
    /// True if the connection ends with this request.
    pub fn is_last(&self) -> bool {
        self.is_last
    }
}

impl Drop for RequestGuard {
    fn drop(&mut self) {
        let mut output = lock(&self.connection.output);
        output.is_running = false;
        let is_blocked = output.is_blocked;
        drop(output);
        if !is_blocked {
            self.connection.set_phase(ConnectionPhase::Idle);
        }
    }
}

/// A response body that holds what was charged for its request.
pub struct GuardedBody<G> {
    body: ResponseBody,
    _guard: G,
}

impl<G: Send + Sync + Unpin + 'static> GuardedBody<G> {
    /// Attaches a guard to a body.
    pub fn attach(body: ResponseBody, guard: G) -> ResponseBody {
        let guarded = Self { body, _guard: guard };
        BodyExt::boxed(guarded)
    }
}

impl<G: Unpin> Body for GuardedBody<G> {
    type Data = Bytes;
    type Error = BodyError;

    fn poll_frame(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, BodyError>>> {
        Pin::new(&mut self.body).poll_frame(context)
    }

    fn is_end_stream(&self) -> bool {
        self.body.is_end_stream()
    }

    fn size_hint(&self) -> SizeHint {
        self.body.size_hint()
    }
}

/// Timeouts of a connection.
#[derive(Clone, Copy, Debug)]
pub struct StreamTimeouts {
    /// Longest time from the first to the last byte of a request head.
    pub head: Duration,
    /// Time in which a client must read [`MIN_WINDOW_BYTES`] of a response.
    pub read: Duration,
}

/// The stream of an admitted connection: times heads and unread responses.
pub struct ClientStream {
    stream: TcpStream,
    connection: Arc<ClientConnection>,
    timeouts: StreamTimeouts,
    head_timer: Option<Pin<Box<Sleep>>>,
    /// Number of requests received when the timer was last checked.
    requests: u64,
    /// Timer of an unread response, with its progress.
    read_timer: Option<(Pin<Box<Sleep>>, TransferWatch)>,
}

impl ClientStream {
    /// Wraps the stream of a connection.
    pub fn new(stream: TcpStream, connection: Arc<ClientConnection>, timeouts: StreamTimeouts) -> Self {
        Self {
            stream,
            connection,
            timeouts,
            head_timer: None,
            requests: 0,
            read_timer: None,
        }
    }

    fn time_out<T>(&self, event: IntakeEvent) -> Poll<std::io::Result<T>> {
        self.connection.control.record(event, self.connection.kind);
        Poll::Ready(Err(std::io::ErrorKind::TimedOut.into()))
    }

    /// Starts the timer of a head with its first byte.
    fn start_head(&mut self) {
        if self.head_timer.is_none() {
            self.head_timer = Some(Box::pin(tokio::time::sleep(self.timeouts.head)));
            self.connection.set_phase(ConnectionPhase::Head);
        }
    }

    /// Records the result of a write: a client that doesn't read blocks the output.
    fn check_write(
        &mut self,
        context: &mut Context<'_>,
        written: Poll<std::io::Result<usize>>,
    ) -> Poll<std::io::Result<usize>> {
        let now = self.connection.control.clock.now();
        match written {
            Poll::Ready(Ok(count)) => {
                if let Some((timer, watch)) = &mut self.read_timer {
                    watch.record(count as u64, now);
                    timer.as_mut().reset(Instant::now() + watch.deadline().since(now));
                }
                Poll::Ready(Ok(count))
            }
            Poll::Pending => {
                self.connection.block_output();
                let window = self.timeouts.read;
                let (timer, _) = self.read_timer.get_or_insert_with(|| {
                    let watch = TransferWatch::new(window, MIN_WINDOW_BYTES, now);
                    (Box::pin(tokio::time::sleep(window)), watch)
                });
                if timer.as_mut().poll(context).is_ready() {
                    return self.time_out(IntakeEvent::ReadTimeout);
                }
                Poll::Pending
            }
            failed => failed,
        }
    }
}

impl AsyncRead for ClientStream {
    fn poll_read(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        buffer: &mut ReadBuf<'_>,
    ) -> Poll<std::io::Result<()>> {
        let before = buffer.filled().len();
        let polled = Pin::new(&mut self.stream).poll_read(context, buffer);
        let has_bytes = matches!(polled, Poll::Ready(Ok(()))) && buffer.filled().len() > before;
        let mut output = lock(&self.connection.output);
        output.has_new_bytes |= has_bytes;
        let (is_running, requests) = (output.is_running, output.requests);
        drop(output);
        if std::mem::replace(&mut self.requests, requests) != requests {
            self.head_timer = None;
        }
        if is_running {
            return polled;
        }
        if has_bytes {
            self.start_head();
        }
        if polled.is_pending()
            && let Some(timer) = &mut self.head_timer
            && timer.as_mut().poll(context).is_ready()
        {
            return self.time_out(IntakeEvent::HeadTimeout);
        }
        polled
    }
}

impl AsyncWrite for ClientStream {
    fn poll_write(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        data: &[u8],
    ) -> Poll<std::io::Result<usize>> {
        let written = Pin::new(&mut self.stream).poll_write(context, data);
        self.check_write(context, written)
    }

    fn poll_write_vectored(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        slices: &[std::io::IoSlice<'_>],
    ) -> Poll<std::io::Result<usize>> {
        let written = Pin::new(&mut self.stream).poll_write_vectored(context, slices);
        self.check_write(context, written)
    }

    fn is_write_vectored(&self) -> bool {
        self.stream.is_write_vectored()
    }

    /// Called once everything buffered has been written.
    fn poll_flush(mut self: Pin<&mut Self>, context: &mut Context<'_>) -> Poll<std::io::Result<()>> {
        if self.read_timer.take().is_some() {
            self.connection.unblock_output();
        }
        Pin::new(&mut self.stream).poll_flush(context)
    }

    fn poll_shutdown(mut self: Pin<&mut Self>, context: &mut Context<'_>) -> Poll<std::io::Result<()>> {
        Pin::new(&mut self.stream).poll_shutdown(context)
    }
}
