//! A proxy on loopback that harms the connections through it.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::tcp::{OwnedReadHalf, OwnedWriteHalf};
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::watch;
use tokio::task::JoinHandle;

/// What becomes of the bytes.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub enum LinkMode {
    /// They pass.
    #[default]
    Open,
    /// They pass after this time.
    Delayed(Duration),
    /// Connections are reset, new ones at once.
    Reset,
    /// Answers are held up, requests pass.
    OneWay,
    /// Nothing passes; connections stay open.
    Silent,
}

/// A proxy before one address.
#[derive(Debug)]
pub struct LinkProxy {
    address: SocketAddr,
    mode: watch::Sender<LinkMode>,
    accepting: JoinHandle<()>,
}

impl LinkProxy {
    /// Starts a proxy before `target`.
    ///
    /// # Errors
    ///
    /// If no address can be bound.
    pub async fn start(target: SocketAddr) -> std::io::Result<Self> {
        let listener = TcpListener::bind("127.0.0.1:0").await?;
        let address = listener.local_addr()?;
        let (mode, modes) = watch::channel(LinkMode::Open);
        let accepting = tokio::spawn(async move {
            loop {
                match listener.accept().await {
                    Ok((stream, _)) => {
                        tokio::spawn(relay(stream, target, modes.clone()));
                    }
                    Err(err) => {
                        log::warn!(error:% = err; "the proxy accepts no connection");
                        tokio::time::sleep(Duration::from_millis(50)).await;
                    }
                }
            }
        });
        Ok(Self {
            address,
            mode,
            accepting,
        })
    }

    /// Where the proxy listens.
    pub fn address(&self) -> SocketAddr {
        self.address
    }

    /// Changes what becomes of the bytes, also on open connections.
    pub fn set_mode(&self, mode: LinkMode) {
        self.mode.send_replace(mode);
    }
}

impl Drop for LinkProxy {
    fn drop(&mut self) {
        self.accepting.abort();
    }
}

async fn relay(client: TcpStream, target: SocketAddr, mut modes: watch::Receiver<LinkMode>) {
    if *modes.borrow() == LinkMode::Reset {
        reset(&client);
        return;
    }
    let Ok(server) = TcpStream::connect(target).await else {
        reset(&client);
        return;
    };
    // Kept to reset the connection while its halves are being copied.
    let handle = socket2::SockRef::from(&client).try_clone();
    let handle = match handle {
        Ok(handle) => Arc::new(handle),
        Err(err) => {
            log::warn!(error:% = err; "the proxy can't keep hold of a connection");
            return;
        }
    };
    let (from_client, to_client) = client.into_split();
    let (from_server, to_server) = server.into_split();
    let requests = copy(from_client, to_server, modes.clone(), |mode| {
        mode == LinkMode::Silent
    });
    let answers = copy(from_server, to_client, modes.clone(), |mode| {
        matches!(mode, LinkMode::Silent | LinkMode::OneWay)
    });
    let is_reset = async {
        // An error means that the proxy is gone, which ends the connection as well.
        modes.wait_for(|mode| *mode == LinkMode::Reset).await.is_ok()
    };
    tokio::select! {
        _ = async { tokio::join!(requests, answers) } => {}
        _ = is_reset => {
            if let Err(err) = handle.set_linger(Some(Duration::ZERO)) {
                log::debug!(error:% = err; "the connection is closed, not reset");
            }
        }
    }
}

fn reset(stream: &TcpStream) {
    if let Err(err) = socket2::SockRef::from(stream).set_linger(Some(Duration::ZERO)) {
        log::debug!(error:% = err; "the connection is closed, not reset");
    }
}

/// Copies bytes one way until either end closes; holds them while `is_held`.
async fn copy(
    mut from: OwnedReadHalf,
    mut to: OwnedWriteHalf,
    mut modes: watch::Receiver<LinkMode>,
    is_held: impl Fn(LinkMode) -> bool,
) {
    let mut buffer = vec![0; 16 << 10];
    loop {
        let Ok(length) = from.read(&mut buffer).await else {
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
            // The other way may go on; an error means that it has ended.
            to.shutdown().await.ok();
            return;
        }
        if to.write_all(&buffer[..length]).await.is_err() {
            return;
        }
    }
}
