//! Messages of the control actor.

use bytes::Bytes;
use marigoldlock_core::orders::{LookUpAnswer, ReceiverAnswer};
use marigoldlock_wire::peer::UsageShare;
use marigoldlock_wire::prelude::*;
use marigoldlock_wire::record::authority::{Duty, HolderId};
use marigoldlock_wire::record::orders::OrderBody;

use super::append::AppendResult;
use super::clients::SendOutcome;

/// Applies a record of the control stream.
pub struct ApplyRecord {
    /// Offset of the record.
    pub offset: u64,
    /// Encoded record.
    pub data: Bytes,
}

/// Progress of reading the control stream.
pub enum ReadProgress {
    /// The log keeps records from this offset on.
    Kept(u64),
    /// The head of the stream was reached.
    CaughtUp,
    /// Records expired before they were read.
    Gap,
}

/// Periodic tick: appends the records and sends the orders and reports that are due.
pub struct Tick;

/// Reports that an append is finished.
pub struct AppendDone {
    /// Id of the append.
    pub id: RecordId,
    /// Result of the append.
    pub result: AppendResult,
}

/// Reports that the attempt to send an order is finished.
pub struct OrderDone {
    /// Position of the order's intent.
    pub intent: LogPosition,
    /// Outcome of the send.
    pub result: SendOutcome<ReceiverAnswer>,
}

/// Reports that the look-up of an order is finished.
pub struct LookUpDone {
    /// Position of the order's intent.
    pub intent: LogPosition,
    /// The answer, or `None` if the receiver did not answer.
    pub answer: Option<LookUpAnswer>,
}

/// Reports that the attempt to send a usage report is finished.
pub struct ReportDone {
    /// Customer of the report.
    pub customer: CustomerId,
    /// Usage window of the report.
    pub window: u64,
    /// Whether the platform accepted the report.
    pub is_accepted: bool,
}

/// Proposes an order.
pub struct ProposeOrder {
    /// Data centre of the order's receiver.
    pub data_centre: DataCentre,
    /// Content of the order.
    pub body: OrderBody,
}

/// Merges the usage counts of a peer.
pub struct MergeShares(pub Vec<UsageShare>);

/// Requests the usage counts to send to the peers.
pub struct GetShares;

/// Usage counts to send to the peers.
#[derive(Clone, Debug, Default, kameo::Reply)]
pub struct ShareList(pub Vec<UsageShare>);

/// Starts to resign all duties; the reply is true once none is held any more.
pub struct Leave;

/// Requests the status of the control duties.
pub struct GetStatus;

/// Duty and its holder.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct HeldDuty {
    /// Duty that is held.
    pub duty: Duty,
    /// Holder, or `None` after a resignation.
    pub holder: Option<HolderId>,
    /// Position of the winning claim.
    pub epoch: Epoch,
    /// Whether this process may currently act under the duty.
    pub is_own: bool,
}

/// Status of the control duties according to the control stream.
#[derive(Clone, Debug, Default, kameo::Reply)]
pub struct ControlStatus {
    /// Whether the stream was read up to its head, so that the state is known.
    pub is_ready: bool,
    /// Offset of the append to read next.
    pub next_offset: u64,
    /// Duties that have a claim in the stream.
    pub duties: Vec<HeldDuty>,
    /// Number of orders that are not settled.
    pub outstanding_orders: usize,
    /// Number of frozen usage windows that are not known to be reported.
    pub unreported_windows: usize,
}
