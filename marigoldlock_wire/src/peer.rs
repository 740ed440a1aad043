//! Messages between entry instances.
//!
//! Carried over h2: one stream for each request, the body of either side encoded by [`crate::codec`].

use bytes::Bytes;
use serde::{Deserialize, Serialize};

use crate::prelude::*;

/// Request from one instance to another.
#[derive(Clone, Debug, Deserialize, Serialize)]
pub enum PeerRequest {
    /// Tells that the sender lives and what it knows.
    Heartbeat(Box<Heartbeat>),
    /// Runs a call at the home of its idempotency key.
    ForwardCall(Box<ForwardedCall>),
    /// Asks for settings after a version.
    FetchSettings {
        /// The newest version that the sender has.
        after: LogPosition,
        /// How long the receiver may wait for something newer, in milliseconds.
        wait_ms: u64,
    },
}

/// Answer of an instance.
#[derive(Clone, Debug, Deserialize, Serialize)]
pub enum PeerResponse {
    /// The receiver's own heartbeat.
    Heartbeat(Box<Heartbeat>),
    /// Answer of a forwarded call.
    Call(Box<CallAnswer>),
    /// Settings after the version asked for.
    Settings(Box<SettingsNews>),
    /// The receiver can't serve the request.
    Refused {
        /// Why.
        code: ResultCode,
        /// Detail for the logs.
        detail: String,
    },
}

/// What an instance tells its peers every heartbeat interval.
#[derive(Clone, Debug, Default, Deserialize, Serialize)]
pub struct Heartbeat {
    /// Name of the sender; empty in a default value only.
    pub instance: String,
    /// Start of the sender.
    pub incarnation: Incarnation,
    /// Grows with every heartbeat of the incarnation.
    pub sequence: u64,
    /// Data centre of the sender.
    pub data_centre: String,
    /// Address for callers.
    pub address: String,
    /// Address for peers.
    pub peer_address: String,
    /// True once the sender shuts down.
    pub leaving: bool,
    /// True while the sender takes requests.
    pub ready: bool,
    /// Settings version in force.
    pub settings_version: LogPosition,
    /// Age of the sender's last fresh read of the settings log, in milliseconds.
    pub log_age_ms: u64,
    /// Requests in flight by upstream.
    pub in_flight: Vec<UpstreamLoad>,
    /// Service received by customer, as a virtual counter.
    pub counters: Vec<CustomerCounter>,
    /// Usage counted by the sender and not yet known to be frozen.
    pub usage: Vec<UsageShare>,
    /// When the sender started, in milliseconds since the Unix epoch; orders the starts of one instance.
    pub started_ms: u64,
    /// Peers that the sender has heard lately.
    pub hears: Vec<HeardPeer>,
    /// Position up to which the sender has read the calls stream.
    pub calls_position: LogPosition,
    /// Home token that the sender gives out now.
    pub home: Incarnation,
    /// Work that callers have asked of the sender, by service.
    pub demand: Vec<ServiceDemand>,
}

/// Work asked of one instance since its start; it only grows.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct ServiceDemand {
    /// The service.
    pub service: ServiceId,
    /// Prompt tokens.
    pub prompt_tokens: u64,
    /// Output tokens expected.
    pub output_tokens: u64,
    /// Tokens of either kind that may run on cheap capacity.
    pub interruptible_tokens: u64,
}

/// A peer that the sender of a heartbeat has heard lately.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct HeardPeer {
    /// The peer.
    pub instance: InstanceId,
    /// Its start.
    pub incarnation: Incarnation,
    /// True if the peer takes requests and does not leave.
    pub usable: bool,
}

/// What one instance has in flight at an upstream.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct UpstreamLoad {
    /// The upstream.
    pub upstream: UpstreamId,
    /// Requests in flight.
    pub requests: u32,
    /// Prompt tokens whose first token has not come.
    pub prefill_tokens: u64,
    /// Those of them that belong to interactive work.
    pub urgent_prefill_tokens: u64,
}

/// Weighted service that a customer has received through one instance.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct CustomerCounter {
    /// The service.
    pub service: ServiceId,
    /// The customer.
    pub customer: CustomerId,
    /// Weighted tokens since the start of the incarnation.
    pub served: u64,
    /// Requests in flight.
    pub in_flight: u32,
    /// Requests waiting.
    pub queued: u32,
    /// Weighted tokens by class: interactive, standard, long.
    pub served_by_class: [u64; 3],
    /// Requests in flight or waiting, by class.
    pub active_by_class: [u32; 3],
}

/// Usage that one incarnation counted for a customer in a window.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct UsageShare {
    /// The instance that counted.
    pub instance: InstanceId,
    /// Its incarnation.
    pub incarnation: Incarnation,
    /// The customer.
    pub customer: CustomerId,
    /// The window.
    pub window: u64,
    /// The figure so far; it only grows.
    pub figure: crate::platform::UsageFigure,
}

/// What an instance has of the settings after a version.
#[derive(Clone, Debug, Default, Deserialize, Serialize)]
pub struct SettingsNews {
    /// Version of the sender; it may be older than the one asked about.
    pub version: LogPosition,
    /// Age of the sender's evidence that it has the newest settings, in milliseconds.
    pub age_ms: Option<u64>,
    /// The whole state in the format of a snapshot, where the records are no longer at hand.
    pub image: Option<Bytes>,
    /// Stored records after the version asked for.
    pub records: Vec<SettingsRecord>,
}

/// Record of the settings stream, as one instance hands it to another.
#[derive(Clone, Debug, Deserialize, Serialize)]
pub struct SettingsRecord {
    /// Offset in the stream.
    pub offset: u64,
    /// The stored bytes.
    pub data: Bytes,
}

/// Call to a plain service, without the caller's key.
#[derive(Clone, Debug, Deserialize, Serialize)]
pub struct ForwardedCall {
    /// Request id.
    pub request: RequestId,
    /// Home that the idempotency key names.
    pub home: Incarnation,
    /// The caller's customer; `None` on an open route.
    pub customer: Option<CustomerId>,
    /// The service.
    pub service: ServiceId,
    /// Idempotency key with its home.
    pub idempotency_key: String,
    /// HTTP method.
    pub method: String,
    /// Path and query at the service.
    pub path: String,
    /// End-to-end headers.
    pub headers: Vec<(String, Bytes)>,
    /// Body.
    pub body: Bytes,
}

/// Answer of a plain service, or why there is none.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub enum CallAnswer {
    /// The service answered.
    Answered {
        /// HTTP status.
        status: u16,
        /// End-to-end headers.
        headers: Vec<(String, Bytes)>,
        /// Body.
        body: Bytes,
    },
    /// The call was refused or its outcome is unknown.
    Failed {
        /// Why.
        code: ResultCode,
        /// When to come back, in milliseconds.
        retry_after_ms: Option<u64>,
    },
}
