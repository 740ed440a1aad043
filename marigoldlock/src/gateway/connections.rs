//! Connections to upstreams.
//!
//! An upstream may send bytes after a complete response. So a connection stays unused for a short time before
//! it is reused, and bytes that arrive in that time close it. Requests that must not run twice always use a
//! new connection, since a reset of a reused one does not tell whether the upstream received the request.

use std::net::SocketAddr;
use std::time::Duration;

use bytes::Bytes;
use http_body_util::Full;
use hyper::client::conn::http1::{self, SendRequest};
use hyper_util::rt::TokioIo;
use marigoldlock_core::prelude::*;
use socket2::{SockRef, TcpKeepalive};
use tokio::net::TcpStream;

/// Connect timeout: many round trips between any two data centres of a region.
pub const CONNECT_TIMEOUT: Duration = Duration::from_millis(300);

/// Shortest time for which a connection stays unused between two requests.
const MIN_IDLE_TIME: Duration = Duration::from_millis(20);

/// Lifetime of an idle connection if the upstream announces none.
const DEFAULT_IDLE_LIFETIME: Duration = Duration::from_millis(400);

/// Fraction of the announced keep-alive time for which an idle connection is used.
const IDLE_LIFETIME_FACTOR: f64 = 0.6;

/// Maximum number of idle connections to one upstream.
const MAX_IDLE_CONNECTIONS: usize = 8;

/// Idle time before the kernel probes a connection, and time between probes.
const KEEPALIVE_INTERVAL: Duration = Duration::from_secs(1);

/// Time without an acknowledgement after which the kernel closes a connection: callers abandon a silent
/// stream after two seconds.
const TCP_USER_TIMEOUT: Duration = Duration::from_millis(1_500);

/// Largest read buffer of a connection, and largest response head, in bytes. hyper's default of 408 KB for each running stream
/// would exceed the memory of the smallest machine.
const MAX_BUFFER_BYTES: usize = 64 << 10;

/// Handle to send requests on one connection.
pub type HttpSender = SendRequest<Full<Bytes>>;

#[derive(Debug)]
struct IdleConnection {
    sender: HttpSender,
    since: MonoTime,
    lifetime: Duration,
}

/// Idle connections by upstream.
#[derive(Debug, Default)]
pub struct ConnectionPool {
    idle: FastMap<UpstreamId, Vec<IdleConnection>>,
}

impl ConnectionPool {
    /// Takes an idle connection that can be reused.
    pub fn take(&mut self, upstream: &UpstreamId, now: MonoTime) -> Option<HttpSender> {
        let connections = self.idle.get_mut(upstream)?;
        connections.retain(|connection| is_alive(connection, now));
        let at = connections
            .iter()
            .rposition(|connection| now.since(connection.since) >= MIN_IDLE_TIME)?;
        Some(connections.remove(at).sender)
    }

    /// Returns a connection to the pool.
    pub fn put(
        &mut self,
        upstream: &UpstreamId,
        sender: HttpSender,
        keep_alive: Option<Duration>,
        now: MonoTime,
    ) {
        let connections = self.idle.entry(upstream.clone()).or_default();
        connections.retain(|connection| is_alive(connection, now));
        if connections.len() < MAX_IDLE_CONNECTIONS {
            let lifetime =
                keep_alive.map_or(DEFAULT_IDLE_LIFETIME, |time| time.mul_f64(IDLE_LIFETIME_FACTOR));
            connections.push(IdleConnection {
                sender,
                since: now,
                lifetime,
            });
        }
    }

    /// Closes all idle connections.
    pub fn clear(&mut self) {
        self.idle.clear();
    }

    /// Closes connections that have been idle for too long.
    pub fn expire(&mut self, now: MonoTime) {
        self.idle.retain(|_, connections| {
            connections.retain(|connection| is_alive(connection, now));
            !connections.is_empty()
        });
    }
}

fn is_alive(connection: &IdleConnection, now: MonoTime) -> bool {
    !connection.sender.is_closed() && now.since(connection.since) < connection.lifetime
}

/// Opens a connection.
///
/// # Errors
///
/// Fails if the upstream does not accept the connection in time; nothing was sent.
pub async fn connect(address: SocketAddr) -> std::io::Result<HttpSender> {
    let stream = tokio::time::timeout(CONNECT_TIMEOUT, TcpStream::connect(address)).await??;
    stream.set_nodelay(true)?;
    let socket = SockRef::from(&stream);
    let keepalive = TcpKeepalive::new()
        .with_time(KEEPALIVE_INTERVAL)
        .with_interval(KEEPALIVE_INTERVAL)
        .with_retries(1);
    if let Err(err) = socket.set_tcp_keepalive(&keepalive) {
        log::debug!(error:% = err; "setting TCP keep-alive failed");
    }
    if let Err(err) = socket.set_tcp_user_timeout(Some(TCP_USER_TIMEOUT)) {
        log::debug!(error:% = err; "setting the TCP user timeout failed");
    }
    let (sender, connection) = http1::Builder::new()
        .max_buf_size(MAX_BUFFER_BYTES)
        .handshake(TokioIo::new(stream))
        .await
        .map_err(std::io::Error::other)?;
    tokio::spawn(async move {
        if let Err(err) = connection.await {
            log::debug!(error:% = err; "upstream connection ended");
        }
    });
    Ok(sender)
}
