//! Versioned binary encoding of peer messages and log records.

use derive_more::{Display, Error};
use serde::{Serialize, de::DeserializeOwned};

/// Format version that this program writes.
pub const FORMAT_VERSION: u8 = 1;

/// Maximum size of an encoded message or record, in bytes; larger ones aren't decoded.
pub const MAX_MESSAGE_BYTES: usize = 4 << 20;

/// Why a message could not be decoded.
#[derive(Debug, Display, Error)]
pub enum CodecError {
    /// The message is empty.
    #[display("empty message")]
    Empty,
    /// The message has a format version that this program doesn't know.
    #[display("unknown format version {_0}")]
    UnknownVersion(#[error(not(source))] u8),
    /// The bytes can't be decoded as the type.
    #[display("malformed message: {_0}")]
    Malformed(bincode::error::DecodeError),
}

fn config() -> bincode::config::Configuration<
    bincode::config::LittleEndian,
    bincode::config::Varint,
    bincode::config::Limit<MAX_MESSAGE_BYTES>,
> {
    bincode::config::standard().with_limit::<MAX_MESSAGE_BYTES>()
}

/// Encodes a message, prefixed with the format version.
///
/// # Panics
///
/// Panics if bincode can't encode the type at all. A round-trip test of the type detects this.
pub fn encode<T: Serialize + ?Sized>(message: &T) -> Vec<u8> {
    let mut bytes = vec![FORMAT_VERSION];
    bincode::serde::encode_into_std_write(message, &mut bytes, config())
        .expect("the wire types are encodable");
    bytes
}

/// Decodes a message written by [`encode`].
///
/// # Errors
///
/// Fails on an empty, unknown or malformed message.
pub fn decode<T: DeserializeOwned>(bytes: &[u8]) -> Result<T, CodecError> {
    let (version, body) = bytes.split_first().ok_or(CodecError::Empty)?;
    if *version != FORMAT_VERSION {
        return Err(CodecError::UnknownVersion(*version));
    }
    bincode::serde::decode_from_slice(body, config())
        .map(|(message, _)| message)
        .map_err(CodecError::Malformed)
}
