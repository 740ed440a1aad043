//! Reading and writing of the bodies of HTTP/2 streams.

use bytes::{Bytes, BytesMut};
use eyre::{Result, ensure, eyre};
use futures::future::poll_fn;
use h2::{RecvStream, SendStream};
use marigoldlock_wire::codec::MAX_MESSAGE_BYTES;

/// Reads a body up to its end.
pub(super) async fn read_body(mut stream: RecvStream) -> Result<Bytes> {
    let mut body = BytesMut::new();
    while let Some(chunk) = stream.data().await {
        let chunk = chunk?;
        ensure!(
            body.len() + chunk.len() <= MAX_MESSAGE_BYTES,
            "peer message is larger than {MAX_MESSAGE_BYTES} bytes"
        );
        stream.flow_control().release_capacity(chunk.len())?;
        body.extend_from_slice(&chunk);
    }
    count_bytes("received", body.len());
    Ok(body.freeze())
}

/// Counts message bytes, without the HTTP/2 framing.
fn count_bytes(direction: &'static str, bytes: usize) {
    metrics::counter!("marigoldlock_peer_bytes_total", "direction" => direction).increment(bytes as u64);
}

/// Writes a complete body, in pieces as large as the peer's flow-control window allows.
pub(super) async fn write_body(mut stream: SendStream<Bytes>, mut body: Bytes) -> Result<()> {
    count_bytes("sent", body.len());
    while !body.is_empty() {
        stream.reserve_capacity(body.len());
        let granted = poll_fn(|cx| stream.poll_capacity(cx)).await;
        let granted = granted.ok_or_else(|| eyre!("the peer closed the stream"))??;
        stream.send_data(body.split_to(granted.min(body.len())), false)?;
    }
    stream.send_data(Bytes::new(), true)?;
    Ok(())
}
