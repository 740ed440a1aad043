//! The platform's published interfaces: log, ordering, usage reports, instance list.
//!
//! All are HTTP with JSON bodies, except that a record is appended to the log as raw bytes.
//!
//! | interface | call | answer |
//! | --- | --- | --- |
//! | log | `POST /v1/streams/{stream}/records`, raw body | [`AppendAnswer`]; 429 above the rate limit, 503 during an outage |
//! | log | `GET /v1/streams/{stream}/records?from=&max=&wait_ms=` | [`ReadAnswer`]; at the head it waits for records |
//! | list | `GET /v1/instances` | [`InstanceList`] |
//! | ordering | `POST /v1/orders` with [`UpstreamOrder`] | [`OrderAnswer`] |
//! | ordering | `GET /v1/orders?reference=` | `Vec<OrderAnswer>`, empty if the order hasn't arrived |
//! | usage | `POST /v1/usage` with [`UsageReport`] | 200 |

use serde::{Deserialize, Serialize};

use crate::prelude::*;

/// Maximum size of a log record, in bytes.
pub const MAX_RECORD_BYTES: usize = 256 << 10;

/// Answer to an append.
#[derive(Clone, Copy, Debug, Deserialize, Serialize)]
pub struct AppendAnswer {
    /// Offset of the record.
    pub offset: u64,
}

/// Query of a read.
#[derive(Clone, Copy, Debug, Deserialize, Serialize)]
pub struct ReadQuery {
    /// First offset to read.
    pub from: u64,
    /// Maximum number of records to read.
    pub max: usize,
    /// Maximum wait for a record at the head, in milliseconds.
    #[serde(default)]
    pub wait_ms: u64,
}

/// Answer to a read.
#[derive(Clone, Debug, Deserialize, Serialize)]
pub struct ReadAnswer {
    /// Oldest retained offset.
    pub first: u64,
    /// Offset that the next append will get.
    pub head: u64,
    /// Records in offset order.
    pub records: Vec<StoredRecord>,
}

/// Record as stored in the log.
#[derive(Clone, Debug, Deserialize, Serialize)]
pub struct StoredRecord {
    /// Offset of the record.
    pub offset: u64,
    /// When the log stored it, in milliseconds since the Unix epoch.
    pub time_ms: u64,
    /// The record's bytes in base64.
    pub data: String,
}

/// What a listed machine runs.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum ListKind {
    /// An entry instance of this system.
    Entry,
    /// A model engine.
    Engine,
    /// A plain service.
    Service,
}

/// Price model of an upstream.
#[derive(Clone, Copy, Debug, Default, Deserialize, Eq, Hash, Ord, PartialEq, PartialOrd, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum CapacityKind {
    /// Runs until it is withdrawn.
    #[default]
    Steady,
    /// Costs less; the platform may reclaim it.
    Cheap,
}

/// State of a listed machine.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum ListState {
    /// Running.
    Live,
    /// About to be stopped.
    Leaving,
}

/// Entry of the instance list.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct ListEntry {
    /// Name, unique on the platform.
    pub id: String,
    /// What it runs.
    pub kind: ListKind,
    /// Its service; `None` for entry instances.
    #[serde(default)]
    pub service: Option<ServiceId>,
    /// Where it runs.
    pub data_centre: DataCentre,
    /// Address for callers or requests, as `ip:port`.
    pub address: String,
    /// Address for peers, as `ip:port`; entry instances only.
    #[serde(default)]
    pub peer_address: Option<String>,
    /// Price model.
    #[serde(default)]
    pub capacity: CapacityKind,
    /// Whether it is live or leaving.
    pub state: ListState,
}

/// List of live and leaving machines; it lags behind the actual state.
#[derive(Clone, Debug, Default, Deserialize, Serialize)]
pub struct InstanceList {
    /// Increases with every change.
    pub version: u64,
    /// The machines, without those that are gone.
    pub entries: Vec<ListEntry>,
}

/// Action that an order asks of the platform.
#[derive(Clone, Debug, Deserialize, Eq, Hash, PartialEq, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum OrderAction {
    /// Start one more upstream.
    Start {
        /// Price model.
        capacity: CapacityKind,
    },
    /// Stop an upstream.
    Withdraw {
        /// The upstream.
        upstream: UpstreamId,
    },
}

/// Order to the platform for an upstream.
#[derive(Clone, Debug, Deserialize, Eq, Hash, PartialEq, Serialize)]
pub struct UpstreamOrder {
    /// Reference chosen by the orderer; the platform doesn't deduplicate by it.
    pub reference: String,
    /// Fencing number of the orderer.
    pub epoch: Epoch,
    /// Instance that gives the order.
    pub orderer: InstanceId,
    /// Data centre of the upstream.
    pub data_centre: DataCentre,
    /// Service of the upstream.
    pub service: ServiceId,
    /// Requested action.
    pub action: OrderAction,
}

/// Answer to an order, also given to a look-up of it.
#[derive(Clone, Debug, Deserialize, Serialize)]
pub struct OrderAnswer {
    /// Reference chosen by the orderer.
    pub reference: String,
    /// Upstream that was started or withdrawn; `None` if the capacity is unavailable.
    pub upstream: Option<UpstreamId>,
}

/// Usage totals of one customer in one window.
#[derive(Clone, Copy, Debug, Default, Deserialize, Eq, Hash, Ord, PartialEq, PartialOrd, Serialize)]
pub struct UsageFigure {
    /// Finished requests.
    pub requests: u64,
    /// Prompt tokens.
    pub prompt_tokens: u64,
    /// Output tokens.
    pub output_tokens: u64,
}

/// Usage of one customer in one window.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct UsageReport {
    /// The customer.
    pub customer: CustomerId,
    /// Number of the window: Unix time divided by the window's length.
    pub window: u64,
    /// Totals of the window.
    pub figure: UsageFigure,
    /// Instance that sends the report.
    pub reporter: InstanceId,
    /// Fencing number of the reporter.
    pub epoch: Epoch,
}
