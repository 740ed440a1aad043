//! Borders of the gateway, which a wire adapter implements.
//!
//! An adapter knows names, formats and calls; it decides nothing. Whatever it reads becomes one of the
//! types here, and the gateway never sees a name of the wire.

use std::net::SocketAddr;
use std::time::Duration;

use async_trait::async_trait;
use bytes::Bytes;
use derive_more::{Display, Error};
use http::{HeaderMap, request, response};
use marigoldlock_wire::prelude::*;

use super::call::{CallHead, CustomerCounts, Refusal};
use super::catalog::{UpstreamEntry, UpstreamRole};
use super::route::GatewaySettings;

/// A request, a record or an answer that can't be read.
#[derive(Clone, Debug, Display, Error, Eq, PartialEq)]
#[display("{what}: {reason}")]
pub struct FormatError {
    /// What was read.
    pub what: &'static str,
    /// What is wrong with it.
    pub reason: String,
}

impl FormatError {
    /// An error about `what`.
    pub fn new(what: &'static str, reason: impl Into<String>) -> Self {
        Self {
            what,
            reason: reason.into(),
        }
    }
}

/// Caller's protocol.
pub trait CallerProtocol: Send + Sync {
    /// Reads the head of a request; what can't be read is taken as absent, since the upstream judges it.
    fn read_call(&self, head: &request::Parts) -> CallHead;

    /// An answer of the gateway's own.
    fn refuse(&self, refusal: &Refusal) -> http::Response<Bytes>;
}

/// A caller's question for addresses.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
pub struct AddressQuestion {
    /// Data centre of the caller.
    pub data_centre: Option<String>,
}

/// Protocol of the calls about the instance itself.
pub trait DirectoryProtocol: Send + Sync {
    /// Reads a question for addresses; `None` if the request is another.
    fn read_question(&self, uri: &http::Uri) -> Option<AddressQuestion>;

    /// Answers a question; callers keep the answer for `lifetime`.
    fn answer(&self, addresses: &[SocketAddr], lifetime: Duration) -> http::Response<Bytes>;

    /// True if the request asks whether the instance is ready.
    fn is_readiness(&self, uri: &http::Uri) -> bool;
}

/// Memory of a prompt that an upstream has read and another may fetch.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct KvSource {
    /// Upstream that holds the memory.
    pub address: SocketAddr,
    /// Handle of the memory there.
    pub handle: String,
}

/// What the gateway adds to a request that it sends to an upstream.
#[derive(Clone, Debug)]
pub struct AttemptHead<'a> {
    /// Upstream that must answer; any other refuses.
    pub upstream: &'a UpstreamId,
    /// Customer behind the key.
    pub customer: Option<&'a CustomerId>,
    /// Time that is left.
    pub time_left: Duration,
    /// Last event that the caller has.
    pub last_event: Option<u64>,
    /// Where the prompt's memory is fetched from.
    pub kv_source: Option<&'a KvSource>,
    /// True if only the prompt is read.
    pub is_prefill: bool,
    /// Rank among the upstream's requests, 0 to 9.
    pub priority: u8,
}

/// Load that an upstream tells with an answer.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub struct LoadReport {
    /// Requests that run.
    pub running: u32,
    /// Requests that wait.
    pub waiting: u32,
    /// Requests that can run at once.
    pub slots: u32,
}

/// Head of an upstream's answer, decoded once.
#[derive(Clone, Debug, Default)]
pub struct AnswerHead {
    /// Request that the answer belongs to, if it says so.
    pub attempt_id: Option<String>,
    /// True if the answer bears the upstream's signature.
    pub is_signed: bool,
    /// True if the upstream states that it did not run the request.
    pub is_not_run: bool,
    /// True if another upstream has the address now.
    pub is_other_upstream: bool,
    /// Load at the time of the answer.
    pub load: Option<LoadReport>,
    /// Time for which the upstream keeps the connection when idle.
    pub keep_alive: Option<Duration>,
    /// True if the upstream closes the connection.
    pub is_closing: bool,
}

/// Answer to a request that only had its prompt read.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct PrefillAnswer {
    /// Handle of the memory.
    pub handle: String,
    /// Tokens that it holds.
    pub tokens: u64,
}

/// Upstreams' protocol.
pub trait UpstreamProtocol: Send + Sync {
    /// Headers for an upstream: the caller's, less those of one connection and those that are the system's to set.
    fn attempt_headers(&self, caller: &HeaderMap, attempt: &AttemptHead<'_>) -> HeaderMap;

    /// Reads the head of an answer.
    fn read_answer(&self, head: &response::Parts) -> AnswerHead;

    /// Headers for the caller: the upstream's, less those of one connection and those meant for the system.
    fn answer_headers(&self, upstream: &HeaderMap) -> HeaderMap;

    /// Reads the answer to a request that only had its prompt read.
    ///
    /// # Errors
    ///
    /// Fails if the body doesn't name a handle.
    fn read_prefill(&self, body: &[u8]) -> Result<PrefillAnswer, FormatError>;

    /// Request that frees a handle that nobody will fetch.
    fn release_handle(&self, handle: &str) -> http::Request<Bytes>;
}

/// Streams of the shared store.
#[derive(Clone, Copy, Debug, Display, Eq, Hash, PartialEq)]
pub enum StoreStream {
    /// Settings, written by operators.
    #[display("settings")]
    Settings,
    /// Upstreams, written by themselves.
    #[display("upstreams")]
    Upstreams,
    /// Instances, written by themselves.
    #[display("members")]
    Members,
    /// Duties: claims and what holders have fixed.
    #[display("duties")]
    Duties,
}

/// A record of a keyed stream.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct KeyedRecord {
    /// Position in the stream.
    pub offset: u64,
    /// Key.
    pub key: String,
    /// Value; `None` if the key was removed.
    pub value: Option<Bytes>,
}

/// Newest record of each key.
#[derive(Clone, Debug, Default)]
pub struct KeyedListing {
    /// The records.
    pub records: Vec<KeyedRecord>,
    /// Offset from which to go on reading.
    pub next_offset: u64,
}

/// Records of a stream in order.
#[derive(Clone, Debug, Default)]
pub struct RecordBatch {
    /// Offset and bytes of each record.
    pub records: Vec<(u64, Bytes)>,
    /// Offset from which to go on reading.
    pub next_offset: u64,
    /// End of the stream.
    pub end_offset: u64,
}

/// Result of a conditional append.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum AppendOutcome {
    /// Appended at this offset.
    Appended(u64),
    /// The stream ends elsewhere, at this offset.
    Moved(u64),
}

/// A call to the store that failed.
#[derive(Clone, Debug, Display, Error, Eq, PartialEq)]
pub enum StoreError {
    /// Nothing was done.
    #[display("the store refused the call: {_0}")]
    Refused(#[error(not(source))] String),
    /// The records that were asked for are gone; the first that is kept has this offset.
    #[display("records before offset {_0} are gone")]
    Gone(#[error(not(source))] u64),
    /// No answer; the call may have taken effect or may yet.
    #[display("no answer from the store: {_0}")]
    NoAnswer(#[error(not(source))] String),
    /// The answer can't be read.
    #[display("{_0}")]
    Format(FormatError),
}

/// The platform's store.
#[async_trait]
pub trait SharedStore: Send + Sync {
    /// Newest record of each key of a keyed stream.
    async fn list(&self, stream: StoreStream) -> Result<KeyedListing, StoreError>;

    /// Records of a keyed stream from `offset` on; waits up to `wait` for the first.
    async fn follow(
        &self,
        stream: StoreStream,
        offset: u64,
        wait: Duration,
    ) -> Result<KeyedListing, StoreError>;

    /// Sets a key of a keyed stream.
    async fn put(&self, stream: StoreStream, key: &str, value: &[u8]) -> Result<(), StoreError>;

    /// Records of a plain stream from `offset` on.
    async fn read(&self, stream: StoreStream, offset: u64) -> Result<RecordBatch, StoreError>;

    /// Appends a record if the stream ends at `end`.
    async fn append_at(
        &self,
        stream: StoreStream,
        record: &[u8],
        end: u64,
    ) -> Result<AppendOutcome, StoreError>;
}

/// Formats of what operators and upstreams write into the store.
pub trait RecordFormat: Send + Sync {
    /// Reads a version of the settings.
    ///
    /// # Errors
    ///
    /// Fails if the record is no settings or not valid.
    fn settings(&self, value: &[u8]) -> Result<GatewaySettings, FormatError>;

    /// Key of the settings in their stream.
    fn settings_key(&self) -> &str;

    /// Reads what an upstream says of itself.
    ///
    /// # Errors
    ///
    /// Fails if the record names no usable upstream.
    fn upstream(&self, id: &str, value: &[u8]) -> Result<UpstreamEntry, FormatError>;
}

/// Result of a call made under a duty.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum DutyOutcome {
    /// Accepted.
    Accepted,
    /// A higher fencing number was seen.
    Fenced,
    /// Refused; nothing was done.
    Refused(String),
    /// No answer; the call may have taken effect or may yet.
    NoAnswer(String),
}

/// Who calls under a duty.
#[derive(Clone, Copy, Debug)]
pub struct DutyHolder<'a> {
    /// The instance.
    pub instance: &'a str,
    /// Its fencing number.
    pub fence: u64,
}

/// Upstreams to be kept in one data centre.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct CapacityOrder {
    /// The service.
    pub service: ServiceId,
    /// The data centre.
    pub data_centre: DataCentre,
    /// Upstreams wanted.
    pub count: u32,
    /// True for reclaimable capacity.
    pub is_spot: bool,
}

/// Order to an upstream to change its role.
#[derive(Clone, Copy, Debug)]
pub struct RoleOrder<'a> {
    /// The upstream.
    pub upstream: &'a UpstreamId,
    /// Its address.
    pub address: SocketAddr,
    /// The new role.
    pub role: UpstreamRole,
    /// Orders that it must have accepted so far; it refuses the order otherwise.
    pub accepted_before: u64,
}

/// What an upstream says of its orders.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct OrderReport {
    /// Orders that it has accepted since its start.
    pub accepted: u64,
    /// True while it carries one out.
    pub is_busy: bool,
}

/// Upstreams' interface for orders.
#[async_trait]
pub trait UpstreamOrders: Send + Sync {
    /// Reads what an upstream says of its orders.
    ///
    /// # Errors
    ///
    /// Says why there is no answer that can be read.
    async fn report(&self, upstream: &UpstreamEntry) -> Result<OrderReport, FormatError>;

    /// Orders an upstream to change its role.
    async fn change_role(&self, holder: DutyHolder<'_>, order: &RoleOrder<'_>) -> DutyOutcome;
}

/// The platform's calls that one instance at a time may make.
#[async_trait]
pub trait DutyApi: Send + Sync {
    /// Reports the requests of each customer in a usage window.
    async fn report_usage(&self, holder: DutyHolder<'_>, window: u64, counts: &CustomerCounts)
    -> DutyOutcome;

    /// Orders a number of upstreams.
    async fn order_capacity(&self, holder: DutyHolder<'_>, order: &CapacityOrder) -> DutyOutcome;
}
