//! Keys of customers and tokens of operators.
//!
//! Only hashes are stored. A key is withdrawn by a change of the settings, so how soon it stops working is a
//! question of how fresh an instance's settings are: [`FreshnessRule`] decides whether an instance may
//! still trust them.

mod freshness;
mod hash;
#[cfg(test)]
mod tests;

pub use self::freshness::{FreshnessRule, FreshnessVerdict, OutageView, SettingsEvidence};
pub use self::hash::{HashFormatError, KEY_BYTES, KEY_PREFIX, KeyHash, bearer_token, generate_key, hash_key};
