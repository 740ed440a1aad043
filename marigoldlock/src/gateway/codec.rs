//! Messages between instances: a version, then `bincode`.
//!
//! Instances of two versions meet while a fleet is upgraded, and anything may arrive on an open port. A message of
//! another version is refused by its first byte, and no message makes the reader allocate more than it may hold.

use bytes::Bytes;
use eyre::{Result, ensure, eyre};
use serde::Serialize;
use serde::de::DeserializeOwned;

/// Version of the messages; changes whenever one of them does.
const VERSION: u8 = 2;

/// Largest message, in bytes: a whole listing of a target fleet with its settings.
const MESSAGE_MOST: usize = 16 << 20;

/// Writes a message.
///
/// # Errors
///
/// Fails if the value can't be written.
pub fn encode(value: &impl Serialize) -> Result<Bytes> {
    let mut bytes = vec![VERSION];
    bincode::serde::encode_into_std_write(value, &mut bytes, bincode::config::standard())?;
    Ok(Bytes::from(bytes))
}

/// Reads a message.
///
/// # Errors
///
/// Fails if the message is of another version or can't be read.
pub fn decode<T: DeserializeOwned>(bytes: &[u8]) -> Result<T> {
    let (version, rest) = bytes.split_first().ok_or_else(|| eyre!("the message is empty"))?;
    ensure!(
        *version == VERSION,
        "the message has version {version}, this instance speaks {VERSION}"
    );
    let config = bincode::config::standard().with_limit::<MESSAGE_MOST>();
    let (value, length) = bincode::serde::decode_from_slice(rest, config)?;
    ensure!(length == rest.len(), "the message has bytes after its end");
    Ok(value)
}
