//! Keys of customers and tokens of operators.
//!
//! Only hashes are stored. A key is withdrawn by a settings change, so it stops working at an instance only
//! when that instance learns of the change. [`FreshnessRule`] therefore decides whether the settings of an
//! instance are fresh enough to serve requests.

mod freshness;
mod hash;
#[cfg(test)]
mod tests;

pub use self::freshness::{FreshnessRule, FreshnessVerdict, OutageView, OwnLog, SettingsEvidence};
pub use self::hash::{HashFormatError, KEY_BYTES, KEY_PREFIX, KeyHash, bearer_token, generate_key, hash_key};
