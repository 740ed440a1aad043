//! The platform's published interfaces: log, ordering, usage reports, instance list.
//!
//! All are HTTP with JSON bodies, except that the log takes a record as raw bytes.
//!
//! | interface | call | answer |
//! | --- | --- | --- |
//! | log | `POST /v1/streams/{stream}/records`, raw body | [`AppendAnswer`]; 429 over the rate, 503 in an outage |
//! | log | `GET /v1/streams/{stream}/records?from=&max=&wait_ms=` | [`ReadAnswer`]; waits for records at the head |
//! | list | `GET /v1/instances` | [`InstanceList`] |
//! | ordering | `POST /v1/orders` with [`UpstreamOrder`] | [`OrderAnswer`] |
//! | ordering | `GET /v1/orders?reference=` | `Vec<OrderAnswer>`, empty if the order never arrived |
//! | usage | `POST /v1/usage` with [`UsageReport`] | 200 |

use serde::{Deserialize, Serialize};

use crate::prelude::*;

/// Largest record that the log takes, in bytes.
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
    /// First offset wanted.
    pub from: u64,
    /// Most records wanted.
    pub max: usize,
    /// How long to wait for a record at the head, in milliseconds.
    #[serde(default)]
    pub wait_ms: u64,
}

/// Answer to a read.
#[derive(Clone, Debug, Deserialize, Serialize)]
pub struct ReadAnswer {
    /// Oldest offset still kept.
    pub first: u64,
    /// Offset that the next append will get.
    pub head: u64,
    /// Records in offset order.
    pub records: Vec<StoredRecord>,
}

/// Record as the log keeps it.
#[derive(Clone, Debug, Deserialize, Serialize)]
pub struct StoredRecord {
    /// Offset of the record.
    pub offset: u64,
    /// When the log took it, in milliseconds since the Unix epoch.
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

/// How an upstream is paid for.
#[derive(Clone, Copy, Debug, Default, Deserialize, Eq, Hash, Ord, PartialEq, PartialOrd, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum CapacityKind {
    /// Kept until it is withdrawn.
    #[default]
    Steady,
    /// Cheaper; the platform may reclaim it.
    Cheap,
}

/// State of a listed machine.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum ListState {
    /// Running.
    Live,
    /// About to be taken away.
    Leaving,
}

/// One line of the instance list.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct ListEntry {
    /// Name, unique over the platform.
    pub id: String,
    /// What it runs.
    pub kind: ListKind,
    /// Its service; `None` for entry instances.
    #[serde(default)]
    pub service: Option<ServiceId>,
    /// Where it stands.
    pub data_centre: DataCentre,
    /// Address for callers or requests, as `ip:port`.
    pub address: String,
    /// Address for peers, as `ip:port`; entry instances only.
    #[serde(default)]
    pub peer_address: Option<String>,
    /// How it is paid for.
    #[serde(default)]
    pub capacity: CapacityKind,
    /// Live or leaving.
    pub state: ListState,
}

/// The lagging list of live and leaving machines.
#[derive(Clone, Debug, Default, Deserialize, Serialize)]
pub struct InstanceList {
    /// Grows with every change.
    pub version: u64,
    /// The machines; one that is gone is missing.
    pub entries: Vec<ListEntry>,
}

/// What an order asks for.
#[derive(Clone, Debug, Deserialize, Eq, Hash, PartialEq, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum OrderAction {
    /// Start one more upstream.
    Start {
        /// How it is paid for.
        capacity: CapacityKind,
    },
    /// Take an upstream away.
    Withdraw {
        /// Which one.
        upstream: UpstreamId,
    },
}

/// Order to the platform for an upstream.
#[derive(Clone, Debug, Deserialize, Eq, Hash, PartialEq, Serialize)]
pub struct UpstreamOrder {
    /// The orderer's own reference; the interface does not deduplicate by it.
    pub reference: String,
    /// Fencing number of the orderer.
    pub epoch: Epoch,
    /// The orderer.
    pub orderer: InstanceId,
    /// Data centre of the upstream.
    pub data_centre: DataCentre,
    /// Service of the upstream.
    pub service: ServiceId,
    /// What is asked for.
    pub action: OrderAction,
}

/// Answer to an order, and the platform's record of it.
#[derive(Clone, Debug, Deserialize, Serialize)]
pub struct OrderAnswer {
    /// The orderer's reference.
    pub reference: String,
    /// The upstream started or withdrawn; `None` if the capacity is unavailable.
    pub upstream: Option<UpstreamId>,
}

/// Figure of one customer in one window.
#[derive(Clone, Copy, Debug, Default, Deserialize, Eq, Hash, Ord, PartialEq, PartialOrd, Serialize)]
pub struct UsageFigure {
    /// Requests finished.
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
    /// What was used.
    pub figure: UsageFigure,
    /// The reporter.
    pub reporter: InstanceId,
    /// Fencing number of the reporter.
    pub epoch: Epoch,
}
