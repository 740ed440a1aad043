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

use super::frame::{read_all, write_all};

/// Longest wait for a connection to a peer.
const CONNECT_TIMEOUT: Duration = Duration::from_secs(1);

/// Time between pings on an open connection.
const PING_INTERVAL: Duration = Duration::from_secs(1);

/// Longest wait for the answer to a ping.
const PING_TIMEOUT: Duration = Duration::from_secs(2);

/// Why a peer did not answer.
#[derive(Clone, Debug, Display, Error, Eq, PartialEq)]
pub enum PeerError {
    /// The request never left this instance.
    #[display("peer {address} can't be reached: {reason}")]
    NotSent {
        /// Address of the peer.
        address: String,
        /// What failed.
        reason: String,
    },
    /// The request left; the peer may have acted on it.
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
    /// Sends a request and waits for the answer.
    ///
    /// # Errors
    ///
    /// [`PeerError::NotSent`] means that the peer has not seen the request.
    pub async fn request(
        &self,
        address: &str,
        request: &PeerRequest,
        wait: Duration,
    ) -> Result<PeerResponse, PeerError> {
        let sender = self.sender(address).await?;
        let body = Bytes::from(codec::encode(request));
        match timeout(wait, exchange(sender, address, body)).await {
            Ok(result) => result,
            Err(_) => Err(no_answer(address, "timed out")),
        }
    }

    /// Drops the connections to addresses that are not kept.
    pub async fn retain(&self, keep: impl Fn(&str) -> bool) {
        self.slots.lock().await.retain(|address, _| keep(address));
    }

    async fn sender(&self, address: &str) -> Result<SendRequest<Bytes>, PeerError> {
        let slot = self.slot(address).await;
        let mut slot = slot.lock().await;
        if let Some(open) = slot.take() {
            // A connection that ended reports it here.
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
        // Dropping the connection fails every stream on it.
        tokio::select! {
            _ = connection => (),
            () = pings => log::warn!("peer connection is silent"),
        }
    });
    Ok(sender.ready().await?)
}

/// Returns once the peer leaves a ping unanswered.
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
        write_all(stream, body).await?;
        let body = read_all(response.await?.into_body()).await?;
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
