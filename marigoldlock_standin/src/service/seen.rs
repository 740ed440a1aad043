//! Recorded calls and answers of a plain service.

use std::collections::BTreeMap;

use serde::{Deserialize, Serialize};

/// Call that the service ran.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct SeenCall {
    /// HTTP method.
    pub method: String,
    /// Path with its query.
    pub path: String,
    /// `Idempotency-Key`, if there was one.
    pub key: Option<String>,
    /// `x-request-id`, if there was one.
    pub request_id: Option<String>,
    /// Blake3 hash of the body, in hexadecimal.
    pub body_hash: String,
}

/// Calls that the service ran, in order, and the keys that were used more than once.
#[derive(Clone, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
pub struct SeenCalls {
    /// The calls.
    pub calls: Vec<SeenCall>,
    /// Keys used more than once, with their number of calls.
    pub duplicates: BTreeMap<String, u64>,
}

/// Answer of the service, which echoes the request.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct EchoAnswer {
    /// Index among the calls that the service ran, from 0.
    pub index: u64,
    /// The call.
    pub call: SeenCall,
    /// Headers sorted by name; a repeated header keeps all values.
    pub headers: BTreeMap<String, Vec<String>>,
    /// The body, as text.
    pub body: String,
}
