//! Idempotency keys.

use derive_more::{Display, Error};
use marigoldlock_wire::record::calls::{CallHash, RequestFingerprint};

use crate::prelude::*;

/// Longest idempotency key, in bytes.
pub const MAX_KEY_BYTES: usize = 255;

/// Hexadecimal digits of a home token.
const HOME_DIGITS: usize = 16;

/// An idempotency key that is empty, too long or not printable ASCII.
#[derive(Clone, Copy, Debug, Display, Eq, Error, PartialEq)]
#[display("the Idempotency-Key must be 1 to {MAX_KEY_BYTES} printable ASCII characters without spaces")]
pub struct KeyError;

impl From<KeyError> for ResultCode {
    fn from(_: KeyError) -> Self {
        Self::InvalidIdempotencyKey
    }
}

/// An idempotency key, read.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum CallKey<'a> {
    /// A key that runs only at its home.
    Home {
        /// The home token.
        home: Incarnation,
        /// The whole key, with its home.
        key: &'a str,
    },
    /// A key that is claimed in the log.
    Plain(&'a str),
}

impl<'a> CallKey<'a> {
    /// Reads a key as the caller sent it.
    ///
    /// # Errors
    ///
    /// Fails if the key is empty, too long or not printable ASCII.
    pub fn parse(key: &'a str) -> Result<Self, KeyError> {
        let printable = key.bytes().all(|byte| byte.is_ascii_graphic());
        if key.is_empty() || key.len() > MAX_KEY_BYTES || !printable {
            return Err(KeyError);
        }
        match home_of(key) {
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

fn home_of(key: &str) -> Option<Incarnation> {
    let (home, part) = key.split_once('.')?;
    let is_token =
        home.len() == HOME_DIGITS && home.bytes().all(|byte| matches!(byte, b'0'..=b'9' | b'a'..=b'f'));
    if !is_token || part.is_empty() {
        return None;
    }
    home.parse().ok()
}

/// What tells one call from all others: a key counts within its customer and service.
#[derive(Clone, Copy, Debug, Eq, Hash, PartialEq)]
pub struct CallName<'a> {
    /// The customer; `None` on an open route.
    pub customer: Option<&'a str>,
    /// The service.
    pub service: &'a str,
    /// The whole idempotency key.
    pub key: &'a str,
}

impl CallName<'_> {
    /// Hash by which the call is remembered.
    pub fn hash(&self) -> CallHash {
        let mut hasher = blake3::Hasher::new();
        let is_open = [u8::from(self.customer.is_none())];
        add_field(&mut hasher, &is_open);
        add_field(&mut hasher, self.customer.unwrap_or_default().as_bytes());
        add_field(&mut hasher, self.service.as_bytes());
        add_field(&mut hasher, self.key.as_bytes());
        CallHash(first_half(&hasher))
    }
}

/// Hash of what is asked for under a key.
pub fn request_print(method: &str, path: &str, body: &[u8]) -> RequestFingerprint {
    let mut hasher = blake3::Hasher::new();
    add_field(&mut hasher, method.as_bytes());
    add_field(&mut hasher, path.as_bytes());
    add_field(&mut hasher, body);
    RequestFingerprint(first_half(&hasher))
}

fn add_field(hasher: &mut blake3::Hasher, field: &[u8]) {
    hasher.update(&(field.len() as u64).to_le_bytes());
    hasher.update(field);
}

fn first_half(hasher: &blake3::Hasher) -> u128 {
    let digest = hasher.finalize();
    let (head, _) = digest.as_bytes().split_at(16);
    u128::from_le_bytes(head.try_into().expect("sixteen bytes"))
}
