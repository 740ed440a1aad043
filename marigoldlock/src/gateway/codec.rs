//! Encoding of messages between instances: a version byte, then `bincode`.
//!
//! During an upgrade, instances of two versions run at the same time, and anything may arrive on an open
//! port. A message of another version is rejected by its first byte, and no message can make the receiver
//! allocate more than the size limit.

use bytes::Bytes;
use eyre::{Result, ensure, eyre};
use serde::Serialize;
use serde::de::DeserializeOwned;

/// Version of the messages; must be changed whenever a message type changes.
const VERSION: u8 = 8;

/// Largest message, in bytes: a complete listing of a fleet of the target size, with its settings.
const MAX_MESSAGE_BYTES: usize = 16 << 20;

/// Encodes a message.
///
/// # Errors
///
/// Fails if the value can't be encoded.
pub fn encode(value: &impl Serialize) -> Result<Bytes> {
    let mut bytes = vec![VERSION];
    bincode::serde::encode_into_std_write(value, &mut bytes, bincode::config::standard())?;
    Ok(Bytes::from(bytes))
}

/// Decodes a message.
///
/// # Errors
///
/// Fails if the message has another version or can't be decoded.
pub fn decode<T: DeserializeOwned>(bytes: &[u8]) -> Result<T> {
    let (version, rest) = bytes.split_first().ok_or_else(|| eyre!("the message is empty"))?;
    ensure!(
        *version == VERSION,
        "the message has version {version}, this instance uses {VERSION}"
    );
    let config = bincode::config::standard().with_limit::<MAX_MESSAGE_BYTES>();
    let (value, length) = bincode::serde::decode_from_slice(rest, config)?;
    ensure!(length == rest.len(), "the message has bytes after its end");
    Ok(value)
}
