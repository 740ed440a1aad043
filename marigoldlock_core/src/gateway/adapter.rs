//! Traits that connect the gateway to the wire protocols of a platform.
//!
//! An adapter implements them: it knows header names, formats and endpoints and makes no decisions. It
//! decodes all input into the types defined here, so the gateway never handles wire names.

use std::fmt::Debug;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use async_trait::async_trait;
use bytes::Bytes;
use derive_more::{Display, Error};
use http::{HeaderMap, request, response};
use marigoldlock_wire::prelude::*;

use super::call::{CallHead, CustomerCounts, Refusal};
use super::catalog::{UpstreamEntry, UpstreamRole};
use super::era::{StoreEra, StorePosition};
use super::route::GatewaySettings;

/// Error for a request, record or response that can't be parsed.
#[derive(Clone, Debug, Display, Error, Eq, PartialEq)]
#[display("{what}: {reason}")]
pub struct FormatError {
    /// What was being parsed.
    pub what: &'static str,
    /// Why parsing failed.
    pub reason: String,
}

impl FormatError {
    /// Creates an error about `what`.
    pub fn new(what: &'static str, reason: impl Into<String>) -> Self {
        Self {
            what,
            reason: reason.into(),
        }
    }
}

/// Protocol between callers and the gateway.
pub trait CallerProtocol: Send + Sync {
    /// Decodes the head of a request. Fields that can't be parsed count as absent, since the upstream
    /// validates them.
    fn read_call(&self, head: &request::Parts) -> CallHead;

    /// Builds the response for a request that the gateway refuses.
    fn refuse(&self, refusal: &Refusal) -> http::Response<Bytes>;
}

/// A caller's query for instance addresses.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
pub struct AddressQuery {
    /// Data centre of the caller.
    pub data_centre: Option<String>,
}

/// Protocol of the address directory and the readiness check.
pub trait DirectoryProtocol: Send + Sync {
    /// Decodes an address query; `None` if the request is something else.
    fn read_address_query(&self, uri: &http::Uri) -> Option<AddressQuery>;

    /// Builds the response to an address query; callers may cache it for `lifetime`.
    fn address_response(&self, addresses: &[SocketAddr], lifetime: Duration) -> http::Response<Bytes>;

    /// True if the request is a readiness check.
    fn is_readiness_check(&self, uri: &http::Uri) -> bool;
}

/// Location of a prompt's KV cache that another upstream can fetch.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct KvSource {
    /// Address of the upstream that holds the KV cache.
    pub address: SocketAddr,
    /// Handle of the KV cache at that upstream.
    pub handle: String,
}

/// Metadata that the gateway adds to a request to an upstream.
#[derive(Clone, Debug)]
pub struct AttemptHead<'a> {
    /// Intended upstream; any other refuses the request.
    pub upstream: &'a UpstreamId,
    /// Customer that owns the API key.
    pub customer: Option<&'a CustomerId>,
    /// Time left until the deadline.
    pub time_left: Duration,
    /// Id of the last event that the caller received.
    pub last_event: Option<u64>,
    /// Where to fetch the prompt's KV cache from.
    pub kv_source: Option<&'a KvSource>,
    /// Upstream from which to copy cached parts of the prompt that the intended one lacks.
    pub cache_peer: Option<SocketAddr>,
    /// True if the upstream should only prefill the prompt.
    pub is_prefill: bool,
    /// Priority among the upstream's requests, 0 to 9; 0 is the most urgent.
    pub priority: u8,
}

/// Load that an upstream reports in its responses.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub struct LoadReport {
    /// Running requests.
    pub running: u32,
    /// Waiting requests.
    pub waiting: u32,
    /// Requests that can run concurrently.
    pub slots: u32,
    /// How long work takes at present, in percent of the normal time; `None` if the upstream doesn't say.
    pub slowdown: Option<u32>,
}

/// Decoded head of an upstream's response.
#[derive(Clone, Debug, Default)]
pub struct ResponseHead {
    /// Attempt id that the response echoes, if any.
    pub attempt_id: Option<String>,
    /// True if the response carries the upstream's signature.
    pub is_signed: bool,
    /// True if the upstream states that it did not run the request.
    pub is_not_run: bool,
    /// True if the address now belongs to another upstream.
    pub is_other_upstream: bool,
    /// Load at the time of the response.
    pub load: Option<LoadReport>,
    /// True if the upstream says that it is leaving.
    pub is_leaving: bool,
    /// Time for which the upstream wants no more requests from this instance.
    pub retry_after: Option<Duration>,
    /// Requests per second that the upstream takes from all instances together, while it states a limit.
    pub rate_limit: Option<f64>,
    /// Time for which the upstream keeps an idle connection open.
    pub keep_alive: Option<Duration>,
    /// True if the upstream closes the connection.
    pub is_closing: bool,
}

/// Response to a prefill-only request.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct PrefillResponse {
    /// Handle of the KV cache.
    pub handle: String,
    /// Tokens in the KV cache.
    pub tokens: u64,
}

/// Protocol between the gateway and upstreams.
pub trait UpstreamProtocol: Send + Sync {
    /// Builds the request headers for an upstream: the caller's headers without hop-by-hop headers and
    /// without those that only the gateway may set.
    fn attempt_headers(&self, caller: &HeaderMap, attempt: &AttemptHead<'_>) -> HeaderMap;

    /// Decodes the head of a response.
    fn read_response(&self, head: &response::Parts) -> ResponseHead;

    /// Builds the response headers for the caller: the upstream's headers without hop-by-hop headers and
    /// without those meant for the gateway.
    fn response_headers(&self, upstream: &HeaderMap) -> HeaderMap;

    /// Decodes the response to a prefill-only request.
    ///
    /// # Errors
    ///
    /// Fails if the body contains no handle.
    fn read_prefill(&self, body: &[u8]) -> Result<PrefillResponse, FormatError>;

    /// Builds the request that frees a KV cache that no upstream will fetch.
    fn release_handle(&self, handle: &str) -> http::Request<Bytes>;
}

/// Streams of the shared store.
#[derive(Clone, Copy, Debug, Display, Eq, Hash, PartialEq)]
pub enum StoreStream {
    /// Settings, written by operators.
    #[display("settings")]
    Settings,
    /// Upstream entries, written by the upstreams.
    #[display("upstreams")]
    Upstreams,
    /// Member cards, written by the instances.
    #[display("members")]
    Members,
    /// Blocks on requests that crash upstreams, written by the instances.
    #[display("crashes")]
    Crashes,
    /// Software version of each service that has served alone, written by the instances.
    #[display("versions")]
    Versions,
    /// Software version that began each stream, while several versions serve; written by the instances.
    #[display("origins")]
    Origins,
    /// Claims of the duties and the usage counts that their holders have fixed.
    #[display("duties")]
    Duties,
}

/// A record of a keyed stream.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct KeyedRecord {
    /// Offset in the stream.
    pub offset: u64,
    /// Key.
    pub key: String,
    /// Value; `None` if the key was removed.
    pub value: Option<Bytes>,
}

/// Records of a keyed stream, the newest of each key.
#[derive(Clone, Debug, Default)]
pub struct KeyedListing {
    /// Era of the offsets.
    pub era: StoreEra,
    /// The records.
    pub records: Vec<KeyedRecord>,
    /// Offset at which to continue reading.
    pub next_offset: u64,
    /// End offset of the stream; a read returns a limited number of bytes and may end before it.
    pub end_offset: u64,
}

/// Consecutive records of a stream.
#[derive(Clone, Debug, Default)]
pub struct RecordBatch {
    /// Era of the offsets.
    pub era: StoreEra,
    /// Offset and bytes of each record.
    pub records: Vec<(u64, Bytes)>,
    /// Offset at which to continue reading.
    pub next_offset: u64,
    /// End offset of the stream.
    pub end_offset: u64,
}

/// Result of a conditional append.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum AppendOutcome {
    /// The record was appended at this position.
    Appended(StorePosition),
    /// The stream ends at this position, which isn't the expected one; nothing was appended.
    EndMismatch(StorePosition),
}

/// Error of a call to the store.
#[derive(Clone, Debug, Display, Error, Eq, PartialEq)]
pub enum StoreError {
    /// The store refused the call; it had no effect.
    #[display("the store refused the call: {_0}")]
    Refused(#[error(not(source))] String),
    /// The requested records are no longer retained; the first one that is has this offset.
    #[display("records before offset {_0} are no longer retained")]
    Gone(#[error(not(source))] u64),
    /// No response; the call may have taken effect or may still do so.
    #[display("no response from the store: {_0}")]
    NoAnswer(#[error(not(source))] String),
    /// The store is in this era, which isn't that of the call's position. The response says nothing of the era of the call; an
    /// append may have taken effect in either.
    #[display("the store is in era {_0}, the call was made for another")]
    OtherEra(#[error(not(source))] StoreEra),
    /// The response can't be parsed.
    #[display("{_0}")]
    Format(FormatError),
}

/// A response of the store that belongs to an era.
pub trait EraDated {
    /// Era in which the store gave the response.
    fn era(&self) -> StoreEra;
}

impl EraDated for StoreEra {
    fn era(&self) -> StoreEra {
        *self
    }
}

impl EraDated for KeyedListing {
    fn era(&self) -> StoreEra {
        self.era
    }
}

impl EraDated for RecordBatch {
    fn era(&self) -> StoreEra {
        self.era
    }
}

impl EraDated for AppendOutcome {
    fn era(&self) -> StoreEra {
        match self {
            Self::Appended(position) | Self::EndMismatch(position) => position.era,
        }
    }
}

/// Client of the platform's store. A call for a position fails with [`StoreError::OtherEra`] if the store answers in
/// another era.
#[async_trait]
pub trait SharedStore: Send + Sync {
    /// Lists the newest record of each key of a keyed stream.
    async fn list(&self, stream: StoreStream) -> Result<KeyedListing, StoreError>;

    /// Reads a keyed stream from a position on; waits up to `wait` for the first record.
    async fn follow(
        &self,
        stream: StoreStream,
        from: StorePosition,
        wait: Duration,
    ) -> Result<KeyedListing, StoreError>;

    /// Sets a key of a keyed stream; returns the era in which it was set.
    async fn put(&self, stream: StoreStream, key: &str, value: &[u8]) -> Result<StoreEra, StoreError>;

    /// Sets a key of a keyed stream if the stream ends at `end`.
    async fn put_at(
        &self,
        stream: StoreStream,
        key: &str,
        value: &[u8],
        end: StorePosition,
    ) -> Result<AppendOutcome, StoreError>;

    /// Appends a record to a plain stream; returns the era in which it was appended.
    async fn append(&self, stream: StoreStream, record: &[u8]) -> Result<StoreEra, StoreError>;

    /// Reads a plain stream from a position on.
    async fn read(&self, stream: StoreStream, from: StorePosition) -> Result<RecordBatch, StoreError>;

    /// Appends a record if the stream ends at `end`.
    async fn append_at(
        &self,
        stream: StoreStream,
        record: &[u8],
        end: StorePosition,
    ) -> Result<AppendOutcome, StoreError>;
}

/// Formats of the records that operators and upstreams write to the store.
pub trait RecordFormat: Send + Sync {
    /// Parses a version of the settings.
    ///
    /// # Errors
    ///
    /// Fails if the record can't be parsed or the settings are not valid.
    fn settings(&self, value: &[u8]) -> Result<GatewaySettings, FormatError>;

    /// Key under which the settings are stored.
    fn settings_key(&self) -> &str;

    /// Parses an upstream's entry.
    ///
    /// # Errors
    ///
    /// Fails if the record does not describe a usable upstream.
    fn upstream(&self, id: &str, value: &[u8]) -> Result<UpstreamEntry, FormatError>;

    /// How often the upstream had written when it wrote this entry; `None` if the entry doesn't say.
    fn entry_writes(&self, value: &[u8]) -> Option<u64>;
}

/// Result of a call that only the holder of the duties may make.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum DutyOutcome {
    /// The call was accepted.
    Accepted,
    /// The receiver has seen a higher fencing number.
    Fenced,
    /// The call was refused and had no effect.
    Refused(String),
    /// No response; the call may have taken effect or may still do so.
    NoAnswer(String),
}

/// Right to send calls that no receiver checks.
pub trait SendGuard: Debug + Send + Sync {
    /// True if bytes of the call may be written now.
    fn may_send(&self) -> bool;

    /// Time in which a written call must have arrived.
    fn flight_time(&self) -> Duration;
}

/// Identity that the holder of the duties sends with its calls.
#[derive(Clone, Copy, Debug)]
pub struct DutyHolder<'a> {
    /// Name of the instance.
    pub instance: &'a str,
    /// Its fencing number.
    pub fence: u64,
    /// Checked right before the bytes of the call are written; `None` if the receivers check the fencing number.
    pub guard: Option<&'a Arc<dyn SendGuard>>,
}

/// Order for the number of upstreams in one data centre.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct CapacityOrder {
    /// The service.
    pub service: ServiceId,
    /// The data centre.
    pub data_centre: DataCentre,
    /// Target number of upstreams.
    pub count: u32,
    /// True for spot capacity, which the platform may reclaim.
    pub is_spot: bool,
}

/// Order for an upstream to change its role.
#[derive(Clone, Copy, Debug)]
pub struct RoleOrder<'a> {
    /// The upstream.
    pub upstream: &'a UpstreamId,
    /// Its address.
    pub address: SocketAddr,
    /// The new role.
    pub role: UpstreamRole,
    /// Number of orders that the upstream must have accepted so far; otherwise it refuses this one.
    pub accepted_before: u64,
}

/// Status of an upstream's orders.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct OrderReport {
    /// Orders that the upstream has accepted since its start.
    pub accepted: u64,
    /// True while the upstream carries out an order.
    pub is_busy: bool,
}

/// Client of the upstreams' order interface.
#[async_trait]
pub trait UpstreamOrders: Send + Sync {
    /// Reads the status of an upstream's orders.
    ///
    /// # Errors
    ///
    /// Fails if there is no response or it can't be parsed.
    async fn report(&self, upstream: &UpstreamEntry) -> Result<OrderReport, FormatError>;

    /// Orders an upstream to change its role.
    async fn change_role(&self, holder: DutyHolder<'_>, order: &RoleOrder<'_>) -> DutyOutcome;
}

/// Client of the platform calls that only the holder of the duties may make.
#[async_trait]
pub trait DutyApi: Send + Sync {
    /// Reports the number of requests of each customer in a usage window.
    async fn report_usage(&self, holder: DutyHolder<'_>, window: u64, counts: &CustomerCounts)
    -> DutyOutcome;

    /// Orders a number of upstreams.
    async fn order_capacity(&self, holder: DutyHolder<'_>, order: &CapacityOrder) -> DutyOutcome;
}
