//! Messages between entry instances.
//!
//! They are sent over h2, one stream for each request. Both bodies are encoded by [`crate::codec`].

use bytes::Bytes;
use serde::{Deserialize, Serialize};

use crate::prelude::*;

/// Request from one instance to another.
#[derive(Clone, Debug, Deserialize, Serialize)]
pub enum PeerRequest {
    /// The sender is alive; carries its state.
    Heartbeat(Box<Heartbeat>),
    /// Runs a call at the instance that the idempotency key names as its home.
    ForwardCall(Box<ForwardedCall>),
    /// Asks for the settings after a version.
    FetchSettings {
        /// Newest version that the sender has.
        after: LogPosition,
        /// Maximum time that the receiver waits for a newer version, in milliseconds.
        wait_ms: u64,
    },
}

/// Answer of an instance.
#[derive(Clone, Debug, Deserialize, Serialize)]
pub enum PeerResponse {
    /// The receiver's own heartbeat.
    Heartbeat(Box<Heartbeat>),
    /// Answer to a forwarded call.
    Call(Box<CallAnswer>),
    /// Settings after the requested version.
    Settings(Box<SettingsUpdate>),
    /// The receiver can't serve the request.
    Refused {
        /// Reason.
        code: ResultCode,
        /// Detail for the logs.
        detail: String,
    },
}

/// State that an instance sends to its peers every heartbeat interval.
#[derive(Clone, Debug, Default, Deserialize, Serialize)]
pub struct Heartbeat {
    /// Name of the sender; empty only in a default value.
    pub instance: String,
    /// Incarnation of the sender.
    pub incarnation: Incarnation,
    /// Increases with every heartbeat of the incarnation.
    pub sequence: u64,
    /// Data centre of the sender.
    pub data_centre: String,
    /// Address for callers.
    pub address: String,
    /// Address for peers.
    pub peer_address: String,
    /// True once the sender is shutting down.
    pub leaving: bool,
    /// True while the sender accepts requests.
    pub ready: bool,
    /// Settings version in force.
    pub settings_version: LogPosition,
    /// Time since the sender's last read that showed it to be up to date with the settings log, in
    /// milliseconds.
    pub log_age_ms: u64,
    /// Requests in flight, by upstream.
    pub in_flight: Vec<UpstreamLoad>,
    /// Service received, by customer, as weighted tokens.
    pub counters: Vec<CustomerCounter>,
    /// Usage that the sender knows of and that is not known to be frozen.
    pub usage: Vec<UsageShare>,
    /// When the sender started, in milliseconds since the Unix epoch; tells which of two incarnations of an
    /// instance is newer.
    pub started_ms: u64,
    /// Peers from which the sender recently received a heartbeat.
    pub heard_peers: Vec<HeardPeer>,
    /// Position up to which the sender has read the calls stream.
    pub calls_position: LogPosition,
    /// Newest home token of the sender, which new idempotency keys name as their home.
    pub home: Incarnation,
    /// Work that callers have requested from the sender, by service.
    pub demand: Vec<ServiceDemand>,
}

/// Work requested from one instance since its start; a cumulative counter.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct ServiceDemand {
    /// The service.
    pub service: ServiceId,
    /// Prompt tokens.
    pub prompt_tokens: u64,
    /// Expected output tokens.
    pub output_tokens: u64,
    /// Prompt and output tokens that may run on cheap capacity.
    pub interruptible_tokens: u64,
}

/// A peer from which the sender of a heartbeat recently received one.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct HeardPeer {
    /// The peer.
    pub instance: InstanceId,
    /// Its incarnation.
    pub incarnation: Incarnation,
    /// True if the peer accepts requests and isn't shutting down.
    pub usable: bool,
}

/// Requests that one instance has in flight at an upstream.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct UpstreamLoad {
    /// The upstream.
    pub upstream: UpstreamId,
    /// Requests in flight.
    pub requests: u32,
    /// Prompt tokens of requests whose first output token hasn't arrived.
    pub prefill_tokens: u64,
    /// Part of `prefill_tokens` that belongs to interactive requests.
    pub urgent_prefill_tokens: u64,
}

/// Service that a customer has received through one instance.
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
    /// Requests in the queue.
    pub queued: u32,
    /// Weighted tokens by class: interactive, standard, long.
    pub served_by_class: [u64; 3],
    /// Requests in flight or queued, by class.
    pub active_by_class: [u32; 3],
}

/// Usage that one incarnation counted for a customer in a window, as exchanged between peers.
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
    /// The count so far; cumulative.
    pub figure: crate::platform::UsageFigure,
}

/// Settings after a version, as far as an instance has them.
#[derive(Clone, Debug, Default, Deserialize, Serialize)]
pub struct SettingsUpdate {
    /// Version of the sender; it may be older than the requested one.
    pub version: LogPosition,
    /// Time since the sender was last known to have the newest settings, in milliseconds.
    pub age_ms: Option<u64>,
    /// The whole state in the snapshot format, if the sender no longer has the records.
    pub image: Option<Bytes>,
    /// Stored records after the requested version.
    pub records: Vec<SettingsRecord>,
}

/// Record of the settings stream, as one instance sends it to another.
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
    /// Home named by the idempotency key.
    pub home: Incarnation,
    /// Customer of the caller; `None` on a route without keys.
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

/// Answer of a plain service, or the reason why there is none.
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
        /// Reason.
        code: ResultCode,
        /// Delay before the caller may retry, in milliseconds.
        retry_after_ms: Option<u64>,
    },
}
