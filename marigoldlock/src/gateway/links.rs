//! Connections to upstreams.
//!
//! An upstream may send bytes after a complete answer, so a connection rests before it is used again: what
//! comes in the meantime ends it. Calls that must not run twice always take a new connection, since a reset
//! of a used one doesn't tell whether the upstream had read the request.

use std::net::SocketAddr;
use std::time::Duration;

use bytes::Bytes;
use http_body_util::Full;
use hyper::client::conn::http1::{self, SendRequest};
use hyper_util::rt::TokioIo;
use marigoldlock_core::prelude::*;
use socket2::{SockRef, TcpKeepalive};
use tokio::net::TcpStream;

/// Longest time to connect: many round trips between any two data centres of a region.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(300);

/// Rest of a connection between two requests.
const SETTLE_TIME: Duration = Duration::from_millis(20);

/// Idle time for which a connection is trusted if the upstream names none.
const UNTOLD_IDLE: Duration = Duration::from_millis(400);

/// Part of the time that an upstream names for which an idle connection is trusted.
const IDLE_SHARE: f64 = 0.6;

/// Idle connections kept to one upstream.
const IDLE_MOST: usize = 8;

/// Idle time before the kernel probes a connection.
const KEEPALIVE: Duration = Duration::from_secs(1);

/// Time without an acknowledgement after which the kernel ends a connection: callers leave a silent stream after two
/// seconds.
const USER_TIMEOUT: Duration = Duration::from_millis(1_500);

/// Sends requests on one connection.
pub type LinkSender = SendRequest<Full<Bytes>>;

#[derive(Debug)]
struct IdleLink {
    sender: LinkSender,
    since: MonoTime,
    trusted_for: Duration,
}

/// Idle connections by upstream.
#[derive(Debug, Default)]
pub struct LinkPool {
    idle: FastMap<UpstreamId, Vec<IdleLink>>,
}

impl LinkPool {
    /// Takes an idle connection that can be trusted.
    pub fn take(&mut self, upstream: &UpstreamId, now: MonoTime) -> Option<LinkSender> {
        let links = self.idle.get_mut(upstream)?;
        links.retain(|link| is_alive(link, now));
        let at = links
            .iter()
            .rposition(|link| now.since(link.since) >= SETTLE_TIME)?;
        Some(links.remove(at).sender)
    }

    /// Keeps a connection for further requests.
    pub fn keep(
        &mut self,
        upstream: &UpstreamId,
        sender: LinkSender,
        keep_alive: Option<Duration>,
        now: MonoTime,
    ) {
        let links = self.idle.entry(upstream.clone()).or_default();
        links.retain(|link| is_alive(link, now));
        if links.len() < IDLE_MOST {
            let trusted_for = keep_alive.map_or(UNTOLD_IDLE, |time| time.mul_f64(IDLE_SHARE));
            links.push(IdleLink {
                sender,
                since: now,
                trusted_for,
            });
        }
    }

    /// Closes what has been idle for too long.
    pub fn expire(&mut self, now: MonoTime) {
        self.idle.retain(|_, links| {
            links.retain(|link| is_alive(link, now));
            !links.is_empty()
        });
    }
}

fn is_alive(link: &IdleLink, now: MonoTime) -> bool {
    !link.sender.is_closed() && now.since(link.since) < link.trusted_for
}

/// Opens a connection.
///
/// # Errors
///
/// Fails if the upstream doesn't accept it in time; nothing was sent then.
pub async fn connect(address: SocketAddr) -> std::io::Result<LinkSender> {
    let stream = tokio::time::timeout(CONNECT_TIMEOUT, TcpStream::connect(address)).await??;
    stream.set_nodelay(true)?;
    let socket = SockRef::from(&stream);
    let keepalive = TcpKeepalive::new()
        .with_time(KEEPALIVE)
        .with_interval(KEEPALIVE)
        .with_retries(1);
    if let Err(err) = socket.set_tcp_keepalive(&keepalive) {
        log::debug!(error:% = err; "keep-alive probes were refused");
    }
    if let Err(err) = socket.set_tcp_user_timeout(Some(USER_TIMEOUT)) {
        log::debug!(error:% = err; "the user timeout was refused");
    }
    let (sender, connection) = http1::handshake(TokioIo::new(stream))
        .await
        .map_err(std::io::Error::other)?;
    tokio::spawn(async move {
        if let Err(err) = connection.await {
            log::debug!(error:% = err; "upstream connection ended");
        }
    });
    Ok(sender)
}
