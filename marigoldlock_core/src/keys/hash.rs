//! Generating, parsing and hashing keys.

use std::fmt::{self, Debug, Display, Formatter};
use std::str::FromStr;

use derive_more::Error;
use serde::{Deserialize, Deserializer, Serialize, Serializer};

/// Number of random bytes in a key.
pub const KEY_BYTES: usize = 24;

/// Prefix of every key; it makes a leaked key recognisable.
pub const KEY_PREFIX: &str = "mgl_";

/// Maximum length of a key that is hashed, in bytes.
const MAX_KEY_BYTES: usize = 512;

/// BLAKE3 hash of a key.
///
/// Keys are long random strings, so a fast hash without a salt can't be brute-forced.
#[derive(Clone, Copy, Default, Eq, Hash, Ord, PartialEq, PartialOrd)]
pub struct KeyHash([u8; blake3::OUT_LEN]);

impl Display for KeyHash {
    fn fmt(&self, f: &mut Formatter<'_>) -> fmt::Result {
        self.0.iter().try_for_each(|byte| write!(f, "{byte:02x}"))
    }
}

impl Debug for KeyHash {
    fn fmt(&self, f: &mut Formatter<'_>) -> fmt::Result {
        write!(f, "KeyHash({self})")
    }
}

/// Error for text that is not a key hash.
#[derive(Clone, Copy, Debug, derive_more::Display, Error, Eq, PartialEq)]
#[display("a hash is 64 hexadecimal digits")]
pub struct HashFormatError;

impl FromStr for KeyHash {
    type Err = HashFormatError;

    fn from_str(text: &str) -> Result<Self, Self::Err> {
        let hash = blake3::Hash::from_hex(text).map_err(|_| HashFormatError)?;
        Ok(Self(*hash.as_bytes()))
    }
}

impl Serialize for KeyHash {
    fn serialize<S: Serializer>(&self, serializer: S) -> Result<S::Ok, S::Error> {
        serializer.collect_str(self)
    }
}

impl<'de> Deserialize<'de> for KeyHash {
    fn deserialize<D: Deserializer<'de>>(deserializer: D) -> Result<Self, D::Error> {
        let text = String::deserialize(deserializer)?;
        text.parse().map_err(serde::de::Error::custom)
    }
}

/// Hashes a key.
pub fn hash_key(key: &str) -> KeyHash {
    KeyHash(*blake3::hash(key.as_bytes()).as_bytes())
}

/// Formats random bytes as a key.
pub fn generate_key(random: &[u8; KEY_BYTES]) -> String {
    let digits = random.iter().map(|byte| format!("{byte:02x}"));
    KEY_PREFIX.chars().map(String::from).chain(digits).collect()
}

/// Returns the bearer token in the value of an `Authorization` header, or `None` if there is no usable one.
pub fn bearer_token(header: &str) -> Option<&str> {
    let (scheme, token) = header.split_once(' ')?;
    let token = token.trim();
    let usable = !token.is_empty()
        && token.len() <= MAX_KEY_BYTES
        && token.bytes().all(|byte| byte.is_ascii_graphic());
    (scheme.eq_ignore_ascii_case("bearer") && usable).then_some(token)
}
