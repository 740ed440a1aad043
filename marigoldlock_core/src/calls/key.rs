//! Idempotency keys.

use derive_more::{Display, Error};
use marigoldlock_wire::record::calls::{CallHash, RequestFingerprint};

use crate::prelude::*;

/// Maximum length of an idempotency key, in bytes.
pub const MAX_KEY_BYTES: usize = 255;

/// Number of hexadecimal digits in a home token.
const HOME_TOKEN_DIGITS: usize = 16;

/// An idempotency key that is empty, too long or not printable ASCII.
#[derive(Clone, Copy, Debug, Display, Eq, Error, PartialEq)]
#[display("the Idempotency-Key must be 1 to {MAX_KEY_BYTES} printable ASCII characters without spaces")]
pub struct KeyError;

impl From<KeyError> for ResultCode {
    fn from(_: KeyError) -> Self {
        Self::InvalidIdempotencyKey
    }
}

/// A parsed idempotency key.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum CallKey<'a> {
    /// A key that names its home and runs only there.
    Home {
        /// The home token.
        home: Incarnation,
        /// The whole key, including the home token.
        key: &'a str,
    },
    /// Any other key; it is claimed in the log.
    Plain(&'a str),
}

impl<'a> CallKey<'a> {
    /// Parses a key as sent by the caller.
    ///
    /// # Errors
    ///
    /// Fails if the key is empty, too long or not printable ASCII.
    pub fn parse(key: &'a str) -> Result<Self, KeyError> {
        let printable = key.bytes().all(|byte| byte.is_ascii_graphic());
        if key.is_empty() || key.len() > MAX_KEY_BYTES || !printable {
            return Err(KeyError);
        }
        match parse_home(key) {
            Some(home) => Ok(Self::Home { home, key }),
            None => Ok(Self::Plain(key)),
        }
    }

    /// The whole key.
    pub fn as_str(self) -> &'a str {
        match self {
            Self::Home { key, .. } | Self::Plain(key) => key,
        }
    }
}

fn parse_home(key: &str) -> Option<Incarnation> {
    let (home, caller_part) = key.split_once('.')?;
    let is_token =
        home.len() == HOME_TOKEN_DIGITS && home.bytes().all(|byte| matches!(byte, b'0'..=b'9' | b'a'..=b'f'));
    if !is_token || caller_part.is_empty() {
        return None;
    }
    home.parse().ok()
}

/// Identity of a call. The scope of an idempotency key is one customer and one service.
#[derive(Clone, Copy, Debug, Eq, Hash, PartialEq)]
pub struct CallIdentity<'a> {
    /// The customer; `None` for a service that needs no customer key.
    pub customer: Option<&'a str>,
    /// The service.
    pub service: &'a str,
    /// The whole idempotency key.
    pub key: &'a str,
}

impl CallIdentity<'_> {
    /// Hash under which the call is stored.
    pub fn hash(&self) -> CallHash {
        let mut hasher = blake3::Hasher::new();
        let is_open = [u8::from(self.customer.is_none())];
        hash_field(&mut hasher, &is_open);
        hash_field(&mut hasher, self.customer.unwrap_or_default().as_bytes());
        hash_field(&mut hasher, self.service.as_bytes());
        hash_field(&mut hasher, self.key.as_bytes());
        CallHash(truncated_digest(&hasher))
    }
}

/// Hash of the request sent under a key; it detects reuse of the key for another request.
pub fn request_fingerprint(method: &str, path: &str, body: &[u8]) -> RequestFingerprint {
    let mut hasher = blake3::Hasher::new();
    hash_field(&mut hasher, method.as_bytes());
    hash_field(&mut hasher, path.as_bytes());
    hash_field(&mut hasher, body);
    RequestFingerprint(truncated_digest(&hasher))
}

fn hash_field(hasher: &mut blake3::Hasher, field: &[u8]) {
    hasher.update(&(field.len() as u64).to_le_bytes());
    hasher.update(field);
}

fn truncated_digest(hasher: &blake3::Hasher) -> u128 {
    let digest = hasher.finalize();
    let (head, _) = digest.as_bytes().split_at(16);
    u128::from_le_bytes(head.try_into().expect("sixteen bytes"))
}
