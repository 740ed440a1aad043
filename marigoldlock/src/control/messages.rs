//! Messages of the control actor.

use bytes::Bytes;
use marigoldlock_core::orders::{LookUpAnswer, ReceiverAnswer};
use marigoldlock_wire::peer::UsageShare;
use marigoldlock_wire::prelude::*;
use marigoldlock_wire::record::authority::{Duty, HolderId};
use marigoldlock_wire::record::orders::OrderBody;

use super::append::AppendFate;
use super::clients::SendFate;

/// A record of the control stream.
pub struct ReadControl {
    /// Its offset.
    pub offset: u64,
    /// Its bytes.
    pub data: Bytes,
}

/// How far the stream was read.
pub enum ReadProgress {
    /// The log keeps records from the offset on.
    Kept(u64),
    /// The head was reached.
    CaughtUp,
    /// Records expired unread.
    Gap,
}

/// Lets time pass.
pub struct Tick;

/// What became of the append on the way.
pub struct AppendDone {
    /// Its id.
    pub id: RecordId,
    /// Its fate.
    pub fate: AppendFate,
}

/// What became of an order.
pub struct OrderDone {
    /// Its intent.
    pub intent: LogPosition,
    /// Its fate.
    pub fate: SendFate<ReceiverAnswer>,
}

/// Answer of a look-up.
pub struct LookUpDone {
    /// The order's intent.
    pub intent: LogPosition,
    /// The answer, if there was one.
    pub answer: Option<LookUpAnswer>,
}

/// What became of a report.
pub struct ReportDone {
    /// The customer.
    pub customer: CustomerId,
    /// The window.
    pub window: u64,
    /// Whether the platform took it.
    pub is_taken: bool,
}

/// Asks for an order.
pub struct WishOrder {
    /// Data centre of the receiver.
    pub data_centre: DataCentre,
    /// What is ordered.
    pub body: OrderBody,
}

/// Takes the counts of a peer.
pub struct MergeShares(pub Vec<UsageShare>);

/// Asks for the counts to tell the peers.
pub struct AskShares;

/// The counts to tell the peers.
#[derive(Clone, Debug, Default, kameo::Reply)]
pub struct ShareList(pub Vec<UsageShare>);

/// Gives up all duties; the reply tells whether none is held any more.
pub struct Leave;

/// Asks who holds what.
pub struct AskControl;

/// A duty and its holder.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct HeldDuty {
    /// The duty.
    pub duty: Duty,
    /// Who holds it; `None` after a resignation.
    pub holder: Option<HolderId>,
    /// Position of the winning claim.
    pub epoch: Epoch,
    /// Whether this process may act under it now.
    pub is_own: bool,
}

/// What the control stream says.
#[derive(Clone, Debug, Default, kameo::Reply)]
pub struct ControlStatus {
    /// Whether the stream was read up to its head and its state is known.
    pub is_ready: bool,
    /// Offset of the append to read next.
    pub next_offset: u64,
    /// The duties.
    pub duties: Vec<HeldDuty>,
    /// Orders that are not settled.
    pub outstanding_orders: usize,
    /// Frozen windows that are not known to be reported.
    pub unreported_windows: usize,
}
