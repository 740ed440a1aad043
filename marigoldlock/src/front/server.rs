//! Listener for callers and operators.

use std::convert::Infallible;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use axum::Router;
use axum::body::Body;
use hyper::body::Incoming;
use hyper::service::service_fn;
use hyper_util::rt::{TokioIo, TokioTimer};
use marigoldlock_wire::prelude::*;
use socket2::{SockRef, TcpKeepalive};
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::Semaphore;
use tokio_util::sync::CancellationToken;
use tokio_util::task::TaskTracker;
use tower_service::Service as _;

use super::guarded_stream::GuardedStream;
use super::reject::Rejection;

/// Wait after a failed accept, which usually means that the process ran out of file descriptors.
const ACCEPT_RETRY_INTERVAL: Duration = Duration::from_millis(50);

/// Idle time after which the kernel sends keepalive probes.
const KEEPALIVE_IDLE: Duration = Duration::from_secs(15);

/// Time between keepalive probes.
const KEEPALIVE_INTERVAL: Duration = Duration::from_secs(5);

/// Limits on callers' connections.
#[derive(Clone, Copy, Debug)]
pub struct ConnectionLimits {
    /// Maximum number of connections served at the same time; requests on further ones are refused.
    pub max_connections: usize,
    /// Maximum size of a header section, in bytes.
    pub max_header_bytes: usize,
    /// Maximum time for the caller to send a header section.
    pub header_timeout: Duration,
    /// Maximum time for which the caller may leave written bytes unread.
    pub read_timeout: Duration,
}

/// Server that accepts connections until it is drained.
pub struct FrontServer {
    address: SocketAddr,
    drain: CancellationToken,
    tracker: TaskTracker,
}

impl FrontServer {
    /// Starts serving on a bound listener.
    ///
    /// # Errors
    ///
    /// Fails if the listener can't be used.
    pub fn start(
        listener: std::net::TcpListener,
        limits: ConnectionLimits,
        router: Router,
    ) -> std::io::Result<Self> {
        listener.set_nonblocking(true)?;
        let listener = TcpListener::from_std(listener)?;
        let address = listener.local_addr()?;
        let drain = CancellationToken::new();
        let tracker = TaskTracker::new();
        let acceptor = Acceptor {
            limits,
            router,
            permits: Arc::new(Semaphore::new(limits.max_connections)),
            drain: drain.clone(),
            tracker: tracker.clone(),
        };
        tracker.spawn(acceptor.run(listener));
        Ok(Self {
            address,
            drain,
            tracker,
        })
    }

    /// Address of the listener.
    pub fn address(&self) -> SocketAddr {
        self.address
    }

    /// Stops accepting connections and waits for running requests to finish, up to a timeout.
    ///
    /// Returns true if all requests finished.
    pub async fn close(self, timeout: Duration) -> bool {
        self.drain.cancel();
        self.tracker.close();
        tokio::time::timeout(timeout, self.tracker.wait()).await.is_ok()
    }
}

struct Acceptor {
    limits: ConnectionLimits,
    router: Router,
    permits: Arc<Semaphore>,
    drain: CancellationToken,
    tracker: TaskTracker,
}

impl Acceptor {
    async fn run(self, listener: TcpListener) {
        loop {
            let accepted = tokio::select! {
                accepted = listener.accept() => accepted,
                () = self.drain.cancelled() => return,
            };
            match accepted {
                Ok((stream, _)) => self.spawn_connection(stream),
                Err(err) => {
                    log::warn!(error:% = err; "failed to accept a connection; retrying");
                    tokio::time::sleep(ACCEPT_RETRY_INTERVAL).await;
                }
            }
        }
    }

    fn spawn_connection(&self, stream: TcpStream) {
        if let Err(err) = configure_socket(&stream, self.limits.read_timeout) {
            log::debug!(error:% = err; "failed to set the socket options of a caller connection");
        }
        let permit = Arc::clone(&self.permits).try_acquire_owned().ok();
        let router = permit.as_ref().map(|_| self.router.clone());
        let limits = self.limits;
        let drain = self.drain.clone();
        self.tracker.spawn(async move {
            serve_connection(stream, limits, router, drain).await;
            drop(permit);
        });
    }
}

/// Sets socket options that detect vanished callers: unacknowledged bytes or unanswered probes close the
/// connection.
fn configure_socket(stream: &TcpStream, timeout: Duration) -> std::io::Result<()> {
    stream.set_nodelay(true)?;
    let socket = SockRef::from(stream);
    socket.set_tcp_user_timeout(Some(timeout))?;
    let keepalive = TcpKeepalive::new()
        .with_time(KEEPALIVE_IDLE)
        .with_interval(KEEPALIVE_INTERVAL);
    socket.set_tcp_keepalive(&keepalive)
}

async fn serve_connection(
    stream: TcpStream,
    limits: ConnectionLimits,
    router: Option<Router>,
    drain: CancellationToken,
) {
    let service = service_fn(move |request: hyper::Request<Incoming>| {
        let router = router.clone();
        async move {
            match router {
                Some(mut router) => router.call(request.map(Body::new)).await,
                None => Ok::<_, Infallible>(overloaded()),
            }
        }
    });
    let mut builder = hyper::server::conn::http1::Builder::new();
    builder
        .timer(TokioTimer::new())
        .header_read_timeout(limits.header_timeout)
        .max_buf_size(limits.max_header_bytes)
        .half_close(false);
    let io = TokioIo::new(GuardedStream::new(stream, limits.read_timeout));
    let mut connection = std::pin::pin!(builder.serve_connection(io, service));
    let result = tokio::select! {
        result = connection.as_mut() => result,
        () = drain.cancelled() => {
            connection.as_mut().graceful_shutdown();
            connection.await
        },
    };
    if let Err(err) = result {
        log::debug!(error:% = err; "caller connection failed");
    }
}

fn overloaded() -> axum::response::Response {
    let rejection = Rejection::new(ResultCode::InstanceOverloaded).retry_after(Duration::from_secs(1));
    rejection.into_answer(RequestId::default())
}
