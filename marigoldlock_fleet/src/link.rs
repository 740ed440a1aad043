//! Proxies on loopback that inject faults: into TCP connections, and into what other instances send to one.
//!
//! While its target is down, the TCP proxy refuses connections, as the target itself does.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::tcp::{OwnedReadHalf, OwnedWriteHalf};
use tokio::net::{TcpListener, TcpStream, UdpSocket};
use tokio::sync::{mpsc, oneshot, watch};
use tokio::task::JoinHandle;

/// Time between two attempts to accept connections again.
const RETRY_INTERVAL: Duration = Duration::from_millis(20);

/// What the proxy does with connections and their bytes.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub enum LinkMode {
    /// Bytes are forwarded.
    #[default]
    Open,
    /// Bytes are forwarded after a delay.
    Delayed(Duration),
    /// Open connections are reset, and new ones as soon as they are accepted.
    Reset,
    /// Requests are forwarded, answers are held back.
    OneWay,
    /// All bytes are held back; connections stay open.
    Silent,
    /// New connections are refused, open ones go on.
    RefuseNew,
    /// New connections are refused, open ones reset.
    Down,
}

impl LinkMode {
    fn refuses_new(self) -> bool {
        matches!(self, Self::RefuseNew | Self::Down)
    }

    fn resets_open(self) -> bool {
        matches!(self, Self::Reset | Self::Down)
    }
}

/// A proxy in front of one address.
#[derive(Debug)]
pub struct LinkProxy {
    address: SocketAddr,
    mode: watch::Sender<LinkMode>,
    accept_task: JoinHandle<()>,
}

impl LinkProxy {
    /// Starts a proxy in front of `target`.
    ///
    /// # Errors
    ///
    /// Fails if no address can be bound.
    pub async fn start(target: SocketAddr) -> std::io::Result<Self> {
        Self::serve(TcpListener::bind("127.0.0.1:0").await?, target)
    }

    fn serve(listener: TcpListener, target: SocketAddr) -> std::io::Result<Self> {
        let address = listener.local_addr()?;
        let (mode, modes) = watch::channel(LinkMode::Open);
        let accept_task = tokio::spawn(accept(listener, target, modes));
        Ok(Self {
            address,
            mode,
            accept_task,
        })
    }

    /// Returns the address on which the proxy listens.
    pub fn address(&self) -> SocketAddr {
        self.address
    }

    /// Sets the mode for new and open connections.
    pub fn set_mode(&self, mode: LinkMode) {
        self.mode.send_replace(mode);
    }
}

impl Drop for LinkProxy {
    fn drop(&mut self) {
        self.accept_task.abort();
    }
}

/// Address at which other instances reach one instance, and which can be cut off from them.
///
/// The address is known before the instance has started, since the instance publishes it.
#[derive(Debug)]
pub struct PeerAddress {
    datagrams: UdpSocket,
    connections: TcpListener,
}

impl PeerAddress {
    /// Largest datagram, in bytes.
    const MAX_DATAGRAM_BYTES: usize = 64 << 10;

    /// Attempts to find a port that is free for datagrams and connections.
    const MAX_BIND_ATTEMPTS: usize = 16;

    /// Reserves an address on loopback.
    ///
    /// # Errors
    ///
    /// Fails if no port is free for both datagrams and connections.
    pub async fn reserve() -> std::io::Result<Self> {
        let mut attempts = 0;
        loop {
            let datagrams = UdpSocket::bind("127.0.0.1:0").await?;
            attempts += 1;
            match TcpListener::bind(datagrams.local_addr()?).await {
                Ok(connections) => {
                    return Ok(Self {
                        datagrams,
                        connections,
                    });
                }
                Err(err) if attempts >= Self::MAX_BIND_ATTEMPTS => return Err(err),
                Err(_) => {}
            }
        }
    }

    /// The address.
    ///
    /// # Errors
    ///
    /// Fails if the operating system doesn't tell it.
    pub fn address(&self) -> std::io::Result<SocketAddr> {
        self.datagrams.local_addr()
    }

    /// Forwards what arrives to the instance, which listens at `target`.
    ///
    /// # Errors
    ///
    /// Fails if the operating system doesn't tell the address.
    pub fn forward(self, target: SocketAddr) -> std::io::Result<PeerLink> {
        let connections = LinkProxy::serve(self.connections, target)?;
        let modes = connections.mode.subscribe();
        let datagrams = self.datagrams;
        let datagram_task = tokio::spawn(async move {
            let mut buffer = vec![0; Self::MAX_DATAGRAM_BYTES];
            loop {
                let Ok((length, _)) = datagrams.recv_from(&mut buffer).await else {
                    tokio::time::sleep(RETRY_INTERVAL).await;
                    continue;
                };
                if *modes.borrow() == LinkMode::Open
                    && let Err(err) = datagrams.send_to(&buffer[..length], target).await
                {
                    log::debug!(error:% = err; "datagram not forwarded");
                }
            }
        });
        Ok(PeerLink {
            connections,
            datagram_task,
        })
    }
}

/// The way to one instance for the others. Datagrams are lost unless the link is open.
#[derive(Debug)]
pub struct PeerLink {
    connections: LinkProxy,
    datagram_task: JoinHandle<()>,
}

impl PeerLink {
    /// Sets the mode.
    pub fn set_mode(&self, mode: LinkMode) {
        self.connections.set_mode(mode);
    }
}

impl Drop for PeerLink {
    fn drop(&mut self) {
        self.datagram_task.abort();
    }
}

/// Accepts connections while the target does.
async fn accept(mut listener: TcpListener, target: SocketAddr, modes: watch::Receiver<LinkMode>) {
    let Ok(address) = listener.local_addr() else {
        return;
    };
    let (reports, mut outages) = mpsc::unbounded_channel::<OutageReport>();
    let link = RelayLink {
        target,
        modes,
        reports,
    };
    let mut modes = link.modes.clone();
    loop {
        tokio::select! {
            true = async { modes.wait_for(|mode| mode.refuses_new()).await.is_ok() } => {
                drop(listener);
                let Some(opened) = listen_again(address, &mut modes).await else {
                    return;
                };
                listener = opened;
            }
            Some(outage) = outages.recv() => {
                drop(listener);
                outage.confirm();
                listener = wait_for_target(address, target, &mut outages).await;
            }
            accepted = listener.accept() => match accepted {
                Ok((stream, _)) => {
                    tokio::spawn(relay(stream, link.clone()));
                }
                Err(err) => {
                    log::warn!(error:% = err; "the proxy failed to accept a connection; retrying");
                    tokio::time::sleep(RETRY_INTERVAL).await;
                }
            },
        }
    }
}

/// Waits until new connections are no longer refused, and listens again; `None` if the proxy was dropped.
async fn listen_again(address: SocketAddr, modes: &mut watch::Receiver<LinkMode>) -> Option<TcpListener> {
    modes.wait_for(|mode| !mode.refuses_new()).await.ok()?;
    loop {
        match TcpListener::bind(address).await {
            Ok(listener) => return Some(listener),
            Err(err) => log::debug!(error:% = err; "the proxy failed to listen again; retrying"),
        }
        tokio::time::sleep(RETRY_INTERVAL).await;
    }
}

/// Waits until the target accepts connections, and listens again.
async fn wait_for_target(
    address: SocketAddr,
    target: SocketAddr,
    outages: &mut mpsc::UnboundedReceiver<OutageReport>,
) -> TcpListener {
    loop {
        while let Ok(outage) = outages.try_recv() {
            outage.confirm();
        }
        if TcpStream::connect(target).await.is_ok()
            && let Ok(listener) = TcpListener::bind(address).await
        {
            return listener;
        }
        tokio::time::sleep(RETRY_INTERVAL).await;
    }
}

/// Tells that the target is down. The sender keeps its connection until the proxy refuses new ones.
struct OutageReport(oneshot::Sender<()>);

impl OutageReport {
    fn confirm(self) {
        if self.0.send(()).is_err() {
            log::debug!("a connection ended before its outage was confirmed");
        }
    }
}

/// Where a connection is relayed to.
#[derive(Clone)]
struct RelayLink {
    target: SocketAddr,
    modes: watch::Receiver<LinkMode>,
    reports: mpsc::UnboundedSender<OutageReport>,
}

impl RelayLink {
    /// Waits until the proxy refuses connections, if the target does.
    async fn report_outage(&self) {
        if TcpStream::connect(self.target).await.is_ok() {
            return;
        }
        let (confirm, confirmed) = oneshot::channel();
        if self.reports.send(OutageReport(confirm)).is_ok() && confirmed.await.is_err() {
            log::debug!("the proxy ended before it refused connections");
        }
    }
}

async fn relay(client: TcpStream, link: RelayLink) {
    let mut modes = link.modes.clone();
    if modes.borrow().resets_open() {
        reset(&client);
        return;
    }
    let Ok(server) = TcpStream::connect(link.target).await else {
        link.report_outage().await;
        reset(&client);
        return;
    };
    // A second handle, to reset the connection while its halves are in use by `copy`.
    let handle = socket2::SockRef::from(&client).try_clone();
    let handle = match handle {
        Ok(handle) => Arc::new(handle),
        Err(err) => {
            log::warn!(error:% = err; "the proxy failed to duplicate a socket handle; closing the connection");
            return;
        }
    };
    let (from_client, to_client) = client.into_split();
    let (from_server, to_server) = server.into_split();
    let requests = copy(from_client, to_server, modes.clone(), async {}, |mode| {
        mode == LinkMode::Silent
    });
    let answers = copy(
        from_server,
        to_client,
        modes.clone(),
        link.report_outage(),
        |mode| matches!(mode, LinkMode::Silent | LinkMode::OneWay),
    );
    let reset_requested = async {
        // An error means that the proxy was dropped, which ends the connection as well.
        modes.wait_for(|mode| mode.resets_open()).await.is_ok()
    };
    tokio::select! {
        _ = async { tokio::join!(requests, answers) } => {}
        _ = reset_requested => {
            if let Err(err) = handle.set_linger(Some(Duration::ZERO)) {
                log::debug!(error:% = err; "failed to set the linger option; the connection is closed, not reset");
            }
        }
    }
}

fn reset(stream: &TcpStream) {
    if let Err(err) = socket2::SockRef::from(stream).set_linger(Some(Duration::ZERO)) {
        log::debug!(error:% = err; "failed to set the linger option; the connection is closed, not reset");
    }
}

/// Copies bytes in one direction until either end closes; holds them back while `is_held` is true for the
/// mode. `before_end` is awaited before the receiver sees that the sender has closed.
async fn copy(
    mut from: OwnedReadHalf,
    mut to: OwnedWriteHalf,
    mut modes: watch::Receiver<LinkMode>,
    before_end: impl Future<Output = ()>,
    is_held: impl Fn(LinkMode) -> bool,
) {
    let mut buffer = vec![0; 16 << 10];
    loop {
        let Ok(length) = from.read(&mut buffer).await else {
            before_end.await;
            return;
        };
        if modes.wait_for(|mode| !is_held(*mode)).await.is_err() {
            return;
        }
        let mode = *modes.borrow();
        if let LinkMode::Delayed(delay) = mode {
            tokio::time::sleep(delay).await;
        }
        if length == 0 {
            before_end.await;
            // The other direction may still be in use; an error means that it is closed too.
            to.shutdown().await.ok();
            return;
        }
        if to.write_all(&buffer[..length]).await.is_err() {
            return;
        }
    }
}
