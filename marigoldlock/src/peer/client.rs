//! Requests to other instances.

use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use derive_more::{Display, Error};
use eyre::Result;
use h2::client::SendRequest;
use marigoldlock_wire::codec;
use marigoldlock_wire::peer::{PeerRequest, PeerResponse};
use marigoldlock_wire::prelude::*;
use tokio::net::TcpStream;
use tokio::sync::Mutex;
use tokio::time::timeout;

use super::body::{read_body, write_body};

/// Time limit for opening a connection to a peer, and for its handshake.
const CONNECT_TIMEOUT: Duration = Duration::from_secs(1);

/// Interval between pings on an open connection.
const PING_INTERVAL: Duration = Duration::from_secs(1);

/// Time limit for the answer to a ping.
const PING_TIMEOUT: Duration = Duration::from_secs(2);

/// Why a request to a peer failed.
#[derive(Clone, Debug, Display, Error, Eq, PartialEq)]
pub enum PeerError {
    /// The request was not sent.
    #[display("peer {address} can't be reached: {reason}")]
    NotSent {
        /// Address of the peer.
        address: String,
        /// What failed.
        reason: String,
    },
    /// The request was sent, but not answered; the peer may have acted on it.
    #[display("peer {address} did not answer: {reason}")]
    NoAnswer {
        /// Address of the peer.
        address: String,
        /// What failed.
        reason: String,
    },
}

type PeerSlot = Arc<Mutex<Option<SendRequest<Bytes>>>>;

/// Connections to peers, by address.
#[derive(Clone, Default)]
pub struct PeerPool {
    slots: Arc<Mutex<FastMap<String, PeerSlot>>>,
}

impl PeerPool {
    /// Sends a request and waits up to `time_limit` for the answer.
    ///
    /// # Errors
    ///
    /// Fails with [`PeerError::NotSent`] if the peer has certainly not received the request, otherwise with
    /// [`PeerError::NoAnswer`].
    pub async fn request(
        &self,
        address: &str,
        request: &PeerRequest,
        time_limit: Duration,
    ) -> Result<PeerResponse, PeerError> {
        let sender = self.sender(address).await?;
        let body = Bytes::from(codec::encode(request));
        match timeout(time_limit, exchange(sender, address, body)).await {
            Ok(result) => result,
            Err(_) => Err(no_answer(address, "timed out")),
        }
    }

    /// Drops the connections to addresses for which `keep` returns false.
    pub async fn retain(&self, keep: impl Fn(&str) -> bool) {
        self.slots.lock().await.retain(|address, _| keep(address));
    }

    async fn sender(&self, address: &str) -> Result<SendRequest<Bytes>, PeerError> {
        let slot = self.slot(address).await;
        let mut slot = slot.lock().await;
        if let Some(open) = slot.take() {
            // Fails if the connection has ended.
            if let Ok(ready) = open.ready().await {
                *slot = Some(ready.clone());
                return Ok(ready);
            }
        }
        let opened = connect(address).await.map_err(|err| not_sent(address, &err))?;
        *slot = Some(opened.clone());
        Ok(opened)
    }

    async fn slot(&self, address: &str) -> PeerSlot {
        let mut slots = self.slots.lock().await;
        if let Some(slot) = slots.get(address) {
            return Arc::clone(slot);
        }
        let slot = PeerSlot::default();
        slots.insert(address.to_owned(), Arc::clone(&slot));
        slot
    }
}

async fn connect(address: &str) -> Result<SendRequest<Bytes>> {
    let stream = timeout(CONNECT_TIMEOUT, TcpStream::connect(address)).await??;
    stream.set_nodelay(true)?;
    let (sender, mut connection) = timeout(CONNECT_TIMEOUT, h2::client::handshake(stream)).await??;
    let ping = connection.ping_pong();
    tokio::spawn(async move {
        let pings = async {
            match ping {
                Some(ping) => send_pings(ping).await,
                None => std::future::pending().await,
            }
        };
        // When a ping is not answered, dropping the connection fails all streams on it.
        tokio::select! {
            _ = connection => (),
            () = pings => log::warn!("closing a peer connection: the peer did not answer a ping"),
        }
    });
    Ok(sender.ready().await?)
}

/// Sends pings and returns when the peer fails to answer one.
async fn send_pings(mut ping: h2::PingPong) {
    loop {
        tokio::time::sleep(PING_INTERVAL).await;
        match timeout(PING_TIMEOUT, ping.ping(h2::Ping::opaque())).await {
            Ok(Ok(_)) => (),
            Ok(Err(_)) | Err(_) => return,
        }
    }
}

async fn exchange(
    mut sender: SendRequest<Bytes>,
    address: &str,
    body: Bytes,
) -> Result<PeerResponse, PeerError> {
    let request = http::Request::post("http://peer/")
        .body(())
        .map_err(|err| not_sent(address, &err.into()))?;
    let (response, stream) = sender
        .send_request(request, false)
        .map_err(|err| not_sent(address, &err.into()))?;
    let answer = async {
        write_body(stream, body).await?;
        let body = read_body(response.await?.into_body()).await?;
        Ok::<_, eyre::Report>(codec::decode(&body)?)
    };
    answer.await.map_err(|err| no_answer(address, &err.to_string()))
}

fn not_sent(address: &str, err: &eyre::Report) -> PeerError {
    PeerError::NotSent {
        address: address.to_owned(),
        reason: err.to_string(),
    }
}

fn no_answer(address: &str, reason: &str) -> PeerError {
    PeerError::NoAnswer {
        address: address.to_owned(),
        reason: reason.to_owned(),
    }
}
