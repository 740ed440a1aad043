//! Server for requests of other instances.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use async_trait::async_trait;
use bytes::Bytes;
use eyre::{Result, WrapErr};
use h2::server::SendResponse;
use marigoldlock_wire::codec;
use marigoldlock_wire::peer::{PeerRequest, PeerResponse};
use marigoldlock_wire::prelude::*;
use tokio::net::{TcpListener, TcpStream};
use tokio_util::sync::CancellationToken;
use tokio_util::task::TaskTracker;

use super::body::{read_body, write_body};

/// Delay after a failed accept, which means that the process ran out of file descriptors.
const ACCEPT_RETRY_DELAY: Duration = Duration::from_millis(50);

/// Maximum number of concurrent streams of one peer.
const MAX_STREAMS_PER_PEER: u32 = 1024;

/// Handler of the requests of peers.
#[async_trait]
pub trait PeerHandler: Send + Sync + 'static {
    /// Handles one request and returns the response.
    async fn handle(&self, request: PeerRequest) -> PeerResponse;
}

/// Server that accepts connections of peers.
pub struct PeerServer {
    address: SocketAddr,
    stop: CancellationToken,
    tracker: TaskTracker,
}

impl PeerServer {
    /// Binds the listener; connections wait until [`PeerServer::serve`] is called.
    ///
    /// # Errors
    ///
    /// Fails if the address can't be bound.
    pub async fn bind(listen: SocketAddr) -> Result<(Self, TcpListener)> {
        let listener = TcpListener::bind(listen)
            .await
            .wrap_err_with(|| format!("--peer-listen {listen}"))?;
        let address = listener.local_addr()?;
        let server = Self {
            address,
            stop: CancellationToken::new(),
            tracker: TaskTracker::new(),
        };
        Ok((server, listener))
    }

    /// Starts accepting connections.
    pub fn serve(&self, listener: TcpListener, handler: Arc<dyn PeerHandler>) {
        let stop = self.stop.clone();
        let tracker = self.tracker.clone();
        self.tracker.spawn(accept_peers(listener, handler, stop, tracker));
    }

    /// Returns the address that the server listens on.
    pub fn address(&self) -> SocketAddr {
        self.address
    }

    /// Stops accepting and waits up to `timeout` for running requests; returns true if all finished.
    pub async fn close(self, timeout: Duration) -> bool {
        self.stop.cancel();
        self.tracker.close();
        tokio::time::timeout(timeout, self.tracker.wait()).await.is_ok()
    }
}

async fn accept_peers(
    listener: TcpListener,
    handler: Arc<dyn PeerHandler>,
    stop: CancellationToken,
    tracker: TaskTracker,
) {
    loop {
        let accepted = tokio::select! {
            accepted = listener.accept() => accepted,
            () = stop.cancelled() => return,
        };
        match accepted {
            Ok((stream, _)) => {
                let connection = serve_peer(stream, Arc::clone(&handler), stop.clone());
                tracker.spawn(async move {
                    if let Err(err) = connection.await {
                        log::debug!(error:% = err; "peer connection ended");
                    }
                });
            }
            Err(err) => {
                log::warn!(error:% = err; "accepting a peer connection failed; retrying");
                tokio::time::sleep(ACCEPT_RETRY_DELAY).await;
            }
        }
    }
}

async fn serve_peer(stream: TcpStream, handler: Arc<dyn PeerHandler>, stop: CancellationToken) -> Result<()> {
    stream.set_nodelay(true)?;
    let mut builder = h2::server::Builder::new();
    builder.max_concurrent_streams(MAX_STREAMS_PER_PEER);
    let mut connection = builder.handshake::<_, Bytes>(stream).await?;
    let tracker = TaskTracker::new();
    let mut stopping = false;
    loop {
        let accepted = tokio::select! {
            accepted = connection.accept() => accepted,
            () = stop.cancelled(), if !stopping => {
                stopping = true;
                connection.graceful_shutdown();
                continue;
            },
        };
        let Some(accepted) = accepted else { return Ok(()) };
        let (request, respond) = accepted?;
        tracker.spawn(serve_stream(request, respond, Arc::clone(&handler)));
    }
}

async fn serve_stream(
    request: http::Request<h2::RecvStream>,
    respond: SendResponse<Bytes>,
    handler: Arc<dyn PeerHandler>,
) {
    if let Err(err) = answer_stream(request, respond, handler).await {
        log::debug!(error:% = err; "peer request failed");
    }
}

async fn answer_stream(
    request: http::Request<h2::RecvStream>,
    mut respond: SendResponse<Bytes>,
    handler: Arc<dyn PeerHandler>,
) -> Result<()> {
    let body = read_body(request.into_body()).await?;
    let response = match codec::decode::<PeerRequest>(&body) {
        Ok(request) => handler.handle(request).await,
        Err(err) => PeerResponse::Refused {
            code: ResultCode::InvalidField,
            detail: err.to_string(),
        },
    };
    let stream = respond.send_response(http::Response::new(()), false)?;
    write_body(stream, codec::encode(&response).into()).await
}
